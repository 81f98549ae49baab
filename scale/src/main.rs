//! The program: arguments, logging, exit codes. Everything else is in the library.

use clap::{Parser, Subcommand};
use salttrestle_scale::controllers::find_program;
use salttrestle_scale::experiment::{EMBEDDED, Experiment};
use salttrestle_scale::run::{Places, default_folder, play};
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
        Some(path) => Experiment::parse(&path.display().to_string(), &read(path)?)?,
    };
    let program = find_program(arguments.controller.as_deref())?;
    let folder = arguments.out.clone();
    let folder = folder.unwrap_or_else(|| default_folder(&experiment.name));
    let places = Places {
        program: &program,
        folder: &folder,
    };
    let results = play(&experiment, None, &places)?;
    let lines = folder.join("results.jsonl");
    std::fs::write(&lines, results.json_lines())?;
    print!("{}", results.table());
    println!("results: {}", lines.display());
    Ok(match results.good() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(MISSED),
    })
}
