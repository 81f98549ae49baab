//! What a run has shown of faults and of what they fell on: by this a scenario proves that the
//! faults which it is about were concurrent, and that it didn't pass by missing them.

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
    /// How long the answer took.
    pub waited_ms: u64,
}

/// How often what took place.
#[derive(Default)]
pub(crate) struct Observed {
    /// Transactions that got no answer and were carried out later.
    pub late_transactions: usize,
    /// Transactions that were carried out, and their answers lost.
    pub lost_answers: usize,
    /// Heartbeats that came again late.
    pub late_heartbeats: usize,
    /// Heartbeats that came again as a leader began.
    pub replayed_heartbeats: usize,
    /// Questions right after a change of a job.
    pub status_queries: usize,
    pub malformed_requests: usize,
    /// Jobs that were cancelled as their last task ended.
    pub cancelled_at_completion: usize,
    /// Most jobs that an owner counted at once as waiting for their dependencies.
    pub waiting_for_dependencies: usize,
    /// Tasks that failed.
    pub task_failures: usize,
    /// When takeovers were.
    pub takeovers: Vec<u64>,
    /// Cancellations that wait for their answers, and since when.
    pub pending_cancellations: BTreeMap<u64, u64>,
    pub refused_cancellations: Vec<RefusedCancellation>,
}

/// A stretch of time, its ends included.
struct Window {
    from: u64,
    to: u64,
}

impl Window {
    fn of(arguments: &Arguments) -> Self {
        Self {
            from: arguments.span_ms("from", 0.0),
            to: arguments.span_ms("to", 1e6),
        }
    }

    fn has(&self, moment: u64) -> bool {
        (self.from..=self.to).contains(&moment)
    }

    fn count(&self, moments: impl Iterator<Item = u64>) -> usize {
        moments.filter(|moment| self.has(*moment)).count()
    }
}

impl World {
    /// How often something took place; `None` for what isn't known. `from=` and `to=` bound the
    /// moments, `in=` the seconds that it took, `class=` is the class of the jobs counted.
    pub(crate) fn count(&self, what: &str, arguments: &Arguments) -> Option<usize> {
        let count = self.count_fault(what, arguments);
        count.or_else(|| self.count_jobs(what, arguments))
    }

    fn count_fault(&self, what: &str, arguments: &Arguments) -> Option<usize> {
        let observed = &self.observed;
        Some(match what {
            "late-writes" => observed.late_transactions,
            "lost-answers" => observed.lost_answers,
            "late-reports" => observed.late_heartbeats,
            "kept-reports" => observed.replayed_heartbeats,
            "looks" => observed.status_queries,
            "odd" => observed.malformed_requests,
            "waiting-for-others" => observed.waiting_for_dependencies,
            "cancelled-at-end" => observed.cancelled_at_completion,
            "rejected" => self.store.rejected,
            "in-parts" => self.jobs_in_parts(),
            "in-force" => self.limits_in_force_within(arguments.span_ms("in", 5.0)),
            "takeovers" => Window::of(arguments).count(observed.takeovers.iter().copied()),
            // Leaders whose record still existed as the next one replaced it.
            "replaced" => self.store.orders.cloud_calls.replaced_records,
            _ => return None,
        })
    }

    fn count_jobs(&self, what: &str, arguments: &Arguments) -> Option<usize> {
        let window = Window::of(arguments);
        // How long something may have taken to be counted.
        let at_most = |default_s: f64| arguments.span_ms("in", default_s);
        let any_time_s = 1e6;
        let of_class = |job: &&JobView| {
            let class = arguments.value("class");
            class.is_none_or(|class| job.record.class == class)
        };
        let jobs = self.checker.jobs.values().filter(of_class);
        Some(match what {
            "cancels" => window.count(jobs.filter_map(|job| job.cancel_requested_at)),
            "confirmed" => window.count(jobs.filter_map(|job| job.notified.cancelled_at)),
            // Cancellations confirmed so soon after they were first asked for.
            "prompt" => {
                let cancelled = jobs
                    .filter_map(|job| Some((job.cancel_requested_at?, job.notified.cancelled_at?)));
                let prompt = cancelled.filter(|(asked, told)| told - asked <= at_most(3.0));
                window.count(prompt.map(|(asked, _)| asked))
            }
            // Jobs that were cancelled with one that they depend on, after their users learnt it.
            "cascaded" => window.count(self.checker.cascading_cancellations()),
            // Jobs that waited for others, and started so soon after the last one was done.
            "released" => {
                let releases = self.checker.releases();
                let soon = releases.filter(|release| release.start_delay_ms <= at_most(any_time_s));
                window.count(soon.map(|release| release.released_at))
            }
            "ended" => window.count(jobs.filter_map(|job| job.done_notified_at)),
            // Jobs of which a task was on a machine so soon after their submission.
            "begun" => {
                let begun = jobs.filter_map(|job| Some(job.first_started_at? - job.submitted_at));
                begun.filter(|took| *took <= at_most(any_time_s)).count()
            }
            "accepted" => {
                let accepted = jobs.filter_map(|job| Some(job.accepted_at? - job.submitted_at));
                accepted.filter(|took| *took <= at_most(any_time_s)).count()
            }
            _ => return None,
        })
    }

    fn limits_in_force_within(&self, most_ms: u64) -> usize {
        let took = self.limit_changes.took.iter();
        took.filter(|took| **took <= most_ms).count()
    }

    /// Jobs of which a record was split into parts.
    fn jobs_in_parts(&self) -> usize {
        let changes = self.store.records.history.iter();
        let parts = changes.filter_map(|change| match (Key::parse(&change.path)?, &change.value) {
            (Key::Placements(id, _), Some(Record::Placements(run))) if run.part_size.is_some() => {
                Some(id)
            }
            _ => None,
        });
        parts.collect::<BTreeSet<JobId>>().len()
    }

    /// Notes how long a cancellation took that is answered 503.
    pub(super) fn note_refusal(
        &mut self,
        request: u64,
        job: &JobId,
        intent: Intent,
        reply: Option<&Reply>,
    ) {
        let asked = self.observed.pending_cancellations.remove(&request);
        let refused = reply.is_some_and(|reply| reply.status == 503);
        if let (Intent::Cancel, true, Some(asked)) = (intent, refused, asked) {
            self.observed
                .refused_cancellations
                .push(RefusedCancellation {
                    job: job.clone(),
                    waited_ms: self.now - asked,
                });
        }
    }

    /// Whether a job's cancellation was answered 503, each time within so many seconds.
    pub(crate) fn refused_within(&self, job: &JobId, seconds: f64) -> bool {
        let refusals = self.observed.refused_cancellations.iter();
        let mut refusals = refusals
            .filter(|refusal| refusal.job == *job)
            .map(|refusal| refusal.waited_ms)
            .peekable();
        refusals.peek().is_some() && refusals.all(|waited| waited <= milliseconds(seconds))
    }
}
