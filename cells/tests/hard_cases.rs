//! The cases that are hardest to get right, one by one: each holds, and each fails with the mistake
//! that it is there to find.

mod world;

use salttrestle_cells::Amount;
use salttrestle_cells::ledger::{
    CellRecord, HomeTeam, LinkRecord, Refusal, TRANSFER_TEAMS_MAX, Transfer,
};
use salttrestle_cells::message::{self, LinkError, LinkMessage, Need};
use salttrestle_cells::sharing::{TeamView, plan_transfers};
use std::collections::BTreeMap;
use world::{LeaderOf, Mistake, Violation, World, refused, tasks_of};

const BLUE: usize = 0;
const HOME: usize = 0;
const EAST: usize = 1;
const WEST: usize = 2;

type Case = fn(&mut World) -> Result<(), Violation>;

/// Plays a case as it is, and with the mistake that it catches.
fn play(case: Case, caught: Mistake) {
    let mut world = World::new(3, &[("blue", 8)], Mistake::None);
    case(&mut world).expect("the case holds");
    let mut world = World::new(3, &[("blue", 8)], caught);
    let result = case(&mut world);
    assert!(result.is_err(), "{caught:?} isn't caught");
}

/// A transfer's first commit is carried out.
fn give(world: &mut World, from: usize, to: usize, tasks: u64) {
    world.step(from, |world, by| world.give(by, to, BLUE, tasks));
}

/// What `from` has committed reaches `to`, which acts on it.
fn pass(world: &mut World, from: usize, to: usize) {
    world.refresh(LeaderOf::first(from));
    world.send_message(LeaderOf::first(from), to);
    world.deliver(world.messages.len() - 1, 0);
    world.step(to, |world, by| world.act_on(by, from));
}

/// A cell's only shard may use the cell's whole share.
fn allow_all(world: &mut World, at: usize) {
    world.step(at, |world, by| {
        world.set_quota_share(by, BLUE, u64::MAX / 2000);
    });
}

fn expect(holds: bool, what: &'static str) -> Result<(), Violation> {
    holds.then_some(()).ok_or(Violation::Unexpected(what))
}

fn share(world: &World, at: usize) -> Amount {
    world.stores[at].cell.value.share("blue")
}

#[test]
fn transfer_when_the_link_is_partitioned_between_both_commits_is_accepted_once() {
    play(
        |world| {
            give(world, HOME, EAST, 3);
            world.check()?;
            expect(world.in_transit("blue") == tasks_of(3), "in transit")?;
            // No message arrives: neither cell has the room, and no second transfer begins.
            give(world, HOME, EAST, 2);
            expect(world.in_transit("blue") == tasks_of(3), "one at a time")?;
            pass(world, HOME, EAST);
            world.check()?;
            expect(share(world, EAST) == tasks_of(3), "taken once")
        },
        Mistake::ForgetsEarly,
    );
}

#[test]
fn copies_of_an_old_transfer_after_newer_ones_are_ignored() {
    play(
        |world| {
            give(world, HOME, EAST, 3);
            pass(world, HOME, EAST);
            let first = world.messages.len() - 1;
            pass(world, EAST, HOME);
            give(world, HOME, EAST, 2);
            pass(world, HOME, EAST);
            for _ in 0..3 {
                world.deliver(first, 0);
                world.step(EAST, |world, by| world.act_on(by, HOME));
                world.check()?;
            }
            expect(share(world, EAST) == tasks_of(5), "each taken once")
        },
        Mistake::AnyNumber,
    );
}

#[test]
fn transfer_when_the_takers_leader_changes_after_its_commit_is_accepted_once() {
    play(
        |world| {
            give(world, HOME, EAST, 3);
            pass(world, HOME, EAST);
            // The next leader has received the same transfer, and reads the records anew.
            world.deliver(world.messages.len() - 1, 1);
            world.refresh(LeaderOf::second(EAST));
            world.act_on(LeaderOf::second(EAST), HOME);
            world.carry_out(world.commits.len() - 1);
            world.check()?;
            pass(world, EAST, HOME);
            expect(world.in_transit("blue").is_zero(), "forgotten")?;
            expect(share(world, EAST) == tasks_of(3), "taken once")
        },
        Mistake::AnyNumber,
    );
}

