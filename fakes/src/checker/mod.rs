//! Black-box checks of the service's invariants, based on the responses to users and the tasks that
//! machines run.
//!
//! Each violation begins with a time in seconds and the name of its rule. `invented`, `forgotten`,
//! `went_back`, `told_early`, `not_done`, `orphaned`, `odd_accepted` and `unanswered` are rules on
//! answers (modules `answers` and `polls`); `ran_twice`, `wrong_place`, `too_early`, `quota`,
//! `started_cancelled` and `ran_cancelled` on tasks (module `tasks`); `nothing_ran`, `unfinished`,
//! `starved` and `left_waiting` on progress and fairness (module `service`).

mod answers;
mod dependencies;
mod job;
mod polls;
mod service;
mod tasks;

pub use dependencies::Release;
pub use job::{JobAnswer, JobView, Notified, Place};

use polls::StatusQueries;
use salttrestle::controller::store::records::Resources;
use salttrestle::ids::{JobId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance for rounding errors when resource amounts are added and subtracted many times.
const ROUNDING_SLACK: f64 = 1e-6;

/// Checks each rule against the responses to users and the tasks on machines. Times are in
/// milliseconds.
#[derive(Default)]
pub struct Checker {
    /// The cancellation bound: how long after the confirmation of a cancellation tasks of the job
    /// may still be on machines.
    pub cancel_ms: u64,
    /// Each team's limits on CPUs and GPUs; 0 means no limit.
    pub limits: BTreeMap<String, (f64, f64)>,
    /// Every job that was submitted.
    pub jobs: BTreeMap<JobId, JobView>,
    /// The places where each task runs; more than one is a violation.
    pub running: BTreeMap<TaskId, Vec<Place>>,
    /// The resources that each team's tasks use on machines.
    used_by_team: BTreeMap<String, Resources>,
    /// Jobs whose cancellation is confirmed and that still have tasks on machines.
    cancelled_with_tasks: BTreeSet<JobId>,
    /// One line for each violation: the time in seconds, the rule, and what broke it.
    pub violations: Vec<String>,
    /// Number of task starts, including repeated ones.
    pub start_count: u64,
    /// Jobs that wait although a machine has room for one of their tasks, and since when.
    waiting_since: BTreeMap<JobId, u64>,
    /// The latest status queries.
    status_queries: StatusQueries,
}

impl Checker {
    /// Creates a checker of a service that has a cancellation bound of `cancel_ms` and these limits
    /// on teams; see [`Checker::cancel_ms`] and [`Checker::limits`].
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

    /// Whether any task of a job is on a machine.
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
