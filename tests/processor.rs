//! How busy a controller's processor is, and how many machines one owner can have by that.

use salttrestle::controller::processor::ProcessorUtilization;
use salttrestle::ids::Time;

const SECOND: u64 = 1000;

/// One measurement a second.
fn measured(shares: impl IntoIterator<Item = f64>) -> (ProcessorUtilization, Time) {
    let mut usage = ProcessorUtilization::default();
    let mut now = Time(SECOND);
    for share in shares {
        now = Time(now.0 + SECOND);
        usage.note(now, share);
    }
    (usage, now)
}

#[test]
fn share_without_recent_measurements_is_unknown() {
    let (usage, now) = measured([]);
    assert_eq!(usage.share(now), None);
    assert!(!usage.measured());
    assert_eq!(usage.machines_per_owner(now, 100), None);
    let (usage, now) = measured([0.5; 30]);
    assert!(usage.share(now).is_some());
    assert_eq!(usage.share(now.after(6.0)), None);
    assert!(usage.measured(), "an old measurement is one");
}

#[test]
fn share_after_one_second_hardly_moves_and_after_a_minute_has_moved() {
    let calm = [0.2; 60];
    let (usage, now) = measured(calm.into_iter().chain([1.0]));
    let share = usage.share(now).expect("measured");
    assert!((0.2..0.3).contains(&share), "{share}");
    let (usage, now) = measured(calm.into_iter().chain([1.0; 60]));
    let share = usage.share(now).expect("measured");
    assert!(share > 0.99, "{share}");
}

#[test]
fn machines_per_owner_follow_from_what_the_owner_has() {
    let (usage, now) = measured([0.5; 120]);
    let most = usage.machines_per_owner(now, 200).expect("measured");
    assert!((most - 400.0).abs() < 1.0, "{most}");
    // An owner without machines, or one that hardly does anything, shows nothing of what one can have.
    assert_eq!(usage.machines_per_owner(now, 0), None);
    let (usage, now) = measured([0.01; 120]);
    assert_eq!(usage.machines_per_owner(now, 200), None);
    // What isn't a share is taken as the nearest one.
    let (usage, now) = measured([f64::INFINITY; 10]);
    assert_eq!(usage.share(now), Some(1.0));
}
