//! Counts of what took place in a run. With these counts a scenario checks that its faults occurred
//! and overlapped, so that it can't pass because they missed their targets.

use super::scenario::{Arguments, milliseconds};
use super::users::Intent;
use super::world::World;
use salttrestle::controller::events::Reply;
use salttrestle::controller::store::records::{Key, Record};
use salttrestle::ids::JobId;
use salttrestle_fakes::checker::JobView;
use std::collections::{BTreeMap, BTreeSet};

/// A cancellation that was answered 503.
pub(crate) struct RefusedCancellation {
    pub job: JobId,
    /// How long the answer took, in milliseconds.
    pub waited_ms: u64,
}

/// A status query about an accepted job that was refused or timed out.
pub(crate) struct UnansweredQuery {
    pub at: u64,
    /// Time since the last answer about the job, in milliseconds.
    pub since_answer_ms: u64,
}

/// What took place in a run, and how often.
#[derive(Default)]
pub(crate) struct Observed {
    /// Transactions that got no answer and were executed later.
    pub late_transactions: usize,
    /// Transactions that were executed and whose answers were lost.
    pub lost_answers: usize,
    /// Copies of heartbeats that were delivered late.
    pub late_heartbeats: usize,
    /// Heartbeats that were delivered again at a takeover.
    pub replayed_heartbeats: usize,
    /// Status queries and repeated submissions sent right after a status change of a job.
    pub status_queries: usize,
    pub malformed_requests: usize,
    /// Jobs that were cancelled when their last task ended.
    pub cancelled_at_completion: usize,
    /// The largest number of jobs that a shard owner counted at once as waiting for dependencies.
    pub waiting_for_dependencies: usize,
    /// Tasks that failed.
    pub task_failures: usize,
    /// The times of task starts, in milliseconds.
    pub starts: Vec<u64>,
    /// The times at which controllers closed watches that had delivered nothing for too long, in
    /// milliseconds.
    pub cancelled_watches: Vec<u64>,
    /// The times of takeovers, in milliseconds.
    pub takeovers: Vec<u64>,
    /// When each unanswered cancellation was sent, by request id.
    pub pending_cancellations: BTreeMap<u64, u64>,
    pub refused_cancellations: Vec<RefusedCancellation>,
    /// Status queries that weren't answered.
    pub unanswered_queries: Vec<UnansweredQuery>,
}

/// A time interval in milliseconds, including both ends.
struct Window {
    from: u64,
    to: u64,
}

impl Window {
    fn parse(arguments: &Arguments) -> Self {
        Self {
            from: arguments.span_ms("from", 0.0),
            to: arguments.span_ms("to", 1e6),
        }
    }

    fn contains(&self, time_ms: u64) -> bool {
        (self.from..=self.to).contains(&time_ms)
    }

    fn count(&self, times_ms: impl Iterator<Item = u64>) -> usize {
        times_ms.filter(|time_ms| self.contains(*time_ms)).count()
    }
}

impl World {
    /// How often something took place, or `None` if the name is unknown. `from=` and `to=` restrict
    /// the times counted, `in=` is the longest duration in seconds, `class=` the job class counted.
    pub(crate) fn count(&self, name: &str, arguments: &Arguments) -> Option<usize> {
        let count = self.count_fault(name, arguments);
        count.or_else(|| self.count_jobs(name, arguments))
    }

    fn count_fault(&self, name: &str, arguments: &Arguments) -> Option<usize> {
        let observed = &self.observed;
        Some(match name {
            "late-writes" => observed.late_transactions,
            "lost-answers" => observed.lost_answers,
            "late-reports" => observed.late_heartbeats,
            "kept-reports" => observed.replayed_heartbeats,
            "looks" => observed.status_queries,
            "odd" => observed.malformed_requests,
            "waiting-for-others" => observed.waiting_for_dependencies,
            "cancelled-at-end" => observed.cancelled_at_completion,
            "rejected" => self.store.rejected_transactions,
            "in-parts" => self.count_jobs_in_parts(),
            "in-force" => self.count_limits_in_force_within(arguments.span_ms("in", 5.0)),
            "takeovers" => Window::parse(arguments).count(observed.takeovers.iter().copied()),
            // Leaders whose record still existed when the next leader replaced it.
            "replaced" => self.store.command_checker.cloud_calls.replaced_records,
            _ => return None,
        })
    }

