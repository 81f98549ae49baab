//! Plays an experiment with the program that was built beside the tests.

use salttrestle_scale::controllers::{RunPaths, find_program};
use salttrestle_scale::experiment::Experiment;
use salttrestle_scale::results::Results;
use salttrestle_scale::run::play;
use std::path::Path;

/// Plays an experiment, with its files in a folder of this name; no rule may be violated and no
/// objective missed.
pub(crate) fn play_well(file: &str, text: &str, folder: &str) -> Results {
    let experiment = Experiment::parse(file, text).expect("a good experiment");
    let program = find_program(None).expect("the service's program");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    let paths = RunPaths {
        program: &program,
        folder: &folder,
    };
    let results = play(&experiment, None, paths).expect("it is played");
    println!("{}", results.table());
    let run = results.run().expect("a row for the run");
    assert_eq!(run.violations, Vec::<String>::new());
    assert_eq!(run.missed_objectives, Vec::<String>::new());
    results
}
