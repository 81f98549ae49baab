//! Edge cases of transfers and limit changes, each as a fixed sequence of steps. Each case has to
//! hold with the correct code, and to fail with the injected bug against which it guards.

mod world;

use salttrestle_cells::Amount;
use salttrestle_cells::ledger::{
    CellRecord, HomeTeam, LinkRecord, Refusal, TRANSFER_TEAMS_MAX, Transfer,
};
use salttrestle_cells::message::{self, LinkError, LinkMessage, Need};
use salttrestle_cells::sharing::{TeamView, plan_transfers};
use std::collections::BTreeMap;
use world::{InjectedBug, LeaderId, Violation, World, quota_for_tasks, refused};

const BLUE: usize = 0;
const HOME: usize = 0;
const EAST: usize = 1;
const WEST: usize = 2;

type Case = fn(&mut World) -> Result<(), Violation>;

/// Runs a case without an injected bug, which has to pass, and with `bug`, which has to fail.
fn run_case(case: Case, bug: InjectedBug) {
    let mut world = World::new(3, &[("blue", 8)], InjectedBug::None);
    case(&mut world).expect("the case holds");
    let mut world = World::new(3, &[("blue", 8)], bug);
    let result = case(&mut world);
    assert!(result.is_err(), "{bug:?} isn't found");
}

/// Executes the first commit of a transfer.
fn give(world: &mut World, from: usize, to: usize, tasks: u64) {
    world.run_step(from, |world, by| world.give(by, to, BLUE, tasks));
}

/// Sends the committed state of cell `from` to cell `to`, which handles the message.
fn send_and_handle_message(world: &mut World, from: usize, to: usize) {
    world.read_records(LeaderId::first(from));
    world.send_message(LeaderId::first(from), to);
    world.deliver(world.messages.len() - 1, 0);
    world.run_step(to, |world, by| world.handle_last_message(by, from));
}

/// Allots the cell's whole share to its only shard.
fn allot_whole_share(world: &mut World, at: usize) {
    world.run_step(at, |world, by| {
        world.set_quota_share(by, BLUE, u64::MAX / 2000);
    });
}

fn ensure(holds: bool, expectation: &'static str) -> Result<(), Violation> {
    holds
        .then_some(())
        .ok_or(Violation::Unexpected(expectation))
}

fn share(world: &World, at: usize) -> Amount {
    world.stores[at].cell.value.share("blue")
}

#[test]
fn transfer_when_the_link_is_partitioned_between_both_commits_is_taken_once() {
    run_case(
        |world| {
            give(world, HOME, EAST, 3);
            world.check()?;
            ensure(world.in_transit("blue") == quota_for_tasks(3), "in transit")?;
            // No message arrives: neither cell may use the quota, and no second transfer starts.
            give(world, HOME, EAST, 2);
            ensure(
                world.in_transit("blue") == quota_for_tasks(3),
                "only one transfer is pending",
            )?;
            send_and_handle_message(world, HOME, EAST);
            world.check()?;
            ensure(share(world, EAST) == quota_for_tasks(3), "taken once")
        },
        InjectedBug::ClearsPendingEarly,
    );
}

#[test]
fn copies_of_an_old_transfer_after_newer_ones_are_ignored() {
    run_case(
        |world| {
            give(world, HOME, EAST, 3);
            send_and_handle_message(world, HOME, EAST);
            let first = world.messages.len() - 1;
            send_and_handle_message(world, EAST, HOME);
            give(world, HOME, EAST, 2);
            send_and_handle_message(world, HOME, EAST);
            for _ in 0..3 {
                world.deliver(first, 0);
                world.run_step(EAST, |world, by| world.handle_last_message(by, HOME));
                world.check()?;
            }
            ensure(share(world, EAST) == quota_for_tasks(5), "each taken once")
        },
        InjectedBug::AcceptsAnyNumber,
    );
}

