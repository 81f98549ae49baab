//! What a run brought: rows of JSON lines, and a table for people.

use crate::hollow::Traffic;
use crate::takeovers::TakeoverRow;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// Longest time told apart, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;
const DIGITS: u8 = 3;

/// One line of the results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "row", rename_all = "kebab-case")]
pub enum Row {
    /// The run as a whole.
    Run(RunRow),
    /// One controller.
    Process(ProcessRow),
    /// One kind of connection of one cell.
    Link(LinkRow),
    /// One cell's store.
    State(StateRow),
    /// Times that users or tasks waited.
    Latency(LatencyRow),
    /// One cell's hollow side.
    Hollow(HollowRow),
    /// How things stood at one second.
    Second(SecondRow),
    /// A job that started late.
    Late(LateRow),
    /// An end of a leader.
    Takeover(TakeoverRow),
}

/// The run as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRow {
    /// The experiment.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// What was varied, if the run is one of a sweep.
    pub axis: Option<String>,
    /// Its size.
    pub value: Option<f64>,
    /// Cells.
    pub cells: usize,
    /// Controllers.
    pub controllers: usize,
    /// Workers at the start.
    pub workers: usize,
    /// Teams.
    pub teams: usize,
    /// Seconds that were measured.
    pub window_s: f64,
    /// Mean of the tasks that ran in that time.
    pub tasks: f64,
    /// Task starts a second in that time.
    pub starts_per_s: f64,
    /// Most starts in one second.
    pub starts_peak: u64,
    /// Task starts in all.
    pub starts: u64,
    /// Jobs that were submitted.
    pub jobs: usize,
    /// Tasks killed since their worker's lease was over.
    pub killed: u64,
    /// Requests of users without an answer that says anything.
    pub user_failures: u64,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Aims that were missed.
    pub missed: Vec<String>,
}

/// One controller, over the time that was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessRow {
    /// Its cell.
    pub cell: String,
    /// Its name.
    pub member: String,
    /// Whether it led and held the shard at the end of that time.
    pub holder: bool,
    /// Processor time in the program, in cores.
    pub user_cores: f64,
    /// Processor time in the system on its behalf, in cores.
    pub system_cores: f64,
    /// Resident memory at its peak, in MiB.
    pub memory_mb: f64,
    /// Open files at the end.
    pub files: usize,
    /// It was restarted meanwhile, so that its processor time isn't known.
    pub restarted: bool,
}

/// One kind of connection of one cell, a second, over the time that was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LinkRow {
    /// The cell.
    pub cell: String,
    /// Who is at the other end of the controllers.
    pub link: String,
    /// Messages from controllers.
    pub messages_in: f64,
    /// Messages to controllers.
    pub messages_out: f64,
    /// Bytes from controllers.
    pub bytes_in: f64,
    /// Bytes to controllers.
    pub bytes_out: f64,
}

impl LinkRow {
    /// The row of what went over a kind of connection in so many seconds.
    pub fn new(cell: &str, link: &str, traffic: Traffic, window_s: f64) -> Self {
        let rate = |count: u64| count as f64 / window_s;
        Self {
            cell: cell.into(),
            link: link.into(),
            messages_in: rate(traffic.messages_in),
            messages_out: rate(traffic.messages_out),
            bytes_in: rate(traffic.bytes_in),
            bytes_out: rate(traffic.bytes_out),
        }
    }
}

/// What one cell's store did a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateRow {
    /// The cell.
    pub cell: String,
    /// Requests.
    pub requests: f64,
    /// Follows among them.
    pub follows: f64,
    /// Transactions carried out.
    pub commits: f64,
    /// Puts and deletes carried out.
    pub changes: f64,
    /// Transactions whose conditions failed.
    pub conflicts: f64,
    /// Requests refused.
    pub refused: f64,
    /// Keys at the end.
    pub keys: usize,
}

/// Times that were waited, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyRow {
    /// For what.
    pub what: String,
    /// How often.
    pub count: u64,
    /// Half waited no longer.
    pub p50: u64,
    /// 95% waited no longer.
    pub p95: u64,
    /// 99% waited no longer.
    pub p99: u64,
    /// The longest wait.
    pub max: u64,
}

