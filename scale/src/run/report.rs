//! The results of a run, from what was measured and observed.

use super::measurement::{Measurement, ProcessCpu};
use super::objectives;
use super::outcome::RunOutcome;
use crate::controllers::Controller;
use crate::hollow::{BATCH, CellSample, KindTraffic, SERVICE, SharedState, URGENT};
use crate::procfs::{CpuTime, process_files, process_memory};
use crate::results::{
    HollowRow, LateJobRow, LatencyRow, ProcessRow, Results, Row, RunRow, StoreRow, TrafficRow,
};
use salttrestle_fakes::checker::{Checker, JobView};
use tracing::info;

/// Most violations of one kind that the results name.
const VIOLATIONS_MAX: usize = 20;

/// What was varied in a run that is part of a sweep.
pub struct VariedAxis {
    /// The axis.
    pub axis: String,
    /// The value on it.
    pub value: f64,
}

/// The rows of all results; the row of the whole run comes last.
pub(super) fn results(run: &RunOutcome, varied: Option<VariedAxis>) -> Results {
    let mut rows = process_rows(run);
    for index in 0..run.installation.cells.len() {
        rows.extend(cell_rows(run, index));
    }
    let checker = run.shared.checker();
    rows.extend(job_latency_rows(&checker));
    rows.extend(run.shared.takeovers().result_rows());
    rows.extend(late_job_rows(run, &checker));
    rows.extend(run.samples.iter().cloned().map(Row::Sample));
    drop(checker);
    if run.experiment.sharing.is_some() {
        rows.extend(limit_rows(run.shared));
    }
    let mut run_row = run_row(run);
    if let Some(varied) = varied {
        run_row.axis = Some(varied.axis);
        run_row.value = Some(varied.value);
    }
    rows.push(Row::Run(run_row));
    Results { rows }
}

fn process_rows(run: &RunOutcome) -> Vec<Row> {
    let Measurement { from, to } = run.measurement;
    let controllers = run.installation.controllers.iter();
    let cpu = from.cpu.iter().zip(&to.cpu);
    let rows = controllers
        .zip(cpu)
        .map(|(controller, (from_cpu, to_cpu))| {
            let used = used_cpu(*from_cpu, *to_cpu);
            let cores = |part: fn(CpuTime) -> f64| {
                used.map_or(0.0, |cpu| part(cpu) / run.measurement.window_s())
            };
            Row::Process(ProcessRow {
                cell: run.installation.cells[controller.cell].name.clone(),
                controller_id: controller.id.clone(),
                owner: to.cells[controller.cell].owner.as_ref() == Some(&controller.id),
                user_cores: cores(|cpu| cpu.user_s),
                system_cores: cores(|cpu| cpu.system_s),
                memory_mb: peak_memory_mb(controller),
                files: controller.pid().and_then(process_files).unwrap_or(0),
                restarted: used.is_none(),
            })
        });
    rows.collect()
}

/// Processor time between two readings of the same process.
fn used_cpu(from: Option<ProcessCpu>, to: Option<ProcessCpu>) -> Option<CpuTime> {
    let (from, to) = (from?, to?);
    (from.pid == to.pid).then(|| to.time.since(from.time))
}

fn peak_memory_mb(controller: &Controller) -> f64 {
    let memory = controller.pid().and_then(process_memory);
    memory.map_or(0.0, |memory| memory.peak_mb)
}

/// Store, processor use and traffic of one cell.
fn cell_rows(run: &RunOutcome, index: usize) -> Vec<Row> {
    let name = &run.installation.cells[index].name;
    let from: &CellSample = &run.measurement.from.cells[index];
    let to: &CellSample = &run.measurement.to.cells[index];
    let window_s = run.measurement.window_s();
    let store = to.store.since(from.store);
    let rate = |count: u64| count as f64 / window_s;
    let mut rows = vec![
        Row::Store(StoreRow {
            cell: name.clone(),
            requests: rate(store.requests),
            watches: rate(store.watches),
            commits: rate(store.commits),
            changes: rate(store.changes),
            conflicts: rate(store.conflicts),
            rejected: rate(store.rejected),
            keys: to.keys,
        }),
        Row::Hollow(HollowRow {
            cell: name.clone(),
            cores: to.cpu.since(from.cpu).total_s() / window_s,
        }),
    ];
    let traffic = from.traffic.iter().zip(&to.traffic);
    rows.extend(traffic.map(|(from, to)| Row::Traffic(traffic_row(name, from, to, window_s))));
    rows
}

fn traffic_row(cell: &str, from: &KindTraffic, to: &KindTraffic, window_s: f64) -> TrafficRow {
    let traffic = to.traffic.since(from.traffic);
    let rate = |count: u64| count as f64 / window_s;
    TrafficRow {
        cell: cell.into(),
        connection: to.kind.name().into(),
        messages_in: rate(traffic.messages_in),
        messages_out: rate(traffic.messages_out),
        bytes_in: rate(traffic.bytes_in),
        bytes_out: rate(traffic.bytes_out),
    }
}

