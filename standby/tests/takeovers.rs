//! Property test over random sequences of reads, commits, messages, pauses and process ends. No
//! task may run twice or without a committed placement, no token may be issued again, and no leader
//! may call the cloud after its successor has called it. Each injected bug has to be found.
//!
//! `STANDBY_CASES=200000 cargo test --release -p salttrestle-standby --test takeovers` runs more
//! cases, with another seed each time.

#[path = "../../tests/property/mod.rs"]
mod property;
mod world;

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use world::{CONTROLLERS, InjectedBug, MACHINES, Violation, World};

/// Environment variable that sets the number of cases and makes each run use a new seed.
const CASES_VARIABLE: &str = "STANDBY_CASES";
/// Number of cases without an injected bug, unless [`CASES_VARIABLE`] is set.
const PROPERTY_CASES: u32 = 2_000;
/// Maximum number of cases in which an injected bug has to be found.
const INJECTED_BUG_CASES: u32 = 4_000;
/// Upper bound, exclusive, of the number of steps in a case.
const STEPS_MAX: usize = 160;

/// One step. Indexes of commits, messages and responses are taken modulo their number.
#[derive(Clone, Debug)]
enum Step {
    AdvanceClock(u64),
    ReadRecords(usize),
    Tick(usize),
    ExecuteCommit(usize),
    CallCloud(usize),
    Place {
        controller: usize,
        machine: usize,
    },
    WorkerHeartbeat {
        machine: usize,
        controller: usize,
    },
    DeliverResponse(usize),
    SendHints {
        controller: usize,
        is_false: bool,
    },
    Deliver {
        message: usize,
        keep_copy: bool,
    },
    DropMessages,
    Disconnect {
        controller: usize,
        from: usize,
    },
    SetPaused {
        controller: usize,
        is_paused: bool,
    },
    Restart {
        controller: usize,
        is_up: bool,
    },
    /// Rounds without faults.
    RunRounds(usize),
    /// Rounds without faults except for one controller, which only calls the cloud.
    RunRoundsWithout {
        controller: usize,
        rounds: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let controller = || 0..CONTROLLERS;
    let machine = || 0..MACHINES;
    let index = || 0..1_000usize;
    let step = prop_oneof![
        6 => (10..800u64).prop_map(Step::AdvanceClock),
        4 => controller().prop_map(Step::ReadRecords),
        4 => controller().prop_map(Step::Tick),
        4 => index().prop_map(Step::ExecuteCommit),
        4 => controller().prop_map(Step::CallCloud),
        3 => (controller(), machine())
            .prop_map(|(controller, machine)| Step::Place { controller, machine }),
        4 => (machine(), controller())
            .prop_map(|(machine, controller)| Step::WorkerHeartbeat { machine, controller }),
        4 => index().prop_map(Step::DeliverResponse),
        2 => (controller(), any::<bool>())
            .prop_map(|(controller, is_false)| Step::SendHints { controller, is_false }),
        4 => (index(), any::<bool>())
            .prop_map(|(message, keep_copy)| Step::Deliver { message, keep_copy }),
        1 => Just(Step::DropMessages),
        1 => (controller(), controller())
            .prop_map(|(controller, from)| Step::Disconnect { controller, from }),
        2 => (controller(), any::<bool>())
            .prop_map(|(controller, is_paused)| Step::SetPaused { controller, is_paused }),
        1 => (controller(), any::<bool>())
            .prop_map(|(controller, is_up)| Step::Restart { controller, is_up }),
        4 => (1..30usize).prop_map(Step::RunRounds),
        4 => (controller(), 1..30usize)
            .prop_map(|(controller, rounds)| Step::RunRoundsWithout { controller, rounds }),
    ];
    prop::collection::vec(step, 1..STEPS_MAX)
}

fn take_step(world: &mut World, step: &Step) {
    match *step {
        Step::AdvanceClock(ms) => world.advance_clock(ms),
        Step::ReadRecords(controller) => world.read_records(controller),
        Step::Tick(controller) => world.tick(controller),
        Step::ExecuteCommit(commit) => world.execute_commit(commit),
        Step::CallCloud(controller) => world.call_cloud(controller),
        Step::Place {
            controller,
            machine,
        } => world.place_task(controller, machine),
        Step::WorkerHeartbeat {
            machine,
            controller,
        } => world.send_worker_heartbeat(machine, controller),
        Step::DeliverResponse(response) => world.deliver_response(response),
        Step::SendHints {
            controller,
            is_false,
        } => world.send_hints(controller, is_false),
        Step::Deliver { message, keep_copy } => world.deliver(message, keep_copy),
        Step::DropMessages => world.drop_messages(),
        Step::Disconnect { controller, from } => world.disconnect(controller, from),
        Step::SetPaused {
            controller,
            is_paused,
        } => world.set_paused(controller, is_paused),
        Step::Restart { controller, is_up } => world.restart(controller, is_up),
        Step::RunRounds(rounds) => world.run_rounds(None, rounds),
        Step::RunRoundsWithout { controller, rounds } => world.run_rounds(Some(controller), rounds),
    }
}

fn check_violation(world: &mut World) -> Result<(), TestCaseError> {
    match world.violation.take() {
        Some(violation) => Err(TestCaseError::fail(violation.to_string())),
        None => Ok(()),
    }
}

fn run_case(steps: &[Step], bug: InjectedBug) -> Result<(), TestCaseError> {
    let mut world = World::new(bug);
    for step in steps {
        take_step(&mut world, step);
        check_violation(&mut world)?;
    }
    world.settle();
    check_violation(&mut world)
}

#[test]
fn any_order_of_steps_breaks_no_rule() {
    property::assert_holds(CASES_VARIABLE, PROPERTY_CASES, &steps(), |steps| {
        run_case(&steps, InjectedBug::None)
    });
}

fn assert_bug_found(bug: InjectedBug) {
    property::assert_found(&bug, INJECTED_BUG_CASES, &steps(), |steps| {
        run_case(&steps, bug)
    });
}

#[test]
fn successor_that_calls_the_cloud_at_once_is_found() {
    assert_bug_found(InjectedBug::CallsCloudAtOnce);
}

#[test]
fn cloud_call_without_a_recent_read_is_found() {
    assert_bug_found(InjectedBug::CallsCloudWithoutRead);
}

#[test]
fn placement_before_the_watch_has_caught_up_is_found() {
    assert_bug_found(InjectedBug::PlacesBeforeCaughtUp);
}

/// A leader is replaced before its lease expires. The lease of the successor, requested before its
/// commit, expires soon after the commit. The next leader finds no leader record, but still has to
/// wait because the first leader may call the cloud.
fn run_two_takeovers(bug: InjectedBug) -> Option<Violation> {
    let mut world = World::new(bug);
    world.run_rounds(None, 30);
    let leader = world.find_leader().expect("a controller leads");
    let others: Vec<usize> = (0..CONTROLLERS).filter(|other| *other != leader).collect();
    // The leader's heartbeats are lost, so a majority suspects it. It continues to read its record.
    for _ in 0..20 {
        world.advance_clock(100);
        world.read_records(leader);
        for other in &others {
            world.read_records(*other);
            world.tick(*other);
        }
        while world.deliver_between(&others) {}
        world.keep_first_commit();
    }
    world.read_records(leader);
    world.tick(leader);
    // The commit of an election whose lease was requested 2.5 s ago is executed only now, and the
    // process of the new leader ends.
    world.advance_clock(900);
    world.read_records(leader);
    world.execute_commit(0);
    let successor = world.recorded_leader().expect("a successor leads");
    world.restart(successor, false);
    let last = others.into_iter().find(|other| *other != successor);
    let last = last.expect("a third controller");
    while world.recorded_leader().is_some() {
        world.advance_clock(50);
    }
    world.read_records(last);
    world.tick(last);
    world.execute_commit(usize::MAX);
    world.read_records(last);
    world.call_cloud(last);
    world.call_cloud(leader);
    world.violation
}

#[test]
fn wait_before_cloud_calls_outlives_a_successor() {
    assert_eq!(run_two_takeovers(InjectedBug::None), None);
    let found = run_two_takeovers(InjectedBug::IgnoresStoredFence);
    assert!(found.is_some(), "the injected bug isn't found");
}

/// A leader has started the task and its process ends. False hints in its name say that the task
/// has ended. The successor must not start the task on another machine.
fn run_takeover_with_false_hints(bug: InjectedBug) -> Option<Violation> {
    let mut world = World::new(bug);
    world.run_rounds(None, 30);
    let leader = world.find_leader().expect("a controller leads");
    world.place_task(leader, 0);
    world.execute_commit(usize::MAX);
    for _ in 0..2 {
        world.read_records(leader);
        world.send_worker_heartbeat(0, leader);
        world.deliver_response(0);
    }
    world.drop_messages();
    world.restart(leader, false);
    for _ in 0..60 {
        world.advance_clock(100);
        for successor in (0..CONTROLLERS).filter(|other| *other != leader) {
            world.read_records(successor);
            world.tick(successor);
            world.execute_commit(0);
            world.read_records(successor);
            world.deliver_false_hints(successor, leader);
            world.place_task(successor, 1);
            world.execute_commit(usize::MAX);
            world.read_records(successor);
            for machine in 0..MACHINES {
                world.send_worker_heartbeat(machine, successor);
                world.deliver_response(0);
            }
        }
    }
    world.violation
}

#[test]
fn false_hint_that_a_task_has_ended_is_ignored() {
    assert_eq!(run_takeover_with_false_hints(InjectedBug::None), None);
    let found = run_takeover_with_false_hints(InjectedBug::TrustsHints);
    assert!(found.is_some(), "the injected bug isn't found");
}
