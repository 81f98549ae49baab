//! The cases that are hardest to get right, one by one: each holds, and each fails with the mistake
//! that it is there to catch.

mod world;

use salttrestle_cells::Amount;
use salttrestle_cells::ledger::{CellRecord, HomeTeam, LinkRecord, Refusal, Transfer};
use salttrestle_cells::message::{self, LinkError, LinkMessage};
use std::collections::BTreeMap;
use world::{Mistake, World, refused, tasks_of};

const BLUE: usize = 0;
const HOME: usize = 0;
const EAST: usize = 1;
const WEST: usize = 2;

type Case = fn(&mut World) -> Result<(), String>;

/// Plays a case as it is, and with the mistake that it catches.
fn play(case: Case, caught: Mistake) {
    let mut world = World::new(3, &[("blue", 8)], Mistake::None);
    case(&mut world).expect("the case holds");
    let mut world = World::new(3, &[("blue", 8)], caught);
    let result = case(&mut world);
    assert!(result.is_err(), "{caught:?} isn't caught");
}

/// A transfer's first commit is carried out, and all that its giver tells from then on.
fn give(world: &mut World, from: usize, to: usize, tasks: u64) {
    world.step(from, |w| w.give(from, 0, to, BLUE, tasks));
}

/// What `from` has committed reaches `to`, which acts on it.
fn pass(world: &mut World, from: usize, to: usize) {
    world.refresh(from, 0);
    world.tell(from, 0, to);
    world.deliver(world.messages.len() - 1, 0);
    world.step(to, |w| w.act_on(to, 0, from));
}

/// A cell's only shard may use the cell's whole share.
fn allow_all(world: &mut World, at: usize) {
    world.step(at, |w| w.allow(at, 0, BLUE, u64::MAX / 2000));
}

fn expect(what: bool, why: &str) -> Result<(), String> {
    what.then_some(()).ok_or_else(|| why.to_string())
}

fn share(world: &World, at: usize) -> Amount {
    world.stores[at].cell.value.share("blue")
}

#[test]
fn a_link_cut_between_the_givers_commit_and_the_takers() {
    play(
        |world| {
            give(world, HOME, EAST, 3);
            world.check()?;
            expect(world.in_transit("blue") == tasks_of(3), "in transit")?;
            // Nothing comes through; neither has the room, and no second transfer begins.
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
fn copies_of_an_old_transfer_after_newer_ones() {
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
                world.step(EAST, |w| w.act_on(EAST, 0, HOME));
                world.check()?;
            }
            expect(share(world, EAST) == tasks_of(5), "each taken once")
        },
        Mistake::AnyNumber,
    );
}

