//! Rules on service: jobs end, no group of jobs is starved, and no job waits for long while a machine
//! has room for it.

use super::{Checker, JobView};
use salttrestle::controller::store::records::JobKind;
use salttrestle::ids::JobId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// After the faults, no job waits for longer while a machine that fits has room.
const WAITING_MAX_MS: u64 = 90_000;

impl Checker {
    /// At the end: looks for jobs that were accepted and neither end nor run, and for groups that
    /// were starved.
    pub fn check_end(&mut self, now: u64) {
        if self.start_count == 0 && !self.jobs.is_empty() {
            self.add_violation(now, "nothing_ran", "no task was started".into());
        }
        let unfinished = self.jobs.iter().filter(|(_, job)| {
            let service = job.record.kind == JobKind::Service;
            job.is_open() && !(service && job.first_started_at.is_some())
        });
        let unfinished: Vec<String> = unfinished.map(|(id, _)| id.to_string()).collect();
        if !unfinished.is_empty() {
            self.add_violation(now, "unfinished", unfinished.join(", "));
        }
        self.check_starved(now);
    }

    /// Looks for a class, a team, or the largest jobs of either of which less than half is served.
    fn check_starved(&mut self, now: u64) {
        let mut starved = Vec::new();
        for (name, mut jobs) in self.jobs_by_group() {
            if is_starved(&jobs) {
                starved.push(name.clone());
            }
            jobs.sort_by_key(|job| Reverse(job.record.count));
            let most = jobs.first().map_or(0, |job| job.record.count);
            let largest = jobs.partition_point(|job| job.record.count == most);
            if most > 1 && is_starved(&jobs[..largest]) {
                starved.push(format!("largest of {name}"));
            }
        }
        if !starved.is_empty() {
            self.add_violation(now, "starved", starved.join(", "));
        }
    }

    /// The jobs of each class and of each team that were accepted and not cancelled.
    fn jobs_by_group(&self) -> BTreeMap<String, Vec<&JobView>> {
        let mut groups: BTreeMap<String, Vec<&JobView>> = BTreeMap::new();
        let wanted = self.jobs.iter().filter(|(id, job)| {
            job.notified.accepted && self.upstream_cancel_requested_at(id).is_none()
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

    /// Looks for jobs of which no task runs though a machine has had room for one for long;
    /// `with_room` are those that it has room for now.
    pub fn check_waiting(&mut self, now: u64, with_room: &BTreeSet<JobId>) {
        self.waiting_since.retain(|id, _| with_room.contains(id));
        let mut left = Vec::new();
        for id in with_room {
            let since = *self.waiting_since.entry(id.clone()).or_insert(now);
            if now > since + WAITING_MAX_MS {
                left.push(id.to_string());
            }
        }
        if !left.is_empty() {
            self.add_violation(now, "left_waiting", left.join(", "));
        }
    }
}

/// Whether less than half of some jobs is done or has had all its tasks started.
fn is_starved(jobs: &[&JobView]) -> bool {
    let served = jobs.iter().filter(|job| {
        let started = job.started_tasks.len() as u32;
        job.notified.done || started == job.record.count
    });
    2 * served.count() < jobs.len()
}
