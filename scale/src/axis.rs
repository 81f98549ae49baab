//! Axes of a sweep, along which the size of a cell is varied.

use crate::experiment::Experiment;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A size that a sweep varies while it keeps the other sizes constant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// Number of workers, with a constant number of service tasks.
    Workers,
    /// Number of service tasks, with a constant number of services.
    Tasks,
    /// Starts of batch tasks per second.
    Starts,
    /// Number of teams.
    Teams,
    /// Number of services, with a constant number of service tasks.
    Jobs,
    /// Number of controllers.
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
    /// All axes.
    pub const ALL: [Axis; 6] = [
        Axis::Workers,
        Axis::Tasks,
        Axis::Starts,
        Axis::Teams,
        Axis::Jobs,
        Axis::Controllers,
    ];

    /// Returns the value on this axis of an experiment with one cell.
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

    /// Returns a copy of an experiment with another value on this axis.
    pub fn with_value(self, experiment: &Experiment, value: f64) -> Experiment {
        let mut changed = experiment.clone();
        let tasks = Self::Tasks.value(experiment);
        let (cell, load) = (&mut changed.cells[0], &mut changed.load);
        match self {
            Self::Workers => {
                cell.workers = value as usize;
                load.service_tasks_per_worker = tasks / value;
            }
            Self::Tasks => {
                // The number of services stays, and the number of tasks of each changes.
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
