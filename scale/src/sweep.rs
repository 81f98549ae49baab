//! Sweeps: an experiment is run again and again, with one axis after another varied, so that the
//! cost of each can be told apart.

use crate::axis::Axis;
use crate::controllers::RunPaths;
use crate::experiment::{Experiment, ExperimentError};
use crate::results::Row;
use crate::run::{RunError, VariedAxis, play};
use serde::Deserialize;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::sync::Mutex;
use tracing::{info, warn};

/// Most concurrent runs.
const PARALLEL_MAX: usize = 6;
/// Distance between the networks of concurrent runs.
const NETWORK_STEP: usize = 16;

/// The axes that are varied, and how.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// Number of runs at each value.
    pub repeats: usize,
    /// Number of concurrent runs.
    pub parallel: usize,
    /// The axes.
    #[serde(rename = "axis")]
    pub axes: Vec<AxisValues>,
}

/// An axis, and the values on it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AxisValues {
    /// The axis.
    #[serde(rename = "name")]
    pub axis: Axis,
    /// Its values.
    pub values: Vec<f64>,
}

/// One run of a sweep.
struct PlannedRun {
    axis: Axis,
    value: f64,
    experiment: Experiment,
}

impl Sweep {
    /// Reads a sweep, and checks every experiment that it consists of.
    pub fn parse(file: &str, text: &str, base: &Experiment) -> Result<Self, ExperimentError> {
        let sweep: Self = toml::from_str(text)
            .map_err(|error| ExperimentError::malformed(file, "(file)", &error))?;
        if sweep.parallel == 0 || sweep.parallel > PARALLEL_MAX || sweep.repeats == 0 {
            let reason = format!("1 to {PARALLEL_MAX} runs at once, and at least one repeat");
            return Err(ExperimentError::new(file, "parallel", reason));
        }
        if base.cells.len() != 1 {
            let reason = "a sweep plays one cell";
            return Err(ExperimentError::new(file, "cell", reason));
        }
        for run in sweep.runs(base) {
            run.experiment.check(file)?;
        }
        Ok(sweep)
    }

    fn runs(&self, base: &Experiment) -> Vec<PlannedRun> {
        let mut runs = Vec::new();
        for repeat in 0..self.repeats {
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

    /// Plays all runs; returns the rows of those that completed.
    pub fn play(&self, base: &Experiment, paths: RunPaths) -> Vec<Row> {
        let runs = self.runs(base);
        let count = runs.len();
        let pending = Mutex::new(runs.into_iter().enumerate().collect::<VecDeque<_>>());
        let rows = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for slot in 0..self.parallel {
                let (pending, rows) = (&pending, &rows);
                scope.spawn(move || {
                    let next = || pending.lock().ok()?.pop_front();
                    while let Some((index, run)) = next() {
                        let (axis, value) = (run.axis, run.value);
                        info!("run started run={} of={count} {axis}={value}", index + 1);
                        let folder = paths.folder.join(format!("{axis}-{value}-{index}"));
                        let paths = RunPaths {
                            folder: &folder,
                            ..paths
                        };
                        match run.play(slot, paths) {
                            Ok(mut played) => {
                                if let Ok(mut rows) = rows.lock() {
                                    rows.append(&mut played);
                                }
                            }
                            Err(error) => warn!("run failed {axis}={value} reason=\"{error}\""),
                        }
                    }
                });
            }
        });
        rows.into_inner().unwrap_or_default()
    }
}

impl PlannedRun {
    /// Plays the run; `slot` keeps the networks of concurrent runs apart.
    fn play(&self, slot: usize, paths: RunPaths) -> Result<Vec<Row>, RunError> {
        let mut experiment = self.experiment.clone();
        let [first, second, third, fourth] = experiment.network.octets();
        let second = second.wrapping_add((slot * NETWORK_STEP) as u8);
        experiment.network = Ipv4Addr::new(first, second, third, fourth);
        let varied = VariedAxis {
            axis: self.axis.to_string(),
            value: self.value,
        };
        let results = play(&experiment, Some(varied), paths)?;
        let rows = results.rows.into_iter();
        let mut rows: Vec<Row> = rows.filter(|row| !matches!(row, Row::Sample(_))).collect();
        // The row of the run moves to the front: the rows that follow it belong to it.
        rows.rotate_right(1);
        Ok(rows)
    }
}
