//! Runs experiments with the controller program that was built together with the tests.

use salttrestle_scale::controllers::{RunPaths, find_program};
use salttrestle_scale::experiment::Experiment;
use salttrestle_scale::results::Results;
use salttrestle_scale::run::run_experiment;
use std::path::Path;

/// Runs an experiment, and asserts that it violates no rule and misses no objective. The run's
/// files are in the named folder of the tests' temporary directory.
pub(crate) fn run_and_pass(file: &str, text: &str, folder: &str) -> Results {
    let experiment = Experiment::parse(file, text).expect("a valid experiment");
    let program = find_program(None).expect("the controller program is built");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    let paths = RunPaths {
        program: &program,
        folder: &folder,
    };
    let results = run_experiment(&experiment, None, paths).expect("the run completes");
    println!("{}", results.to_table());
    let run = results.run().expect("a summary row");
    assert_eq!(run.violations, Vec::<String>::new());
    assert_eq!(run.missed_objectives, Vec::<String>::new());
    results
}
