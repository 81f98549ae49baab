//! Sweeps: one experiment again and again with one count after another varied, so that each cost
//! can be told from the others.

use crate::controllers::RunPaths;
use crate::experiment::{Experiment, ExperimentError};
use crate::results::Row;
use crate::run::{RunError, VariedAxis, play};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Mutex;
use tracing::{info, warn};

/// Most runs at the same time.
const PARALLEL_MAX: usize = 6;
/// Runs at the same time have networks this far apart.
const NETWORK_STEP: usize = 16;

/// A count that is varied while the others stay as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// Workers of the cell; the tasks on them stay as many.
    Workers,
    /// Tasks of services.
    Tasks,
    /// Batch tasks started a second.
    Starts,
    /// Teams.
    Teams,
    /// Services that are open; their tasks stay as many.
    Jobs,
    /// Controllers.
    Controllers,
}

impl fmt::Display for Axis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Workers => "workers",
            Self::Tasks => "tasks",
            Self::Starts => "starts",
            Self::Teams => "teams",
            Self::Jobs => "jobs",
            Self::Controllers => "controllers",
        };
        f.write_str(name)
    }
}

impl Axis {
    /// Every axis.
    pub const ALL: [Axis; 6] = [
        Axis::Workers,
        Axis::Tasks,
        Axis::Starts,
        Axis::Teams,
        Axis::Jobs,
        Axis::Controllers,
    ];

    /// The count in an experiment of one cell.
    pub fn value(self, experiment: &Experiment) -> f64 {
        let (cell, load) = (&experiment.cells[0], &experiment.load);
        let tasks = load.service_tasks_per_worker * cell.workers as f64;
        match self {
            Self::Workers => cell.workers as f64,
            Self::Tasks => tasks,
            Self::Starts => load.starts_per_s,
            Self::Teams => load.teams as f64,
            Self::Jobs => tasks / f64::from(load.replicas),
            Self::Controllers => cell.controllers as f64,
        }
    }

    /// The same experiment with another count.
    pub fn set(self, experiment: &Experiment, value: f64) -> Experiment {
        let mut changed = experiment.clone();
        let tasks = Self::Tasks.value(experiment);
        let (cell, load) = (&mut changed.cells[0], &mut changed.load);
        match self {
            Self::Workers => {
                cell.workers = value as usize;
                load.service_tasks_per_worker = tasks / value;
            }
            Self::Tasks => {
                // As many services as before, each with more tasks.
                let services = tasks / f64::from(load.replicas);
                load.replicas = (value / services).round() as u32;
                load.service_tasks_per_worker = value / cell.workers as f64;
            }
            Self::Starts => load.starts_per_s = value,
            Self::Teams => load.teams = value as usize,
            Self::Jobs => load.replicas = (tasks / value).round() as u32,
            Self::Controllers => cell.controllers = value as usize,
        }
        changed
    }
}

/// What is varied, and how.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// How often each size is played.
    pub repeats: usize,
    /// How many runs there are at the same time.
    pub parallel: usize,
    /// What is varied.
    #[serde(rename = "axis")]
    pub axes: Vec<AxisSizes>,
}

/// One count, and the sizes at which it is played.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AxisSizes {
    /// The count.
    pub name: Axis,
    /// Its sizes.
    pub values: Vec<f64>,
}

/// One run of a sweep.
struct Plan {
    axis: Axis,
    value: f64,
    experiment: Experiment,
}

impl Sweep {
    /// Reads a sweep, and checks every experiment that follows from it.
    pub fn parse(file: &str, text: &str, base: &Experiment) -> Result<Self, ExperimentError> {
        let wrong = |key: &str, reason: String| ExperimentError::new(file, key, reason);
        let sweep: Self = toml::from_str(text)
            .map_err(|error| ExperimentError::malformed(file, "(file)", &error))?;
        if sweep.parallel == 0 || sweep.parallel > PARALLEL_MAX || sweep.repeats == 0 {
            let reason = format!("1 to {PARALLEL_MAX} runs at once, and at least one repeat");
            return Err(wrong("parallel", reason));
        }
        if base.cells.len() != 1 {
            return Err(wrong("cell", "a sweep plays one cell".into()));
        }
        for plan in sweep.plans(base) {
            plan.experiment.check(file)?;
        }
        Ok(sweep)
    }

    fn plans(&self, base: &Experiment) -> Vec<Plan> {
        let mut plans = Vec::new();
        for repeat in 0..self.repeats {
            for axis in &self.axes {
                for value in &axis.values {
                    let mut experiment = axis.name.set(base, *value);
                    experiment.seed = base.seed + repeat as u64;
                    plans.push(Plan {
                        axis: axis.name,
                        value: *value,
                        experiment,
                    });
                }
            }
        }
        plans
    }

    /// Plays all runs; hands out the rows of those that could be played.
    pub fn play(&self, base: &Experiment, program: &Path, folder: &Path) -> Vec<Row> {
        let plans = self.plans(base);
        let count = plans.len();
        let left = Mutex::new(plans.into_iter().enumerate().collect::<VecDeque<_>>());
        let rows = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for slot in 0..self.parallel {
                let (left, rows) = (&left, &rows);
                scope.spawn(move || {
                    let next = || left.lock().ok()?.pop_front();
                    while let Some((n, plan)) = next() {
                        info!("run {} of {count}: {} = {}", n + 1, plan.axis, plan.value);
                        let name = format!("{}-{}-{n}", plan.axis, plan.value);
                        match plan.play(slot, program, &folder.join(name)) {
                            Ok(mut found) => {
                                if let Ok(mut rows) = rows.lock() {
                                    rows.append(&mut found);
                                }
                            }
                            Err(error) => warn!("{} = {}: {error}", plan.axis, plan.value),
                        }
                    }
                });
            }
        });
        rows.into_inner().unwrap_or_default()
    }
}

impl Plan {
    fn play(&self, slot: usize, program: &Path, folder: &Path) -> Result<Vec<Row>, RunError> {
        let mut experiment = self.experiment.clone();
        let [a, b, c, d] = experiment.network.octets();
        let apart = b.wrapping_add((slot * NETWORK_STEP) as u8);
        experiment.network = Ipv4Addr::new(a, apart, c, d);
        let varied = VariedAxis {
            axis: self.axis.to_string(),
            value: self.value,
        };
        let results = play(&experiment, Some(varied), RunPaths { program, folder })?;
        let seconds = |row: &Row| !matches!(row, Row::Sample(_));
        // The run's own row comes first: those that follow are its.
        let mut rows: Vec<Row> = results.rows.into_iter().filter(seconds).collect();
        rows.rotate_right(1);
        Ok(rows)
    }
}
