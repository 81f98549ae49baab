//! Three cells with real processes share team limits while these change, links are cut, a leader is
//! killed and demand moves: no team uses more than its limit in all cells together, every change is
//! in force in time, and all work is done in the end.
//!
//! Seen to fail: room that the home called back wasn't given, so that work waited without end; and
//! no room was given while demand moved, so that starts took 10 s and more.

use salttrestle_scale::controllers::find_program;
use salttrestle_scale::experiment::Experiment;
use salttrestle_scale::results::Row;
use salttrestle_scale::run::{Places, play};
use std::path::Path;

const CELLS: &str = include_str!("../experiments/cells.toml");

#[test]
fn cells_share_limits_that_change() {
    let experiment = Experiment::parse("cells.toml", CELLS).expect("a good experiment");
    let program = find_program(None).expect("the service's program");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("cells-run");
    let places = Places {
        program: &program,
        folder: &folder,
    };
    let results = play(&experiment, None, &places).expect("it is played");
    println!("{}", results.table());
    let run = results.run().expect("a row for the run");
    assert_eq!(run.broken, Vec::<String>::new());
    assert_eq!(run.missed, Vec::<String>::new());
    let changes = results.rows.iter().map(|row| match row {
        Row::Latency(l) if l.what.starts_with("limits ") => l.count,
        _ => 0,
    });
    let changes: u64 = changes.sum();
    assert!(changes >= 20, "only {changes} changes of limits");
}
