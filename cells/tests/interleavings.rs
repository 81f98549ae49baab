//! Property test over random sequences of reads, commits, messages, task starts and limit changes.
//! After each step, the shares of a team and its amounts in transit have to equal its limit, and no
//! cell may use more than its share. Each injected bug has to be found.
//!
//! `CELLS_CASES=200000 cargo test --release -p salttrestle-cells --test interleavings` runs more
//! cases, with another seed each time.

#[path = "../../tests/property/mod.rs"]
mod property;
mod world;

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use world::{InjectedBug, LEADERS, LeaderId, World};

const CELLS: usize = 3;
/// Teams with their limits, in units of one task.
const TEAMS: &[(&str, u64)] = &[("blue", 6), ("green", 3)];
/// Environment variable that sets the number of cases and makes each run use a new seed.
const CASES_VARIABLE: &str = "CELLS_CASES";
/// Number of cases without an injected bug, unless [`CASES_VARIABLE`] is set.
const PROPERTY_CASES: u32 = 3_000;
/// Maximum number of cases in which an injected bug has to be found.
const INJECTED_BUG_CASES: u32 = 20_000;
/// Upper bound, exclusive, of the number of steps in a case.
const STEPS_MAX: usize = 120;

/// One step. Indexes of teams, messages and commits are taken modulo their number.
#[derive(Clone, Debug)]
enum Step {
    ReadRecords(LeaderId),
    SetQuotaShare {
        by: LeaderId,
        team: usize,
        tasks: u64,
    },
    Give {
        by: LeaderId,
        to: usize,
        team: usize,
        tasks: u64,
    },
    Rebalance(LeaderId),
    HandleLastMessage {
        by: LeaderId,
        from: usize,
    },
    ChangeLimit {
        by: LeaderId,
        team: usize,
    },
    RequestLimit {
        team: usize,
        tasks: u64,
    },
    SendMessage {
        by: LeaderId,
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
    ExecuteCommit(usize),
    /// Executes the commit that was sent last, and then a leader reads the records.
    ExecuteLastCommit(LeaderId),
    SetDown {
        cell: usize,
        is_down: bool,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let cell = || 0..CELLS;
    let leader = || (0..CELLS, 0..LEADERS).prop_map(|(cell, leader)| LeaderId { cell, leader });
    let team = || 0..TEAMS.len();
    let index = || 0..1_000usize;
    let step = prop_oneof![
        4 => leader().prop_map(Step::ReadRecords),
        3 => (leader(), team(), 0..8u64)
            .prop_map(|(by, team, tasks)| Step::SetQuotaShare { by, team, tasks }),
        3 => (leader(), cell(), team(), 1..5u64)
            .prop_map(|(by, to, team, tasks)| Step::Give { by, to, team, tasks }),
        1 => leader().prop_map(Step::Rebalance),
        4 => (leader(), cell()).prop_map(|(by, from)| Step::HandleLastMessage { by, from }),
        2 => (leader(), team()).prop_map(|(by, team)| Step::ChangeLimit { by, team }),
        1 => (team(), 0..10u64).prop_map(|(team, tasks)| Step::RequestLimit { team, tasks }),
        4 => (leader(), cell()).prop_map(|(by, to)| Step::SendMessage { by, to }),
        4 => (index(), 0..LEADERS)
            .prop_map(|(message, leader)| Step::Deliver { message, leader }),
        4 => (cell(), team()).prop_map(|(cell, team)| Step::Start { cell, team }),
        1 => (cell(), team()).prop_map(|(cell, team)| Step::End { cell, team }),
        3 => index().prop_map(Step::ExecuteCommit),
        6 => leader().prop_map(Step::ExecuteLastCommit),
        1 => (cell(), any::<bool>()).prop_map(|(cell, is_down)| Step::SetDown { cell, is_down }),
    ];
    prop::collection::vec(step, 1..STEPS_MAX)
}

fn take_step(world: &mut World, step: &Step) {
    match *step {
        Step::ReadRecords(leader) => world.read_records(leader),
        Step::SetQuotaShare { by, team, tasks } => world.set_quota_share(by, team, tasks),
        Step::Give {
            by,
            to,
            team,
            tasks,
        } => world.give(by, to, team, tasks),
        Step::Rebalance(leader) => world.rebalance(leader),
        Step::HandleLastMessage { by, from } => world.handle_last_message(by, from),
        Step::ChangeLimit { by, team } => world.change_limit(by, team),
        Step::RequestLimit { team, tasks } => world.request_limit(team, tasks),
        Step::SendMessage { by, to } => world.send_message(by, to),
        Step::Deliver { message, leader } => world.deliver(message, leader),
        Step::Start { cell, team } => world.start_task(cell, team),
        Step::End { cell, team } => world.end_task(cell, team),
        Step::ExecuteCommit(commit) => world.execute_commit(commit),
        Step::ExecuteLastCommit(leader) => {
            world.execute_commit(world.commits.len().saturating_sub(1));
            world.read_records(leader);
        }
        Step::SetDown { cell, is_down } => world.stores[cell].is_down = is_down,
    }
}

fn run_case(steps: &[Step], bug: InjectedBug) -> Result<(), TestCaseError> {
    let failed = |violation: world::Violation| TestCaseError::fail(violation.to_string());
    let mut world = World::new(CELLS, TEAMS, bug);
    for step in steps {
        take_step(&mut world, step);
        world.check().map_err(failed)?;
    }
    world.settle();
    world.check_settled().map_err(failed)
}

#[test]
fn any_order_of_steps_keeps_the_total_quota() {
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
fn taking_a_transfer_with_any_number_is_found() {
    assert_bug_found(InjectedBug::AcceptsAnyNumber);
}

#[test]
fn ignoring_commit_conditions_is_found() {
    assert_bug_found(InjectedBug::IgnoresConditions);
}

#[test]
fn giving_quota_in_use_is_found() {
    assert_bug_found(InjectedBug::GivesHeldQuota);
}

#[test]
fn giving_without_a_condition_on_the_shards_is_found() {
    assert_bug_found(InjectedBug::OmitsShardCondition);
}

#[test]
fn clearing_a_transfer_that_was_only_sent_is_found() {
    assert_bug_found(InjectedBug::ClearsPendingEarly);
}

#[test]
fn lowering_a_limit_before_its_quota_is_returned_is_found() {
    assert_bug_found(InjectedBug::LowersLimitAtOnce);
}
