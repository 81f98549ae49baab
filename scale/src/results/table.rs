//! The table of results that is printed after a run.

use super::rows::{ProcessRow, Results, Row, RunRow, StoreRow, TrafficRow};
use std::fmt::Write as _;

impl Results {
    /// Formats the results as a table: a line for each row that has one, then the summary.
    pub fn to_table(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            if let Some(line) = row_line(row) {
                let _ = writeln!(text, "{line}");
            }
        }
        if let Some(run) = self.run() {
            text += &run_lines(run);
        }
        text
    }
}

/// The table's line for one row; `None` for rows that the table leaves out.
fn row_line(row: &Row) -> Option<String> {
    match row {
        Row::Run(_) | Row::Sample(_) | Row::LateJob(_) | Row::Takeover(_) => None,
        Row::Process(process) => Some(process_line(process)),
        Row::Traffic(traffic) => Some(traffic_line(traffic)),
        Row::Store(store) => Some(store_line(store)),
        Row::Latency(latency) => Some(format!(
            "{:<21} {:>6} times: p50 {} ms, p95 {} ms, p99 {} ms, max {} ms",
            latency.event,
            latency.count,
            latency.p50_ms,
            latency.p95_ms,
            latency.p99_ms,
            latency.max_ms,
        )),
        Row::Hollow(hollow) => Some(format!(
            "{:<12} hollow   {:>9.3} cores",
            hollow.cell, hollow.cores
        )),
    }
}

fn traffic_line(traffic: &TrafficRow) -> String {
    format!(
        "{:<12} {:<8} {:>9.1} messages/s and {:>9.1} KB/s in, {:>9.1} and {:>9.1} out",
        traffic.cell,
        traffic.connection,
        traffic.messages_in_per_s,
        traffic.bytes_in_per_s / 1e3,
        traffic.messages_out_per_s,
        traffic.bytes_out_per_s / 1e3,
    )
}

fn store_line(store: &StoreRow) -> String {
    format!(
        "{:<12} state    {:>9.1} requests/s, {:.1} changes/s in {:.1} commits/s, {:.1} conflicts/s, \
         {:.1} refused/s, {} keys",
        store.cell,
        store.requests_per_s,
        store.changes_per_s,
        store.commits_per_s,
        store.conflicts_per_s,
        store.rejected_per_s,
        store.keys,
    )
}

fn process_line(process: &ProcessRow) -> String {
    let role = if process.is_owner { "holder" } else { "relay" };
    let cpu = match process.was_restarted {
        true => "restarted during the measurement".to_string(),
        false => format!(
            "{:.3} cores ({:.3} user, {:.3} system)",
            process.user_cores + process.system_cores,
            process.user_cores,
            process.system_cores
        ),
    };
    format!(
        "{:<12} {role:<8} {cpu}, peak memory {:.1} MiB, {} open files",
        process.controller_id, process.memory_mb, process.open_files
    )
}

fn run_lines(run: &RunRow) -> String {
    let mut text = format!(
        "{}: {} workers in {} cells, {} controllers, {} teams; {:.0} running tasks, {:.1} starts/s \
         (maximum {}, total {}), {} jobs; {} tasks killed by lease expiry, {} user requests failed\n",
        run.name,
        run.workers,
        run.cells,
        run.controllers,
        run.teams,
        run.mean_running_tasks,
        run.starts_per_s,
        run.starts_per_sample_max,
        run.starts,
        run.jobs,
        run.lease_kills,
        run.user_failures,
    );
    for violation in &run.violations {
        let _ = writeln!(text, "rule violated: {violation}");
    }
    for objective in &run.missed_objectives {
        let _ = writeln!(text, "objective missed: {objective}");
    }
    if run.violations.is_empty() {
        text += "no rule was violated\n";
    }
    text
}
