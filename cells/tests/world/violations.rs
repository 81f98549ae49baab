//! The invariants: those that must hold after every step, and those that must hold after a period
//! without faults.

use super::World;
use salttrestle_cells::{Amount, Cell, Team};
use thiserror::Error;

/// An invariant that doesn't hold.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Violation {
    /// The shares and the amounts in transit don't add up to the limit.
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
    /// Quota is still in transit after a period without faults.
    #[error("{team}: quota is still in transit after a period without faults")]
    InTransit { team: Team },
    /// A limit isn't the requested one after a period without faults.
    #[error("{team}: limit {limit:?}, requested {requested:?}")]
    Limit {
        team: Team,
        limit: Amount,
        requested: Amount,
    },
    /// An expectation of a single test case.
    #[error("{0}")]
    Unexpected(&'static str),
}

impl World {
    /// The quota of a team that was given and hasn't been taken yet.
    pub(crate) fn in_transit(&self, team: &str) -> Amount {
        let mut sum = Amount::ZERO;
        for (sender, store) in self.names.iter().zip(&self.stores) {
            for (to, link) in &store.links {
                let receiver = &self.stores[self.index_of(to)];
                let taken = receiver.links[sender].value.taken;
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

    /// The sum of a team's shares in all cells.
    fn total_share(&self, team: &str) -> Amount {
        let shares = self.stores.iter().map(|store| store.cell.value.share(team));
        shares.fold(Amount::ZERO, Amount::saturating_add)
    }

    /// Checks the invariants that must hold after every step.
    pub(crate) fn check(&self) -> Result<(), Violation> {
        for team in self.teams.keys() {
            self.check_sum(team)?;
            self.check_use(team)?;
        }
        Ok(())
    }

    fn check_sum(&self, team: &Team) -> Result<(), Violation> {
        let home = self.index_of(&self.teams[team].home);
        let limit = self.stores[home].cell.value.limits[team];
        let (shares, in_transit) = (self.total_share(team), self.in_transit(team));
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

    /// Checks the invariants that must hold after a period without faults.
    pub(crate) fn check_settled(&self) -> Result<(), Violation> {
        self.check()?;
        for team in self.teams.keys() {
            let team = team.clone();
            if !self.in_transit(&team).is_zero() {
                return Err(Violation::InTransit { team });
            }
            let home = &self.stores[0];
            let (limit, requested) = (home.cell.value.limits[&team], home.requested_limits[&team]);
            if limit != requested {
                return Err(Violation::Limit {
                    team,
                    limit,
                    requested,
                });
            }
        }
        Ok(())
    }
}
