//! The checker of commands reports each kind of violation, and none in a valid history.

use salttrestle::controller::store::records::PlacementRecord;
use salttrestle::ids::{Attempt, FencingToken, JobId, MachineId, TaskId};
use salttrestle_fakes::commands::CommandChecker;

const MACHINE: &str = "i-1";

fn task() -> TaskId {
    let job = JobId::from("j-1");
    TaskId { job, index: 3 }
}

fn attempt(token: u64, count: u64) -> Attempt {
    Attempt::new(FencingToken(token), count)
}

/// A checker that has seen a shard owner with token 4, then one with token 6. Each has committed a
/// placement of the task on the machine.
fn valid_history() -> CommandChecker {
    let mut checker = CommandChecker::default();
    for token in [4, 6] {
        checker.record_owner_token(token);
        let placed = (3, attempt(token, 1), MachineId::from(MACHINE), "a".into());
        let placements = PlacementRecord {
            placed: vec![placed],
            ..PlacementRecord::default()
        };
        checker.record_placements(&JobId::from("j-1"), &placements);
    }
    checker
}

#[test]
fn history_without_violations_is_accepted() {
    let mut checker = valid_history();
    checker.record_start(10, MACHINE, 4, &task(), attempt(4, 1));
    checker.record_start(20, MACHINE, 6, &task(), attempt(6, 1));
    assert_eq!(checker.violations, Vec::<String>::new());
    assert_eq!(checker.restarts.len(), 1);
    for (token, controller_id) in [(3, "n0"), (5, "n1"), (7, "n0")] {
        checker
            .cloud_calls
            .record_leader(Some((token, controller_id)));
        checker
            .cloud_calls
            .record_cloud_change(token, controller_id);
    }
    assert_eq!(checker.cloud_calls.violations, Vec::<String>::new());
}

#[test]
fn starts_that_break_a_rule_are_violations() {
    type Violation = fn(&mut CommandChecker);
    let rows: [(&str, Violation); 5] = [
        ("which never owned a shard", |checker| {
            checker.record_start(1, MACHINE, 5, &task(), attempt(5, 1));
        }),
        ("that knows token 6", |checker| {
            checker.record_start(1, MACHINE, 6, &task(), attempt(4, 1));
        }),
        ("committed for None", |checker| {
            checker.record_start(1, MACHINE, 4, &task(), attempt(4, 2));
        }),
        ("committed for Some", |checker| {
            checker.record_start(1, "i-2", 4, &task(), attempt(4, 1));
        }),
        ("an earlier attempt", |checker| {
            checker.record_start(1, MACHINE, 6, &task(), attempt(6, 1));
            checker.record_start(2, MACHINE, 4, &task(), attempt(4, 1));
        }),
    ];
    for (message, violate) in rows {
        let mut checker = valid_history();
        violate(&mut checker);
        let is_reported = checker
            .violations
            .iter()
            .any(|found| found.contains(message));
        assert!(is_reported, "{message}: {:?}", checker.violations);
    }
}

#[test]
fn cloud_calls_of_leaders_out_of_order_are_violations() {
    let mut checker = valid_history();
    let cloud_calls = &mut checker.cloud_calls;
    cloud_calls.record_leader(Some((3, "n0")));
    cloud_calls.record_leader(Some((5, "n1")));
    cloud_calls.record_cloud_change(1, "n2");
    assert!(cloud_calls.violations[0].contains("n2 was never the leader"));
    cloud_calls.record_cloud_change(2, "n0");
    assert_eq!(
        cloud_calls.violations.len(),
        1,
        "the former leader may call the cloud until its successor does"
    );
    cloud_calls.record_cloud_change(3, "n1");
    cloud_calls.record_cloud_change(4, "n0");
    assert!(cloud_calls.violations[1].contains("cloud call: n0 under token 3"));
}