impl LatencyRow {
    /// The row of these times, in milliseconds.
    pub fn new(what: &str, times: impl Iterator<Item = u64>) -> Self {
        let mut histogram: Histogram<u64> =
            Histogram::new_with_max(LONGEST_MS, DIGITS).expect("bounds that hdrhistogram takes");
        for time in times {
            histogram.saturating_record(time);
        }
        Self {
            what: what.into(),
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}

/// What one cell's hollow side took itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HollowRow {
    /// The cell.
    pub cell: String,
    /// Processor time, in cores; near 1, the hollow side is what limits the run.
    pub cores: f64,
}

/// A job that started later than its aim.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LateRow {
    /// The job.
    pub job: String,
    /// Its team.
    pub team: String,
    /// When it was submitted, in seconds since the load began.
    pub at_s: f64,
    /// How long it waited, in seconds; nothing if it never started.
    pub waited_s: Option<f64>,
}

/// How things stood at one second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondRow {
    /// Seconds since the load began.
    pub at_s: f64,
    /// Starts in the second before.
    pub starts: u64,
    /// Tasks that run.
    pub tasks: usize,
    /// Workers whose machines run.
    pub workers: usize,
    /// Changes at all state services in the second before.
    pub changes: u64,
}

/// All rows of one run.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// The rows, in the order in which they were made.
    pub rows: Vec<Row>,
}

impl Results {
    /// The run as a whole.
    pub fn run(&self) -> Option<&RunRow> {
        self.rows.iter().find_map(|row| match row {
            Row::Run(run) => Some(run),
            _ => None,
        })
    }

    /// Whether no rule was broken and no aim missed.
    pub fn good(&self) -> bool {
        let clean = |run: &RunRow| run.broken.is_empty() && run.missed.is_empty();
        self.run().is_some_and(clean)
    }

    /// The rows as JSON lines.
    pub fn json_lines(&self) -> String {
        let lines = self
            .rows
            .iter()
            .filter_map(|row| serde_json::to_string(row).ok());
        lines.fold(String::new(), |text, line| text + &line + "\n")
    }

    /// The table that is printed at the end.
    pub fn table(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            let line = match row {
                Row::Run(_) | Row::Second(_) | Row::Late(_) | Row::Takeover(_) => continue,
                Row::Process(p) => process_line(p),
                Row::Link(l) => format!(
                    "{:<12} {:<8} {:>9.1} messages/s and {:>9.1} KB/s in, {:>9.1} and {:>9.1} out",
                    l.cell,
                    l.link,
                    l.messages_in,
                    l.bytes_in / 1e3,
                    l.messages_out,
                    l.bytes_out / 1e3,
                ),
                Row::State(s) => format!(
                    "{:<12} state    {:>9.1} requests/s, {:.1} changes/s in {:.1} commits/s, {:.1} conflicts/s, {:.1} refused/s, {} keys",
                    s.cell, s.requests, s.changes, s.commits, s.conflicts, s.refused, s.keys,
                ),
                Row::Latency(l) => format!(
                    "{:<21} {:>6} times: p50 {} ms, p95 {} ms, p99 {} ms, at most {} ms",
                    l.what, l.count, l.p50, l.p95, l.p99, l.max,
                ),
                Row::Hollow(h) => format!("{:<12} hollow   {:>9.3} cores", h.cell, h.cores),
            };
            let _ = writeln!(text, "{line}");
        }
        if let Some(run) = self.run() {
            text += &run_lines(run);
        }
        text
    }
}

fn process_line(p: &ProcessRow) -> String {
    let role = if p.holder { "holder" } else { "relay" };
    let cpu = match p.restarted {
        true => "restarted meanwhile".to_string(),
        false => format!(
            "{:.3} cores ({:.3} user, {:.3} system)",
            p.user_cores + p.system_cores,
            p.user_cores,
            p.system_cores
        ),
    };
    let (memory, files) = (p.memory_mb, p.files);
    format!(
        "{:<12} {role:<8} {cpu}, {memory:.1} MiB at its peak, {files} files",
        p.member
    )
}

fn run_lines(run: &RunRow) -> String {
    let mut text = format!(
        "{}: {} workers in {} cells, {} controllers, {} teams; {:.0} tasks ran, {:.1} starts/s \
         ({} at most, {} in all), {} jobs; {} tasks killed by leases, {} requests of users failed\n",
        run.name,
        run.workers,
        run.cells,
        run.controllers,
        run.teams,
        run.tasks,
        run.starts_per_s,
        run.starts_peak,
        run.starts,
        run.jobs,
        run.killed,
        run.user_failures,
    );
    for what in &run.broken {
        let _ = writeln!(text, "RULE BROKEN: {what}");
    }
    for what in &run.missed {
        let _ = writeln!(text, "aim missed: {what}");
    }
    if run.broken.is_empty() {
        text += "no rule was broken\n";
    }
    text
}
