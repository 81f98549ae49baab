//! A job as its user and its machines observe it.

use salttrestle::controller::store::records::JobRecord;
use std::collections::BTreeSet;

/// Where a task runs.
#[derive(Clone, Debug)]
pub struct Place {
    /// The machine's id.
    pub machine: String,
    /// The machine's type.
    pub class: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// The state of a job that a response tells its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// The job waits to be started.
    Queued,
    /// At least one task of the job runs.
    Running,
    /// All tasks of the job are done.
    Done,
    /// The job is cancelled.
    Cancelled,
    /// The job doesn't exist: status 404.
    Unknown,
    /// The submission is invalid: status 400 or 422.
    Refused,
}

impl JobAnswer {
    /// Whether the answer says that the job has been accepted.
    pub(super) fn is_accepted(self) -> bool {
        !matches!(self, Self::Unknown | Self::Refused)
    }

    /// Whether the answer says that the job is done or cancelled.
    pub(super) fn is_over(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }
}

/// What a job's user has been told so far.
#[derive(Clone, Debug, Default)]
pub struct Notified {
    /// Whether the user was told that the job is accepted.
    pub is_accepted: bool,
    /// Whether the user was told that the job is done.
    pub is_done: bool,
    /// When the user was first told that the job is cancelled, in milliseconds.
    pub cancelled_at: Option<u64>,
}

impl Notified {
    /// Whether the user was told that the job is done or cancelled.
    pub fn is_over(&self) -> bool {
        self.is_done || self.cancelled_at.is_some()
    }

    /// Whether an answer repeats an outcome that the user was told before.
    pub(super) fn matches_outcome(&self, answer: JobAnswer) -> bool {
        (self.is_done && answer == JobAnswer::Done)
            || (self.cancelled_at.is_some() && answer == JobAnswer::Cancelled)
    }
}

/// A job as its user and its machines observe it. Times are in milliseconds.
pub struct JobView {
    /// The job as it was submitted.
    pub record: JobRecord,
    /// What the job's user has been told so far.
    pub notified: Notified,
    /// When a user first asked to cancel the job.
    pub cancel_requested_at: Option<u64>,
    /// Whether the job can't run, so that accepting it is a violation.
    pub must_be_refused: bool,
    /// Indexes of the tasks that have started at least once.
    pub started_tasks: BTreeSet<u32>,
    /// Indexes of the tasks that have finished.
    pub finished_tasks: BTreeSet<u32>,
    /// When the last task of the job finished.
    pub finished_at: Option<u64>,
    /// When the job was first submitted.
    pub submitted_at: u64,
    /// When the user was first told that the job is accepted.
    pub accepted_at: Option<u64>,
    /// When the first task of the job started.
    pub first_started_at: Option<u64>,
    /// When the user was first told that the job is done.
    pub done_notified_at: Option<u64>,
}

impl JobView {
    /// A job that is submitted at `now`.
    pub(super) fn new(now: u64, record: JobRecord) -> Self {
        Self {
            record,
            notified: Notified::default(),
            cancel_requested_at: None,
            must_be_refused: false,
            started_tasks: BTreeSet::new(),
            finished_tasks: BTreeSet::new(),
            finished_at: None,
            submitted_at: now,
            accepted_at: None,
            first_started_at: None,
            done_notified_at: None,
        }
    }

    /// Whether all tasks of the job have finished.
    pub fn is_finished(&self) -> bool {
        self.finished_tasks.len() as u32 == self.record.count
    }

    /// Whether the user was told that the job is accepted, and not yet that it is over.
    pub fn is_open(&self) -> bool {
        self.notified.is_accepted && !self.notified.is_over()
    }

    /// Updates what the user has been told by an answer.
    pub(super) fn notify(&mut self, now: u64, answer: JobAnswer) {
        if !answer.is_accepted() {
            return;
        }
        self.accepted_at.get_or_insert(now);
        self.notified.is_accepted = true;
        match answer {
            JobAnswer::Done => {
                self.notified.is_done = true;
                self.done_notified_at.get_or_insert(now);
            }
            JobAnswer::Cancelled => {
                self.notified.cancelled_at.get_or_insert(now);
            }
            JobAnswer::Queued | JobAnswer::Running | JobAnswer::Unknown | JobAnswer::Refused => {}
        }
    }
}
