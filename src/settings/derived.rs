//! Values that follow from the settings: durations, sizes and counts.

use crate::peer::MESSAGE_BYTES_MAX;
use crate::settings::Settings;
use crate::settings::store_limits::StrictestLimits;
use salttrestle_standby::Config;

/// Processor time that a shard's owner spends on one heartbeat and all work that the heartbeat
/// causes, in seconds. It is a measured value, rounded up.
const HEARTBEAT_CPU_S: f64 = 75e-6;
/// Longest time between two heartbeats of a healthy worker, in heartbeat intervals.
const LATE_HEARTBEAT_RATIO: f64 = 1.25;
/// Time that a worker waits for the response to a heartbeat, in seconds.
const WORKER_TIMEOUT_S: f64 = 4.0;
/// Pause of a worker after a timeout before it tries another controller, in seconds.
const WORKER_RETRY_PAUSE_S: f64 = 1.0;
/// Time that a user waits for the response to a cancellation, in seconds.
const USER_TIMEOUT_S: f64 = 5.0;
/// Longest wait of the controller for the confirmation of a cancellation, as a fraction of
/// [`USER_TIMEOUT_S`].
const CANCELLATION_WAIT_FRACTION: f64 = 0.8;
/// Time from the stop command until the stop is confirmed, in retry pauses of a worker. It covers
/// the heartbeat that reports the stop, the commits, and the delays of the links.
const STOP_RETRY_PAUSES: f64 = 1.25;
/// A machine is overdue if it has been silent for the time of this many late heartbeats.
const OVERDUE_LATE_HEARTBEATS: f64 = 2.0;
/// Longest delay of a response to a heartbeat if tasks on the machine may end meanwhile, as a
/// fraction of [`WORKER_TIMEOUT_S`].
const LONG_POLL_WITH_ENDING_TASKS_FRACTION: f64 = 0.5;
/// Longest delay of a response to other heartbeats, as a fraction of [`WORKER_TIMEOUT_S`].
const LONG_POLL_FRACTION: f64 = 0.65;
/// Safety factor on the time allowed for heartbeats. It covers message delays and late timers.
const SILENCE_MARGIN_RATIO: f64 = 1.2;
/// Size of a forwarded heartbeat with a hundred tasks, in bytes.
const FORWARDED_HEARTBEAT_BYTES: usize = 4 * 1024;
/// Number of a controller's sockets that are reserved for connections other than workers'.
const NON_WORKER_SOCKETS: usize = 100;

impl Settings {
    /// Returns the limits of the store that the controllers observe.
    pub fn store_limits(&self) -> StrictestLimits {
        self.platform.facts.store.strictest()
    }

    /// Returns the intervals and limits of the standby.
    pub fn standby(&self) -> Config {
        self.tuning.standby()
    }

    /// Returns the maximum number of bytes that wait to be written to one peer: at least two of the
    /// largest messages. When a shard gets a new owner, a controller may forward heartbeats of all
    /// its connected workers at the same time.
    pub fn unsent_bytes_max(&self) -> usize {
        let sockets = self.platform.facts.resources.max_sockets;
        (2 * MESSAGE_BYTES_MAX).max(sockets * FORWARDED_HEARTBEAT_BYTES)
    }

    /// Returns the number of machines that one owner can serve with all of its processor time.
    fn machines_per_owner(&self) -> f64 {
        let facts = &self.platform.facts;
        facts.resources.cpu * facts.workers.heartbeat_s / HEARTBEAT_CPU_S
    }

    /// Returns how long the response to a heartbeat without changes may wait for a command, in
    /// seconds. The response still arrives within the worker's timeout. The wait is shorter if
    /// tasks on the machine may end meanwhile, since users expect to see a task's end within 3 s.
    pub fn long_poll_s(&self, tasks_may_end: bool) -> f64 {
        let timeout_fraction = if tasks_may_end {
            LONG_POLL_WITH_ENDING_TASKS_FRACTION
        } else {
            LONG_POLL_FRACTION
        };
        let poll_s = self.tuning.long_poll_fraction * self.platform.facts.workers.heartbeat_s;
        poll_s.min(WORKER_TIMEOUT_S * timeout_fraction)
    }

    /// Returns how long the response to a cancellation waits for the machines to confirm that the
    /// job's tasks have stopped, in seconds. Within this time, each machine sends a heartbeat,
    /// receives the stop command and confirms the stop.
    pub fn cancellation_wait_s(&self) -> f64 {
        let heartbeat_s = self.platform.facts.workers.heartbeat_s * LATE_HEARTBEAT_RATIO;
        (heartbeat_s + WORKER_RETRY_PAUSE_S * STOP_RETRY_PAUSES)
            .min(USER_TIMEOUT_S * CANCELLATION_WAIT_FRACTION)
    }

    /// Returns the time without a heartbeat after which a machine isn't expected to confirm
    /// anything soon, in seconds.
    pub fn overdue_s(&self) -> f64 {
        self.platform.facts.workers.heartbeat_s * LATE_HEARTBEAT_RATIO * OVERDUE_LATE_HEARTBEATS
    }

    /// Returns how long a machine may be silent before it is deleted, in seconds.
    ///
    /// This is `health.silent` times the lease. If the controller that the machine reported to is
    /// reachable, it is at most the time of a late heartbeat, a try that gets no response and the
    /// next try, with a safety margin.
    pub fn silence_max_s(&self, is_controller_unreachable: bool) -> f64 {
        let workers = &self.platform.facts.workers;
        let lease_part_s = workers.lease_s * self.tuning.silence_leases;
        let tries_s =
            workers.heartbeat_s * LATE_HEARTBEAT_RATIO + WORKER_TIMEOUT_S + WORKER_RETRY_PAUSE_S;
        match is_controller_unreachable {
            true => lease_part_s,
            false => lease_part_s.min(tries_s * SILENCE_MARGIN_RATIO),
        }
    }

    /// Returns the number of shards for a fleet of this size: as many as the owners' processors
    /// need, but not so many that a shard has fewer than `block.min-machines` machines.
    pub fn shard_count_for(&self, machines: u32) -> usize {
        self.shard_count_for_capacity(machines, self.machines_per_owner())
    }

    /// Returns the same as [`Self::shard_count_for`] if `machines_per_owner` machines take all of
    /// an owner's processor time.
    pub fn shard_count_for_capacity(&self, machines: u32, machines_per_owner: f64) -> usize {
        let machines = f64::from(machines);
        let shard_machines_max = machines_per_owner * self.tuning.owner_cpu_fraction;
        let needed = (machines / shard_machines_max).ceil();
        needed.min((machines / self.tuning.shard_machines_min).floor()) as usize
    }

    /// Returns the maximum number of machines that one tick of the autoscaler may add to a pool
    /// that lacks `gap` machines.
    ///
    /// With ten machines per tick, an empty fleet that needed hundreds took more than a minute to
    /// scale out, and no user was served meanwhile. A fraction of the gap is faster, and a wrong
    /// count can still be corrected in the next tick, before all machines that it asks for are
    /// rented.
    pub fn scale_out_step_max(&self, gap: u32) -> u32 {
        let fraction_of_gap = f64::from(gap) * self.tuning.scale_out_fraction;
        self.tuning.scale_out_machines.max(fraction_of_gap.ceil()) as u32
    }

    /// Returns the maximum number of machines of one type: `scale.ceiling` or, if that is 0, as
    /// many as all controllers together can serve with their processors and sockets.
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
        let machines_per_controller = self.machines_per_owner().min(sockets as f64).max(1.0);
        (machines_per_controller * f64::from(facts.controller_count.max(1))) as u32
    }
}
