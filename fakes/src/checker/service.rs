//! Rules on progress and fairness: jobs end, no group of jobs is starved, and no job waits for long
//! while a machine has room for it.

use super::{Checker, JobView};
use salttrestle::controller::store::records::JobKind;
use salttrestle::ids::JobId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Longest time in milliseconds that a job may wait while a suitable machine has room for it, once
/// the faults are over.
const WAITING_MAX_MS: u64 = 90_000;

impl Checker {
    /// Checks at the end of a run that tasks were started at all, that accepted jobs have ended or,
    /// for a service, started, and that no group of jobs was starved.
    pub fn check_end(&mut self, now: u64) {
        if self.start_count == 0 && !self.jobs.is_empty() {
            self.add_violation(now, "nothing_ran", "no task was started".into());
        }
        let unfinished = self.jobs.iter().filter(|(_, job)| {
            let is_service = job.record.kind == JobKind::Service;
            job.is_open() && !(is_service && job.first_started_at.is_some())
        });
        let unfinished: Vec<String> = unfinished.map(|(id, _)| id.to_string()).collect();
        if !unfinished.is_empty() {
            self.add_violation(now, "unfinished", unfinished.join(", "));
        }
        self.check_starvation(now);
    }

    /// Reports each job class and team of which less than half of the jobs is served, or less than
    /// half of its largest jobs.
    fn check_starvation(&mut self, now: u64) {
        let mut starved = Vec::new();
        for (name, mut jobs) in self.jobs_by_group() {
            if is_starved(&jobs) {
                starved.push(name.clone());
            }
            jobs.sort_by_key(|job| Reverse(job.record.count));
            let largest_count = jobs.first().map_or(0, |job| job.record.count);
            let largest = jobs.partition_point(|job| job.record.count == largest_count);
            if largest_count > 1 && is_starved(&jobs[..largest]) {
                starved.push(format!("largest of {name}"));
            }
        }
        if !starved.is_empty() {
            self.add_violation(now, "starved", starved.join(", "));
        }
    }

    /// The jobs that were accepted and that no user asked to cancel, by job class and by team.
    fn jobs_by_group(&self) -> BTreeMap<String, Vec<&JobView>> {
        let mut groups: BTreeMap<String, Vec<&JobView>> = BTreeMap::new();
        let wanted = self.jobs.iter().filter(|(id, job)| {
            job.notified.is_accepted && self.upstream_cancel_requested_at(id).is_none()
        });
        for (_, job) in wanted {
            let class = format!("class {}", job.record.class);
            let team = format!("team {}", job.record.team);
            for name in [class, team] {
                groups.entry(name).or_default().push(job);
            }
        }
        groups
    }

    /// Reports jobs that have waited for too long while a machine had room for one of their tasks.
    /// `with_room` are the waiting jobs for which a machine has room now.
    pub fn check_waiting(&mut self, now: u64, with_room: &BTreeSet<JobId>) {
        self.waiting_since.retain(|id, _| with_room.contains(id));
        let mut overdue = Vec::new();
        for id in with_room {
            let since = *self.waiting_since.entry(id.clone()).or_insert(now);
            if now > since + WAITING_MAX_MS {
                overdue.push(id.to_string());
            }
        }
        if !overdue.is_empty() {
            self.add_violation(now, "left_waiting", overdue.join(", "));
        }
    }
}

/// Whether less than half of a group of jobs is served. A job is served once its user was told that
/// it is done, or once all its tasks have been started.
fn is_starved(jobs: &[&JobView]) -> bool {
    let served = jobs.iter().filter(|job| {
        let started = job.started_tasks.len() as u32;
        job.notified.is_done || started == job.record.count
    });
    2 * served.count() < jobs.len()
}
