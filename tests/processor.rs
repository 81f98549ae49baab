//! How busy a controller's processor is, and how many machines one owner can have by that.

use salttrestle::controller::processor::ProcessorUtilization;
use salttrestle::ids::Time;

const SECOND: u64 = 1000;

/// One measurement a second.
fn measured(shares: impl IntoIterator<Item = f64>) -> (ProcessorUtilization, Time) {
    let mut utilization = ProcessorUtilization::default();
    let mut now = Time(SECOND);
    for share in shares {
        now = Time(now.0 + SECOND);
        utilization.record(now, share);
    }
    (utilization, now)
}

#[test]
fn share_without_recent_measurements_is_unknown() {
    let (utilization, now) = measured([]);
    assert_eq!(utilization.share(now), None);
    assert!(!utilization.has_measurement());
    assert_eq!(utilization.machines_per_owner(now, 100), None);
    let (utilization, now) = measured([0.5; 30]);
    assert!(utilization.share(now).is_some());
    assert_eq!(utilization.share(now.after(6.0)), None);
    assert!(utilization.has_measurement(), "an old measurement is one");
}

#[test]
fn share_after_one_second_hardly_moves_and_after_a_minute_has_moved() {
    let calm = [0.2; 60];
    let (utilization, now) = measured(calm.into_iter().chain([1.0]));
    let share = utilization.share(now).expect("measured");
    assert!((0.2..0.3).contains(&share), "{share}");
    let (utilization, now) = measured(calm.into_iter().chain([1.0; 60]));
    let share = utilization.share(now).expect("measured");
    assert!(share > 0.99, "{share}");
}

#[test]
fn machines_per_owner_follow_from_what_the_owner_has() {
    let (utilization, now) = measured([0.5; 120]);
    let most = utilization.machines_per_owner(now, 200).expect("measured");
    assert!((most - 400.0).abs() < 1.0, "{most}");
    // An owner without machines, or one that hardly does anything, shows nothing of what one can have.
    assert_eq!(utilization.machines_per_owner(now, 0), None);
    let (utilization, now) = measured([0.01; 120]);
    assert_eq!(utilization.machines_per_owner(now, 200), None);
    // What isn't a share is taken as the nearest one.
    let (utilization, now) = measured([f64::INFINITY; 10]);
    assert_eq!(utilization.share(now), Some(1.0));
}
