//! What the `expect` lines of a scenario ask of a run.

use crate::sim::scenario::{Arguments, milliseconds};
use crate::sim::world::World;
use salttrestle::ids::JobId;
use salttrestle_fakes::checker::JobView;
use thiserror::Error;

/// Why an expectation isn't met.
#[derive(Debug, Error)]
pub(crate) enum ExpectationError {
    /// It is about a job that the scenario doesn't submit.
    #[error("{0} was never submitted")]
    NeverSubmitted(JobId),
    /// It isn't so.
    #[error("expected: {line}")]
    Unmet {
        /// The line behind `expect`.
        line: String,
    },
    /// It was more often, or less often.
    #[error("expected: {line}, was {count}")]
    Count {
        /// The line behind `expect`.
        line: String,
        /// How often it was.
        count: usize,
    },
    /// No such expectation is known.
    #[error("unknown expectation {0}")]
    Unknown(String),
}

/// An `expect` line and the run that it is about.
pub(crate) struct Expectation<'a> {
    world: &'a World,
    line: &'a Arguments,
}

impl<'a> Expectation<'a> {
    /// An expectation of a run that is over.
    pub(crate) fn new(world: &'a World, line: &'a Arguments) -> Self {
        Self { world, line }
    }

    /// Whether the run is as the line says.
    pub(crate) fn check(&self) -> Result<(), ExpectationError> {
        if let Some(most) = self.count_at_most() {
            return self.expect_count(most, |most, limit| most <= limit);
        }
        match self.holds()? {
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

    /// The span in the fourth word, as in `done j-1 by 60`; without it any time will do.
    fn span_ms(&self) -> u64 {
        let seconds = self.line.optional_word(3);
        seconds.map_or(u64::MAX, |seconds| {
            milliseconds(seconds.parse().expect("seconds"))
        })
    }

    /// Whether a condition holds that isn't a count; `None` for what isn't one.
    fn holds(&self) -> Result<Option<bool>, ExpectationError> {
        let world = self.world;
        Ok(Some(match self.kind() {
            "done" => self
                .job()?
                .done_notified_at
                .is_some_and(|at| at <= self.span_ms()),
            "withdrawn" => self.job()?.notified.cancelled_at.is_some(),
            "started" => self.started_in_time(self.job()?),
            "waiting" => self.job()?.first_started_at.is_none(),
            "runs" => self.runs(self.job()?),
            "status" => self.has_status(),
            "no-status" => !self.has_status(),
            "refused" => world.refused_within(&self.line.job(1), self.line.parsed(2)),
            "takeovers" if self.line.words().len() == 2 => {
                world.tokens.len() > self.line.parsed::<usize>(1)
            }
            "no-takeover" => world.tokens.len() == 1,
            "blocks" => self.shards() == self.line.parsed::<usize>(1),
            _ => return Ok(None),
        }))
    }

    fn started_in_time(&self, job: &JobView) -> bool {
        let started = job.first_started_at;
        started.is_some_and(|at| at - job.submitted_at <= self.span_ms())
    }

    /// Whether all replicas of a service are on machines at the end, but for those, `but=8`, that
    /// are just then moved from a machine that is emptied.
    fn runs(&self, job: &JobView) -> bool {
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

    fn shards(&self) -> usize {
        let keys = self.world.store.records.entries.keys();
        keys.filter(|key| key.contains("own/block/")).count()
    }

    /// What is counted by an expectation that bounds it from above.
    fn count_at_most(&self) -> Option<usize> {
        let world = self.world;
        Some(match self.kind() {
            "killed-at-most" => world.killed,
            "deleted-tasks-at-most" => world.deleted_tasks,
            "replaced-at-most" => world.store.orders.cloud_calls.replaced_records,
            "failures-at-most" => world.observed.task_failures,
            "sick-machines-at-most" => world.workers.values().filter(|w| w.is_faulty).count(),
            "rejected-at-most" => world.store.rejected,
            "limited-at-most" => world.store.limited,
            "starts-at-most" => world.checker.start_count as usize,
            "numbers-at-most" => world.tokens.len(),
            "machines-at-most" => world.workers.len(),
            "rented-at-most" => world.cloud.machines.len(),
            _ => return None,
        })
    }

    /// `expect confirmed 3 from=20 to=40`: it took place that often at least.
    fn check_at_least(&self) -> Result<(), ExpectationError> {
        let count = match self.kind() {
            "first-machines" => Some(self.first_machines()),
            kind => self.world.count(kind, self.line),
        };
        let unknown = || ExpectationError::Unknown(self.kind().into());
        let count = count.ok_or_else(unknown)?;
        self.expect_count(count, |count, limit| count >= limit)
    }

    /// Machines that the scenario began with and that are still there.
    fn first_machines(&self) -> usize {
        let machines = self.world.cloud.machines.values();
        let first = machines.filter(|machine| machine.rented_at == 0);
        first.filter(|machine| machine.gone_at.is_none()).count()
    }

    /// Compares a count with the one in the line's second word.
    fn expect_count(
        &self,
        count: usize,
        good: impl Fn(usize, usize) -> bool,
    ) -> Result<(), ExpectationError> {
        match good(count, self.line.parsed(1)) {
            true => Ok(()),
            false => Err(ExpectationError::Count {
                line: self.text(),
                count,
            }),
        }
    }
}
