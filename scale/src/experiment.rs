//! Experiments: what is played, as TOML. An experiment is checked in full before anything starts.

use crate::takeovers::Takeovers;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use thiserror::Error;

/// Most controllers in one run: the machines that are set aside for control.
pub const CONTROLLERS_MAX: usize = 24;
/// Most hollow workers in one run.
pub const WORKERS_MAX: usize = 8_000;
/// Longest run, in seconds.
pub const SECONDS_MAX: f64 = 720.0;
/// Most task starts a second that a plan may ask for.
pub const STARTS_MAX: f64 = 3_000.0;
/// Most processes of one run.
pub const PROCESSES_MAX: usize = 200;
/// Most memory of one run, in MiB.
pub const MEMORY_MAX_MB: f64 = 12.0 * 1024.0;
/// Memory reckoned for a controller and for a worker before the run, in MiB.
const CONTROLLER_MB: f64 = 256.0;
const WORKER_MB: f64 = 0.25;
/// Most cells: each has a loopback network of its own.
const CELLS_MAX: usize = 16;

/// The experiment that is played when no file is named.
pub const EMBEDDED: &str = include_str!("../experiments/small.toml");
/// The takeovers that are played when no file is named.
pub const EMBEDDED_TAKEOVERS: &str = include_str!("../experiments/takeovers-small.toml");

/// Why an experiment isn't played.
#[derive(Debug, Error, PartialEq)]
#[error("{file}: {key}: {reason}")]
pub struct ExperimentError {
    /// The file that has it.
    pub file: String,
    /// The setting.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// What is played.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Names the run's folder and its results.
    pub name: String,
    /// From which everything is drawn.
    pub seed: u64,
    /// First address of the loopback networks, one of 65,536 addresses for each cell.
    #[serde(default = "default_network")]
    pub network: Ipv4Addr,
    /// The course of the run.
    pub phases: Phases,
    /// The settings of the service.
    pub service: Service,
    /// What users submit.
    pub load: Load,
    /// Whether the cells share team limits, and how these change.
    #[serde(default)]
    pub sharing: Option<Sharing>,
    /// Whether leaders end again and again.
    #[serde(default)]
    pub takeovers: Option<Takeovers>,
    /// What is aimed at.
    #[serde(default)]
    pub aims: Aims,
    /// The cells.
    #[serde(rename = "cell")]
    pub cells: Vec<Cell>,
    /// What goes wrong.
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<Trouble>,
}

fn default_network() -> Ipv4Addr {
    Ipv4Addr::new(127, 40, 0, 0)
}

/// How long each part of the run takes, in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phases {
    /// Services are submitted over this time.
    pub ramp_s: f64,
    /// Then batch jobs come, and nothing is measured yet.
    pub warmup_s: f64,
    /// Measured.
    pub measure_s: f64,
    /// No more jobs come; what is there may end. Ends early once all batch jobs are over.
    pub drain_s: f64,
}

impl Phases {
    /// The whole course of the run, in seconds.
    pub fn total_s(&self) -> f64 {
        self.ramp_s + self.warmup_s + self.measure_s + self.drain_s
    }
}

/// Settings of the service, the same in every cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Workers heartbeat this often, in seconds.
    pub report_s: f64,
    /// Workers' lease, in seconds.
    pub lease_s: f64,
    /// Bound on cancelled tasks, in seconds.
    pub cancel_s: f64,
    /// Requests a second that a cell's store takes.
    pub state_rps: f64,
    /// Changes a second that it takes.
    pub state_write_rps: f64,
    /// KiB of a value.
    pub state_value_kb: f64,
    /// Changes of a transaction.
    pub state_txn_ops: usize,
    /// How long it takes to answer, in milliseconds.
    pub state_answer_ms: u64,
    /// Sockets of a controller.
    pub controller_sockets: usize,
    /// CPUs, GPUs and GB of memory of every machine.
    pub machine: [f64; 3],
    /// How long a rented machine boots, in seconds.
    pub boot_s: f64,
}

/// What users submit. Rates are those of all cells together, shared by their workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Tasks of services for each worker.
    pub standing_per_worker: f64,
    /// Replicas of one service.
    pub replicas: u32,
    /// CPUs and GPUs of a replica.
    pub replica_need: [f64; 2],
    /// Tasks of batch jobs started a second.
    pub starts_per_s: f64,
    /// Tasks of one batch job.
    pub tasks_per_job: u32,
    /// How long a batch task runs, in seconds.
    pub run_s: f64,
    /// CPUs of a batch task.
    pub batch_cpus: f64,
    /// Urgent jobs of one task submitted a second.
    pub urgent_per_s: f64,
    /// Share of the batch jobs that are cancelled while they run.
    pub cancelled: f64,
    /// Teams, each with a limit.
    pub teams: usize,
    /// Most CPUs and GPUs of a team in each cell.
    pub team_limit: [f64; 2],
}

