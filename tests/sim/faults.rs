//! Faults that affect a fraction of operations for a limited time, and faults of machines.

use super::event::Event;
use super::requests::RequestOrigin;
use super::scenario::{Arguments, Line, milliseconds};
use super::world::World;
use salttrestle::controller::events::{Input, Request};
use salttrestle::wire::WorkerHeartbeat;

/// Commands that start no fault. Their duration doesn't postpone the end of the script's faults.
const COMMANDS_WITHOUT_FAULT: [&str; 13] = [
    "submit",
    "withdraw",
    "poll",
    "again",
    "mangled",
    "probe",
    "stream",
    "capacity",
    "limits-fall",
    "limits",
    "limits-spoilt",
    "limits-gone",
    "pipelines",
];

/// A fault that affects a fraction of the matching operations until a given time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ActiveFault {
    /// The fraction of operations that the fault affects, 0 to 1.
    pub share: f64,
    /// When the fault ends, in milliseconds.
    pub until: u64,
}

/// The active faults and the unusual user behaviour that accompanies them.
#[derive(Default)]
pub(crate) struct ActiveFaults {
    /// Transactions get no answer and are executed 2 to 12 s later.
    pub late_transactions: ActiveFault,
    /// Transactions are executed, but their answers are lost.
    pub lost_answers: ActiveFault,
    /// Answers of the store are delayed.
    pub slow_store: ActiveFault,
    /// Heartbeats are delivered a second time, later by 2 s plus up to 1.5 times a lease's length.
    pub late_heartbeats: ActiveFault,
    /// Heartbeats are recorded and delivered again to every controller at the next takeover.
    pub replayed_heartbeats: ActiveFault,
    /// Jobs are cancelled when their last task ends.
    pub cancel_at_completion: ActiveFault,
    /// Jobs are cancelled when their users learn that they are accepted.
    pub cancel_at_acceptance: ActiveFault,
    /// Until this time, users query all controllers right after each status change of a job.
    pub query_changes_until: u64,
    /// Until this time, users send malformed requests.
    pub malformed_until: u64,
    /// The number of jobs submitted so far in malformed requests.
    pub malformed_jobs: u32,
    recorded_heartbeats: Vec<WorkerHeartbeat>,
}

/// Every heartbeat is also delivered to each controller after a delay, until a given time.
pub(crate) struct HeartbeatCopies {
    /// The delay of a copy, in milliseconds.
    pub delay_ms: u64,
    /// When copying ends, in milliseconds.
    pub until: u64,
}

/// How long the fault of a script line lasts, in milliseconds; 0 for commands that start no fault.
pub(crate) fn fault_duration_ms(line: &Line) -> u64 {
    if COMMANDS_WITHOUT_FAULT.contains(&line.keyword.as_str()) {
        return 0;
    }
    let arguments = &line.arguments;
    let duration_s = arguments.number("for", 10.0);
    let duration_s = duration_s.max(arguments.number("down", 3.0));
    milliseconds(duration_s.max(arguments.number("hang", 0.0)))
}

impl World {
    /// The fault that a command with `share=` and `for=` describes.
    pub(super) fn fault_from(&self, arguments: &Arguments, default_share: f64) -> ActiveFault {
        ActiveFault {
            share: arguments.number("share", default_share),
            until: self.end_of_command(arguments),
        }
    }

    /// Draws whether an active fault affects the current operation.
    pub(super) fn is_hit_by_fault(&mut self, fault: impl Fn(&ActiveFaults) -> ActiveFault) -> bool {
        let fault = fault(&self.faults);
        self.now < fault.until && self.occurs_with_probability(fault.share)
    }

    /// Draws true with this probability, in steps of a thousandth.
    pub(super) fn occurs_with_probability(&mut self, probability: f64) -> bool {
        self.random_below(1000) < (probability * 1000.0) as u64
    }

    /// Makes the copies of a heartbeat that the active faults call for.
    pub(super) fn copy_heartbeat(&mut self, heartbeat: &WorkerHeartbeat) {
        if let Some(copies) = &self.heartbeat_copies
            && self.now < copies.until
        {
            let delay = copies.delay_ms;
            for controller in 0..self.hosts.len() {
                self.send_heartbeat_copy(controller, delay, heartbeat.clone());
            }
        }
        if self.is_hit_by_fault(|faults| faults.late_heartbeats) {
            let delay = 2000 + self.random_below(self.lease_ms * 3 / 2);
            let controller = self.random_below(self.hosts.len() as u64) as usize;
            self.observed.late_heartbeats += 1;
            self.send_heartbeat_copy(controller, delay, heartbeat.clone());
        }
        if self.is_hit_by_fault(|faults| faults.replayed_heartbeats) {
            self.faults.recorded_heartbeats.push(heartbeat.clone());
        }
    }

    fn send_heartbeat_copy(&mut self, controller: usize, delay: u64, heartbeat: WorkerHeartbeat) {
        let request = self.register_request(RequestOrigin::Copy);
        let input = Input::Request(request, Request::Heartbeat(heartbeat));
        self.send_input(controller, delay, input);
    }

    /// Records that a shard has an owner under a new token, and delivers the recorded heartbeats to
    /// every controller within 40 ms.
    pub(super) fn record_takeover(&mut self) {
        let now = self.now;
        self.observed.takeovers.push(now);
        for heartbeat in std::mem::take(&mut self.faults.recorded_heartbeats) {
            for controller in 0..self.hosts.len() {
                let delay = 1 + self.random_below(40);
                self.observed.replayed_heartbeats += 1;
                self.send_heartbeat_copy(controller, delay, heartbeat.clone());
            }
        }
    }

    /// Applies the faults that a `machine` or `zone` command names: machine loss (`die`), pause
    /// (`hang`), lost heartbeats (`mute`), partition (`cut`), lost answers (`deaf`), failing tasks
    /// (`sick`) and spot preemption (`taken`).
    pub(super) fn apply_machine_fault(&mut self, machine: &str, arguments: &Arguments) {
        if arguments.contains("die") {
            return self.kill_machine(machine);
        }
        let (now, until) = (self.now, self.end_of_command(arguments));
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if arguments.contains("hang") {
            worker.pause(now, until);
        }
        if arguments.contains("mute") {
            worker.heartbeats_lost_until = until;
        }
        if arguments.contains("cut") {
            worker.partitioned_until = until;
        }
        if arguments.contains("deaf") {
            worker.answers_lost_until = until;
        }
        if arguments.contains("sick") {
            worker.is_faulty = true;
        }
        if arguments.contains("taken") {
            worker.preempted_at = Some(now + arguments.span_ms("notice", 0.0));
            worker.status_changed = true;
        }
    }

    /// Ends a machine. The cloud still lists the machine as running for 30 s.
    fn kill_machine(&mut self, machine: &str) {
        self.end_worker(machine);
        let failed_at = self.now + 30_000;
        if let Some(machine) = self.cloud.machines.get_mut(machine) {
            machine.listed_failed_at = Some(failed_at);
        }
    }

    /// Starts the stream of malformed requests.
    pub(super) fn start_malformed_requests(&mut self, until: u64) {
        self.faults.malformed_until = until;
        self.schedule_after(1, Event::MalformedRequest);
    }
}
