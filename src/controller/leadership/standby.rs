//! Connects this controller to the standby of package `standby`, which detects failures of the
//! leader and stores the leader's hints: its estimates and the images that its machines have
//! cached, which aren't in any record.
//!
//! This module passes the standby its inputs, sends its heartbeats and the leader's hints to the
//! peers, and applies hints in a new shard owner.

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

/// When the leader sends its next hints, and which machines they cover.
#[derive(Debug, Default)]
pub(crate) struct HintSender {
    due_at: Time,
    rotation: Rotation,
}

/// The state of one controller's standby, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandbyStatus {
    /// Time since the leader's last heartbeat, in milliseconds; `None` if none has arrived, or if
    /// this controller leads.
    pub leader_silent_ms: Option<u64>,
    /// Time since the latest hints arrived, in milliseconds; `None` if none have.
    pub hints_age_ms: Option<u64>,
    /// Number of machines whose images are known from hints.
    pub hinted_machines: usize,
    /// Number of messages with hints that were dropped because their sender isn't the present
    /// leader.
    pub stale_hints: u64,
    /// Number of changes of leadership within the last minute.
    pub leadership_changes: usize,
}

impl fmt::Display for StandbyStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let format_age = |ms: Option<u64>| match ms {
            Some(ms) => format!("{ms} ms ago"),
            None => "never".to_string(),
        };
        write!(
            f,
            "standby: leader heard {}, hints {} of {} machines, {} stale; {} changes of leadership \
             in a minute",
            format_age(self.leader_silent_ms),
            format_age(self.hints_age_ms),
            self.hinted_machines,
            self.stale_hints,
            self.leadership_changes
        )
    }
}

/// Creates the standby of a process that starts.
pub(crate) fn new_standby(settings: &Settings, incarnation: u64) -> Standby {
    let platform = &settings.platform;
    let peers = platform
        .peers
        .iter()
        .map(|peer| peer.controller_id.to_string());
    Standby::new(
        settings.standby(),
        platform.controller_id.as_str(),
        incarnation,
        peers,
    )
}

impl Controller {
    /// Sends the standby's heartbeat and the leader's hints when they are due, and logs when the
    /// suspicion of the leader changes.
    pub(crate) fn standby_housekeeping(&mut self) {
        let suspicion = self.context.leader_suspicion();
        if let Some(heartbeat) = self.context.standby.tick(self.context.now.0) {
            let message = StandbyMessage::Heartbeat(heartbeat);
            let message = Message::Standby(Box::new(message));
            self.context.outbox.send_to_peer(None, message);
        }
        if suspicion.is_some() != self.context.leader_suspected {
            self.context.leader_suspected = suspicion.is_some();
            match suspicion {
                Some(reason) => match self.context.standby.may_replace(self.context.now.0) {
                    Ok(()) => info!("leader suspected, reason={reason:?}"),
                    Err(obstacle) => info!(
                        "leader suspected, not replaced yet, \
                         reason={reason:?} waits_for={obstacle:?}"
                    ),
                },
                None => info!("leader no longer suspected"),
            }
        }
        self.send_hints();
    }

