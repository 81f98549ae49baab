//! What must hold at any time, and once all has settled.

use super::World;
use salttrestle_cells::{Amount, Cell, Team};
use thiserror::Error;

/// What doesn't hold.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Violation {
    /// The shares and what is in transit aren't together the limit.
    #[error("{team}: shares {shares:?}, in transit {in_transit:?}, limit {limit:?}")]
    Sum {
        team: Team,
        shares: Amount,
        in_transit: Amount,
        limit: Amount,
    },
    /// A cell uses more than its share.
    #[error("{team} uses {used:?} in {cell}, of a share of {share:?}")]
    Overused {
        team: Team,
        cell: Cell,
        used: Amount,
        share: Amount,
    },
    /// Something is still in transit though all has settled.
    #[error("{team}: still in transit after all has settled")]
    InTransit { team: Team },
    /// A limit isn't what the operators want though all has settled.
    #[error("{team}: limit {limit:?}, wanted {wanted:?}")]
    Limit {
        team: Team,
        limit: Amount,
        wanted: Amount,
    },
    /// What a single case expects.
    #[error("{0}")]
    Unexpected(&'static str),
}

impl World {
    /// Room of a team that was given and isn't accepted yet.
    pub(crate) fn in_transit(&self, team: &str) -> Amount {
        let mut sum = Amount::ZERO;
        for (giver, store) in self.names.iter().zip(&self.stores) {
            for (to, link) in &store.links {
                let taker = &self.stores[self.place_of(to)];
                let taken = taker.links[giver].value.taken;
                let pending = link.value.pending.iter();
                let pending = pending.filter(|transfer| transfer.number > taken);
                let amounts = pending.flat_map(|transfer| &transfer.amounts);
                for (_, amount) in amounts.filter(|(other, _)| other == team) {
                    sum = sum.saturating_add(*amount);
                }
            }
        }
        sum
    }

    /// All shares of a team.
    fn shares(&self, team: &str) -> Amount {
        let shares = self.stores.iter().map(|store| store.cell.value.share(team));
        shares.fold(Amount::ZERO, Amount::saturating_add)
    }

    /// Checks what must hold at any time.
    pub(crate) fn check(&self) -> Result<(), Violation> {
        for team in self.teams.keys() {
            self.check_sum(team)?;
            self.check_use(team)?;
        }
        Ok(())
    }

    fn check_sum(&self, team: &Team) -> Result<(), Violation> {
        let home = self.place_of(&self.teams[team].home);
        let limit = self.stores[home].cell.value.limits[team];
        let (shares, in_transit) = (self.shares(team), self.in_transit(team));
        if shares.saturating_add(in_transit) == limit {
            return Ok(());
        }
        Err(Violation::Sum {
            team: team.clone(),
            shares,
            in_transit,
            limit,
        })
    }

    fn check_use(&self, team: &Team) -> Result<(), Violation> {
        for (cell, store) in self.names.iter().zip(&self.stores) {
            let (used, share) = (store.used(team), store.cell.value.share(team));
            if !used.saturating_sub(share).is_zero() {
                return Err(Violation::Overused {
                    team: team.clone(),
                    cell: cell.clone(),
                    used,
                    share,
                });
            }
        }
        Ok(())
    }

    /// Checks what must hold once all has settled.
    pub(crate) fn check_settled(&self) -> Result<(), Violation> {
        self.check()?;
        for team in self.teams.keys() {
            let team = team.clone();
            if !self.in_transit(&team).is_zero() {
                return Err(Violation::InTransit { team });
            }
            let home = &self.stores[0];
            let (limit, wanted) = (home.cell.value.limits[&team], home.wanted[&team]);
            if limit != wanted {
                return Err(Violation::Limit {
                    team,
                    limit,
                    wanted,
                });
            }
        }
        Ok(())
    }
}
