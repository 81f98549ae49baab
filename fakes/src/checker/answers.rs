//! Rules on what users are answered: nothing is invented or forgotten, no outcome is taken back,
//! and every question is answered in the end.

use super::{Checker, JobAnswer, JobView, Notified};
use salttrestle::controller::store::records::JobRecord;
use salttrestle::ids::JobId;
use std::collections::BTreeMap;
use std::fmt;

/// After the faults, a job about which no question is answered for so long is forgotten.
const UNANSWERED_MAX_MS: u64 = 75_000;

/// What is wrong with an answer by itself.
enum WrongAnswer {
    /// A job that it depends on was cancelled long ago.
    Orphaned { job: JobId, answer: JobAnswer },
    /// The job was accepted before.
    Forgotten { job: JobId, answer: JobAnswer },
    /// The job is called cancelled while tasks of it run.
    StillRuns { job: JobId },
    /// The job is called cancelled without a request for that.
    NotCancelled { job: JobId },
    /// The job is called done before all its tasks have finished.
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
                write!(
                    f,
                    "{job} is {answer:?} after one that it needs was cancelled"
                )
            }
            Self::Forgotten { job, answer } => write!(f, "{job} is {answer:?}"),
            Self::StillRuns { job } => write!(f, "{job} still runs"),
            Self::NotCancelled { job } => write!(f, "{job} wasn't cancelled by its user"),
            Self::NotDone { job } => write!(f, "{job} is called done"),
        }
    }
}

impl Checker {
    /// A job was submitted for the first time.
    pub fn record_submission(&mut self, now: u64, id: &JobId, record: JobRecord) {
        let job = self.jobs.entry(id.clone());
        job.or_insert_with(|| JobView::new(now, record));
    }

    /// A submitted job can't run, and mustn't be accepted.
    pub fn expect_refusal(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.must_be_refused = true;
        }
    }

    /// A user asked to cancel a job.
    pub fn record_cancel_request(&mut self, now: u64, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancel_requested_at.get_or_insert(now);
        }
    }

    /// A user got an answer about a job. True if it says more than any before it: that the job is
    /// accepted, or over.
    pub fn record_answer(&mut self, now: u64, id: &JobId, said: JobAnswer) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            if said.is_accepted() {
                self.add_violation(now, "invented", format!("{id} is {said:?}"));
            }
            return false;
        };
        let before = job.notified.clone();
        job.notify(now, said);
        if said == JobAnswer::Cancelled && self.has_running_tasks(id) {
            self.cancelled_with_tasks.insert(id.clone());
        }
        if let Some(wrong) = self.wrong_answer(now, id, said, &before) {
            self.add_violation(now, wrong.rule(), wrong.to_string());
        }
        if before.is_over() && !before.matches_outcome(said) {
            self.add_violation(now, "went_back", format!("{id} was over and is {said:?}"));
        }
        if self.jobs[id].must_be_refused && said.is_accepted() {
            let what = format!("{id} can't run and is {said:?}");
            self.add_violation(now, "odd_accepted", what);
        }
        let newly_accepted = said.is_accepted() && !before.accepted;
        newly_accepted || said.is_over() && !before.is_over()
    }

    /// What is wrong with an answer by itself.
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
            JobAnswer::Unknown | JobAnswer::Refused if before.accepted => {
                Some(WrongAnswer::Forgotten { job, answer })
            }
            // More than the protocol asks for, and what its proof rests on here.
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

    /// Whether a dependency's cancellation was confirmed so long ago that the job must be cancelled
    /// as well.
    fn is_orphaned(&self, now: u64, id: &JobId) -> bool {
        let confirmed = self.upstream_cancel_confirmed_at(id);
        confirmed.is_some_and(|at| now > at + self.cancel_ms)
    }

    /// Looks for jobs of which no question has been answered for so long that they are forgotten.
    pub fn check_answers(&mut self, now: u64, calm_at: u64, answered: &BTreeMap<JobId, u64>) {
        let silent = self.jobs.iter().filter(|(id, job)| {
            let last = answered.get(id).copied().unwrap_or(0);
            job.is_open() && now > last.max(calm_at) + UNANSWERED_MAX_MS
        });
        let silent: Vec<String> = silent.map(|(id, _)| id.to_string()).collect();
        if !silent.is_empty() {
            self.add_violation(now, "unanswered", silent.join(", "));
        }
    }
}
