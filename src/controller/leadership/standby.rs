//! The standby in this controller: what its state machine is told, and what follows from it. The
//! state machine itself is package `standby`.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::pool::Pool;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::burst_estimate::BurstEstimate;
use crate::ids::{Image, MachineId, Time};
use crate::peer::Message;
use crate::settings::Settings;
use crate::wire::MachineType;
use log::info;
use salttrestle_standby::detector::Suspicion;
use salttrestle_standby::hints::{Estimates, HintStore, Hints, Rotation};
use salttrestle_standby::message::StandbyMessage;
use salttrestle_standby::standby::Term;
use salttrestle_standby::{Config, Standby};
use std::fmt;

/// The hints that the leader sends.
#[derive(Debug, Default)]
pub(crate) struct HintSender {
    due: Time,
    rotation: Rotation,
}

/// How the standby of one controller stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandbyStatus {
    /// Milliseconds since the leader was heard; `None` if it wasn't, or is this controller.
    pub leader_silent_ms: Option<u64>,
    /// Milliseconds since the latest hints came.
    pub hints_age_ms: Option<u64>,
    /// Machines that hints have told of.
    pub hinted_machines: usize,
    /// Hints that were dropped, since another controller than the leader sent them.
    pub stale_hints: u64,
    /// Changes of leadership within the last minute.
    pub changes_lately: usize,
}

impl fmt::Display for StandbyStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let told = |ms: Option<u64>| match ms {
            Some(ms) => format!("{ms} ms ago"),
            None => "never".to_string(),
        };
        write!(
            f,
            "standby: leader heard {}, hints {} of {} machines, {} stale; {} changes of leadership \
             in a minute",
            told(self.leader_silent_ms),
            told(self.hints_age_ms),
            self.hinted_machines,
            self.stale_hints,
            self.changes_lately
        )
    }
}

/// The standby of a process that begins.
pub(crate) fn new_standby(settings: &Settings, incarnation: u64) -> Standby {
    let platform = &settings.platform;
    let peers = platform.peers.iter().map(|s| s.controller_id.to_string());
    Standby::new(
        settings.standby(),
        platform.controller_id.as_str(),
        incarnation,
        peers,
    )
}

impl Controller {
    /// Tells the peers that this controller runs and, if it leads, what it knows.
    pub(crate) fn standby_housekeeping(&mut self) {
        let before = self.context.suspects_leader();
        if let Some(heartbeat) = self.context.standby.tick(self.context.now.0) {
            let message = StandbyMessage::Heartbeat(heartbeat);
            let message = Message::Standby(Box::new(message));
            self.context.outbox.send_to_peer(None, message);
        }
        if before.is_some() != self.context.leader_suspected {
            self.context.leader_suspected = before.is_some();
            match before {
                Some(why) => match self.context.standby.may_replace(self.context.now.0) {
                    Ok(()) => info!("leader suspected, reason={why:?}"),
                    Err(hold) => info!(
                        "leader suspected, not replaced yet, reason={why:?} waits_for={hold:?}"
                    ),
                },
                None => info!("leader no longer suspected"),
            }
        }
        self.send_hints();
    }

    fn send_hints(&mut self) {
        let pause_ms = self.context.standby_config().hints_ms;
        if pause_ms == 0 || self.context.now < self.context.hint_sender.due {
            return;
        }
        let (Some(leadership), Some(owner)) = (&self.context.leadership, self.shards.get(&0))
        else {
            return;
        };
        if !owner.is_only_shard {
            return;
        }
        self.context.hint_sender.due = Time(self.context.now.0 + pause_ms);
        let rotation = &mut self.context.hint_sender.rotation;
        let after = rotation.after().map(MachineId::from);
        let machines = owner.machines.iter_after(after.as_ref());
        let machines = machines.map(|(id, machine)| {
            let images = machine.images.iter().map(|(i, gb)| (i.as_str(), *gb));
            (id.as_str(), images.collect())
        });
        let (images, machines) = rotation.next(machines);
        let hints = Hints {
            from: self.context.settings.platform.controller_id.to_string(),
            token: leadership.token.0,
            estimates: owner.estimates_for_peers(self.context.now, &self.context.cloud.catalog),
            images,
            machines,
        };
        let message = Message::Standby(Box::new(StandbyMessage::Hints(hints)));
        self.context.outbox.send_to_peer(None, message);
    }
}

impl Context {
    fn standby_config(&self) -> Config {
        self.settings.standby()
    }

