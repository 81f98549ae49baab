//! Bounds on the settings of an experiment. They follow from the protocols, and from the resources
//! of the one machine that runs the experiment.

use super::faults::FaultKind;
use super::settings::{Experiment, ExperimentError};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use thiserror::Error;

/// Maximum number of controllers in one run: the number of machines that the operators reserve for
/// controllers.
pub const CONTROLLERS_MAX: usize = 24;
/// Maximum number of hollow workers in one run.
pub const WORKERS_MAX: usize = 8_000;
/// Maximum length of a run, in seconds.
pub const RUN_MAX_S: f64 = 720.0;
/// Maximum rate of batch task starts that an experiment may request, per second.
pub const STARTS_PER_S_MAX: f64 = 3_000.0;
/// Maximum number of processes in one run, the load generator included.
pub const PROCESSES_MAX: usize = 200;
/// Maximum memory of one run, in MiB. The estimate before a run and the resident memory during the
/// run must not exceed it.
pub const MEMORY_MAX_MB: f64 = 12.0 * 1024.0;
/// Estimated memory of one controller, in MiB.
const CONTROLLER_MEMORY_MB: f64 = 256.0;
/// Estimated memory of one hollow worker, in MiB.
const WORKER_MEMORY_MB: f64 = 0.25;
/// Maximum number of cells in one run. Each cell has its own loopback network.
const CELLS_MAX: usize = 16;

/// A setting that is out of bounds, by its key in the experiment's file.
struct InvalidSetting {
    key: &'static str,
    reason: InvalidReason,
}

/// The reason why a setting is out of bounds.
#[derive(Debug, Error)]
enum InvalidReason {
    #[error("{0} must be finite and not negative")]
    Negative(f64),
    #[error("{0} must be finite and above 0")]
    NotPositive(f64),
    #[error("{value} exceeds {max}, the maximum for a run on one machine")]
    TooLarge { value: f64, max: f64 },
    #[error("{0} is outside 127.0.0.0/8")]
    NotLoopback(Ipv4Addr),
    #[error("the number of cells must be 1 to {CELLS_MAX}")]
    CellCount,
    #[error("'{0}' must be unique and consist of the letters a to z")]
    CellName(String),
    #[error("cell {0} has no zones")]
    NoZones(String),
    #[error("cell {0} needs at least one controller and one worker")]
    EmptyCell(String),
    #[error("at least one kind of leader fault is required")]
    NoLeaderFaults,
    #[error("takeovers require exactly one cell with at least two controllers")]
    NoSuccessor,
    #[error("the takeovers take {needed_s} s, longer than the measurement of {measured_s} s")]
    TakeoversTooLong { needed_s: f64, measured_s: f64 },
    #[error("unknown cell {0}")]
    UnknownCell(String),
}

fn invalid(key: &'static str, reason: InvalidReason) -> Result<(), InvalidSetting> {
    Err(InvalidSetting { key, reason })
}

impl Experiment {
    /// Checks all settings against the bounds of the machine and of the protocols. `file` names the
    /// experiment's file in the error, which is that of the first invalid setting.
    pub fn check(&self, file: &str) -> Result<(), ExperimentError> {
        self.check_settings()
            .map_err(|invalid| ExperimentError::new(file, invalid.key, invalid.reason))
    }

    fn check_settings(&self) -> Result<(), InvalidSetting> {
        self.check_numbers()?;
        self.check_size()?;
        if !self.network.is_loopback() {
            return invalid("network", InvalidReason::NotLoopback(self.network));
        }
        self.check_cells()?;
        self.check_takeovers()?;
        self.check_faults()
    }

