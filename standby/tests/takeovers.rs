//! Any order of reads, commits, messages, pauses and ends, drawn and shrunk by proptest: no task runs
//! twice or uncommitted, no number is given again, and the cloud is called by one leader after the
//! other. Each planted mistake has to be found.
//!
//! `STANDBY_CASES=200000 cargo test --release -p salttrestle-standby --test takeovers` draws more of
//! them, from another seed each time.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use std::hash::{BuildHasher, RandomState};
use world::{CONTROLLERS, MACHINES, Mistake, World};

/// Cases in CI, and for a mistake to be found in.
const CASES: u32 = 2_000;
const MISTAKE_CASES: u32 = 4_000;
const STEPS: usize = 160;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Read(usize),
    Tick(usize),
    CarryOut(usize),
    CallCloud(usize),
    Place(usize, usize),
    Report(usize, usize),
    Answer(usize),
    Hint(usize, bool),
    Deliver(usize, bool),
    LoseLetters,
    Disconnect(usize, usize),
    Pause(usize, bool),
    Restart(usize, bool),
    /// Some time in which everything works.
    Calm(usize),
    /// The same for all but one controller, which still calls the cloud.
    Without(usize, usize),
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
        3 => (controller(), machine()).prop_map(|(n, m)| Step::Place(n, m)),
        4 => (machine(), controller()).prop_map(|(m, n)| Step::Report(m, n)),
        4 => index().prop_map(Step::Answer),
        2 => (controller(), any::<bool>()).prop_map(|(n, lie)| Step::Hint(n, lie)),
        4 => (index(), any::<bool>()).prop_map(|(at, copy)| Step::Deliver(at, copy)),
        1 => Just(Step::LoseLetters),
        1 => (controller(), controller()).prop_map(|(n, from)| Step::Disconnect(n, from)),
        2 => (controller(), any::<bool>()).prop_map(|(n, pause)| Step::Pause(n, pause)),
        1 => (controller(), any::<bool>()).prop_map(|(n, up)| Step::Restart(n, up)),
        4 => (1..30usize).prop_map(Step::Calm),
        4 => (controller(), 1..30usize).prop_map(|(n, rounds)| Step::Without(n, rounds)),
    ];
    prop::collection::vec(step, 1..STEPS)
}

/// Rounds of a tenth of a second in which all controllers but one act and hear each other.
fn rounds(world: &mut World, without: Option<usize>, rounds: usize) {
    for _ in 0..rounds {
        world.wait(100);
        for n in (0..CONTROLLERS).filter(|n| Some(*n) != without) {
            world.read(n);
            world.tick(n);
            for _ in 0..2 * CONTROLLERS {
                world.deliver(0, false);
            }
            world.carry_out(usize::MAX);
            world.read(n);
            world.report(n % MACHINES, n);
            world.answer(usize::MAX);
            world.call_cloud(n);
        }
        if let Some(n) = without {
            world.call_cloud(n);
        }
    }
}

fn play(steps: &[Step], mistake: Mistake) -> Result<(), TestCaseError> {
    let mut world = World::new(mistake);
    for step in steps {
        match *step {
            Step::Wait(ms) => world.wait(ms),
            Step::Read(n) => world.read(n),
            Step::Tick(n) => world.tick(n),
            Step::CarryOut(commit) => world.carry_out(commit),
            Step::CallCloud(n) => world.call_cloud(n),
            Step::Place(n, machine) => world.place(n, machine),
            Step::Report(machine, n) => world.report(machine, n),
            Step::Answer(answer) => world.answer(answer),
            Step::Hint(n, lie) => world.hint(n, lie),
            Step::Deliver(letter, copy) => world.deliver(letter, copy),
            Step::LoseLetters => world.lose_letters(),
            Step::Disconnect(n, from) => world.disconnect(n, from),
            Step::Pause(n, pause) => world.pause(n, pause),
            Step::Restart(n, up) => world.restart(n, up),
            Step::Calm(count) => rounds(&mut world, None, count),
            Step::Without(n, count) => rounds(&mut world, Some(n), count),
        }
        if let Some(why) = world.broken.take() {
            return Err(TestCaseError::fail(why));
        }
    }
    world.quiet();
    match world.broken.take() {
        Some(why) => Err(TestCaseError::fail(why)),
        None => Ok(()),
    }
}

