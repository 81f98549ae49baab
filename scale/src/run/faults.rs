//! Injects the faults of an experiment into a run, and ends temporary faults when they are over.

use super::error::RunError;
use super::installation::Installation;
use super::takeover_schedule::TakeoverSchedule;
use crate::controllers::Termination;
use crate::experiment::{ControllerRole, Experiment, Fault, FaultKind, LeaderFault, Takeovers};
use crate::hollow::{Command, SharedState};
use crate::link_proxy::{Direction, PartitionKind};
use std::io;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// A restart or resumption of a controller that is scheduled for later.
struct ScheduledRecovery {
    due_at: Instant,
    /// Index of the controller in the installation.
    controller: usize,
}

impl ScheduledRecovery {
    fn after(delay_s: f64, controller: usize) -> Self {
        Self {
            due_at: Instant::now() + Duration::from_secs_f64(delay_s),
            controller,
        }
    }
}

fn to_ms(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// A partition of the links between one cell and others.
struct Partition<'a> {
    /// Index of the cell.
    cell: usize,
    /// Name of the other cell; all other cells if `None`.
    other_cell: Option<&'a String>,
    duration: Duration,
    /// Whether only messages from the cell are affected, and not those to it.
    is_one_way: bool,
    kind: PartitionKind,
}

impl<'a> Partition<'a> {
    /// The partition that the fault describes; `None` for faults of other kinds.
    fn from_fault(cell: usize, fault: &'a FaultKind) -> Option<Self> {
        let FaultKind::LinkPartition {
            other_cell,
            duration_s,
            is_one_way,
            delays_messages,
        } = fault
        else {
            return None;
        };
        Some(Self {
            cell,
            other_cell: other_cell.as_ref(),
            duration: Duration::from_secs_f64(*duration_s),
            is_one_way: *is_one_way,
            kind: match delays_messages {
                true => PartitionKind::Delay,
                false => PartitionKind::Drop,
            },
        })
    }

    fn apply(&self, installation: &Installation) {
        let cell = self.cell;
        for (other, candidate) in installation.cells.iter().enumerate() {
            if other == cell || self.other_cell.is_some_and(|name| *name != candidate.name) {
                continue;
            }
            let outgoing = Direction {
                from: cell,
                to: other,
            };
            let incoming = Direction {
                from: other,
                to: cell,
            };
            let link_proxy = &installation.link_proxy;
            link_proxy.partition(outgoing, self.kind, self.duration);
            if !self.is_one_way {
                link_proxy.partition(incoming, self.kind, self.duration);
            }
        }
    }
}

/// Injects the faults of an experiment, and restarts or resumes the affected controllers later.
pub(super) struct FaultInjector {
    /// Faults that haven't been injected yet.
    pending_faults: Vec<Fault>,
    takeovers: Option<Takeovers>,
    takeover_schedule: Option<TakeoverSchedule>,
    pending_restarts: Vec<ScheduledRecovery>,
    pending_resumes: Vec<ScheduledRecovery>,
    /// Ids of controllers that were still running when their restart after a SIGTERM was due.
    pub(super) ignored_terminations: Vec<String>,
}

impl FaultInjector {
    /// Schedules all faults of the experiment.
    pub(super) fn new(experiment: &Experiment) -> Self {
        let phases = &experiment.phases;
        let measure_from_s = phases.ramp_s + phases.warmup_s;
        let schedule = experiment
            .takeovers
            .as_ref()
            .map(|takeovers| TakeoverSchedule::new(takeovers, experiment.seed, measure_from_s));
        Self {
            pending_faults: experiment.faults.clone(),
            takeovers: experiment.takeovers.clone(),
            takeover_schedule: schedule,
            pending_restarts: Vec::new(),
            pending_resumes: Vec::new(),
            ignored_terminations: Vec::new(),
        }
    }

    /// Injects all faults that are due at `at_s`, in seconds from the start of the load. Restarts
    /// and resumes the controllers that are due.
    pub(super) fn inject_due(
        &mut self,
        at_s: f64,
        installation: &mut Installation,
        shared: &SharedState,
    ) -> Result<(), RunError> {
        let is_due = |fault: &mut Fault| at_s >= fault.at_s;
        let due: Vec<Fault> = self.pending_faults.extract_if(.., is_due).collect();
        for fault in due {
            self.inject(&fault, installation)?;
        }
        self.restore_controllers(installation)?;
        let schedule = self.takeover_schedule.as_mut();
        if let Some(kind) = schedule.and_then(|schedule| schedule.take_due(at_s)) {
            self.inject_leader_fault(kind, installation, shared)?;
        }
        Ok(())
    }

