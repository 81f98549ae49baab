//! The processes and threads of a run: the controllers' processes, the threads that simulate the
//! hollow cells, and the proxy for the links between cells.

use super::error::RunError;
use crate::controllers::{Controller, RunPaths};
use crate::experiment::{ControllerRole, Experiment};
use crate::hollow::{CellPlan, CellSample, Command, HollowCell, SharedState};
use crate::layout::{CellAddresses, ControllerIndex};
use crate::link_proxy::{Direction, LinkProxy};
use crate::procfs::process_memory;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;
use tracing::error;

/// Maximum time that a cell's thread may take to return a sample.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(20);

/// All processes and threads of a run. Dropping the installation ends them.
pub(super) struct Installation {
    // Fields are dropped in order: the controllers end before the cells that they connect to.
    pub(super) controllers: Vec<Controller>,
    pub(super) cells: Vec<CellThread>,
    pub(super) link_proxy: LinkProxy,
    /// Ids of controllers that exited unexpectedly, once for each crash.
    pub(super) crashed: Vec<String>,
}

impl Installation {
    /// Starts all hollow cells, and then all controllers, which connect to them.
    pub(super) fn start(
        experiment: &Experiment,
        shared: &Arc<SharedState>,
        paths: RunPaths,
    ) -> Result<Self, RunError> {
        let addresses = CellAddresses::of_cells(experiment);
        let mut installation = Self {
            controllers: Vec::new(),
            cells: Vec::new(),
            link_proxy: LinkProxy::default(),
            crashed: Vec::new(),
        };
        if experiment.sharing.is_some() {
            installation.start_link_proxies(&addresses)?;
        }
        for (index, cell) in experiment.cells.iter().enumerate() {
            let plan = Arc::new(CellPlan::new(experiment, index, addresses[index].clone()));
            let thread = CellThread::start(plan, shared.clone())?;
            installation.cells.push(thread);
            for controller in 0..cell.controllers {
                let index = ControllerIndex {
                    cell: index,
                    controller,
                };
                let prepared = Controller::prepare(experiment, index, &addresses, paths)?;
                installation.controllers.push(prepared);
            }
        }
        for controller in &mut installation.controllers {
            controller.start()?;
        }
        Ok(installation)
    }

    /// Starts a proxy for the link from each cell to each controller of the other cells.
    fn start_link_proxies(&mut self, addresses: &[CellAddresses]) -> io::Result<()> {
        for from in 0..addresses.len() {
            for (to, target) in addresses.iter().enumerate().filter(|(to, _)| *to != from) {
                for (controller, link) in target.cell_links.iter().enumerate() {
                    let listen = target.proxy_address(from, controller);
                    self.link_proxy
                        .forward(Direction { from, to }, listen, *link)?;
                }
            }
        }
        Ok(())
    }

    /// Takes a sample of each cell.
    pub(super) fn sample_cells(&self) -> Result<Vec<CellSample>, RunError> {
        self.cells.iter().map(CellThread::sample).collect()
    }

    /// Finds the first controller of a cell that has the role now. Returns its index in
    /// `controllers`; `None` if no controller has the role.
    pub(super) fn find_controller(
        &self,
        cell: usize,
        role: ControllerRole,
    ) -> Result<Option<usize>, RunError> {
        let leader = self.cells[cell].sample()?.leader;
        let is_leader = |controller: &Controller| Some(&controller.id) == leader.as_ref();
        let index = self.controllers.iter().position(|controller| {
            let has_role = match role {
                ControllerRole::Leader => is_leader(controller),
                ControllerRole::Other => !is_leader(controller),
            };
            controller.cell == cell && has_role
        });
        Ok(index)
    }

    /// Restarts controllers that exited unexpectedly, and records them as crashed.
    pub(super) fn restart_crashed(&mut self) -> io::Result<()> {
        for controller in &mut self.controllers {
            if controller.has_crashed() {
                error!("controller crashed, controller={}", controller.id);
                self.crashed.push(controller.id.clone());
                controller.kill();
                controller.start()?;
            }
        }
        Ok(())
    }

    /// Resident memory of all controllers and of this process, in MiB.
    pub(super) fn resident_memory_mb(&self) -> f64 {
        let pids = self.controllers.iter().filter_map(Controller::pid);
        pids.chain([std::process::id()])
            .filter_map(process_memory)
            .map(|memory| memory.resident_mb)
            .sum()
    }
}

/// The thread that simulates one hollow cell. Dropping the value ends the thread.
pub(super) struct CellThread {
    /// Name of the cell.
    pub(super) name: String,
    commands: Sender<Command>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl CellThread {
    /// Starts the thread, and waits until the cell listens for connections.
    fn start(plan: Arc<CellPlan>, shared: Arc<SharedState>) -> Result<Self, RunError> {
        let (commands, receiver) = channel();
        let (ready, started) = channel();
        let name = plan.name.clone();
        // The thread itself builds the cell, since a `HollowCell` can't be sent between threads.
        let run = move || match HollowCell::new(plan, shared, receiver) {
            Ok(cell) => {
                let _ = ready.send(Ok(()));
                cell.run()
            }
            Err(error) => {
                let _ = ready.send(Err(error));
                Ok(())
            }
        };
        let thread = std::thread::Builder::new().name(name.clone()).spawn(run)?;
        let unresponsive = || RunError::HollowCellUnresponsive(name.clone());
        started.recv().map_err(|_| unresponsive())??;
        Ok(Self {
            name,
            commands,
            thread: Some(thread),
        })
    }

    /// Sends a command. If the thread has ended, the command is lost, and the next call of `sample`
    /// returns an error.
    pub(super) fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    /// Takes a sample of the cell.
    pub(super) fn sample(&self) -> Result<CellSample, RunError> {
        let (reply_to, reply) = channel();
        let unresponsive = || RunError::HollowCellUnresponsive(self.name.clone());
        self.commands
            .send(Command::Sample(reply_to))
            .map_err(|_| unresponsive())?;
        reply
            .recv_timeout(SAMPLE_TIMEOUT)
            .map_err(|_| unresponsive())
    }
}

impl Drop for CellThread {
    fn drop(&mut self) {
        self.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
