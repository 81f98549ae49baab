//! Cells whose leaders see stale records, whose commits are lost, late or repeated, and whose
//! messages come in any order and again. Every commit is on the conditions that the program uses,
//! unless a mistake is planted.

// Each test file that includes this uses a part of it.
#![allow(dead_code)]

mod leaders;
mod store;
mod violations;

pub(crate) use violations::Violation;

use salttrestle_cells::ledger::{CellRecord, HomeTeam, LinkRecord, Refusal};
use salttrestle_cells::message::LinkMessage;
use salttrestle_cells::{Amount, Cell, Team};
use std::collections::BTreeMap;
use store::{Commit, Store, Versioned};

/// Leaders of one cell: for a moment there may be two.
pub(crate) const LEADERS: usize = 2;
/// What one task uses.
pub(crate) const TASK: Amount = Amount(0, 1000);
/// Rounds after which nothing may be in transit any more, once everything works.
const ROUNDS_TO_SETTLE: usize = 12;

/// A mistake that the checks have to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mistake {
    None,
    /// A transfer is accepted with any sequence number.
    AnyNumber,
    /// Commits are carried out though records have changed.
    NoConditions,
    /// What is in use isn't held back.
    GivesWhatIsUsed,
    /// A transfer isn't conditional on the shards' quota shares.
    NoShardCondition,
    /// A transfer is forgotten when it was sent.
    ForgetsEarly,
    /// A limit is lowered in the record though no room came back for it.
    LowersAtOnce,
}

/// One of the leaders of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaderOf {
    pub cell: usize,
    pub leader: usize,
}

impl LeaderOf {
    /// The first leader of a cell.
    pub(crate) fn first(cell: usize) -> Self {
        Self { cell, leader: 0 }
    }

    /// The second leader of a cell.
    pub(crate) fn second(cell: usize) -> Self {
        Self { cell, leader: 1 }
    }
}

/// One leader: what it has read, and the last message of each other cell.
#[derive(Clone, Debug, Default)]
struct Leader {
    view: Store,
    messages: BTreeMap<Cell, LinkMessage>,
}

pub(crate) struct World {
    names: Vec<Cell>,
    pub stores: Vec<Store>,
    leaders: Vec<[Leader; LEADERS]>,
    /// Every commit that was ever sent: each may be carried out at any time, and again.
    pub commits: Vec<Commit>,
    /// Every message that was ever sent: each may come at any time, and again.
    pub messages: Vec<LinkMessage>,
    mistake: Mistake,
    teams: BTreeMap<Team, HomeTeam>,
}

impl World {
    /// So many cells, the first of which is home of every team; limits in tasks.
    pub(crate) fn new(cells: usize, limits: &[(&str, u64)], mistake: Mistake) -> Self {
        let names: Vec<Cell> = (0..cells).map(|cell| format!("cell-{cell}")).collect();
        let teams = limits.iter().map(|(team, tasks)| {
            let home = HomeTeam {
                home: names[0].clone(),
                since: 1,
                limit: tasks_of(*tasks),
            };
            (team.to_string(), home)
        });
        let teams: BTreeMap<Team, HomeTeam> = teams.collect();
        let stores = names.iter().map(|here| first_store(here, &names, &teams));
        let mut world = Self {
            stores: stores.collect(),
            leaders: (0..cells).map(|_| Default::default()).collect(),
            names,
            commits: Vec::new(),
            messages: Vec::new(),
            mistake,
            teams,
        };
        for cell in 0..cells {
            for leader in 0..LEADERS {
                world.refresh(LeaderOf { cell, leader });
            }
        }
        world
    }

    fn team(&self, place: usize) -> Team {
        let names: Vec<&Team> = self.teams.keys().collect();
        names[place % names.len()].clone()
    }

    fn cell_name(&self, place: usize) -> Cell {
        self.names[place % self.names.len()].clone()
    }

    fn place_of(&self, name: &Cell) -> usize {
        let place = self.names.iter().position(|other| other == name);
        place.expect("a cell")
    }

