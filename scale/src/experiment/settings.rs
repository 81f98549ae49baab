//! The settings of an experiment, and their parser.

use super::faults::{Fault, Takeovers};
use serde::{Deserialize, Serialize};
use std::fmt::Display;
use std::net::Ipv4Addr;
use thiserror::Error;

/// An error in an experiment's or a sweep's file: a syntax error, or a setting out of bounds.
#[derive(Debug, Error, PartialEq)]
#[error("{file}: {key}: {reason}")]
pub struct ExperimentError {
    /// Name of the file.
    pub file: String,
    /// Key of the setting, or the line of the error.
    pub key: String,
    /// The reason for the error.
    pub reason: String,
}

impl ExperimentError {
    pub(crate) fn new(file: &str, key: &str, reason: impl Display) -> Self {
        Self {
            file: file.into(),
            key: key.into(),
            reason: reason.to_string(),
        }
    }

    pub(crate) fn malformed(file: &str, key: &str, error: &toml::de::Error) -> Self {
        Self::new(file, key, error.message().replace('\n', " "))
    }
}

/// An experiment: the settings of the cells, the load and the faults of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, used for the folder and the results of a run.
    pub name: String,
    /// Seed of all random number generators.
    pub seed: u64,
    /// First address of the cells' loopback networks. Each cell has a network of 65,536 addresses.
    #[serde(default = "default_network")]
    pub network: Ipv4Addr,
    /// The phases of the run.
    pub phases: Phases,
    /// The settings of the scheduler and of its environment.
    pub service: ServiceSettings,
    /// The jobs that users submit.
    pub load: Load,
    /// How the cells share team limits. If `None`, each cell enforces its own limits.
    #[serde(default)]
    pub sharing: Option<Sharing>,
    /// Repeated faults of the leader, if any.
    #[serde(default)]
    pub takeovers: Option<Takeovers>,
    /// The objectives that the run must meet.
    #[serde(rename = "aims", default)]
    pub objectives: Objectives,
    /// The cells.
    #[serde(rename = "cell")]
    pub cells: Vec<Cell>,
    /// The faults to inject at set times.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Fault>,
}

fn default_network() -> Ipv4Addr {
    Ipv4Addr::new(127, 40, 0, 0)
}

/// The phases of a run in order, with their lengths in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phases {
    /// Services are submitted at a constant rate.
    pub ramp_s: f64,
    /// Batch and urgent jobs are submitted, but nothing is measured yet.
    pub warmup_s: f64,
    /// Batch and urgent jobs are submitted, and costs are measured.
    pub measure_s: f64,
    /// No more jobs are submitted. This phase ends early once all batch and urgent jobs have ended.
    pub drain_s: f64,
}

impl Phases {
    /// Length of the whole run, in seconds.
    pub fn total_s(&self) -> f64 {
        self.ramp_s + self.warmup_s + self.measure_s + self.drain_s
    }
}

/// Settings of the scheduler and of its environment. They are the same in every cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Interval between two heartbeats of a worker, in seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Duration of a worker's lease, in seconds.
    pub lease_s: f64,
    /// Maximum time from the cancellation of a job until all its tasks have ended, in seconds.
    pub cancel_s: f64,
    /// Rate limit of a cell's store, in requests per second.
    #[serde(rename = "state_rps")]
    pub store_rps: f64,
    /// Rate limit of a cell's store, in writes per second.
    #[serde(rename = "state_write_rps")]
    pub store_write_rps: f64,
    /// Maximum size of a value in the store, in KiB.
    #[serde(rename = "state_value_kb")]
    pub store_value_max_kib: f64,
    /// Maximum number of writes in one transaction of the store.
    #[serde(rename = "state_txn_ops")]
    pub store_txn_ops_max: usize,
    /// Response latency of the store, in milliseconds.
    #[serde(rename = "state_answer_ms")]
    pub store_latency_ms: u64,
    /// Maximum number of open sockets of a controller.
    #[serde(rename = "controller_sockets")]
    pub controller_sockets_max: usize,
    /// CPUs, GPUs and memory (GB) of every machine.
    #[serde(rename = "machine")]
    pub machine_resources: [f64; 3],
    /// Boot time of a machine, in seconds.
    pub boot_s: f64,
}

