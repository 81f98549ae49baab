//! Any order of reads, commits, messages, starts and changes of limits, drawn and shrunk by
//! proptest: the room of a team is never more and never less than its limit, and no cell uses more
//! than its share. Each planted mistake has to be found.
//!
//! `CELLS_CASES=200000 cargo test --release -p salttrestle-cells --test interleavings` draws more
//! of them, from another seed each time.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use world::{Mistake, World};

const CELLS: usize = 3;
const TEAMS: &[(&str, u64)] = &[("blue", 6), ("green", 3)];
/// Cases in CI, and for a mistake to be found in.
const CASES: u32 = 3_000;
const MISTAKE_CASES: u32 = 20_000;
const STEPS: usize = 120;

#[derive(Clone, Debug)]
enum Step {
    Refresh(usize, usize),
    Allow(usize, usize, usize, u64),
    Give(usize, usize, usize, usize, u64),
    Share(usize, usize),
    ActOn(usize, usize, usize),
    ChangeLimit(usize, usize, usize),
    Want(usize, u64),
    Tell(usize, usize, usize),
    Deliver(usize, usize),
    Start(usize, usize),
    End(usize, usize),
    CarryOut(usize),
    /// The commit that was sent last is carried out, and its leader reads what came of it.
    Prompt(usize, usize),
    Away(usize, bool),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let cell = || 0..CELLS;
    let leader = || 0..world::LEADERS;
    let team = || 0..TEAMS.len();
    let index = || 0..1_000usize;
    let step = prop_oneof![
        4 => (cell(), leader()).prop_map(|(c, l)| Step::Refresh(c, l)),
        3 => (cell(), leader(), team(), 0..8u64).prop_map(|(c, l, t, n)| Step::Allow(c, l, t, n)),
        3 => (cell(), leader(), cell(), team(), 1..5u64)
            .prop_map(|(c, l, to, t, n)| Step::Give(c, l, to, t, n)),
        1 => (cell(), leader()).prop_map(|(c, l)| Step::Share(c, l)),
        4 => (cell(), leader(), cell()).prop_map(|(c, l, from)| Step::ActOn(c, l, from)),
        2 => (cell(), leader(), team()).prop_map(|(c, l, t)| Step::ChangeLimit(c, l, t)),
        1 => (team(), 0..10u64).prop_map(|(t, n)| Step::Want(t, n)),
        4 => (cell(), leader(), cell()).prop_map(|(c, l, to)| Step::Tell(c, l, to)),
        4 => (index(), leader()).prop_map(|(m, l)| Step::Deliver(m, l)),
        4 => (cell(), team()).prop_map(|(c, t)| Step::Start(c, t)),
        1 => (cell(), team()).prop_map(|(c, t)| Step::End(c, t)),
        3 => index().prop_map(Step::CarryOut),
        6 => (cell(), leader()).prop_map(|(c, l)| Step::Prompt(c, l)),
        1 => (cell(), any::<bool>()).prop_map(|(c, away)| Step::Away(c, away)),
    ];
    prop::collection::vec(step, 1..STEPS)
}

fn play(steps: &[Step], mistake: Mistake) -> Result<(), TestCaseError> {
    let mut world = World::new(CELLS, TEAMS, mistake);
    for step in steps {
        match *step {
            Step::Refresh(at, leader) => world.refresh(at, leader),
            Step::Allow(at, leader, team, tasks) => world.allow(at, leader, team, tasks),
            Step::Give(at, leader, to, team, tasks) => world.give(at, leader, to, team, tasks),
            Step::Share(at, leader) => world.share(at, leader),
            Step::ActOn(at, leader, from) => world.act_on(at, leader, from),
            Step::ChangeLimit(at, leader, team) => world.change_limit(at, leader, team),
            Step::Want(team, tasks) => world.want(team, tasks),
            Step::Tell(at, leader, to) => world.tell(at, leader, to),
            Step::Deliver(message, leader) => world.deliver(message, leader),
            Step::Start(at, team) => world.start(at, team),
            Step::End(at, team) => world.end(at, team),
            Step::CarryOut(commit) => world.carry_out(commit),
            Step::Prompt(at, leader) => {
                world.carry_out(world.commits.len().saturating_sub(1));
                world.refresh(at, leader);
            }
            Step::Away(at, away) => world.stores[at].away = away,
        }
        world.check().map_err(TestCaseError::fail)?;
    }
    world.quiet();
    world.check_quiet().map_err(TestCaseError::fail)
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

#[test]
fn no_room_is_made_or_lost() {
    let by_hand = std::env::var("CELLS_CASES").ok();
    let (cases, rng) = match by_hand.and_then(|text| text.parse().ok()) {
        Some(cases) => (cases, by_the_clock()),
        None => (CASES, fixed()),
    };
    if let Err(failure) = run(cases, rng, Mistake::None) {
        panic!("{failure}");
    }
}

/// Another seed each time.
fn by_the_clock() -> TestRng {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    let mut seed = [0; 32];
    seed[..16].copy_from_slice(&since.unwrap_or_default().as_nanos().to_le_bytes());
    TestRng::from_seed(RngAlgorithm::ChaCha, &seed)
}

fn found(mistake: Mistake) {
    let failure = run(MISTAKE_CASES, fixed(), mistake).expect_err("the mistake isn't found");
    let TestError::Fail(why, steps) = failure else {
        panic!("{failure}");
    };
    println!("{mistake:?} after {} steps: {why}", steps.len());
}

#[test]
fn a_transfer_taken_whatever_its_number_is_found() {
    found(Mistake::AnyNumber);
}

#[test]
fn commits_without_conditions_are_found() {
    found(Mistake::NoConditions);
}

#[test]
fn giving_what_is_in_use_is_found() {
    found(Mistake::GivesWhatIsUsed);
}

#[test]
fn giving_without_a_look_at_the_blocks_is_found() {
    found(Mistake::NoBlockCondition);
}

#[test]
fn forgetting_a_transfer_that_was_only_sent_is_found() {
    found(Mistake::ForgetsEarly);
}

#[test]
fn lowering_a_limit_without_its_room_is_found() {
    found(Mistake::LowersAtOnce);
}
