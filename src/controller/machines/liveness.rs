//! Machines that are silent, partitioned, or hear nothing, and leases that are over.

use crate::controller::ShardOwner;
use crate::controller::context::{CLOCK_DRIFT, Context, MARGIN_S, RECENT_S};
use crate::controller::machines::DecommissionReason;
use crate::controller::machines::inventory::Machine;
use crate::controller::shard::job::Phase;
use crate::controller::store::records::JobKind;
use crate::ids::{ControllerId, MachineId, Time};
use log::warn;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// After `cancel_s` times this, a machine that may still run a cancelled task is
/// deleted: its user waits, and repeats the request for a minute.
const CANCEL_SHARE: f64 = 0.6;
/// The same in a zone that is partitioned; cuts mostly end sooner.
const PARTITION_CANCEL_SHARE: f64 = 2.0;
/// Without any heartbeat for this many heartbeat intervals, an owner whose machines all
/// reported before takes itself to be partitioned from them.
const UNREACHABLE_HEARTBEATS: f64 = 5.0;
/// Silent machines are a few up to this share; more are taken to be partitioned, and are
/// given up after so many leases.
const FEW_SILENT_SHARE: f64 = 0.15;
/// So many are few whatever the size of the fleet.
const FEW_SILENT_LEAST: f64 = 2.0;
const MASS_SILENT_LEASES: f64 = 4.0;
/// Machines that have been quiet for this share of the patience with silent ones are
/// counted among these.
const NEARLY_SILENT: f64 = 0.95;
/// Machines that may be kept alive are given up after so many.
const KEPT_ALIVE_SILENT_LEASES: f64 = 9.0;
/// A zone is taken to be partitioned when this share of its machines, and at least so
/// many, have missed so many heartbeats.
const PARTITION_SHARE: f64 = 0.25;
const PARTITION_LEAST: usize = 3;
const PARTITION_HEARTBEATS: f64 = 3.0;
/// A machine that never showed this shard's token, with tasks on it, is deleted after
/// this many leases of silence: only that proves them gone.
const UNPROVABLE_LEASES: f64 = 1.2;
/// A machine that heartbeats and doesn't take up this shard's token is deleted after so many
/// leases if tasks may be on it.
const UNACKNOWLEDGED_LEASES: f64 = 2.0;
/// Seconds a machine of an older leadership has to heartbeat before it counts as silent.
const FIRST_HEARTBEAT_S: f64 = 12.0;

/// A machine from which no heartbeat has come for long.
struct SilentMachine {
    id: MachineId,
    silent_s: f64,
    /// How long it is waited for.
    patience_s: f64,
    /// A controller of its partitioned zone may keep its worker alive.
    kept_alive: bool,
}

impl ShardOwner {
    /// An owner that hears none of its machines, while they heartbeat to a peer, or no
    /// peer either, is partitioned from them and lets another controller try. When peers
    /// hear none of them it is they who are gone, and giving up would only put off their
    /// replacement.
    pub(crate) fn workers_lost(&self, context: &Context) -> bool {
        let workers = &context.settings.platform.facts.workers;
        let patience = workers.report_s * UNREACHABLE_HEARTBEATS;
        let up = self
            .machines
            .values()
            .filter(|machine| machine.ready_since.is_some())
            .count();
        let settled = context.now.since(self.owned_since) > FIRST_HEARTBEAT_S;
        let workers_unreachable =
            up >= 2 && settled && context.now.since(self.last_worker_heartbeat) > patience;
        workers_unreachable
            && !context.is_stale()
            && (context.peer_hears_workers() || context.peers_unreachable())
    }

    /// Proof 2: leases that must be over.
    pub(crate) fn check_leases(&mut self, context: &Context) {
        let lease =
            context.settings.platform.facts.workers.lease_s * (1.0 + CLOCK_DRIFT) + MARGIN_S;
        let (now, fresh) = (context.now, context.store.linearized_at());
        let mut lost = Vec::new();
        for (id, machine) in self.machines.iter() {
            let over = machine.last_acknowledged.after(lease);
            // The read was sent after the lease's end, and the shard is still ours.
            let known = machine.token_acknowledged
                && machine.long_poll.is_none()
                && !machine.tasks.is_empty();
            if known
                && fresh > over
                && now > over
                && context.no_keepalive_by_peers(&machine.zone, over, lease)
            {
                lost.push((
                    id.clone(),
                    machine.tasks.keys().cloned().collect::<Vec<_>>(),
                ));
            }
        }
        for (id, tasks) in lost {
            warn!("worker lease expired, machine={id} tasks={}", tasks.len());
            for task in tasks {
                let job_state = self.jobs.get(&task.job);
                let phase = job_state.and_then(|l| Some(l.placed.get(&task.index)?.phase));
                if phase != Some(Phase::Committing) {
                    self.remove_placement(now, &task);
                }
            }
        }
    }

