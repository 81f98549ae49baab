//! How busy a process is, and what follows for the number of shards.

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
fn nothing_is_told_without_measurements_or_with_old_ones() {
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
fn one_second_counts_for_little_and_a_minute_for_all() {
    let calm = [0.2; 60];
    let (usage, now) = measured(calm.into_iter().chain([1.0]));
    let share = usage.share(now).expect("measured");
    assert!((0.2..0.3).contains(&share), "{share}");
    let (usage, now) = measured(calm.into_iter().chain([1.0; 60]));
    let share = usage.share(now).expect("measured");
    assert!(share > 0.99, "{share}");
}

#[test]
fn machines_a_holder_follow_from_what_it_holds() {
    let (usage, now) = measured([0.5; 120]);
    let most = usage.machines_per_owner(now, 200).expect("measured");
    assert!((most - 400.0).abs() < 1.0, "{most}");
    // A process that holds nothing, or hardly does anything, tells nothing of machines.
    assert_eq!(usage.machines_per_owner(now, 0), None);
    let (usage, now) = measured([0.01; 120]);
    assert_eq!(usage.machines_per_owner(now, 200), None);
    // What isn't a share is taken as the nearest one.
    let (usage, now) = measured([f64::INFINITY; 10]);
    assert_eq!(usage.share(now), Some(1.0));
}
