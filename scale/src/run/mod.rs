//! One run of an experiment. It starts all processes and threads, generates the load, injects the
//! faults, takes measurements, and checks rules and objectives. Every process that a run starts
//! ends with the run.

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
use error::READY_TIMEOUT_S;
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

/// Maximum number of open files besides one connection for each worker.
const OTHER_OPEN_FILES_MAX: u64 = 4_096;
/// Interval at which a run checks for readiness, due faults and due samples.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs an experiment and returns its results. If the run is part of a sweep, `varied` is the axis
/// to name in the summary row.
pub fn run_experiment(
    experiment: &Experiment,
    varied: Option<VariedAxis>,
    paths: RunPaths,
) -> Result<Results, RunError> {
    std::fs::create_dir_all(paths.folder)?;
    rlimit::increase_nofile_limit(experiment.worker_count() as u64 + OTHER_OPEN_FILES_MAX)?;
    let mut run = Run::start(experiment, paths)?;
    run.wait_until_ready()?;
    let measurement = run.run_load()?;
    Ok(report::collect_results(&run.outcome(&measurement), varied))
}

/// The default folder for the files of a run: in `target/scale`, named after the experiment and the
/// process id.
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
    /// Time at which the load began, in milliseconds on the clock of the shared state.
    load_began_ms: u64,
}

impl<'a> Run<'a> {
    fn start(experiment: &'a Experiment, paths: RunPaths) -> Result<Self, RunError> {
        let shared = Arc::new(SharedState::new(build_checker(experiment)));
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

    /// Waits until each cell has a leader and a healthy controller, and all its workers have
    /// joined.
    fn wait_until_ready(&self) -> Result<(), RunError> {
        let began = Instant::now();
        let cells = self.installation.cells.iter();
        for (cell, planned) in cells.zip(&self.experiment.cells) {
            loop {
                let sample = cell.sample()?;
                let has_leader = sample.leader.is_some() && sample.healthy_controllers > 0;
                if has_leader && sample.joined_workers >= planned.workers {
                    break;
                }
                if began.elapsed().as_secs_f64() > READY_TIMEOUT_S {
                    return Err(RunError::NotReady(cell.name.clone()));
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        let after_s = began.elapsed().as_secs_f64();
        info!("all cells ready, after_s={after_s:.1}");
        Ok(())
    }

    /// Generates the load and injects the faults until the experiment ends.
    fn run_load(&mut self) -> Result<Measurement, RunError> {
        for cell in &self.installation.cells {
            cell.send(Command::StartLoad);
        }
        let began = Instant::now();
        self.load_began_ms = self.shared.now_ms();
        let phases = &self.experiment.phases;
        let measure_from_s = phases.ramp_s + phases.warmup_s;
        let measure_to_s = measure_from_s + phases.measure_s;
        let (mut start, mut end): (Option<Snapshot>, Option<Snapshot>) = (None, None);
        loop {
            std::thread::sleep(POLL_INTERVAL);
            let at_s = began.elapsed().as_secs_f64();
            self.apply_due_events(at_s, measure_to_s)?;
            if start.is_none() && at_s >= measure_from_s {
                start = Some(self.take_snapshot()?);
            }
            if end.is_none() && at_s >= measure_to_s {
                end = Some(self.take_snapshot()?);
            }
            if !self.sampler.advance_if_due(at_s) {
                continue;
            }
            let open_jobs = self.take_sample(at_s)?;
            let has_ended = at_s >= phases.total_s() || open_jobs == 0;
            if has_ended
                && end.is_some()
                && let (Some(start), Some(end)) = (start.take(), end.take())
            {
                return Ok(Measurement { start, end });
            }
        }
    }

    /// Injects the faults that are due, and makes the limit changes that are due before
    /// `changes_end_s`. Times are in seconds from the start of the load.
    fn apply_due_events(&mut self, at_s: f64, changes_end_s: f64) -> Result<(), RunError> {
        self.faults
            .inject_due(at_s, &mut self.installation, &self.shared)?;
        if at_s < changes_end_s {
            let cells = &self.installation.cells;
            self.limit_changes
                .apply_due(at_s, self.experiment, cells, &self.shared);
        }
        Ok(())
    }

    fn take_snapshot(&self) -> Result<Snapshot, RunError> {
        Snapshot::take(&self.installation, &self.shared)
    }

    /// Samples all cells and processes, and restarts crashed controllers. Returns the number of
    /// batch and urgent jobs that haven't ended.
    fn take_sample(&mut self, at_s: f64) -> Result<usize, RunError> {
        let cells = self.installation.sample_cells()?;
        let starts = self.shared.checker().start_count;
        let open_jobs = self.sampler.record(at_s, starts, &cells);
        self.installation.restart_crashed()?;
        let memory_mb = self.installation.resident_memory_mb();
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

/// Builds the checker for all cells, with the teams' limits.
fn build_checker(experiment: &Experiment) -> Checker {
    // Cells that share limits apply a team's limit to all cells together. Otherwise each cell
    // applies it separately, so that the team can use a multiple of it in total.
    let limit_factor = match &experiment.sharing {
        Some(_) => 1.0,
        None => experiment.cells.len() as f64,
    };
    let [cpus, gpus] = experiment.load.team_limit;
    let limits = (0..experiment.load.teams)
        .map(|team| (team_name(team), (cpus * limit_factor, gpus * limit_factor)));
    let cancel_ms = (experiment.service.cancel_s * 1000.0) as u64;
    Checker::new(cancel_ms, limits.collect())
}
