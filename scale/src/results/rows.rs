//! The rows of a run's results, which are stored as JSON lines.

use super::latency::LatencyRow;
use crate::experiment::LeaderFault;
use serde::{Deserialize, Serialize};

/// One row of the results, stored as one line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "row", rename_all = "kebab-case")]
pub enum Row {
    /// Summary of the whole run.
    Run(RunRow),
    /// Resource use of one controller's process.
    Process(ProcessRow),
    /// Traffic of one cell over one kind of connection.
    #[serde(rename = "link")]
    Traffic(TrafficRow),
    /// Operations of one cell's store.
    #[serde(rename = "state")]
    Store(StoreRow),
    /// Latencies of one kind of event.
    Latency(LatencyRow),
    /// CPU use of one cell's hollow side.
    Hollow(HollowRow),
    /// A periodic sample of the whole run.
    #[serde(rename = "second")]
    Sample(SampleRow),
    /// An urgent job that started late.
    #[serde(rename = "late")]
    LateJob(LateJobRow),
    /// A fault of a leader, and the takeover by its successor.
    Takeover(TakeoverRow),
}

/// Summary of the whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRow {
    /// Name of the experiment.
    pub name: String,
    /// Seed of the experiment.
    pub seed: u64,
    /// The axis that was varied; `None` if the run isn't part of a sweep.
    pub axis: Option<String>,
    /// The value on the varied axis.
    pub value: Option<f64>,
    /// Number of cells.
    pub cells: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of workers at the start of the run.
    pub workers: usize,
    /// Number of teams.
    pub teams: usize,
    /// Length of the measurement, in seconds.
    pub window_s: f64,
    /// Mean number of running tasks during the measurement.
    #[serde(rename = "tasks")]
    pub mean_running_tasks: f64,
    /// Task starts per second during the measurement.
    pub starts_per_s: f64,
    /// Maximum number of task starts between two samples, which are a second apart.
    #[serde(rename = "starts_peak")]
    pub starts_per_sample_max: u64,
    /// Number of task starts in the whole run.
    pub starts: u64,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of tasks killed because their worker's lease expired.
    #[serde(rename = "killed")]
    pub lease_kills: u64,
    /// Number of user requests without a valid response.
    pub user_failures: u64,
    /// Descriptions of the rule violations.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Descriptions of the missed objectives.
    #[serde(rename = "missed")]
    pub missed_objectives: Vec<String>,
}

/// Resource use of one controller's process during the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessRow {
    /// Name of the controller's cell.
    pub cell: String,
    /// Id of the controller.
    #[serde(rename = "member")]
    pub controller_id: String,
    /// Whether the controller owned the first shard at the end of the measurement.
    #[serde(rename = "holder")]
    pub is_owner: bool,
    /// CPU time in user mode, in cores.
    pub user_cores: f64,
    /// CPU time in the kernel, in cores.
    pub system_cores: f64,
    /// Peak resident memory, in MiB.
    pub memory_mb: f64,
    /// Number of open files at the end of the run, sockets included.
    #[serde(rename = "files")]
    pub open_files: usize,
    /// Whether the process was restarted or not running during the measurement. Its CPU time is
    /// then unknown and given as 0.
    #[serde(rename = "restarted")]
    pub was_restarted: bool,
}

/// Traffic of one cell over one kind of connection, as mean rates over the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficRow {
    /// Name of the cell.
    pub cell: String,
    /// Kind of the connection, by the controllers' counterpart.
    #[serde(rename = "link")]
    pub connection: String,
    /// Messages from controllers per second.
    #[serde(rename = "messages_in")]
    pub messages_in_per_s: f64,
    /// Messages to controllers per second.
    #[serde(rename = "messages_out")]
    pub messages_out_per_s: f64,
    /// Bytes from controllers per second.
    #[serde(rename = "bytes_in")]
    pub bytes_in_per_s: f64,
    /// Bytes to controllers per second.
    #[serde(rename = "bytes_out")]
    pub bytes_out_per_s: f64,
}

