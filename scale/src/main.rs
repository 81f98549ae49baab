//! The program: arguments, logging and exit codes. All else is in the library.

use clap::{Parser, Subcommand};
use salttrestle_scale::capacity::{SlopeTable, with_computed};
use salttrestle_scale::controllers::{RunPaths, find_program};
use salttrestle_scale::experiment::{EMBEDDED, EMBEDDED_TAKEOVERS, Experiment, ExperimentError};
use salttrestle_scale::results::{Results, Row};
use salttrestle_scale::run::{RunError, default_folder, play};
use salttrestle_scale::sweep::Sweep;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use tracing_subscriber::EnvFilter;

/// Exit code: a rule was violated, an objective missed, or a page is out of date.
const FAILED: u8 = 1;
/// Exit code: the command couldn't be carried out.
const REFUSED: u8 = 2;

/// Why a command couldn't be carried out.
#[derive(Debug, Error)]
enum CommandError {
    /// A named file can't be read.
    #[error("{}: (file): {error}", path.display())]
    Read { path: PathBuf, error: io::Error },
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("the experiment has no takeovers")]
    NoTakeovers,
    #[error("the page has no computed part")]
    NoComputedPart,
}

/// Plays salttrestle's controllers at scale against hollow workers, and measures them.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Action>,
}

#[derive(Subcommand)]
enum Action {
    /// Play an experiment; without one, a small fleet whose leading controller is killed.
    Run(RunArguments),
    /// End the leader again and again, and measure what that costs.
    Takeovers(TakeoverArguments),
    /// Play an experiment again and again with one count after another varied, and fit a line for
    /// each cost.
    Sweep(SweepArguments),
    /// Fit the lines anew to the runs that a sweep left.
    Fit(FitArguments),
    /// Check, or make anew, the part of the capacity page that follows from the lines.
    Capacity(CapacityArguments),
}

#[derive(clap::Args)]
struct SweepArguments {
    /// The experiment that is varied (TOML).
    experiment: PathBuf,
    /// What is varied (TOML).
    sweep: PathBuf,
    /// The service's program; the one beside this program if it isn't named.
    #[arg(long, value_name = "FILE")]
    controller: Option<PathBuf>,
    /// Where settings, logs and results are left.
    #[arg(long, value_name = "FOLDER")]
    out: PathBuf,
    /// What the sources are called in the table.
    #[arg(long)]
    sources: String,
}

#[derive(clap::Args)]
struct FitArguments {
    /// The experiment that was varied (TOML).
    experiment: PathBuf,
    /// The runs (JSON lines).
    runs: PathBuf,
    /// What the sources are called in the table.
    #[arg(long)]
    sources: String,
    /// Where the lines are written (JSON).
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
}

#[derive(clap::Args)]
struct CapacityArguments {
    /// The lines, as a sweep left them (JSON).
    slopes: PathBuf,
    /// The page.
    page: PathBuf,
    /// Write the page anew instead of checking it.
    #[arg(long)]
    write: bool,
}

#[derive(clap::Args)]
struct TakeoverArguments {
    #[command(flatten)]
    run: RunArguments,
    /// Switch the standby off, to compare.
    #[arg(long)]
    without_standby: bool,
}

#[derive(clap::Args, Default)]
struct RunArguments {
    /// The experiment (TOML).
    experiment: Option<PathBuf>,
    /// The service's program; the one beside this program if it isn't named.
    #[arg(long, value_name = "FILE")]
    controller: Option<PathBuf>,
    /// Where settings, logs and results are left.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = EnvFilter::try_from_env("LOG_LEVEL").unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().with_env_filter(filter);
    log.with_writer(std::io::stderr).with_target(false).init();
    let command = arguments.command;
    let executed = match command.unwrap_or(Action::Run(RunArguments::default())) {
        Action::Run(arguments) => run(&arguments),
        Action::Takeovers(arguments) => takeovers(&arguments),
        Action::Sweep(arguments) => sweep(&arguments),
        Action::Fit(arguments) => fit(&arguments),
        Action::Capacity(arguments) => capacity(&arguments),
    };
    executed.unwrap_or_else(|error| {
        eprintln!("salttrestle-scale: {error}");
        ExitCode::from(REFUSED)
    })
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::Read {
        path: path.into(),
        error,
    })
}