    fn count_jobs(&self, name: &str, arguments: &Arguments) -> Option<usize> {
        let window = Window::parse(arguments);
        // The longest duration that is counted.
        let duration_bound_ms = |default_s: f64| arguments.span_ms("in", default_s);
        let any_time_s = 1e6;
        let of_class = |job: &&JobView| {
            let class = arguments.value("class");
            class.is_none_or(|class| job.record.class == class)
        };
        let jobs = self.checker.jobs.values().filter(of_class);
        Some(match name {
            "cancels" => window.count(jobs.filter_map(|job| job.cancel_requested_at)),
            "confirmed" => window.count(jobs.filter_map(|job| job.notified.cancelled_at)),
            // Cancellations confirmed within `in=` seconds (3 by default) after the first request.
            "prompt" => {
                let cancelled = jobs
                    .filter_map(|job| Some((job.cancel_requested_at?, job.notified.cancelled_at?)));
                let prompt =
                    cancelled.filter(|(asked, told)| told - asked <= duration_bound_ms(3.0));
                window.count(prompt.map(|(asked, _)| asked))
            }
            // Jobs cancelled because a dependency was, counted when their users learned of it.
            "cascaded" => window.count(self.checker.cascading_cancellations()),
            // Jobs that started within `in=` seconds after their last dependency was done.
            "released" => {
                let releases = self.checker.releases();
                let soon = releases
                    .filter(|release| release.start_delay_ms <= duration_bound_ms(any_time_s));
                window.count(soon.map(|release| release.released_at))
            }
            "ended" => window.count(jobs.filter_map(|job| job.done_notified_at)),
            // Jobs whose first task started within `in=` seconds after the submission.
            "begun" => {
                let begun = jobs.filter_map(|job| Some(job.first_started_at? - job.submitted_at));
                begun
                    .filter(|took| *took <= duration_bound_ms(any_time_s))
                    .count()
            }
            "accepted" => {
                let accepted = jobs.filter_map(|job| Some(job.accepted_at? - job.submitted_at));
                accepted
                    .filter(|took| *took <= duration_bound_ms(any_time_s))
                    .count()
            }
            _ => return None,
        })
    }

    fn count_limits_in_force_within(&self, bound_ms: u64) -> usize {
        let took = self.limit_changes.durations_ms.iter();
        took.filter(|took| **took <= bound_ms).count()
    }

    /// Jobs of which a placement record was split into parts.
    fn count_jobs_in_parts(&self) -> usize {
        let changes = self.store.records.history.iter();
        let parts = changes.filter_map(|change| match (Key::parse(&change.path)?, &change.value) {
            (Key::Placements(id, _), Some(Record::Placements(run))) if run.part_size.is_some() => {
                Some(id)
            }
            _ => None,
        });
        parts.collect::<BTreeSet<JobId>>().len()
    }

    /// Records how long the answer to a cancellation took, if the answer is 503.
    pub(super) fn record_refused_cancellation(
        &mut self,
        request: u64,
        job: &JobId,
        intent: Intent,
        reply: Option<&Reply>,
    ) {
        let asked_at = self.observed.pending_cancellations.remove(&request);
        let is_refused = reply.is_some_and(|reply| reply.status == 503);
        if let (Intent::Cancel, true, Some(asked_at)) = (intent, is_refused, asked_at) {
            self.observed
                .refused_cancellations
                .push(RefusedCancellation {
                    job: job.clone(),
                    waited_ms: self.now - asked_at,
                });
        }
    }

    /// Records whether a status query was answered.
    pub(super) fn record_status_query(&mut self, job: &JobId, is_answered: bool) {
        let now = self.now;
        self.checker.record_status_query(now, job, is_answered);
        if let (false, Some(answered_at)) = (is_answered, self.last_answered_at.get(job)) {
            self.observed.unanswered_queries.push(UnansweredQuery {
                at: now,
                since_answer_ms: now - answered_at,
            });
        }
    }

    /// The number of watches that controllers closed since they seemed stuck.
    pub(crate) fn count_cancelled_watches(&self, arguments: &Arguments) -> usize {
        Window::parse(arguments).count(self.observed.cancelled_watches.iter().copied())
    }

    /// The number of task starts.
    pub(crate) fn count_starts(&self, arguments: &Arguments) -> usize {
        Window::parse(arguments).count(self.observed.starts.iter().copied())
    }

    /// The longest time without an answer about a job that was queried, in whole seconds.
    pub(crate) fn unanswered_s(&self, arguments: &Arguments) -> usize {
        let window = Window::parse(arguments);
        let unanswered = self.observed.unanswered_queries.iter();
        let unanswered = unanswered.filter(|query| window.contains(query.at));
        let longest_ms = unanswered.map(|query| query.since_answer_ms).max();
        longest_ms.unwrap_or(0).div_ceil(1000) as usize
    }

    /// Whether a job's cancellation was answered 503 at least once, each time within this many
    /// seconds.
    pub(crate) fn refused_within(&self, job: &JobId, seconds: f64) -> bool {
        let refusals = self.observed.refused_cancellations.iter();
        let mut refusals = refusals
            .filter(|refusal| refusal.job == *job)
            .map(|refusal| refusal.waited_ms)
            .peekable();
        refusals.peek().is_some() && refusals.all(|waited| waited <= milliseconds(seconds))
    }
}
