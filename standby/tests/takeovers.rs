//! Any order of reads, commits, messages, pauses and ends, drawn and shrunk by proptest: no task runs
//! twice or uncommitted, no token is given again, and the cloud is called by one leader after the
//! other. Each planted mistake has to be found.
//!
//! `STANDBY_CASES=200000 cargo test --release -p salttrestle-standby --test takeovers` draws more of
//! them, from another seed each time.

#[path = "../../tests/property/mod.rs"]
mod property;
mod world;

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use world::{CONTROLLERS, MACHINES, Mistake, Violation, World};

/// Names how many cases are drawn by hand.
const CASES_VARIABLE: &str = "STANDBY_CASES";
/// Cases in CI, and for a mistake to be found in.
const CASES: u32 = 2_000;
const MISTAKE_CASES: u32 = 4_000;
const STEPS: usize = 160;

/// One step. Commits, messages and answers are numbers that are taken modulo how many there are.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Read(usize),
    Tick(usize),
    CarryOut(usize),
    CallCloud(usize),
    Place {
        controller: usize,
        machine: usize,
    },
    Heartbeat {
        machine: usize,
        controller: usize,
    },
    Answer(usize),
    Hint {
        controller: usize,
        lie: bool,
    },
    Deliver {
        message: usize,
        copy: bool,
    },
    LoseMessages,
    Disconnect {
        controller: usize,
        from: usize,
    },
    Pause {
        controller: usize,
        pause: bool,
    },
    Restart {
        controller: usize,
        up: bool,
    },
    /// Some time in which everything works.
    Calm(usize),
    /// The same for all but one controller, which still calls the cloud.
    CalmWithout {
        controller: usize,
        rounds: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let controller = || 0..CONTROLLERS;
    let machine = || 0..MACHINES;
    let index = || 0..1_000usize;
    let step = prop_oneof![
        6 => (10..800u64).prop_map(Step::Wait),
        4 => controller().prop_map(Step::Read),
        4 => controller().prop_map(Step::Tick),
        4 => index().prop_map(Step::CarryOut),
        4 => controller().prop_map(Step::CallCloud),
        3 => (controller(), machine())
            .prop_map(|(controller, machine)| Step::Place { controller, machine }),
        4 => (machine(), controller())
            .prop_map(|(machine, controller)| Step::Heartbeat { machine, controller }),
        4 => index().prop_map(Step::Answer),
        2 => (controller(), any::<bool>())
            .prop_map(|(controller, lie)| Step::Hint { controller, lie }),
        4 => (index(), any::<bool>()).prop_map(|(message, copy)| Step::Deliver { message, copy }),
        1 => Just(Step::LoseMessages),
        1 => (controller(), controller())
            .prop_map(|(controller, from)| Step::Disconnect { controller, from }),
        2 => (controller(), any::<bool>())
            .prop_map(|(controller, pause)| Step::Pause { controller, pause }),
        1 => (controller(), any::<bool>())
            .prop_map(|(controller, up)| Step::Restart { controller, up }),
        4 => (1..30usize).prop_map(Step::Calm),
        4 => (controller(), 1..30usize)
            .prop_map(|(controller, rounds)| Step::CalmWithout { controller, rounds }),
    ];
    prop::collection::vec(step, 1..STEPS)
}

fn take_step(world: &mut World, step: &Step) {
    match *step {
        Step::Wait(ms) => world.wait(ms),
        Step::Read(controller) => world.read(controller),
        Step::Tick(controller) => world.tick(controller),
        Step::CarryOut(commit) => world.carry_out(commit),
        Step::CallCloud(controller) => world.call_cloud(controller),
        Step::Place {
            controller,
            machine,
        } => world.place(controller, machine),
        Step::Heartbeat {
            machine,
            controller,
        } => world.heartbeat(machine, controller),
        Step::Answer(answer) => world.answer(answer),
        Step::Hint { controller, lie } => world.hint(controller, lie),
        Step::Deliver { message, copy } => world.deliver(message, copy),
        Step::LoseMessages => world.lose_messages(),
        Step::Disconnect { controller, from } => world.disconnect(controller, from),
        Step::Pause { controller, pause } => world.pause(controller, pause),
        Step::Restart { controller, up } => world.restart(controller, up),
        Step::Calm(rounds) => world.calm(None, rounds),
        Step::CalmWithout { controller, rounds } => world.calm(Some(controller), rounds),
    }
}

