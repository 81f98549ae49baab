//! Figures that follow from the settings: times, shares and counts.

use crate::peer::MESSAGE_BYTES_MAX;
use crate::settings::Settings;
use crate::settings::state_limits::StrictestLimits;
use salttrestle_standby::Config;

/// Processor time that an owner spends on one heartbeat, with all that follows from it, in
/// seconds: as measured, rounded up.
const HEARTBEAT_CPU_S: f64 = 75e-6;
/// Heartbeats come this much later than usual at most.
const LATE_HEARTBEAT: f64 = 1.25;
/// A worker waits so long for the answer to a heartbeat, and then before it tries another
/// controller.
const WORKER_TIMEOUT_S: f64 = 4.0;
const WORKER_RETRY_PAUSE_S: f64 = 1.0;
/// Users wait this long for an answer to a cancellation; the controller waits for machines for
/// this share of that at most.
const USER_TIMEOUT_S: f64 = 5.0;
const CANCELLATION_WAIT_SHARE: f64 = 0.8;
/// The heartbeat that reports a stop, and what commits and links take, in retry pauses of a worker.
const STOP_HEARTBEATS: f64 = 1.25;
/// A machine is overdue when so many late heartbeats fit into its silence.
const OVERDUE_HEARTBEATS: f64 = 2.0;
/// Shares of a worker's timeout for which an answer waits at most: where tasks may end, and
/// elsewhere.
const LONG_POLL_SHARE_WHERE_TASKS_END: f64 = 0.5;
const LONG_POLL_SHARE: f64 = 0.65;
/// For the time that messages take, and late timers.
const SILENT_MARGIN: f64 = 1.2;
/// A heartbeat with a hundred tasks, as it is forwarded to a peer.
const FORWARDED_HEARTBEAT_BYTES: usize = 4 * 1024;
/// Sockets of each controller that aren't for workers.
const NON_WORKER_SOCKETS: usize = 100;

impl Settings {
    /// The limits of the store by which everything is planned.
    pub fn store_limits(&self) -> StrictestLimits {
        self.platform.facts.store.strictest()
    }

    /// The times and bounds of the standby.
    pub fn standby(&self) -> Config {
        self.tuning.standby()
    }

    /// Most bytes that wait to be written to one peer. All workers that one controller has
    /// connections for may have heartbeats forwarded at once, as a new owner appears.
    pub fn unsent_bytes_max(&self) -> usize {
        let sockets = self.platform.facts.resources.max_sockets;
        (2 * MESSAGE_BYTES_MAX).max(sockets * FORWARDED_HEARTBEAT_BYTES)
    }

    /// Machines that one owner can serve with all of its processor.
    fn machines_per_owner(&self) -> f64 {
        let facts = &self.platform.facts;
        facts.resources.cpu * facts.workers.report_s / HEARTBEAT_CPU_S
    }

    /// How long the answer to a quiet heartbeat may wait for a command, so that the worker
    /// still gets it in time; less where tasks may end meanwhile, whose users expect to
    /// hear of it within 3 s.
    pub fn long_poll_s(&self, ends: bool) -> f64 {
        let most = if ends {
            LONG_POLL_SHARE_WHERE_TASKS_END
        } else {
            LONG_POLL_SHARE
        };
        let poll_s = self.tuning.long_poll_fraction * self.platform.facts.workers.report_s;
        poll_s.min(WORKER_TIMEOUT_S * most)
    }

    /// How long a cancellation waits until its machines confirm that its tasks are gone: until
    /// each has sent a heartbeat, has received the command to stop and has confirmed that.
    pub fn cancellation_wait_s(&self) -> f64 {
        let heartbeat_s = self.platform.facts.workers.report_s * LATE_HEARTBEAT;
        (heartbeat_s + WORKER_RETRY_PAUSE_S * STOP_HEARTBEATS)
            .min(USER_TIMEOUT_S * CANCELLATION_WAIT_SHARE)
    }

    /// After how long without a heartbeat a machine can't be counted on to confirm anything.
    pub fn overdue_s(&self) -> f64 {
        self.platform.facts.workers.report_s * LATE_HEARTBEAT * OVERDUE_HEARTBEATS
    }

    /// How long a machine may be silent before it is deleted: a share of the lease or, where
    /// the controller that it reported to is well, a heartbeat that is late, one that finds no
    /// answer, and the next try.
    pub fn silence_max_s(&self, is_controller_unreachable: bool) -> f64 {
        let workers = &self.platform.facts.workers;
        let of_lease = workers.lease_s * self.tuning.silence_leases;
        let tries = workers.report_s * LATE_HEARTBEAT + WORKER_TIMEOUT_S + WORKER_RETRY_PAUSE_S;
        match is_controller_unreachable {
            true => of_lease,
            false => of_lease.min(tries * SILENT_MARGIN),
        }
    }

    /// Into how many shards a fleet is split: no more than its owners' processors need,
    /// and none smaller than is worth it.
    pub fn shard_count_for(&self, machines: u32) -> usize {
        self.shard_count_for_capacity(machines, self.machines_per_owner())
    }

    /// The same, where so many machines would take all of an owner's processor.
    pub fn shard_count_for_capacity(&self, machines: u32, machines_per_owner: f64) -> usize {
        let machines = f64::from(machines);
        let most = machines_per_owner * self.tuning.owner_cpu_fraction;
        let needed = (machines / most).ceil();
        needed.min((machines / self.tuning.shard_machines_min).floor()) as usize
    }

    /// Most machines that one tick may add to a pool that lacks `gap`. Ten a tick took an
    /// empty fleet of hundreds more than a minute, in which nobody was served; a wrong
    /// count still shows in the next tick before all it asks for is rented.
    pub fn scale_out_step_max(&self, gap: u32) -> u32 {
        let share = f64::from(gap) * self.tuning.scale_out_fraction;
        self.tuning.scale_out_machines.max(share.ceil()) as u32
    }

    /// Most machines of one type: as set or, where nothing is set, as many as the
    /// controllers together can serve by processor and sockets.
    pub fn ceiling(&self) -> u32 {
        if self.tuning.ceiling >= 1.0 {
            return self.tuning.ceiling as u32;
        }
        let facts = &self.platform.facts;
        let sockets = facts
            .resources
            .max_sockets
            .saturating_sub(NON_WORKER_SOCKETS)
            .max(1);
        let each = self.machines_per_owner().min(sockets as f64).max(1.0);
        (each * f64::from(facts.controller_count.max(1))) as u32
    }
}