/// Cells share team limits: `load.team_limit` is what a team may use in all of them together. Its
/// home is one cell after another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// Limits changed a second while batch jobs come, each to between half and one and a half times
    /// what it was at first.
    pub changes_per_s: f64,
    /// CPUs and GPUs of each team that stay in each cell.
    pub floor: [f64; 2],
}

/// What is aimed at; the run fails if it is missed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Aims {
    /// Urgent tasks start within this time, in seconds.
    #[serde(default)]
    pub urgent_within_s: Option<f64>,
    /// This share of them does.
    #[serde(default)]
    pub urgent_share: Option<f64>,
    /// At least this share of the starts that were asked for takes place.
    #[serde(default)]
    pub starts_share: Option<f64>,
    /// After each end of a leader the next one starts a task within this time, in seconds.
    #[serde(default)]
    pub takeover_within_s: Option<f64>,
    /// 99% of the changes of limits are in force within this time, in seconds.
    #[serde(default)]
    pub limits_within_s: Option<f64>,
}

/// One cell: a whole installation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// Its name: lower-case letters.
    pub name: String,
    /// Its zones.
    pub zones: Vec<String>,
    /// Its controllers, in turn in its zones.
    pub controllers: usize,
    /// Its workers at the start, in turn in its zones.
    pub workers: usize,
    /// Machines that its cloud has besides.
    #[serde(default)]
    pub spare_machines: u32,
}

/// A controller of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Which {
    /// The one that leads at that moment.
    Leader,
    /// Another one.
    Other,
}

/// Something that goes wrong at a set time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Trouble {
    /// When, in seconds from the start.
    pub at_s: f64,
    /// In which cell.
    pub cell: String,
    /// What.
    #[serde(flatten)]
    pub what: TroubleKind,
}

/// What goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum TroubleKind {
    /// A controller is killed, and started again after a while.
    Kill {
        /// Which one.
        controller: Which,
        /// After how long it comes back, in seconds.
        down_s: f64,
    },
    /// A controller stands still for a while.
    Pause {
        /// Which one.
        controller: Which,
        /// For how long, in seconds.
        for_s: f64,
    },
    /// Machines stop with all that is on them.
    MachinesLost {
        /// How many.
        count: usize,
        /// Only in this zone.
        zone: Option<String>,
        /// Over which time, in seconds; 0 for all at once.
        #[serde(default)]
        over_s: f64,
    },
    /// The store answers nobody.
    StateOutage {
        /// For how long, in seconds.
        for_s: f64,
    },
    /// The link to another cell is cut.
    LinkCut {
        /// The other cell; all others if it isn't named.
        to: Option<String>,
        /// For how long, in seconds.
        for_s: f64,
        /// Only what this cell tells is lost, not what it is told.
        #[serde(default)]
        one_way: bool,
        /// What is sent meanwhile comes when the cut is over.
        #[serde(default)]
        hold: bool,
    },
    /// Users of the cell submit so many times as many batch jobs from now on.
    Load {
        /// How many times as many as at first.
        factor: f64,
    },
}

impl Experiment {
    /// Reads and checks an experiment.
    pub fn parse(file: &str, text: &str) -> Result<Self, ExperimentError> {
        let experiment: Self = toml::from_str(text).map_err(|e| ExperimentError {
            file: file.into(),
            key: key_of(&e, text),
            reason: e.message().replace('\n', " "),
        })?;
        experiment.check(file)?;
        Ok(experiment)
    }

    /// Workers of all cells.
    pub fn workers(&self) -> usize {
        self.cells.iter().map(|c| c.workers).sum()
    }

    /// Controllers of all cells.
    pub fn controllers(&self) -> usize {
        self.cells.iter().map(|c| c.controllers).sum()
    }

    /// Checks that a plan keeps to the bounds of the machine and of the protocols.
    pub fn check(&self, file: &str) -> Result<(), ExperimentError> {
        let wrong = |key: &str, reason: String| {
            Err(ExperimentError {
                file: file.into(),
                key: key.into(),
                reason,
            })
        };
        if let Some((key, reason)) = self.wrong_amount() {
            return wrong(key, reason);
        }
        if let Some((key, reason)) = self.too_large() {
            return wrong(key, reason);
        }
        if !self.network.is_loopback() {
            let reason = format!("{} lies outside 127.0.0.0/8", self.network);
            return wrong("network", reason);
        }
        if let Some((key, reason)) = self.wrong_cells() {
            return wrong(key, reason);
        }
        if let Some((key, reason)) = self.wrong_takeovers() {
            return wrong(key, reason);
        }
        for trouble in &self.troubles {
            let named = match &trouble.what {
                TroubleKind::LinkCut { to, .. } => to.as_ref(),
                _ => None,
            };
            let known = |name: &&String| self.cells.iter().any(|c| c.name == **name);
            if let Some(name) = [&trouble.cell].into_iter().chain(named).find(|n| !known(n)) {
                return wrong("trouble.cell", format!("there is no cell {name}"));
            }
        }
        Ok(())
    }

