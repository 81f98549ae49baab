//! The records of a cell, and the only changes that may be made to them.
//!
//! Every change is a function from the present records to the new ones. The caller commits the new
//! records on the condition that all records passed to the function are unchanged. A commit that is
//! repeated, late or sent by a former leader therefore fails as a whole.
//!
//! Invariant: after any sequence of such commits in any number of cells, the shares of a team in
//! all cells and its amounts in transit add up to exactly the limit in the record of the team's
//! home cell. An amount is in transit from the commit that gives it to the commit that takes it.

use crate::{Amount, Cell, Team};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum number of teams in one transfer. A transfer is part of a record, and the store limits
/// the size of a record.
pub const TRANSFER_TEAMS_MAX: usize = 32;

/// The shares of a cell, and the limits of the teams whose home it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRecord {
    /// The generation of the cells file that the cell adopted last.
    pub generation: u64,
    /// The share of each team: the quota that the team may use in this cell. Every team that was in
    /// a cells file adopted here has an entry.
    pub shares: BTreeMap<Team, Amount>,
    /// The limits in force of the teams whose home is this cell.
    pub limits: BTreeMap<Team, Amount>,
}

/// The state of the transfers between this cell and one other cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkRecord {
    /// The sequence number of the last transfer to the other cell; 0 before the first.
    pub sent: u64,
    /// The last transfer to the other cell, until that cell is known to have taken it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pending: Option<Transfer>,
    /// The sequence number of the last transfer taken from the other cell; 0 before the first.
    pub taken: u64,
}

/// Quota that moves from one cell to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The sequence number. Each direction between two cells has its own numbers, which increase by
    /// one.
    pub number: u64,
    /// The amount for each team.
    pub amounts: Vec<(Team, Amount)>,
}

/// A team in the cells file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeTeam {
    /// The team's home cell, whose record holds the limit.
    pub home: Cell,
    /// The generation of the cells file that introduced the team.
    pub since: u64,
    /// The team's configured limit. The home cell creates the team's limit with this value; later
    /// changes are made by [`CellRecord::change_limit`].
    pub limit: Amount,
}

/// Why a change of the records is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The other cell isn't known to have taken the previous transfer.
    #[error("the previous transfer to the other cell is still pending")]
    TransferPending,
    /// The transfer has no teams, too many teams, or an amount of zero.
    #[error("a transfer needs 1 to {TRANSFER_TEAMS_MAX} teams, each with an amount above zero")]
    Malformed,
    /// The remaining share would be less than the amount in use or allotted to the cell's shards.
    #[error("the remaining share would be less than the amount in use or allotted to shards")]
    Held,
    /// The transfer's sequence number isn't the next one.
    #[error("the sequence number of the transfer isn't the next one")]
    UnexpectedNumber,
    /// The transfer names a team that isn't in a cells file adopted here.
    #[error("the team isn't known in this cell")]
    UnknownTeam,
    /// An amount or a sequence number overflows.
    #[error("an amount or a sequence number overflows")]
    Overflow,
    /// This cell isn't the team's home.
    #[error("the team's home is another cell")]
    NotHome,
    /// The cells file is older than the one adopted last.
    #[error("the cells file is older than the one adopted last")]
    OldFile,
    /// The records would stay as they are.
    #[error("nothing would change")]
    Unchanged,
}

impl CellRecord {
    /// Creates a cell's first record. It contains the limits of the teams whose home is this cell
    /// and that this cells file introduces. The limits of older teams exist already, possibly in
    /// another cell, and creating them again would double the quota.
    pub fn create(here: &Cell, generation: u64, teams: &BTreeMap<Team, HomeTeam>) -> Self {
        let empty = Self {
            generation,
            ..Self::default()
        };
        empty.with_teams(here, teams, |team| team.since == generation)
    }

    /// Adopts a newer cells file: adds the teams that it introduces.
    pub fn adopt(
        &self,
        here: &Cell,
        generation: u64,
        teams: &BTreeMap<Team, HomeTeam>,
    ) -> Result<Self, Refusal> {
        if generation < self.generation {
            return Err(Refusal::OldFile);
        }
        if generation == self.generation {
            return Err(Refusal::Unchanged);
        }
        let before = self.generation;
        let mut adopted = self.with_teams(here, teams, |team| team.since > before);
        adopted.generation = generation;
        Ok(adopted)
    }

    fn with_teams(
        &self,
        here: &Cell,
        teams: &BTreeMap<Team, HomeTeam>,
        is_new: impl Fn(&HomeTeam) -> bool,
    ) -> Self {
        let mut record = self.clone();
        for (name, team) in teams {
            if record.shares.contains_key(name) {
                continue;
            }
            let created_here = team.home == *here && is_new(team);
            let share = if created_here {
                team.limit
            } else {
                Amount::ZERO
            };
            record.shares.insert(name.clone(), share);
            if created_here {
                record.limits.insert(name.clone(), team.limit);
            }
        }
        record
    }

