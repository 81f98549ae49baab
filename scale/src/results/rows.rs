//! The rows of the results, which are stored as JSON lines.

use super::latency::LatencyRow;
use crate::experiment::LeaderEnd;
use serde::{Deserialize, Serialize};

/// One line of the results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "row", rename_all = "kebab-case")]
pub enum Row {
    /// The run as a whole.
    Run(RunRow),
    /// One controller's process.
    Process(ProcessRow),
    /// Traffic of one cell over one kind of connection.
    #[serde(rename = "link")]
    Traffic(TrafficRow),
    /// One cell's store.
    #[serde(rename = "state")]
    Store(StoreRow),
    /// Latencies of one kind.
    Latency(LatencyRow),
    /// One cell's hollow side.
    Hollow(HollowRow),
    /// A sample of the whole run.
    #[serde(rename = "second")]
    Sample(SampleRow),
    /// An urgent job that started late.
    #[serde(rename = "late")]
    LateJob(LateJobRow),
    /// The end of a leader, and the takeover by its successor.
    Takeover(TakeoverRow),
}

/// The run as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRow {
    /// The experiment.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// The axis that was varied, if the run is one of a sweep.
    pub axis: Option<String>,
    /// The value on that axis.
    pub value: Option<f64>,
    /// Number of cells.
    pub cells: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of workers at the start.
    pub workers: usize,
    /// Number of teams.
    pub teams: usize,
    /// Length of the measurement, in seconds.
    pub window_s: f64,
    /// Mean number of running tasks in that time.
    pub tasks: f64,
    /// Task starts per second in that time.
    pub starts_per_s: f64,
    /// Most task starts in one second.
    pub starts_peak: u64,
    /// Task starts in the whole run.
    pub starts: u64,
    /// Jobs that were submitted.
    pub jobs: usize,
    /// Tasks killed by the expiry of their worker's lease.
    pub killed: u64,
    /// Requests of users without a valid response.
    pub user_failures: u64,
    /// Violations of rules.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Objectives that were missed.
    #[serde(rename = "missed")]
    pub missed_objectives: Vec<String>,
}

/// One controller's process, over the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessRow {
    /// Its cell.
    pub cell: String,
    /// Its id.
    #[serde(rename = "member")]
    pub controller_id: String,
    /// Whether it owned the first shard at the end of the measurement.
    #[serde(rename = "holder")]
    pub owner: bool,
    /// Processor time in user mode, in cores.
    pub user_cores: f64,
    /// Processor time in the kernel, in cores.
    pub system_cores: f64,
    /// Peak resident memory, in MiB.
    pub memory_mb: f64,
    /// Open files at the end, sockets included.
    pub files: usize,
    /// It was restarted during the measurement, so that its processor time isn't known.
    pub restarted: bool,
}

/// Traffic of one cell over one kind of connection, per second of the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficRow {
    /// The cell.
    pub cell: String,
    /// The kind of connection.
    #[serde(rename = "link")]
    pub connection: String,
    /// Messages from controllers.
    pub messages_in: f64,
    /// Messages to controllers.
    pub messages_out: f64,
    /// Bytes from controllers.
    pub bytes_in: f64,
    /// Bytes to controllers.
    pub bytes_out: f64,
}

/// Operations of one cell's store, per second of the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreRow {
    /// The cell.
    pub cell: String,
    /// Requests.
    pub requests: f64,
    /// Watches among them.
    #[serde(rename = "follows")]
    pub watches: f64,
    /// Committed transactions.
    pub commits: f64,
    /// Committed puts and deletes.
    pub changes: f64,
    /// Transactions whose preconditions failed.
    pub conflicts: f64,
    /// Rejected requests.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Number of keys at the end.
    pub keys: usize,
}

/// Processor use of one cell's hollow side.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HollowRow {
    /// The cell.
    pub cell: String,
    /// Processor time, in cores; near 1, the hollow side limits the run.
    pub cores: f64,
}

/// An urgent job that started later than its objective.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LateJobRow {
    /// The job.
    pub job: String,
    /// Its team.
    pub team: String,
    /// When it was submitted, in seconds from the start of the load.
    pub at_s: f64,
    /// How long it waited, in seconds; `None` if it never started.
    pub waited_s: Option<f64>,
}

/// A sample of the whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SampleRow {
    /// Seconds from the start of the load.
    pub at_s: f64,
    /// Task starts since the sample before.
    pub starts: u64,
    /// Running tasks.
    pub tasks: usize,
    /// Workers whose machines run.
    pub workers: usize,
    /// Writes at all stores since the sample before.
    pub changes: u64,
}

/// The end of a leader and the takeover by its successor; times are in milliseconds since that end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakeoverRow {
    /// How the leader ended.
    pub kind: LeaderEnd,
    /// When, in milliseconds since the run began.
    pub at_ms: u64,
    /// The fencing token of the first shard at that moment.
    #[serde(rename = "number")]
    pub token: u64,
    /// The successor's shard record was written.
    pub elected_ms: Option<u64>,
    /// The first worker acknowledged the successor's token.
    #[serde(rename = "shown_ms")]
    pub token_acknowledged_ms: Option<u64>,
    /// The successor's first start reached a worker.
    pub started_ms: Option<u64>,
    /// Its first start of an urgent job reached a worker.
    #[serde(rename = "urgent_ms")]
    pub urgent_started_ms: Option<u64>,
}

/// All rows of one run.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// The rows; that of the whole run comes last.
    pub rows: Vec<Row>,
}

impl Results {
    /// The row of the whole run.
    pub fn run(&self) -> Option<&RunRow> {
        self.rows.iter().find_map(|row| match row {
            Row::Run(run) => Some(run),
            _ => None,
        })
    }

    /// Whether no rule was violated and no objective missed.
    pub fn passed(&self) -> bool {
        let passed = |run: &RunRow| run.violations.is_empty() && run.missed_objectives.is_empty();
        self.run().is_some_and(passed)
    }

    /// The rows as JSON lines.
    pub fn json_lines(&self) -> String {
        let lines = self
            .rows
            .iter()
            .filter_map(|row| serde_json::to_string(row).ok());
        lines.fold(String::new(), |text, line| text + &line + "\n")
    }
}
