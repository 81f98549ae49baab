//! When a change of a team's limit is in force, seen at the state services of all cells.

use salttrestle::controller::store::records::LimitsByTeam;
use salttrestle_cells::ledger::CellRecord;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Room for rounding.
const SLACK: f64 = 1e-6;

/// The part of a shard's record that is watched.
#[derive(Deserialize)]
pub struct BlockView {
    /// What each team may use in the shard.
    #[serde(rename = "allowances", default)]
    pub quota_shares: Option<LimitsByTeam>,
}

struct Change {
    team: String,
    limit: (f64, f64),
    raised: bool,
    asked_ms: u64,
}

/// What all cells allow, and the changes that aren't in force yet.
#[derive(Default)]
pub struct LimitWatch {
    /// What the shards allow, by cell.
    quota_shares: BTreeMap<usize, LimitsByTeam>,
    /// The limits that the homes have made.
    made: LimitsByTeam,
    open: Vec<Change>,
    /// How long each raise took until the home had made it.
    pub raised_ms: Vec<u64>,
    /// How long each lowering took until no cell could start anything beyond it.
    pub lowered_ms: Vec<u64>,
    /// Changes that a later one of the same team replaced before they were in force.
    pub replaced: u64,
}

impl LimitWatch {
    /// An operator asks for another limit.
    pub fn asked(&mut self, now: u64, team: &str, limit: (f64, f64), before: (f64, f64)) {
        let open = self.open.len();
        self.open.retain(|change| change.team != team);
        self.replaced += (open - self.open.len()) as u64;
        self.open.push(Change {
            team: team.into(),
            limit,
            raised: limit.1 > before.1 || limit.0 > before.0,
            asked_ms: now,
        });
        self.look(now);
    }

    /// A cell's shard allows something else.
    pub fn block_changed(&mut self, now: u64, cell: usize, view: BlockView) {
        self.quota_shares
            .insert(cell, view.quota_shares.unwrap_or_default());
        self.look(now);
    }

    /// A cell's record has changed; these are the limits that it makes.
    pub fn cell_changed(&mut self, now: u64, record: &CellRecord) -> LimitsByTeam {
        let limits = record.limits.iter();
        let limits: LimitsByTeam = limits.map(|(t, a)| (t.clone(), a.to_pair())).collect();
        self.made.extend(limits.clone());
        self.look(now);
        limits
    }

    /// Changes that aren't in force.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    fn look(&mut self, now: u64) {
        let (quota_shares, made) = (&self.quota_shares, &self.made);
        let in_force = |change: &Change| {
            if change.raised {
                return made.get(&change.team) == Some(&change.limit);
            }
            let here = quota_shares.values().filter_map(|a| a.get(&change.team));
            let sum = here.fold((0.0, 0.0), |sum, a| (sum.0 + a.0, sum.1 + a.1));
            sum.0 <= change.limit.0 + SLACK && sum.1 <= change.limit.1 + SLACK
        };
        let (done, open): (Vec<_>, Vec<_>) = self.open.drain(..).partition(in_force);
        self.open = open;
        for change in done {
            let took = now - change.asked_ms;
            match change.raised {
                true => self.raised_ms.push(took),
                false => self.lowered_ms.push(took),
            }
        }
    }
}
