//! Cells whose leaders see old state, whose commits are lost, late or repeated, and whose messages
//! come in any order and again. Every commit is on the conditions that the program uses, unless a
//! mistake is planted.

use salttrestle_cells::ledger::{CellRecord, HomeTeam, LinkRecord, Refusal};
use salttrestle_cells::message::{LinkMessage, Recall};
use salttrestle_cells::sharing::{TeamView, gifts, needs};
use salttrestle_cells::{Amount, Cell, Team};
use std::collections::BTreeMap;

/// Leaders of one cell: for a moment there may be two.
pub const LEADERS: usize = 2;
/// What one task takes.
pub const TASK: Amount = Amount(0, 1000);

/// A mistake that the checks have to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(dead_code)]
pub enum Mistake {
    None,
    /// A transfer is taken whatever its number.
    AnyNumber,
    /// Commits are carried out though records have changed.
    NoConditions,
    /// What is in use isn't held back.
    GivesWhatIsUsed,
    /// A gift isn't conditional on the shards' quota shares.
    NoBlockCondition,
    /// A transfer is forgotten when it was sent.
    ForgetsEarly,
    /// A limit is lowered in the record though no room came back for it.
    LowersAtOnce,
}

/// A record with its revision.
#[derive(Clone, Debug, Default)]
pub struct Slot<T> {
    pub revision: u64,
    pub value: T,
}

/// What stands at one cell's store, and what its machines run.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub revision: u64,
    pub cell: Slot<CellRecord>,
    pub links: BTreeMap<Cell, Slot<LinkRecord>>,
    /// Quota shares in the only shard's record.
    pub block: Slot<BTreeMap<Team, Amount>>,
    pub used: BTreeMap<Team, Amount>,
    /// What the operators want as limits of the teams at home here.
    pub wanted: BTreeMap<Team, Amount>,
    /// The store answers nobody.
    pub away: bool,
}

/// One leader: what it has read, and what other cells last told it.
#[derive(Clone, Debug, Default)]
pub struct Leader {
    pub view: Store,
    pub heard: BTreeMap<Cell, LinkMessage>,
}

/// A commit on its way.
#[derive(Clone, Debug)]
pub struct Commit {
    pub at: usize,
    pub cell: Option<(u64, CellRecord)>,
    pub link: Option<(Cell, u64, LinkRecord)>,
    /// The shard's record is unchanged, and its quota shares become these, if there are any.
    pub block: Option<(u64, Option<BTreeMap<Team, Amount>>)>,
}

pub struct World {
    pub names: Vec<Cell>,
    pub stores: Vec<Store>,
    pub leaders: Vec<[Leader; LEADERS]>,
    pub commits: Vec<Commit>,
    pub messages: Vec<LinkMessage>,
    pub mistake: Mistake,
    pub teams: BTreeMap<Team, HomeTeam>,
}

#[allow(dead_code)]
impl World {
    /// So many cells, the first of which is home of every team; limits in tasks.
    pub fn new(cells: usize, limits: &[(&str, u64)], mistake: Mistake) -> Self {
        let names: Vec<Cell> = (0..cells).map(|n| format!("cell-{n}")).collect();
        let teams = limits.iter().map(|(team, tasks)| {
            let home = HomeTeam {
                home: names[0].clone(),
                since: 1,
                limit: tasks_of(*tasks),
            };
            (team.to_string(), home)
        });
        let teams: BTreeMap<Team, HomeTeam> = teams.collect();
        let stores = names.iter().map(|here| {
            let mut store = Store {
                revision: 1,
                ..Store::default()
            };
            store.cell.value = CellRecord::found(here, 1, &teams);
            store.wanted = store.cell.value.limits.clone();
            for other in names.iter().filter(|other| *other != here) {
                store.links.insert(other.clone(), Slot::default());
            }
            store
        });
        let mut world = Self {
            stores: stores.collect(),
            leaders: (0..cells).map(|_| Default::default()).collect(),
            names,
            commits: Vec::new(),
            messages: Vec::new(),
            mistake,
            teams,
        };
        for at in 0..cells {
            for leader in 0..LEADERS {
                world.refresh(at, leader);
            }
        }
        world
    }

    fn team(&self, n: usize) -> Team {
        let names: Vec<&Team> = self.teams.keys().collect();
        names[n % names.len()].clone()
    }