fn run(cases: u32, rng: TestRng, mistake: Mistake) -> Result<(), TestError<Vec<Step>>> {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner.run(&steps(), |steps| play(&steps, mistake))
}

fn fixed() -> TestRng {
    TestRng::deterministic_rng(RngAlgorithm::ChaCha)
}

/// Another seed each time.
fn fresh() -> TestRng {
    let drawn = RandomState::new().hash_one(0u8).to_le_bytes();
    TestRng::from_seed(RngAlgorithm::ChaCha, &drawn.repeat(4))
}

#[test]
fn takeovers_break_nothing() {
    let by_hand = std::env::var("STANDBY_CASES").ok();
    let (cases, rng) = match by_hand.and_then(|text| text.parse().ok()) {
        Some(cases) => (cases, fresh()),
        None => (CASES, fixed()),
    };
    if let Err(failure) = run(cases, rng, Mistake::None) {
        panic!("{failure}");
    }
}

/// An old leader that stands still, a successor whose lease ends soon after its commit, and the next
/// one, which finds no record: it has to wait for the first one all the same.
fn successor_of_a_successor(mistake: Mistake) -> Option<String> {
    let mut world = World::new(mistake);
    rounds(&mut world, None, 30);
    let leader = world.leader().expect("somebody leads");
    let others: Vec<usize> = (0..CONTROLLERS).filter(|n| *n != leader).collect();
    // Its heartbeats are lost, and a majority loses it; it has read its record just now.
    for _ in 0..20 {
        world.wait(100);
        world.read(leader);
        for n in &others {
            world.read(*n);
            world.tick(*n);
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
    let last = others.into_iter().find(|n| *n != successor);
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
    world.broken
}

#[test]
fn the_wait_outlives_a_successor() {
    assert_eq!(successor_of_a_successor(Mistake::None), None);
    let found = successor_of_a_successor(Mistake::FenceForgotten);
    assert!(found.is_some(), "the mistake isn't found");
}

fn found(mistake: Mistake) {
    let failure = run(MISTAKE_CASES, fixed(), mistake).expect_err("the mistake isn't found");
    let TestError::Fail(why, steps) = failure else {
        panic!("{failure}");
    };
    println!("{mistake:?} after {} steps: {why}", steps.len());
}

#[test]
fn a_successor_that_calls_the_cloud_at_once_is_found() {
    found(Mistake::NoFence);
}

#[test]
fn a_cloud_call_after_the_grant_is_found() {
    found(Mistake::CallsWithoutReading);
}

#[test]
fn orders_before_the_follow_has_caught_up_are_found() {
    found(Mistake::OrdersBeforeCaughtUp);
}

/// A leader has started the task, says of it that it has ended, and ends itself: its successor must
/// not start it elsewhere.
fn lying_stream(mistake: Mistake) -> Option<String> {
    let mut world = World::new(mistake);
    rounds(&mut world, None, 30);
    let leader = world.leader().expect("somebody leads");
    world.place(leader, 0);
    world.carry_out(usize::MAX);
    for _ in 0..2 {
        world.read(leader);
        world.report(0, leader);
        world.answer(0);
    }
    world.lose_letters();
    world.restart(leader, false);
    for _ in 0..60 {
        world.wait(100);
        for n in (0..CONTROLLERS).filter(|n| *n != leader) {
            world.read(n);
            world.tick(n);
            world.carry_out(0);
            world.read(n);
            world.lie_to(n, leader);
            world.place(n, 1);
            world.carry_out(usize::MAX);
            world.read(n);
            for machine in 0..MACHINES {
                world.report(machine, n);
                world.answer(0);
            }
        }
    }
    world.broken
}

#[test]
fn a_stream_that_lies_changes_nothing() {
    assert_eq!(lying_stream(Mistake::None), None);
    let found = lying_stream(Mistake::StreamBelieved);
    assert!(found.is_some(), "the mistake isn't found");
}