    /// Sends hints to all peers when they are due, if this controller leads and owns the only
    /// shard.
    fn send_hints(&mut self) {
        let interval_ms = self.context.standby_config().hints_ms;
        if interval_ms == 0 || self.context.now < self.context.hint_sender.due_at {
            return;
        }
        let (Some(leadership), Some(owner)) = (&self.context.leadership, self.shards.get(&0))
        else {
            return;
        };
        if !owner.is_only_shard {
            return;
        }
        self.context.hint_sender.due_at = Time(self.context.now.0 + interval_ms);
        let rotation = &mut self.context.hint_sender.rotation;
        let after = rotation.after().map(MachineId::from);
        let machines = owner.machines.iter_after(after.as_ref());
        let machines = machines.map(|(id, machine)| {
            let images = machine
                .images
                .iter()
                .map(|(image, gb)| (image.as_str(), *gb));
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

    /// Why this controller suspects that the leader has failed, if it does.
    pub(crate) fn leader_suspicion(&self) -> Option<Suspicion> {
        self.standby.suspicion(self.now.0)
    }

    /// Whether the leader's record may be replaced before its lease expires. With several shards it
    /// may not: each owner then calls the cloud for its own machines without leading, so a
    /// candidate waits until the lease expires.
    pub(crate) fn may_replace_leader(&self) -> bool {
        self.store.mirror.shards.len() <= 1 && self.standby.may_replace(self.now.0).is_ok()
    }

    /// Passes the leader's record to the standby. The caller does so whenever the record may have
    /// changed.
    pub(crate) fn update_standby_term(&mut self) {
        let term = self.store.mirror.leader.record.as_ref().map(|leader| Term {
            leader: leader.controller_id.to_string(),
            incarnation: leader.incarnation,
            token: leader.token.0,
            fenced_ms: leader.fenced_ms,
        });
        self.standby.set_term(self.now.0, term);
    }

    /// Passes a peer's heartbeat or hints to the standby.
    pub(crate) fn on_standby_message(&mut self, message: StandbyMessage) {
        let now = self.now.0;
        match message {
            StandbyMessage::Heartbeat(heartbeat) => self.standby.on_heartbeat(now, &heartbeat),
            StandbyMessage::Hints(hints) => self.standby.on_hints(now, hints),
        }
    }

    /// The state of the standby, if it is enabled.
    pub(crate) fn standby_status(&self) -> Option<StandbyStatus> {
        let now = self.now.0;
        self.standby_config().is_enabled().then(|| StandbyStatus {
            leader_silent_ms: self.standby.leader_silent_ms(now),
            hints_age_ms: self.standby.hints().age_ms(now),
            hinted_machines: self.standby.hints().machine_count(),
            stale_hints: self.standby.stale_hints,
            leadership_changes: self.standby.recent_leadership_changes(now),
        })
    }
}

impl ShardOwner {
    /// Gives a new owner of the only shard the estimates of its predecessor, if recent hints
    /// contain them.
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

    /// The estimates that this owner sends in hints.
    fn estimates_for_peers(&self, now: Time, catalog: &[MachineType]) -> Estimates {
        let type_name = |type_index: usize| {
            catalog
                .get(type_index)
                .map(|machine_type| machine_type.name.clone())
        };
        let boots = self.boot_averages_s.iter();
        let boots =
            boots.filter_map(|(type_index, boot_s)| Some((type_name(*type_index)?, *boot_s)));
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

    /// Replaces this owner's estimates by those in hints that are `age_ms` old.
    fn apply_hinted_estimates(
        &mut self,
        now: Time,
        age_ms: u64,
        estimates: &Estimates,
        catalog: &[MachineType],
    ) {
        let index_of = |name: &str| {
            catalog
                .iter()
                .position(|machine_type| machine_type.name == name)
        };
        for (name, boot_s) in &estimates.boots {
            if let Some(type_index) = index_of(name) {
                self.boot_averages_s.insert(type_index, *boot_s);
            }
        }
        let estimated_at = Time(now.0.saturating_sub(age_ms));
        for (name, spot, squares) in &estimates.bursts {
            if let Some(type_index) = index_of(name) {
                let pool = Pool::of(type_index, *spot);
                self.burst_estimates
                    .insert(pool, BurstEstimate::from_hint(estimated_at, *squares));
            }
        }
    }

    /// Marks the images that hints name as cached on a machine. A machine's heartbeats don't say
    /// which images it has, and tasks are started first where their images are cached.
    pub(crate) fn apply_hinted_images(
        &mut self,
        id: &MachineId,
        hints: &HintStore,
        catalog: &[MachineType],
    ) {
        let images = hints.cached_images(id.as_str());
        if images.is_empty() {
            return;
        }
        self.machines.edit(id, |machine| {
            let cache_gb = machine
                .type_in(catalog)
                .map_or(f64::MAX, |machine_type| machine_type.cache_gb);
            for image in images {
                machine.use_image(&Image::from(image.name.as_str()), image.gb, cache_gb);
            }
        });
    }
}
