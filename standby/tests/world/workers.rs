//! The workers: their heartbeats, the responses to them, and the task.

use super::records::Placement;
use super::{LEADER_LEASE_MS, Violation, World};

/// Duration of a worker's lease.
const WORKER_LEASE_MS: u64 = 10_000;
/// Time for which a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT_MS: u64 = 4_000;

#[derive(Clone, Debug, Default)]
pub(super) struct Worker {
    /// The highest token that the worker has received.
    highest_token: u64,
    /// The attempt that the worker runs.
    running_attempt: Option<u64>,
    lease_renewed_at: u64,
}

impl Worker {
    /// Kills the task if the lease has expired.
    pub(super) fn expire(&mut self, now: u64) {
        if now > self.lease_renewed_at + WORKER_LEASE_MS {
            self.running_attempt = None;
        }
    }
}

/// A response to a heartbeat, in transit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Response {
    machine: usize,
    token: u64,
    /// The attempt that the worker has to start.
    start: Option<u64>,
    /// When the worker sent the heartbeat.
    sent_at: u64,
}

impl World {
    /// A worker sends a heartbeat to a controller, which responds if it owns the shard.
    pub(crate) fn send_worker_heartbeat(&mut self, machine: usize, controller_index: usize) {
        if !self.is_running(controller_index) {
            return;
        }
        let worker = &self.workers[machine];
        let (highest_token, running_attempt) = (worker.highest_token, worker.running_attempt);
        let controller = &self.controllers[controller_index];
        let leadership = controller.leadership.as_ref();
        let Some(leadership) = leadership.filter(|owner| owner.shard_token >= highest_token) else {
            return;
        };
        let token = leadership.shard_token;
        let has_acknowledged = token == highest_token;
        let is_on_machine = |placement: &Placement| placement.machine == machine;
        let is_not_running = |placement: &Placement| running_attempt != Some(placement.attempt);
        let has_recent_view = self.now - controller.read_at < LEADER_LEASE_MS;
        let own = leadership
            .own_placement
            .filter(is_on_machine)
            .filter(is_not_running);
        let start = own.filter(|_| has_acknowledged && has_recent_view);
        // A worker that has acknowledged the current token ignores responses with older tokens. If
        // it doesn't run an attempt of an earlier owner, it can't start that attempt any more.
        let earlier = controller.view.placement.value.filter(is_on_machine);
        let earlier = earlier.filter(|placement| placement.token() != token);
        if has_acknowledged && earlier.as_ref().is_some_and(is_not_running) {
            self.commit_task_gone(controller_index);
        }
        self.responses.push(Response {
            machine,
            token,
            start: start.map(|placement| placement.attempt),
            sent_at: self.now,
        });
    }

    /// Delivers a response to its worker, which ignores a response that is too late or has an
    /// outdated token.
    pub(crate) fn deliver_response(&mut self, index: usize) {
        if self.responses.is_empty() {
            return;
        }
        let response = self.responses.swap_remove(index % self.responses.len());
        let worker = &mut self.workers[response.machine];
        if response.token < worker.highest_token
            || self.now > response.sent_at + RESPONSE_TIMEOUT_MS
        {
            return;
        }
        worker.highest_token = response.token;
        worker.lease_renewed_at = response.sent_at;
        if let Some(attempt) = response.start {
            worker.running_attempt = Some(attempt);
            self.check_start(response.machine, attempt);
        }
    }

    fn check_start(&mut self, machine: usize, attempt: u64) {
        if !self
            .committed_placements
            .contains(&Placement { machine, attempt })
        {
            self.record_violation(Violation::UncommittedStart { machine, attempt });
        }
        let running = self
            .workers
            .iter()
            .filter(|worker| worker.running_attempt.is_some());
        if running.count() > 1 {
            self.record_violation(Violation::RunsTwice);
        }
    }
}
