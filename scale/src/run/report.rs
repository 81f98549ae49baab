//! Computes the results of a run from its measurements and observations.

use super::measurement::{Measurement, ProcessCpu};
use super::objectives;
use super::outcome::RunOutcome;
use crate::controllers::Controller;
use crate::hollow::{
    BATCH_CLASS, CellSample, KindTraffic, SERVICE_CLASS, SharedState, URGENT_CLASS,
};
use crate::procfs::{CpuTime, count_open_files, process_memory};
use crate::results::{
    HollowRow, LateJobRow, LatencyRow, ProcessRow, Results, Row, RunRow, StoreRow, TrafficRow,
};
use salttrestle_fakes::checker::{Checker, JobView};
use tracing::info;

/// Maximum number of violations that the results list for each source: the checker, and the command
/// checker. Repeated task starts in the log have the same bound.
const LISTED_VIOLATIONS_MAX: usize = 20;

/// The axis that a sweep varies, and its value in one run.
pub struct VariedAxis {
    /// Name of the axis.
    pub axis: String,
    /// Value on the axis.
    pub value: f64,
}

/// Collects all result rows of a run. The row of the whole run comes last.
pub(super) fn collect_results(run: &RunOutcome, varied: Option<VariedAxis>) -> Results {
    let mut rows = process_rows(run);
    for index in 0..run.installation.cells.len() {
        rows.extend(cell_rows(run, index));
    }
    let checker = run.shared.checker();
    rows.extend(job_latency_rows(&checker));
    rows.extend(run.shared.takeover_observer().result_rows());
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
    let Measurement { start, end } = run.measurement;
    let controllers = run.installation.controllers.iter();
    let cpu = start.cpu.iter().zip(&end.cpu);
    let rows = controllers
        .zip(cpu)
        .map(|(controller, (start_cpu, end_cpu))| {
            let used = used_cpu(*start_cpu, *end_cpu);
            let cores = |part: fn(CpuTime) -> f64| {
                used.map_or(0.0, |cpu| part(cpu) / run.measurement.window_s())
            };
            Row::Process(ProcessRow {
                cell: run.installation.cells[controller.cell].name.clone(),
                controller_id: controller.id.clone(),
                is_owner: end.cells[controller.cell].shard_owner.as_ref() == Some(&controller.id),
                user_cores: cores(|cpu| cpu.user_s),
                system_cores: cores(|cpu| cpu.system_s),
                memory_mb: peak_memory_mb(controller),
                open_files: controller.pid().and_then(count_open_files).unwrap_or(0),
                was_restarted: used.is_none(),
            })
        });
    rows.collect()
}

/// Processor time between two readings; `None` unless both are of the same process.
fn used_cpu(start: Option<ProcessCpu>, end: Option<ProcessCpu>) -> Option<CpuTime> {
    let (start, end) = (start?, end?);
    (start.pid == end.pid).then(|| end.time.since(start.time))
}

fn peak_memory_mb(controller: &Controller) -> f64 {
    let memory = controller.pid().and_then(process_memory);
    memory.map_or(0.0, |memory| memory.peak_mb)
}

/// Rows for the store, the processor use and the traffic of the cell at `index`.
fn cell_rows(run: &RunOutcome, index: usize) -> Vec<Row> {
    let name = &run.installation.cells[index].name;
    let start: &CellSample = &run.measurement.start.cells[index];
    let end: &CellSample = &run.measurement.end.cells[index];
    let window_s = run.measurement.window_s();
    let store = end.store.since(start.store);
    let rate = |count: u64| count as f64 / window_s;
    let mut rows = vec![
        Row::Store(StoreRow {
            cell: name.clone(),
            requests_per_s: rate(store.requests),
            watches_per_s: rate(store.watches),
            commits_per_s: rate(store.commits),
            changes_per_s: rate(store.changes),
            conflicts_per_s: rate(store.conflicts),
            rejected_per_s: rate(store.rejected),
            keys: end.stored_keys,
        }),
        Row::Hollow(HollowRow {
            cell: name.clone(),
            cores: end.thread_cpu.since(start.thread_cpu).total_s() / window_s,
        }),
    ];
    let traffic = start.traffic.iter().zip(&end.traffic);
    rows.extend(traffic.map(|(start, end)| Row::Traffic(traffic_row(name, start, end, window_s))));
    rows
}

fn traffic_row(cell: &str, start: &KindTraffic, end: &KindTraffic, window_s: f64) -> TrafficRow {
    let traffic = end.traffic.since(start.traffic);
    let rate = |count: u64| count as f64 / window_s;
    TrafficRow {
        cell: cell.into(),
        connection: end.kind.name().into(),
        messages_in_per_s: rate(traffic.messages_in),
        messages_out_per_s: rate(traffic.messages_out),
        bytes_in_per_s: rate(traffic.bytes_in),
        bytes_out_per_s: rate(traffic.bytes_out),
    }
}

