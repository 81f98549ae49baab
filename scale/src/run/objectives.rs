//! Checks a run against the objectives of its experiment.

use super::outcome::RunOutcome;
use crate::hollow::URGENT_CLASS;
use crate::results::LatencyRow;
use salttrestle_fakes::checker::{Checker, JobView};

/// Returns a description of each missed objective. Every run has the objective that all batch and
/// urgent jobs end.
pub(super) fn find_missed(run: &RunOutcome, checker: &Checker, open_jobs: usize) -> Vec<String> {
    let mut missed = Vec::new();
    if open_jobs > 0 {
        missed.push(format!(
            "{open_jobs} batch and urgent jobs hadn't ended at the end of the run"
        ));
    }
    missed.extend(check_start_rate(run));
    missed.extend(check_urgent_starts(run, checker));
    missed.extend(check_takeovers(run));
    missed.extend(check_limit_changes(run));
    missed
}

fn check_start_rate(run: &RunOutcome) -> Option<String> {
    let load = &run.experiment.load;
    let fraction = run.experiment.objectives.starts_fraction?;
    let starts_per_s = run.measurement.starts_per_s();
    let requested = load.starts_per_s + load.urgent_per_s;
    let is_missed = starts_per_s < fraction * requested;
    is_missed.then(|| format!("{starts_per_s:.1} of {requested:.1} task starts per second"))
}

fn check_urgent_starts(run: &RunOutcome, checker: &Checker) -> Option<String> {
    let within_s = run.experiment.objectives.urgent_within_s?;
    let fraction = run.experiment.objectives.urgent_fraction?;
    let started_in_time = |job: &JobView| {
        let waited_ms = job.first_started_at.map(|at| at - job.submitted_at);
        waited_ms.is_some_and(|ms| ms as f64 <= within_s * 1000.0)
    };
    let jobs = checker.jobs.values();
    let urgent: Vec<&JobView> = jobs
        .filter(|job| job.record.class == URGENT_CLASS && job.cancel_requested_at.is_none())
        .collect();
    let started = urgent.iter().filter(|job| started_in_time(job)).count();
    let all = urgent.len();
    let is_missed = (started as f64) < fraction * all as f64;
    is_missed.then(|| format!("{started} of {all} urgent jobs started within {within_s} s"))
}

fn check_takeovers(run: &RunOutcome) -> Vec<String> {
    let mut missed = Vec::new();
    let takeovers = run.shared.takeover_observer();
    if let Some(within_s) = run.experiment.objectives.takeover_within_s {
        let (late, all) = (takeovers.count_late(within_s), takeovers.rows.len());
        if late > 0 {
            missed.push(format!(
                "{late} of {all} takeovers took longer than {within_s} s"
            ));
        }
    }
    let ignored = run.ignored_terminations.iter();
    missed.extend(ignored.map(|id| format!("controller {id} didn't exit after SIGTERM")));
    missed
}

fn check_limit_changes(run: &RunOutcome) -> Vec<String> {
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
        let p99 = LatencyRow::new(direction, latencies_ms.iter().copied()).p99_ms;
        if p99 as f64 > within_s * 1000.0 {
            missed.push(format!(
                "limits {direction}: p99 until in force is {p99} ms"
            ));
        }
    }
    if limits.pending_count() > 0 {
        missed.push(format!(
            "{} limit changes aren't in force at the end of the run",
            limits.pending_count()
        ));
    }
    missed
}
