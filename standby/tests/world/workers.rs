//! Workers: heartbeats, answers, and the one task.

use super::records::Placed;
use super::{LEADER_LEASE_MS, Violation, World};

/// A worker's lease.
const WORKER_LEASE_MS: u64 = 10_000;
/// How long the answer to a heartbeat is waited for.
const ANSWER_MS: u64 = 4_000;

#[derive(Clone, Debug, Default)]
pub(super) struct Worker {
    /// The highest token that it has seen.
    newest_token: u64,
    /// The attempt that it runs.
    runs: Option<u64>,
    lease_renewed_at: u64,
}

impl Worker {
    /// Kills the task if the lease has expired.
    pub(super) fn expire(&mut self, now: u64) {
        if now > self.lease_renewed_at + WORKER_LEASE_MS {
            self.runs = None;
        }
    }
}

/// An answer to a heartbeat, on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    machine: usize,
    token: u64,
    /// The attempt to be started.
    start: Option<u64>,
    /// When the heartbeat was sent.
    sent_at: u64,
}

impl World {
    /// A worker sends a heartbeat to a controller, which answers if it owns the shard.
    pub(crate) fn heartbeat(&mut self, machine: usize, place: usize) {
        if !self.acts(place) {
            return;
        }
        let worker = &self.workers[machine];
        let (newest, runs) = (worker.newest_token, worker.runs);
        let controller = &self.controllers[place];
        let leadership = controller.leadership.as_ref();
        let Some(leadership) = leadership.filter(|owner| owner.shard_token >= newest) else {
            return;
        };
        let token = leadership.shard_token;
        let acknowledged = token == newest;
        let here = |placed: &Placed| placed.machine == machine;
        let missing = |placed: &Placed| runs != Some(placed.attempt);
        let fresh = self.now - controller.read_at < LEADER_LEASE_MS;
        let own = leadership.own.filter(here).filter(missing);
        let start = own.filter(|_| acknowledged && fresh);
        // Placed by an earlier owner, and not there under the present token: proven gone.
        let earlier = controller.view.run.value.filter(here);
        let earlier = earlier.filter(|placed| placed.token() != token);
        if acknowledged && earlier.as_ref().is_some_and(missing) {
            self.commit_gone(place);
        }
        self.answers.push(Answer {
            machine,
            token,
            start: start.map(|placed| placed.attempt),
            sent_at: self.now,
        });
    }

    /// An answer reaches its worker, unless it is too late or under an outdated token.
    pub(crate) fn answer(&mut self, index: usize) {
        if self.answers.is_empty() {
            return;
        }
        let answer = self.answers.swap_remove(index % self.answers.len());
        let worker = &mut self.workers[answer.machine];
        if answer.token < worker.newest_token || self.now > answer.sent_at + ANSWER_MS {
            return;
        }
        worker.newest_token = answer.token;
        worker.lease_renewed_at = answer.sent_at;
        if let Some(attempt) = answer.start {
            worker.runs = Some(attempt);
            self.check_start(answer.machine, attempt);
        }
    }

    fn check_start(&mut self, machine: usize, attempt: u64) {
        if !self.committed.contains(&Placed { machine, attempt }) {
            self.fail(Violation::UncommittedStart { machine, attempt });
        }
        let running = self.workers.iter().filter(|worker| worker.runs.is_some());
        if running.count() > 1 {
            self.fail(Violation::RunsTwice);
        }
    }
}