    /// The share of a team in this cell; zero for an unknown team.
    pub fn share(&self, team: &str) -> Amount {
        self.shares.get(team).copied().unwrap_or_default()
    }

    /// Moves a team's limit towards `wanted`. An increase is added to this cell's share at once. A
    /// decrease is subtracted from this cell's share, except for the amount `held`: in use or
    /// allotted to the cell's shards. The rest of the old limit stays in force until the other
    /// cells have returned quota.
    pub fn change_limit(&self, team: &str, wanted: Amount, held: Amount) -> Result<Self, Refusal> {
        let limit = *self.limits.get(team).ok_or(Refusal::NotHome)?;
        let share = self.share(team);
        let increase = wanted.saturating_sub(limit);
        let decrease = limit
            .saturating_sub(wanted)
            .component_min(share.saturating_sub(held));
        if increase.is_zero() && decrease.is_zero() {
            return Err(Refusal::Unchanged);
        }
        let changed = |amount: Amount| {
            let increased = amount.checked_add(increase).ok_or(Refusal::Overflow)?;
            increased.checked_sub(decrease).ok_or(Refusal::Held)
        };
        let mut record = self.clone();
        record.limits.insert(team.into(), changed(limit)?);
        record.shares.insert(team.into(), changed(share)?);
        Ok(record)
    }

    /// Computes the first commit of a transfer, at the cell that gives the quota. `held` returns
    /// how much of a team's share is in use or allotted to the cell's shards.
    pub fn give(
        &self,
        link: &LinkRecord,
        amounts: Vec<(Team, Amount)>,
        held: impl Fn(&str) -> Amount,
    ) -> Result<(Self, LinkRecord), Refusal> {
        if link.pending.is_some() {
            return Err(Refusal::TransferPending);
        }
        if amounts.is_empty() || amounts.len() > TRANSFER_TEAMS_MAX {
            return Err(Refusal::Malformed);
        }
        let mut record = self.clone();
        for (team, amount) in &amounts {
            let share = record.shares.get_mut(team).ok_or(Refusal::UnknownTeam)?;
            let remaining = share.checked_sub(*amount).ok_or(Refusal::Held)?;
            if amount.is_zero() {
                return Err(Refusal::Malformed);
            }
            // Only a resource that is given needs a remainder of at least what is held. If the
            // share of one resource is below what is in use, the other resource can still be given.
            let covers_held =
                |given: u64, remaining: u64, held: u64| given == 0 || remaining >= held;
            let held = held(team);
            if !covers_held(amount.0, remaining.0, held.0)
                || !covers_held(amount.1, remaining.1, held.1)
            {
                return Err(Refusal::Held);
            }
            *share = remaining;
        }
        let number = link.sent.checked_add(1).ok_or(Refusal::Overflow)?;
        let given = LinkRecord {
            sent: number,
            pending: Some(Transfer { number, amounts }),
            taken: link.taken,
        };
        Ok((record, given))
    }

    /// Computes the second commit of a transfer, at the cell that takes the quota.
    pub fn take(
        &self,
        link: &LinkRecord,
        transfer: &Transfer,
    ) -> Result<(Self, LinkRecord), Refusal> {
        if link.taken.checked_add(1) != Some(transfer.number) {
            return Err(Refusal::UnexpectedNumber);
        }
        if transfer.amounts.is_empty() || transfer.amounts.len() > TRANSFER_TEAMS_MAX {
            return Err(Refusal::Malformed);
        }
        let mut record = self.clone();
        for (team, amount) in &transfer.amounts {
            // A team that only a newer cells file names is refused. The amount stays in transit
            // until this cell adopts that file.
            let share = record.shares.get_mut(team).ok_or(Refusal::UnknownTeam)?;
            *share = share.checked_add(*amount).ok_or(Refusal::Overflow)?;
        }
        let taken = LinkRecord {
            taken: transfer.number,
            ..link.clone()
        };
        Ok((record, taken))
    }
}

impl LinkRecord {
    /// Computes the third commit of a transfer, at the cell that gave the quota: removes the
    /// pending transfer once the other cell has taken all transfers up to sequence number `taken`.
    pub fn clear_pending(&self, taken: u64) -> Result<Self, Refusal> {
        match &self.pending {
            Some(pending) if pending.number <= taken => Ok(Self {
                pending: None,
                ..self.clone()
            }),
            _ => Err(Refusal::Unchanged),
        }
    }
}
