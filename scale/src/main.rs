//! The `salttrestle-scale` program: command line arguments, logging and exit codes. The library
//! does the work.

use clap::{Parser, Subcommand};
use salttrestle_scale::capacity::{SlopeTable, replace_computed_section};
use salttrestle_scale::controllers::{RunPaths, find_program};
use salttrestle_scale::experiment::{
    EMBEDDED_EXPERIMENT, EMBEDDED_TAKEOVERS, Experiment, ExperimentError,
};
use salttrestle_scale::results::{Results, Row};
use salttrestle_scale::run::{RunError, default_folder, run_experiment};
use salttrestle_scale::sweep::Sweep;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use tracing_subscriber::EnvFilter;

/// Exit code if a rule was violated, an objective was missed, or the capacity page is out of date.
const EXIT_FAILED: u8 = 1;
/// Exit code if the command couldn't be carried out.
const EXIT_ERROR: u8 = 2;

/// The reason why a command couldn't be carried out.
#[derive(Debug, Error)]
enum CommandError {
    /// A file named in the arguments can't be read.
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
    #[error("the experiment has no [takeovers] section")]
    NoTakeovers,
    #[error("the page has no computed section")]
    NoComputedSection,
}

/// Runs salttrestle's controllers at scale against simulated workers, clouds, stores and users, and
/// measures them.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Action>,
}

#[derive(Subcommand)]
enum Action {
    /// Run an experiment. The default is a small fleet whose leader is killed once.
    Run(RunArguments),
    /// Kill, suspend or terminate the leader repeatedly, and measure how long each takeover takes.
    Takeovers(TakeoverArguments),
    /// Run an experiment repeatedly, varying one size at a time, and fit a line to each cost.
    Sweep(SweepArguments),
    /// Repeat the linear fits from the stored runs of a sweep.
    Fit(FitArguments),
    /// Check or update the section of the capacity page that is computed from the linear fits.
    Capacity(CapacityArguments),
}

#[derive(clap::Args)]
struct SweepArguments {
    /// The experiment to vary (TOML).
    experiment: PathBuf,
    /// The sweep: which sizes to vary, and their values (TOML).
    sweep: PathBuf,
    /// The controller's program. The default is `salttrestle` beside this program.
    #[arg(long, value_name = "FILE")]
    controller: Option<PathBuf>,
    /// Folder for settings, logs and results.
    #[arg(long = "out", value_name = "FOLDER")]
    output_folder: PathBuf,
    /// Name of the measured sources, as the capacity page shows it.
    #[arg(long)]
    sources: String,
}

#[derive(clap::Args)]
struct FitArguments {
    /// The experiment that the sweep varied (TOML).
    experiment: PathBuf,
    /// The stored runs of the sweep (JSON lines).
    runs: PathBuf,
    /// Name of the measured sources, as the capacity page shows it.
    #[arg(long)]
    sources: String,
    /// File to which the linear fits are written (JSON).
    #[arg(long = "out", value_name = "FILE")]
    output_file: PathBuf,
}

#[derive(clap::Args)]
struct CapacityArguments {
    /// The linear fits that a sweep has written (JSON).
    slopes: PathBuf,
    /// The capacity page (Markdown).
    page: PathBuf,
    /// Update the page instead of checking it.
    #[arg(long)]
    write: bool,
}

#[derive(clap::Args)]
struct TakeoverArguments {
    #[command(flatten)]
    run: RunArguments,
    /// Disable the warm standby, for comparison.
    #[arg(long)]
    without_standby: bool,
}

#[derive(clap::Args, Default)]
struct RunArguments {
    /// The experiment (TOML). The default is built into the program.
    experiment: Option<PathBuf>,
    /// The controller's program. The default is `salttrestle` beside this program.
    #[arg(long, value_name = "FILE")]
    controller: Option<PathBuf>,
    /// Folder for settings, logs and results. The default is in `target/scale`.
    #[arg(long = "out", value_name = "FOLDER")]
    output_folder: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = EnvFilter::try_from_env("LOG_LEVEL").unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt().with_env_filter(filter);
    log.with_writer(std::io::stderr).with_target(false).init();
    let command = arguments.command;
    let executed = match command.unwrap_or(Action::Run(RunArguments::default())) {
        Action::Run(arguments) => execute_run(&arguments),
        Action::Takeovers(arguments) => execute_takeovers(&arguments),
        Action::Sweep(arguments) => execute_sweep(&arguments),
        Action::Fit(arguments) => execute_fit(&arguments),
        Action::Capacity(arguments) => execute_capacity(&arguments),
    };
    executed.unwrap_or_else(|error| {
        eprintln!("salttrestle-scale: {error}");
        ExitCode::from(EXIT_ERROR)
    })
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::Read {
        path: path.into(),
        error,
    })
}

