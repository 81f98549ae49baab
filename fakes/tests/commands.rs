//! The judge of orders sees each kind of violation, and none in a history without one.

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

/// An owner under 4, then one under 6, each with a placement of the task on the machine.
fn history() -> CommandChecker {
    let mut orders = CommandChecker::default();
    for token in [4, 6] {
        orders.record_owner_token(token);
        let placed = (3, attempt(token, 1), MachineId::from(MACHINE), "a".into());
        let run = PlacementRecord {
            placed: vec![placed],
            ..PlacementRecord::default()
        };
        orders.record_placements(&JobId::from("j-1"), &run);
    }
    orders
}

#[test]
fn history_without_violations_is_accepted() {
    let mut orders = history();
    orders.record_start(10, MACHINE, 4, &task(), attempt(4, 1));
    orders.record_start(20, MACHINE, 6, &task(), attempt(6, 1));
    assert_eq!(orders.violations, Vec::<String>::new());
    assert_eq!(orders.restarts.len(), 1);
    for (token, controller_id) in [(3, "n0"), (5, "n1"), (7, "n0")] {
        orders
            .cloud_calls
            .record_leader(Some((token, controller_id)));
        orders.cloud_calls.record_cloud_change(token, controller_id);
    }
    assert_eq!(orders.cloud_calls.violations, Vec::<String>::new());
}

#[test]
fn starts_that_break_a_rule_are_violations() {
    type Violation = fn(&mut CommandChecker);
    let rows: [(&str, Violation); 5] = [
        ("never held", |orders| {
            orders.record_start(1, MACHINE, 5, &task(), attempt(5, 1));
        }),
        ("that knows 6", |orders| {
            orders.record_start(1, MACHINE, 6, &task(), attempt(4, 1));
        }),
        ("committed for None", |orders| {
            orders.record_start(1, MACHINE, 4, &task(), attempt(4, 2));
        }),
        ("committed for Some", |orders| {
            orders.record_start(1, "i-2", 4, &task(), attempt(4, 1));
        }),
        ("an earlier attempt", |orders| {
            orders.record_start(1, MACHINE, 6, &task(), attempt(6, 1));
            orders.record_start(2, MACHINE, 4, &task(), attempt(4, 1));
        }),
    ];
    for (what, violate) in rows {
        let mut orders = history();
        violate(&mut orders);
        let seen = orders.violations.iter().any(|broken| broken.contains(what));
        assert!(seen, "{what}: {:?}", orders.violations);
    }
}

#[test]
fn cloud_calls_of_leaders_out_of_order_are_violations() {
    let mut orders = history();
    let duties = &mut orders.cloud_calls;
    duties.record_leader(Some((3, "n0")));
    duties.record_leader(Some((5, "n1")));
    duties.record_cloud_change(1, "n2");
    assert!(duties.violations[0].contains("n2 never led"));
    duties.record_cloud_change(2, "n0");
    assert_eq!(
        duties.violations.len(),
        1,
        "the former leader may, until the new one does"
    );
    duties.record_cloud_change(3, "n1");
    duties.record_cloud_change(4, "n0");
    assert!(duties.violations[1].contains("n0 calls the cloud under 3"));
}
