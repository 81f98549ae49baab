//! Bounds of an experiment: those of the machine that plays it, and those of the protocols.

use super::faults::FaultKind;
use super::settings::{Experiment, ExperimentError};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use thiserror::Error;

/// Most controllers in one run: the machines that are set aside for control.
pub const CONTROLLERS_MAX: usize = 24;
/// Most hollow workers in one run.
pub const WORKERS_MAX: usize = 8_000;
/// Longest run, in seconds.
pub const SECONDS_MAX: f64 = 720.0;
/// Most task starts per second that an experiment may ask for.
pub const STARTS_MAX: f64 = 3_000.0;
/// Most processes of one run.
pub const PROCESSES_MAX: usize = 200;
/// Most memory of one run, in MiB.
pub const MEMORY_MAX_MB: f64 = 12.0 * 1024.0;
/// Memory that is estimated for a controller before the run, in MiB.
const CONTROLLER_MB: f64 = 256.0;
/// Memory that is estimated for a hollow worker before the run, in MiB.
const WORKER_MB: f64 = 0.25;
/// Most cells: each has a loopback network of its own.
const CELLS_MAX: usize = 16;

/// A setting that is out of bounds.
struct InvalidSetting {
    key: &'static str,
    reason: InvalidReason,
}

/// Why a setting is out of bounds.
#[derive(Debug, Error)]
enum InvalidReason {
    #[error("{0} must not be negative")]
    Negative(f64),
    #[error("{0} must be above 0")]
    NotPositive(f64),
    #[error("{value} is more than the {max} that one machine may play")]
    TooLarge { value: f64, max: f64 },
    #[error("{0} lies outside 127.0.0.0/8")]
    NotLoopback(Ipv4Addr),
    #[error("there must be 1 to {CELLS_MAX} cells")]
    CellCount,
    #[error("'{0}' must be lower-case letters, once")]
    CellName(String),
    #[error("{0} has none")]
    NoZones(String),
    #[error("{0} needs controllers and workers")]
    EmptyCell(String),
    #[error("there must be one")]
    NoLeaderEnds,
    #[error("one cell with at least two controllers is needed")]
    NoSuccessor,
    #[error("they take {needed_s} s, longer than the {measured_s} s that are measured")]
    TakeoversTooLong { needed_s: f64, measured_s: f64 },
    #[error("there is no cell {0}")]
    UnknownCell(String),
}

fn invalid(key: &'static str, reason: InvalidReason) -> Result<(), InvalidSetting> {
    Err(InvalidSetting { key, reason })
}

impl Experiment {
    /// Checks that all settings keep to the bounds of the machine and of the protocols.
    pub fn check(&self, file: &str) -> Result<(), ExperimentError> {
        self.check_settings()
            .map_err(|invalid| ExperimentError::new(file, invalid.key, invalid.reason))
    }

    fn check_settings(&self) -> Result<(), InvalidSetting> {
        self.check_amounts()?;
        self.check_size()?;
        if !self.network.is_loopback() {
            return invalid("network", InvalidReason::NotLoopback(self.network));
        }
        self.check_cells()?;
        self.check_takeovers()?;
        self.check_faults()
    }

    fn check_amounts(&self) -> Result<(), InvalidSetting> {
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
        let memory_mb = controllers * CONTROLLER_MB + workers * WORKER_MB;
        let limits = [
            ("cell.controllers", controllers, CONTROLLERS_MAX as f64),
            ("cell.controllers", controllers + 1.0, PROCESSES_MAX as f64),
            ("cell.workers", workers, WORKERS_MAX as f64),
            ("cell.workers (MiB)", memory_mb, MEMORY_MAX_MB),
            ("phases (seconds)", self.phases.total_s(), SECONDS_MAX),
            ("load.starts_per_s", self.load.starts_per_s, STARTS_MAX),
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
            let plain = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_lowercase());
            if !plain || !names.insert(&cell.name) {
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
            ("takeovers.every_s", takeovers.every_s),
            ("takeovers.down_s", takeovers.down_s),
            ("takeovers.pause_s", takeovers.pause_s),
        ])?;
        if takeovers.kinds.is_empty() {
            return invalid("takeovers.kinds", InvalidReason::NoLeaderEnds);
        }
        if self.cells.len() != 1 || self.controller_count() < 2 {
            return invalid("takeovers", InvalidReason::NoSuccessor);
        }
        let needed_s = f64::from(takeovers.count) * takeovers.every_s;
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
            let target = match &fault.kind {
                FaultKind::LinkPartition { to, .. } => to.as_ref(),
                _ => None,
            };
            for name in [&fault.cell].into_iter().chain(target) {
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
