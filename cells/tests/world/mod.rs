//! A simulation of several cells. Their leaders may act on stale records. Commits may be lost,
//! delayed or repeated, and messages may be duplicated or reordered. Commits have the same
//! conditions as in the controller, unless a bug is injected.

// Each test file that includes this module uses only some of its items.
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

/// Number of leaders of a cell: two, since a former leader may briefly continue to act.
pub(crate) const LEADERS: usize = 2;
/// The quota that one task uses.
pub(crate) const TASK: Amount = Amount(0, 1000);
/// Number of rounds without faults after which nothing may be in transit.
const SETTLE_ROUNDS: usize = 12;

/// A bug that the checks have to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    None,
    /// A transfer is taken whatever its sequence number is.
    AcceptsAnyNumber,
    /// Commits are executed although their conditions don't hold.
    IgnoresConditions,
    /// Quota is given although it is in use or allotted to the shard.
    GivesHeldQuota,
    /// The commit that gives quota isn't conditional on the shard's quota shares.
    OmitsShardCondition,
    /// The pending transfer is cleared as soon as it was sent.
    ClearsPendingEarly,
    /// A limit is lowered in the record before the quota has been returned.
    LowersLimitAtOnce,
}

/// One of the leaders of a cell, both by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaderId {
    pub cell: usize,
    pub leader: usize,
}

impl LeaderId {
    pub(crate) fn first(cell: usize) -> Self {
        Self { cell, leader: 0 }
    }

    pub(crate) fn second(cell: usize) -> Self {
        Self { cell, leader: 1 }
    }
}

/// The state of one leader: the records that it has read, and the last message of each other cell.
#[derive(Clone, Debug, Default)]
struct Leader {
    view: Store,
    messages: BTreeMap<Cell, LinkMessage>,
}

pub(crate) struct World {
    names: Vec<Cell>,
    pub stores: Vec<Store>,
    leaders: Vec<[Leader; LEADERS]>,
    /// All commits that were ever sent. Each may be executed at any time, also repeatedly.
    pub commits: Vec<Commit>,
    /// All messages that were ever sent. Each may be delivered at any time, also repeatedly.
    pub messages: Vec<LinkMessage>,
    bug: InjectedBug,
    teams: BTreeMap<Team, HomeTeam>,
}

impl World {
    /// Creates `cells` cells, of which the first is the home of all teams. Limits are in units of
    /// one task.
    pub(crate) fn new(cells: usize, limits: &[(&str, u64)], bug: InjectedBug) -> Self {
        let names: Vec<Cell> = (0..cells).map(|cell| format!("cell-{cell}")).collect();
        let teams = limits.iter().map(|(team, tasks)| {
            let home = HomeTeam {
                home: names[0].clone(),
                since: 1,
                limit: quota_for_tasks(*tasks),
            };
            (team.to_string(), home)
        });
        let teams: BTreeMap<Team, HomeTeam> = teams.collect();
        let stores = names.iter().map(|here| initial_store(here, &names, &teams));
        let mut world = Self {
            stores: stores.collect(),
            leaders: (0..cells).map(|_| Default::default()).collect(),
            names,
            commits: Vec::new(),
            messages: Vec::new(),
            bug,
            teams,
        };
        for cell in 0..cells {
            for leader in 0..LEADERS {
                world.read_records(LeaderId { cell, leader });
            }
        }
        world
    }

    fn team(&self, index: usize) -> Team {
        let names: Vec<&Team> = self.teams.keys().collect();
        names[index % names.len()].clone()
    }

    fn cell_name(&self, index: usize) -> Cell {
        self.names[index % self.names.len()].clone()
    }

    fn index_of(&self, name: &Cell) -> usize {
        let index = self.names.iter().position(|other| other == name);
        index.expect("the name of a cell")
    }

    /// An operator requests another limit, in units of one task.
    pub(crate) fn request_limit(&mut self, team: usize, tasks: u64) {
        let team = self.team(team);
        self.stores[0]
            .requested_limits
            .insert(team, quota_for_tasks(tasks));
    }

