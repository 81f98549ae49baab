//! The command-line program: arguments, logging and exit codes. Everything else is in the library.

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
    /// Settings provided by the platform (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Operators' settings, which override the built-in defaults.
    #[arg(long, value_name = "FILE")]
    properties: Option<PathBuf>,
    /// The cells that share team limits with this one, and the addresses of their controllers.
    #[arg(long, value_name = "FILE")]
    cells: Option<PathBuf>,
    /// Check all settings files and exit.
    #[arg(long)]
    check: bool,
}

/// The exit code for invalid settings. The argument parser exits with the same code.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Returns a flag that SIGTERM and SIGINT set. If a handler can't be registered, its signal ends
/// the process at once, without a handover.
fn register_termination_flag() -> Arc<AtomicBool> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        if let Err(error) = signal_hook::flag::register(signal, flag.clone()) {
            warn!("signal handler isn't registered, signal={signal} reason={error}");
        }
    }
    flag
}

/// Initializes logging to standard error at the level that the environment variable `LOG_LEVEL`
/// sets, `info` by default.
fn init_logging() {
    let filter = env_logger::Env::new().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(filter)
        .format_target(false)
        .init();
}

fn main() -> ExitCode {
    let args = Args::parse();
    init_logging();
    let settings = match Settings::load(
        &args.config,
        args.properties.as_deref(),
        args.cells.as_deref(),
    ) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("salttrestle: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("settings are good");
        return ExitCode::SUCCESS;
    }
    let incarnation = rand::random();
    match salttrestle::net::run(settings, incarnation, register_termination_flag()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("salttrestle: {error}");
            ExitCode::FAILURE
        }
    }
}