    fn check_numbers(&self) -> Result<(), InvalidSetting> {
        let (phases, service, load) = (&self.phases, &self.service, &self.load);
        let sharing = self.sharing.as_ref();
        let not_negative = [
            ("phases.ramp_s", phases.ramp_s),
            ("phases.warmup_s", phases.warmup_s),
            ("phases.drain_s", phases.drain_s),
            ("load.standing_per_worker", load.service_tasks_per_worker),
            ("load.starts_per_s", load.starts_per_s),
            ("load.urgent_per_s", load.urgent_per_s),
            ("load.cancelled", load.cancelled_fraction),
            (
                "sharing.changes_per_s",
                sharing.map_or(0.0, |sharing| sharing.changes_per_s),
            ),
        ];
        for (key, value) in not_negative {
            if !value.is_finite() || value < 0.0 {
                return invalid(key, InvalidReason::Negative(value));
            }
        }
        check_positive(&[
            ("phases.measure_s", phases.measure_s),
            ("service.report_s", service.heartbeat_s),
            ("service.lease_s", service.lease_s),
            ("service.state_rps", service.store_rps),
            ("service.state_write_rps", service.store_write_rps),
            ("service.boot_s", service.boot_s),
            ("load.run_s", load.batch_run_s),
            ("load.teams", load.teams as f64),
            ("load.replicas", f64::from(load.replicas)),
            ("load.tasks_per_job", f64::from(load.tasks_per_job)),
        ])
    }

    fn check_size(&self) -> Result<(), InvalidSetting> {
        let (controllers, workers) = (self.controller_count() as f64, self.worker_count() as f64);
        let memory_mb = controllers * CONTROLLER_MEMORY_MB + workers * WORKER_MEMORY_MB;
        let limits = [
            ("cell.controllers", controllers, CONTROLLERS_MAX as f64),
            ("cell.controllers", controllers + 1.0, PROCESSES_MAX as f64),
            ("cell.workers", workers, WORKERS_MAX as f64),
            ("cell.workers (MiB)", memory_mb, MEMORY_MAX_MB),
            ("phases (seconds)", self.phases.total_s(), RUN_MAX_S),
            (
                "load.starts_per_s",
                self.load.starts_per_s,
                STARTS_PER_S_MAX,
            ),
        ];
        for (key, value, max) in limits {
            if value > max {
                return invalid(key, InvalidReason::TooLarge { value, max });
            }
        }
        Ok(())
    }

    fn check_cells(&self) -> Result<(), InvalidSetting> {
        if self.cells.is_empty() || self.cells.len() > CELLS_MAX {
            return invalid("cell", InvalidReason::CellCount);
        }
        let mut names = BTreeSet::new();
        for cell in &self.cells {
            let name = cell.name.clone();
            let has_valid_letters =
                !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_lowercase());
            if !has_valid_letters || !names.insert(&cell.name) {
                return invalid("cell.name", InvalidReason::CellName(name));
            }
            if cell.zones.is_empty() {
                return invalid("cell.zones", InvalidReason::NoZones(name));
            }
            if cell.controllers == 0 || cell.workers == 0 {
                return invalid("cell.controllers", InvalidReason::EmptyCell(name));
            }
        }
        Ok(())
    }

    fn check_takeovers(&self) -> Result<(), InvalidSetting> {
        let Some(takeovers) = &self.takeovers else {
            return Ok(());
        };
        check_positive(&[
            ("takeovers.every_s", takeovers.mean_interval_s),
            ("takeovers.down_s", takeovers.down_s),
            ("takeovers.pause_s", takeovers.pause_s),
        ])?;
        if takeovers.kinds.is_empty() {
            return invalid("takeovers.kinds", InvalidReason::NoLeaderFaults);
        }
        if self.cells.len() != 1 || self.controller_count() < 2 {
            return invalid("takeovers", InvalidReason::NoSuccessor);
        }
        let needed_s = f64::from(takeovers.count) * takeovers.mean_interval_s;
        let measured_s = self.phases.measure_s;
        if needed_s > measured_s {
            let reason = InvalidReason::TakeoversTooLong {
                needed_s,
                measured_s,
            };
            return invalid("takeovers.count", reason);
        }
        Ok(())
    }

    fn check_faults(&self) -> Result<(), InvalidSetting> {
        for fault in &self.faults {
            let other_cell = match &fault.kind {
                FaultKind::LinkPartition { other_cell, .. } => other_cell.as_ref(),
                _ => None,
            };
            for name in [&fault.cell].into_iter().chain(other_cell) {
                if !self.cells.iter().any(|cell| cell.name == *name) {
                    let reason = InvalidReason::UnknownCell(name.clone());
                    return invalid("trouble.cell", reason);
                }
            }
        }
        Ok(())
    }
}

fn check_positive(settings: &[(&'static str, f64)]) -> Result<(), InvalidSetting> {
    for (key, value) in settings {
        if !value.is_finite() || *value <= 0.0 {
            return invalid(key, InvalidReason::NotPositive(*value));
        }
    }
    Ok(())
}
