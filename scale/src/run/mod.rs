//! One run of an experiment: starts all programs, plays the load and the faults, measures, and
//! judges the results. Everything that was started ends with the run.

mod error;
mod faults;
mod installation;
mod limit_changes;
mod measurement;
mod objectives;
mod outcome;
mod report;
mod takeover_schedule;

pub use error::RunError;
pub use report::VariedAxis;

use crate::controllers::RunPaths;
use crate::experiment::{Experiment, MEMORY_MAX_MB};
use crate::hollow::{Command, SharedState};
use crate::layout::team_name;
use crate::results::Results;
use error::READY_S;
use faults::FaultInjector;
use installation::Installation;
use limit_changes::LimitChanges;
use measurement::{Measurement, Sampler, Snapshot};
use outcome::RunOutcome;
use salttrestle_fakes::checker::Checker;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::info;

/// Open files besides the connections of workers.
const OTHER_FILES: u64 = 4_096;
/// Between two rounds of the run's loop.
const ROUND: Duration = Duration::from_millis(100);

/// Plays an experiment. The row of the run names `varied`, if the run is one of a sweep.
pub fn play(
    experiment: &Experiment,
    varied: Option<VariedAxis>,
    paths: RunPaths,
) -> Result<Results, RunError> {
    std::fs::create_dir_all(paths.folder)?;
    rlimit::increase_nofile_limit(experiment.worker_count() as u64 + OTHER_FILES)?;
    let mut run = Run::start(experiment, paths)?;
    run.wait_until_ready()?;
    let measurement = run.play_load()?;
    Ok(report::results(&run.outcome(&measurement), varied))
}

/// The folder for a run's files beside the built programs.
pub fn default_folder(name: &str) -> PathBuf {
    let id = std::process::id();
    PathBuf::from("target")
        .join("scale")
        .join(format!("{name}-{id}"))
}

/// A run in progress.
struct Run<'a> {
    experiment: &'a Experiment,
    shared: Arc<SharedState>,
    installation: Installation,
    faults: FaultInjector,
    limit_changes: LimitChanges,
    sampler: Sampler,
    /// When the load began, on the clock of the shared state.
    load_began_ms: u64,
}

impl<'a> Run<'a> {
    fn start(experiment: &'a Experiment, paths: RunPaths) -> Result<Self, RunError> {
        let shared = Arc::new(SharedState::new(checker(experiment)));
        let installation = Installation::start(experiment, &shared, paths)?;
        Ok(Self {
            experiment,
            installation,
            faults: FaultInjector::new(experiment),
            limit_changes: LimitChanges::new(experiment),
            sampler: Sampler::default(),
            load_began_ms: 0,
            shared,
        })
    }

    /// Waits until each cell has a leader, a healthy controller and all its workers.
    fn wait_until_ready(&self) -> Result<(), RunError> {
        let began = Instant::now();
        let cells = self.installation.cells.iter();
        for (cell, planned) in cells.zip(&self.experiment.cells) {
            loop {
                let sample = cell.sample()?;
                let led = sample.leader.is_some() && sample.healthy_controllers > 0;
                if led && sample.joined >= planned.workers {
                    break;
                }
                if began.elapsed().as_secs_f64() > READY_S {
                    return Err(RunError::NotReady(cell.name.clone()));
                }
                std::thread::sleep(ROUND);
            }
        }
        let after_s = began.elapsed().as_secs_f64();
        info!("cells ready after_s={after_s:.1}");
        Ok(())
    }

    /// Plays the load and the faults to the end of the experiment.
    fn play_load(&mut self) -> Result<Measurement, RunError> {
        for cell in &self.installation.cells {
            cell.send(Command::StartLoad);
        }
        let began = Instant::now();
        self.load_began_ms = self.shared.now_ms();
        let phases = &self.experiment.phases;
        let measure_from_s = phases.ramp_s + phases.warmup_s;
        let measure_to_s = measure_from_s + phases.measure_s;
        let (mut from, mut to): (Option<Snapshot>, Option<Snapshot>) = (None, None);
        loop {
            std::thread::sleep(ROUND);
            let at_s = began.elapsed().as_secs_f64();
            self.inject(at_s, measure_to_s)?;
            if from.is_none() && at_s >= measure_from_s {
                from = Some(self.snapshot()?);
            }
            if to.is_none() && at_s >= measure_to_s {
                to = Some(self.snapshot()?);
            }
            if !self.sampler.advance_if_due(at_s) {
                continue;
            }
            let open_jobs = self.sample(at_s)?;
            let ended = at_s >= phases.total_s() || open_jobs == 0;
            if ended
                && to.is_some()
                && let (Some(from), Some(to)) = (from.take(), to.take())
            {
                return Ok(Measurement { from, to });
            }
        }
    }

    /// Injects the faults and the changes of limits that are due.
    fn inject(&mut self, at_s: f64, changes_end_s: f64) -> Result<(), RunError> {
        self.faults
            .inject_due(at_s, &mut self.installation, &self.shared)?;
        if at_s < changes_end_s {
            let cells = &self.installation.cells;
            self.limit_changes
                .apply_due(at_s, self.experiment, cells, &self.shared);
        }
        Ok(())
    }

    fn snapshot(&self) -> Result<Snapshot, RunError> {
        Snapshot::take(&self.installation, &self.shared)
    }

    /// Samples all cells and processes; returns the number of open batch and urgent jobs.
    fn sample(&mut self, at_s: f64) -> Result<usize, RunError> {
        let cells = self.installation.sample_cells()?;
        let starts = self.shared.checker().starts;
        let open_jobs = self.sampler.record(at_s, starts, &cells);
        self.installation.restart_crashed()?;
        let memory_mb = self.installation.memory_mb();
        match memory_mb > MEMORY_MAX_MB {
            true => Err(RunError::TooMuchMemory(memory_mb)),
            false => Ok(open_jobs),
        }
    }

    fn outcome<'b>(&'b self, measurement: &'b Measurement) -> RunOutcome<'b> {
        RunOutcome {
            experiment: self.experiment,
            shared: &self.shared,
            installation: &self.installation,
            measurement,
            samples: &self.sampler.rows,
            ignored_terminations: &self.faults.ignored_terminations,
            load_began_ms: self.load_began_ms,
        }
    }
}

/// The checker of all cells, with the teams' limits.
fn checker(experiment: &Experiment) -> Checker {
    // Cells that share limits have one limit for all of them together.
    let cells = match &experiment.sharing {
        Some(_) => 1.0,
        None => experiment.cells.len() as f64,
    };
    let [cpus, gpus] = experiment.load.team_limit;
    let limits =
        (0..experiment.load.teams).map(|team| (team_name(team), (cpus * cells, gpus * cells)));
    let cancel_ms = (experiment.service.cancel_s * 1000.0) as u64;
    Checker::new(cancel_ms, limits.collect())
}