#[test]
fn transfer_when_the_giver_is_killed_after_each_step_is_accepted_once() {
    play(
        |world| {
            // After the commit was sent: whether it was carried out isn't known.
            world.refresh(LeaderOf::first(HOME));
            world.give(LeaderOf::first(HOME), EAST, BLUE, 3);
            let sent = world.commits.len() - 1;
            // The next leader gives as well; whichever commit comes first makes the other fail.
            world.refresh(LeaderOf::second(HOME));
            world.give(LeaderOf::second(HOME), EAST, BLUE, 4);
            world.carry_out(world.commits.len() - 1);
            world.check()?;
            world.carry_out(sent);
            world.check()?;
            expect(world.in_transit("blue") == tasks_of(4), "one of the two")?;
            // After the transfer was sent: the next leader sends it again.
            pass(world, HOME, EAST);
            pass(world, HOME, EAST);
            world.check()?;
            // After the giver learnt that it was accepted, before it forgot.
            pass(world, EAST, HOME);
            pass(world, EAST, HOME);
            world.check()?;
            expect(share(world, EAST) == tasks_of(4), "taken once")
        },
        Mistake::NoConditions,
    );
}

#[test]
fn commit_without_an_answer_when_carried_out_late_changes_nothing() {
    play(
        |world| {
            give(world, HOME, EAST, 3);
            world.refresh(LeaderOf::first(HOME));
            world.send_message(LeaderOf::first(HOME), EAST);
            world.deliver(world.messages.len() - 1, 0);
            world.refresh(LeaderOf::first(EAST));
            world.act_on(LeaderOf::first(EAST), HOME);
            let late = world.commits.len() - 1;
            // It is tried again, and succeeds, and some of it goes on to another cell; then the
            // first try is carried out.
            world.step(EAST, |world, by| world.act_on(by, HOME));
            world.check()?;
            give(world, EAST, WEST, 1);
            world.carry_out(late);
            world.check()?;
            expect(share(world, EAST) == tasks_of(2), "taken once")
        },
        Mistake::NoConditions,
    );
}

#[test]
fn limit_lowered_when_every_cell_is_at_it_and_machines_are_partitioned_waits_for_proofs() {
    play(
        |world| {
            give(world, HOME, EAST, 4);
            pass(world, HOME, EAST);
            pass(world, EAST, HOME);
            for at in [HOME, EAST] {
                allow_all(world, at);
                (0..4).for_each(|_| world.start_task(at, BLUE));
            }
            world.want(BLUE, 2);
            for _ in 0..3 {
                world.step(HOME, |world, by| world.change_limit(by, BLUE));
                pass(world, HOME, EAST);
                world.step(EAST, world::World::share);
                world.check()?;
            }
            // No task is proven gone, so the old limit stays in force.
            let limit = world.stores[HOME].cell.value.limits["blue"];
            expect(limit == tasks_of(8), "the old limit is in force")?;
            (0..4).for_each(|_| world.end_task(EAST, BLUE));
            (0..3).for_each(|_| world.end_task(HOME, BLUE));
            world.settle();
            world.check_settled()
        },
        Mistake::LowersAtOnce,
    );
}