/// Operations of one cell's store, as mean rates over the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreRow {
    /// Name of the cell.
    pub cell: String,
    /// All requests per second, watches included.
    #[serde(rename = "requests")]
    pub requests_per_s: f64,
    /// Watch requests per second.
    #[serde(rename = "follows")]
    pub watches_per_s: f64,
    /// Committed transactions per second.
    #[serde(rename = "commits")]
    pub commits_per_s: f64,
    /// Committed puts and deletes per second.
    #[serde(rename = "changes")]
    pub changes_per_s: f64,
    /// Transactions per second that failed because a precondition didn't hold.
    #[serde(rename = "conflicts")]
    pub conflicts_per_s: f64,
    /// Requests per second that were rejected because they exceeded a rate or size limit.
    #[serde(rename = "refused")]
    pub rejected_per_s: f64,
    /// Number of stored keys at the end of the measurement.
    pub keys: usize,
}

/// CPU use of one cell's hollow side: its workers, cloud, store and users. It has a single
/// thread.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HollowRow {
    /// Name of the cell.
    pub cell: String,
    /// CPU use in cores. Near 1, the hollow side itself limits the throughput of the run.
    pub cores: f64,
}

/// An urgent job that started later than the objective allows, or never.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LateJobRow {
    /// Id of the job.
    pub job: String,
    /// Team of the job.
    pub team: String,
    /// Time of submission, in seconds from the start of the load.
    pub at_s: f64,
    /// Time from submission to the first start, in seconds; `None` if the job never started.
    pub waited_s: Option<f64>,
}

/// A periodic sample of the whole run, over all cells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SampleRow {
    /// Time of the sample, in seconds from the start of the load.
    pub at_s: f64,
    /// Number of task starts since the previous sample.
    pub starts: u64,
    /// Number of running tasks.
    #[serde(rename = "tasks")]
    pub running_tasks: usize,
    /// Number of workers whose machines are running.
    #[serde(rename = "workers")]
    pub running_workers: usize,
    /// Number of committed puts and deletes in all stores since the previous sample.
    #[serde(rename = "changes")]
    pub store_changes: u64,
}

/// A fault of a leader, and the takeover by its successor. Times other than `at_ms` are in
/// milliseconds since the fault, and `None` if the step didn't take place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakeoverRow {
    /// Kind of the fault.
    pub kind: LeaderFault,
    /// Time of the fault, in milliseconds since the run began.
    pub at_ms: u64,
    /// Fencing token of the first shard at the time of the fault.
    #[serde(rename = "number")]
    pub token: u64,
    /// Time until the successor's shard record was written.
    pub elected_ms: Option<u64>,
    /// Time until the first worker acknowledged the successor's token.
    #[serde(rename = "shown_ms")]
    pub token_acknowledged_ms: Option<u64>,
    /// Time until the successor's first start command reached a worker.
    pub started_ms: Option<u64>,
    /// Time until the successor's first start command for an urgent job reached a worker.
    #[serde(rename = "urgent_ms")]
    pub urgent_started_ms: Option<u64>,
}

/// All rows of one run.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// The rows. The summary row of a single run comes last.
    pub rows: Vec<Row>,
}

impl Results {
    /// The summary of the whole run.
    pub fn run(&self) -> Option<&RunRow> {
        self.rows.iter().find_map(|row| match row {
            Row::Run(run) => Some(run),
            _ => None,
        })
    }

    /// Whether the run violated no rule and missed no objective.
    pub fn has_passed(&self) -> bool {
        let passed = |run: &RunRow| run.violations.is_empty() && run.missed_objectives.is_empty();
        self.run().is_some_and(passed)
    }

    /// Encodes the rows as JSON, one line for each.
    pub fn to_json_lines(&self) -> String {
        let lines = self
            .rows
            .iter()
            .filter_map(|row| serde_json::to_string(row).ok());
        lines.fold(String::new(), |text, line| text + &line + "\n")
    }
}
