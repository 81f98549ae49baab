//! How the limits of teams are divided among the shards.

use crate::controller::context::Context;
use crate::controller::quota::team_limits::TargetLimits;
use crate::controller::store::records::{ShardRecord, json_bytes};
use crate::ids::Time;
use crate::peer::{ShardCounts, TeamCount};
use log::warn;
use std::collections::BTreeMap;

/// Divides the limit of one team, in CPUs and GPUs, among the shards in `counts`. `turn` is the
/// shard that is served first.
pub(crate) fn divide_team_limit(
    records: &mut BTreeMap<u32, ShardRecord>,
    team: &str,
    limit: (f64, f64),
    counts: &BTreeMap<u32, TeamCount>,
    turn: u32,
) {
    let old_share = |shard: &u32| {
        let share = records[shard]
            .quota_shares
            .as_ref()
            .and_then(|shares| shares.get(team));
        share.copied().unwrap_or_default()
    };
    let by_shard = |amount: fn(&TeamCount) -> f64| {
        counts
            .iter()
            .map(|(shard, count)| (*shard, amount(count)))
            .collect()
    };
    let old_cpus = counts
        .keys()
        .map(|shard| (*shard, old_share(shard).0))
        .collect();
    let old_gpus = counts
        .keys()
        .map(|shard| (*shard, old_share(shard).1))
        .collect();
    let cpus = divide_amount(
        limit.0,
        turn,
        &old_cpus,
        &by_shard(|count| count.cpus),
        &by_shard(|count| count.cpus_wanted),
    );
    let gpus = divide_amount(
        limit.1,
        turn,
        &old_gpus,
        &by_shard(|count| count.gpus),
        &by_shard(|count| count.gpus_wanted),
    );
    for shard in counts.keys() {
        if let Some(shares) = records
            .get_mut(shard)
            .and_then(|record| record.quota_shares.as_mut())
        {
            let (cpus, gpus) = (cpus[shard], gpus[shard]);
            if cpus > 0.0 || gpus > 0.0 || shares.contains_key(team) {
                shares.insert(team.to_string(), (cpus, gpus));
            }
        }
    }
}

/// An amount of CPUs or GPUs by shard.
pub(crate) type AmountByShard = BTreeMap<u32, f64>;

/// Tolerance for rounding errors that add up over many additions and subtractions.
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Computes how much of `limit` each shard may use from now on, from the `old` shares, the amounts
/// in use and the amounts wanted.
///
/// Nothing changes while every shard has what it wants and the sum of the shares is within the
/// limit. Otherwise the shard `turn` gets all that it wants, so that even a task as large as the
/// limit starts eventually, and the other shards share the rest evenly. A share grows only by an
/// amount that no other shard may use or still uses.
pub(crate) fn divide_amount(
    limit: f64,
    turn: u32,
    old: &AmountByShard,
    used: &AmountByShard,
    wanted: &AmountByShard,
) -> AmountByShard {
    let mut new = old.clone();
    let is_lowered = old.values().sum::<f64>() > limit + ROUNDING_TOLERANCE;
    let is_satisfied = wanted
        .iter()
        .all(|(shard, amount)| *amount <= old[shard] + ROUNDING_TOLERANCE);
    if limit <= 0.0 || is_satisfied && !is_lowered {
        return new;
    }
    let mut left = limit;
    let mut targets = AmountByShard::new();
    if let Some(amount) = wanted.get(&turn) {
        targets.insert(turn, amount.min(left));
        left -= amount.min(left);
    }
    let mut others: Vec<(u32, f64)> = wanted
        .iter()
        .filter(|(shard, _)| **shard != turn)
        .map(|(shard, amount)| (*shard, *amount))
        .collect();
    others.sort_by(|a, b| a.1.total_cmp(&b.1));
    let count = others.len();
    for (index, (shard, amount)) in others.into_iter().enumerate() {
        let target = amount.min(left / (count - index) as f64);
        targets.insert(shard, target);
        left -= target;
    }
    // A share grows only within the part of the limit that no shard may use or still uses.
    let mut free = limit
        - old
            .iter()
            .map(|(shard, share)| share.max(used[shard]))
            .sum::<f64>();
    for (shard, share) in &mut new {
        let target = targets.get(shard).copied().unwrap_or(0.0);
        if *share < target {
            let added = (target - *share).min(free.max(0.0));
            *share += added;
            free -= added;
        } else {
            *share = target;
        }
    }
    // After the limit was lowered, a shard may still use more than its share. The excess is taken
    // from the unused shares of other shards, so that the sum stays within the limit.
    let mut excess = new
        .iter()
        .map(|(shard, share)| share.max(used[shard]))
        .sum::<f64>()
        - limit;
    for (shard, share) in &mut new {
        let cut = excess.min(*share - used[shard]).max(0.0);
        *share -= cut;
        excess -= cut;
    }
    new
}

