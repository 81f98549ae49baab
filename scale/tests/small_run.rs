//! Runs the embedded experiment with real processes: no rule is violated, and jobs continue to run
//! after the leader is killed.

mod support;

use salttrestle_scale::experiment::EMBEDDED_EXPERIMENT;
use salttrestle_scale::results::Row;
use support::run_and_pass;

/// Guards against peers that don't reconnect to a controller after it was killed and restarted.
/// When that controller became the next shard owner, the heartbeats that its peers forward didn't
/// reach it, and batch jobs whose tasks had ended stayed open.
#[test]
fn jobs_continue_after_the_leader_is_killed() {
    let results = run_and_pass("(embedded)", EMBEDDED_EXPERIMENT, "small-run");
    let run = results.run().expect("a summary row");
    assert!(run.starts >= 150, "only {} starts", run.starts);
    let was_restarted = |row: &Row| matches!(row, Row::Process(process) if process.was_restarted);
    assert!(
        results.rows.iter().any(was_restarted),
        "no controller was killed"
    );
}
