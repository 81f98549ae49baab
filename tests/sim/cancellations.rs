//! Cancellations and status queries timed to race with acceptance, execution and completion.

use super::event::Event;
use super::scenario::Arguments;
use super::users::Intent;
use super::world::World;
use salttrestle::ids::JobId;
use salttrestle_fakes::checker::JobAnswer;
use std::collections::BTreeSet;

/// The largest number of machines that one `cancel-now` command pauses.
const PAUSED_MACHINES_MAX: usize = 8;

impl World {
    /// While `close-looks` is active, sends status queries and a repeated submission to every
    /// controller within milliseconds of a status change, to catch controllers that answer from
    /// stale state. Some batch jobs are also cancelled as soon as they are accepted.
    pub(super) fn query_after_change(&mut self, job: &JobId, answer: JobAnswer) {
        if self.now >= self.faults.query_changes_until {
            return;
        }
        for controller in 0..self.hosts.len() {
            for intent in [Intent::Query, Intent::Resubmit, Intent::Query] {
                let at = self.now + self.random_below(8);
                self.observed.status_queries += 1;
                let job = job.clone();
                let request = Event::UserRequestTo {
                    job,
                    intent,
                    controller,
                };
                self.schedule_at(at, request);
            }
        }
        let is_service = self.specs[job].task.is_service;
        if answer == JobAnswer::Queued
            && !is_service
            && self.is_hit_by_fault(|faults| faults.cancel_at_acceptance)
        {
            self.send_user_request(job, Intent::Cancel);
        }
    }

    /// Cancels some jobs at the moment at which their last task ends. Called after each task ends.
    pub(super) fn cancel_at_completion(&mut self, id: &JobId) {
        let job = &self.checker.jobs[id];
        let is_complete = job.finished_tasks.len() as u32 == job.record.count;
        if is_complete && self.is_hit_by_fault(|faults| faults.cancel_at_completion) {
            self.observed.cancelled_at_completion += 1;
            self.send_user_request(id, Intent::Cancel);
        }
    }

    /// Handles `cancel-now`: cancels random running jobs within 200 ms. With `hang=`, also pauses
    /// a machine of each of the first [`PAUSED_MACHINES_MAX`] jobs.
    pub(super) fn cancel_running(&mut self, arguments: &Arguments) {
        let count = arguments.number("count", 5.0) as usize;
        let hang_ms = arguments.span_ms("hang", 0.0);
        let has_hang = arguments.number("hang", 0.0) > 0.0;
        let mut running = self.running_jobs(arguments.value("of").unwrap_or(""));
        for nth in 0..count.min(running.len()) {
            let index = self.random_below(running.len() as u64) as usize;
            let job = running.swap_remove(index);
            if has_hang && nth < PAUSED_MACHINES_MAX {
                self.pause_machine_of(&job, hang_ms);
            }
            let at = self.now + self.random_below(200);
            let intent = Intent::Cancel;
            self.schedule_at(at, Event::UserRequest { job, intent });
        }
    }

    /// Jobs whose ids start with the prefix, that have tasks on machines, and for which no
    /// cancellation was requested.
    fn running_jobs(&self, prefix: &str) -> Vec<JobId> {
        let running = self.checker.running.keys().map(|task| task.job.clone());
        let running: BTreeSet<JobId> = running.collect();
        let is_cancellable = |id: &JobId| {
            id.as_str().starts_with(prefix) && self.checker.jobs[id].cancel_requested_at.is_none()
        };
        running.into_iter().filter(is_cancellable).collect()
    }

    fn pause_machine_of(&mut self, job: &JobId, hang_ms: u64) {
        let mut running = self.checker.running.iter();
        let places = running.find(|(task, _)| task.job == *job);
        let machine = places.map(|(_, places)| places[0].machine.clone());
        let now = self.now;
        if let Some(worker) = machine.and_then(|machine| self.workers.get_mut(&machine)) {
            worker.pause(now, now + hang_ms);
        }
    }
}