fn run(arguments: &RunArguments) -> Result<ExitCode, CommandError> {
    let experiment = match &arguments.experiment {
        None => Experiment::parse("(embedded)", EMBEDDED)?,
        Some(path) => read_experiment(path)?,
    };
    play_and_print(&experiment, arguments)
}

fn takeovers(arguments: &TakeoverArguments) -> Result<ExitCode, CommandError> {
    let mut experiment = match &arguments.run.experiment {
        None => Experiment::parse("(embedded)", EMBEDDED_TAKEOVERS)?,
        Some(path) => read_experiment(path)?,
    };
    let takeovers = experiment.takeovers.as_mut();
    let takeovers = takeovers.ok_or(CommandError::NoTakeovers)?;
    if arguments.without_standby {
        takeovers.standby = false;
        experiment.name += "-without-standby";
    }
    play_and_print(&experiment, &arguments.run)
}

fn play_and_print(
    experiment: &Experiment,
    arguments: &RunArguments,
) -> Result<ExitCode, CommandError> {
    let program = find_program(arguments.controller.as_deref())?;
    let folder = arguments.out.clone();
    let folder = folder.unwrap_or_else(|| default_folder(&experiment.name));
    let paths = RunPaths {
        program: &program,
        folder: &folder,
    };
    let results = play(experiment, None, paths)?;
    let lines = folder.join("results.jsonl");
    std::fs::write(&lines, results.json_lines())?;
    print!("{}", results.table());
    println!("results: {}", lines.display());
    Ok(match results.passed() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(FAILED),
    })
}

fn read_experiment(path: &Path) -> Result<Experiment, CommandError> {
    Ok(Experiment::parse(
        &path.display().to_string(),
        &read(path)?,
    )?)
}

fn sweep(arguments: &SweepArguments) -> Result<ExitCode, CommandError> {
    let base = read_experiment(&arguments.experiment)?;
    let file = arguments.sweep.display().to_string();
    let sweep = Sweep::parse(&file, &read(&arguments.sweep)?, &base)?;
    let program = find_program(arguments.controller.as_deref())?;
    let paths = RunPaths {
        program: &program,
        folder: &arguments.out,
    };
    let rows = sweep.play(&base, paths);
    let table = SlopeTable::from_rows(&arguments.sources, &base, &rows);
    let lines = Results { rows }.json_lines();
    std::fs::create_dir_all(&arguments.out)?;
    std::fs::write(arguments.out.join("runs.jsonl"), lines)?;
    write_lines(&table, &arguments.out.join("slopes.json"))
}

fn fit(arguments: &FitArguments) -> Result<ExitCode, CommandError> {
    let base = read_experiment(&arguments.experiment)?;
    let text = read(&arguments.runs)?;
    let rows = text.lines().map(serde_json::from_str);
    let rows = rows.collect::<Result<Vec<Row>, _>>()?;
    let table = SlopeTable::from_rows(&arguments.sources, &base, &rows);
    write_lines(&table, &arguments.out)
}

fn write_lines(table: &SlopeTable, to: &Path) -> Result<ExitCode, CommandError> {
    std::fs::write(to, serde_json::to_string_pretty(table)? + "\n")?;
    println!("{}", table.page());
    println!("lines: {}", to.display());
    Ok(ExitCode::SUCCESS)
}

fn capacity(arguments: &CapacityArguments) -> Result<ExitCode, CommandError> {
    let table: SlopeTable = serde_json::from_str(&read(&arguments.slopes)?)?;
    let page = read(&arguments.page)?;
    let updated = with_computed(&page, &table).ok_or(CommandError::NoComputedPart)?;
    if arguments.write {
        std::fs::write(&arguments.page, updated)?;
        return Ok(ExitCode::SUCCESS);
    }
    Ok(match updated == page {
        true => ExitCode::SUCCESS,
        false => {
            eprintln!(
                "{}: doesn't follow from the lines",
                arguments.page.display()
            );
            ExitCode::from(FAILED)
        }
    })
}