    /// A leader reads all records, and what its shard's owner counts under them.
    pub fn refresh(&mut self, at: usize, leader: usize) {
        if !self.stores[at].away {
            self.leaders[at][leader].view = self.stores[at].clone();
        }
    }

    /// What is held of a team's share, as a leader sees it.
    fn held(&self, view: &Store, team: &str) -> Amount {
        if self.mistake == Mistake::GivesWhatIsUsed {
            return Amount::ZERO;
        }
        let allowed = view.block.value.get(team).copied().unwrap_or_default();
        allowed.most(view.used.get(team).copied().unwrap_or_default())
    }

    fn propose(
        &mut self,
        at: usize,
        view: &Store,
        cell: Option<CellRecord>,
        link: Option<(Cell, LinkRecord)>,
        block: Option<Option<BTreeMap<Team, Amount>>>,
    ) {
        let link = link.map(|(other, record)| {
            let revision = view.links[&other].revision;
            (other, revision, record)
        });
        let commit = Commit {
            at,
            cell: cell.map(|record| (view.cell.revision, record)),
            link,
            block: block.map(|allowances| (view.block.revision, allowances)),
        };
        self.commits.push(commit);
    }

    /// Sets the shard's quota shares: each team's whole share, or less.
    pub fn allow(&mut self, at: usize, leader: usize, team: usize, tasks: u64) {
        let view = self.leaders[at][leader].view.clone();
        let team = self.team(team);
        let mut allowances = view.block.value.clone();
        let allowed = tasks_of(tasks).least(view.cell.value.share(&team));
        allowances.insert(team, allowed);
        // The cell's record is a condition: an quota share is never above the share.
        let cell = view.cell.value.clone();
        self.propose(at, &view, Some(cell), None, Some(Some(allowances)));
    }

    /// Gives some of a team to another cell.
    pub fn give(&mut self, at: usize, leader: usize, to: usize, team: usize, tasks: u64) {
        let view = self.leaders[at][leader].view.clone();
        let to = self.names[to % self.names.len()].clone();
        let amounts = vec![(self.team(team), tasks_of(tasks))];
        self.give_amounts(at, &view, &to, amounts);
    }

    fn give_amounts(&mut self, at: usize, view: &Store, to: &Cell, amounts: Vec<(Team, Amount)>) {
        let Some(link) = view.links.get(to) else {
            return;
        };
        let given = view
            .cell
            .value
            .give(&link.value, amounts, |team| self.held(view, team));
        if let Ok((cell, mut link)) = given {
            if self.mistake == Mistake::ForgetsEarly {
                self.messages.push(self.message(at, view, to, Some(&link)));
                link.pending = None;
            }
            let block = (self.mistake != Mistake::NoBlockCondition).then_some(None);
            self.propose(at, view, Some(cell), Some((to.clone(), link)), block);
        }
    }

    /// Takes the transfer of which a cell told last, and forgets what that cell has taken.
    pub fn act_on(&mut self, at: usize, leader: usize, from: usize) {
        let from = self.names[from % self.names.len()].clone();
        let view = self.leaders[at][leader].view.clone();
        let Some(message) = self.leaders[at][leader].heard.get(&from).cloned() else {
            return;
        };
        let Some(link) = view.links.get(&from) else {
            return;
        };
        if let Ok(forgotten) = link.value.forget(message.taken) {
            self.propose(at, &view, None, Some((from.clone(), forgotten)), None);
        }
        if let Some(mut transfer) = message.transfer {
            if self.mistake == Mistake::AnyNumber {
                transfer.number = link.value.taken + 1;
            }
            if let Ok((cell, link)) = view.cell.value.take(&link.value, &transfer) {
                self.propose(at, &view, Some(cell), Some((from, link)), None);
            }
        }
    }

    /// Moves a limit towards what the operators want.
    pub fn change_limit(&mut self, at: usize, leader: usize, team: usize) {
        let view = self.leaders[at][leader].view.clone();
        let team = self.team(team);
        let Some(wanted) = view.wanted.get(&team).copied() else {
            return;
        };
        let held = self.held(&view, &team);
        let mut changed = view.cell.value.change_limit(&team, wanted, held);
        if self.mistake == Mistake::LowersAtOnce && view.cell.value.limits.contains_key(&team) {
            let mut record = view.cell.value.clone();
            record.limits.insert(team, wanted);
            changed = Ok(record);
        }
        if let Ok(record) = changed {
            self.propose(at, &view, Some(record), None, Some(None));
        }
    }

