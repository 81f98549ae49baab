//! Tests that the parser rejects invalid experiments, and that the error names the file, the key
//! and the reason.

use salttrestle_scale::experiment::{EMBEDDED_EXPERIMENT, Experiment};

#[test]
fn invalid_experiments_are_rejected() {
    let rows = [
        ("seed = 1", "seed = 1\nspeed = 2", "speed"),
        ("workers = 50", "workers = 9000", "cell.workers"),
        ("workers = 50", "workers = 0", "cell.controllers"),
        ("controllers = 3", "controllers = 25", "cell.controllers"),
        ("measure_s = 12", "measure_s = 1200", "phases (seconds)"),
        ("measure_s = 12", "measure_s = 0", "phases.measure_s"),
        ("ramp_s = 3", "ramp_s = nan", "phases.ramp_s"),
        (
            "starts_per_s = 10",
            "starts_per_s = 9999",
            "load.starts_per_s",
        ),
        ("cancelled = 0.1", "cancelled = -1", "load.cancelled"),
        ("seed = 1", "seed = 1\nnetwork = \"10.0.0.0\"", "network"),
        ("name = \"north\"", "name = \"North 1\"", "cell.name"),
        ("cell = \"north\"", "cell = \"south\"", "trouble.cell"),
        ("down_s = 2", "down_s = 2\nup_s = 3", "up_s"),
        ("kind = \"kill\"", "kind = \"melt\"", "melt"),
        ("[phases]", "[[phases", "line 6"),
    ];
    for (from, to, key) in rows {
        let text = EMBEDDED_EXPERIMENT.replacen(from, to, 1);
        assert_ne!(text, EMBEDDED_EXPERIMENT, "{from} isn't in the experiment");
        let error = Experiment::parse("bad.toml", &text).expect_err(to);
        assert_eq!(
            (error.file.as_str(), error.key.as_str()),
            ("bad.toml", key),
            "{error}"
        );
        assert!(!error.reason.is_empty());
    }
    Experiment::parse("good.toml", EMBEDDED_EXPERIMENT).expect("the embedded experiment is valid");
}