    /// Deletes machines that may still run a cancelled task, where nothing else proves it
    /// gone: its user is told only then. Machines of a zone that is partitioned get longer,
    /// for all that runs beside it would be lost as well.
    pub(crate) fn check_cancels(&mut self, context: &Context) {
        let workers = &context.settings.platform.facts.workers;
        let (cancel_s, lease_s) = (workers.cancel_s, workers.lease_s);
        let now = context.now;
        let mut late = BTreeSet::new();
        for job_state in self.jobs.values() {
            let Some(at) = job_state.cancelled else {
                continue;
            };
            for placement in job_state.placed.values() {
                // When a partition ends, the last ones to come back get time as well.
                let cut = self.partitioned_zones.contains(&placement.zone)
                    || now.since(self.partitioned_at) < lease_s;
                let share = if cut {
                    PARTITION_CANCEL_SHARE
                } else {
                    CANCEL_SHARE
                };
                // A new owner sees only after a while which zones are partitioned. Counting
                // from the cancellation, it deleted the machines of one at once.
                if now.since(at.max(self.owned_since)) > cancel_s * share {
                    late.insert(placement.machine.clone());
                }
            }
        }
        for id in late {
            self.decommission(now, &id, DecommissionReason::CancelledTaskUnproven);
        }
    }

    /// Machines that stay silent are deleted. Most come back when a partition is over, with their
    /// images, so they get time; only where nothing else proves what became of their tasks is a
    /// deletion needed sooner. Many at once are a partition for sure, unless they stay away for
    /// long.
    pub(crate) fn check_silent(&mut self, context: &Context) {
        let (now, lease_s) = (context.now, context.settings.platform.facts.workers.lease_s);
        let unreachable = self.unreachable_controllers(context);
        let partitioned_zones = self.find_partitioned_zones(context);
        let silent = self.find_silent(context, &unreachable, &partitioned_zones);
        let partitioned_before = self.partitioned_at;
        self.record_partition(now, partitioned_zones, silent.len());
        if context.is_stale() {
            return;
        }
        let zones_partitioned_at = self.zones_partitioned_at;
        let zones_come_back = zones_partitioned_at.is_some_and(|at| now.since(at) < lease_s);
        for machine in silent {
            let least_s = match (self.is_mass_partition, machine.kept_alive) {
                (_, true) => KEPT_ALIVE_SILENT_LEASES * lease_s,
                (true, false) => MASS_SILENT_LEASES * lease_s,
                (false, false) => 0.0,
            };
            // When a partition ends, those who come back last aren't taken for dead. None is waited
            // for for ever: those that went meanwhile look as if it went on.
            let given_up = machine.silent_s > KEPT_ALIVE_SILENT_LEASES * lease_s;
            let calm = now.since(partitioned_before) > machine.patience_s;
            let late = (self.is_mass_partition && !zones_come_back) || given_up || calm;
            if machine.silent_s > machine.patience_s.max(least_s) && late {
                self.decommission(now, &machine.id, DecommissionReason::Silent);
            }
        }
    }

    /// Machines that have been quiet for nearly as long as is waited for them.
    fn find_silent(
        &self,
        context: &Context,
        unreachable: &BTreeSet<Option<ControllerId>>,
        partitioned_zones: &BTreeSet<Rc<str>>,
    ) -> Vec<SilentMachine> {
        let lease_s = context.settings.platform.facts.workers.lease_s;
        let usual_s = context.settings.silent_s(false);
        let controller_unreachable_s = context.settings.silent_s(true);
        let mut silent = Vec::new();
        for (id, machine) in self.machines.iter() {
            let silent_s = context
                .now
                .since(machine.last_heartbeat.max(self.owned_since));
            let waits = machine.ready_since.is_none() || machine.long_poll.is_some();
            if waits || silent_s <= usual_s * NEARLY_SILENT {
                continue;
            }
            let provable = machine.token_acknowledged || machine.tasks.is_empty();
            let patience_s = match (provable, unreachable.contains(&machine.forwarded_by)) {
                (true, false) => usual_s,
                (true, true) => controller_unreachable_s,
                (false, _) => UNPROVABLE_LEASES * lease_s,
            };
            let zone = &machine.zone;
            silent.push(SilentMachine {
                id: id.clone(),
                silent_s,
                patience_s,
                kept_alive: partitioned_zones.contains(zone) && context.zone_has_peer(zone),
            });
        }
        silent
    }

    /// Takes note of which zones, and whether so many machines, are taken to be partitioned.
    fn record_partition(&mut self, now: Time, partitioned_zones: BTreeSet<Rc<str>>, silent: usize) {
        if !partitioned_zones.is_empty() {
            self.zones_partitioned_at = Some(now);
        }
        self.partitioned_zones = partitioned_zones;
        let machines = self.machines.values();
        let ready = machines
            .filter(|machine| machine.ready_since.is_some())
            .count();
        self.is_mass_partition =
            silent as f64 > (FEW_SILENT_SHARE * ready as f64).max(FEW_SILENT_LEAST);
        if self.is_mass_partition || !self.partitioned_zones.is_empty() {
            self.partitioned_at = now;
        }
    }

