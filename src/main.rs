//! The program: arguments, logging, exit codes. Everything else is in the library.

#![warn(missing_docs)]

use clap::Parser;
use log::warn;
use salttrestle::settings::Settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// A scheduler for rented fleets that serve language models.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The settings file that the platform hands over (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Operators' settings that override the embedded defaults.
    #[arg(long, value_name = "FILE")]
    properties: Option<PathBuf>,
    /// The cells that share team limits with this one.
    #[arg(long, value_name = "FILE")]
    cells: Option<PathBuf>,
    /// Check all files and exit.
    #[arg(long)]
    check: bool,
}

/// The exit code for bad arguments and settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// A flag that SIGTERM and SIGINT raise. Where handlers can't be registered, the process can only be
/// killed.
fn termination_flag() -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        if let Err(error) = signal_hook::flag::register(signal, flag.clone()) {
            warn!("signal handler isn't registered: signal={signal} reason={error}");
        }
    }
    flag
}

/// Logs to standard error, at the level that `LOG_LEVEL` names.
fn start_logging() {
    let filter = env_logger::Env::new().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(filter)
        .format_target(false)
        .init();
}

fn main() -> ExitCode {
    let args = Args::parse();
    start_logging();
    let settings = match Settings::load(
        &args.config,
        args.properties.as_deref(),
        args.cells.as_deref(),
    ) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("salttrestle: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if args.check {
        println!("settings are good");
        return ExitCode::SUCCESS;
    }
    let incarnation = rand::random();
    match salttrestle::net::run(settings, incarnation, termination_flag()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("salttrestle: {error}");
            ExitCode::FAILURE
        }
    }
}