    /// An operator asks for another limit.
    pub(crate) fn want(&mut self, team: usize, tasks: u64) {
        let team = self.team(team);
        self.stores[0].wanted.insert(team, tasks_of(tasks));
    }

    /// A message, or a copy of it, reaches a leader.
    pub(crate) fn deliver(&mut self, message: usize, leader: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages[message % self.messages.len()].clone();
        let cell = self.place_of(&message.to);
        let received = &mut self.leaders[cell][leader].messages;
        received.insert(message.from.clone(), message);
    }

    /// A task starts if the shard's quota share has room for it: a commit conditional on the shard.
    pub(crate) fn start_task(&mut self, cell: usize, team: usize) {
        let team = self.team(team);
        let store = &mut self.stores[cell];
        let used = store.used(&team).saturating_add(TASK);
        if used.saturating_sub(store.quota_share(&team)).is_zero() {
            store.used.insert(team, used);
        }
    }

    /// A task is proven gone.
    pub(crate) fn end_task(&mut self, cell: usize, team: usize) {
        let team = self.team(team);
        let used = self.stores[cell].used.entry(team).or_default();
        *used = used.saturating_sub(TASK);
    }

    /// Carries a commit out if its conditions hold; it stays on its way, and may come again.
    pub(crate) fn carry_out(&mut self, commit: usize) {
        if self.commits.is_empty() {
            return;
        }
        let commit = self.commits[commit % self.commits.len()].clone();
        let store = &mut self.stores[commit.at];
        let holds = commit.holds(store) || self.mistake == Mistake::NoConditions;
        if holds && !store.outage {
            store.apply(commit);
        }
    }

    /// One leader does something with all records read, and its commits are carried out in order.
    pub(crate) fn step(&mut self, cell: usize, act: impl FnOnce(&mut Self, LeaderOf)) {
        let leader = LeaderOf::first(cell);
        self.refresh(leader);
        let from = self.commits.len();
        act(self, leader);
        for commit in from..self.commits.len() {
            self.carry_out(commit);
        }
    }

    /// Every link and store works, no task is to be started, all tasks end: then nothing may be in
    /// transit, and the limits are what the operators want.
    pub(crate) fn settle(&mut self) {
        self.commits.clear();
        for store in &mut self.stores {
            store.outage = false;
            store.used.clear();
        }
        for _ in 0..ROUNDS_TO_SETTLE {
            for cell in 0..self.names.len() {
                self.settle_cell(cell);
            }
        }
    }

    fn settle_cell(&mut self, cell: usize) {
        for team in 0..self.teams.len() {
            self.step(cell, |world, by| world.set_quota_share(by, team, 0));
            self.step(cell, |world, by| world.change_limit(by, team));
        }
        for other in 0..self.names.len() {
            self.step(cell, |world, by| world.act_on(by, other));
            self.step(cell, |world, by| world.act_on(by, other));
        }
        self.step(cell, World::share);
        for other in 0..self.names.len() {
            self.refresh(LeaderOf::first(cell));
            self.send_message(LeaderOf::first(cell), other);
            self.deliver(self.messages.len().saturating_sub(1), 0);
        }
    }
}

/// What a cell's store has in the beginning.
fn first_store(here: &Cell, names: &[Cell], teams: &BTreeMap<Team, HomeTeam>) -> Store {
    let record = CellRecord::create(here, 1, teams);
    let others = names.iter().filter(|other| *other != here);
    let links = others.map(|other| (other.clone(), Versioned::<LinkRecord>::default()));
    Store {
        revision: 1,
        wanted: record.limits.clone(),
        cell: Versioned {
            revision: 0,
            value: record,
        },
        links: links.collect(),
        ..Store::default()
    }
}

/// So many tasks' worth.
pub(crate) fn tasks_of(tasks: u64) -> Amount {
    Amount(TASK.0 * tasks, TASK.1 * tasks)
}

/// What a change that must not be made is refused with.
pub(crate) fn refused<T: std::fmt::Debug>(result: Result<T, Refusal>) -> Refusal {
    result.expect_err("it must be refused")
}
