//! Dependencies between jobs: which cancellations cascade, and when a job may start.

use super::{Checker, JobView};
use salttrestle::controller::store::records::JobRecord;
use salttrestle::ids::JobId;
use std::collections::BTreeSet;

/// The release of a job: its last dependency is done. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Release {
    /// When the last dependency finished.
    pub released_at: u64,
    /// Time from the release to the first start of a task.
    pub start_delay_ms: u64,
}

impl Checker {
    /// A job and all its direct and transitive dependencies.
    fn upstream_jobs(&self, id: &JobId) -> BTreeSet<JobId> {
        let (mut pending, mut found) = (vec![id.clone()], BTreeSet::new());
        while let Some(id) = pending.pop() {
            if let Some(job) = self.jobs.get(&id)
                && found.insert(id)
            {
                pending.extend(job.record.dependencies.iter().cloned());
            }
        }
        found
    }

    /// When a user first asked to cancel a job or one of its direct or transitive dependencies.
    pub fn upstream_cancel_requested_at(&self, id: &JobId) -> Option<u64> {
        let upstream = self.upstream_jobs(id);
        let requested = upstream.iter().map(|id| self.jobs[id].cancel_requested_at);
        requested.flatten().min()
    }

    /// When the first cancellation of one of a job's direct or transitive dependencies was
    /// confirmed to a user, or when the job was accepted if that was later.
    pub(super) fn upstream_cancel_confirmed_at(&self, id: &JobId) -> Option<u64> {
        let mut upstream = self.upstream_jobs(id);
        upstream.remove(id);
        let confirmed = upstream.iter();
        let confirmed = confirmed.map(|id| self.jobs[id].notified.cancelled_at);
        let first = confirmed.flatten().min()?;
        Some(first.max(self.jobs[id].accepted_at.unwrap_or(first)))
    }

    /// A direct dependency of a job that isn't done yet, if there is one.
    pub fn open_dependency(&self, record: &JobRecord) -> Option<JobId> {
        let done = |id: &&JobId| self.jobs.get(id).is_some_and(JobView::is_finished);
        record.dependencies.iter().find(|id| !done(id)).cloned()
    }

    /// The times at which users were told that a job is cancelled because the cancellation of a
    /// dependency cascades to it: no user asked to cancel the job itself.
    pub fn cascading_cancellations(&self) -> impl Iterator<Item = u64> {
        let jobs = self
            .jobs
            .values()
            .filter(|job| job.cancel_requested_at.is_none());
        jobs.filter_map(|job| job.notified.cancelled_at)
    }

    /// The releases of all jobs that have dependencies, all of them done, and have started a task.
    pub fn releases(&self) -> impl Iterator<Item = Release> {
        self.jobs.values().filter_map(|job| self.release(job))
    }

    fn release(&self, job: &JobView) -> Option<Release> {
        let dependencies = job.record.dependencies.iter();
        let finished = dependencies.map(|id| self.jobs.get(id)?.finished_at);
        let finished: Option<Vec<u64>> = finished.collect();
        let released_at = finished?.into_iter().max()?;
        let start_delay_ms = job.first_started_at?.saturating_sub(released_at);
        Some(Release {
            released_at,
            start_delay_ms,
        })
    }
}