#[test]
fn transfer_when_the_receivers_leader_changes_after_its_commit_is_taken_once() {
    run_case(
        |world| {
            give(world, HOME, EAST, 3);
            send_and_handle_message(world, HOME, EAST);
            // The next leader has received the same transfer and reads the records again.
            world.deliver(world.messages.len() - 1, 1);
            world.read_records(LeaderId::second(EAST));
            world.handle_last_message(LeaderId::second(EAST), HOME);
            world.execute_commit(world.commits.len() - 1);
            world.check()?;
            send_and_handle_message(world, EAST, HOME);
            ensure(
                world.in_transit("blue").is_zero(),
                "pending transfer is cleared",
            )?;
            ensure(share(world, EAST) == quota_for_tasks(3), "taken once")
        },
        InjectedBug::AcceptsAnyNumber,
    );
}

#[test]
fn transfer_when_the_senders_leader_is_killed_after_each_step_is_taken_once() {
    run_case(
        |world| {
            // The leader is killed after it sent the commit. Nobody knows whether the commit was
            // executed.
            world.read_records(LeaderId::first(HOME));
            world.give(LeaderId::first(HOME), EAST, BLUE, 3);
            let sent = world.commits.len() - 1;
            // The next leader also gives quota. The commit that is executed first makes the other
            // one fail.
            world.read_records(LeaderId::second(HOME));
            world.give(LeaderId::second(HOME), EAST, BLUE, 4);
            world.execute_commit(world.commits.len() - 1);
            world.check()?;
            world.execute_commit(sent);
            world.check()?;
            ensure(
                world.in_transit("blue") == quota_for_tasks(4),
                "only one of the two transfers",
            )?;
            // The leader is killed after it sent the transfer. The next leader sends it again.
            send_and_handle_message(world, HOME, EAST);
            send_and_handle_message(world, HOME, EAST);
            world.check()?;
            // The leader is killed after it learned that the transfer was taken, but before it
            // cleared the pending transfer.
            send_and_handle_message(world, EAST, HOME);
            send_and_handle_message(world, EAST, HOME);
            world.check()?;
            ensure(share(world, EAST) == quota_for_tasks(4), "taken once")
        },
        InjectedBug::IgnoresConditions,
    );
}

#[test]
fn commit_without_a_response_when_executed_late_changes_nothing() {
    run_case(
        |world| {
            give(world, HOME, EAST, 3);
            world.read_records(LeaderId::first(HOME));
            world.send_message(LeaderId::first(HOME), EAST);
            world.deliver(world.messages.len() - 1, 0);
            world.read_records(LeaderId::first(EAST));
            world.handle_last_message(LeaderId::first(EAST), HOME);
            let late = world.commits.len() - 1;
            // The second attempt succeeds, and some of the quota moves on to another cell. Then the
            // commit of the first attempt is executed.
            world.run_step(EAST, |world, by| world.handle_last_message(by, HOME));
            world.check()?;
            give(world, EAST, WEST, 1);
            world.execute_commit(late);
            world.check()?;
            ensure(share(world, EAST) == quota_for_tasks(2), "taken once")
        },
        InjectedBug::IgnoresConditions,
    );
}

#[test]
fn limit_lowered_when_all_of_it_is_in_use_and_machines_are_partitioned_waits_for_ended_tasks() {
    run_case(
        |world| {
            give(world, HOME, EAST, 4);
            send_and_handle_message(world, HOME, EAST);
            send_and_handle_message(world, EAST, HOME);
            for at in [HOME, EAST] {
                allot_whole_share(world, at);
                (0..4).for_each(|_| world.start_task(at, BLUE));
            }
            world.request_limit(BLUE, 2);
            for _ in 0..3 {
                world.run_step(HOME, |world, by| world.change_limit(by, BLUE));
                send_and_handle_message(world, HOME, EAST);
                world.run_step(EAST, world::World::rebalance);
                world.check()?;
            }
            // No task is known to have ended, so the old limit stays in force.
            let limit = world.stores[HOME].cell.value.limits["blue"];
            ensure(limit == quota_for_tasks(8), "the old limit is in force")?;
            (0..4).for_each(|_| world.end_task(EAST, BLUE));
            (0..3).for_each(|_| world.end_task(HOME, BLUE));
            world.settle();
            world.check_settled()
        },
        InjectedBug::LowersLimitAtOnce,
    );
}

