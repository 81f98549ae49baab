//! Faults that strike a share of what happens while they last.

use super::event::Event;
use super::requests::RequestOrigin;
use super::scenario::{Arguments, Line, milliseconds};
use super::world::World;
use salttrestle::controller::events::{Input, Request};
use salttrestle::wire::WorkerHeartbeat;

/// Commands that end at once, so that nothing of them is still under way when their moment is over.
const WITHOUT_DURATION: [&str; 13] = [
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

/// A fault that strikes this share of what it is about, until then.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ActiveFault {
    pub share: f64,
    pub until: u64,
}

/// The faults under way, and the users' behaviour that goes with them.
#[derive(Default)]
pub(crate) struct ActiveFaults {
    /// Transactions get no answer, and are carried out 2 to 12 s later.
    pub late_transactions: ActiveFault,
    /// Transactions are carried out, and their answers lost.
    pub lost_answers: ActiveFault,
    /// The store answers late.
    pub slow_store: ActiveFault,
    /// Heartbeats come again, up to well over a lease later.
    pub late_heartbeats: ActiveFault,
    /// Heartbeats are kept, and given to every controller when the next leader begins.
    pub replayed_heartbeats: ActiveFault,
    /// Jobs are cancelled at the moment at which their last task ends.
    pub cancel_at_completion: ActiveFault,
    /// Jobs are cancelled as their users learn that they are accepted.
    pub cancel_at_acceptance: ActiveFault,
    /// Users ask at all controllers right after each change of a job, until then.
    pub query_changes_until: u64,
    /// Users send malformed requests until then.
    pub malformed_until: u64,
    /// Jobs that were submitted so far in malformed requests.
    pub malformed_jobs: u32,
    kept_heartbeats: Vec<WorkerHeartbeat>,
}

/// Every heartbeat comes again at each controller after this delay, until then.
pub(crate) struct HeartbeatCopies {
    pub delay: u64,
    pub until: u64,
}

/// How long a line's fault lasts; lines that bring none last for no time.
pub(crate) fn duration_ms(line: &Line) -> u64 {
    if WITHOUT_DURATION.contains(&line.keyword.as_str()) {
        return 0;
    }
    let arguments = &line.arguments;
    let lasts_s = arguments.number("for", 10.0);
    let lasts_s = lasts_s.max(arguments.number("down", 3.0));
    milliseconds(lasts_s.max(arguments.number("hang", 0.0)))
}

impl World {
    /// The fault of a line with `share=`, until its time is over.
    pub(super) fn fault(&self, arguments: &Arguments, default_share: f64) -> ActiveFault {
        ActiveFault {
            share: arguments.number("share", default_share),
            until: self.until(arguments),
        }
    }

    /// Whether a fault strikes just now.
    pub(super) fn strikes(&mut self, fault: impl Fn(&ActiveFaults) -> ActiveFault) -> bool {
        let fault = fault(&self.faults);
        self.now < fault.until && self.happens(fault.share)
    }

    /// Draws whether something happens that does so in this share of all cases.
    pub(super) fn happens(&mut self, share: f64) -> bool {
        self.random(1000) < (share * 1000.0) as u64
    }

    /// Copies of a heartbeat, as far as faults make any.
    pub(super) fn copy_heartbeat(&mut self, heartbeat: &WorkerHeartbeat) {
        if let Some(copies) = &self.heartbeat_copies
            && self.now < copies.until
        {
            let delay = copies.delay;
            for controller in 0..self.hosts.len() {
                self.send_heartbeat_copy(controller, delay, heartbeat.clone());
            }
        }
        if self.strikes(|faults| faults.late_heartbeats) {
            let delay = 2000 + self.random(self.lease_ms * 3 / 2);
            let controller = self.random(self.hosts.len() as u64) as usize;
            self.observed.late_heartbeats += 1;
            self.send_heartbeat_copy(controller, delay, heartbeat.clone());
        }
        if self.strikes(|faults| faults.replayed_heartbeats) {
            self.faults.kept_heartbeats.push(heartbeat.clone());
        }
    }

    fn send_heartbeat_copy(&mut self, controller: usize, delay: u64, heartbeat: WorkerHeartbeat) {
        let request = self.new_request(RequestOrigin::Copy);
        let input = Input::Request(request, Request::Heartbeat(heartbeat));
        self.send_input(controller, delay, input);
    }

    /// A shard has an owner under a new token: kept heartbeats come everywhere at once.
    pub(super) fn note_takeover(&mut self) {
        let now = self.now;
        self.observed.takeovers.push(now);
        for heartbeat in std::mem::take(&mut self.faults.kept_heartbeats) {
            for controller in 0..self.hosts.len() {
                let delay = 1 + self.random(40);
                self.observed.replayed_heartbeats += 1;
                self.send_heartbeat_copy(controller, delay, heartbeat.clone());
            }
        }
    }

    /// A machine is lost, preempted, made faulty, paused or partitioned, as a line says.
    pub(super) fn strike_machine(&mut self, machine: &str, arguments: &Arguments) {
        if arguments.has("die") {
            return self.kill_machine(machine);
        }
        let (now, until) = (self.now, self.until(arguments));
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if arguments.has("hang") {
            worker.pause(now, until);
        }
        if arguments.has("mute") {
            worker.heartbeats_lost_until = until;
        }
        if arguments.has("cut") {
            worker.partitioned_until = until;
        }
        if arguments.has("deaf") {
            worker.answers_lost_until = until;
        }
        if arguments.has("sick") {
            worker.is_faulty = true;
        }
        if arguments.has("taken") {
            worker.preempted_at = Some(now + arguments.span_ms("notice", 0.0));
            worker.status_changed = true;
        }
    }

    /// A machine dies. The cloud still lists it as running for half a minute.
    fn kill_machine(&mut self, machine: &str) {
        self.end_worker(machine);
        let failed_at = self.now + 30_000;
        if let Some(machine) = self.cloud.machines.get_mut(machine) {
            machine.listed_failed_at = Some(failed_at);
        }
    }

    /// Users begin to send malformed requests.
    pub(super) fn begin_malformed_requests(&mut self, until: u64) {
        self.faults.malformed_until = until;
        self.after(1, Event::MalformedRequest);
    }
}
