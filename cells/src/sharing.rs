//! Decides how much quota a cell gives to which other cell.
//!
//! The invariant of the ledger doesn't depend on these decisions: the ledger never gives quota that
//! is held, which means in use or allotted to the cell's shards.
//!
//! - A cell that needs more quota of a team than its share reports this need. Cells with more quota
//!   than they need give some of it before the demand arises.
//! - If this cell and another one both need more, this cell keeps at most half of the quota that
//!   the two have together, but always what is held.
//! - Every cell keeps its floor of a team when it gives quota for a need.
//! - When a team's limit is lowered, the team's home recalls a part of each cell's share. A cell
//!   then keeps only what is held.

use crate::ledger::TRANSFER_TEAMS_MAX;
use crate::message::{LinkMessage, Need};
use crate::{Amount, Cell, Team};
use std::collections::BTreeMap;

/// The needs of the other cells, in descending order of the fraction that is lacking. The number of
/// teams in a transfer is limited. If needs were in order of names, the last teams would get
/// nothing while the first ones still need a little more.
fn needs_by_shortage<'a>(messages: &'a BTreeMap<Cell, &LinkMessage>) -> Vec<(&'a Cell, &'a Need)> {
    let needs = messages
        .iter()
        .flat_map(|(cell, message)| message.needs.iter().map(move |need| (cell, need)));
    let mut needs: Vec<(&Cell, &Need)> = needs.collect();
    let shortage = |need: &Need| {
        need.lacking
            .permille_of(need.share.saturating_add(need.lacking))
    };
    needs.sort_by_key(|(_, need)| std::cmp::Reverse(shortage(need)));
    needs
}

/// The minimum amount of a transfer for a need is the result of `even_part` divided by this.
/// Without a minimum, cells that all need more would send each other ever smaller amounts.
const TRANSFER_MIN_DIVISOR: usize = 16;
/// The headroom that a cell keeps when another cell lacks quota is the wanted amount divided by
/// this.
const REQUIRED_HEADROOM_DIVISOR: usize = 8;
/// The headroom that a cell requests for growing demand is the wanted amount divided by this. With
/// one eighth, growing demand waited for one transfer after another.
const TARGET_HEADROOM_DIVISOR: usize = 2;

/// The quota state of one team in this cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamView {
    /// The team's share.
    pub share: Amount,
    /// The part of the share that is in use or allotted to the cell's shards.
    pub held: Amount,
    /// The amount in use.
    pub used: Amount,
    /// The amount that would be in use without a limit.
    pub wanted: Amount,
    /// The amount kept for urgent work while this cell is partitioned from the other cells.
    pub floor: Amount,
}

impl TeamView {
    /// The amount that this cell keeps when another cell lacks quota: the wanted amount and one
    /// eighth of it, and at least the floor.
    fn required(&self) -> Amount {
        self.wanted
            .saturating_add(self.wanted.divided_by(REQUIRED_HEADROOM_DIVISOR))
            .component_max(self.floor)
    }

    /// The share that this cell aims at: the wanted amount and one half of it for growing demand,
    /// and at least the floor.
    pub fn target(&self) -> Amount {
        self.wanted
            .saturating_add(self.wanted.divided_by(TARGET_HEADROOM_DIVISOR))
            .component_max(self.floor)
    }

    /// The amount that the shards of this cell have to free, so that it can be given to cells that
    /// request `more` and lack `lacking`.
    pub fn amount_to_free(&self, more: Amount, lacking: Amount) -> Amount {
        let spare = self.share.saturating_sub(self.target()).component_min(more);
        let beyond_required = self
            .share
            .saturating_sub(self.required())
            .component_min(lacking);
        spare.component_max(beyond_required)
    }

    /// The additional amount that this cell requests.
    pub fn requested_increase(&self) -> Amount {
        self.target().saturating_sub(self.share)
    }
}

