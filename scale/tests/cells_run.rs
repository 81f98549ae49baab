//! Three cells with real processes share team limits while these change, links are cut, a leader is
//! killed and demand moves: no team uses more than its limit in all cells together, every change is
//! in force in time, and all work is done in the end.
//!
//! Seen to fail: room that the home called back wasn't given, so that work waited without end; and
//! no room was given while demand moved, so that starts took 10 s and more.

mod playing;

use playing::play_well;
use salttrestle_scale::results::Row;

const CELLS: &str = include_str!("../experiments/cells.toml");

#[test]
fn cells_share_limits_that_change() {
    let results = play_well("cells.toml", CELLS, "cells-run");
    let changes = results.rows.iter().map(|row| match row {
        Row::Latency(l) if l.what.starts_with("limits ") => l.count,
        _ => 0,
    });
    let changes: u64 = changes.sum();
    assert!(changes >= 20, "only {changes} changes of limits");
}