    fn wrong_amount(&self) -> Option<(&'static str, String)> {
        let (p, s, l) = (&self.phases, &self.service, &self.load);
        let not_negative = [
            ("phases.ramp_s", p.ramp_s),
            ("phases.warmup_s", p.warmup_s),
            ("phases.drain_s", p.drain_s),
            ("load.standing_per_worker", l.standing_per_worker),
            ("load.starts_per_s", l.starts_per_s),
            ("load.urgent_per_s", l.urgent_per_s),
            ("load.cancelled", l.cancelled),
            (
                "sharing.changes_per_s",
                self.sharing.as_ref().map_or(0.0, |s| s.changes_per_s),
            ),
        ];
        let positive = [
            ("phases.measure_s", p.measure_s),
            ("service.report_s", s.report_s),
            ("service.lease_s", s.lease_s),
            ("service.state_rps", s.state_rps),
            ("service.state_write_rps", s.state_write_rps),
            ("service.boot_s", s.boot_s),
            ("load.run_s", l.run_s),
            ("load.teams", l.teams as f64),
            ("load.replicas", f64::from(l.replicas)),
            ("load.tasks_per_job", f64::from(l.tasks_per_job)),
        ];
        let bad = |v: f64, least: bool| !v.is_finite() || v < 0.0 || least && v == 0.0;
        let low = not_negative.iter().find(|(_, v)| bad(*v, false));
        if let Some((key, value)) = low {
            return Some((key, format!("{value} must not be negative")));
        }
        let low = positive.iter().find(|(_, v)| bad(*v, true));
        low.map(|(key, value)| (*key, format!("{value} must be above 0")))
    }

    fn too_large(&self) -> Option<(&'static str, String)> {
        let (controllers, workers) = (self.controllers(), self.workers());
        let memory = controllers as f64 * CONTROLLER_MB + workers as f64 * WORKER_MB;
        let limits = [
            (
                "cell.controllers",
                controllers as f64,
                CONTROLLERS_MAX as f64,
            ),
            (
                "cell.controllers",
                controllers as f64 + 1.0,
                PROCESSES_MAX as f64,
            ),
            ("cell.workers", workers as f64, WORKERS_MAX as f64),
            ("cell.workers (MiB)", memory, MEMORY_MAX_MB),
            ("phases (seconds)", self.phases.total_s(), SECONDS_MAX),
            ("load.starts_per_s", self.load.starts_per_s, STARTS_MAX),
        ];
        let over = limits.iter().find(|(_, asked, most)| asked > most);
        over.map(|(key, asked, most)| {
            (
                *key,
                format!("{asked} is more than the {most} that one machine may play"),
            )
        })
    }

    fn wrong_takeovers(&self) -> Option<(&'static str, String)> {
        let plan = self.takeovers.as_ref()?;
        let times = [
            ("takeovers.every_s", plan.every_s),
            ("takeovers.down_s", plan.down_s),
            ("takeovers.pause_s", plan.pause_s),
        ];
        if let Some((key, value)) = times.iter().find(|(_, s)| !s.is_finite() || *s <= 0.0) {
            return Some((key, format!("{value} must be above 0")));
        }
        if plan.kinds.is_empty() {
            return Some(("takeovers.kinds", "there must be one".into()));
        }
        if self.cells.len() != 1 || self.controllers() < 2 {
            let reason = "one cell with at least two controllers is needed";
            return Some(("takeovers", reason.into()));
        }
        let needed = f64::from(plan.count) * plan.every_s;
        if needed > self.phases.measure_s {
            let measured = self.phases.measure_s;
            return Some((
                "takeovers.count",
                format!("they take {needed} s, longer than the {measured} s that are measured"),
            ));
        }
        None
    }

    fn wrong_cells(&self) -> Option<(&'static str, String)> {
        if self.cells.is_empty() || self.cells.len() > CELLS_MAX {
            return Some(("cell", format!("there must be 1 to {CELLS_MAX} cells")));
        }
        let mut names = BTreeSet::new();
        for cell in &self.cells {
            let plain = !cell.name.is_empty() && cell.name.bytes().all(|b| b.is_ascii_lowercase());
            if !plain || !names.insert(&cell.name) {
                let reason = format!("'{}' must be lower-case letters, once", cell.name);
                return Some(("cell.name", reason));
            }
            if cell.zones.is_empty() {
                return Some(("cell.zones", format!("{} has none", cell.name)));
            }
            if cell.controllers == 0 || cell.workers == 0 {
                let reason = format!("{} needs controllers and workers", cell.name);
                return Some(("cell.controllers", reason));
            }
        }
        None
    }
}

/// The setting that a parser's message speaks of, or the line where it stopped.
fn key_of(error: &toml::de::Error, text: &str) -> String {
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
