//! The judge of orders sees each kind of wrong order, and nothing wrong in a right history.

use salttrestle::controller::store::records::PlacementRecord;
use salttrestle::ids::{Attempt, FencingToken, JobId, MachineId, TaskId};
use salttrestle_fakes::orders::Orders;

const MACHINE: &str = "i-1";

fn task() -> TaskId {
    let job = JobId::from("j-1");
    TaskId { job, index: 3 }
}

fn attempt(token: u64, count: u64) -> Attempt {
    Attempt::new(FencingToken(token), count)
}

/// An owner under 4, then one under 6, each with a placement of the task on the machine.
fn history() -> Orders {
    let mut orders = Orders::default();
    for token in [4, 6] {
        orders.held(token);
        let placed = (3, attempt(token, 1), MachineId::from(MACHINE), "a".into());
        let run = PlacementRecord {
            placed: vec![placed],
            ..PlacementRecord::default()
        };
        orders.committed(&JobId::from("j-1"), &run);
    }
    orders
}

#[test]
fn a_right_history() {
    let mut orders = history();
    orders.started(10, MACHINE, 4, &task(), attempt(4, 1));
    orders.started(20, MACHINE, 6, &task(), attempt(6, 1));
    assert_eq!(orders.broken, Vec::<String>::new());
    assert_eq!(orders.repeats.len(), 1);
    for (token, controller_id) in [(3, "n0"), (5, "n1"), (7, "n0")] {
        orders.duties.leader_is(Some((token, controller_id)));
        orders.duties.cloud_changed(token, controller_id);
    }
    assert_eq!(orders.duties.broken, Vec::<String>::new());
}

#[test]
fn wrong_starts() {
    type Wrong = fn(&mut Orders);
    let rows: [(&str, Wrong); 5] = [
        ("never held", |o| {
            o.started(1, MACHINE, 5, &task(), attempt(5, 1))
        }),
        ("that knows 6", |o| {
            o.started(1, MACHINE, 6, &task(), attempt(4, 1))
        }),
        ("committed for None", |o| {
            o.started(1, MACHINE, 4, &task(), attempt(4, 2))
        }),
        ("committed for Some", |o| {
            o.started(1, "i-2", 4, &task(), attempt(4, 1))
        }),
        ("an earlier attempt", |o| {
            o.started(1, MACHINE, 6, &task(), attempt(6, 1));
            o.started(2, MACHINE, 4, &task(), attempt(4, 1));
        }),
    ];
    for (what, wrong) in rows {
        let mut orders = history();
        wrong(&mut orders);
        let seen = orders.broken.iter().any(|broken| broken.contains(what));
        assert!(seen, "{what}: {:?}", orders.broken);
    }
}

#[test]
fn wrong_calls_to_the_cloud() {
    let mut orders = history();
    let duties = &mut orders.duties;
    duties.leader_is(Some((3, "n0")));
    duties.leader_is(Some((5, "n1")));
    duties.cloud_changed(1, "n2");
    assert!(duties.broken[0].contains("n2 never led"));
    duties.cloud_changed(2, "n0");
    assert_eq!(
        duties.broken.len(),
        1,
        "the old one may, until the new one does"
    );
    duties.cloud_changed(3, "n1");
    duties.cloud_changed(4, "n0");
    assert!(duties.broken[1].contains("n0 calls the cloud under 3"));
}
