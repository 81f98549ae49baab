//! Figures that follow from the settings: times, shares and counts.

use crate::peer::MESSAGE_MAX;
use crate::settings::Settings;
use crate::settings::state_limits::StrictestLimits;
use salttrestle_standby::Config;

/// Processor time that an owner spends on one heartbeat, with all that follows from it, in
/// seconds: as measured, rounded up.
const REPORT_CPU_S: f64 = 75e-6;
/// Heartbeats come this much later than usual at most.
const LATE_REPORT: f64 = 1.25;
/// A worker waits so long for the answer to a heartbeat, and then before it tries another
/// controller.
const WORKER_WAITS_S: f64 = 4.0;
const WORKER_PAUSE_S: f64 = 1.0;
/// Users wait this long for an answer to a cancellation; it waits for machines for this
/// share of that at most.
const USER_WAITS_S: f64 = 5.0;
const LEAVE_MOST: f64 = 0.8;
/// The heartbeat of a stop, and what commits and links take, in pauses of a worker.
const STOP_REPORTS: f64 = 1.25;
/// A machine is overdue when so many late heartbeats fit into its silence.
const OVERDUE_REPORTS: f64 = 2.0;
/// Shares of that wait for which an answer is held at most: where tasks may end, and
/// elsewhere.
const HOLD_ENDS: f64 = 0.5;
const HOLD_MOST: f64 = 0.65;
/// For the time that messages take, and late timers.
const SILENT_MARGIN: f64 = 1.2;
/// A heartbeat with a hundred tasks, as it is handed on to a peer.
const RELAYED_REPORT_BYTES: usize = 4 * 1024;
/// Sockets of each controller that aren't for workers.
const OTHER_SOCKETS: usize = 100;

impl Settings {
    /// The limits of the store by which everything is planned.
    pub fn state_limits(&self) -> StrictestLimits {
        self.platform.facts.state.strictest()
    }

    /// The times and bounds of the standby.
    pub fn standby(&self) -> Config {
        self.tuning.standby()
    }

    /// Most bytes that wait to be written to one peer. All workers that one controller has
    /// connections for may have heartbeats handed on at once, as a new owner appears.
    pub fn peer_out_bytes(&self) -> usize {
        let sockets = self.platform.facts.resources.max_sockets;
        (2 * MESSAGE_MAX).max(sockets * RELAYED_REPORT_BYTES)
    }

    /// Machines that one owner can serve with all of its processor.
    fn machines_per_owner(&self) -> f64 {
        let f = &self.platform.facts;
        f.resources.cpu * f.workers.report_s / REPORT_CPU_S
    }

    /// How long the answer to a quiet heartbeat may wait for a command, so that the worker
    /// still gets it in time; less where tasks may end meanwhile, whose users expect to
    /// hear of it within 3 s.
    pub fn long_poll_s(&self, ends: bool) -> f64 {
        let most = if ends { HOLD_ENDS } else { HOLD_MOST };
        let poll_s = self.tuning.report_hold * self.platform.facts.workers.report_s;
        poll_s.min(WORKER_WAITS_S * most)
    }

    /// How long a cancellation waits for the machines' word that its tasks are gone: until
    /// each has reported, has been told to stop and has reported that.
    pub fn cancellation_wait_s(&self) -> f64 {
        let report = self.platform.facts.workers.report_s * LATE_REPORT;
        (report + WORKER_PAUSE_S * STOP_REPORTS).min(USER_WAITS_S * LEAVE_MOST)
    }

    /// After how long without a heartbeat a machine can't be counted on to confirm anything.
    pub fn overdue_s(&self) -> f64 {
        self.platform.facts.workers.report_s * LATE_REPORT * OVERDUE_REPORTS
    }

    /// How long a machine may be silent before it is deleted: a share of the lease or, where
    /// the controller that it reported to is well, a heartbeat that is late, one that finds no
    /// answer, and the next try.
    pub fn silent_s(&self, mute: bool) -> f64 {
        let w = &self.platform.facts.workers;
        let of_lease = w.lease_s * self.tuning.silent;
        let tries = w.report_s * LATE_REPORT + WORKER_WAITS_S + WORKER_PAUSE_S;
        match mute {
            true => of_lease,
            false => of_lease.min(tries * SILENT_MARGIN),
        }
    }

    /// Into how many shards a fleet is cut: no more than its owners' processors need,
    /// and none smaller than is worth it.
    pub fn shards_for(&self, machines: u32) -> usize {
        self.shards_at(machines, self.machines_per_owner())
    }

    /// The same, where so many machines would take all of an owner's processor.
    pub fn shards_at(&self, machines: u32, machines_per_owner: f64) -> usize {
        let machines = f64::from(machines);
        let most = machines_per_owner * self.tuning.shard_cpu;
        let needed = (machines / most).ceil();
        needed.min((machines / self.tuning.shard_min).floor()) as usize
    }

    /// Most machines that one tick may add to a pool that lacks `gap`. Ten a tick took an
    /// empty fleet of hundreds more than a minute, in which nobody was served; a wrong
    /// count still shows in the next tick before all it asks for is rented.
    pub fn rise(&self, gap: u32) -> u32 {
        let share = f64::from(gap) * self.tuning.rise_share;
        self.tuning.rise.max(share.ceil()) as u32
    }

    /// Most machines of one type: as set or, where nothing is set, as many as the
    /// controllers together can serve by processor and sockets.
    pub fn ceiling(&self) -> u32 {
        if self.tuning.ceiling >= 1.0 {
            return self.tuning.ceiling as u32;
        }
        let f = &self.platform.facts;
        let sockets = f.resources.max_sockets.saturating_sub(OTHER_SOCKETS).max(1);
        let each = self.machines_per_owner().min(sockets as f64).max(1.0);
        (each * f64::from(f.count.max(1))) as u32
    }
}