impl Context {
    /// Updates the limits in the record of the only shard, which gets them whole. Limits that don't
    /// fit into the record are logged and not applied.
    pub(crate) fn set_limits_of_only_shard(&self, records: &mut BTreeMap<u32, ShardRecord>) {
        let wanted = match self.target_limits() {
            TargetLimits::FromSettings => None,
            TargetLimits::Set(limits) => Some(limits),
            TargetLimits::Unchanged => return,
        };
        let Some(record) = records.get_mut(&0) else {
            return;
        };
        let updated = ShardRecord {
            quota_shares: wanted,
            ..record.clone()
        };
        if updated.quota_shares == record.quota_shares {
            return;
        }
        let (bytes, bytes_max) = (json_bytes(&updated), self.shard_record_bytes_max());
        if bytes > bytes_max {
            warn!(
                "team limits not in force, bytes={bytes} bytes_max={bytes_max} reason=too large for one record"
            );
            return;
        }
        *record = updated;
    }

    /// Divides the limits of all teams among the shards by what each shard wants. What one shard
    /// loses is given to another only once the first shard has reported, under its new record, that
    /// it uses no more than its new share. Therefore nothing changes until the latest counts of
    /// every shard are of its current record.
    pub(crate) fn divide_limits(&self, records: &mut BTreeMap<u32, ShardRecord>) {
        if records.len() < 2 {
            return self.set_limits_of_only_shard(records);
        }
        let limits = match self.target_limits() {
            TargetLimits::FromSettings => self.settings_limits(),
            TargetLimits::Set(limits) => limits,
            TargetLimits::Unchanged => return,
        };
        let slots = self.store.mirror.shards.iter();
        let revisions: BTreeMap<u32, u64> =
            slots.map(|(shard, slot)| (*shard, slot.revision)).collect();
        let valid = self.valid_counts();
        let is_current =
            |counts: &&&ShardCounts| revisions.get(&counts.shard) == Some(&counts.revision);
        let current: BTreeMap<u32, &ShardCounts> = valid
            .iter()
            .filter(is_current)
            .map(|counts| (counts.shard, *counts))
            .collect();
        if records.keys().any(|shard| !current.contains_key(shard)) {
            return;
        }
        // Each shard is served first for one lease duration in turn.
        let lease_s = self.settings.tuning.shard_lease_s;
        let turn_index = (self.now.since(Time(0)) / lease_s) as usize % records.len();
        let turn = records.keys().nth(turn_index).copied().unwrap_or(0);
        for (team, limit) in limits {
            let team_count = |counts: &ShardCounts| {
                let found = counts.teams.iter().find(|(name, _)| *name == team);
                found.map(|(_, count)| *count).unwrap_or_default()
            };
            let counts: BTreeMap<u32, TeamCount> = current
                .iter()
                .map(|(shard, counts)| (*shard, team_count(counts)))
                .collect();
            divide_team_limit(records, &team, limit, &counts, turn);
        }
    }
}
