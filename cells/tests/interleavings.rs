//! Any order of reads, commits, messages, starts and changes of limits, drawn and shrunk by
//! proptest: the room of a team is never more and never less than its limit, and no cell uses more
//! than its share. Each planted mistake has to be found.
//!
//! `CELLS_CASES=200000 cargo test --release -p salttrestle-cells --test interleavings` draws more
//! of them, from another seed each time.

#[path = "../../tests/property/mod.rs"]
mod property;
mod world;

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use world::{LEADERS, LeaderOf, Mistake, World};

const CELLS: usize = 3;
/// Teams with their limits, in tasks.
const TEAMS: &[(&str, u64)] = &[("blue", 6), ("green", 3)];
/// Names how many cases are drawn by hand.
const CASES_VARIABLE: &str = "CELLS_CASES";
/// Cases in CI, and for a mistake to be found in.
const CASES: u32 = 3_000;
const MISTAKE_CASES: u32 = 20_000;
const STEPS: usize = 120;

/// One step. Teams, messages and commits are numbers that are taken modulo how many there are.
#[derive(Clone, Debug)]
enum Step {
    Refresh(LeaderOf),
    SetQuotaShare {
        by: LeaderOf,
        team: usize,
        tasks: u64,
    },
    Give {
        by: LeaderOf,
        to: usize,
        team: usize,
        tasks: u64,
    },
    Share(LeaderOf),
    ActOn {
        by: LeaderOf,
        from: usize,
    },
    ChangeLimit {
        by: LeaderOf,
        team: usize,
    },
    Want {
        team: usize,
        tasks: u64,
    },
    SendMessage {
        by: LeaderOf,
        to: usize,
    },
    Deliver {
        message: usize,
        leader: usize,
    },
    Start {
        cell: usize,
        team: usize,
    },
    End {
        cell: usize,
        team: usize,
    },
    CarryOut(usize),
    /// The commit that was sent last is carried out, and its leader reads what came of it.
    CarryOutLast(LeaderOf),
    SetOutage {
        cell: usize,
        outage: bool,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let cell = || 0..CELLS;
    let leader = || (0..CELLS, 0..LEADERS).prop_map(|(cell, leader)| LeaderOf { cell, leader });
    let team = || 0..TEAMS.len();
    let index = || 0..1_000usize;
    let step = prop_oneof![
        4 => leader().prop_map(Step::Refresh),
        3 => (leader(), team(), 0..8u64)
            .prop_map(|(by, team, tasks)| Step::SetQuotaShare { by, team, tasks }),
        3 => (leader(), cell(), team(), 1..5u64)
            .prop_map(|(by, to, team, tasks)| Step::Give { by, to, team, tasks }),
        1 => leader().prop_map(Step::Share),
        4 => (leader(), cell()).prop_map(|(by, from)| Step::ActOn { by, from }),
        2 => (leader(), team()).prop_map(|(by, team)| Step::ChangeLimit { by, team }),
        1 => (team(), 0..10u64).prop_map(|(team, tasks)| Step::Want { team, tasks }),
        4 => (leader(), cell()).prop_map(|(by, to)| Step::SendMessage { by, to }),
        4 => (index(), 0..LEADERS)
            .prop_map(|(message, leader)| Step::Deliver { message, leader }),
        4 => (cell(), team()).prop_map(|(cell, team)| Step::Start { cell, team }),
        1 => (cell(), team()).prop_map(|(cell, team)| Step::End { cell, team }),
        3 => index().prop_map(Step::CarryOut),
        6 => leader().prop_map(Step::CarryOutLast),
        1 => (cell(), any::<bool>()).prop_map(|(cell, outage)| Step::SetOutage { cell, outage }),
    ];
    prop::collection::vec(step, 1..STEPS)
}

fn take_step(world: &mut World, step: &Step) {
    match *step {
        Step::Refresh(leader) => world.refresh(leader),
        Step::SetQuotaShare { by, team, tasks } => world.set_quota_share(by, team, tasks),
        Step::Give {
            by,
            to,
            team,
            tasks,
        } => world.give(by, to, team, tasks),
        Step::Share(leader) => world.share(leader),
        Step::ActOn { by, from } => world.act_on(by, from),
        Step::ChangeLimit { by, team } => world.change_limit(by, team),
        Step::Want { team, tasks } => world.want(team, tasks),
        Step::SendMessage { by, to } => world.send_message(by, to),
        Step::Deliver { message, leader } => world.deliver(message, leader),
        Step::Start { cell, team } => world.start_task(cell, team),
        Step::End { cell, team } => world.end_task(cell, team),
        Step::CarryOut(commit) => world.carry_out(commit),
        Step::CarryOutLast(leader) => {
            world.carry_out(world.commits.len().saturating_sub(1));
            world.refresh(leader);
        }
        Step::SetOutage { cell, outage } => world.stores[cell].outage = outage,
    }
}

fn play(steps: &[Step], mistake: Mistake) -> Result<(), TestCaseError> {
    let failed = |violation: world::Violation| TestCaseError::fail(violation.to_string());
    let mut world = World::new(CELLS, TEAMS, mistake);
    for step in steps {
        take_step(&mut world, step);
        world.check().map_err(failed)?;
    }
    world.settle();
    world.check_settled().map_err(failed)
}

#[test]
fn any_order_of_steps_neither_makes_nor_loses_room() {
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
fn transfer_accepted_whatever_its_number_is_found() {
    assert_found(Mistake::AnyNumber);
}

#[test]
fn commits_without_conditions_are_found() {
    assert_found(Mistake::NoConditions);
}

#[test]
fn giving_what_is_in_use_is_found() {
    assert_found(Mistake::GivesWhatIsUsed);
}

#[test]
fn giving_without_a_condition_on_the_shards_is_found() {
    assert_found(Mistake::NoShardCondition);
}

#[test]
fn forgetting_a_transfer_that_was_only_sent_is_found() {
    assert_found(Mistake::ForgetsEarly);
}

#[test]
fn lowering_a_limit_without_its_room_is_found() {
    assert_found(Mistake::LowersAtOnce);
}
