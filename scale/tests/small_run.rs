//! The embedded experiment with real processes: rules hold, and work goes on after the leading
//! controller was killed.

use salttrestle_scale::controllers::find_program;
use salttrestle_scale::experiment::{EMBEDDED, Experiment};
use salttrestle_scale::results::Row;
use salttrestle_scale::run::{Places, play};
use std::path::Path;

/// The other controllers' links to the one that was killed and came back stayed down for good, so
/// that reports which passed through them never reached it as the next holder: batch jobs whose
/// tasks had ended stayed open.
#[test]
fn a_fleet_outlives_its_leader() {
    let experiment = Experiment::parse("(embedded)", EMBEDDED).expect("a good experiment");
    let program = find_program(None).expect("the service's program");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("small-run");
    let places = Places {
        program: &program,
        folder: &folder,
    };
    let results = play(&experiment, None, &places).expect("it is played");
    println!("{}", results.table());
    let run = results.run().expect("a row for the run");
    assert_eq!(run.broken, Vec::<String>::new());
    assert_eq!(run.missed, Vec::<String>::new());
    assert!(run.starts >= 150, "only {} starts", run.starts);
    let restarted = |row: &Row| matches!(row, Row::Process(p) if p.restarted);
    assert!(results.rows.iter().any(restarted), "nobody was killed");
}
