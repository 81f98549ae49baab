//! State that all cells share: the clock, the checker and the observers.

use crate::observers::{LimitObserver, TakeoverObserver};
use salttrestle::ids::JobId;
use salttrestle_fakes::checker::Checker;
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The clock, the checker and the observers, which all cells share.
pub struct SharedState {
    started_at: Instant,
    checker: Mutex<Checker>,
    ended_jobs: Mutex<BTreeSet<JobId>>,
    limits: Mutex<LimitObserver>,
    takeovers: Mutex<TakeoverObserver>,
}

impl SharedState {
    /// Starts the clock at zero.
    pub fn new(checker: Checker) -> Self {
        Self {
            started_at: Instant::now(),
            checker: Mutex::new(checker),
            ended_jobs: Mutex::default(),
            limits: Mutex::default(),
            takeovers: Mutex::default(),
        }
    }

    /// Time since the start of the clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Locks the checker, which gets the events of all cells in the order of their occurrence.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        lock(&self.checker)
    }

    /// Locks the observer of team limits.
    pub fn limit_observer(&self) -> MutexGuard<'_, LimitObserver> {
        lock(&self.limits)
    }

    /// Locks the observer of takeovers and commands, which is used in runs of a single cell.
    pub fn takeover_observer(&self) -> MutexGuard<'_, TakeoverObserver> {
        lock(&self.takeovers)
    }

    /// Records that a job's user was told of the job's end. Returns false if that was recorded
    /// before.
    pub fn record_job_end(&self, job: &JobId) -> bool {
        lock(&self.ended_jobs).insert(job.clone())
    }
}

/// Locks a mutex, also after a panic of another thread: the values stay usable, and the panic ends
/// the run anyway.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
