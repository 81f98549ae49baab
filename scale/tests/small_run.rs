//! The embedded experiment with real processes: rules hold, and work goes on after the leading
//! controller was killed.

mod playing;

use playing::play_well;
use salttrestle_scale::experiment::EMBEDDED;
use salttrestle_scale::results::Row;

/// The other controllers' links to the one that was killed and came back stayed down for good, so
/// that heartbeats which passed through them never reached it as the next owner: batch jobs whose
/// tasks had ended stayed open.
#[test]
fn a_fleet_outlives_its_leader() {
    let results = play_well("(embedded)", EMBEDDED, "small-run");
    let run = results.run().expect("a row for the run");
    assert!(run.starts >= 150, "only {} starts", run.starts);
    let restarted = |row: &Row| matches!(row, Row::Process(p) if p.restarted);
    assert!(results.rows.iter().any(restarted), "nobody was killed");
}
