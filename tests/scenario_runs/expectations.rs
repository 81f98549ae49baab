//! Evaluation of a scenario's `expect` lines after a run.

use crate::sim::scenario::{Arguments, milliseconds};
use crate::sim::world::World;
use salttrestle::ids::JobId;
use salttrestle_fakes::checker::JobView;
use thiserror::Error;

/// The reason why an expectation fails.
#[derive(Debug, Error)]
pub(crate) enum ExpectationError {
    /// The expectation names a job that the scenario doesn't submit.
    #[error("expectation names a job that was never submitted: job={0}")]
    NeverSubmitted(JobId),
    /// A condition is false.
    #[error("expectation not met: {line}")]
    Unmet {
        /// The arguments of the `expect` line.
        line: String,
    },
    /// A count is above its maximum or below its minimum.
    #[error("expectation not met: {line}: count={count}")]
    Count {
        /// The arguments of the `expect` line.
        line: String,
        /// The actual count.
        count: usize,
    },
    /// The kind of expectation is unknown.
    #[error("unknown expectation: {0}")]
    Unknown(String),
}

/// An `expect` line and the completed run that it applies to.
pub(crate) struct Expectation<'a> {
    world: &'a World,
    line: &'a Arguments,
}

impl<'a> Expectation<'a> {
    /// Creates an expectation of a completed run.
    pub(crate) fn new(world: &'a World, line: &'a Arguments) -> Self {
        Self { world, line }
    }

    /// Checks the run against the line. A number of an `…-at-most` line is an upper bound; a number
    /// of any other count is a lower bound.
    pub(crate) fn check(&self) -> Result<(), ExpectationError> {
        if let Some(count) = self.upper_bounded_count() {
            return self.expect_count(count, |count, bound| count <= bound);
        }
        match self.check_condition()? {
            Some(true) => Ok(()),
            Some(false) => Err(ExpectationError::Unmet { line: self.text() }),
            None => self.check_at_least(),
        }
    }

    fn kind(&self) -> &str {
        self.line.word(0)
    }

    fn text(&self) -> String {
        self.line.words().join(" ")
    }

    fn job(&self) -> Result<&JobView, ExpectationError> {
        let id = self.line.job(1);
        let job = self.world.checker.jobs.get(&id);
        job.ok_or(ExpectationError::NeverSubmitted(id))
    }

    /// The time limit in the fourth word, as in `done j-1 by 60`, in milliseconds; unlimited if the
    /// word is missing.
    fn time_limit_ms(&self) -> u64 {
        let seconds = self.line.optional_word(3);
        seconds.map_or(u64::MAX, |seconds| {
            milliseconds(seconds.parse().expect("seconds"))
        })
    }

    /// Whether a condition holds; `None` if the line is not a condition but a count.
    fn check_condition(&self) -> Result<Option<bool>, ExpectationError> {
        let world = self.world;
        Ok(Some(match self.kind() {
            "done" => self
                .job()?
                .done_notified_at
                .is_some_and(|at| at <= self.time_limit_ms()),
            "withdrawn" => self.job()?.notified.cancelled_at.is_some(),
            "started" => self.has_started_in_time(self.job()?),
            "waiting" => self.job()?.first_started_at.is_none(),
            "runs" => self.has_all_replicas(self.job()?),
            "status" => self.has_status(),
            "no-status" => !self.has_status(),
            "refused" => world.refused_within(&self.line.job(1), self.line.parsed(2)),
            // The token of a first owner is no takeover, so n takeovers need more than n tokens.
            "takeovers" if self.line.words().len() == 2 => {
                world.owner_tokens.len() > self.line.parsed::<usize>(1)
            }
            "no-takeover" => world.owner_tokens.len() == 1,
            "blocks" => self.count_shards() == self.line.parsed::<usize>(1),
            _ => return Ok(None),
        }))
    }

    fn has_started_in_time(&self, job: &JobView) -> bool {
        let started = job.first_started_at;
        started.is_some_and(|at| at - job.submitted_at <= self.time_limit_ms())
    }

    /// Whether all replicas of a service are on machines at the end of the run. With `but=8`, up to
    /// eight may be missing, because they are being moved from a machine that is drained.
    fn has_all_replicas(&self, job: &JobView) -> bool {
        let id = self.line.job(1);
        let tasks = self.world.checker.running.keys();
        let running = tasks.filter(|task| task.job == id).count() as u32;
        let moved = self
            .line
            .optional_word(2)
            .and_then(|word| word.strip_prefix("but="));
        let moved = moved.map_or(0, |count| count.parse().expect("a count"));
        running <= job.record.count && running + moved >= job.record.count
    }

    fn has_status(&self) -> bool {
        let status = (self.line.job(1), self.line.parsed(2));
        self.world.statuses.contains(&status)
    }

    fn count_shards(&self) -> usize {
        let keys = self.world.store.records.entries.keys();
        keys.filter(|key| key.contains("own/block/")).count()
    }

    /// The count of an expectation with an upper bound; `None` for other expectations.
    fn upper_bounded_count(&self) -> Option<usize> {
        let world = self.world;
        Some(match self.kind() {
            "killed-at-most" => world.lease_expiry_kills,
            "deleted-tasks-at-most" => world.tasks_on_deleted_machines,
            "replaced-at-most" => world.store.command_checker.cloud_calls.replaced_records,
            "failures-at-most" => world.observed.task_failures,
            "sick-machines-at-most" => world.workers.values().filter(|w| w.is_faulty).count(),
            "stuck-watches-at-most" => world.count_cancelled_watches(self.line),
            "unanswered-s-at-most" => world.unanswered_s(self.line),
            "rejected-at-most" => world.store.rejected_transactions,
            "limited-at-most" => world.store.rate_limited_transactions,
            "starts-at-most" => world.count_starts(self.line),
            "numbers-at-most" => world.owner_tokens.len(),
            "machines-at-most" => world.workers.len(),
            "rented-at-most" => world.cloud.machines.len(),
            _ => return None,
        })
    }

    /// Checks a lower bound, as in `expect confirmed 3 from=20 to=40`.
    fn check_at_least(&self) -> Result<(), ExpectationError> {
        let count = match self.kind() {
            "first-machines" => Some(self.count_initial_machines()),
            kind => self.world.count(kind, self.line),
        };
        let unknown = || ExpectationError::Unknown(self.kind().into());
        let count = count.ok_or_else(unknown)?;
        self.expect_count(count, |count, bound| count >= bound)
    }

    /// The number of initial machines that still exist.
    fn count_initial_machines(&self) -> usize {
        let machines = self.world.cloud.machines.values();
        let first = machines.filter(|machine| machine.rented_at == 0);
        first.filter(|machine| machine.gone_at.is_none()).count()
    }

    /// Compares a count with the bound in the line's second word.
    fn expect_count(
        &self,
        count: usize,
        is_within: impl Fn(usize, usize) -> bool,
    ) -> Result<(), ExpectationError> {
        match is_within(count, self.line.parsed(1)) {
            true => Ok(()),
            false => Err(ExpectationError::Count {
                line: self.text(),
                count,
            }),
        }
    }
}
