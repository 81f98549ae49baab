//! Sweeps, which run an experiment repeatedly and vary one axis at a time. Each cost can then be
//! attributed to one axis.

use crate::axis::Axis;
use crate::controllers::RunPaths;
use crate::experiment::{Experiment, ExperimentError};
use crate::results::Row;
use crate::run::{RunError, VariedAxis, run_experiment};
use serde::Deserialize;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::sync::Mutex;
use tracing::{info, warn};

/// Maximum number of concurrent runs.
const CONCURRENT_RUNS_MAX: usize = 6;
/// Distance between the loopback networks of concurrent runs, added to the second octet. Each cell
/// of a run takes one value of that octet.
const NETWORK_STEP: usize = 16;

/// A sweep: the axes to vary, and the values on each of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// Number of runs at each value, each with its own seed.
    #[serde(rename = "repeats")]
    pub runs_per_value: usize,
    /// Number of concurrent runs.
    #[serde(rename = "parallel")]
    pub concurrent_runs: usize,
    /// The axes, each varied while the others keep the value of the base experiment.
    #[serde(rename = "axis")]
    pub axes: Vec<AxisValues>,
}

/// An axis and the values to measure on it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AxisValues {
    /// The axis to vary.
    #[serde(rename = "name")]
    pub axis: Axis,
    /// The values to measure, in the unit of the axis.
    pub values: Vec<f64>,
}

/// One run of a sweep.
struct PlannedRun {
    axis: Axis,
    value: f64,
    experiment: Experiment,
}

impl Sweep {
    /// Parses a sweep of the experiment `base`, and checks the experiment of every planned run.
    /// `file` names the sweep's file in errors.
    pub fn parse(file: &str, text: &str, base: &Experiment) -> Result<Self, ExperimentError> {
        let sweep: Self = toml::from_str(text)
            .map_err(|error| ExperimentError::malformed(file, "(file)", &error))?;
        if sweep.concurrent_runs == 0
            || sweep.concurrent_runs > CONCURRENT_RUNS_MAX
            || sweep.runs_per_value == 0
        {
            let reason = format!(
                "1 to {CONCURRENT_RUNS_MAX} concurrent runs and at least one repeat are required"
            );
            return Err(ExperimentError::new(file, "parallel", reason));
        }
        if base.cells.len() != 1 {
            let reason = "a sweep requires an experiment of exactly one cell";
            return Err(ExperimentError::new(file, "cell", reason));
        }
        for planned in sweep.plan_runs(base) {
            planned.experiment.check(file)?;
        }
        Ok(sweep)
    }

    /// The runs in order. Each repeat has a seed of its own, and covers all values of all axes.
    fn plan_runs(&self, base: &Experiment) -> Vec<PlannedRun> {
        let mut runs = Vec::new();
        for repeat in 0..self.runs_per_value {
            for AxisValues { axis, values } in &self.axes {
                runs.extend(values.iter().map(|value| {
                    let mut experiment = axis.with_value(base, *value);
                    experiment.seed = base.seed + repeat as u64;
                    PlannedRun {
                        axis: *axis,
                        value: *value,
                        experiment,
                    }
                }));
            }
        }
        runs
    }

    /// Executes all runs, and returns the result rows of those that completed.
    pub fn execute(&self, base: &Experiment, paths: RunPaths) -> Vec<Row> {
        let runs = self.plan_runs(base);
        let run_count = runs.len();
        let pending = Mutex::new(runs.into_iter().enumerate().collect::<VecDeque<_>>());
        let rows = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for slot in 0..self.concurrent_runs {
                let (pending, rows) = (&pending, &rows);
                scope.spawn(move || {
                    let next = || pending.lock().ok()?.pop_front();
                    while let Some((index, planned)) = next() {
                        let (axis, value) = (planned.axis, planned.value);
                        info!(
                            "run started, run={} runs={run_count} {axis}={value}",
                            index + 1
                        );
                        let folder = paths.folder.join(format!("{axis}-{value}-{index}"));
                        let paths = RunPaths {
                            folder: &folder,
                            ..paths
                        };
                        match planned.execute(slot, paths) {
                            Ok(mut run_rows) => {
                                if let Ok(mut rows) = rows.lock() {
                                    rows.append(&mut run_rows);
                                }
                            }
                            Err(error) => warn!("run failed, {axis}={value} reason=\"{error}\""),
                        }
                    }
                });
            }
        });
        rows.into_inner().unwrap_or_default()
    }
}

impl PlannedRun {
    /// Executes the run and returns its result rows, without the samples. Concurrent runs have
    /// different slots, from which their loopback networks follow.
    fn execute(&self, slot: usize, paths: RunPaths) -> Result<Vec<Row>, RunError> {
        let mut experiment = self.experiment.clone();
        let [first, second, third, fourth] = experiment.network.octets();
        let second = second.wrapping_add((slot * NETWORK_STEP) as u8);
        experiment.network = Ipv4Addr::new(first, second, third, fourth);
        let varied = VariedAxis {
            axis: self.axis.to_string(),
            value: self.value,
        };
        let results = run_experiment(&experiment, Some(varied), paths)?;
        let rows = results.rows.into_iter();
        let mut rows: Vec<Row> = rows.filter(|row| !matches!(row, Row::Sample(_))).collect();
        // The summary row moves from the end to the front: when the rows of several runs are stored
        // in one file, every other row belongs to the run of the nearest summary row before it.
        rows.rotate_right(1);
        Ok(rows)
    }
}
