//! Liveness of workers: expired leases, silent machines, partitioned zones, and machines that don't
//! acknowledge the shard's token.

use crate::controller::ShardOwner;
use crate::controller::context::{
    CLOCK_DRIFT_FRACTION, Context, LEASE_MARGIN_S, RECENT_HEARTBEAT_S,
};
use crate::controller::machines::DecommissionReason;
use crate::controller::machines::inventory::Machine;
use crate::controller::shard::job::Phase;
use crate::controller::store::records::JobKind;
use crate::ids::{ControllerId, MachineId, Time};
use log::warn;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A machine that may still run a cancelled task is deleted after this fraction of `cancel_s`: the
/// user waits for the cancellation, and repeats the request for a minute.
const CANCEL_FRACTION: f64 = 0.6;
/// Ratio to `cancel_s` after which a machine that may still run a cancelled task is deleted during
/// and shortly after a partition. Most partitions end sooner.
const PARTITION_CANCEL_RATIO: f64 = 2.0;
/// Heartbeat intervals without a heartbeat from any machine after which an owner with at least two
/// ready machines may consider itself partitioned from them.
const UNREACHABLE_HEARTBEAT_INTERVALS: f64 = 5.0;
/// Silent machines count as individual failures up to this fraction of the ready machines. More
/// silent machines are considered partitioned.
const SILENT_FAILURES_FRACTION: f64 = 0.15;
/// Number of silent machines that count as individual failures whatever the size of the fleet.
const SILENT_FAILURES_MIN: f64 = 2.0;
/// Leases of silence after which a machine is decommissioned while many are silent at once.
const MASS_SILENT_LEASES: f64 = 4.0;
/// A machine counts as silent after this fraction of the usual time after which silent machines are
/// decommissioned.
const NEARLY_SILENT_FRACTION: f64 = 0.95;
/// Leases of silence after which a machine is decommissioned even if its worker may be kept alive
/// by a controller of its own zone.
const KEPT_ALIVE_SILENT_LEASES: f64 = 9.0;
/// A zone is considered partitioned when at least this fraction of its machines have missed
/// `PARTITION_MISSED_HEARTBEATS`.
const PARTITION_FRACTION: f64 = 0.25;
/// Minimum number of machines of a zone that must have missed `PARTITION_MISSED_HEARTBEATS` before
/// the zone is considered partitioned.
const PARTITION_MACHINES_MIN: usize = 3;
/// Heartbeat intervals without a heartbeat after which a machine counts towards a partition.
const PARTITION_MISSED_HEARTBEATS: f64 = 3.0;
/// Leases of silence after which a machine with tasks is decommissioned if it never acknowledged
/// this shard's token: only a deletion proves that its tasks no longer run.
const UNPROVABLE_LEASES: f64 = 1.2;
/// Leases after which a machine with tasks is decommissioned if it sends heartbeats and doesn't
/// acknowledge this shard's token.
const UNACKNOWLEDGED_LEASES: f64 = 2.0;
/// Time in seconds that machines taken over from an earlier owner have to send their first
/// heartbeat before the new owner can consider itself partitioned from them.
const FIRST_HEARTBEAT_S: f64 = 12.0;

/// A machine that has sent no heartbeat for a long time.
struct SilentMachine {
    id: MachineId,
    silent_s: f64,
    /// Time in seconds without a heartbeat after which the machine is usually decommissioned.
    silence_max_s: f64,
    /// The machine's zone is partitioned and has a controller that may keep its worker alive.
    may_be_kept_alive: bool,
}

impl ShardOwner {
    /// Whether this owner is partitioned from its machines and should release the shard to another
    /// controller. This is so if it receives no heartbeats from its machines while workers send
    /// heartbeats to a peer, or while no peer can be reached either. If the peers are reachable and
    /// receive none either, the machines themselves are down, and a release would only delay their
    /// replacement.
    pub(crate) fn is_partitioned_from_workers(&self, context: &Context) -> bool {
        let workers = &context.settings.platform.facts.workers;
        let silence_max_s = workers.heartbeat_s * UNREACHABLE_HEARTBEAT_INTERVALS;
        let ready_count = self
            .machines
            .values()
            .filter(|machine| machine.ready_since.is_some())
            .count();
        let is_settled = context.now.since(self.owned_since) > FIRST_HEARTBEAT_S;
        let workers_unreachable = ready_count >= 2
            && is_settled
            && context.now.since(self.last_worker_heartbeat) > silence_max_s;
        workers_unreachable
            && !context.is_stale()
            && (context.any_peer_hears_workers() || context.all_peers_unreachable())
    }