fn violation(world: &mut World) -> Result<(), TestCaseError> {
    match world.violation.take() {
        Some(violation) => Err(TestCaseError::fail(violation.to_string())),
        None => Ok(()),
    }
}

fn play(steps: &[Step], mistake: Mistake) -> Result<(), TestCaseError> {
    let mut world = World::new(mistake);
    for step in steps {
        take_step(&mut world, step);
        violation(&mut world)?;
    }
    world.settle();
    violation(&mut world)
}

#[test]
fn any_order_of_steps_breaks_no_rule() {
    property::assert_holds(CASES_VARIABLE, CASES, &steps(), |steps| {
        play(&steps, Mistake::None)
    });
}

fn assert_found(mistake: Mistake) {
    property::assert_found(&mistake, MISTAKE_CASES, &steps(), |steps| {
        play(&steps, mistake)
    });
}

#[test]
fn successor_that_calls_the_cloud_at_once_is_found() {
    assert_found(Mistake::NoFence);
}

#[test]
fn cloud_call_after_the_lease_is_found() {
    assert_found(Mistake::CallsWithoutReading);
}

#[test]
fn orders_before_the_watch_has_caught_up_are_found() {
    assert_found(Mistake::OrdersBeforeCaughtUp);
}

/// A former leader that is paused, a successor whose lease ends soon after its commit, and the next
/// one, which finds no record: it has to wait for the first one all the same.
fn successor_of_a_successor(mistake: Mistake) -> Option<Violation> {
    let mut world = World::new(mistake);
    world.calm(None, 30);
    let leader = world.leader().expect("one leads");
    let others: Vec<usize> = (0..CONTROLLERS).filter(|other| *other != leader).collect();
    // Its heartbeats are lost, and a majority loses it; it has read its record just now.
    for _ in 0..20 {
        world.wait(100);
        world.read(leader);
        for other in &others {
            world.read(*other);
            world.tick(*other);
        }
        while world.deliver_between(&others) {}
        world.forget_commits_but_one();
    }
    world.read(leader);
    world.tick(leader);
    // The election that was asked for 2.5 s ago is carried out only now, and its leader ends.
    world.wait(900);
    world.read(leader);
    world.carry_out(0);
    let successor = world.leader_of_record().expect("a successor");
    world.restart(successor, false);
    let last = others.into_iter().find(|other| *other != successor);
    let last = last.expect("a third one");
    while world.leader_of_record().is_some() {
        world.wait(50);
    }
    world.read(last);
    world.tick(last);
    world.carry_out(usize::MAX);
    world.read(last);
    world.call_cloud(last);
    world.call_cloud(leader);
    world.violation
}

#[test]
fn wait_before_cloud_calls_outlives_a_successor() {
    assert_eq!(successor_of_a_successor(Mistake::None), None);
    let found = successor_of_a_successor(Mistake::FenceForgotten);
    assert!(found.is_some(), "the mistake isn't found");
}

/// A leader has started the task, sends a hint that it has ended, and ends itself: its successor
/// must not start it elsewhere.
fn hint_of_an_ended_task(mistake: Mistake) -> Option<Violation> {
    let mut world = World::new(mistake);
    world.calm(None, 30);
    let leader = world.leader().expect("one leads");
    world.place(leader, 0);
    world.carry_out(usize::MAX);
    for _ in 0..2 {
        world.read(leader);
        world.heartbeat(0, leader);
        world.answer(0);
    }
    world.lose_messages();
    world.restart(leader, false);
    for _ in 0..60 {
        world.wait(100);
        for successor in (0..CONTROLLERS).filter(|other| *other != leader) {
            world.read(successor);
            world.tick(successor);
            world.carry_out(0);
            world.read(successor);
            world.lie_to(successor, leader);
            world.place(successor, 1);
            world.carry_out(usize::MAX);
            world.read(successor);
            for machine in 0..MACHINES {
                world.heartbeat(machine, successor);
                world.answer(0);
            }
        }
    }
    world.violation
}

#[test]
fn hint_that_a_task_has_ended_changes_nothing() {
    assert_eq!(hint_of_an_ended_task(Mistake::None), None);
    let found = hint_of_an_ended_task(Mistake::HintBelieved);
    assert!(found.is_some(), "the mistake isn't found");
}
