//! Tests that the capacity page agrees with the stored linear fits, and the fits with the stored
//! runs of a sweep.

use salttrestle_scale::axis::Axis;
use salttrestle_scale::capacity::{Metric, SlopeTable, replace_computed_section};
use salttrestle_scale::experiment::Experiment;
use salttrestle_scale::results::{HollowRow, ProcessRow, Row, RunRow};
use salttrestle_scale::sweep::Sweep;

const PAGE: &str = include_str!("../../docs/CAPACITY.md");
const SLOPES: &str = include_str!("../../docs/capacity/slopes.json");
const RUNS: &str = include_str!("../../docs/capacity/runs.jsonl");
const CELL: &str = include_str!("../experiments/cell.toml");
const SWEEP: &str = include_str!("../experiments/sweep.toml");

fn stored_table() -> SlopeTable {
    serde_json::from_str(SLOPES).expect("slopes.json holds linear fits")
}

#[test]
fn capacity_page_agrees_with_the_linear_fits() {
    let updated =
        replace_computed_section(PAGE, &stored_table()).expect("the page has a computed section");
    assert!(
        updated == PAGE,
        "run `salttrestle-scale capacity docs/capacity/slopes.json docs/CAPACITY.md --write`"
    );
}

#[test]
fn linear_fits_agree_with_the_stored_runs() {
    let base = Experiment::parse("cell.toml", CELL).expect("a valid experiment");
    let rows = RUNS
        .lines()
        .map(|line| serde_json::from_str(line).expect("a line holds a result row"));
    let rows: Vec<Row> = rows.collect();
    let stored = stored_table();
    let refitted = SlopeTable::from_rows(&stored.sources, &base, &rows);
    assert_eq!(refitted.reference, stored.reference);
    assert_eq!(refitted.slopes.len(), stored.slopes.len());
    for (refit, stored) in refitted.slopes.iter().zip(&stored.slopes) {
        let is_close = |a: f64, b: f64| (a - b).abs() <= 1e-9 * (1.0 + a.abs());
        assert_eq!(
            (refit.axis, refit.metric, refit.runs),
            (stored.axis, stored.metric, stored.runs)
        );
        assert!(is_close(refit.slope, stored.slope) && is_close(refit.residual, stored.residual));
        assert!(refit.values.len() >= 4 && refit.runs >= 12, "{refit:?}");
    }
}

/// Result rows of runs with 100 to 800 workers. The shard owner uses 0.01 cores, plus the `cost` of
/// the number of workers.
fn rows_with_cost(cost: impl Fn(f64) -> f64) -> Vec<Row> {
    let rows_of_run = |workers: f64| {
        let run = RunRow {
            axis: Some("workers".into()),
            value: Some(workers),
            ..RunRow::default()
        };
        let process = ProcessRow {
            is_owner: true,
            user_cores: 0.01 + cost(workers),
            ..ProcessRow::default()
        };
        [
            Row::Run(run),
            Row::Process(process),
            Row::Hollow(HollowRow::default()),
        ]
    };
    [100.0, 200.0, 400.0, 800.0]
        .into_iter()
        .flat_map(rows_of_run)
        .collect()
}

#[test]
fn costs_are_fitted_and_superlinear_costs_are_listed() {
    let base = Experiment::parse("cell.toml", CELL).expect("a valid experiment");
    let linear = SlopeTable::from_rows("test", &base, &rows_with_cost(|workers| workers * 1e-4));
    let slope = linear
        .slope(Axis::Workers, Metric::OwnerCores)
        .expect("a linear fit");
    assert!((slope.slope - 1e-4).abs() < 1e-12 && (slope.intercept - 0.01).abs() < 1e-12);
    assert!(slope.is_significant() && !slope.is_superlinear());
    let sizes = [(Axis::Workers, 1000.0)].into();
    assert!((linear.predict(Metric::OwnerCores, &sizes) - 0.11).abs() < 1e-9);
    let hollow = linear
        .slope(Axis::Workers, Metric::HollowCores)
        .expect("a linear fit");
    assert!(!hollow.is_significant(), "the hollow side has no cost");
    let superlinear = SlopeTable::from_rows(
        "test",
        &base,
        &rows_with_cost(|workers| workers * workers * 1e-6),
    );
    assert!(
        superlinear
            .computed_section()
            .contains("Grows faster than its count: holder, processor with workers")
    );
}

#[test]
fn sweeps_outside_the_bounds_are_rejected() {
    let base = Experiment::parse("cell.toml", CELL).expect("a valid experiment");
    Sweep::parse("sweep.toml", SWEEP, &base).expect("a valid sweep");
    for (from, to, key) in [
        ("[138, 275, 550, 1100]", "[138, 90000]", "cell.workers"),
        ("parallel = 4", "parallel = 40", "parallel"),
        ("repeats = 3", "repeats = 0", "parallel"),
        ("repeats = 3", "repeats = 3\nfaster = 1", "(file)"),
    ] {
        let text = SWEEP.replacen(from, to, 1);
        let error = Sweep::parse("sweep.toml", &text, &base).expect_err(to);
        assert_eq!(error.key, key, "{error}");
    }
}