/// Latencies from submission to acceptance and to the first start, by class of job.
fn job_latency_rows(checker: &Checker) -> Vec<Row> {
    let mut rows = Vec::new();
    for class in [BATCH, URGENT, SERVICE] {
        let mut add = |event: &str, at: fn(&JobView) -> Option<u64>| {
            let jobs = checker.jobs.values();
            let of_class = jobs.filter(|job| job.record.class == class);
            let latencies =
                of_class.filter_map(|job| Some(at(job)?.saturating_sub(job.submitted_at)));
            let what = format!("{class} {event}");
            rows.push(Row::Latency(LatencyRow::new(&what, latencies)));
        };
        add("accepted", |job| job.accepted_at);
        add("started", |job| job.first_start);
    }
    rows
}

/// The urgent jobs that started later than their objective.
fn late_job_rows(run: &RunOutcome, checker: &Checker) -> Vec<Row> {
    let Some(within_s) = run.experiment.objectives.urgent_within_s else {
        return Vec::new();
    };
    let seconds = |ms: u64| ms as f64 / 1000.0;
    let waited_s = |job: &JobView| job.first_start.map(|at| seconds(at - job.submitted_at));
    let late = checker.jobs.iter().filter(|(_, job)| {
        job.record.class == URGENT && waited_s(job).is_none_or(|waited| waited > within_s)
    });
    let rows = late.map(|(id, job)| {
        Row::LateJob(LateJobRow {
            job: id.to_string(),
            team: job.record.team.clone(),
            at_s: seconds(job.submitted_at.saturating_sub(run.load_began_ms)),
            waited_s: waited_s(job),
        })
    });
    rows.collect()
}

/// Latencies of changes of limits.
fn limit_rows(shared: &SharedState) -> [Row; 2] {
    let limits = shared.limits();
    info!(
        "limit changes observed replaced={} pending={}",
        limits.replaced,
        limits.pending()
    );
    [
        ("limits raised", &limits.raised_ms),
        ("limits lowered", &limits.lowered_ms),
    ]
    .map(|(what, latencies)| Row::Latency(LatencyRow::new(what, latencies.iter().copied())))
}

fn run_row(run: &RunOutcome) -> RunRow {
    let now = run.shared.now_ms();
    let cells = run.installation.cells.iter();
    let last: Vec<CellSample> = cells.filter_map(|cell| cell.sample().ok()).collect();
    let open_jobs: usize = last.iter().map(|cell| cell.open_jobs).sum();
    let mut checker = run.shared.checker();
    checker.check_cancelled(now);
    if open_jobs == 0 {
        checker.check_end(now);
    }
    RunRow {
        name: run.experiment.name.clone(),
        seed: run.experiment.seed,
        axis: None,
        value: None,
        cells: run.installation.cells.len(),
        controllers: run.installation.controllers.len(),
        workers: run.experiment.worker_count(),
        teams: run.experiment.load.teams,
        window_s: run.measurement.window_s(),
        tasks: mean_tasks(run),
        starts_per_s: run.measurement.starts_per_s(),
        starts_peak: run.samples.iter().map(|row| row.starts).max().unwrap_or(0),
        starts: checker.starts,
        jobs: checker.jobs.len(),
        killed: last.iter().map(|cell| cell.lease_kills).sum(),
        user_failures: last.iter().map(|cell| cell.user_failures).sum(),
        violations: violations(run, &checker),
        missed_objectives: objectives::missed(run, &checker, open_jobs),
    }
}

/// Mean number of running tasks over the samples of the measurement.
fn mean_tasks(run: &RunOutcome) -> f64 {
    let phases = &run.experiment.phases;
    let measured = (phases.ramp_s + phases.warmup_s)..=(phases.total_s() - phases.drain_s);
    let samples = run.samples.iter();
    let tasks: Vec<f64> = samples
        .filter(|row| measured.contains(&row.at_s))
        .map(|row| row.tasks as f64)
        .collect();
    tasks.iter().sum::<f64>() / tasks.len().max(1) as f64
}

/// Violations of rules: of the checker's, crashed controllers, and commands with stale tokens.
fn violations(run: &RunOutcome, checker: &Checker) -> Vec<String> {
    let checked = checker.broken.iter().take(VIOLATIONS_MAX).cloned();
    let crashed = run.installation.crashed.iter();
    let crashed = crashed.map(|id| format!("{id} has ended by itself"));
    let takeovers = run.shared.takeovers();
    let orders = &takeovers.orders;
    info!("tasks started again count={}", orders.repeats.len());
    for repeat in orders.repeats.iter().take(VIOLATIONS_MAX) {
        info!("task started again task=\"{repeat}\"");
    }
    let stale = orders.broken.iter().chain(&orders.duties.broken);
    checked
        .chain(crashed)
        .chain(stale.take(VIOLATIONS_MAX).cloned())
        .collect()
}
