//! The jobs that a cell's users have submitted.

use salttrestle::ids::{JobId, TaskId};
use salttrestle_fakes::worker::{TaskSpec, TaskSpecs};
use std::collections::HashMap;

/// The class of services.
pub const SERVICE: &str = "standing";
/// The class of batch jobs.
pub const BATCH: &str = "batch";
/// The class of urgent jobs, of one task each.
pub const URGENT: &str = "urgent";

/// A job as it was submitted.
pub(super) struct Job {
    /// The encoded submission.
    pub(super) body: Vec<u8>,
    /// What workers know of its tasks.
    pub(super) spec: TaskSpec,
}

/// The jobs that a cell's users have submitted.
#[derive(Default)]
pub(super) struct Jobs {
    jobs: HashMap<JobId, Job>,
}

impl Jobs {
    /// Adds a job.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.jobs.insert(id, job);
    }

    /// A job's encoded submission.
    pub(super) fn submission(&self, id: &JobId) -> Option<&[u8]> {
        self.jobs.get(id).map(|job| job.body.as_slice())
    }

    /// Whether a job is known and no service, so that it ends by itself.
    pub(super) fn is_finite(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| !job.spec.is_service)
    }
}

impl TaskSpecs for Jobs {
    fn spec(&self, task: &TaskId) -> Option<&TaskSpec> {
        self.jobs.get(&task.job).map(|job| &job.spec)
    }
}