/// The jobs that users submit. Rates are totals over all cells. Each cell receives a share of them
/// in proportion to its number of workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Number of service tasks per worker.
    #[serde(rename = "standing_per_worker")]
    pub service_tasks_per_worker: f64,
    /// Number of replicas of each service.
    pub replicas: u32,
    /// CPUs and GPUs that each replica requests.
    #[serde(rename = "replica_need")]
    pub replica_resources: [f64; 2],
    /// Batch tasks submitted per second.
    pub starts_per_s: f64,
    /// Number of tasks in each batch job.
    pub tasks_per_job: u32,
    /// Run time of a batch or urgent task, in seconds.
    #[serde(rename = "run_s")]
    pub batch_run_s: f64,
    /// CPUs that each batch or urgent task requests.
    pub batch_cpus: f64,
    /// Urgent jobs submitted per second. Each has one task.
    pub urgent_per_s: f64,
    /// Fraction of the batch and urgent jobs that users cancel, from 0 to 1.
    #[serde(rename = "cancelled")]
    pub cancelled_fraction: f64,
    /// Number of teams. Each has a limit.
    pub teams: usize,
    /// Maximum CPUs and GPUs of a team in each cell, or in all cells together if they share limits.
    pub team_limit: [f64; 2],
}

/// Settings for cells that share team limits. A team may then use at most `load.team_limit` in all
/// cells together. The teams' home cells are assigned round robin.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// Number of limit changes per second while batch jobs are submitted. Each sets the limit of
    /// one team to 0.5 to 1.5 times its initial limit.
    pub changes_per_s: f64,
    /// CPUs and GPUs of each team's limit that every cell always keeps for itself.
    pub floor: [f64; 2],
}

/// Objectives of a run. A run that misses one of them fails. An objective that is `None` isn't
/// checked.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objectives {
    /// Maximum time from the submission of an urgent job to its first start, in seconds.
    #[serde(default)]
    pub urgent_within_s: Option<f64>,
    /// Minimum fraction of the urgent jobs that start in time.
    #[serde(rename = "urgent_share", default)]
    pub urgent_fraction: Option<f64>,
    /// Minimum rate of task starts, as a fraction of the rate at which tasks are submitted.
    #[serde(rename = "starts_share", default)]
    pub starts_fraction: Option<f64>,
    /// Maximum time from the fault of a leader to the first task start by its successor, in
    /// seconds.
    #[serde(default)]
    pub takeover_within_s: Option<f64>,
    /// Maximum time until a limit change is in force, in seconds, at the 99th percentile.
    #[serde(default)]
    pub limits_within_s: Option<f64>,
}

/// A cell: a complete installation of the scheduler, with its own controllers, workers, store and
/// cloud.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// Name of the cell: one or more of the letters a to z, unique in the experiment.
    pub name: String,
    /// Names of the cell's zones.
    pub zones: Vec<String>,
    /// Number of controllers, assigned to the cell's zones round robin.
    pub controllers: usize,
    /// Number of workers at the start of the run, assigned to the cell's zones round robin.
    pub workers: usize,
    /// Number of machines that the cell's cloud can provide in addition.
    #[serde(default)]
    pub spare_machines: u32,
}

impl Experiment {
    /// Parses and checks an experiment. `file` names its file in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, ExperimentError> {
        let experiment: Self = toml::from_str(text).map_err(|error| {
            let key = setting_or_line(&error, text);
            ExperimentError::malformed(file, &key, &error)
        })?;
        experiment.check(file)?;
        Ok(experiment)
    }

    /// Number of workers in all cells at the start of the run.
    pub fn worker_count(&self) -> usize {
        self.cells.iter().map(|cell| cell.workers).sum()
    }

    /// Number of controllers in all cells.
    pub fn controller_count(&self) -> usize {
        self.cells.iter().map(|cell| cell.controllers).sum()
    }
}

/// The setting that the parser's message names, or else the line of the error.
fn setting_or_line(error: &toml::de::Error, text: &str) -> String {
    let message = error.message();
    let naming_messages = ["unknown field", "missing field", "unknown variant"];
    let names_setting = naming_messages
        .iter()
        .any(|start| message.starts_with(start));
    if let Some(name) = message.split('`').nth(1).filter(|_| names_setting) {
        return name.to_string();
    }
    let before = error.span().and_then(|span| text.get(..span.start));
    let line = before.unwrap_or("").matches('\n').count() + 1;
    format!("line {line}")
}