    fn inject(&mut self, fault: &Fault, installation: &mut Installation) -> Result<(), RunError> {
        let mut cells = installation.cells.iter();
        let Some(cell) = cells.position(|cell| cell.name == fault.cell) else {
            return Ok(());
        };
        info!("fault injected, cell={} fault={:?}", fault.cell, fault.kind);
        let cell_thread = &installation.cells[cell];
        match &fault.kind {
            FaultKind::Kill { controller, down_s } => {
                self.kill_controller(installation, cell, *controller, *down_s)?;
            }
            FaultKind::Pause {
                controller,
                duration_s,
            } => {
                self.pause_controller(installation, cell, *controller, *duration_s)?;
            }
            FaultKind::MachinesLost {
                count,
                zone,
                spread_s,
            } => cell_thread.send(Command::FailMachines {
                count: *count,
                zone: zone.clone(),
                over_ms: to_ms(*spread_s),
            }),
            FaultKind::StoreOutage { duration_s } => cell_thread.send(Command::StoreOutage {
                for_ms: to_ms(*duration_s),
            }),
            FaultKind::Load { factor } => cell_thread.send(Command::SetLoadFactor(*factor)),
            FaultKind::LinkPartition { .. } => {
                if let Some(partition) = Partition::from_fault(cell, &fault.kind) {
                    partition.apply(installation);
                }
            }
        }
        Ok(())
    }

    fn kill_controller(
        &mut self,
        installation: &mut Installation,
        cell: usize,
        role: ControllerRole,
        down_s: f64,
    ) -> Result<(), RunError> {
        if let Some(index) = installation.find_controller(cell, role)? {
            installation.controllers[index].kill();
            self.pending_restarts
                .push(ScheduledRecovery::after(down_s, index));
        }
        Ok(())
    }

    fn pause_controller(
        &mut self,
        installation: &Installation,
        cell: usize,
        role: ControllerRole,
        duration_s: f64,
    ) -> Result<(), RunError> {
        if let Some(index) = installation.find_controller(cell, role)? {
            installation.controllers[index].suspend();
            self.pending_resumes
                .push(ScheduledRecovery::after(duration_s, index));
        }
        Ok(())
    }

    /// Restarts and resumes the controllers that are due.
    fn restore_controllers(&mut self, installation: &mut Installation) -> io::Result<()> {
        let now = Instant::now();
        for recovery in self
            .pending_restarts
            .extract_if(.., |recovery| now >= recovery.due_at)
        {
            let controller = &mut installation.controllers[recovery.controller];
            if controller.restart()? == Termination::Ignored {
                self.ignored_terminations.push(controller.id.clone());
            }
        }
        for recovery in self
            .pending_resumes
            .extract_if(.., |recovery| now >= recovery.due_at)
        {
            installation.controllers[recovery.controller].resume();
        }
        Ok(())
    }

    /// Kills, suspends or terminates the leader. An experiment with takeovers has a single cell.
    fn inject_leader_fault(
        &mut self,
        kind: LeaderFault,
        installation: &mut Installation,
        shared: &SharedState,
    ) -> Result<(), RunError> {
        let Some(takeovers) = &self.takeovers else {
            return Ok(());
        };
        let Some(leader) = installation.find_controller(0, ControllerRole::Leader)? else {
            warn!("leader fault skipped, reason=\"the cell has no leader\"");
            return Ok(());
        };
        let controller = &mut installation.controllers[leader];
        info!(
            "leader fault injected, controller={} kind={kind:?}",
            controller.id
        );
        shared
            .takeover_observer()
            .record_leader_fault(shared.now_ms(), kind);
        match kind {
            LeaderFault::Kill => {
                controller.kill();
                self.pending_restarts
                    .push(ScheduledRecovery::after(takeovers.down_s, leader));
            }
            LeaderFault::Pause => {
                controller.suspend();
                self.pending_resumes
                    .push(ScheduledRecovery::after(takeovers.pause_s, leader));
            }
            LeaderFault::Terminate => {
                controller.terminate();
                self.pending_restarts
                    .push(ScheduledRecovery::after(takeovers.down_s, leader));
            }
        }
        Ok(())
    }
}
