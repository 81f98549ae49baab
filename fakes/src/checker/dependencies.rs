//! Jobs that depend on others: what is cancelled with them, and what starts after them.

use super::{Checker, JobView};
use salttrestle::controller::store::records::JobRecord;
use salttrestle::ids::JobId;
use std::collections::BTreeSet;

/// A job whose last dependency is done.
#[derive(Clone, Copy, Debug)]
pub struct Release {
    /// When that was.
    pub released_at: u64,
    /// How long it took then until a task started.
    pub start_delay_ms: u64,
}

impl Checker {
    /// A job, and all that it depends on, directly or through others.
    fn upstream_jobs(&self, id: &JobId) -> BTreeSet<JobId> {
        let (mut left, mut found) = (vec![id.clone()], BTreeSet::new());
        while let Some(id) = left.pop() {
            if let Some(job) = self.jobs.get(&id)
                && found.insert(id)
            {
                left.extend(job.record.dependencies.iter().cloned());
            }
        }
        found
    }

    /// When a user first asked to cancel a job or one that it depends on.
    pub fn upstream_cancel_requested_at(&self, id: &JobId) -> Option<u64> {
        let upstream = self.upstream_jobs(id);
        let asked = upstream.iter().map(|id| self.jobs[id].cancel_requested_at);
        asked.flatten().min()
    }

    /// When a user first learnt that a job which this one depends on is cancelled, or when this one
    /// was accepted after that.
    pub(super) fn upstream_cancel_confirmed_at(&self, id: &JobId) -> Option<u64> {
        let mut upstream = self.upstream_jobs(id);
        upstream.remove(id);
        let confirmed = upstream.iter();
        let confirmed = confirmed.map(|id| self.jobs[id].notified.cancelled_at);
        let first = confirmed.flatten().min()?;
        Some(first.max(self.jobs[id].accepted_at.unwrap_or(first)))
    }

    /// A job that this one depends on and that isn't done, if there is one.
    pub fn open_dependency(&self, record: &JobRecord) -> Option<JobId> {
        let done = |id: &&JobId| self.jobs.get(id).is_some_and(JobView::is_finished);
        record.dependencies.iter().find(|id| !done(id)).cloned()
    }

    /// When jobs were called cancelled for which no cancellation was requested.
    pub fn cascading_cancellations(&self) -> impl Iterator<Item = u64> {
        let jobs = self
            .jobs
            .values()
            .filter(|job| job.cancel_requested_at.is_none());
        jobs.filter_map(|job| job.notified.cancelled_at)
    }

    /// The jobs that depend on others, all of which are done, and that have started.
    pub fn releases(&self) -> impl Iterator<Item = Release> {
        self.jobs.values().filter_map(|job| self.release(job))
    }

    fn release(&self, job: &JobView) -> Option<Release> {
        let dependencies = job.record.dependencies.iter();
        let done = dependencies.map(|id| self.jobs.get(id)?.finished_at);
        let done: Option<Vec<u64>> = done.collect();
        let at = done?.into_iter().max()?;
        let took_ms = job.first_started_at?.saturating_sub(at);
        Some(Release {
            released_at: at,
            start_delay_ms: took_ms,
        })
    }
}
