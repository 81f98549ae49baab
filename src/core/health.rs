//! Which machines are sick, and which jobs fail wherever they run.

use crate::ids::{JobId, Time};
use std::collections::BTreeSet;

/// Jobs that must have failed on a machine before it is given up.
const SICK_JOBS: usize = 3;
/// How long a machine rests after a failure, in seconds; doubles with each.
const REST_S: f64 = 5.0;
const REST_MAX_S: f64 = 120.0;
/// A job that failed on this many machines is its own trouble, not theirs.
pub const BAD_JOB_MACHINES: usize = 3;
/// Longest pause before a failing job is tried again, in seconds.
const JOB_PAUSE_MAX_S: f64 = 30.0;

/// What a machine's failures say of it.
#[derive(Debug, Default)]
pub struct Health {
    failures: u32,
    jobs: BTreeSet<JobId>,
    rest_until: Time,
}

impl Health {
    /// A task failed here, of a job that doesn't fail everywhere.
    pub fn failed(&mut self, now: Time, job: &JobId) {
        self.failures += 1;
        self.jobs.insert(job.clone());
        let rest = REST_S * 2f64.powi(self.failures.min(8) as i32 - 1);
        self.rest_until = now.after(rest.min(REST_MAX_S));
    }

    /// A task completed here.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Whether it may be given tasks.
    pub fn rested(&self, now: Time) -> bool {
        now >= self.rest_until
    }

    /// Whether it fails whatever it is given.
    pub fn sick(&self) -> bool {
        self.jobs.len() >= SICK_JOBS
    }
}

/// How long a job waits after its `fails`th failure in a row.
pub fn job_pause_s(fails: u32) -> f64 {
    match fails {
        // The first failures are mostly a machine's: elsewhere it may do at once.
        0..=2 => 0.0,
        n => 2f64.powi((n - 2).min(8) as i32).min(JOB_PAUSE_MAX_S),
    }
}
