//! The plan of a hollow cell, derived from the settings of the experiment.

use crate::experiment::{Cell, Experiment, Load, Phases, ServiceSettings};
use crate::layout::{CellAddresses, controller_id};

/// Parameters of a hollow cell.
pub struct CellPlan {
    /// Name of the cell.
    pub name: String,
    /// Index of the cell among all cells of the experiment.
    pub index: usize,
    /// Loopback addresses of the cell's programs.
    pub addresses: CellAddresses,
    /// Ids of the cell's controllers, by index.
    pub controller_ids: Vec<String>,
    /// Zones of the cell.
    pub zones: Vec<String>,
    /// Number of workers at the start.
    pub workers: usize,
    /// Number of machines that the cloud can provide in addition to the initial ones.
    pub spare_machines: u32,
    /// Fraction of the experiment's workers that belong to this cell, from 0 to 1.
    pub worker_share: f64,
    /// Mean interval between two heartbeats of a worker, in milliseconds.
    pub heartbeat_ms: u64,
    /// Length of a worker's lease, in milliseconds.
    pub lease_ms: u64,
    /// Service settings of the experiment.
    pub service: ServiceSettings,
    /// Load settings of the experiment, for all cells together.
    pub load: Load,
    /// Phases of the run.
    pub phases: Phases,
    /// Whether the experiment has no other cell. Only then are takeovers observed, and start
    /// commands and cloud calls checked.
    pub is_only_cell: bool,
    /// Seed of the cell's random numbers.
    pub seed: u64,
}

impl CellPlan {
    /// Derives the parameters of the cell at `index` from the experiment's settings.
    pub fn new(experiment: &Experiment, index: usize, addresses: CellAddresses) -> Self {
        let cell: &Cell = &experiment.cells[index];
        let milliseconds = |seconds: f64| (seconds * 1000.0) as u64;
        let controllers = 0..cell.controllers;
        Self {
            name: cell.name.clone(),
            index,
            addresses,
            controller_ids: controllers.map(|n| controller_id(cell, n)).collect(),
            zones: cell.zones.clone(),
            workers: cell.workers,
            spare_machines: cell.spare_machines,
            worker_share: cell.workers as f64 / experiment.worker_count() as f64,
            heartbeat_ms: milliseconds(experiment.service.heartbeat_s),
            lease_ms: milliseconds(experiment.service.lease_s),
            service: experiment.service.clone(),
            load: experiment.load.clone(),
            phases: experiment.phases.clone(),
            is_only_cell: experiment.cells.len() == 1,
            seed: experiment.seed + index as u64,
        }
    }
}
