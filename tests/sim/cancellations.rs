//! Users who cancel and ask at the worst moments.

use super::event::Event;
use super::scenario::Arguments;
use super::users::Intent;
use super::world::World;
use salttrestle::ids::JobId;
use salttrestle_fakes::checker::JobAnswer;
use std::collections::BTreeSet;

/// Most machines that hang under one line's cancellations.
const HUNG_MACHINES_MAX: usize = 8;

impl World {
    /// Users ask at all controllers within milliseconds after a change of a job, and repeat its
    /// submission; some cancel at once.
    pub(super) fn query_after_change(&mut self, job: &JobId, answer: JobAnswer) {
        if self.now >= self.faults.query_changes_until {
            return;
        }
        for controller in 0..self.hosts.len() {
            for intent in [Intent::Query, Intent::Resubmit, Intent::Query] {
                let at = self.now + self.random(8);
                self.observed.status_queries += 1;
                let job = job.clone();
                let request = Event::UserRequestTo {
                    job,
                    intent,
                    controller,
                };
                self.at(at, request);
            }
        }
        let service = self.specs[job].task.is_service;
        if answer == JobAnswer::Queued
            && !service
            && self.strikes(|faults| faults.cancel_at_acceptance)
        {
            self.user_request(job, Intent::Cancel);
        }
    }

    /// A job's last task may have ended: some are cancelled at this moment.
    pub(super) fn cancel_at_completion(&mut self, id: &JobId) {
        let job = &self.checker.jobs[id];
        let complete = job.finished_tasks.len() as u32 == job.record.count;
        if complete && self.strikes(|faults| faults.cancel_at_completion) {
            self.observed.cancelled_at_completion += 1;
            self.user_request(id, Intent::Cancel);
        }
    }

    /// Cancels jobs that run, within a fifth of a second; some of their machines hang.
    pub(super) fn cancel_running(&mut self, arguments: &Arguments) {
        let count = arguments.number("count", 5.0) as usize;
        let hang_ms = arguments.span_ms("hang", 0.0);
        let hangs = arguments.number("hang", 0.0) > 0.0;
        let mut running = self.running_jobs(arguments.value("of").unwrap_or(""));
        for nth in 0..count.min(running.len()) {
            let pick = self.random(running.len() as u64) as usize;
            let job = running.swap_remove(pick);
            if hangs && nth < HUNG_MACHINES_MAX {
                self.hang_machine_of(&job, hang_ms);
            }
            let at = self.now + self.random(200);
            let intent = Intent::Cancel;
            self.at(at, Event::UserRequest { job, intent });
        }
    }

    /// Jobs with tasks on machines for which no cancellation was requested.
    fn running_jobs(&self, prefix: &str) -> Vec<JobId> {
        let running = self.checker.running.keys().map(|task| task.job.clone());
        let running: BTreeSet<JobId> = running.collect();
        let wanted = |id: &JobId| {
            id.as_str().starts_with(prefix) && self.checker.jobs[id].cancel_requested_at.is_none()
        };
        running.into_iter().filter(wanted).collect()
    }

    fn hang_machine_of(&mut self, job: &JobId, hang_ms: u64) {
        let mut running = self.checker.running.iter();
        let places = running.find(|(task, _)| task.job == *job);
        let machine = places.map(|(_, places)| places[0].machine.clone());
        let now = self.now;
        if let Some(worker) = machine.and_then(|machine| self.workers.get_mut(&machine)) {
            worker.pause(now, now + hang_ms);
        }
    }
}