#[test]
fn limit_raised_when_its_recall_is_in_transit_keeps_the_sum() {
    play(
        |world| {
            give(world, HOME, EAST, 6);
            pass(world, HOME, EAST);
            pass(world, EAST, HOME);
            world.want(BLUE, 3);
            world.step(HOME, |world, by| world.change_limit(by, BLUE));
            pass(world, HOME, EAST);
            // The room that is recalled is in transit when the limit is raised again.
            world.step(EAST, world::World::share);
            world.want(BLUE, 9);
            world.step(HOME, |world, by| world.change_limit(by, BLUE));
            world.check()?;
            pass(world, EAST, HOME);
            world.step(HOME, |world, by| world.change_limit(by, BLUE));
            world.check()?;
            world.settle();
            world.check_settled()
        },
        Mistake::LowersAtOnce,
    );
}

#[test]
fn shares_when_the_home_is_partitioned_move_between_others() {
    play(
        |world| {
            give(world, HOME, EAST, 8);
            pass(world, HOME, EAST);
            pass(world, EAST, HOME);
            world.want(BLUE, 1);
            world.stores[HOME].outage = true;
            allow_all(world, EAST);
            (0..2).for_each(|_| world.start_task(EAST, BLUE));
            world.step(EAST, |world, by| world.set_quota_share(by, BLUE, 2));
            give(world, EAST, WEST, 5);
            pass(world, EAST, WEST);
            pass(world, WEST, EAST);
            world.check()?;
            expect(share(world, WEST) == tasks_of(5), "moved without the home")?;
            // What is in use stays.
            give(world, EAST, WEST, 2);
            world.check()?;
            world.stores[HOME].outage = false;
            world.settle();
            world.check_settled()
        },
        Mistake::GivesWhatIsUsed,
    );
}

#[test]
fn transfers_over_a_flapping_link_keep_the_sum() {
    play(
        |world| {
            for round in 0..40 {
                give(world, HOME, EAST, 1);
                give(world, EAST, HOME, 1);
                // Each direction works now and then, and brings old messages as well.
                let (from, to) = if round % 3 == 0 {
                    (EAST, HOME)
                } else {
                    (HOME, EAST)
                };
                if round % 4 != 0 {
                    pass(world, from, to);
                }
                let old = world.messages.len().saturating_sub(round % 5 + 1);
                world.deliver(old, 0);
                world.step(EAST, |world, by| world.act_on(by, HOME));
                world.step(HOME, |world, by| world.act_on(by, EAST));
                world.check()?;
            }
            world.settle();
            world.check_settled()
        },
        Mistake::AnyNumber,
    );
}

#[test]
fn transfer_when_the_takers_store_is_out_is_accepted_once() {
    play(
        |world| {
            give(world, HOME, EAST, 3);
            world.stores[EAST].outage = true;
            // Its leader goes on acting on what it read before; nothing of it is carried out.
            for _ in 0..5 {
                pass(world, HOME, EAST);
                world.check()?;
            }
            let tried = world.commits.len();
            expect(world.in_transit("blue") == tasks_of(3), "in transit")?;
            world.stores[EAST].outage = false;
            for commit in 0..tried {
                world.carry_out(commit);
                give(world, EAST, WEST, 1);
                world.check()?;
            }
            expect(
                share(world, EAST) == tasks_of(2),
                "taken once, and one given",
            )
        },
        Mistake::NoConditions,
    );
}

#[test]
fn share_when_a_cell_has_two_leaders_is_not_used_and_given() {
    play(
        |world| {
            allow_all(world, HOME);
            world.step(HOME, |world, by| world.set_quota_share(by, BLUE, 0));
            // One has counted nothing in use and gives; the other lets the shard use it all.
            world.refresh(LeaderOf::first(HOME));
            world.refresh(LeaderOf::second(HOME));
            world.set_quota_share(LeaderOf::second(HOME), BLUE, 8);
            world.carry_out(world.commits.len() - 1);
            (0..8).for_each(|_| world.start_task(HOME, BLUE));
            world.give(LeaderOf::first(HOME), EAST, BLUE, 6);
            world.carry_out(world.commits.len() - 1);
            world.check()
        },
        Mistake::NoShardCondition,
    );
}

// ---- files and messages