/// The needs of this cell, as its messages to other cells report them.
pub fn needs(teams: &BTreeMap<Team, TeamView>) -> Vec<Need> {
    let teams_in_need = teams
        .iter()
        .filter(|(_, view)| !view.requested_increase().is_zero());
    let needs = teams_in_need.map(|(team, view)| Need {
        team: team.clone(),
        share: view.share,
        more: view.requested_increase(),
        lacking: view.required().saturating_sub(view.share),
    });
    needs.collect()
}

/// The amount of a team's share that is recalled from this cell: the cell's proportional part of
/// the recall. When the full amount was recalled from every cell, a lowered limit stopped all task
/// starts of its team until the quota was back where it was needed.
pub fn recalled_amount<'a>(
    team: &str,
    share: Amount,
    messages: impl Iterator<Item = &'a LinkMessage>,
) -> Amount {
    let recalls = messages.flat_map(|m| &m.recalls).filter(|r| r.team == team);
    recalls.fold(Amount::ZERO, |most, r| most.component_max(r.part_of(share)))
}

/// The amounts to give to each other cell now, from what isn't held. `cell_count` is the number of
/// all cells, this one included.
pub fn plan_transfers(
    teams: &BTreeMap<Team, TeamView>,
    messages: &BTreeMap<Cell, &LinkMessage>,
    cell_count: usize,
) -> BTreeMap<Cell, Vec<(Team, Amount)>> {
    let mut free_amounts: BTreeMap<&Team, Amount> = BTreeMap::new();
    for (team, view) in teams {
        free_amounts.insert(team, view.share.saturating_sub(view.held));
    }
    let mut transfers: BTreeMap<Cell, Vec<(Team, Amount)>> = BTreeMap::new();
    let mut give = |to: &Cell, team: &Team, amount: Amount, free: &mut Amount| {
        let list = transfers.entry(to.clone()).or_default();
        let already_listed = list.iter().any(|(other, _)| other == team);
        let amount = amount.component_min(*free);
        if !amount.is_zero() && !already_listed && list.len() < TRANSFER_TEAMS_MAX {
            list.push((team.clone(), amount));
            *free = free.saturating_sub(amount);
        }
    };
    // Recalls take precedence over needs.
    for (cell, message) in messages {
        for recall in &message.recalls {
            let entry = free_amounts
                .iter_mut()
                .find(|(team, _)| ***team == recall.team);
            if let Some((team, free)) = entry {
                give(cell, team, recall.part_of(teams[*team].share), free);
            }
        }
    }
    for (cell, need) in needs_by_shortage(messages) {
        let Some(view) = teams.get(&need.team) else {
            continue;
        };
        if let Some(free) = free_amounts.get_mut(&need.team) {
            let available = |target| {
                free.component_min(
                    view.share
                        .saturating_sub(kept_amount(view, target, need, cell_count)),
                )
            };
            let lacking = available(view.required()).component_min(need.lacking);
            let more = available(view.target()).component_min(need.more);
            let transfer_min = even_part(view, need, cell_count).divided_by(TRANSFER_MIN_DIVISOR);
            let amount = lacking.component_max(more).zero_if_below(transfer_min);
            give(cell, &need.team, amount, free);
        }
    }
    transfers.retain(|_, amounts| !amounts.is_empty());
    transfers
}

/// An even part of the quota that this cell and another one have together: one half, or all of it
/// if there is only one cell.
fn even_part(view: &TeamView, need: &Need, cell_count: usize) -> Amount {
    view.share
        .saturating_add(need.share)
        .divided_by(cell_count.clamp(1, 2))
}

/// The amount that this cell keeps when another cell has this need: the target or, while the other
/// cell has less than an even part of the quota of both, at most that part. The floor and the
/// amount that is held are kept in any case.
fn kept_amount(view: &TeamView, target: Amount, need: &Need, cell_count: usize) -> Amount {
    let even = even_part(view, need, cell_count);
    let limited = |target: u64, even: u64, other_share: u64| match other_share < even {
        true => target.min(even),
        false => target,
    };
    let shared = Amount(
        limited(target.0, even.0, need.share.0),
        limited(target.1, even.1, need.share.1),
    );
    shared.component_max(view.floor).component_max(view.held)
}
