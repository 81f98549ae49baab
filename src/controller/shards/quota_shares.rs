//! How a team's quota limit is shared among the shards.

use crate::controller::context::Context;
use crate::controller::quota::team_limits::LimitsWanted;
use crate::controller::store::records::{ShardRecord, json_bytes};
use crate::ids::Time;
use crate::peer::{ShardCounts, TeamCount};
use log::warn;
use std::collections::BTreeMap;

/// Shares one team's limit among the shards. `turn` is the shard whose turn it is.
pub(crate) fn share_limit(
    records: &mut BTreeMap<u32, ShardRecord>,
    team: &str,
    limit: (f64, f64),
    counts: &BTreeMap<u32, TeamCount>,
    turn: u32,
) {
    let has = |k: &u32| {
        let given = records[k].quota_shares.as_ref().and_then(|a| a.get(team));
        given.copied().unwrap_or_default()
    };
    let pick = |f: fn(&TeamCount) -> f64| counts.iter().map(|(k, c)| (*k, f(c))).collect();
    let old_cpus = counts.keys().map(|k| (*k, has(k).0)).collect();
    let old_gpus = counts.keys().map(|k| (*k, has(k).1)).collect();
    let cpus = shares(
        limit.0,
        turn,
        &old_cpus,
        &pick(|c| c.cpus),
        &pick(|c| c.cpus_wanted),
    );
    let gpus = shares(
        limit.1,
        turn,
        &old_gpus,
        &pick(|c| c.gpus),
        &pick(|c| c.gpus_wanted),
    );
    for k in counts.keys() {
        if let Some(all) = records.get_mut(k).and_then(|b| b.quota_shares.as_mut()) {
            let (cpus, gpus) = (cpus[k], gpus[k]);
            if cpus > 0.0 || gpus > 0.0 || all.contains_key(team) {
                all.insert(team.to_string(), (cpus, gpus));
            }
        }
    }
}

pub(crate) type PerShard = BTreeMap<u32, f64>;

/// Room for rounding when amounts are added and taken away many times.
pub(crate) const SLACK: f64 = 1e-6;

/// What each shard may use from now on. Nothing changes while every shard has what it
/// wants and the limit wasn't lowered. Otherwise the shard whose turn it is gets all it wants, so that even a task
/// as large as the limit starts one day, and the others share the rest evenly. Room is
/// given only once nobody uses it.
pub(crate) fn shares(
    limit: f64,
    turn: u32,
    old: &PerShard,
    used: &PerShard,
    wanted: &PerShard,
) -> PerShard {
    let mut new = old.clone();
    let lowered = old.values().sum::<f64>() > limit + SLACK;
    let served = wanted.iter().all(|(k, w)| *w <= old[k] + SLACK);
    if limit <= 0.0 || served && !lowered {
        return new;
    }
    let mut left = limit;
    let mut targets = PerShard::new();
    if let Some(w) = wanted.get(&turn) {
        targets.insert(turn, w.min(left));
        left -= w.min(left);
    }
    let mut others: Vec<(u32, f64)> = wanted
        .iter()
        .filter(|(k, _)| **k != turn)
        .map(|(k, w)| (*k, *w))
        .collect();
    others.sort_by(|a, b| a.1.total_cmp(&b.1));
    let count = others.len();
    for (at, (k, w)) in others.into_iter().enumerate() {
        let part = w.min(left / (count - at) as f64);
        targets.insert(k, part);
        left -= part;
    }
    // Before anyone gets more, what others may use or use still is counted.
    let mut free = limit - old.iter().map(|(k, a)| a.max(used[k])).sum::<f64>();
    for (k, have) in &mut new {
        let target = targets.get(k).copied().unwrap_or(0.0);
        if *have < target {
            let more = (target - *have).min(free.max(0.0));
            *have += more;
            free -= more;
        } else {
            *have = target;
        }
    }
    // Below a lowered limit, what one shard still uses beyond its part is no room for another.
    let mut over = new.iter().map(|(k, a)| a.max(used[k])).sum::<f64>() - limit;
    for (k, have) in &mut new {
        let cut = over.min(*have - used[k]).max(0.0);
        *have -= cut;
        over -= cut;
    }
    new
}

impl Context {
    /// Lets the only shard use what the limits allow, once that has changed.
    pub(crate) fn limit_only_shard(&self, records: &mut BTreeMap<u32, ShardRecord>) {
        let wanted = match self.limits_wanted() {
            LimitsWanted::OfSettings => None,
            LimitsWanted::Set(limits) => Some(limits),
            LimitsWanted::AsTheyAre => return,
        };
        let Some(record) = records.get_mut(&0) else {
            return;
        };
        let limited = ShardRecord {
            quota_shares: wanted,
            ..record.clone()
        };
        if limited.quota_shares == record.quota_shares {
            return;
        }
        let (bytes, most) = (json_bytes(&limited), self.record_most());
        if bytes > most {
            warn!(
                "team limits not in force, bytes={bytes} bytes_max={most} reason=too large for one record"
            );
            return;
        }
        *record = limited;
    }

    /// Moves what teams may use to where they want it. What one shard loses another
    /// gets only once the first one's use, counted under its new record, is below.
    pub(crate) fn share_limits(&self, records: &mut BTreeMap<u32, ShardRecord>) {
        if records.len() < 2 {
            return self.limit_only_shard(records);
        }
        let limits = match self.limits_wanted() {
            LimitsWanted::OfSettings => self.limits_of_settings(),
            LimitsWanted::Set(limits) => limits,
            LimitsWanted::AsTheyAre => return,
        };
        let marks = self.store.mirror.shards.iter();
        let marks: BTreeMap<u32, u64> = marks.map(|(k, b)| (*k, b.revision)).collect();
        let all = self.valid_counts();
        let current = |t: &&&ShardCounts| marks.get(&t.shard) == Some(&t.revision);
        let told: BTreeMap<u32, &ShardCounts> =
            all.iter().filter(current).map(|t| (t.shard, *t)).collect();
        if records.keys().any(|k| !told.contains_key(k)) {
            return;
        }
        let lease_s = self.settings.tuning.shard_lease_s;
        let turn_index = (self.now.since(Time(0)) / lease_s) as usize % records.len();
        let turn = records.keys().nth(turn_index).copied().unwrap_or(0);
        for (team, limit) in limits {
            let count = |t: &ShardCounts| {
                let found = t.teams.iter().find(|(name, _)| *name == team);
                found.map(|(_, c)| *c).unwrap_or_default()
            };
            let counts: BTreeMap<u32, TeamCount> =
                told.iter().map(|(k, t)| (*k, count(t))).collect();
            share_limit(records, &team, limit, &counts, turn);
        }
    }
}
