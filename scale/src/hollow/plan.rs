//! What a hollow cell is built from.

use crate::experiment::{Cell, Experiment, Load, Phases, ServiceSettings};
use crate::layout::{CellAddresses, controller_id};

/// What a hollow cell is built from.
pub struct CellPlan {
    /// The cell's name.
    pub name: String,
    /// Its index among all cells.
    pub index: usize,
    /// Its addresses.
    pub addresses: CellAddresses,
    /// The ids of its controllers.
    pub controller_ids: Vec<String>,
    /// Its zones.
    pub zones: Vec<String>,
    /// Number of its workers at the start.
    pub workers: usize,
    /// Machines that its cloud can provide in addition.
    pub spare_machines: u32,
    /// Its share of all workers.
    pub worker_share: f64,
    /// Milliseconds between two heartbeats of a worker.
    pub heartbeat_ms: u64,
    /// A worker's lease, in milliseconds.
    pub lease_ms: u64,
    /// The settings of the service.
    pub service: ServiceSettings,
    /// What its users submit.
    pub load: Load,
    /// The course of the run.
    pub phases: Phases,
    /// Whether it is the only cell: then its commands are checked as well.
    pub single: bool,
    /// The seed of its random draws.
    pub seed: u64,
}

impl CellPlan {
    /// The plan of one of an experiment's cells.
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
            single: experiment.cells.len() == 1,
            seed: experiment.seed + index as u64,
        }
    }
}