    /// An operator asks for another limit.
    pub fn want(&mut self, team: usize, tasks: u64) {
        let team = self.team(team);
        self.stores[0].wanted.insert(team, tasks_of(tasks));
    }

    fn message(
        &self,
        at: usize,
        view: &Store,
        to: &Cell,
        link: Option<&LinkRecord>,
    ) -> LinkMessage {
        let link = link.unwrap_or(&view.links[to].value);
        let recalls = view.cell.value.limits.iter().map(|(team, limit)| Recall {
            team: team.clone(),
            amount: limit.beyond(view.wanted.get(team).copied().unwrap_or(*limit)),
            limit: *limit,
        });
        LinkMessage {
            from: self.names[at].clone(),
            to: to.clone(),
            generation: 1,
            taken: link.taken,
            transfer: link.pending.clone(),
            needs: needs(&self.views(view)),
            recalls: recalls.filter(|r| !r.amount.is_zero()).collect(),
        }
    }

    /// A leader tells another cell how things stand: the message may come at any time, and again.
    pub fn tell(&mut self, at: usize, leader: usize, to: usize) {
        let to = self.names[to % self.names.len()].clone();
        let view = self.leaders[at][leader].view.clone();
        if to != self.names[at] {
            self.messages.push(self.message(at, &view, &to, None));
        }
    }

    /// A message, or a copy of it, reaches a leader.
    pub fn deliver(&mut self, message: usize, leader: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages[message % self.messages.len()].clone();
        let at = self
            .names
            .iter()
            .position(|name| *name == message.to)
            .expect("a cell");
        self.leaders[at][leader]
            .heard
            .insert(message.from.clone(), message);
    }

    fn views(&self, view: &Store) -> BTreeMap<Team, TeamView> {
        let views = view.cell.value.shares.iter().map(|(team, share)| {
            let used = view.used.get(team).copied().unwrap_or_default();
            let view = TeamView {
                share: *share,
                held: self.held(view, team),
                used,
                wanted: used.plus(TASK),
                floor: Amount::ZERO,
            };
            (team.clone(), view)
        });
        views.collect()
    }

    /// What the sharing of room decides, for all cells at once.
    pub fn share(&mut self, at: usize, leader: usize) {
        let view = self.leaders[at][leader].view.clone();
        let heard = self.leaders[at][leader].heard.clone();
        let heard: BTreeMap<Cell, &LinkMessage> =
            heard.iter().map(|(c, m)| (c.clone(), m)).collect();
        let mut teams = self.views(&view);
        teams.retain(|team, _| {
            let limit = view.cell.value.limits.get(team);
            limit.is_none_or(|limit| limit.beyond(view.wanted[team]).is_zero())
        });
        for (to, amounts) in gifts(&teams, &heard, self.names.len()) {
            self.give_amounts(at, &view, &to, amounts);
        }
    }

    /// A task starts if the shard's quota share has room for it: a commit conditional on the shard.
    pub fn start(&mut self, at: usize, team: usize) {
        let team = self.team(team);
        let store = &mut self.stores[at];
        let used = store
            .used
            .get(&team)
            .copied()
            .unwrap_or_default()
            .plus(TASK);
        let allowed = store.block.value.get(&team).copied().unwrap_or_default();
        if used.beyond(allowed).is_zero() {
            store.used.insert(team, used);
        }
    }

    /// A task is proven gone.
    pub fn end(&mut self, at: usize, team: usize) {
        let team = self.team(team);
        let used = self.stores[at].used.entry(team).or_default();
        *used = used.beyond(TASK);
    }

    /// Carries a commit out if its conditions hold; it stays on its way, and may come again.
    pub fn carry_out(&mut self, commit: usize) {
        if self.commits.is_empty() {
            return;
        }
        let commit = self.commits[commit % self.commits.len()].clone();
        let store = &mut self.stores[commit.at];
        let cell = commit
            .cell
            .as_ref()
            .is_none_or(|(r, _)| *r == store.cell.revision);
        let link = commit.link.as_ref();
        let link = link.is_none_or(|(other, r, _)| *r == store.links[other].revision);
        let block = commit
            .block
            .as_ref()
            .is_none_or(|(r, _)| *r == store.block.revision);
        let holds = cell && link && block || self.mistake == Mistake::NoConditions;
        if store.away || !holds {
            return;
        }
        store.revision += 1;
        let revision = store.revision;
        // A record that is only a condition keeps its revision.
        if let Some((_, value)) = commit.cell.filter(|(_, value)| *value != store.cell.value) {
            store.cell = Slot { revision, value };
        }
        if let Some((other, _, value)) = commit.link {
            store.links.insert(other, Slot { revision, value });
        }
        if let Some((_, Some(value))) = commit.block {
            store.block = Slot { revision, value };
        }
    }