#[test]
fn the_takers_leader_changes_after_its_commit() {
    play(
        |world| {
            give(world, HOME, EAST, 3);
            pass(world, HOME, EAST);
            // The next leader has heard the same transfer, and reads the records anew.
            world.deliver(world.messages.len() - 1, 1);
            world.refresh(EAST, 1);
            world.act_on(EAST, 1, HOME);
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
fn the_giver_is_killed_after_each_step() {
    play(
        |world| {
            // After the commit was sent: nobody knows whether it stands.
            world.refresh(HOME, 0);
            world.give(HOME, 0, EAST, BLUE, 3);
            let sent = world.commits.len() - 1;
            // The next leader gives as well; whichever commit comes first makes the other fail.
            world.refresh(HOME, 1);
            world.give(HOME, 1, EAST, BLUE, 4);
            world.carry_out(world.commits.len() - 1);
            world.check()?;
            world.carry_out(sent);
            world.check()?;
            expect(world.in_transit("blue") == tasks_of(4), "one of the two")?;
            // After the transfer was told: the next one tells it again.
            pass(world, HOME, EAST);
            pass(world, HOME, EAST);
            world.check()?;
            // After it was told that it is taken, before it forgot.
            pass(world, EAST, HOME);
            pass(world, EAST, HOME);
            world.check()?;
            expect(share(world, EAST) == tasks_of(4), "taken once")
        },
        Mistake::NoConditions,
    );
}

#[test]
fn a_commit_without_an_answer_is_carried_out_later() {
    play(
        |world| {
            give(world, HOME, EAST, 3);
            world.refresh(HOME, 0);
            world.tell(HOME, 0, EAST);
            world.deliver(world.messages.len() - 1, 0);
            world.refresh(EAST, 0);
            world.act_on(EAST, 0, HOME);
            let late = world.commits.len() - 1;
            // It is tried again, and succeeds, and some of it goes on to another cell; then the
            // first try is carried out.
            world.step(EAST, |w| w.act_on(EAST, 0, HOME));
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
fn a_limit_is_lowered_while_every_cell_is_at_it_and_machines_are_cut_off() {
    play(
        |world| {
            give(world, HOME, EAST, 4);
            pass(world, HOME, EAST);
            pass(world, EAST, HOME);
            for at in [HOME, EAST] {
                allow_all(world, at);
                (0..4).for_each(|_| world.start(at, BLUE));
            }
            world.want(BLUE, 2);
            for _ in 0..3 {
                world.step(HOME, |w| w.change_limit(HOME, 0, BLUE));
                pass(world, HOME, EAST);
                world.step(EAST, |w| w.share(EAST, 0));
                world.check()?;
            }
            // Nobody can say that a task is gone, so the old limit is what is kept to.
            let limit = world.stores[HOME].cell.value.limits["blue"];
            expect(limit == tasks_of(8), "the old limit is in force")?;
            (0..4).for_each(|_| world.end(EAST, BLUE));
            (0..3).for_each(|_| world.end(HOME, BLUE));
            world.quiet();
            world.check_quiet()
        },
        Mistake::LowersAtOnce,
    );
}

#[test]
fn raising_and_lowering_cross_each_other() {
    play(
        |world| {
            give(world, HOME, EAST, 6);
            pass(world, HOME, EAST);
            pass(world, EAST, HOME);
            world.want(BLUE, 3);
            world.step(HOME, |w| w.change_limit(HOME, 0, BLUE));
            pass(world, HOME, EAST);
            // The room that is called back is on its way when the limit is raised again.
            world.step(EAST, |w| w.share(EAST, 0));
            world.want(BLUE, 9);
            world.step(HOME, |w| w.change_limit(HOME, 0, BLUE));
            world.check()?;
            pass(world, EAST, HOME);
            world.step(HOME, |w| w.change_limit(HOME, 0, BLUE));
            world.check()?;
            world.quiet();
            world.check_quiet()
        },
        Mistake::LowersAtOnce,
    );
}

#[test]
fn the_home_is_cut_off_while_demand_moves_between_others() {
    play(
        |world| {
            give(world, HOME, EAST, 8);
            pass(world, HOME, EAST);
            pass(world, EAST, HOME);
            world.want(BLUE, 1);
            world.stores[HOME].away = true;
            allow_all(world, EAST);
            (0..2).for_each(|_| world.start(EAST, BLUE));
            world.step(EAST, |w| w.allow(EAST, 0, BLUE, 2));
            give(world, EAST, WEST, 5);
            pass(world, EAST, WEST);
            pass(world, WEST, EAST);
            world.check()?;
            expect(share(world, WEST) == tasks_of(5), "moved without the home")?;
            // What is in use stays.
            give(world, EAST, WEST, 2);
            world.check()?;
            world.stores[HOME].away = false;
            world.quiet();
            world.check_quiet()
        },
        Mistake::GivesWhatIsUsed,
    );
}

#[test]
fn a_link_flaps() {
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
                world.step(EAST, |w| w.act_on(EAST, 0, HOME));
                world.step(HOME, |w| w.act_on(HOME, 0, EAST));
                world.check()?;
            }
            world.quiet();
            world.check_quiet()
        },
        Mistake::AnyNumber,
    );
}

#[test]
fn a_cells_state_service_is_away() {
    play(
        |world| {
            give(world, HOME, EAST, 3);
            world.stores[EAST].away = true;
            // Its leader goes on acting on what it read before; nothing of it is carried out.
            for _ in 0..5 {
                pass(world, HOME, EAST);
                world.check()?;
            }
            let tried = world.commits.len();
            expect(world.in_transit("blue") == tasks_of(3), "in transit")?;
            world.stores[EAST].away = false;
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
fn two_leaders_of_a_cell() {
    play(
        |world| {
            allow_all(world, HOME);
            world.step(HOME, |w| w.allow(HOME, 0, BLUE, 0));
            // One has counted nothing in use and gives; the other lets the shard use it all.
            world.refresh(HOME, 0);
            world.refresh(HOME, 1);
            world.allow(HOME, 1, BLUE, 8);
            world.carry_out(world.commits.len() - 1);
            (0..8).for_each(|_| world.start(HOME, BLUE));
            world.give(HOME, 0, EAST, BLUE, 6);
            world.carry_out(world.commits.len() - 1);
            world.check()
        },
        Mistake::NoBlockCondition,
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
fn a_cell_comes_back_with_an_old_file() {
    let (here, other) = ("here".to_string(), "other".to_string());
    let first = teams(&[("blue", "here", 1)]);
    let record = CellRecord::found(&here, 1, &first);
    assert_eq!(record.share("blue"), tasks_of(8));
    // A newer file brings a team; the older one takes nothing away and makes nothing.
    let newer = teams(&[("blue", "here", 1), ("green", "here", 2)]);
    let adopted = record.adopt(&here, 2, &newer).expect("a newer file");
    assert_eq!(adopted.share("green"), tasks_of(8));
    assert_eq!(refused(adopted.adopt(&here, 1, &first)), Refusal::OldFile);
    assert_eq!(refused(adopted.adopt(&here, 2, &newer)), Refusal::Unchanged);
    // A team that is known elsewhere isn't made anew where a file moves its home to.
    let moved = teams(&[("blue", "other", 1), ("green", "other", 2)]);
    let theirs = CellRecord::found(&other, 1, &first);
    let theirs = theirs.adopt(&other, 3, &moved).expect("a newer file");
    assert_eq!(theirs.share("blue"), Amount::ZERO);
    assert!(!theirs.limits.contains_key("blue"));
    // Nor by a cell that comes later than the team.
    let late = CellRecord::found(&other, 3, &moved);
    assert_eq!(late.share("green"), Amount::ZERO);
}

#[test]
fn what_must_not_be_changed_is_refused() {
    let here = "here".to_string();
    let record = CellRecord::found(
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
        Refusal::OutOfTurn
    );
    assert_eq!(
        refused(take(transfer(2, amounts("blue", 1)))),
        Refusal::OutOfTurn
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
    assert_eq!(refused(link.forget(7)), Refusal::Unchanged);
}

#[test]
fn messages_that_arent_any_close_the_link() {
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
fn who_has_nothing_is_given_to_first() {
    use salttrestle_cells::message::Need;
    use salttrestle_cells::sharing::{TeamView, gifts};
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
    let given = gifts(&teams, &messages, 2);
    let names: Vec<&String> = given["east"].iter().map(|(team, _)| team).collect();
    assert_eq!(names.len(), salttrestle_cells::ledger::TRANSFER_TEAMS_MAX);
    assert!(names.contains(&&"team-59".to_string()), "{names:?}");
}