    /// Whether this controller has lost the leader, and why.
    pub(crate) fn suspects_leader(&self) -> Option<Suspicion> {
        self.standby.suspicion(self.now.0)
    }

    /// Whether the leader's record may be replaced before its lease's end. With several shards
    /// each owner calls the cloud for its own machines without leading: there the lease is
    /// waited for.
    pub(crate) fn may_replace_leader(&self) -> bool {
        self.store.mirror.shards.len() <= 1 && self.standby.may_replace(self.now.0).is_ok()
    }

    /// The leader's record may have changed.
    pub(crate) fn tell_standby_of_leader(&mut self) {
        let term = self.store.mirror.leader.record.as_ref().map(|leader| Term {
            leader: leader.controller_id.to_string(),
            incarnation: leader.incarnation,
            token: leader.token.0,
            fenced_ms: leader.fenced_ms,
        });
        self.standby.set_term(self.now.0, term);
    }

    pub(crate) fn on_standby_message(&mut self, message: StandbyMessage) {
        let now = self.now.0;
        match message {
            StandbyMessage::Heartbeat(heartbeat) => self.standby.on_heartbeat(now, &heartbeat),
            StandbyMessage::Hints(hints) => self.standby.on_hints(now, hints),
        }
    }

    /// How the standby stands, if it is switched on.
    pub(crate) fn standby_status(&self) -> Option<StandbyStatus> {
        let now = self.now.0;
        self.standby_config().enabled().then(|| StandbyStatus {
            leader_silent_ms: self.standby.leader_silent_ms(now),
            hints_age_ms: self.standby.hints().age_ms(now),
            hinted_machines: self.standby.hints().machines(),
            stale_hints: self.standby.stale_hints,
            changes_lately: self.standby.changes_lately(now),
        })
    }
}

impl ShardOwner {
    /// A new owner begins with what the one before it estimated.
    pub(crate) fn adopt_hinted_estimates(&mut self, context: &Context) {
        let Some((age_ms, estimates)) = context.standby.hints().estimates(context.now.0) else {
            return;
        };
        if !self.is_only_shard {
            return;
        }
        info!("estimates adopted from hints, age_ms={age_ms}");
        self.apply_hinted_estimates(context.now, age_ms, estimates, &context.cloud.catalog);
    }

    fn estimates_for_peers(&self, now: Time, catalog: &[MachineType]) -> Estimates {
        let named = |class: usize| catalog.get(class).map(|c| c.name.clone());
        let boots = self.boot_averages_s.iter();
        let boots = boots.filter_map(|(class, boot_s)| Some((named(*class)?, *boot_s)));
        let bursts = self.burst_estimates.iter().filter_map(|(pool, burst)| {
            let machine_type = pool.type_in(catalog)?;
            let squares = burst.decayed(now, machine_type.ready_s);
            Some((machine_type.name.clone(), pool.is_spot(), squares))
        });
        Estimates {
            boots: boots.collect(),
            bursts: bursts.collect(),
        }
    }

    fn apply_hinted_estimates(
        &mut self,
        now: Time,
        age_ms: u64,
        estimates: &Estimates,
        catalog: &[MachineType],
    ) {
        let class_of = |name: &str| catalog.iter().position(|c| c.name == name);
        for (name, boot_s) in &estimates.boots {
            if let Some(class) = class_of(name) {
                self.boot_averages_s.insert(class, *boot_s);
            }
        }
        let told_at = Time(now.0.saturating_sub(age_ms));
        for (name, spot, squares) in &estimates.bursts {
            if let Some(class) = class_of(name) {
                let pool = Pool::of(class, *spot);
                self.burst_estimates
                    .insert(pool, BurstEstimate::from_hint(told_at, *squares));
            }
        }
    }

    /// Which images a machine has isn't in its heartbeats: what the leader before this owner told
    /// of it is where starts are tried first.
    pub(crate) fn apply_hinted_images(
        &mut self,
        id: &MachineId,
        hints: &HintStore,
        catalog: &[MachineType],
    ) {
        let images = hints.images_of(id.as_str());
        if images.is_empty() {
            return;
        }
        self.machines.edit(id, |machine| {
            let cache_gb = machine.type_in(catalog).map_or(f64::MAX, |c| c.cache_gb);
            for image in images {
                machine.use_image(&Image::from(image.name.as_str()), image.gb, cache_gb);
            }
        });
    }
}
