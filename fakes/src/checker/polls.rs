//! The rule that status queries about an open job don't all fail for long while most others are
//! answered.

use super::{Checker, JobView};
use salttrestle::ids::JobId;
use std::collections::{BTreeMap, VecDeque};

/// Longest time in milliseconds in which all status queries about an open job may fail while most
/// status queries are answered.
const ALL_FAILED_MAX_MS: u64 = 90_000;

/// A status query that was answered, or that was refused or timed out.
#[derive(Clone, Copy, Debug)]
struct StatusQuery {
    at: u64,
    is_answered: bool,
}

/// The status queries of the last [`ALL_FAILED_MAX_MS`], oldest first.
#[derive(Debug, Default)]
pub(super) struct StatusQueries {
    recent: VecDeque<StatusQuery>,
    answered: usize,
    /// When the first of the failed queries since the last answer about a job failed.
    failing_since: BTreeMap<JobId, u64>,
}

impl StatusQueries {
    fn record(&mut self, at: u64, job: &JobId, is_answered: bool) {
        self.recent.push_back(StatusQuery { at, is_answered });
        if is_answered {
            self.answered += 1;
            self.failing_since.remove(job);
        } else {
            self.failing_since.entry(job.clone()).or_insert(at);
        }
    }

    fn drop_older_than(&mut self, at: u64) {
        while self.recent.front().is_some_and(|query| query.at < at) {
            let dropped = self.recent.pop_front();
            self.answered -= usize::from(dropped.is_some_and(|query| query.is_answered));
        }
    }

    fn most_are_answered(&self) -> bool {
        2 * self.answered > self.recent.len()
    }
}

impl Checker {
    /// Records a status query about a job that was answered with 200 or 404, or failed.
    pub fn record_status_query(&mut self, now: u64, id: &JobId, is_answered: bool) {
        self.status_queries.record(now, id, is_answered);
    }

    /// Reports open jobs about which all status queries have failed for too long while most status
    /// queries were answered.
    pub fn check_status_queries(&mut self, now: u64) {
        let begin = now.saturating_sub(ALL_FAILED_MAX_MS);
        self.status_queries.drop_older_than(begin);
        if !self.status_queries.most_are_answered() {
            return;
        }
        let failing = self.status_queries.failing_since.iter();
        let forgotten = failing.filter(|(id, since)| {
            now - **since >= ALL_FAILED_MAX_MS && self.jobs.get(*id).is_some_and(JobView::is_open)
        });
        let forgotten: Vec<String> = forgotten.map(|(id, _)| id.to_string()).collect();
        if !forgotten.is_empty() {
            let what = format!("all status queries fail: {}", forgotten.join(", "));
            self.add_violation(now, "forgotten", what);
        }
    }
}
