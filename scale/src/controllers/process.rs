//! The process of one controller. This module signals only processes that it has started.

use super::settings::SettingsFiles;
use crate::experiment::Experiment;
use crate::layout::{CellAddresses, ControllerIndex, controller_id};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Paths of the controller program that a run starts, and of the folder that it writes files to.
#[derive(Clone, Copy)]
pub struct RunPaths<'a> {
    /// The controller program.
    pub program: &'a Path,
    /// Folder for the settings files and logs of the controllers.
    pub folder: &'a Path,
}

/// One controller. Dropping the value kills its process.
pub struct Controller {
    /// Id of the controller.
    pub id: String,
    /// Index of the controller's cell.
    pub cell: usize,
    settings: SettingsFiles,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// Whether the process was sent SIGTERM and hasn't been restarted since.
    is_terminating: bool,
}

/// Whether a process had ended after SIGTERM by the time of its restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// The process had ended, or hadn't been sent SIGTERM.
    Complied,
    /// The process had been sent SIGTERM, was still running, and was killed.
    Ignored,
}

impl Controller {
    /// Writes the settings files of a controller. The process is started by [`Controller::start`].
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written.
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

    /// Starts the process, unless it was started before and not killed since. The process appends
    /// to the controller's log.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be opened or the program can't be started.
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

    /// Returns the id of the process; `None` if it isn't started or was killed.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process with SIGKILL, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM to the process. [`Controller::restart`] starts it again.
    pub fn terminate(&mut self) {
        self.is_terminating = true;
        self.signal(Signal::TERM);
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid {
            // Signalling fails if the process has just ended; there is nothing to do then.
            let _ = kill_process(pid, signal);
        }
    }

    /// Starts the process again after a kill or SIGTERM. A process that is still running after
    /// SIGTERM is killed first.
    ///
    /// # Errors
    ///
    /// Fails as [`Controller::start`] does.
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

    /// Whether the process has ended though it was neither killed nor sent SIGTERM.
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

/// Returns the path of the controller program: `named` if given, otherwise the program
/// `salttrestle` in the folder of the current executable or in that folder's parent.
///
/// # Errors
///
/// Fails if no path is given and the program isn't found.
pub fn find_program(named: Option<&Path>) -> io::Result<PathBuf> {
    if let Some(path) = named {
        return Ok(path.into());
    }
    let executable = std::env::current_exe()?;
    let folders = executable.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder| folder.join("salttrestle"));
    let found = candidates.find(|path| path.is_file());
    found.ok_or_else(|| {
        let reason = "controller program 'salttrestle' not found, build it or pass --controller";
        io::Error::new(io::ErrorKind::NotFound, reason)
    })
}
