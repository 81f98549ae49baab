//! The records of a cell, and the only changes that may be made to them.
//!
//! Every change is a function from the present records to the new ones. The caller commits it on the
//! condition that all records which it was given are unchanged; so a change that is repeated, late
//! or made by a former leader fails as a whole.
//!
//! Invariant, after any order of such commits in any number of cells: for each team, the shares of
//! all cells and the transfers that were given and not yet taken sum to exactly the limit in the
//! record of the team's home cell.

use crate::{Amount, Cell, Team};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Most teams in one transfer: it is part of a record, whose size is limited.
pub const TRANSFER_TEAMS_MAX: usize = 32;

/// What a cell may use, and the limits of the teams whose home it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellRecord {
    /// The generation of the cells file that was adopted last.
    pub generation: u64,
    /// What each team may use here. Every team that was ever known has an entry.
    pub shares: BTreeMap<Team, Amount>,
    /// The limits in force of the teams whose home is here.
    pub limits: BTreeMap<Team, Amount>,
}

/// The transfers between this cell and one other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkRecord {
    /// The number of the last transfer to that cell.
    pub sent: u64,
    /// That transfer, until the other cell is known to have taken it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pending: Option<Transfer>,
    /// The number of the last transfer that was taken from that cell.
    pub taken: u64,
}

/// Quota that moves from one cell to another. Numbers rise by one for each direction of a pair of
/// cells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Its sequence number.
    pub number: u64,
    /// The amount of each team.
    pub amounts: Vec<(Team, Amount)>,
}

/// A team in the cells file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeTeam {
    /// Its home cell.
    pub home: Cell,
    /// The generation of the file that introduced it.
    pub since: u64,
    /// Its limit in that file.
    pub limit: Amount,
}

/// Why a change is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The previous transfer isn't known to be taken yet.
    #[error("a transfer is under way")]
    TransferPending,
    /// It has no teams, too many, or an empty amount.
    #[error("a transfer has one to {TRANSFER_TEAMS_MAX} teams, each once and with something")]
    Malformed,
    /// More is in use, or promised to shards, than would be left.
    #[error("more is held than would be left")]
    Held,
    /// Its sequence number isn't the next one.
    #[error("the number isn't the next one")]
    UnexpectedNumber,
    /// It names a team that this cell doesn't know.
    #[error("the team isn't known")]
    UnknownTeam,
    /// The amounts overflow.
    #[error("the amounts are too large")]
    Overflow,
    /// The cell isn't the team's home.
    #[error("the team's home is another cell")]
    NotHome,
    /// The file is older than one that was adopted before.
    #[error("the cells file is older than one that was taken in before")]
    OldFile,
    /// Nothing would change.
    #[error("nothing would change")]
    Unchanged,
}

impl CellRecord {
    /// A cell's first record. It creates the limits of those teams at home here that are new with
    /// this file; the limits of others were created before, in whichever cell.
    pub fn create(here: &Cell, generation: u64, teams: &BTreeMap<Team, HomeTeam>) -> Self {
        let empty = Self {
            generation,
            ..Self::default()
        };
        empty.with_teams(here, teams, |team| team.since == generation)
    }

    /// Adopts a newer file: teams that are new with it are known from now on.
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

    /// What a team may use here.
    pub fn share(&self, team: &str) -> Amount {
        self.shares.get(team).copied().unwrap_or_default()
    }

    /// Moves a limit towards what is wanted. A raise is added to this cell's own share at once. A
    /// reduction is subtracted from it, as far as it isn't held here; the rest of the old limit stays
    /// in force until the other cells have given theirs back.
    pub fn change_limit(&self, team: &str, wanted: Amount, held: Amount) -> Result<Self, Refusal> {
        let limit = *self.limits.get(team).ok_or(Refusal::NotHome)?;
        let share = self.share(team);
        let raise = wanted.saturating_sub(limit);
        let lower = limit
            .saturating_sub(wanted)
            .component_min(share.saturating_sub(held));
        if raise.is_zero() && lower.is_zero() {
            return Err(Refusal::Unchanged);
        }
        let changed = |amount: Amount| {
            let raised = amount.checked_add(raise).ok_or(Refusal::Overflow)?;
            raised.checked_sub(lower).ok_or(Refusal::Held)
        };
        let mut record = self.clone();
        record.limits.insert(team.into(), changed(limit)?);
        record.shares.insert(team.into(), changed(share)?);
        Ok(record)
    }

    /// The first commit of a transfer, at the giver. `held` is how much of each team's share is in
    /// use or promised to the cell's shards.
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
            let left = share.checked_sub(*amount).ok_or(Refusal::Held)?;
            if amount.is_zero() {
                return Err(Refusal::Malformed);
            }
            // Only of a resource that is given must enough be left: a share that is below what is
            // in use can still give of the other resource.
            let kept = |given: u64, left: u64, held: u64| given == 0 || left >= held;
            let held = held(team);
            if !kept(amount.0, left.0, held.0) || !kept(amount.1, left.1, held.1) {
                return Err(Refusal::Held);
            }
            *share = left;
        }
        let number = link.sent.checked_add(1).ok_or(Refusal::Overflow)?;
        let given = LinkRecord {
            sent: number,
            pending: Some(Transfer { number, amounts }),
            taken: link.taken,
        };
        Ok((record, given))
    }

    /// The second commit of a transfer, at the taker.
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
            // A team that only a newer file names is waited for: the amount stays in transit.
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
    /// The third commit of a transfer, at the giver: the other cell has taken all up to number `taken`.
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
