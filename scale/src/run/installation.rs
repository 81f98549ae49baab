//! The programs of a run: the controllers' processes, the threads of the hollow cells, and the
//! links between cells.

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

/// How long a cell may take to return a sample.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(20);

/// All programs of a run. They end with this value.
pub(super) struct Installation {
    // Dropped first: the controllers' connections close before the hollow side does.
    pub(super) controllers: Vec<Controller>,
    pub(super) cells: Vec<CellThread>,
    pub(super) links: LinkProxy,
    /// Ids of controllers that ended by themselves.
    pub(super) crashed: Vec<String>,
}

impl Installation {
    /// Starts the hollow cells first, then all controllers.
    pub(super) fn start(
        experiment: &Experiment,
        shared: &Arc<SharedState>,
        paths: RunPaths,
    ) -> Result<Self, RunError> {
        let addresses = CellAddresses::of_cells(experiment);
        let mut installation = Self {
            controllers: Vec::new(),
            cells: Vec::new(),
            links: LinkProxy::default(),
            crashed: Vec::new(),
        };
        if experiment.sharing.is_some() {
            installation.link_cells(&addresses)?;
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

    /// Forwards the messages between cells.
    fn link_cells(&mut self, addresses: &[CellAddresses]) -> io::Result<()> {
        for from in 0..addresses.len() {
            for (to, target) in addresses.iter().enumerate().filter(|(to, _)| *to != from) {
                for (controller, link) in target.cell_links.iter().enumerate() {
                    let listen = target.proxy_address(from, controller);
                    self.links.forward(Direction { from, to }, listen, *link)?;
                }
            }
        }
        Ok(())
    }

    /// A sample of each cell.
    pub(super) fn sample_cells(&self) -> Result<Vec<CellSample>, RunError> {
        self.cells.iter().map(CellThread::sample).collect()
    }

    /// A cell's leader or another of its controllers, as an index into `controllers`.
    pub(super) fn find(
        &self,
        cell: usize,
        role: ControllerRole,
    ) -> Result<Option<usize>, RunError> {
        let leader = self.cells[cell].sample()?.leader;
        let is_leader = |controller: &Controller| Some(&controller.id) == leader.as_ref();
        let found = self.controllers.iter().position(|controller| {
            let matches = match role {
                ControllerRole::Leader => is_leader(controller),
                ControllerRole::Other => !is_leader(controller),
            };
            controller.cell == cell && matches
        });
        Ok(found)
    }

    /// Starts controllers again that ended by themselves.
    pub(super) fn restart_crashed(&mut self) -> io::Result<()> {
        for controller in &mut self.controllers {
            if controller.has_crashed() {
                error!("controller crashed controller={}", controller.id);
                self.crashed.push(controller.id.clone());
                controller.kill();
                controller.start()?;
            }
        }
        Ok(())
    }

    /// Resident memory of the controllers and of this process, in MiB.
    pub(super) fn memory_mb(&self) -> f64 {
        let pids = self.controllers.iter().filter_map(Controller::pid);
        pids.chain([std::process::id()])
            .filter_map(process_memory)
            .map(|memory| memory.resident_mb)
            .sum()
    }
}

/// The thread of one hollow cell. It ends with this value.
pub(super) struct CellThread {
    /// The cell's name.
    pub(super) name: String,
    commands: Sender<Command>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl CellThread {
    /// Starts the thread, and waits until the cell listens.
    fn start(plan: Arc<CellPlan>, shared: Arc<SharedState>) -> Result<Self, RunError> {
        let (commands, receiver) = channel();
        let (ready, started) = channel();
        let name = plan.name.clone();
        // A cell's values can't be sent between threads, so its own thread builds them.
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
        let lost = || RunError::HollowLost(name.clone());
        started.recv().map_err(|_| lost())??;
        Ok(Self {
            name,
            commands,
            thread: Some(thread),
        })
    }

    /// Sends a command. A thread that has ended is found by the next sample.
    pub(super) fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    /// A sample of the cell.
    pub(super) fn sample(&self) -> Result<CellSample, RunError> {
        let (reply_to, reply) = channel();
        let lost = || RunError::HollowLost(self.name.clone());
        self.commands
            .send(Command::Sample(reply_to))
            .map_err(|_| lost())?;
        reply.recv_timeout(SAMPLE_TIMEOUT).map_err(|_| lost())
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
