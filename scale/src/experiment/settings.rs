//! The settings of an experiment, and how they are read.

use super::faults::{Fault, Takeovers};
use serde::{Deserialize, Serialize};
use std::fmt::Display;
use std::net::Ipv4Addr;
use thiserror::Error;

/// An experiment that can't be read or is out of bounds.
#[derive(Debug, Error, PartialEq)]
#[error("{file}: {key}: {reason}")]
pub struct ExperimentError {
    /// The experiment's file.
    pub file: String,
    /// The setting.
    pub key: String,
    /// What is wrong with it.
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

/// An experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Names the run's folder and its results.
    pub name: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// First address of the loopback networks, one of 65,536 addresses for each cell.
    #[serde(default = "default_network")]
    pub network: Ipv4Addr,
    /// The course of the run.
    pub phases: Phases,
    /// The settings of the service.
    pub service: ServiceSettings,
    /// What users submit.
    pub load: Load,
    /// How the cells share team limits, and how these change, if they are shared.
    #[serde(default)]
    pub sharing: Option<Sharing>,
    /// How leaders are ended again and again, if they are.
    #[serde(default)]
    pub takeovers: Option<Takeovers>,
    /// The objectives.
    #[serde(rename = "aims", default)]
    pub objectives: Objectives,
    /// The cells.
    #[serde(rename = "cell")]
    pub cells: Vec<Cell>,
    /// The faults.
    #[serde(rename = "trouble", default)]
    pub faults: Vec<Fault>,
}

fn default_network() -> Ipv4Addr {
    Ipv4Addr::new(127, 40, 0, 0)
}

/// The phases of a run, with their lengths in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phases {
    /// Services are submitted over this time.
    pub ramp_s: f64,
    /// Batch and urgent jobs are submitted, and nothing is measured yet.
    pub warmup_s: f64,
    /// The same, measured.
    pub measure_s: f64,
    /// No more jobs are submitted. Ends early once all batch jobs have ended.
    pub drain_s: f64,
}

impl Phases {
    /// The length of the whole run, in seconds.
    pub fn total_s(&self) -> f64 {
        self.ramp_s + self.warmup_s + self.measure_s + self.drain_s
    }
}

/// Settings of the service, the same in every cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Seconds between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// A worker's lease, in seconds.
    pub lease_s: f64,
    /// Seconds within which the tasks of a cancelled job must have ended.
    pub cancel_s: f64,
    /// Requests per second that a cell's store admits.
    #[serde(rename = "state_rps")]
    pub store_rps: f64,
    /// Writes per second that a cell's store admits.
    #[serde(rename = "state_write_rps")]
    pub store_write_rps: f64,
    /// Largest value at the store, in KiB.
    #[serde(rename = "state_value_kb")]
    pub store_value_max_kib: f64,
    /// Most writes of a transaction.
    #[serde(rename = "state_txn_ops")]
    pub store_txn_ops_max: usize,
    /// The store's latency, in milliseconds.
    #[serde(rename = "state_answer_ms")]
    pub store_latency_ms: u64,
    /// Most sockets of a controller.
    #[serde(rename = "controller_sockets")]
    pub controller_sockets_max: usize,
    /// CPUs, GPUs and GB of memory of every machine.
    #[serde(rename = "machine")]
    pub machine_resources: [f64; 3],
    /// Boot time of a machine, in seconds.
    pub boot_s: f64,
}

/// The jobs that users submit. Rates are those of all cells together; each cell has the share of
/// its workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Service tasks per worker.
    #[serde(rename = "standing_per_worker")]
    pub service_tasks_per_worker: f64,
    /// Replicas of one service.
    pub replicas: u32,
    /// CPUs and GPUs of a replica.
    #[serde(rename = "replica_need")]
    pub replica_resources: [f64; 2],
    /// Batch task starts per second.
    pub starts_per_s: f64,
    /// Tasks of one batch job.
    pub tasks_per_job: u32,
    /// Run time of a batch task, in seconds.
    #[serde(rename = "run_s")]
    pub batch_run_s: f64,
    /// CPUs of a batch task.
    pub batch_cpus: f64,
    /// Urgent jobs, each of one task, submitted per second.
    pub urgent_per_s: f64,
    /// Share of the batch jobs that are cancelled.
    #[serde(rename = "cancelled")]
    pub cancelled_fraction: f64,
    /// Teams, each with a limit.
    pub teams: usize,
    /// Most CPUs and GPUs of a team in each cell.
    pub team_limit: [f64; 2],
}

/// Cells that share team limits: `load.team_limit` is what a team may use in all of them together.
/// The teams' home cells are assigned round robin.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// Changes of limits per second while batch jobs are submitted, each to between half and one
    /// and a half times the initial limit.
    pub changes_per_s: f64,
    /// CPUs and GPUs of each team that every cell keeps.
    pub floor: [f64; 2],
}

/// Objectives of a run, which fails if one of them is missed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objectives {
    /// Seconds within which urgent jobs start.
    #[serde(default)]
    pub urgent_within_s: Option<f64>,
    /// Share of the urgent jobs that start in time.
    #[serde(default)]
    pub urgent_share: Option<f64>,
    /// Least share of the requested starts that take place.
    #[serde(default)]
    pub starts_share: Option<f64>,
    /// Seconds after the end of a leader within which its successor starts a task.
    #[serde(default)]
    pub takeover_within_s: Option<f64>,
    /// Seconds within which 99% of the changes of limits are in force.
    #[serde(default)]
    pub limits_within_s: Option<f64>,
}

/// A cell: a complete installation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// Its name: lower-case letters.
    pub name: String,
    /// Its zones.
    pub zones: Vec<String>,
    /// Number of controllers, assigned to its zones round robin.
    pub controllers: usize,
    /// Number of workers at the start, assigned to its zones round robin.
    pub workers: usize,
    /// Machines that its cloud can provide in addition.
    #[serde(default)]
    pub spare_machines: u32,
}

impl Experiment {
    /// Reads and checks an experiment.
    pub fn parse(file: &str, text: &str) -> Result<Self, ExperimentError> {
        let experiment: Self = toml::from_str(text).map_err(|error| {
            let key = setting_of(&error, text);
            ExperimentError::malformed(file, &key, &error)
        })?;
        experiment.check(file)?;
        Ok(experiment)
    }

    /// Number of workers in all cells.
    pub fn worker_count(&self) -> usize {
        self.cells.iter().map(|c| c.workers).sum()
    }

    /// Number of controllers in all cells.
    pub fn controller_count(&self) -> usize {
        self.cells.iter().map(|c| c.controllers).sum()
    }
}

/// The setting that a parser's message names, or else the line of the error.
fn setting_of(error: &toml::de::Error, text: &str) -> String {
    let message = error.message();
    let names = ["unknown field", "missing field", "unknown variant"];
    let named = names.iter().any(|start| message.starts_with(start));
    if let Some(name) = message.split('`').nth(1).filter(|_| named) {
        return name.to_string();
    }
    let before = error.span().and_then(|span| text.get(..span.start));
    let line = before.unwrap_or("").matches('\n').count() + 1;
    format!("line {line}")
}