#[test]
fn limit_raised_when_its_recall_is_in_transit_keeps_the_sum() {
    run_case(
        |world| {
            give(world, HOME, EAST, 6);
            send_and_handle_message(world, HOME, EAST);
            send_and_handle_message(world, EAST, HOME);
            world.request_limit(BLUE, 3);
            world.run_step(HOME, |world, by| world.change_limit(by, BLUE));
            send_and_handle_message(world, HOME, EAST);
            // The recalled quota is in transit when the limit is raised again.
            world.run_step(EAST, world::World::rebalance);
            world.request_limit(BLUE, 9);
            world.run_step(HOME, |world, by| world.change_limit(by, BLUE));
            world.check()?;
            send_and_handle_message(world, EAST, HOME);
            world.run_step(HOME, |world, by| world.change_limit(by, BLUE));
            world.check()?;
            world.settle();
            world.check_settled()
        },
        InjectedBug::LowersLimitAtOnce,
    );
}

#[test]
fn shares_when_the_home_is_partitioned_move_between_others() {
    run_case(
        |world| {
            give(world, HOME, EAST, 8);
            send_and_handle_message(world, HOME, EAST);
            send_and_handle_message(world, EAST, HOME);
            world.request_limit(BLUE, 1);
            world.stores[HOME].is_down = true;
            allot_whole_share(world, EAST);
            (0..2).for_each(|_| world.start_task(EAST, BLUE));
            world.run_step(EAST, |world, by| world.set_quota_share(by, BLUE, 2));
            give(world, EAST, WEST, 5);
            send_and_handle_message(world, EAST, WEST);
            send_and_handle_message(world, WEST, EAST);
            world.check()?;
            ensure(
                share(world, WEST) == quota_for_tasks(5),
                "quota moves without the home",
            )?;
            // Quota in use isn't given.
            give(world, EAST, WEST, 2);
            world.check()?;
            world.stores[HOME].is_down = false;
            world.settle();
            world.check_settled()
        },
        InjectedBug::GivesHeldQuota,
    );
}

#[test]
fn transfers_over_a_flapping_link_keep_the_sum() {
    run_case(
        |world| {
            for round in 0..40 {
                give(world, HOME, EAST, 1);
                give(world, EAST, HOME, 1);
                // Each direction works only in some rounds, and old messages are delivered again.
                let (from, to) = if round % 3 == 0 {
                    (EAST, HOME)
                } else {
                    (HOME, EAST)
                };
                if round % 4 != 0 {
                    send_and_handle_message(world, from, to);
                }
                let old = world.messages.len().saturating_sub(round % 5 + 1);
                world.deliver(old, 0);
                world.run_step(EAST, |world, by| world.handle_last_message(by, HOME));
                world.run_step(HOME, |world, by| world.handle_last_message(by, EAST));
                world.check()?;
            }
            world.settle();
            world.check_settled()
        },
        InjectedBug::AcceptsAnyNumber,
    );
}

#[test]
fn transfer_when_the_receivers_store_is_unavailable_is_taken_once() {
    run_case(
        |world| {
            give(world, HOME, EAST, 3);
            world.stores[EAST].is_down = true;
            // The cell's leader continues with the records it read before; no commit is executed.
            for _ in 0..5 {
                send_and_handle_message(world, HOME, EAST);
                world.check()?;
            }
            let commits_sent = world.commits.len();
            ensure(world.in_transit("blue") == quota_for_tasks(3), "in transit")?;
            world.stores[EAST].is_down = false;
            for commit in 0..commits_sent {
                world.execute_commit(commit);
                give(world, EAST, WEST, 1);
                world.check()?;
            }
            ensure(
                share(world, EAST) == quota_for_tasks(2),
                "taken once, and one task given",
            )
        },
        InjectedBug::IgnoresConditions,
    );
}