    /// Removes the placements on machines whose lease has expired, by proof 2 of the `machines`
    /// module. Placements that aren't committed yet stay, since their starts were never sent.
    pub(crate) fn expire_worker_leases(&mut self, context: &Context) {
        let lease_s = context.settings.platform.facts.workers.lease_s
            * (1.0 + CLOCK_DRIFT_FRACTION)
            + LEASE_MARGIN_S;
        let (now, linearized_at) = (context.now, context.store.linearized_at());
        let mut expired = Vec::new();
        for (id, machine) in self.machines.iter() {
            let expires_at = machine.last_answered_at.after(lease_s);
            let can_expire = machine.has_acknowledged_token
                && machine.long_poll.is_none()
                && !machine.tasks.is_empty();
            // A store read that was sent after the expiry has to show that this controller still
            // owns the shard.
            if can_expire
                && linearized_at > expires_at
                && now > expires_at
                && context.no_keepalive_by_peers(&machine.zone, expires_at, lease_s)
            {
                expired.push((
                    id.clone(),
                    machine.tasks.keys().cloned().collect::<Vec<_>>(),
                ));
            }
        }
        for (id, tasks) in expired {
            warn!("worker lease expired, machine={id} tasks={}", tasks.len());
            for task in tasks {
                let job_state = self.jobs.get(&task.job);
                let phase =
                    job_state.and_then(|job_state| Some(job_state.placed.get(&task.index)?.phase));
                if phase != Some(Phase::Committing) {
                    self.remove_placement(now, &task);
                }
            }
        }
    }

    /// Decommissions machines that may still run a cancelled task when no other proof has come in
    /// time: the user is told of the cancellation only after a proof. Machines in partitioned zones
    /// get more time, since all other tasks on them would be lost as well.
    pub(crate) fn decommission_unproven_cancellations(&mut self, context: &Context) {
        let workers = &context.settings.platform.facts.workers;
        let (cancel_s, lease_s) = (workers.cancel_s, workers.lease_s);
        let now = context.now;
        let mut overdue = BTreeSet::new();
        for job_state in self.jobs.values() {
            let Some(cancelled_at) = job_state.cancelled else {
                continue;
            };
            for placement in job_state.placed.values() {
                // The last machines to come back after a partition get more time as well.
                let is_partitioned = self.partitioned_zones.contains(&placement.zone)
                    || now.since(self.partitioned_at) < lease_s;
                let ratio = if is_partitioned {
                    PARTITION_CANCEL_RATIO
                } else {
                    CANCEL_FRACTION
                };
                // The time counts from the start of the ownership at the earliest, since a new
                // owner needs a while to detect partitioned zones. Counted from the cancellation
                // alone, it deleted the machines of a partitioned zone at once.
                if now.since(cancelled_at.max(self.owned_since)) > cancel_s * ratio {
                    overdue.insert(placement.machine.clone());
                }
            }
        }
        for id in overdue {
            self.decommission(now, &id, DecommissionReason::CancelledTaskUnproven);
        }
    }

