//! One controller's process. Only processes that were started here are signalled here.

use super::settings::SettingsFiles;
use crate::experiment::Experiment;
use crate::layout::{CellAddresses, ControllerIndex, controller_id};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Where a run finds its program and leaves its files.
#[derive(Clone, Copy)]
pub struct RunPaths<'a> {
    /// The service's program.
    pub program: &'a Path,
    /// The folder for settings and logs.
    pub folder: &'a Path,
}

/// One controller. Its process ends with this value.
pub struct Controller {
    /// Its id.
    pub id: String,
    /// Index of its cell.
    pub cell: usize,
    settings: SettingsFiles,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// It was sent SIGTERM and hasn't been restarted since.
    is_terminating: bool,
}

/// Whether a process ended by itself before it was restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// It had ended, or hadn't been asked to.
    Complied,
    /// It had been asked to terminate, still ran, and was killed.
    Ignored,
}

impl Controller {
    /// Writes a controller's files; `start` starts its process.
    pub fn prepare(
        experiment: &Experiment,
        index: ControllerIndex,
        addresses: &[CellAddresses],
        paths: RunPaths,
    ) -> io::Result<Self> {
        let id = controller_id(&experiment.cells[index.cell], index.controller);
        Ok(Self {
            cell: index.cell,
            settings: SettingsFiles::write(experiment, index, addresses, paths.folder)?,
            log: paths.folder.join(format!("{id}.log")),
            program: paths.program.into(),
            child: None,
            is_terminating: false,
            id,
        })
    }

    /// Starts the process, unless it runs.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        if let Some(cells) = &self.settings.cells {
            command.arg("--cells").arg(cells);
        }
        let child = command
            .arg("--properties")
            .arg(&self.settings.properties)
            .arg("--config")
            .arg(&self.settings.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Its process id, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends the process.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to terminate. `restart` starts it again.
    pub fn terminate(&mut self) {
        self.is_terminating = true;
        self.signal(Signal::TERM);
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid {
            // A process that has just ended can't be signalled, and needn't be.
            let _ = kill_process(pid, signal);
        }
    }

    /// Starts the process again, and kills one that was asked to terminate and still runs.
    pub fn restart(&mut self) -> io::Result<Termination> {
        let is_terminating = std::mem::take(&mut self.is_terminating);
        let has_ended = self.child.as_mut().is_none_or(has_exited);
        if is_terminating {
            self.kill();
        }
        self.start()?;
        Ok(match is_terminating && !has_ended {
            true => Termination::Ignored,
            false => Termination::Complied,
        })
    }

    /// Whether the process has ended though it was neither killed nor asked to terminate.
    pub fn has_crashed(&mut self) -> bool {
        !self.is_terminating && self.child.as_mut().is_some_and(has_exited)
    }
}

fn has_exited(child: &mut Child) -> bool {
    matches!(child.try_wait(), Ok(Some(_)))
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// The service's program: the given one, or the one that was built beside this program.
pub fn find_program(named: Option<&Path>) -> io::Result<PathBuf> {
    if let Some(path) = named {
        return Ok(path.into());
    }
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder| folder.join("salttrestle"));
    let found = candidates.find(|path| path.is_file());
    found.ok_or_else(|| {
        let why = "the program 'salttrestle' isn't built beside this one; see --controller";
        io::Error::new(io::ErrorKind::NotFound, why)
    })
}