#[test]
fn share_when_a_cell_has_two_leaders_is_not_used_and_given() {
    run_case(
        |world| {
            allot_whole_share(world, HOME);
            world.run_step(HOME, |world, by| world.set_quota_share(by, BLUE, 0));
            // One leader sees no quota in use and gives some. The other one allots all of it to the
            // shard.
            world.read_records(LeaderId::first(HOME));
            world.read_records(LeaderId::second(HOME));
            world.set_quota_share(LeaderId::second(HOME), BLUE, 8);
            world.execute_commit(world.commits.len() - 1);
            (0..8).for_each(|_| world.start_task(HOME, BLUE));
            world.give(LeaderId::first(HOME), EAST, BLUE, 6);
            world.execute_commit(world.commits.len() - 1);
            world.check()
        },
        InjectedBug::OmitsShardCondition,
    );
}

// Cells files and messages.

fn home_teams(entries: &[(&str, &str, u64)]) -> BTreeMap<String, HomeTeam> {
    let team = |(name, home, since): &(&str, &str, u64)| {
        let home = HomeTeam {
            home: home.to_string(),
            since: *since,
            limit: quota_for_tasks(8),
        };
        (name.to_string(), home)
    };
    entries.iter().map(team).collect()
}

#[test]
fn old_cells_file_when_a_cell_comes_back_is_refused() {
    let (here, other) = ("here".to_string(), "other".to_string());
    let first = home_teams(&[("blue", "here", 1)]);
    let record = CellRecord::create(&here, 1, &first);
    assert_eq!(record.share("blue"), quota_for_tasks(8));
    // A newer file adds a team. The older file neither removes nor adds teams.
    let newer = home_teams(&[("blue", "here", 1), ("green", "here", 2)]);
    let adopted = record.adopt(&here, 2, &newer).expect("a newer file");
    assert_eq!(adopted.share("green"), quota_for_tasks(8));
    assert_eq!(refused(adopted.adopt(&here, 1, &first)), Refusal::OldFile);
    assert_eq!(refused(adopted.adopt(&here, 2, &newer)), Refusal::Unchanged);
    // If a file moves the home of an existing team, the new home doesn't create the limit again.
    let moved = home_teams(&[("blue", "other", 1), ("green", "other", 2)]);
    let theirs = CellRecord::create(&other, 1, &first);
    let theirs = theirs.adopt(&other, 3, &moved).expect("a newer file");
    assert_eq!(theirs.share("blue"), Amount::ZERO);
    assert!(!theirs.limits.contains_key("blue"));
    // A cell that is added later than the team doesn't create it either.
    let late = CellRecord::create(&other, 3, &moved);
    assert_eq!(late.share("green"), Amount::ZERO);
}

#[test]
fn invalid_changes_are_refused() {
    let here = "here".to_string();
    let record = CellRecord::create(
        &here,
        1,
        &home_teams(&[("blue", "here", 1), ("red", "there", 1)]),
    );
    let link = LinkRecord::default();
    let none = |_: &str| Amount::ZERO;
    let amounts = |team: &str, tasks| vec![(team.to_string(), quota_for_tasks(tasks))];
    let give = |amounts| record.give(&link, amounts, none);
    assert_eq!(refused(give(Vec::new())), Refusal::Malformed);
    assert_eq!(refused(give(amounts("blue", 0))), Refusal::Malformed);
    assert_eq!(refused(give(amounts("blue", 9))), Refusal::Held);
    assert_eq!(refused(give(amounts("gold", 1))), Refusal::UnknownTeam);
    let twice = [amounts("blue", 5), amounts("blue", 5)].concat();
    assert_eq!(refused(give(twice)), Refusal::Held);
    assert_eq!(
        refused(record.give(&link, amounts("blue", 5), |_| quota_for_tasks(4))),
        Refusal::Held
    );
    let transfer = |number, amounts| Transfer { number, amounts };
    let take = |transfer| record.take(&link, &transfer);
    assert_eq!(
        refused(take(transfer(0, amounts("blue", 1)))),
        Refusal::UnexpectedNumber
    );
    assert_eq!(
        refused(take(transfer(2, amounts("blue", 1)))),
        Refusal::UnexpectedNumber
    );
    assert_eq!(
        refused(take(transfer(1, amounts("gold", 1)))),
        Refusal::UnknownTeam
    );
    let huge = vec![("blue".to_string(), Amount(0, u64::MAX))];
    assert_eq!(refused(take(transfer(1, huge))), Refusal::Overflow);
    assert_eq!(
        refused(record.change_limit("red", quota_for_tasks(1), Amount::ZERO)),
        Refusal::NotHome
    );
    assert_eq!(refused(link.clear_pending(7)), Refusal::Unchanged);
}

