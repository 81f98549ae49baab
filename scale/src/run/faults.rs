//! Injects faults into a run, and ends the temporary ones.

use super::error::RunError;
use super::installation::Installation;
use super::takeover_schedule::TakeoverSchedule;
use crate::controllers::Termination;
use crate::experiment::{ControllerRole, Experiment, Fault, FaultKind, LeaderEnd, Takeovers};
use crate::hollow::{Command, SharedState};
use crate::link_proxy::{Direction, PartitionKind};
use std::io;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// A controller, as an index into the installation's, and when something is due for it.
struct Due {
    at: Instant,
    controller: usize,
}

impl Due {
    fn after(seconds: f64, controller: usize) -> Self {
        Self {
            at: Instant::now() + Duration::from_secs_f64(seconds),
            controller,
        }
    }
}

fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

/// A link partition of one cell.
struct Partition<'a> {
    cell: usize,
    /// The other cell; all others if it isn't named.
    to: Option<&'a String>,
    duration: Duration,
    one_way: bool,
    kind: PartitionKind,
}

impl<'a> Partition<'a> {
    fn of(cell: usize, fault: &'a FaultKind) -> Option<Self> {
        let FaultKind::LinkPartition {
            to,
            for_s,
            one_way,
            delayed,
        } = fault
        else {
            return None;
        };
        Some(Self {
            cell,
            to: to.as_ref(),
            duration: Duration::from_secs_f64(*for_s),
            one_way: *one_way,
            kind: match delayed {
                true => PartitionKind::Delay,
                false => PartitionKind::Drop,
            },
        })
    }

    fn apply(&self, installation: &Installation) {
        let cell = self.cell;
        for (other, found) in installation.cells.iter().enumerate() {
            if other == cell || self.to.is_some_and(|name| *name != found.name) {
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
            let links = &installation.links;
            links.partition(outgoing, self.kind, self.duration);
            if !self.one_way {
                links.partition(incoming, self.kind, self.duration);
            }
        }
    }
}

/// Injects the faults of an experiment.
pub(super) struct FaultInjector {
    /// Faults still to come.
    faults: Vec<Fault>,
    takeovers: Option<Takeovers>,
    takeover_schedule: Option<TakeoverSchedule>,
    restarts: Vec<Due>,
    resumes: Vec<Due>,
    /// Ids of controllers that were asked to terminate and didn't.
    pub(super) ignored_terminations: Vec<String>,
}

impl FaultInjector {
    /// All faults of an experiment.
    pub(super) fn new(experiment: &Experiment) -> Self {
        let phases = &experiment.phases;
        let measure_from_s = phases.ramp_s + phases.warmup_s;
        let schedule = experiment
            .takeovers
            .as_ref()
            .map(|takeovers| TakeoverSchedule::new(takeovers, experiment.seed, measure_from_s));
        Self {
            faults: experiment.faults.clone(),
            takeovers: experiment.takeovers.clone(),
            takeover_schedule: schedule,
            restarts: Vec::new(),
            resumes: Vec::new(),
            ignored_terminations: Vec::new(),
        }
    }

    /// Injects all faults that are due, and ends those whose time is over.
    pub(super) fn inject_due(
        &mut self,
        at_s: f64,
        installation: &mut Installation,
        shared: &SharedState,
    ) -> Result<(), RunError> {
        let is_due = |fault: &mut Fault| at_s >= fault.at_s;
        let due: Vec<Fault> = self.faults.extract_if(.., is_due).collect();
        for fault in due {
            self.inject(&fault, installation)?;
        }
        self.restore(installation)?;
        let schedule = self.takeover_schedule.as_mut();
        if let Some(kind) = schedule.and_then(|schedule| schedule.next_due(at_s)) {
            self.end_leader(kind, installation, shared)?;
        }
        Ok(())
    }

    fn inject(&mut self, fault: &Fault, installation: &mut Installation) -> Result<(), RunError> {
        let mut cells = installation.cells.iter();
        let Some(cell) = cells.position(|cell| cell.name == fault.cell) else {
            return Ok(());
        };
        info!("fault injected cell={} fault={:?}", fault.cell, fault.kind);
        let hollow = &installation.cells[cell];
        match &fault.kind {
            FaultKind::Kill { controller, down_s } => {
                self.kill(installation, cell, *controller, *down_s)?;
            }
            FaultKind::Pause { controller, for_s } => {
                self.pause(installation, cell, *controller, *for_s)?;
            }
            FaultKind::MachinesLost {
                count,
                zone,
                over_s,
            } => hollow.send(Command::FailMachines {
                count: *count,
                zone: zone.clone(),
                over_ms: milliseconds(*over_s),
            }),
            FaultKind::StoreOutage { for_s } => hollow.send(Command::StoreOutage {
                for_ms: milliseconds(*for_s),
            }),
            FaultKind::Load { factor } => hollow.send(Command::SetLoadFactor(*factor)),
            FaultKind::LinkPartition { .. } => {
                if let Some(partition) = Partition::of(cell, &fault.kind) {
                    partition.apply(installation);
                }
            }
        }
        Ok(())
    }

    fn kill(
        &mut self,
        installation: &mut Installation,
        cell: usize,
        role: ControllerRole,
        down_s: f64,
    ) -> Result<(), RunError> {
        if let Some(found) = installation.find(cell, role)? {
            installation.controllers[found].kill();
            self.restarts.push(Due::after(down_s, found));
        }
        Ok(())
    }

    fn pause(
        &mut self,
        installation: &Installation,
        cell: usize,
        role: ControllerRole,
        for_s: f64,
    ) -> Result<(), RunError> {
        if let Some(found) = installation.find(cell, role)? {
            installation.controllers[found].suspend();
            self.resumes.push(Due::after(for_s, found));
        }
        Ok(())
    }

    /// Starts and resumes the controllers that are due.
    fn restore(&mut self, installation: &mut Installation) -> io::Result<()> {
        let now = Instant::now();
        for due in self.restarts.extract_if(.., |due| now >= due.at) {
            let controller = &mut installation.controllers[due.controller];
            if controller.restart()? == Termination::Ignored {
                self.ignored_terminations.push(controller.id.clone());
            }
        }
        for due in self.resumes.extract_if(.., |due| now >= due.at) {
            installation.controllers[due.controller].resume();
        }
        Ok(())
    }

    /// Ends the leader of the first cell, which is the only one where leaders are ended.
    fn end_leader(
        &mut self,
        kind: LeaderEnd,
        installation: &mut Installation,
        shared: &SharedState,
    ) -> Result<(), RunError> {
        let Some(takeovers) = &self.takeovers else {
            return Ok(());
        };
        let Some(leader) = installation.find(0, ControllerRole::Leader)? else {
            warn!("leader not ended reason=no-leader");
            return Ok(());
        };
        let controller = &mut installation.controllers[leader];
        info!("leader ended controller={} kind={kind:?}", controller.id);
        shared
            .takeover_observer()
            .record_leader_end(shared.now_ms(), kind);
        match kind {
            LeaderEnd::Kill => {
                controller.kill();
                self.restarts.push(Due::after(takeovers.down_s, leader));
            }
            LeaderEnd::Pause => {
                controller.suspend();
                self.resumes.push(Due::after(takeovers.pause_s, leader));
            }
            LeaderEnd::Terminate => {
                controller.terminate();
                self.restarts.push(Due::after(takeovers.down_s, leader));
            }
        }
        Ok(())
    }
}
