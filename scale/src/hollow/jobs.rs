//! The jobs that the users of a cell have submitted, and the classes of jobs.

use salttrestle::ids::{JobId, TaskId};
use salttrestle_fakes::worker::{TaskSpec, TaskSpecs};
use std::collections::HashMap;

/// Class of service jobs, as it stands in submissions, job ids and results.
pub const SERVICE_CLASS: &str = "standing";
/// Class of batch jobs, as it stands in submissions, job ids and results.
pub const BATCH_CLASS: &str = "batch";
/// Class of urgent jobs, as it stands in submissions, job ids and results. Each has one task.
pub const URGENT_CLASS: &str = "urgent";

/// A submitted job.
pub(super) struct Job {
    /// Encoded body of the submission.
    pub(super) submission: Vec<u8>,
    /// How workers simulate the tasks of the job.
    pub(super) spec: TaskSpec,
}

/// The submitted jobs of a cell, by id.
#[derive(Default)]
pub(super) struct Jobs {
    jobs: HashMap<JobId, Job>,
}

impl Jobs {
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.jobs.insert(id, job);
    }

    /// Returns the encoded submission of a job.
    pub(super) fn submission(&self, id: &JobId) -> Option<&[u8]> {
        self.jobs.get(id).map(|job| job.submission.as_slice())
    }

    /// Whether a job is known and ends by itself, which is true of all jobs but services.
    pub(super) fn is_finite(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| !job.spec.is_service)
    }
}

impl TaskSpecs for Jobs {
    fn spec(&self, task: &TaskId) -> Option<&TaskSpec> {
        self.jobs.get(&task.job).map(|job| &job.spec)
    }
}