#[test]
fn malformed_messages_close_the_link() {
    let message = LinkMessage {
        from: "here".into(),
        to: "there".into(),
        generation: 1,
        taken: 3,
        transfer: Some(Transfer {
            number: 4,
            amounts: vec![("blue".into(), quota_for_tasks(2))],
        }),
        needs: Vec::new(),
        recalls: Vec::new(),
    };
    let bytes = message::frame(&message).expect("a frame");
    // Other cells decode these bytes: a change of the encoding needs a new version.
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(
        hex,
        "0000001a010468657265057468657265010301040104626c756500d00f0000"
    );
    for cut in 0..bytes.len() {
        let mut part = bytes[..cut].to_vec();
        assert_eq!(message::unframe(&mut part), Ok(None), "after {cut} bytes");
    }
    let mut twice = [bytes.clone(), bytes.clone()].concat();
    assert_eq!(message::unframe(&mut twice), Ok(Some(message.clone())));
    assert_eq!(message::unframe(&mut twice), Ok(Some(message)));
    let changed = |at: usize, to: u8| {
        let mut bytes = bytes.clone();
        bytes[at] = to;
        message::unframe(&mut bytes)
    };
    assert_eq!(changed(4, 9), Err(LinkError::Version(9)));
    assert_eq!(changed(0, 1), Err(LinkError::TooLarge));
    assert_eq!(changed(5, 0xff), Err(LinkError::Malformed));
    // With a shorter length, bytes are left after the message. With a longer one, the message is
    // incomplete.
    assert_eq!(changed(3, 0x19), Err(LinkError::Malformed));
    assert_eq!(changed(3, 0x1b), Ok(None));
}

/// When more teams need quota than one transfer holds, the teams that lack the largest fraction of
/// their need come first. When the teams were taken in order of their names, the last of 120 teams
/// waited for as long as the first ones needed a little more.
#[test]
fn transfer_with_too_few_places_goes_to_the_teams_that_lack_most() {
    let teams = (0..60).map(|n| {
        let view = TeamView {
            share: quota_for_tasks(50),
            ..TeamView::default()
        };
        (format!("team-{n:02}"), view)
    });
    let teams: BTreeMap<String, TeamView> = teams.collect();
    let needs = teams.keys().map(|team| Need {
        team: team.clone(),
        share: if team == "team-59" {
            Amount::ZERO
        } else {
            quota_for_tasks(9)
        },
        more: quota_for_tasks(2),
        lacking: quota_for_tasks(1),
    });
    let message = LinkMessage {
        from: "east".into(),
        to: "here".into(),
        generation: 1,
        taken: 0,
        transfer: None,
        needs: needs.collect(),
        recalls: Vec::new(),
    };
    let messages = [("east".to_string(), &message)].into();
    let given = plan_transfers(&teams, &messages, 2);
    let names: Vec<&String> = given["east"].iter().map(|(team, _)| team).collect();
    assert_eq!(names.len(), TRANSFER_TEAMS_MAX);
    assert!(names.contains(&&"team-59".to_string()), "{names:?}");
}