fn execute_run(arguments: &RunArguments) -> Result<ExitCode, CommandError> {
    let experiment = match &arguments.experiment {
        None => Experiment::parse("(embedded)", EMBEDDED_EXPERIMENT)?,
        Some(path) => read_experiment(path)?,
    };
    run_and_print(&experiment, arguments)
}

fn execute_takeovers(arguments: &TakeoverArguments) -> Result<ExitCode, CommandError> {
    let mut experiment = match &arguments.run.experiment {
        None => Experiment::parse("(embedded)", EMBEDDED_TAKEOVERS)?,
        Some(path) => read_experiment(path)?,
    };
    let takeovers = experiment.takeovers.as_mut();
    let takeovers = takeovers.ok_or(CommandError::NoTakeovers)?;
    if arguments.without_standby {
        takeovers.has_standby = false;
        experiment.name += "-without-standby";
    }
    run_and_print(&experiment, &arguments.run)
}

fn run_and_print(
    experiment: &Experiment,
    arguments: &RunArguments,
) -> Result<ExitCode, CommandError> {
    let program = find_program(arguments.controller.as_deref())?;
    let folder = arguments.output_folder.clone();
    let folder = folder.unwrap_or_else(|| default_folder(&experiment.name));
    let paths = RunPaths {
        program: &program,
        folder: &folder,
    };
    let results = run_experiment(experiment, None, paths)?;
    let results_file = folder.join("results.jsonl");
    std::fs::write(&results_file, results.to_json_lines())?;
    print!("{}", results.to_table());
    println!("results: {}", results_file.display());
    Ok(match results.has_passed() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_FAILED),
    })
}

fn read_experiment(path: &Path) -> Result<Experiment, CommandError> {
    Ok(Experiment::parse(
        &path.display().to_string(),
        &read_file(path)?,
    )?)
}

fn execute_sweep(arguments: &SweepArguments) -> Result<ExitCode, CommandError> {
    let base = read_experiment(&arguments.experiment)?;
    let file = arguments.sweep.display().to_string();
    let sweep = Sweep::parse(&file, &read_file(&arguments.sweep)?, &base)?;
    let program = find_program(arguments.controller.as_deref())?;
    let paths = RunPaths {
        program: &program,
        folder: &arguments.output_folder,
    };
    let rows = sweep.execute(&base, paths);
    let table = SlopeTable::from_rows(&arguments.sources, &base, &rows);
    let lines = Results { rows }.to_json_lines();
    std::fs::create_dir_all(&arguments.output_folder)?;
    std::fs::write(arguments.output_folder.join("runs.jsonl"), lines)?;
    write_fits(&table, &arguments.output_folder.join("slopes.json"))
}

fn execute_fit(arguments: &FitArguments) -> Result<ExitCode, CommandError> {
    let base = read_experiment(&arguments.experiment)?;
    let text = read_file(&arguments.runs)?;
    let rows = text.lines().map(serde_json::from_str);
    let rows = rows.collect::<Result<Vec<Row>, _>>()?;
    let table = SlopeTable::from_rows(&arguments.sources, &base, &rows);
    write_fits(&table, &arguments.output_file)
}

fn write_fits(table: &SlopeTable, path: &Path) -> Result<ExitCode, CommandError> {
    std::fs::write(path, serde_json::to_string_pretty(table)? + "\n")?;
    println!("{}", table.computed_section());
    println!("linear fits: {}", path.display());
    Ok(ExitCode::SUCCESS)
}

fn execute_capacity(arguments: &CapacityArguments) -> Result<ExitCode, CommandError> {
    let table: SlopeTable = serde_json::from_str(&read_file(&arguments.slopes)?)?;
    let page = read_file(&arguments.page)?;
    let updated = replace_computed_section(&page, &table).ok_or(CommandError::NoComputedSection)?;
    if arguments.write {
        std::fs::write(&arguments.page, updated)?;
        return Ok(ExitCode::SUCCESS);
    }
    Ok(match updated == page {
        true => ExitCode::SUCCESS,
        false => {
            eprintln!(
                "{}: computed section is out of date; run with --write to update it",
                arguments.page.display()
            );
            ExitCode::from(EXIT_FAILED)
        }
    })
}
