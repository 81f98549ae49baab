//! The rules, judged from outside the service: by what users are answered and what machines run.
//!
//! Each violation begins with the name of its rule: `invented`, `forgotten`, `went_back`,
//! `told_early`, `not_done`, `orphaned`, `odd_accepted` and `unanswered` are about answers
//! (`answers`); `ran_twice`, `wrong_place`, `too_early`, `quota`, `started_cancelled` and
//! `ran_cancelled` about tasks (`tasks`); `nothing_ran`, `unfinished`, `starved` and
//! `left_waiting` about service (`service`).

mod answers;
mod dependencies;
mod job;
mod service;
mod tasks;

pub use dependencies::Release;
pub use job::{JobAnswer, JobView, Notified, Place};

use salttrestle::controller::store::records::Resources;
use salttrestle::ids::{JobId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Room for rounding when amounts are added and taken away many times.
const ROUNDING_SLACK: f64 = 1e-6;

/// Judges each rule by what users are answered and what machines run. Times are in milliseconds.
#[derive(Default)]
pub struct Checker {
    /// How long after a cancellation was confirmed tasks of the job may still be there.
    pub cancel_ms: u64,
    /// Each team's most CPUs and GPUs, 0 for no limit.
    pub limits: BTreeMap<String, (f64, f64)>,
    /// Every job that was submitted.
    pub jobs: BTreeMap<JobId, JobView>,
    /// Where tasks run.
    pub running: BTreeMap<TaskId, Vec<Place>>,
    /// What each team's tasks use.
    used_by_team: BTreeMap<String, Resources>,
    /// Jobs whose cancellation is confirmed and of which tasks are on machines.
    cancelled_with_tasks: BTreeSet<JobId>,
    /// Violations: when, of which rule, and by what.
    pub violations: Vec<String>,
    /// Tasks started in all.
    pub start_count: u64,
    /// Jobs left waiting though a machine has room, and since when.
    waiting_since: BTreeMap<JobId, u64>,
}

impl Checker {
    /// A checker of a service whose cancelled tasks must be gone in so many milliseconds, with
    /// what each team may use at most.
    pub fn new(cancel_ms: u64, limits: BTreeMap<String, (f64, f64)>) -> Self {
        Self {
            cancel_ms,
            limits,
            ..Self::default()
        }
    }

    fn add_violation(&mut self, now: u64, rule: &str, what: String) {
        let at_s = now as f64 / 1e3;
        self.violations.push(format!("{at_s:.3} {rule}: {what}"));
    }

    /// Whether tasks of a job are on machines.
    fn has_running_tasks(&self, id: &JobId) -> bool {
        let mut tasks = self.running.range(first_task(id)..);
        tasks.next().is_some_and(|(task, _)| task.job == *id)
    }
}

/// The first task of a job, in the order of tasks.
fn first_task(job: &JobId) -> TaskId {
    TaskId {
        job: job.clone(),
        index: 0,
    }
}
