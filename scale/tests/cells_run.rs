//! Three cells with real processes share team limits while these change, links are partitioned, a
//! leader is killed and load moves: no team uses more than its limit in all cells together, every
//! change is in force in time, and all jobs end.
//!
//! Seen to fail: quota that the home cell reclaimed wasn't returned, so that jobs waited forever;
//! and no quota was lent while load moved, so that starts took 10 s and more.

mod playing;

use playing::play_well;
use salttrestle_scale::results::Row;

const CELLS: &str = include_str!("../experiments/cells.toml");

#[test]
fn cells_share_limits_that_change() {
    let results = play_well("cells.toml", CELLS, "cells-run");
    let changes = results.rows.iter().map(|row| match row {
        Row::Latency(latency) if latency.what.starts_with("limits ") => latency.count,
        _ => 0,
    });
    let changes: u64 = changes.sum();
    assert!(changes >= 20, "only {changes} changes of limits");
}
