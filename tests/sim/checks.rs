//! Periodic checks of rules whose violations are not tied to a single event, such as a job that
//! waits too long.

use super::event::Event;
use super::world::World;
use salttrestle::controller::store::records::{JobRecord, Resources};
use salttrestle_fakes::worker::Worker;

/// The interval between two runs of the periodic checks.
const CHECK_INTERVAL_MS: u64 = 500;

impl World {
    /// Runs all periodic checks and schedules the next run.
    pub(super) fn run_periodic_checks(&mut self) {
        self.audit_controllers();
        self.record_waiting_for_dependencies();
        let now = self.now;
        self.checker.check_cancelled(now);
        self.check_waiting();
        self.check_answers();
        self.checker.check_status_queries(now);
        self.check_limits();
        self.report_utilization();
        self.schedule_after(CHECK_INTERVAL_MS, Event::Check);
    }

    /// Reports each controller whose indexes disagree with the state that they are derived from.
    fn audit_controllers(&mut self) {
        let controllers = self
            .hosts
            .iter()
            .filter_map(|host| host.controller.as_ref());
        let errors = controllers.filter_map(|controller| controller.audit().err());
        self.checker
            .violations
            .extend(errors.map(|error| error.to_string()));
    }

    fn record_waiting_for_dependencies(&mut self) {
        let queues = self.hosts.iter();
        let queues = queues.filter_map(|host| host.controller.as_ref()?.queue());
        let waiting = queues.map(|queue| queue.waiting_for_dependencies).max();
        let maximum = &mut self.observed.waiting_for_dependencies;
        *maximum = waiting.unwrap_or(0).max(*maximum);
    }

    fn check_answers(&mut self) {
        let (now, faults_end_at) = (self.now, self.faults_end_at);
        self.checker
            .check_answers(now, faults_end_at, &self.last_answered_at);
    }

    /// Passes to the checker the jobs of which no task runs although a suitable machine has room
    /// for one. Does nothing until the script's faults are over.
    fn check_waiting(&mut self) {
        if self.now < self.faults_end_at {
            return;
        }
        let jobs = self.checker.jobs.iter().filter(|(id, job)| {
            let is_over =
                job.notified.is_done || self.checker.upstream_cancel_requested_at(id).is_some();
            let has_open_dependency = self.checker.open_dependency(&job.record).is_some();
            let is_running = self.checker.running.keys().any(|task| task.job == **id);
            let has_tasks_left = (job.finished_tasks.len() as u32) < job.record.count;
            job.notified.is_accepted
                && !is_over
                && !has_open_dependency
                && !is_running
                && has_tasks_left
                && self.checker.fits_team_limit(&job.record)
        });
        let jobs_with_room = jobs.filter(|(id, job)| {
            let is_crash_looping = self.specs[*id].task.crash_loops;
            !is_crash_looping && self.any_machine_has_room(&job.record)
        });
        let jobs_with_room = jobs_with_room.map(|(id, _)| id.clone()).collect();
        let now = self.now;
        self.checker.check_waiting(now, &jobs_with_room);
    }

    fn any_machine_has_room(&self, record: &JobRecord) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| self.machine_has_room(worker, record))
    }

    fn machine_has_room(&self, worker: &Worker, record: &JobRecord) -> bool {
        let is_healthy =
            !worker.is_faulty && worker.preempted_at.is_none() && worker.paused_until <= self.now;
        let is_market_allowed = record.spot || !worker.spot;
        let zone = record.zone.as_ref();
        let is_zone_allowed = zone.is_none_or(|zone| *zone == worker.zone);
        let mut used = Resources::default();
        for task in worker.tasks.keys() {
            if let Some(job) = self.checker.jobs.get(&task.job) {
                used.add(job.record.resources, 1.0);
            }
        }
        used.add(record.resources, 1.0);
        let mut catalog = self.cloud.catalog.iter();
        let machine_type = catalog.find(|machine_type| machine_type.name == worker.class);
        let fits = machine_type.is_some_and(|machine_type| {
            record.allows(&machine_type.name) && machine_type.resources.holds(used)
        });
        is_healthy && is_market_allowed && is_zone_allowed && fits
    }
}