    /// Machines whose heartbeats come while nothing told them arrives never show this shard's
    /// number, so that no heartbeat of theirs proves what became of the tasks an earlier owner
    /// placed there. Their leases have run out meanwhile; deleting them frees the tasks.
    pub(crate) fn check_unacknowledged(&mut self, context: &Context) {
        let lease_s = context.settings.platform.facts.workers.lease_s;
        let (now, is_stale) = (context.now, context.is_stale());
        if is_stale || self.is_mass_partition {
            return;
        }
        let mut unacknowledged = Vec::new();
        for (id, machine) in self
            .machines
            .iter()
            .filter(|(_, machine)| !machine.token_acknowledged)
        {
            let long = machine
                .first_heartbeat
                .is_some_and(|at| now.since(at) > UNACKNOWLEDGED_LEASES * lease_s);
            if long && !machine.tasks.is_empty() && !self.partitioned_zones.contains(&machine.zone)
            {
                unacknowledged.push(id.clone());
            }
        }
        for id in unacknowledged {
            self.decommission(now, &id, DecommissionReason::TokenNotAcknowledged);
        }
    }

    /// Controllers, `None` for this one, that lately heard no worker or weren't heard
    /// themselves. Workers that reported there look for another one, and may be sent back
    /// once, which takes two tries of 5 s: they looked as if their machines were gone.
    fn unreachable_controllers(&mut self, context: &Context) -> BTreeSet<Option<ControllerId>> {
        let now = context.now;
        let lease_s = context.settings.platform.facts.workers.lease_s;
        let mut unreachable_controllers = Vec::new();
        if now.since(context.last_worker_heartbeat) > RECENT_S {
            unreachable_controllers.push(None);
        }
        let peers = context.settings.platform.peers.iter();
        let workers_unreachable = peers.filter(|s| !context.hears_workers(&s.controller_id));
        unreachable_controllers.extend(workers_unreachable.map(|s| Some(s.controller_id.clone())));
        self.unreachable_at.extend(
            unreachable_controllers
                .into_iter()
                .map(|machine| (machine, now)),
        );
        self.unreachable_at.retain(|_, at| now.since(*at) < lease_s);
        self.unreachable_at.keys().cloned().collect()
    }

    /// Zones of which so many machines have missed their heartbeats that they must be cut
    /// off. Their own controllers keep them alive.
    fn find_partitioned_zones(&self, context: &Context) -> BTreeSet<Rc<str>> {
        let quiet_s = context.settings.platform.facts.workers.report_s * PARTITION_HEARTBEATS;
        let mut zones: BTreeMap<&Rc<str>, (usize, usize)> = BTreeMap::new();
        let staying = |machine: &&Machine| {
            machine.ready_since.is_some()
                && machine.notice.is_none()
                && machine.decommission_at.is_none()
        };
        for machine in self.machines.values().filter(staying) {
            let count = zones.entry(&machine.zone).or_default();
            count.0 += 1;
            let quiet = context
                .now
                .since(machine.last_heartbeat.max(self.owned_since))
                > quiet_s;
            count.1 += usize::from(quiet && machine.long_poll.is_none());
        }
        let cut = |(all, quiet): (usize, usize)| {
            quiet >= PARTITION_LEAST && quiet as f64 >= PARTITION_SHARE * all as f64
        };
        // Where a controller of the zone hears workers and is heard, there is no cut: a
        // wave that took many spot machines looked like one.
        let cut_off = zones.into_iter().filter(|(_, count)| cut(*count));
        let cut_off = cut_off.map(|(zone, _)| zone.clone());
        cut_off
            .filter(|zone| !context.zone_hears_workers(zone))
            .collect()
    }

    /// Tasks on machines that are about to go are stopped: at once where they can
    /// save, and on machines to be replaced.
    pub(crate) fn drain(&mut self, context: &mut Context) {
        let now = context.now;
        let mut stop = Vec::new();
        for (_, machine) in self.machines.leaving() {
            let sick = machine.decommission_at.is_some();
            if !sick && machine.notice.is_none_or(|at| at <= now) {
                continue;
            }
            for (task, bind) in &machine.tasks {
                let job_state = self.jobs.get(&task.job);
                let Some(placement) = job_state.and_then(|l| l.placed.get(&task.index)) else {
                    continue;
                };
                let moves = bind.record.kind == JobKind::Service || bind.record.checkpoint_s > 0.0;
                if placement.stop_requested.is_none()
                    && (sick || moves)
                    && placement.phase != Phase::Committing
                {
                    stop.push(task.clone());
                }
            }
        }
        for task in stop {
            self.stop(context, &task);
        }
    }
}
