//! The objectives of an experiment that a run has missed.

use super::outcome::RunOutcome;
use crate::hollow::URGENT_CLASS;
use crate::results::LatencyRow;
use salttrestle_fakes::checker::{Checker, JobView};

/// All objectives that were missed, in words.
pub(super) fn missed(run: &RunOutcome, checker: &Checker, open_jobs: usize) -> Vec<String> {
    let mut missed = Vec::new();
    if open_jobs > 0 {
        missed.push(format!("{open_jobs} batch jobs weren't over at the end"));
    }
    missed.extend(missed_starts(run));
    missed.extend(missed_urgent(run, checker));
    missed.extend(missed_takeovers(run));
    missed.extend(missed_limits(run));
    missed
}

fn missed_starts(run: &RunOutcome) -> Option<String> {
    let load = &run.experiment.load;
    let share = run.experiment.objectives.starts_share?;
    let starts_per_s = run.measurement.starts_per_s();
    let requested = load.starts_per_s + load.urgent_per_s;
    let missed = starts_per_s < share * requested;
    missed.then(|| format!("{starts_per_s:.1} of {requested:.1} starts a second"))
}

fn missed_urgent(run: &RunOutcome, checker: &Checker) -> Option<String> {
    let within_s = run.experiment.objectives.urgent_within_s?;
    let share = run.experiment.objectives.urgent_share?;
    let in_time = |job: &JobView| {
        let waited = job.first_started_at.map(|at| at - job.submitted_at);
        waited.is_some_and(|ms| ms as f64 <= within_s * 1000.0)
    };
    let jobs = checker.jobs.values();
    let urgent: Vec<&JobView> = jobs
        .filter(|job| job.record.class == URGENT_CLASS && job.cancel_requested_at.is_none())
        .collect();
    let started = urgent.iter().filter(|job| in_time(job)).count();
    let all = urgent.len();
    let missed = (started as f64) < share * all as f64;
    missed.then(|| format!("{started} of {all} urgent jobs started within {within_s} s"))
}

fn missed_takeovers(run: &RunOutcome) -> Vec<String> {
    let mut missed = Vec::new();
    let takeovers = run.shared.takeover_observer();
    if let Some(within_s) = run.experiment.objectives.takeover_within_s {
        let (late, all) = (takeovers.count_late(within_s), takeovers.rows.len());
        if late > 0 {
            missed.push(format!("{late} of {all} takeovers took over {within_s} s"));
        }
    }
    let ignored = run.ignored_terminations.iter();
    missed.extend(ignored.map(|id| format!("{id} was told to end and didn't")));
    missed
}

fn missed_limits(run: &RunOutcome) -> Vec<String> {
    let Some(within_s) = run.experiment.objectives.limits_within_s else {
        return Vec::new();
    };
    let limits = run.shared.limit_observer();
    let latencies = [
        ("raised", &limits.raise_latencies_ms),
        ("lowered", &limits.lower_latencies_ms),
    ];
    let mut missed = Vec::new();
    for (direction, latencies_ms) in latencies {
        let p99 = LatencyRow::new(direction, latencies_ms.iter().copied()).p99;
        if p99 as f64 > within_s * 1000.0 {
            missed.push(format!(
                "limits {direction}: in force after {p99} ms at p99"
            ));
        }
    }
    if limits.pending_count() > 0 {
        missed.push(format!(
            "{} changes of limits never came into force",
            limits.pending_count()
        ));
    }
    missed
}