    /// Decommissions machines that stay silent. Most silent machines come back after a partition
    /// with their images cached, so they get time. A machine is deleted sooner only if nothing but
    /// its deletion proves that its tasks no longer run. Many machines silent at once are considered
    /// partitioned unless the silence lasts long.
    pub(crate) fn decommission_silent(&mut self, context: &Context) {
        let (now, lease_s) = (context.now, context.settings.platform.facts.workers.lease_s);
        let unreachable = self.unreachable_controllers(context);
        let partitioned_zones = self.find_partitioned_zones(context);
        let silent = self.find_silent(context, &unreachable, &partitioned_zones);
        let previous_partitioned_at = self.partitioned_at;
        self.record_partition(now, partitioned_zones, silent.len());
        if context.is_stale() {
            return;
        }
        let zones_partitioned_at = self.zones_partitioned_at;
        let are_zones_recovering = zones_partitioned_at.is_some_and(|at| now.since(at) < lease_s);
        for machine in silent {
            let min_s = match (self.is_mass_partition, machine.may_be_kept_alive) {
                (_, true) => KEPT_ALIVE_SILENT_LEASES * lease_s,
                (true, false) => MASS_SILENT_LEASES * lease_s,
                (false, false) => 0.0,
            };
            // The machines that come back last after a partition must not count as failed. The wait
            // is limited, since machines that failed during the partition look as if it went on.
            let is_wait_over = machine.silent_s > KEPT_ALIVE_SILENT_LEASES * lease_s;
            let is_partition_over = now.since(previous_partitioned_at) > machine.silence_max_s;
            let may_decommission = (self.is_mass_partition && !are_zones_recovering)
                || is_wait_over
                || is_partition_over;
            if machine.silent_s > machine.silence_max_s.max(min_s) && may_decommission {
                self.decommission(now, &machine.id, DecommissionReason::Silent);
            }
        }
    }

    /// Returns the machines that have been silent for nearly the usual time after which silent
    /// machines are decommissioned.
    fn find_silent(
        &self,
        context: &Context,
        unreachable: &BTreeSet<Option<ControllerId>>,
        partitioned_zones: &BTreeSet<Rc<str>>,
    ) -> Vec<SilentMachine> {
        let lease_s = context.settings.platform.facts.workers.lease_s;
        let usual_s = context.settings.silence_max_s(false);
        let unreachable_controller_s = context.settings.silence_max_s(true);
        let mut silent = Vec::new();
        for (id, machine) in self.machines.iter() {
            let silent_s = context
                .now
                .since(machine.last_heartbeat.max(self.owned_since));
            let is_exempt = machine.ready_since.is_none() || machine.long_poll.is_some();
            if is_exempt || silent_s <= usual_s * NEARLY_SILENT_FRACTION {
                continue;
            }
            let is_provable = machine.has_acknowledged_token || machine.tasks.is_empty();
            let silence_max_s = match (is_provable, unreachable.contains(&machine.forwarded_by)) {
                (true, false) => usual_s,
                (true, true) => unreachable_controller_s,
                (false, _) => UNPROVABLE_LEASES * lease_s,
            };
            let zone = &machine.zone;
            silent.push(SilentMachine {
                id: id.clone(),
                silent_s,
                silence_max_s,
                may_be_kept_alive: partitioned_zones.contains(zone) && context.zone_has_peer(zone),
            });
        }
        silent
    }

    /// Records the partitioned zones, and whether the number of silent machines indicates a
    /// partition.
    fn record_partition(
        &mut self,
        now: Time,
        partitioned_zones: BTreeSet<Rc<str>>,
        silent_count: usize,
    ) {
        if !partitioned_zones.is_empty() {
            self.zones_partitioned_at = Some(now);
        }
        self.partitioned_zones = partitioned_zones;
        let machines = self.machines.values();
        let ready_count = machines
            .filter(|machine| machine.ready_since.is_some())
            .count();
        self.is_mass_partition = silent_count as f64
            > (SILENT_FAILURES_FRACTION * ready_count as f64).max(SILENT_FAILURES_MIN);
        if self.is_mass_partition || !self.partitioned_zones.is_empty() {
            self.partitioned_at = now;
        }
    }

    /// Decommissions machines whose heartbeats arrive while no answer reaches them. They never
    /// acknowledge this shard's token, so none of their heartbeats proves what became of the tasks
    /// that an earlier owner placed there. Their leases have expired in the meantime, and their
    /// deletion lets the tasks be placed again.
    pub(crate) fn decommission_unacknowledged(&mut self, context: &Context) {
        let lease_s = context.settings.platform.facts.workers.lease_s;
        let (now, is_stale) = (context.now, context.is_stale());
        if is_stale || self.is_mass_partition {
            return;
        }
        let mut unacknowledged = Vec::new();
        for (id, machine) in self
            .machines
            .iter()
            .filter(|(_, machine)| !machine.has_acknowledged_token)
        {
            let is_overdue = machine
                .first_heartbeat
                .is_some_and(|at| now.since(at) > UNACKNOWLEDGED_LEASES * lease_s);
            if is_overdue
                && !machine.tasks.is_empty()
                && !self.partitioned_zones.contains(&machine.zone)
            {
                unacknowledged.push(id.clone());
            }
        }
        for id in unacknowledged {
            self.decommission(now, &id, DecommissionReason::TokenNotAcknowledged);
        }
    }

