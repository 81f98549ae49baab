//! Measures how long a change of a team's limit takes to come into force, from the records in the
//! stores of all cells.

use salttrestle::controller::store::records::LimitsByTeam;
use salttrestle_cells::ledger::CellRecord;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Tolerance for rounding errors in sums of quota shares, in CPUs or GPUs.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The part of a shard's record that the observer reads.
#[derive(Deserialize)]
pub struct ShardView {
    /// Quota share of each team in the shard; `None` if the record holds none.
    #[serde(rename = "allowances", default)]
    pub quota_shares: Option<LimitsByTeam>,
}

/// An operator's change of a team's limit that isn't in force yet.
struct PendingChange {
    team: String,
    limit: (f64, f64),
    direction: ChangeDirection,
    requested_ms: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ChangeDirection {
    Raised,
    Lowered,
}

/// Observes the limits and quota shares of all cells, and the changes that aren't in force yet.
#[derive(Default)]
pub struct LimitObserver {
    /// Quota shares of the first shard of each cell, by the cell's index.
    quota_shares: BTreeMap<usize, LimitsByTeam>,
    /// Latest limits that the teams' home cells have set.
    home_limits: LimitsByTeam,
    pending: Vec<PendingChange>,
    /// For each raised limit, the time until the team's home cell had set it, in milliseconds.
    pub raise_latencies_ms: Vec<u64>,
    /// For each lowered limit, the time until the sum of the cells' quota shares was within it, in
    /// milliseconds.
    pub lower_latencies_ms: Vec<u64>,
    /// Number of changes that a later change of the same team replaced before they were in force.
    pub replaced_count: u64,
}

impl LimitObserver {
    /// Records an operator's request to change a team's limit. It counts as a raise if either CPUs
    /// or GPUs rise.
    pub fn record_change_request(
        &mut self,
        now: u64,
        team: &str,
        limit: (f64, f64),
        previous: (f64, f64),
    ) {
        let pending = self.pending.len();
        self.pending.retain(|change| change.team != team);
        self.replaced_count += (pending - self.pending.len()) as u64;
        let is_raise = limit.1 > previous.1 || limit.0 > previous.0;
        self.pending.push(PendingChange {
            team: team.into(),
            limit,
            direction: match is_raise {
                true => ChangeDirection::Raised,
                false => ChangeDirection::Lowered,
            },
            requested_ms: now,
        });
        self.complete_changes(now);
    }

    /// Records a write of a cell's first shard record.
    pub fn record_shard_write(&mut self, now: u64, cell: usize, shard: ShardView) {
        self.quota_shares
            .insert(cell, shard.quota_shares.unwrap_or_default());
        self.complete_changes(now);
    }

    /// Records a write of a cell's own record. Returns the limits that the cell sets for the teams
    /// whose home cell it is.
    pub fn record_cell_write(&mut self, now: u64, record: &CellRecord) -> LimitsByTeam {
        let limits = record.limits.iter();
        let limits: LimitsByTeam = limits
            .map(|(team, amounts)| (team.clone(), amounts.to_pair()))
            .collect();
        self.home_limits.extend(limits.clone());
        self.complete_changes(now);
        limits
    }

    /// Returns the number of changes that aren't in force yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Records the latency of each pending change that has come into force.
    fn complete_changes(&mut self, now: u64) {
        let (in_force, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|change| self.is_in_force(change));
        self.pending = pending;
        for change in in_force {
            let latency_ms = now - change.requested_ms;
            match change.direction {
                ChangeDirection::Raised => self.raise_latencies_ms.push(latency_ms),
                ChangeDirection::Lowered => self.lower_latencies_ms.push(latency_ms),
            }
        }
    }

    fn is_in_force(&self, change: &PendingChange) -> bool {
        if change.direction == ChangeDirection::Raised {
            return self.home_limits.get(&change.team) == Some(&change.limit);
        }
        let shares = self.quota_shares.values();
        let (cpus, gpus) = shares
            .filter_map(|shares| shares.get(&change.team))
            .fold((0.0, 0.0), |sum, share| (sum.0 + share.0, sum.1 + share.1));
        cpus <= change.limit.0 + ROUNDING_TOLERANCE && gpus <= change.limit.1 + ROUNDING_TOLERANCE
    }
}
