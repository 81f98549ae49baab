//! The program: arguments, logging, exit codes. Everything else is in the library.

use clap::{Parser, Subcommand};
use salttrestle_scale::capacity::{SlopeTable, with_computed};
use salttrestle_scale::controllers::{RunPaths, find_program};
use salttrestle_scale::experiment::{EMBEDDED, EMBEDDED_TAKEOVERS, Experiment};
use salttrestle_scale::results::{Results, Row};
use salttrestle_scale::run::{default_folder, play};
use salttrestle_scale::sweep::Sweep;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// A rule was broken or an aim missed.
const MISSED: u8 = 1;
/// What was asked for can't be played.
const REFUSED: u8 = 2;

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
    let done = match arguments
        .command
        .unwrap_or(Action::Run(RunArguments::default()))
    {
        Action::Run(arguments) => run(&arguments),
        Action::Takeovers(arguments) => takeovers(&arguments),
        Action::Sweep(arguments) => sweep(&arguments),
        Action::Fit(arguments) => fit(&arguments),
        Action::Capacity(arguments) => capacity(&arguments),
    };
    done.unwrap_or_else(|error| {
        eprintln!("salttrestle-scale: {error}");
        ExitCode::from(REFUSED)
    })
}

fn read(path: &Path) -> Result<String, Box<dyn Error>> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: (file): {e}", path.display()).into())
}

fn run(arguments: &RunArguments) -> Result<ExitCode, Box<dyn Error>> {
    let experiment = match &arguments.experiment {
        None => Experiment::parse("(embedded)", EMBEDDED)?,
        Some(path) => read_experiment(path)?,
    };
    play_and_print(&experiment, arguments)
}

fn takeovers(arguments: &TakeoverArguments) -> Result<ExitCode, Box<dyn Error>> {
    let mut experiment = match &arguments.run.experiment {
        None => Experiment::parse("(embedded)", EMBEDDED_TAKEOVERS)?,
        Some(path) => read_experiment(path)?,
    };
    let plan = experiment.takeovers.as_mut();
    let plan = plan.ok_or("the experiment has no takeovers")?;
    if arguments.without_standby {
        plan.standby = false;
        experiment.name += "-without-standby";
    }
    play_and_print(&experiment, &arguments.run)
}

fn play_and_print(
    experiment: &Experiment,
    arguments: &RunArguments,
) -> Result<ExitCode, Box<dyn Error>> {
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
        false => ExitCode::from(MISSED),
    })
}

fn read_experiment(path: &Path) -> Result<Experiment, Box<dyn Error>> {
    Ok(Experiment::parse(
        &path.display().to_string(),
        &read(path)?,
    )?)
}

fn sweep(arguments: &SweepArguments) -> Result<ExitCode, Box<dyn Error>> {
    let base = read_experiment(&arguments.experiment)?;
    let file = arguments.sweep.display().to_string();
    let sweep = Sweep::parse(&file, &read(&arguments.sweep)?, &base)?;
    let program = find_program(arguments.controller.as_deref())?;
    let rows = sweep.play(&base, &program, &arguments.out);
    let table = SlopeTable::from_rows(&arguments.sources, &base, &rows);
    let lines = Results { rows }.json_lines();
    std::fs::create_dir_all(&arguments.out)?;
    std::fs::write(arguments.out.join("runs.jsonl"), lines)?;
    write_lines(&table, &arguments.out.join("slopes.json"))
}

fn fit(arguments: &FitArguments) -> Result<ExitCode, Box<dyn Error>> {
    let base = read_experiment(&arguments.experiment)?;
    let text = read(&arguments.runs)?;
    let rows = text.lines().map(serde_json::from_str);
    let rows = rows.collect::<Result<Vec<Row>, _>>()?;
    let table = SlopeTable::from_rows(&arguments.sources, &base, &rows);
    write_lines(&table, &arguments.out)
}

fn write_lines(table: &SlopeTable, to: &Path) -> Result<ExitCode, Box<dyn Error>> {
    std::fs::write(to, serde_json::to_string_pretty(table)? + "\n")?;
    println!("{}", table.page());
    println!("lines: {}", to.display());
    Ok(ExitCode::SUCCESS)
}

fn capacity(arguments: &CapacityArguments) -> Result<ExitCode, Box<dyn Error>> {
    let table: SlopeTable = serde_json::from_str(&read(&arguments.slopes)?)?;
    let page = read(&arguments.page)?;
    let anew = with_computed(&page, &table).ok_or("the page has no computed part")?;
    if arguments.write {
        std::fs::write(&arguments.page, anew)?;
        return Ok(ExitCode::SUCCESS);
    }
    Ok(match anew == page {
        true => ExitCode::SUCCESS,
        false => {
            eprintln!(
                "{}: doesn't follow from the lines",
                arguments.page.display()
            );
            ExitCode::from(MISSED)
        }
    })
}