    /// Delivers a copy of a message to a leader.
    pub(crate) fn deliver(&mut self, message: usize, leader: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages[message % self.messages.len()].clone();
        let cell = self.index_of(&message.to);
        let received = &mut self.leaders[cell][leader].messages;
        received.insert(message.from.clone(), message);
    }

    /// Starts a task if the shard's quota share suffices. This stands for a commit that is
    /// conditional on the shard's record.
    pub(crate) fn start_task(&mut self, cell: usize, team: usize) {
        let team = self.team(team);
        let store = &mut self.stores[cell];
        let used = store.used(&team).saturating_add(TASK);
        if used.saturating_sub(store.quota_share(&team)).is_zero() {
            store.used.insert(team, used);
        }
    }

    /// Ends a task.
    pub(crate) fn end_task(&mut self, cell: usize, team: usize) {
        let team = self.team(team);
        let used = self.stores[cell].used.entry(team).or_default();
        *used = used.saturating_sub(TASK);
    }

    /// Executes a commit if its conditions hold and the store is available. The commit is kept, so
    /// it may be executed again.
    pub(crate) fn execute_commit(&mut self, commit: usize) {
        if self.commits.is_empty() {
            return;
        }
        let commit = self.commits[commit % self.commits.len()].clone();
        let store = &mut self.stores[commit.at_cell];
        let holds = commit.conditions_hold(store) || self.bug == InjectedBug::IgnoresConditions;
        if holds && !store.is_down {
            store.apply(commit);
        }
    }

    /// The first leader of a cell reads all records and acts on them, and its commits are executed
    /// in order.
    pub(crate) fn run_step(&mut self, cell: usize, act: impl FnOnce(&mut Self, LeaderId)) {
        let leader = LeaderId::first(cell);
        self.read_records(leader);
        let from = self.commits.len();
        act(self, leader);
        for commit in from..self.commits.len() {
            self.execute_commit(commit);
        }
    }

    /// Ends all tasks and runs rounds without faults, in which no task starts. After that nothing
    /// may be in transit, and the limits must be the requested ones.
    pub(crate) fn settle(&mut self) {
        self.commits.clear();
        for store in &mut self.stores {
            store.is_down = false;
            store.used.clear();
        }
        for _ in 0..SETTLE_ROUNDS {
            for cell in 0..self.names.len() {
                self.settle_cell(cell);
            }
        }
    }

    fn settle_cell(&mut self, cell: usize) {
        for team in 0..self.teams.len() {
            self.run_step(cell, |world, by| world.set_quota_share(by, team, 0));
            self.run_step(cell, |world, by| world.change_limit(by, team));
        }
        for other in 0..self.names.len() {
            self.run_step(cell, |world, by| world.handle_last_message(by, other));
            self.run_step(cell, |world, by| world.handle_last_message(by, other));
        }
        self.run_step(cell, World::rebalance);
        for other in 0..self.names.len() {
            self.read_records(LeaderId::first(cell));
            self.send_message(LeaderId::first(cell), other);
            self.deliver(self.messages.len().saturating_sub(1), 0);
        }
    }
}

/// The initial store of a cell.
fn initial_store(here: &Cell, names: &[Cell], teams: &BTreeMap<Team, HomeTeam>) -> Store {
    let record = CellRecord::create(here, 1, teams);
    let others = names.iter().filter(|other| *other != here);
    let links = others.map(|other| (other.clone(), Versioned::<LinkRecord>::default()));
    Store {
        revision: 1,
        requested_limits: record.limits.clone(),
        cell: Versioned {
            revision: 0,
            value: record,
        },
        links: links.collect(),
        ..Store::default()
    }
}

/// The quota that a number of tasks use.
pub(crate) fn quota_for_tasks(tasks: u64) -> Amount {
    Amount(TASK.0 * tasks, TASK.1 * tasks)
}

/// Returns why a change is refused, and fails if it isn't.
pub(crate) fn refused<T: std::fmt::Debug>(result: Result<T, Refusal>) -> Refusal {
    result.expect_err("it must be refused")
}
