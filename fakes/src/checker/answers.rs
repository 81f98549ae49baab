//! Rules on the responses to users: a response never reports a job that wasn't submitted, never
//! loses an accepted job, never revokes an outcome, and every status query is answered eventually.

use super::{Checker, JobAnswer, JobView, Notified};
use salttrestle::controller::store::records::JobRecord;
use salttrestle::ids::JobId;
use std::collections::BTreeMap;
use std::fmt;

/// Longest time in milliseconds without an answered status query about an open job, once the faults
/// are over.
const UNANSWERED_MAX_MS: u64 = 75_000;

/// Why an answer contradicts the state of the job that it is about.
enum WrongAnswer {
    /// The job is reported as queued or running although one of its dependencies was confirmed as
    /// cancelled longer ago than the cancellation bound.
    Orphaned { job: JobId, answer: JobAnswer },
    /// The job is reported as unknown or refused although it was accepted before.
    Forgotten { job: JobId, answer: JobAnswer },
    /// The job is reported as cancelled while some of its tasks run.
    StillRuns { job: JobId },
    /// The job is reported as cancelled although no user asked to cancel it or a dependency.
    NotCancelled { job: JobId },
    /// The job is reported as done before all its tasks have finished.
    NotDone { job: JobId },
}

impl WrongAnswer {
    fn rule(&self) -> &'static str {
        match self {
            Self::Orphaned { .. } => "orphaned",
            Self::Forgotten { .. } => "forgotten",
            Self::StillRuns { .. } => "told_early",
            Self::NotCancelled { .. } => "went_back",
            Self::NotDone { .. } => "not_done",
        }
    }
}

impl fmt::Display for WrongAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Orphaned { job, answer } => {
                write!(f, "{job} is {answer:?} after a dependency was cancelled")
            }
            Self::Forgotten { job, answer } => write!(f, "{job} is {answer:?}"),
            Self::StillRuns { job } => write!(f, "{job} is cancelled while its tasks run"),
            Self::NotCancelled { job } => {
                write!(f, "{job} is cancelled without a request to cancel it")
            }
            Self::NotDone { job } => write!(f, "{job} is done before all its tasks have finished"),
        }
    }
}

impl Checker {
    /// Records a submission; a repeated submission of a known job changes nothing.
    pub fn record_submission(&mut self, now: u64, id: &JobId, record: JobRecord) {
        let job = self.jobs.entry(id.clone());
        job.or_insert_with(|| JobView::new(now, record));
    }

    /// Marks a submitted job as one that can't run, so that accepting it is a violation.
    pub fn expect_refusal(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.must_be_refused = true;
        }
    }

    /// Records a user's request to cancel a job.
    pub fn record_cancel_request(&mut self, now: u64, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancel_requested_at.get_or_insert(now);
        }
    }

    /// Records an answer to a user about a job and checks it. Returns whether it is the first
    /// answer to say that the job is accepted, or the first to say that it is over.
    pub fn record_answer(&mut self, now: u64, id: &JobId, answer: JobAnswer) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            if answer.is_accepted() {
                self.add_violation(
                    now,
                    "invented",
                    format!("{id} was never submitted and is {answer:?}"),
                );
            }
            return false;
        };
        let before = job.notified.clone();
        job.notify(now, answer);
        if answer == JobAnswer::Cancelled && self.has_running_tasks(id) {
            self.cancelled_with_tasks.insert(id.clone());
        }
        if let Some(wrong) = self.wrong_answer(now, id, answer, &before) {
            self.add_violation(now, wrong.rule(), wrong.to_string());
        }
        if before.is_over() && !before.matches_outcome(answer) {
            self.add_violation(now, "went_back", format!("{id} was over and is {answer:?}"));
        }
        if self.jobs[id].must_be_refused && answer.is_accepted() {
            let what = format!("{id} can't run and is {answer:?}");
            self.add_violation(now, "odd_accepted", what);
        }
        let newly_accepted = answer.is_accepted() && !before.is_accepted;
        newly_accepted || answer.is_over() && !before.is_over()
    }

    /// Why an answer contradicts the state of its job, if it does.
    fn wrong_answer(
        &self,
        now: u64,
        id: &JobId,
        answer: JobAnswer,
        before: &Notified,
    ) -> Option<WrongAnswer> {
        let job = id.clone();
        match answer {
            JobAnswer::Queued | JobAnswer::Running if self.is_orphaned(now, id) => {
                Some(WrongAnswer::Orphaned { job, answer })
            }
            JobAnswer::Unknown | JobAnswer::Refused if before.is_accepted => {
                Some(WrongAnswer::Forgotten { job, answer })
            }
            // Stricter than the protocol: salttrestle confirms a cancellation only once all tasks
            // are proven gone.
            JobAnswer::Cancelled if before.cancelled_at.is_none() && self.has_running_tasks(id) => {
                Some(WrongAnswer::StillRuns { job })
            }
            JobAnswer::Cancelled if self.upstream_cancel_requested_at(id).is_none() => {
                Some(WrongAnswer::NotCancelled { job })
            }
            JobAnswer::Done if !self.jobs[id].is_finished() => Some(WrongAnswer::NotDone { job }),
            _ => None,
        }
    }

    /// Whether a dependency's cancellation was confirmed longer ago than the cancellation bound, so
    /// that the job must be cancelled as well.
    fn is_orphaned(&self, now: u64, id: &JobId) -> bool {
        let confirmed = self.upstream_cancel_confirmed_at(id);
        confirmed.is_some_and(|at| now > at + self.cancel_ms)
    }

    /// Reports open jobs about which no status query has been answered for too long.
    ///
    /// `faults_end_at` is when the last fault ends, and `answered` has the time of the latest
    /// answer about each job; all times are in milliseconds.
    pub fn check_answers(&mut self, now: u64, faults_end_at: u64, answered: &BTreeMap<JobId, u64>) {
        let unanswered = self.jobs.iter().filter(|(id, job)| {
            let last = answered.get(id).copied().unwrap_or(0);
            job.is_open() && now > last.max(faults_end_at) + UNANSWERED_MAX_MS
        });
        let unanswered: Vec<String> = unanswered.map(|(id, _)| id.to_string()).collect();
        if !unanswered.is_empty() {
            self.add_violation(now, "unanswered", unanswered.join(", "));
        }
    }
}
