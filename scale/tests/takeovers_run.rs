//! Takeovers with real processes: the leader is killed, suspended or terminated, and each time its
//! successor starts tasks within five seconds, without a command under a stale token.

mod playing;

use playing::play_well;
use salttrestle_scale::experiment::{EMBEDDED_TAKEOVERS, Experiment};
use salttrestle_scale::results::Row;

#[test]
fn leaders_end_and_others_take_over() {
    let text = EMBEDDED_TAKEOVERS
        .replace("count = 6", "count = 3")
        .replace("measure_s = 48", "measure_s = 24");
    let results = play_well("(takeovers)", &text, "takeovers-run");
    let run = results.run().expect("a row for the run");
    assert_eq!(run.killed, 0, "tasks were lost by a lease");
    let takeovers = results.rows.iter().filter_map(|row| match row {
        Row::Takeover(takeover) => Some(takeover),
        _ => None,
    });
    let starts: Vec<Option<u64>> = takeovers.map(|takeover| takeover.started_ms).collect();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(Option::is_some), "{starts:?}");
}

#[test]
fn bad_takeovers_are_refused() {
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
        let refused = Experiment::parse("bad.toml", &text).expect_err(to);
        assert_eq!(refused.key, key, "{refused}");
    }
}
