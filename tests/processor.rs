//! A controller's smoothed processor utilization, and the number of machines per shard owner that
//! follows from it.

use salttrestle::controller::processor::ProcessorUtilization;
use salttrestle::ids::Time;

const MEASUREMENT_INTERVAL_MS: u64 = 1000;

/// The utilization after one measurement a second, and the time of the last measurement.
fn measured(fractions: impl IntoIterator<Item = f64>) -> (ProcessorUtilization, Time) {
    let mut utilization = ProcessorUtilization::default();
    let mut now = Time(MEASUREMENT_INTERVAL_MS);
    for fraction in fractions {
        now = Time(now.0 + MEASUREMENT_INTERVAL_MS);
        utilization.record(now, fraction);
    }
    (utilization, now)
}

#[test]
fn busy_fraction_without_recent_measurements_is_unknown() {
    let (utilization, now) = measured([]);
    assert_eq!(utilization.busy_fraction(now), None);
    assert!(!utilization.has_measurement());
    assert_eq!(utilization.machines_per_owner(now, 100), None);
    let (utilization, now) = measured([0.5; 30]);
    assert!(utilization.busy_fraction(now).is_some());
    assert_eq!(utilization.busy_fraction(now.after(6.0)), None);
    assert!(
        utilization.has_measurement(),
        "an old measurement still counts as one"
    );
}

#[test]
fn busy_fraction_barely_changes_within_a_second_and_follows_within_a_minute() {
    let low_minute = [0.2; 60];
    let (utilization, now) = measured(low_minute.into_iter().chain([1.0]));
    let fraction = utilization.busy_fraction(now).expect("measured");
    assert!((0.2..0.3).contains(&fraction), "{fraction}");
    let (utilization, now) = measured(low_minute.into_iter().chain([1.0; 60]));
    let fraction = utilization.busy_fraction(now).expect("measured");
    assert!(fraction > 0.99, "{fraction}");
}

#[test]
fn machines_per_owner_follow_from_machines_and_utilization() {
    let (utilization, now) = measured([0.5; 120]);
    let machines = utilization.machines_per_owner(now, 200).expect("measured");
    assert!((machines - 400.0).abs() < 1.0, "{machines}");
    // No estimate is possible from an owner without machines or with a very low utilization.
    assert_eq!(utilization.machines_per_owner(now, 0), None);
    let (utilization, now) = measured([0.01; 120]);
    assert_eq!(utilization.machines_per_owner(now, 200), None);
    // A measurement outside of 0 to 1 is clamped.
    let (utilization, now) = measured([f64::INFINITY; 10]);
    assert_eq!(utilization.busy_fraction(now), Some(1.0));
}