fn teams(entries: &[(&str, &str, u64)]) -> BTreeMap<String, HomeTeam> {
    let team = |(name, home, since): &(&str, &str, u64)| {
        let home = HomeTeam {
            home: home.to_string(),
            since: *since,
            limit: tasks_of(8),
        };
        (name.to_string(), home)
    };
    entries.iter().map(team).collect()
}

#[test]
fn old_cells_file_when_a_cell_comes_back_is_refused() {
    let (here, other) = ("here".to_string(), "other".to_string());
    let first = teams(&[("blue", "here", 1)]);
    let record = CellRecord::create(&here, 1, &first);
    assert_eq!(record.share("blue"), tasks_of(8));
    // A newer file brings a team; the older one neither removes nor creates any.
    let newer = teams(&[("blue", "here", 1), ("green", "here", 2)]);
    let adopted = record.adopt(&here, 2, &newer).expect("a newer file");
    assert_eq!(adopted.share("green"), tasks_of(8));
    assert_eq!(refused(adopted.adopt(&here, 1, &first)), Refusal::OldFile);
    assert_eq!(refused(adopted.adopt(&here, 2, &newer)), Refusal::Unchanged);
    // A team that is known elsewhere isn't created again where a file moves its home to.
    let moved = teams(&[("blue", "other", 1), ("green", "other", 2)]);
    let theirs = CellRecord::create(&other, 1, &first);
    let theirs = theirs.adopt(&other, 3, &moved).expect("a newer file");
    assert_eq!(theirs.share("blue"), Amount::ZERO);
    assert!(!theirs.limits.contains_key("blue"));
    // Nor by a cell that comes later than the team.
    let late = CellRecord::create(&other, 3, &moved);
    assert_eq!(late.share("green"), Amount::ZERO);
}

#[test]
fn changes_that_must_not_be_made_are_refused() {
    let here = "here".to_string();
    let record = CellRecord::create(
        &here,
        1,
        &teams(&[("blue", "here", 1), ("red", "there", 1)]),
    );
    let link = LinkRecord::default();
    let none = |_: &str| Amount::ZERO;
    let amounts = |team: &str, tasks| vec![(team.to_string(), tasks_of(tasks))];
    let give = |amounts| record.give(&link, amounts, none);
    assert_eq!(refused(give(Vec::new())), Refusal::Malformed);
    assert_eq!(refused(give(amounts("blue", 0))), Refusal::Malformed);
    assert_eq!(refused(give(amounts("blue", 9))), Refusal::Held);
    assert_eq!(refused(give(amounts("gold", 1))), Refusal::UnknownTeam);
    let twice = [amounts("blue", 5), amounts("blue", 5)].concat();
    assert_eq!(refused(give(twice)), Refusal::Held);
    assert_eq!(
        refused(record.give(&link, amounts("blue", 5), |_| tasks_of(4))),
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
        refused(record.change_limit("red", tasks_of(1), Amount::ZERO)),
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
            amounts: vec![("blue".into(), tasks_of(2))],
        }),
        needs: Vec::new(),
        recalls: Vec::new(),
    };
    let bytes = message::frame(&message).expect("a frame");
    // These bytes are what other cells read: a change of them needs a new version.
    let form: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(
        form,
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
    // A shorter length leaves something behind the message, a longer one waits for more.
    assert_eq!(changed(3, 0x19), Err(LinkError::Malformed));
    assert_eq!(changed(3, 0x1b), Ok(None));
}

/// More teams need room than one transfer holds: those that have least of what they need go first.
/// By name, the last teams of 120 waited for as long as the first ones needed a little more.
#[test]
fn gifts_when_one_transfer_holds_too_few_teams_go_to_those_that_lack_most() {
    let teams = (0..60).map(|n| {
        let view = TeamView {
            share: tasks_of(50),
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
            tasks_of(9)
        },
        more: tasks_of(2),
        lacking: tasks_of(1),
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
