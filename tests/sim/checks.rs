//! What the checker looks at twice a second: rules on what takes time to show.

use super::event::Event;
use super::world::World;
use salttrestle::controller::store::records::{JobRecord, Resources};
use salttrestle_fakes::worker::Worker;

/// Between two looks of the checker.
const CHECK_INTERVAL_MS: u64 = 500;

impl World {
    /// Looks at every rule that needs no event to be broken.
    pub(super) fn check(&mut self) {
        self.audit_controllers();
        self.note_waiting_for_dependencies();
        let now = self.now;
        self.checker.check_cancelled(now);
        self.check_waiting();
        self.check_answers();
        self.check_limits();
        self.measure_utilization();
        self.after(CHECK_INTERVAL_MS, Event::Check);
    }

    /// Each controller compares its indexes with what they are made from.
    fn audit_controllers(&mut self) {
        let controllers = self
            .hosts
            .iter()
            .filter_map(|host| host.controller.as_ref());
        let defects = controllers.filter_map(|controller| controller.audit().err());
        self.checker
            .violations
            .extend(defects.map(|defect| defect.to_string()));
    }

    fn note_waiting_for_dependencies(&mut self) {
        let queues = self.hosts.iter();
        let queues = queues.filter_map(|host| host.controller.as_ref()?.queue());
        let waiting = queues.map(|queue| queue.waiting_for_dependencies).max();
        let most = &mut self.observed.waiting_for_dependencies;
        *most = waiting.unwrap_or(0).max(*most);
    }

    fn check_answers(&mut self) {
        let (now, calm) = (self.now, self.calm_at);
        self.checker.check_answers(now, calm, &self.answered);
    }

    /// Jobs of which no task runs though a machine that fits has room for one.
    fn check_waiting(&mut self) {
        if self.now < self.calm_at {
            return;
        }
        let jobs = self.checker.jobs.iter().filter(|(id, job)| {
            let over =
                job.notified.is_done || self.checker.upstream_cancel_requested_at(id).is_some();
            let held = self.checker.open_dependency(&job.record).is_some();
            let runs = self.checker.running.keys().any(|task| task.job == **id);
            let left = (job.finished_tasks.len() as u32) < job.record.count;
            job.notified.is_accepted
                && !over
                && !held
                && !runs
                && left
                && self.checker.fits_team_limit(&job.record)
        });
        let with_room = jobs.filter(|(id, job)| {
            let crash_loops = self.specs[*id].task.crash_loops;
            !crash_loops && self.has_room(&job.record)
        });
        let with_room = with_room.map(|(id, _)| id.clone()).collect();
        let now = self.now;
        self.checker.check_waiting(now, &with_room);
    }

    fn has_room(&self, record: &JobRecord) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| self.machine_has_room(worker, record))
    }

    fn machine_has_room(&self, worker: &Worker, record: &JobRecord) -> bool {
        let healthy =
            !worker.is_faulty && worker.preempted_at.is_none() && worker.paused_until <= self.now;
        let market = record.spot || !worker.spot;
        let zone = record.zone.as_ref();
        let zone = zone.is_none_or(|zone| *zone == worker.zone);
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
        healthy && market && zone && fits
    }
}