    /// Returns the controllers, with `None` for this one, that received no worker heartbeat
    /// recently or were not reachable themselves, at some time within the last lease. Their workers
    /// look for another controller and may be redirected back once, which takes two tries of 5 s.
    /// Without extra time, their machines were taken to be down.
    fn unreachable_controllers(&mut self, context: &Context) -> BTreeSet<Option<ControllerId>> {
        let now = context.now;
        let lease_s = context.settings.platform.facts.workers.lease_s;
        let mut now_unreachable = Vec::new();
        if now.since(context.last_worker_heartbeat) > RECENT_HEARTBEAT_S {
            now_unreachable.push(None);
        }
        let peers = context.settings.platform.peers.iter();
        let unreachable_peers = peers.filter(|peer| !context.hears_workers(&peer.controller_id));
        now_unreachable.extend(unreachable_peers.map(|peer| Some(peer.controller_id.clone())));
        self.unreachable_at.extend(
            now_unreachable
                .into_iter()
                .map(|controller_id| (controller_id, now)),
        );
        self.unreachable_at.retain(|_, at| now.since(*at) < lease_s);
        self.unreachable_at.keys().cloned().collect()
    }

    /// Returns the zones in which so many machines have missed heartbeats that the zone must be
    /// partitioned. The zone's own controllers keep its workers alive.
    fn find_partitioned_zones(&self, context: &Context) -> BTreeSet<Rc<str>> {
        let silence_max_s =
            context.settings.platform.facts.workers.heartbeat_s * PARTITION_MISSED_HEARTBEATS;
        let mut zones: BTreeMap<&Rc<str>, (usize, usize)> = BTreeMap::new();
        let is_counted = |machine: &&Machine| {
            machine.ready_since.is_some()
                && machine.preemption_at.is_none()
                && machine.decommission_at.is_none()
        };
        for machine in self.machines.values().filter(is_counted) {
            let counts = zones.entry(&machine.zone).or_default();
            counts.0 += 1;
            let is_silent = context
                .now
                .since(machine.last_heartbeat.max(self.owned_since))
                > silence_max_s;
            counts.1 += usize::from(is_silent && machine.long_poll.is_none());
        }
        let is_partitioned = |(all, silent): (usize, usize)| {
            silent >= PARTITION_MACHINES_MIN && silent as f64 >= PARTITION_FRACTION * all as f64
        };
        // A zone whose controllers are reachable and receive worker heartbeats isn't partitioned:
        // the preemption of many spot machines at once looked like a partition.
        let partitioned = zones
            .into_iter()
            .filter(|(_, counts)| is_partitioned(*counts));
        let partitioned = partitioned.map(|(zone, _)| zone.clone());
        partitioned
            .filter(|zone| !context.zone_peers_hear_workers(zone))
            .collect()
    }

    /// Stops tasks on machines that are about to be deleted or preempted. On a decommissioned
    /// machine all tasks are stopped. On a spot machine with a preemption notice, replicas of
    /// services and tasks that save checkpoints are stopped, while other tasks run on until the
    /// preemption.
    pub(crate) fn drain_leaving_machines(&mut self, context: &mut Context) {
        let now = context.now;
        let mut to_stop = Vec::new();
        for (_, machine) in self.machines.leaving() {
            let is_decommissioned = machine.decommission_at.is_some();
            if !is_decommissioned && machine.preemption_at.is_none_or(|at| at <= now) {
                continue;
            }
            for (task, binding) in &machine.tasks {
                let job_state = self.jobs.get(&task.job);
                let Some(placement) =
                    job_state.and_then(|job_state| job_state.placed.get(&task.index))
                else {
                    continue;
                };
                let can_move =
                    binding.record.kind == JobKind::Service || binding.record.checkpoint_s > 0.0;
                if placement.stop_requested.is_none()
                    && (is_decommissioned || can_move)
                    && placement.phase != Phase::Committing
                {
                    to_stop.push(task.clone());
                }
            }
        }
        for task in to_stop {
            self.stop_task(context, &task);
        }
    }
}
