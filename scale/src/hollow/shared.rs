//! What all cells share: the clock, the checker and the observers.

use crate::observers::{LimitObserver, TakeoverObserver};
use salttrestle::ids::JobId;
use salttrestle_fakes::checker::Checker;
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What all cells share.
pub struct SharedState {
    started_at: Instant,
    checker: Mutex<Checker>,
    ended_jobs: Mutex<BTreeSet<JobId>>,
    limits: Mutex<LimitObserver>,
    takeovers: Mutex<TakeoverObserver>,
}

impl SharedState {
    /// The clock begins now.
    pub fn new(checker: Checker) -> Self {
        Self {
            started_at: Instant::now(),
            checker: Mutex::new(checker),
            ended_jobs: Mutex::default(),
            limits: Mutex::default(),
            takeovers: Mutex::default(),
        }
    }

    /// Milliseconds since the begin.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// The checker, which sees the events of all cells in their order.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        lock(&self.checker)
    }

    /// The observer of team limits and their changes.
    pub fn limit_observer(&self) -> MutexGuard<'_, LimitObserver> {
        lock(&self.limits)
    }

    /// The observer of takeovers and commands, in runs of a single cell.
    pub fn takeover_observer(&self) -> MutexGuard<'_, TakeoverObserver> {
        lock(&self.takeovers)
    }

    /// Records that a job's user knows its end; false if that was known before.
    pub fn record_job_end(&self, job: &JobId) -> bool {
        lock(&self.ended_jobs).insert(job.clone())
    }
}

/// Locks a mutex; values stay usable after a panic of another thread, which ends the run anyway.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
