//! The capacity page follows from the stored lines, and these from the stored runs.

use salttrestle_scale::axis::Axis;
use salttrestle_scale::capacity::{Metric, SlopeTable, with_computed};
use salttrestle_scale::experiment::Experiment;
use salttrestle_scale::results::{HollowRow, ProcessRow, Row, RunRow};
use salttrestle_scale::sweep::Sweep;

const PAGE: &str = include_str!("../../docs/CAPACITY.md");
const SLOPES: &str = include_str!("../../docs/capacity/slopes.json");
const RUNS: &str = include_str!("../../docs/capacity/runs.jsonl");
const CELL: &str = include_str!("../experiments/cell.toml");
const SWEEP: &str = include_str!("../experiments/sweep.toml");

fn table() -> SlopeTable {
    serde_json::from_str(SLOPES).expect("the lines")
}

#[test]
fn the_page_follows_from_the_lines() {
    let anew = with_computed(PAGE, &table()).expect("a computed part");
    assert!(
        anew == PAGE,
        "run `salttrestle-scale capacity docs/capacity/slopes.json docs/CAPACITY.md --write`"
    );
}

#[test]
fn the_lines_follow_from_the_runs() {
    let base = Experiment::parse("cell.toml", CELL).expect("a good experiment");
    let rows = RUNS
        .lines()
        .map(|line| serde_json::from_str(line).expect("a row"));
    let rows: Vec<Row> = rows.collect();
    let table = table();
    let anew = SlopeTable::from_rows(&table.sources, &base, &rows);
    assert_eq!(anew.reference, table.reference);
    assert_eq!(anew.slopes.len(), table.slopes.len());
    for (one, other) in anew.slopes.iter().zip(&table.slopes) {
        let close = |a: f64, b: f64| (a - b).abs() <= 1e-9 * (1.0 + a.abs());
        assert_eq!(
            (one.axis, one.metric, one.runs),
            (other.axis, other.metric, other.runs)
        );
        assert!(close(one.slope, other.slope) && close(one.residual, other.residual));
        assert!(one.sizes.len() >= 4 && one.runs >= 12, "{one:?}");
    }
}

/// Runs of a cell whose owner uses 0.01 cores, and `cost` of the number of workers.
fn rows(cost: impl Fn(f64) -> f64) -> Vec<Row> {
    let of = |workers: f64| {
        let run = RunRow {
            axis: Some("workers".into()),
            value: Some(workers),
            ..RunRow::default()
        };
        let process = ProcessRow {
            owner: true,
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
        .flat_map(of)
        .collect()
}

#[test]
fn lines_are_fitted_and_steeper_costs_are_named() {
    let base = Experiment::parse("cell.toml", CELL).expect("a good experiment");
    let even = SlopeTable::from_rows("test", &base, &rows(|workers| workers * 1e-4));
    let slope = even
        .slope(Axis::Workers, Metric::OwnerCores)
        .expect("a line");
    assert!((slope.slope - 1e-4).abs() < 1e-12 && (slope.intercept - 0.01).abs() < 1e-12);
    assert!(slope.matters() && !slope.grows_faster());
    let at = [(Axis::Workers, 1000.0)].into();
    assert!((even.predict(Metric::OwnerCores, &at) - 0.11).abs() < 1e-9);
    let hollow = even
        .slope(Axis::Workers, Metric::HollowCores)
        .expect("a line");
    assert!(!hollow.matters(), "it costs nothing");
    let steep = SlopeTable::from_rows("test", &base, &rows(|workers| workers * workers * 1e-6));
    assert!(
        steep
            .page()
            .contains("Grows faster than its count: holder, processor with workers")
    );
}

#[test]
fn sweeps_keep_to_the_bounds_of_experiments() {
    let base = Experiment::parse("cell.toml", CELL).expect("a good experiment");
    Sweep::parse("sweep.toml", SWEEP, &base).expect("a good sweep");
    for (from, to, key) in [
        ("[138, 275, 550, 1100]", "[138, 90000]", "cell.workers"),
        ("parallel = 4", "parallel = 40", "parallel"),
        ("repeats = 3", "repeats = 0", "parallel"),
        ("repeats = 3", "repeats = 3\nfaster = 1", "(file)"),
    ] {
        let text = SWEEP.replacen(from, to, 1);
        let refused = Sweep::parse("sweep.toml", &text, &base).expect_err(to);
        assert_eq!(refused.key, key, "{refused}");
    }
}
