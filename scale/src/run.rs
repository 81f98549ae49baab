//! One run: starts everything, plays the load and the troubles, measures, judges, ends everything.

use crate::controllers::{Controller, RunPaths, Termination};
use crate::experiment::{ControllerRole, Experiment, Fault, FaultKind, LeaderEnd, MEMORY_MAX_MB};
use crate::hollow::{CellPlan, CellSample, Command, HollowCell, Shared, Traffic};
use crate::layout::{CellAddresses, ControllerIndex, home_cell, team_name};
use crate::link_proxy::{Direction, LinkProxy, PartitionKind};
use crate::procfs::{CpuTime, process_cpu, process_files, process_memory};
use crate::results::{
    HollowRow, LateJobRow, LatencyRow, ProcessRow, Results, Row, RunRow, SampleRow, StoreRow,
    TrafficRow,
};
use crate::takeover_schedule::TakeoverSchedule;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use salttrestle_fakes::checker::{Checker, JobView};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::{info, warn};

/// Files that are open besides the connections of workers.
const OTHER_FILES: u64 = 4_096;
/// How long the cells may take to come up, in seconds.
const READY_S: f64 = 60.0;
/// Between two looks at how things stand.
const LOOK: Duration = Duration::from_millis(100);
/// Between two samples, in seconds.
const SAMPLE_S: f64 = 1.0;
/// How long a cell may take to say how it stands.
const SAMPLE_WAIT: Duration = Duration::from_secs(20);
/// Broken rules that are named in the results.
const BROKEN_MAX: usize = 20;

/// Why a run couldn't be played.
#[derive(Debug, Error)]
pub enum RunError {
    /// Something of the system's failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A cell didn't come up.
    #[error("cell {0} didn't come up within {READY_S} s")]
    NotReady(String),
    /// A cell's hollow side has ended or hangs.
    #[error("the hollow side of cell {0} doesn't answer")]
    HollowLost(String),
    /// The run took more memory than it may.
    #[error("the run takes {0:.0} MiB of memory, more than {MEMORY_MAX_MB}")]
    TooMuchMemory(f64),
}

