//! Runs takeovers with real processes. The leader is killed, suspended or terminated repeatedly.
//! Each time, its successor must start tasks within five seconds, and no command may carry a stale
//! token.

mod support;

use salttrestle_scale::experiment::{EMBEDDED_TAKEOVERS, Experiment};
use salttrestle_scale::results::Row;
use support::run_and_pass;

#[test]
fn successors_start_tasks_after_leader_faults() {
    let text = EMBEDDED_TAKEOVERS
        .replace("count = 6", "count = 3")
        .replace("measure_s = 48", "measure_s = 24");
    let results = run_and_pass("(takeovers)", &text, "takeovers-run");
    let run = results.run().expect("a summary row");
    assert_eq!(run.lease_kills, 0, "tasks were killed by lease expiry");
    let takeovers = results.rows.iter().filter_map(|row| match row {
        Row::Takeover(takeover) => Some(takeover),
        _ => None,
    });
    let starts: Vec<Option<u64>> = takeovers.map(|takeover| takeover.started_ms).collect();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(Option::is_some), "{starts:?}");
}

#[test]
fn invalid_takeovers_are_rejected() {
    let rows = [
        ("count = 6", "count = 600", "takeovers.count"),
        ("every_s = 7", "every_s = 0", "takeovers.every_s"),
        ("pause_s = 4.5", "pause_s = nan", "takeovers.pause_s"),
        ("kinds = [\"kill\", ", "kinds = [\"melt\", ", "melt"),
        ("down_s = 1.5", "down_s = 1.5\nup_s = 1", "up_s"),
        ("controllers = 3", "controllers = 1", "takeovers"),
    ];
    for (from, to, key) in rows {
        let text = EMBEDDED_TAKEOVERS.replacen(from, to, 1);
        assert_ne!(text, EMBEDDED_TAKEOVERS, "{from} isn't in the experiment");
        let error = Experiment::parse("bad.toml", &text).expect_err(to);
        assert_eq!(error.key, key, "{error}");
    }
}
