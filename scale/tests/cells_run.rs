//! Runs three cells with real processes that share team limits, while limits change, links are
//! partitioned, a leader is killed and load moves between cells. No team may use more than its
//! limit in all cells together, every limit change must be in force in time, and all jobs must end.
//!
//! Failures that this test has found: other cells didn't return quota that the home cell reclaimed,
//! so that jobs waited forever; and no quota was lent while load moved, so that starts took 10 s
//! and more.

mod support;

use salttrestle_scale::results::Row;
use support::run_and_pass;

const CELLS: &str = include_str!("../experiments/cells.toml");

#[test]
fn cells_share_changing_limits() {
    let results = run_and_pass("cells.toml", CELLS, "cells-run");
    let changes = results.rows.iter().map(|row| match row {
        Row::Latency(latency) if latency.event.starts_with("limits ") => latency.count,
        _ => 0,
    });
    let changes: u64 = changes.sum();
    assert!(changes >= 20, "only {changes} limit changes");
}