struct Cell {
    name: String,
    commands: Sender<Command>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Cell {
    fn sample(&self) -> Result<CellSample, RunError> {
        let (to, from) = channel();
        let lost = || RunError::HollowLost(self.name.clone());
        self.commands
            .send(Command::Sample(to))
            .map_err(|_| lost())?;
        from.recv_timeout(SAMPLE_WAIT).map_err(|_| lost())
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Which process a controller was, and what it had used; `None` while it was down.
type ProcessTime = Option<(u32, CpuTime)>;

/// How all processes stood at one moment.
struct Mark {
    at: Instant,
    cells: Vec<CellSample>,
    cpu: Vec<ProcessTime>,
    starts: u64,
}

/// A run under way.
struct Run<'a> {
    experiment: &'a Experiment,
    shared: Arc<Shared>,
    // The controllers end first: their connections close before the hollow side does.
    controllers: Vec<Controller>,
    cells: Vec<Cell>,
    /// Controllers to start again, and those to let go on, by when.
    restarts: Vec<(Instant, usize)>,
    resumes: Vec<(Instant, usize)>,
    seconds: Vec<SampleRow>,
    self_ended: Vec<String>,
    links: LinkProxy,
    rng: StdRng,
    load_from_ms: u64,
    /// Controllers that were told to end and didn't.
    disobeyed: Vec<String>,
}

/// Plays an experiment.
pub fn play(
    experiment: &Experiment,
    varied: Option<(String, f64)>,
    paths: RunPaths,
) -> Result<Results, RunError> {
    std::fs::create_dir_all(paths.folder)?;
    let wanted = experiment.workers() as u64 + OTHER_FILES;
    rlimit::increase_nofile_limit(wanted)?;
    let mut run = Run::start(experiment, paths)?;
    run.wait_until_ready()?;
    let (from, to) = run.play_load()?;
    Ok(run.results(varied, &from, &to))
}

impl<'a> Run<'a> {
    fn start(experiment: &'a Experiment, paths: RunPaths) -> Result<Self, RunError> {
        // Cells that share limits have one for all of them together.
        let cells = match &experiment.sharing {
            Some(_) => 1.0,
            None => experiment.cells.len() as f64,
        };
        let limit = experiment.load.team_limit;
        let limits = (0..experiment.load.teams)
            .map(|team| (team_name(team), (limit[0] * cells, limit[1] * cells)));
        let limits: BTreeMap<String, (f64, f64)> = limits.collect();
        let cancel_ms = (experiment.service.cancel_s * 1000.0) as u64;
        let shared = Arc::new(Shared::new(Checker::new(cancel_ms, limits)));
        let mut run = Self {
            experiment,
            shared: shared.clone(),
            cells: Vec::new(),
            controllers: Vec::new(),
            restarts: Vec::new(),
            resumes: Vec::new(),
            seconds: Vec::new(),
            self_ended: Vec::new(),
            links: LinkProxy::default(),
            rng: StdRng::seed_from_u64(experiment.seed),
            load_from_ms: 0,
            disobeyed: Vec::new(),
        };
        let all = CellAddresses::of_cells(experiment);
        if experiment.sharing.is_some() {
            run.join_cells(&all)?;
        }
        for (index, cell) in experiment.cells.iter().enumerate() {
            let plan = Arc::new(CellPlan::new(experiment, index, all[index].clone()));
            run.cells.push(start_cell(plan, shared.clone())?);
            for n in 0..cell.controllers {
                let at = ControllerIndex {
                    cell: index,
                    controller: n,
                };
                let prepared = Controller::prepare(experiment, at, &all, paths)?;
                run.controllers.push(prepared);
            }
        }
        for controller in &mut run.controllers {
            controller.start()?;
        }
        Ok(run)
    }

    /// Carries the messages between cells.
    fn join_cells(&mut self, all: &[CellAddresses]) -> Result<(), RunError> {
        for from in 0..all.len() {
            for (to, addresses) in all.iter().enumerate().filter(|(to, _)| *to != from) {
                for (n, target) in addresses.links.iter().enumerate() {
                    let listen = addresses.proxy(from, n);
                    self.links
                        .forward(Direction { from, to }, listen, *target)?;
                }
            }
        }
        Ok(())
    }

    fn wait_until_ready(&mut self) -> Result<(), RunError> {
        let began = Instant::now();
        for (cell, plan) in self.cells.iter().zip(&self.experiment.cells) {
            loop {
                let sample = cell.sample()?;
                let led = sample.leader.is_some() && sample.healthy > 0;
                if led && sample.joined >= plan.workers {
                    break;
                }
                if began.elapsed().as_secs_f64() > READY_S {
                    return Err(RunError::NotReady(cell.name.clone()));
                }
                std::thread::sleep(LOOK);
            }
        }
        info!("ready after {:.1} s", began.elapsed().as_secs_f64());
        Ok(())
    }

    /// Plays the load and the troubles; hands out the marks between which was measured.
    fn play_load(&mut self) -> Result<(Mark, Mark), RunError> {
        let phases = &self.experiment.phases;
        for cell in &self.cells {
            let _ = cell.commands.send(Command::BeginLoad);
        }
        let began = Instant::now();
        self.load_from_ms = self.shared.now_ms();
        let measure_from = phases.ramp_s + phases.warmup_s;
        let measure_to = measure_from + phases.measure_s;
        let mut faults: Vec<&Fault> = self.experiment.faults.iter().collect();
        let mut next_sample = SAMPLE_S;
        let changes_per_s = self
            .experiment
            .sharing
            .as_ref()
            .map_or(0.0, |s| s.changes_per_s);
        let mut next_change = phases.ramp_s;
        let plan = self.experiment.takeovers.as_ref();
        let mut ends =
            plan.map(|plan| TakeoverSchedule::new(plan, self.experiment.seed, measure_from));
        let (mut from, mut to): (Option<Mark>, Option<Mark>) = (None, None);
        loop {
            std::thread::sleep(LOOK);
            let at_s = began.elapsed().as_secs_f64();
            let due = |fault: &&Fault| at_s >= fault.at_s;
            for fault in faults.extract_if(.., |fault| due(fault)) {
                self.strike(fault)?;
            }
            self.bring_back()?;
            if let Some(kind) = ends.as_mut().and_then(|ends| ends.next_due(at_s)) {
                self.end_leader(kind)?;
            }
            while changes_per_s > 0.0 && at_s >= next_change && at_s < measure_to {
                next_change += 1.0 / changes_per_s;
                self.change_limit();
            }
            if from.is_none() && at_s >= measure_from {
                from = Some(self.mark()?);
            }
            if to.is_none() && at_s >= measure_to {
                to = Some(self.mark()?);
            }
            if at_s >= next_sample {
                next_sample += SAMPLE_S;
                let open = self.second(at_s)?;
                let over = at_s >= phases.total_s() || open == 0;
                if over
                    && to.is_some()
                    && let (Some(from), Some(to)) = (from.take(), to.take())
                {
                    return Ok((from, to));
                }
            }
        }
    }

    fn mark(&self) -> Result<Mark, RunError> {
        let cells = self.cells.iter().map(Cell::sample);
        let cpu = self.controllers.iter().map(|c| {
            let pid = c.pid()?;
            Some((pid, process_cpu(pid)?))
        });
        Ok(Mark {
            at: Instant::now(),
            cpu: cpu.collect(),
            cells: cells.collect::<Result<_, _>>()?,
            starts: self.shared.checker().starts,
        })
    }

    /// Notes how things stand; hands out how many batch jobs are open.
    fn second(&mut self, at_s: f64) -> Result<usize, RunError> {
        let samples: Vec<CellSample> = self
            .cells
            .iter()
            .map(Cell::sample)
            .collect::<Result<_, _>>()?;
        let sum = |f: fn(&CellSample) -> usize| samples.iter().map(f).sum::<usize>();
        let changes: u64 = samples.iter().map(|s| s.state.changes).sum();
        let starts = self.shared.checker().starts;
        let before = self.seconds.iter().fold((0, 0), |(starts, changes), s| {
            (starts + s.starts, changes + s.changes)
        });
        let second = SampleRow {
            at_s,
            starts: starts - before.0,
            tasks: sum(|s| s.tasks),
            workers: sum(|s| s.workers),
            changes: changes - before.1,
        };
        info!(
            "{at_s:.0} s: {} workers, {} tasks, {} starts/s, {} changes/s, {} batch jobs open",
            second.workers,
            second.tasks,
            second.starts,
            second.changes,
            sum(|s| s.open_batch),
        );
        self.seconds.push(second);
        self.check_processes()?;
        Ok(sum(|s| s.open_batch))
    }

    fn check_processes(&mut self) -> Result<(), RunError> {
        for controller in &mut self.controllers {
            if controller.has_crashed() {
                warn!("{} has ended by itself", controller.id);
                self.self_ended.push(controller.id.clone());
                controller.kill();
                controller.start()?;
            }
        }
        let pids = self.controllers.iter().filter_map(Controller::pid);
        let pids = pids.chain([std::process::id()]);
        let memory: f64 = pids
            .filter_map(process_memory)
            .map(|memory| memory.resident_mb)
            .sum();
        if memory > MEMORY_MAX_MB {
            return Err(RunError::TooMuchMemory(memory));
        }
        Ok(())
    }

    fn strike(&mut self, fault: &Fault) -> Result<(), RunError> {
        let Some(cell) = self.cells.iter().position(|c| c.name == fault.cell) else {
            return Ok(());
        };
        info!("fault in {}: {:?}", fault.cell, fault.kind);
        let after = |s: f64| Instant::now() + Duration::from_secs_f64(s);
        let ms = |s: f64| (s * 1000.0) as u64;
        match &fault.kind {
            FaultKind::Kill { controller, down_s } => {
                if let Some(n) = self.find(cell, *controller)? {
                    self.controllers[n].kill();
                    self.restarts.push((after(*down_s), n));
                }
            }
            FaultKind::Pause { controller, for_s } => {
                if let Some(n) = self.find(cell, *controller)? {
                    self.controllers[n].suspend();
                    self.resumes.push((after(*for_s), n));
                }
            }
            FaultKind::MachinesLost {
                count,
                zone,
                over_s,
            } => self.tell(
                cell,
                Command::LoseMachines {
                    count: *count,
                    zone: zone.clone(),
                    over_ms: ms(*over_s),
                },
            ),
            FaultKind::LinkPartition {
                to,
                for_s,
                one_way,
                delayed,
            } => {
                let kind = match delayed {
                    true => PartitionKind::Delay,
                    false => PartitionKind::Drop,
                };
                let lasts = Duration::from_secs_f64(*for_s);
                self.cut_links(cell, to.as_ref(), lasts, *one_way, kind);
            }
            FaultKind::Load { factor } => self.tell(cell, Command::Load(*factor)),
            FaultKind::StoreOutage { for_s } => {
                self.tell(cell, Command::StateOutage(ms(*for_s)));
            }
        }
        Ok(())
    }

    fn end_leader(&mut self, kind: LeaderEnd) -> Result<(), RunError> {
        let Some(plan) = &self.experiment.takeovers else {
            return Ok(());
        };
        let Some(n) = self.find(0, ControllerRole::Leader)? else {
            warn!("nobody leads, and nobody is ended");
            return Ok(());
        };
        info!("{} ends: {kind:?}", self.controllers[n].id);
        let after = |s: f64| Instant::now() + Duration::from_secs_f64(s);
        self.shared
            .takeovers()
            .leader_ended(self.shared.now_ms(), kind);
        match kind {
            LeaderEnd::Kill => {
                self.controllers[n].kill();
                self.restarts.push((after(plan.down_s), n));
            }
            LeaderEnd::Pause => {
                self.controllers[n].suspend();
                self.resumes.push((after(plan.pause_s), n));
            }
            LeaderEnd::Terminate => {
                self.controllers[n].terminate();
                self.restarts.push((after(plan.down_s), n));
            }
        }
        Ok(())
    }

    /// An operator changes one team's limit, at its home.
    fn change_limit(&mut self) {
        let load = &self.experiment.load;
        let team = self.rng.random_range(0..load.teams);
        let times = f64::from(self.rng.random_range(4..=12)) / 8.0;
        let limit = load.team_limit.map(|most| (most * times).floor());
        let limit = (limit[0], limit[1]);
        let name = team_name(team);
        let now = self.shared.now_ms();
        let before = self
            .shared
            .checker()
            .limits
            .get(&name)
            .copied()
            .unwrap_or_default();
        self.shared
            .limits()
            .change_requested(now, &name, limit, before);
        self.tell(
            home_cell(self.experiment, team),
            Command::SetLimit(name, limit),
        );
    }

    fn cut_links(
        &self,
        cell: usize,
        to: Option<&String>,
        lasts: Duration,
        one_way: bool,
        kind: PartitionKind,
    ) {
        for (other, found) in self.cells.iter().enumerate() {
            if other != cell && to.is_none_or(|name| *name == found.name) {
                let (from, to) = (cell, other);
                self.links.partition(Direction { from, to }, kind, lasts);
                if !one_way {
                    let (from, to) = (other, cell);
                    self.links.partition(Direction { from, to }, kind, lasts);
                }
            }
        }
    }

    fn tell(&self, cell: usize, command: Command) {
        let _ = self.cells[cell].commands.send(command);
    }

    /// A cell's leader, or another of its controllers.
    fn find(&self, cell: usize, which: ControllerRole) -> Result<Option<usize>, RunError> {
        let leader = self.cells[cell].sample()?.leader;
        let mut here = self
            .controllers
            .iter()
            .enumerate()
            .filter(|(_, c)| c.cell == cell);
        let leads = |c: &Controller| Some(&c.id) == leader.as_ref();
        let found = match which {
            ControllerRole::Leader => here.find(|(_, c)| leads(c)),
            ControllerRole::Other => here.find(|(_, c)| !leads(c)),
        };
        Ok(found.map(|(n, _)| n))
    }

    fn bring_back(&mut self) -> Result<(), RunError> {
        let now = Instant::now();
        for (_, n) in self.restarts.extract_if(.., |(at, _)| now >= *at) {
            if self.controllers[n].restart()? == Termination::Ignored {
                self.disobeyed.push(self.controllers[n].id.clone());
            }
        }
        for (_, n) in self.resumes.extract_if(.., |(at, _)| now >= *at) {
            self.controllers[n].resume();
        }
        Ok(())
    }

    fn results(&self, varied: Option<(String, f64)>, from: &Mark, to: &Mark) -> Results {
        let window_s = to.at.duration_since(from.at).as_secs_f64();
        let mut rows = Vec::new();
        for (n, controller) in self.controllers.iter().enumerate() {
            let cell = &to.cells[controller.cell];
            rows.push(Row::Process(process_row(
                controller,
                &self.cells[controller.cell].name,
                cell.holder.as_ref() == Some(&controller.id),
                (from.cpu[n], to.cpu[n]),
                window_s,
            )));
        }
        for (n, cell) in self.cells.iter().enumerate() {
            rows.extend(cell_rows(
                &cell.name,
                &from.cells[n],
                &to.cells[n],
                window_s,
            ));
        }
        let checker = self.shared.checker();
        let since = |job: &JobView, at: Option<u64>| Some(at?.saturating_sub(job.submitted_at));
        for class in ["batch", "urgent", "standing"] {
            let jobs = || {
                checker
                    .jobs
                    .values()
                    .filter(move |j| j.record.class == class)
            };
            let accepted = jobs().filter_map(|j| since(j, j.accepted_at));
            rows.push(Row::Latency(LatencyRow::new(
                &format!("{class} accepted"),
                accepted,
            )));
            let started = jobs().filter_map(|j| since(j, j.first_start));
            rows.push(Row::Latency(LatencyRow::new(
                &format!("{class} started"),
                started,
            )));
        }
        rows.extend(self.shared.takeovers().result_rows());
        rows.extend(self.late_rows(&checker));
        rows.extend(self.seconds.iter().cloned().map(Row::Sample));
        drop(checker);
        if self.experiment.sharing.is_some() {
            let limits = self.shared.limits();
            let raised = limits.raised_ms.iter().copied();
            rows.push(Row::Latency(LatencyRow::new("limits raised", raised)));
            let lowered = limits.lowered_ms.iter().copied();
            rows.push(Row::Latency(LatencyRow::new("limits lowered", lowered)));
            info!(
                "{} changes of limits replaced before they were in force, {} not in force",
                limits.replaced,
                limits.pending()
            );
        }
        let mut run = self.run_row(from, to, window_s);
        (run.axis, run.value) = varied.unzip();
        rows.push(Row::Run(run));
        Results { rows }
    }

    /// The urgent jobs that started later than is aimed at.
    fn late_rows(&self, checker: &Checker) -> Vec<Row> {
        let Some(within_s) = self.experiment.objectives.urgent_within_s else {
            return Vec::new();
        };
        let seconds = |ms: u64| ms as f64 / 1000.0;
        let urgent = checker.jobs.iter().filter(|(_, j)| {
            let waited = j.first_start.map(|at| seconds(at - j.submitted_at));
            j.record.class == "urgent" && waited.is_none_or(|waited| waited > within_s)
        });
        let rows = urgent.map(|(id, j)| {
            Row::LateJob(LateJobRow {
                job: id.to_string(),
                team: j.record.team.clone(),
                at_s: seconds(j.submitted_at.saturating_sub(self.load_from_ms)),
                waited_s: j.first_start.map(|at| seconds(at - j.submitted_at)),
            })
        });
        rows.collect()
    }

    fn run_row(&self, from: &Mark, to: &Mark, window_s: f64) -> RunRow {
        let now = self.shared.now_ms();
        let last: Vec<CellSample> = self.cells.iter().filter_map(|c| c.sample().ok()).collect();
        let open: usize = last.iter().map(|s| s.open_batch).sum();
        let phases = &self.experiment.phases;
        let measured = (phases.ramp_s + phases.warmup_s)..=(phases.total_s() - phases.drain_s);
        let within = self.seconds.iter().filter(|s| measured.contains(&s.at_s));
        let tasks: Vec<f64> = within.map(|s| s.tasks as f64).collect();
        let mut checker = self.shared.checker();
        checker.check_cancelled(now);
        if open == 0 {
            checker.check_end(now);
        }
        let starts_per_s = (to.starts - from.starts) as f64 / window_s;
        let mut broken: Vec<String> = checker.broken.iter().take(BROKEN_MAX).cloned().collect();
        let ended = self
            .self_ended
            .iter()
            .map(|m| format!("{m} has ended by itself"));
        broken.extend(ended);
        let watch = self.shared.takeovers();
        let orders = &watch.orders;
        let wrong = orders.broken.iter().chain(&orders.duties.broken);
        broken.extend(wrong.take(BROKEN_MAX).cloned());
        info!("{} tasks were started again", orders.repeats.len());
        for repeat in orders.repeats.iter().take(BROKEN_MAX) {
            info!("started again: {repeat}");
        }
        drop(watch);
        RunRow {
            name: self.experiment.name.clone(),
            seed: self.experiment.seed,
            axis: None,
            value: None,
            cells: self.cells.len(),
            controllers: self.controllers.len(),
            workers: self.experiment.workers(),
            teams: self.experiment.load.teams,
            window_s,
            tasks: tasks.iter().sum::<f64>() / tasks.len().max(1) as f64,
            starts_per_s,
            starts_peak: self.seconds.iter().map(|s| s.starts).max().unwrap_or(0),
            starts: checker.starts,
            jobs: checker.jobs.len(),
            killed: last.iter().map(|s| s.killed).sum(),
            user_failures: last.iter().map(|s| s.user_failures).sum(),
            violations: broken,
            missed_objectives: self.missed_aims(&checker, open, starts_per_s),
        }
    }

    fn missed_aims(&self, checker: &Checker, open: usize, starts_per_s: f64) -> Vec<String> {
        let mut missed = missed_aims(self.experiment, checker, open, starts_per_s);
        missed.extend(self.missed_takeovers());
        let limits = self.shared.limits();
        let Some(within_s) = self.experiment.objectives.limits_within_s else {
            return missed;
        };
        for (what, times) in [
            ("raised", &limits.raised_ms),
            ("lowered", &limits.lowered_ms),
        ] {
            let p99 = LatencyRow::new(what, times.iter().copied()).p99;
            if p99 as f64 > within_s * 1000.0 {
                missed.push(format!("limits {what}: in force after {p99} ms at p99"));
            }
        }
        if limits.pending() > 0 {
            missed.push(format!(
                "{} changes of limits never came into force",
                limits.pending()
            ));
        }
        missed
    }
}

impl Run<'_> {
    fn missed_takeovers(&self) -> Vec<String> {
        let mut missed = Vec::new();
        let watch = self.shared.takeovers();
        if let Some(within_s) = self.experiment.objectives.takeover_within_s {
            let (late, all) = (watch.late(within_s), watch.rows.len());
            if late > 0 {
                missed.push(format!("{late} of {all} takeovers took over {within_s} s"));
            }
        }
        let disobeyed = self.disobeyed.iter();
        missed.extend(disobeyed.map(|m| format!("{m} was told to end and didn't")));
        missed
    }
}

fn start_cell(plan: Arc<CellPlan>, shared: Arc<Shared>) -> Result<Cell, RunError> {
    let (commands, receiver) = channel();
    let (ready, started) = channel();
    let name = plan.name.clone();
    // A cell's values aren't shared between threads, so its own thread makes them.
    let thread =
        std::thread::Builder::new()
            .name(name.clone())
            .spawn(move || match HollowCell::new(plan, shared, receiver) {
                Ok(cell) => {
                    let _ = ready.send(Ok(()));
                    cell.run()
                }
                Err(error) => {
                    let _ = ready.send(Err(error));
                    Ok(())
                }
            })?;
    let lost = || RunError::HollowLost(name.clone());
    started.recv().map_err(|_| lost())??;
    Ok(Cell {
        name,
        commands,
        thread: Some(thread),
    })
}

fn process_row(
    controller: &Controller,
    cell: &str,
    holder: bool,
    (from, to): (ProcessTime, ProcessTime),
    window_s: f64,
) -> ProcessRow {
    let used = match (from, to) {
        (Some((before, start)), Some((after, end))) if before == after => Some(end.since(start)),
        _ => None,
    };
    let cores = |f: fn(CpuTime) -> f64| used.map_or(0.0, |cpu| f(cpu) / window_s);
    let pid = controller.pid();
    ProcessRow {
        cell: cell.into(),
        controller_id: controller.id.clone(),
        owner: holder,
        user_cores: cores(|cpu| cpu.user_s),
        system_cores: cores(|cpu| cpu.system_s),
        memory_mb: pid
            .and_then(process_memory)
            .map_or(0.0, |memory| memory.peak_mb),
        files: pid.and_then(process_files).unwrap_or(0),
        restarted: used.is_none(),
    }
}

fn cell_rows(name: &str, from: &CellSample, to: &CellSample, window_s: f64) -> Vec<Row> {
    let state = to.state.since(from.state);
    let rate = |count: u64| count as f64 / window_s;
    let mut rows = vec![
        Row::Store(StoreRow {
            cell: name.into(),
            requests: rate(state.requests),
            watches: rate(state.follows),
            commits: rate(state.commits),
            changes: rate(state.changes),
            conflicts: rate(state.conflicts),
            rejected: rate(state.refused),
            keys: to.keys,
        }),
        Row::Hollow(HollowRow {
            cell: name.into(),
            cores: to.cpu.since(from.cpu).total_s() / window_s,
        }),
    ];
    let links = from.traffic.iter().zip(&to.traffic);
    rows.extend(links.map(|((link, before), (_, after))| {
        Row::Traffic(traffic_row(name, link, after.since(*before), window_s))
    }));
    rows
}

fn traffic_row(cell: &str, connection: &str, traffic: Traffic, window_s: f64) -> TrafficRow {
    let rate = |count: u64| count as f64 / window_s;
    TrafficRow {
        cell: cell.into(),
        connection: connection.into(),
        messages_in: rate(traffic.messages_in),
        messages_out: rate(traffic.messages_out),
        bytes_in: rate(traffic.bytes_in),
        bytes_out: rate(traffic.bytes_out),
    }
}

fn missed_aims(
    experiment: &Experiment,
    checker: &Checker,
    open: usize,
    starts_per_s: f64,
) -> Vec<String> {
    let (aims, load) = (&experiment.objectives, &experiment.load);
    let mut missed = Vec::new();
    if open > 0 {
        missed.push(format!("{open} batch jobs weren't over at the end"));
    }
    let asked = load.starts_per_s + load.urgent_per_s;
    if aims
        .starts_share
        .is_some_and(|share| starts_per_s < share * asked)
    {
        missed.push(format!("{starts_per_s:.1} of {asked:.1} starts a second"));
    }
    if let (Some(within_s), Some(share)) = (aims.urgent_within_s, aims.urgent_share) {
        let urgent = checker.jobs.values().filter(|j| j.record.class == "urgent");
        let wanted: Vec<&JobView> = urgent.filter(|j| j.cancel_asked.is_none()).collect();
        let prompt = |j: &&&JobView| {
            let started = j.first_start.map(|at| at - j.submitted_at);
            started.is_some_and(|ms| ms as f64 <= within_s * 1000.0)
        };
        let in_time = wanted.iter().filter(prompt).count();
        if (in_time as f64) < share * wanted.len() as f64 {
            let all = wanted.len();
            missed.push(format!(
                "{in_time} of {all} urgent jobs started within {within_s} s"
            ));
        }
    }
    missed
}

/// The folder for a run's files beside the built programs.
pub fn default_folder(name: &str) -> PathBuf {
    let id = std::process::id();
    PathBuf::from("target")
        .join("scale")
        .join(format!("{name}-{id}"))
}
