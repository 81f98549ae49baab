//! What a cell gives to which other one. No rule depends on it: whatever is decided here, the ledger
//! gives only what isn't held.
//!
//! A cell that needs more of a team than its share says so, and cells with more than they need give
//! ahead of demand. Where all need more, each keeps what it uses and no more than an even part of
//! the total; a floor is kept in any case. A team's home that lowers its limit recalls a part of
//! each cell's share, and against a recall only what is held is kept.

use crate::ledger::TRANSFER_TEAMS_MAX;
use crate::message::{LinkMessage, Need};
use crate::{Amount, Cell, Team};
use std::collections::BTreeMap;

/// What all cells need, those first that have the smallest part of it: a transfer holds a limited
/// number of teams, and by name the last ones would wait for as long as the first need a little
/// more.
fn by_lack<'a>(messages: &'a BTreeMap<Cell, &LinkMessage>) -> Vec<(&'a Cell, &'a Need)> {
    let needs = messages
        .iter()
        .flat_map(|(cell, message)| message.needs.iter().map(move |need| (cell, need)));
    let mut needs: Vec<(&Cell, &Need)> = needs.collect();
    let lack = |need: &Need| {
        need.lacking
            .permille_of(need.share.saturating_add(need.lacking))
    };
    needs.sort_by_key(|(_, need)| std::cmp::Reverse(lack(need)));
    needs
}

/// Less than this part of an even share isn't worth a transfer: cells that all need more would send
/// each other ever smaller amounts.
const WORTH_PARTS: usize = 16;

/// One team in this cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamView {
    /// Its share.
    pub share: Amount,
    /// How much of it is in use or promised to the cell's shards.
    pub held: Amount,
    /// What is in use.
    pub used: Amount,
    /// What would be in use without limits.
    pub wanted: Amount,
    /// What is kept for urgent work while this cell is partitioned from others.
    pub floor: Amount,
}

impl TeamView {
    /// What this cell keeps against one that lacks quota: what is wanted plus an eighth, and at least
    /// the floor.
    fn required(&self) -> Amount {
        self.wanted
            .saturating_add(self.wanted.divided_by(8))
            .component_max(self.floor)
    }

    /// What this cell asks for: what is wanted plus a half for demand to come, and at least the
    /// floor. With an eighth, growing demand waited for one transfer after another.
    pub fn target(&self) -> Amount {
        self.wanted
            .saturating_add(self.wanted.divided_by(2))
            .component_max(self.floor)
    }

    /// What the shards here are to free, so that it can be given to cells that ask for `more` and
    /// lack `lacking`.
    pub fn amount_to_free(&self, more: Amount, lacking: Amount) -> Amount {
        let spare = self.share.saturating_sub(self.target()).component_min(more);
        let beyond_required = self
            .share
            .saturating_sub(self.required())
            .component_min(lacking);
        spare.component_max(beyond_required)
    }

    /// How much more this cell asks for.
    pub fn need(&self) -> Amount {
        self.target().saturating_sub(self.share)
    }
}

/// What this cell needs, for its messages to others.
pub fn needs(teams: &BTreeMap<Team, TeamView>) -> Vec<Need> {
    let needy = teams.iter().filter(|(_, view)| !view.need().is_zero());
    let needs = needy.map(|(team, view)| Need {
        team: team.clone(),
        share: view.share,
        more: view.need(),
        lacking: view.required().saturating_sub(view.share),
    });
    needs.collect()
}

/// How much of a team's share is recalled in this cell: its part of what is recalled of the limit.
/// When the whole was recalled from every cell, a lowered limit stopped all starts of its team until
/// the quota was back where it was wanted.
pub fn recalled_amount<'a>(
    team: &str,
    share: Amount,
    messages: impl Iterator<Item = &'a LinkMessage>,
) -> Amount {
    let recalls = messages.flat_map(|m| &m.recalls).filter(|r| r.team == team);
    recalls.fold(Amount::ZERO, |most, r| most.component_max(r.part_of(share)))
}

/// What to give to each cell now, of what isn't held. `cells` is the number of cells.
pub fn plan_transfers(
    teams: &BTreeMap<Team, TeamView>,
    messages: &BTreeMap<Cell, &LinkMessage>,
    cells: usize,
) -> BTreeMap<Cell, Vec<(Team, Amount)>> {
    let mut left: BTreeMap<&Team, Amount> = BTreeMap::new();
    for (team, view) in teams {
        left.insert(team, view.share.saturating_sub(view.held));
    }
    let mut gifts: BTreeMap<Cell, Vec<(Team, Amount)>> = BTreeMap::new();
    let mut give = |to: &Cell, team: &Team, amount: Amount, left: &mut Amount| {
        let list = gifts.entry(to.clone()).or_default();
        let known = list.iter().any(|(other, _)| other == team);
        let amount = amount.component_min(*left);
        if !amount.is_zero() && !known && list.len() < TRANSFER_TEAMS_MAX {
            list.push((team.clone(), amount));
            *left = left.saturating_sub(amount);
        }
    };
    // Recalls come first.
    for (cell, message) in messages {
        for recall in &message.recalls {
            let found = left.iter_mut().find(|(team, _)| ***team == recall.team);
            if let Some((team, free)) = found {
                give(cell, team, recall.part_of(teams[*team].share), free);
            }
        }
    }
    for (cell, need) in by_lack(messages) {
        let Some(view) = teams.get(&need.team) else {
            continue;
        };
        if let Some(free) = left.get_mut(&need.team) {
            let beyond = |target| {
                free.component_min(view.share.saturating_sub(keeps(view, target, need, cells)))
            };
            let lacking = beyond(view.required()).component_min(need.lacking);
            let more = beyond(view.target()).component_min(need.more);
            let worth = even_part(view, need, cells).divided_by(WORTH_PARTS);
            let amount = lacking.component_max(more).zero_if_below(worth);
            give(cell, &need.team, amount, free);
        }
    }
    gifts.retain(|_, amounts| !amounts.is_empty());
    gifts
}

/// An even part of what this cell and another one have of a team together: half of it, unless there
/// is one cell alone.
fn even_part(view: &TeamView, need: &Need, cells: usize) -> Amount {
    view.share
        .saturating_add(need.share)
        .divided_by(cells.clamp(1, 2))
}

/// What this cell keeps of a team against another one's need: its target or, while the other has
/// less than an even part of what both have, at most that part.
fn keeps(view: &TeamView, target: Amount, need: &Need, cells: usize) -> Amount {
    let even = even_part(view, need, cells);
    let of = |target: u64, even: u64, theirs: u64| match theirs < even {
        true => target.min(even),
        false => target,
    };
    let shared = Amount(
        of(target.0, even.0, need.share.0),
        of(target.1, even.1, need.share.1),
    );
    shared.component_max(view.floor).component_max(view.held)
}
