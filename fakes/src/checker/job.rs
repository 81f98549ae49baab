//! A job as it looks from outside the service.

use salttrestle::controller::store::records::JobRecord;
use std::collections::BTreeSet;

/// Where a task runs.
#[derive(Clone, Debug)]
pub struct Place {
    /// The machine's name.
    pub machine: String,
    /// The machine's type.
    pub class: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// What a user is answered about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// It waits.
    Queued,
    /// A task of it runs.
    Running,
    /// All its tasks are done.
    Done,
    /// It is cancelled.
    Cancelled,
    /// 404.
    Unknown,
    /// 400 or 422.
    Refused,
}

impl JobAnswer {
    /// Whether the job is accepted by this answer.
    pub(super) fn is_accepted(self) -> bool {
        !matches!(self, Self::Unknown | Self::Refused)
    }

    /// Whether the job is over by this answer.
    pub(super) fn is_over(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }
}

/// What a job's user has been notified of.
#[derive(Clone, Debug, Default)]
pub struct Notified {
    /// That it is accepted.
    pub accepted: bool,
    /// That it is done.
    pub done: bool,
    /// When it was first called cancelled.
    pub cancelled_at: Option<u64>,
}

impl Notified {
    /// Whether the user knows that the job is over.
    pub fn is_over(&self) -> bool {
        self.done || self.cancelled_at.is_some()
    }

    /// Whether an answer says the end that the user knows of.
    pub(super) fn matches_outcome(&self, answer: JobAnswer) -> bool {
        (self.done && answer == JobAnswer::Done)
            || (self.cancelled_at.is_some() && answer == JobAnswer::Cancelled)
    }
}

/// A job as its user and its machines see it. Moments are in milliseconds.
pub struct JobView {
    /// What was submitted.
    pub record: JobRecord,
    /// What its user has been notified of.
    pub notified: Notified,
    /// When its user first asked to cancel it.
    pub cancel_requested_at: Option<u64>,
    /// It can't run, and mustn't be accepted.
    pub must_be_refused: bool,
    /// Its tasks that ever started.
    pub started_tasks: BTreeSet<u32>,
    /// Its tasks that have finished.
    pub finished_tasks: BTreeSet<u32>,
    /// When the last of its tasks finished.
    pub finished_at: Option<u64>,
    /// When it was first submitted.
    pub submitted_at: u64,
    /// When its user was first notified that it is accepted.
    pub accepted_at: Option<u64>,
    /// When the first of its tasks started.
    pub first_started_at: Option<u64>,
    /// When its user was first notified that it is done.
    pub done_notified_at: Option<u64>,
}

impl JobView {
    /// A job that is submitted now.
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

    /// Whether all of its tasks have finished.
    pub fn is_finished(&self) -> bool {
        self.finished_tasks.len() as u32 == self.record.count
    }

    /// Whether it is accepted and not over, as far as its user knows.
    pub fn is_open(&self) -> bool {
        self.notified.accepted && !self.notified.is_over()
    }

    /// Its user gets an answer.
    pub(super) fn notify(&mut self, now: u64, answer: JobAnswer) {
        if !answer.is_accepted() {
            return;
        }
        self.accepted_at.get_or_insert(now);
        self.notified.accepted = true;
        match answer {
            JobAnswer::Done => {
                self.notified.done = true;
                self.done_notified_at.get_or_insert(now);
            }
            JobAnswer::Cancelled => {
                self.notified.cancelled_at.get_or_insert(now);
            }
            JobAnswer::Queued | JobAnswer::Running | JobAnswer::Unknown | JobAnswer::Refused => {}
        }
    }
}
