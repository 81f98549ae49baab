//! The embedded experiment with real processes: rules hold, and jobs run on after the leader was
//! killed.

mod playing;

use playing::play_well;
use salttrestle_scale::experiment::EMBEDDED;
use salttrestle_scale::results::Row;

/// Seen to fail: the peers never reconnected to the controller that was killed and restarted, so
/// that heartbeats which they forward didn't reach it as the next owner, and batch jobs whose tasks
/// had ended stayed open.
#[test]
fn a_fleet_outlives_its_leader() {
    let results = play_well("(embedded)", EMBEDDED, "small-run");
    let run = results.run().expect("a row for the run");
    assert!(run.starts >= 150, "only {} starts", run.starts);
    let restarted = |row: &Row| matches!(row, Row::Process(process) if process.restarted);
    assert!(
        results.rows.iter().any(restarted),
        "no controller was killed"
    );
}