    /// Room of a team that was given and isn't taken.
    pub fn in_transit(&self, team: &str) -> Amount {
        let mut sum = Amount::ZERO;
        for (at, store) in self.stores.iter().enumerate() {
            for (to, link) in &store.links {
                let taker = self
                    .names
                    .iter()
                    .position(|name| name == to)
                    .expect("a cell");
                let taken = self.stores[taker].links[&self.names[at]].value.taken;
                let pending = link.value.pending.iter().filter(|t| t.number > taken);
                for (_, amount) in pending.flat_map(|t| &t.amounts).filter(|(t, _)| t == team) {
                    sum = sum.plus(*amount);
                }
            }
        }
        sum
    }

    /// All shares of a team.
    pub fn shares(&self, team: &str) -> Amount {
        let shares = self.stores.iter().map(|s| s.cell.value.share(team));
        shares.fold(Amount::ZERO, Amount::plus)
    }

    /// What must hold at any time.
    pub fn check(&self) -> Result<(), String> {
        for (team, home) in &self.teams {
            let at = self
                .names
                .iter()
                .position(|name| *name == home.home)
                .expect("a cell");
            let limit = self.stores[at].cell.value.limits[team];
            let (shares, transit) = (self.shares(team), self.in_transit(team));
            if shares.plus(transit) != limit {
                return Err(format!(
                    "{team}: shares {shares:?}, in transit {transit:?}, limit {limit:?}"
                ));
            }
            for (name, store) in self.names.iter().zip(&self.stores) {
                let used = store.used.get(team).copied().unwrap_or_default();
                let share = store.cell.value.share(team);
                if !used.beyond(share).is_zero() {
                    return Err(format!(
                        "{team} uses {used:?} in {name}, of a share of {share:?}"
                    ));
                }
            }
        }
        Ok(())
    }

    /// Every link and store works, nobody wants to start anything, all tasks end: then
    /// nothing is in transit, and the limits are what the operators want.
    pub fn quiet(&mut self) {
        self.commits.clear();
        for store in &mut self.stores {
            store.away = false;
            store.used.clear();
        }
        for _ in 0..12 {
            for at in 0..self.names.len() {
                for team in 0..self.teams.len() {
                    self.step(at, |world| world.allow(at, 0, team, 0));
                    self.step(at, |world| world.change_limit(at, 0, team));
                }
                for other in 0..self.names.len() {
                    self.step(at, |world| world.act_on(at, 0, other));
                    self.step(at, |world| world.act_on(at, 0, other));
                }
                self.step(at, |world| world.share(at, 0));
                for other in 0..self.names.len() {
                    self.refresh(at, 0);
                    self.tell(at, 0, other);
                    self.deliver(self.messages.len().saturating_sub(1), 0);
                }
            }
        }
    }

    /// One leader does something with all records read, and its commits are carried out in order.
    pub fn step(&mut self, at: usize, act: impl FnOnce(&mut Self)) {
        self.refresh(at, 0);
        let from = self.commits.len();
        act(self);
        for commit in from..self.commits.len() {
            self.carry_out(commit);
        }
    }

    /// What must hold once all is quiet.
    pub fn check_quiet(&self) -> Result<(), String> {
        self.check()?;
        for team in self.teams.keys() {
            if !self.in_transit(team).is_zero() {
                return Err(format!("{team}: still in transit after quiet"));
            }
            let (limit, wanted) = (
                self.stores[0].cell.value.limits[team],
                self.stores[0].wanted[team],
            );
            if limit != wanted {
                return Err(format!("{team}: limit {limit:?}, wanted {wanted:?}"));
            }
        }
        Ok(())
    }
}

/// So many tasks' worth.
pub fn tasks_of(tasks: u64) -> Amount {
    Amount(TASK.0 * tasks, TASK.1 * tasks)
}

/// What a change that must not be made is refused with.
#[allow(dead_code)]
pub fn refused<T: std::fmt::Debug>(result: Result<T, Refusal>) -> Refusal {
    result.expect_err("it must be refused")
}