/// Latencies from submission to acceptance and from submission to the first start, by job class.
fn job_latency_rows(checker: &Checker) -> Vec<Row> {
    let mut rows = Vec::new();
    for class in [BATCH_CLASS, URGENT_CLASS, SERVICE_CLASS] {
        let mut add_row = |event: &str, time_of: fn(&JobView) -> Option<u64>| {
            let jobs = checker.jobs.values();
            let of_class = jobs.filter(|job| job.record.class == class);
            let latencies =
                of_class.filter_map(|job| Some(time_of(job)?.saturating_sub(job.submitted_at)));
            let event = format!("{class} {event}");
            rows.push(Row::Latency(LatencyRow::new(&event, latencies)));
        };
        add_row("accepted", |job| job.accepted_at);
        add_row("started", |job| job.first_started_at);
    }
    rows
}

/// Rows for the urgent jobs that started later than the objective allows, or never.
fn late_job_rows(run: &RunOutcome, checker: &Checker) -> Vec<Row> {
    let Some(within_s) = run.experiment.objectives.urgent_within_s else {
        return Vec::new();
    };
    let to_s = |ms: u64| ms as f64 / 1000.0;
    let waited_s = |job: &JobView| job.first_started_at.map(|at| to_s(at - job.submitted_at));
    let late = checker.jobs.iter().filter(|(_, job)| {
        job.record.class == URGENT_CLASS && waited_s(job).is_none_or(|waited| waited > within_s)
    });
    let rows = late.map(|(id, job)| {
        Row::LateJob(LateJobRow {
            job: id.to_string(),
            team: job.record.team.clone(),
            at_s: to_s(job.submitted_at.saturating_sub(run.load_began_ms)),
            waited_s: waited_s(job),
        })
    });
    rows.collect()
}

/// Latencies from the request of a limit change until it is in force.
fn limit_rows(shared: &SharedState) -> [Row; 2] {
    let limits = shared.limit_observer();
    info!(
        "limit changes observed, replaced={} pending={}",
        limits.replaced_count,
        limits.pending_count()
    );
    [
        ("limits raised", &limits.raise_latencies_ms),
        ("limits lowered", &limits.lower_latencies_ms),
    ]
    .map(|(event, latencies)| Row::Latency(LatencyRow::new(event, latencies.iter().copied())))
}

/// The row of the whole run. Runs the checker's final checks first; those for jobs that must have
/// ended apply only if no batch or urgent job is still open.
fn run_row(run: &RunOutcome) -> RunRow {
    let now = run.shared.now_ms();
    let cells = run.installation.cells.iter();
    let final_samples: Vec<CellSample> = cells.filter_map(|cell| cell.sample().ok()).collect();
    let open_jobs: usize = final_samples.iter().map(|cell| cell.open_jobs).sum();
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
        mean_running_tasks: mean_running_tasks(run),
        starts_per_s: run.measurement.starts_per_s(),
        starts_per_sample_max: run.samples.iter().map(|row| row.starts).max().unwrap_or(0),
        starts: checker.start_count,
        jobs: checker.jobs.len(),
        lease_kills: final_samples.iter().map(|cell| cell.lease_kills).sum(),
        user_failures: final_samples.iter().map(|cell| cell.user_failures).sum(),
        violations: collect_violations(run, &checker),
        missed_objectives: objectives::find_missed(run, &checker, open_jobs),
    }
}

/// Mean number of running tasks over the samples of the measured phase.
fn mean_running_tasks(run: &RunOutcome) -> f64 {
    let phases = &run.experiment.phases;
    let measured = (phases.ramp_s + phases.warmup_s)..=(phases.total_s() - phases.drain_s);
    let samples = run.samples.iter();
    let tasks: Vec<f64> = samples
        .filter(|row| measured.contains(&row.at_s))
        .map(|row| row.running_tasks as f64)
        .collect();
    tasks.iter().sum::<f64>() / tasks.len().max(1) as f64
}

/// Collects descriptions of all rule violations: violations of the checker's rules, crashed
/// controllers, and start commands or cloud calls that the command checker has found wrong.
fn collect_violations(run: &RunOutcome, checker: &Checker) -> Vec<String> {
    let checked = checker
        .violations
        .iter()
        .take(LISTED_VIOLATIONS_MAX)
        .cloned();
    let crashed = run.installation.crashed.iter();
    let crashed = crashed.map(|id| format!("controller {id} exited unexpectedly"));
    let takeovers = run.shared.takeover_observer();
    let command_checker = &takeovers.command_checker;
    info!(
        "tasks started repeatedly, count={}",
        command_checker.restarts.len()
    );
    for restart in command_checker.restarts.iter().take(LISTED_VIOLATIONS_MAX) {
        info!("task started repeatedly, restart=\"{restart}\"");
    }
    let command_violations = command_checker
        .violations
        .iter()
        .chain(&command_checker.cloud_calls.violations);
    checked
        .chain(crashed)
        .chain(command_violations.take(LISTED_VIOLATIONS_MAX).cloned())
        .collect()
}
