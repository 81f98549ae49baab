//! How the leader leases shards: to whom, with which machines and quota shares.
//!
//! While the fleet is small there is one shard with everything in it, held by the
//! leader itself. Cutting a fleet cuts packing, limits and caches as well, so there
//! are more shards only once each has enough machines.

use crate::controller::Controller;
use crate::controller::autoscaling::plan::ScalingState;
use crate::controller::context::Context;
use crate::controller::quota::team_limits::LimitsWanted;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::ShardOwner;
use crate::controller::store::records::{
    Entry, FencingTokenRecord, Key, LimitsByTeam, Record, ShardRecord, json_bytes,
};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{ControllerId, FencingToken, JobId, MachineId, Time};
use crate::peer::{Message, ShardCounts, TeamCount};
use crate::wire::{StoreRequest, StoreResponse, WorkerHeartbeat, Write};
use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// Share of a shard's lease without a count from its owner after which it goes to
/// another controller.
const SILENT_SHARE: f64 = 0.25;
/// Share of the value limit that a shard's record may fill.
const RECORD_SHARE: f64 = 0.85;
/// JSON bytes of records in one commit, below the limit of 64 KiB.
const COMMIT_BYTES: usize = 40 * 1024;
/// Names of deleted machines are kept this long, in seconds.
const GONE_S: f64 = 300.0;
/// Longest list of empty or deleted machines in one message.
const NAMES_MAX: usize = 100;
/// Counts older than this are no longer believed, in ticks.
const STALE_TICKS: f64 = 3.0;

/// A fleet is cut once its owner has been too busy for so many lives of a shard's lease.
const CUT_LEASES: f64 = 2.0;

/// A process that has run for so many seconds without a measurement won't get one.
const UNMEASURED_S: f64 = 5.0;

/// What a leader knows besides what it holds itself.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    pub(crate) scale: ScalingState,
    /// The latest counts of each shard, and when they came.
    pub(crate) shard_counts: BTreeMap<u32, (ShardCounts, Time)>,
    /// Machines that each shard lacks, by type and kind.
    pub(crate) needs: BTreeMap<(String, bool, u32), u32>,
    /// Machines that belong to no shard yet.
    unassigned: BTreeMap<MachineId, Entry>,
    /// Machines that owners deleted, and when that was heard: lists show them still.
    gone: BTreeMap<MachineId, Time>,
    /// Since when more shards are needed than there are.
    short_of_shards_since: Option<Time>,
    /// A change of leases is being committed.
    busy: bool,
    /// There are machines that no shard's record has room for.
    crowded: bool,
    since: Time,
    /// This leadership's own number: no other one has it.
    pub(crate) token: FencingToken,
    /// From when it may rent and delete: before, a leader that it replaced might.
    pub(crate) cloud_from: Time,
}

impl Controller {
    pub(crate) fn become_leader(&mut self) {
        let record = self.context.store.mirror.leader.record.as_ref();
        let token = record.map_or(FencingToken(0), |l| l.token);
        self.context.leadership = Some(Leadership {
            since: self.context.now,
            token,
            cloud_from: self.context.cloud_from(token),
            ..Leadership::default()
        });
        self.update_rate_limits();
        self.context.rebuild_scaling_state();
    }

    pub(crate) fn send_counts(&mut self) {
        for shard in self.shards.values() {
            shard.send_counts(&mut self.context);
        }
    }

    /// Commits what has to change about the leases, all at once.
    pub(crate) fn lease_housekeeping(&mut self) {
        let Some(leadership) = &self.context.leadership else {
            return;
        };
        if leadership.busy || !self.context.lease_valid() || self.context.is_stale() {
            return;
        }
        let before: BTreeMap<u32, (u64, ShardRecord)> = self
            .context
            .store
            .mirror
            .shards
            .iter()
            .filter_map(|(k, b)| Some((*k, (b.revision, b.record.clone()?))))
            .collect();
        let mut after: BTreeMap<u32, ShardRecord> =
            before.iter().map(|(k, (_, b))| (*k, b.clone())).collect();
        let mut highest = self.context.store.mirror.highest();
        self.replace_owners(&mut after, &mut highest);
        self.split(&mut after, &mut highest);
        self.context.assign_machines(&mut after);
        self.context.share_limits(&mut after);
        self.context.commit_leases(&before, after, highest);
    }

    /// Shards whose owner restarted or counts no more go to another controller,
    /// under a higher number.
    fn replace_owners(&self, records: &mut BTreeMap<u32, ShardRecord>, highest: &mut FencingToken) {
        let Some(leadership) = &self.context.leadership else {
            return;
        };
        let patience = self.context.settings.tuning.shard_lease_s * SILENT_SHARE;
        let mut load: BTreeMap<ControllerId, usize> = BTreeMap::new();
        for b in records.values() {
            *load.entry(b.owner.clone()).or_default() += 1;
        }
        for (shard, record) in records.iter_mut() {
            let told = leadership.shard_counts.get(shard);
            let told = told
                .filter(|(t, _)| t.token == record.token)
                .map(|(_, at)| *at);
            let quiet = self.context.now.since(told.unwrap_or(leadership.since)) > patience;
            let released_tokens = self
                .context
                .released_tokens
                .get(shard)
                .is_some_and(|n| record.token <= *n);
            let mine = record.owner == self.context.settings.platform.controller_id;
            let restarted = mine
                && (record.incarnation != self.context.incarnation || released_tokens)
                || self.context.rebooted(record);
            if !quiet && !restarted {
                continue;
            }
            let (controller_id, incarnation) = self.context.least_loaded(&load);
            info!(
                "block {shard} goes from {} to {controller_id}",
                record.owner
            );
            *load.entry(controller_id.clone()).or_default() += 1;
            highest.0 += 1;
            (record.owner, record.incarnation, record.token) =
                (controller_id, incarnation, *highest);
        }
    }

    /// Into how many shards a fleet is cut. Where it is measured how busy the owner is, that
    /// decides, and only once it has said so for long: a cut costs more than a full processor for
    /// some seconds, and isn't undone.
    fn shards_needed(&mut self, machines: u32, shards: usize) -> usize {
        let now = self.context.now;
        if !self.context.processor.measured() {
            // A process that has just begun will be.
            let never = self.context.age_s() > UNMEASURED_S;
            return if never {
                self.context.settings.shards_for(machines)
            } else {
                shards
            };
        }
        let held = self.shards.values().map(|h| h.machines.len()).sum();
        let by_use = self.context.processor.machines_per_owner(now, held);
        let needed = by_use.map_or(1, |most| self.context.settings.shards_at(machines, most));
        let Some(leadership) = &mut self.context.leadership else {
            return shards;
        };
        if needed <= shards {
            leadership.short_of_shards_since = None;
            return shards;
        }
        let since = *leadership.short_of_shards_since.get_or_insert(now);
        let patience = self.context.settings.tuning.shard_lease_s * CUT_LEASES;
        if now.since(since) < patience {
            return shards;
        }
        leadership.short_of_shards_since = None;
        info!("one holder is too busy for {machines} machines: {needed} blocks are needed");
        needed
    }

    /// One more shard, once each of them has enough machines.
    fn split(&mut self, records: &mut BTreeMap<u32, ShardRecord>, highest: &mut FencingToken) {
        let machines: u32 = self
            .context
            .believed()
            .iter()
            .flat_map(|t| &t.zones)
            .map(|(_, _, _, n)| n)
            .sum();
        let controllers = 1 + self
            .context
            .recent_heartbeats()
            .filter(|h| h.is_fresh)
            .count();
        let by_size = self.shards_needed(machines, records.len());
        let crowded = self.context.leadership.as_ref().is_some_and(|l| l.crowded);
        if records.is_empty() || (records.len() >= by_size.min(controllers) && !crowded) {
            return;
        }
        if let Some(first) = records.get_mut(&0).filter(|b| b.machines.is_none()) {
            // The only shard gets a list before there is a second one.
            let Some(h) = self.shards.get(&0).filter(|h| h.token == first.token) else {
                return;
            };
            let mut listed = first.clone();
            listed.machines = Some(h.entries());
            // As they are, if they were set at run time: what is in force changes elsewhere.
            let whole = || match self.context.settings.cells {
                None => self.context.limits_of_settings(),
                Some(_) => LimitsByTeam::new(),
            };
            listed.quota_shares.get_or_insert_with(whole);
            if json_bytes(&listed) > self.context.record_most() {
                // It goes on as one shard, which needs no list.
                return;
            }
            *first = listed;
        }
        let load: BTreeMap<ControllerId, usize> =
            records.values().fold(BTreeMap::new(), |mut l, b| {
                *l.entry(b.owner.clone()).or_default() += 1;
                l
            });
        let (owner, incarnation) = self.context.least_loaded(&load);
        let shard = records.keys().max().map_or(0, |k| k + 1);
        info!("block {shard} is made for {owner}");
        highest.0 += 1;
        let record = ShardRecord {
            owner,
            incarnation,
            token: *highest,
            machines: Some(Vec::new()),
            quota_shares: Some(BTreeMap::new()),
        };
        records.insert(shard, record);
    }
}

impl Context {
    /// The shards that a new leader takes for itself: the only one, and those whose
    /// owners aren't heard of.
    pub(crate) fn shards_to_take(&self) -> Vec<u32> {
        let records = self.store.mirror.shards.iter();
        let records: Vec<(u32, &ShardRecord)> = records
            .filter_map(|(k, b)| Some((*k, b.record.as_ref()?)))
            .collect();
        if records.len() <= 1 {
            return vec![0];
        }
        let lost = records
            .iter()
            .filter(|(_, b)| !self.process_lives(&b.owner, b.incarnation));
        lost.map(|(k, _)| *k).collect()
    }

    /// Whether a process, this one or a peer's, was heard of lately.
    fn process_lives(&self, controller_id: &ControllerId, incarnation: u64) -> bool {
        if *controller_id == self.settings.platform.controller_id {
            return incarnation == self.incarnation;
        }
        self.recent_heartbeats()
            .any(|h| h.from == *controller_id && h.incarnation == incarnation)
    }

    /// A shard's record with this process as its owner, and the revision it replaces.
    pub(crate) fn lease_to_self(&self, shard: u32, token: FencingToken) -> (u64, ShardRecord) {
        let slot = self
            .store
            .mirror
            .shards
            .get(&shard)
            .cloned()
            .unwrap_or_default();
        let version = slot.version();
        let old = slot.record;
        let record = ShardRecord {
            owner: self.settings.platform.controller_id.clone(),
            incarnation: self.incarnation,
            token,
            machines: old.as_ref().and_then(|b| b.machines.clone()),
            quota_shares: old.and_then(|b| b.quota_shares),
        };
        (version, record)
    }

    /// The shard that takes a new job: by the job's name, in proportion to the shares
    /// in the plan, so that every node comes to the same shard.
    pub(crate) fn shard_for(&self, id: &JobId) -> u32 {
        let shares = self
            .store
            .mirror
            .plan
            .record
            .as_ref()
            .map(|p| p.shares.as_slice());
        let shares = shares.unwrap_or(&[]);
        let total: u64 = shares.iter().map(|(_, n)| u64::from(*n)).sum();
        if total == 0 {
            return 0;
        }
        let mut at = stable_hash(id.as_str()) % total;
        for (shard, n) in shares {
            if at < u64::from(*n) {
                return *shard;
            }
            at -= u64::from(*n);
        }
        0
    }

    pub(crate) fn on_shard_counts(&mut self, shard_counts: ShardCounts) {
        let now = self.now;
        if let Some(leadership) = &mut self.leadership {
            leadership.gone.retain(|_, at| now.since(*at) < GONE_S);
            leadership
                .gone
                .extend(shard_counts.gone.iter().map(|id| (id.clone(), now)));
            leadership
                .shard_counts
                .insert(shard_counts.shard, (shard_counts, now));
        }
    }

    /// Counts that are believed: of the present owner, and not too old.
    pub(crate) fn believed(&self) -> Vec<&ShardCounts> {
        let stale = self.settings.tuning.tick_s * STALE_TICKS;
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let all = leadership.shard_counts.values();
        let good = all.filter(|(t, at)| {
            let record = self
                .store
                .mirror
                .shards
                .get(&t.shard)
                .and_then(|b| b.record.as_ref());
            record.is_some_and(|b| b.token == t.token) && self.now.since(*at) < stale
        });
        good.map(|(t, _)| t).collect()
    }

    /// A worker heartbeats that belongs to no shard here. The leader sees to it that
    /// it comes to belong to one.
    pub(crate) fn note_unassigned(&mut self, id: &MachineId, report: &WorkerHeartbeat) {
        let entry = (
            id.clone(),
            report.class.clone(),
            report.zone.clone(),
            report.spot,
        );
        self.add_unassigned(entry);
    }

    pub(crate) fn add_unassigned(&mut self, entry: Entry) {
        let records = self.store.mirror.shards.values();
        let mut lists = records.filter_map(|b| b.record.as_ref());
        let known = lists.any(|b| b.has(&entry.0));
        if let Some(leadership) = self.leadership.as_mut().filter(|_| !known)
            && !leadership.gone.contains_key(&entry.0)
        {
            leadership.unassigned.insert(entry.0.clone(), entry);
        }
    }

    fn commit_leases(
        &mut self,
        before: &BTreeMap<u32, (u64, ShardRecord)>,
        after: BTreeMap<u32, ShardRecord>,
        highest: FencingToken,
    ) {
        let mut preconditions = vec![(Key::Leader, self.store.mirror.leader.version())];
        if self.settings.cells.is_some() {
            // What the shards may use was taken from this record.
            preconditions.push((Key::Cell, self.store.mirror.cell.version()));
        }
        let (mut writes, mut bytes) = (Vec::new(), 0);
        let most = self.settings.state_limits().txn_ops - 1;
        for (shard, record) in after {
            let old = before.get(&shard);
            let full = writes.len() >= most || bytes >= COMMIT_BYTES;
            if old.is_some_and(|(_, b)| *b == record) || full {
                continue;
            }
            bytes += json_bytes(&record);
            preconditions.push((Key::Shard(shard), old.map_or(0, |(revision, _)| *revision)));
            writes.push(Write::put(Key::Shard(shard), Record::Shard(record)));
        }
        if writes.is_empty() {
            return;
        }
        if highest > self.store.mirror.highest() {
            preconditions.push((Key::FencingToken, self.store.mirror.token.version()));
            let fence = self
                .store
                .mirror
                .token
                .record
                .as_ref()
                .and_then(|n| n.fence);
            let record = FencingTokenRecord { highest, fence };
            writes.push(Write::put(Key::FencingToken, Record::FencingToken(record)));
        }
        let op = StoreRequest::Transaction {
            preconditions,
            writes,
        };
        if self
            .send_store_request(op, RequestPurpose::UpdateShards, Priority::First)
            .is_ok()
            && let Some(leadership) = &mut self.leadership
        {
            leadership.busy = true;
        }
    }

    /// Whatever came of it, the watch shows it, and the next look goes on from there.
    pub(crate) fn on_leased(&mut self, _reply: StoreResponse) {
        if let Some(leadership) = &mut self.leadership {
            leadership.busy = false;
        }
    }

    /// Whether a shard's owner is heard of, but as another process.
    fn rebooted(&self, record: &ShardRecord) -> bool {
        let mut heard = self.recent_heartbeats().filter(|h| h.from == record.owner);
        heard.any(|h| h.incarnation != record.incarnation)
    }

    /// The controller that sees the store and holds the fewest shards.
    fn least_loaded(&self, load: &BTreeMap<ControllerId, usize>) -> (ControllerId, u64) {
        let me = (
            self.settings.platform.controller_id.clone(),
            self.incarnation,
        );
        let others = self.recent_heartbeats().filter(|h| h.is_fresh);
        let others = others.map(|h| (h.from.clone(), h.incarnation));
        let all = std::iter::once(me.clone()).chain(others);
        let least = all.min_by_key(|(m, _)| load.get(m).copied().unwrap_or(0));
        least.unwrap_or(me)
    }

    /// Lets the only shard use what the limits allow, once that has changed.
    fn limit_only_shard(&self, records: &mut BTreeMap<u32, ShardRecord>) {
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
            warn!("the limits of all teams take {bytes} bytes, of at most {most}: not in force");
            return;
        }
        *record = limited;
    }

    /// Most bytes of a shard's record.
    fn record_most(&self) -> usize {
        let bytes = self.settings.state_limits().value_bytes;
        (bytes as f64 * RECORD_SHARE) as usize
    }

    /// New machines go to the shard that lacks them most; deleted ones leave the lists. A machine
    /// never changes its shard: only the owner knows what is on it.
    fn assign_machines(&mut self, records: &mut BTreeMap<u32, ShardRecord>) {
        let most = self.record_most();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        for list in records.values_mut().filter_map(|b| b.machines.as_mut()) {
            list.retain(|e| !leadership.gone.contains_key(&e.0));
        }
        leadership
            .unassigned
            .retain(|id, _| !leadership.gone.contains_key(id));
        let lists = records.values().filter_map(|b| b.machines.as_ref());
        let listed: BTreeSet<MachineId> = lists.flatten().map(|e| e.0.clone()).collect();
        leadership.unassigned.retain(|id, _| !listed.contains(id));
        leadership.crowded = false;
        let lists = records.iter().filter(|(_, b)| b.machines.is_some());
        let mut bytes: BTreeMap<u32, usize> = if leadership.unassigned.is_empty() {
            BTreeMap::new()
        } else {
            lists.map(|(k, b)| (*k, json_bytes(b))).collect()
        };
        for entry in leadership.unassigned.values() {
            let lists = records.iter_mut();
            let lists = lists.filter_map(|(k, b)| Some((*k, b.machines.as_mut()?)));
            // A new type or zone costs its own group in the list.
            let size = 2 * entry.0.as_str().len() + entry.1.len() + entry.2.len() + 20;
            let open = lists.filter(|(k, _)| bytes.get(k).is_some_and(|n| n + size < most));
            let key = |shard: u32| (entry.1.clone(), entry.3, shard);
            let lack = |shard: u32| leadership.needs.get(&key(shard)).copied().unwrap_or(0);
            let best = open.max_by_key(|(k, list)| (lack(*k), std::cmp::Reverse(list.len())));
            let Some((shard, list)) = best else {
                leadership.crowded = !bytes.is_empty();
                return;
            };
            list.push(entry.clone());
            *bytes.entry(shard).or_default() += entry.0.as_str().len() + 1;
            if let Some(n) = leadership.needs.get_mut(&key(shard)) {
                *n = n.saturating_sub(1);
            }
        }
    }

    /// Moves what teams may use to where they want it. What one shard loses another
    /// gets only once the first one's use, counted under its new record, is below.
    fn share_limits(&self, records: &mut BTreeMap<u32, ShardRecord>) {
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
        let all = self.believed();
        let current = |t: &&&ShardCounts| marks.get(&t.shard) == Some(&t.revision);
        let told: BTreeMap<u32, &ShardCounts> =
            all.iter().filter(current).map(|t| (t.shard, *t)).collect();
        if records.keys().any(|k| !told.contains_key(k)) {
            return;
        }
        let lease_s = self.settings.tuning.shard_lease_s;
        let queue_order = (self.now.since(Time(0)) / lease_s) as usize % records.len();
        let turn = records.keys().nth(queue_order).copied().unwrap_or(0);
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

    /// The shares of new jobs, by machines.
    pub(crate) fn job_shares(&self) -> Vec<(u32, u32)> {
        let records = self.store.mirror.shards.iter();
        let shares = records.filter_map(|(k, b)| {
            let machines = b.record.as_ref()?.machines.as_ref()?;
            Some((*k, machines.len() as u32 + 1))
        });
        shares.collect()
    }
}

impl ShardOwner {
    /// Tells the leader what the shard in hand counts.
    fn send_counts(&self, context: &mut Context) {
        let shard_counts = self.shard_counts(context);
        if context.leadership.is_some() {
            return context.on_shard_counts(shard_counts);
        }
        let leader = context
            .store
            .mirror
            .leader
            .record
            .as_ref()
            .map(|l| l.controller_id.clone());
        if leader.is_some() {
            let message = Message::ShardCounts(Box::new(shard_counts));
            context.outbox.send_to_peer(leader, message);
        }
    }

    fn shard_counts(&self, context: &Context) -> ShardCounts {
        let catalog = &context.catalog;
        let closed = context.store.mirror.closed();
        let named = |class: usize| catalog.get(class).map(|c| c.name.clone());
        let pools = self
            .counts(catalog, &context.settings, closed, context.now)
            .into_iter();
        let pools = pools.filter_map(|((class, spot), c)| Some((named(class)?, spot, c)));
        let mut zones: BTreeMap<(String, bool, String), u32> = BTreeMap::new();
        let mut empty = Vec::new();
        for (id, m) in self.machines.iter() {
            let key = (m.type_name.to_string(), m.spot, m.zone.to_string());
            *zones.entry(key).or_default() += 1;
            if m.ready_since.is_some() && m.tasks.is_empty() && m.decommission_at.is_none() {
                let name = m.type_name.to_string();
                empty.push((m.images.len(), (name, m.spot, id.clone())));
            }
        }
        let pins = self.pins(catalog, closed).into_iter();
        let pins = pins.filter_map(|((pool, zone), n)| Some((named(pool.0)?, pool.1, zone, n)));
        // Those with the fewest images are missed least.
        empty.sort();
        let empty = empty.into_iter().map(|(_, e)| e).take(NAMES_MAX);
        let zones = zones.into_iter().map(|((c, s, z), n)| (c, s, z, n));
        ShardCounts {
            from: context.settings.platform.controller_id.clone(),
            shard: self.shard,
            token: self.token,
            revision: self.shard_revision,
            pools: pools.collect(),
            zones: zones.collect(),
            pins: pins.collect(),
            empty: empty.collect(),
            gone: self.gone.keys().rev().take(NAMES_MAX).cloned().collect(),
            teams: self.team_counts(),
        }
    }
}

/// Shares one team's limit among the shards. `turn` is the shard whose turn it is.
fn share_limit(
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

type PerShard = BTreeMap<u32, f64>;

/// Room for rounding when amounts are added and taken away many times.
const SLACK: f64 = 1e-6;

/// What each shard may use from now on. Nothing changes while every shard has what it
/// wants and the limit wasn't lowered. Otherwise the shard whose turn it is gets all it wants, so that even a task
/// as large as the limit starts one day, and the others share the rest evenly. Room is
/// given only once nobody uses it.
fn shares(limit: f64, turn: u32, old: &PerShard, used: &PerShard, wanted: &PerShard) -> PerShard {
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

/// A number from a name, the same everywhere (FNV-1a).
pub(crate) fn stable_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

impl ShardOwner {
    /// The shard's machines as its record lists them.
    fn entries(&self) -> Vec<Entry> {
        let all = self.machines.iter();
        let all = all.map(|(id, m)| {
            let (class, zone) = (m.type_name.to_string(), m.zone.to_string());
            (id.clone(), class, zone, m.spot)
        });
        all.collect()
    }

    fn team_counts(&self) -> Vec<(String, TeamCount)> {
        let mut counts: BTreeMap<&str, TeamCount> = BTreeMap::new();
        for (team, used) in &self.teams {
            let c = counts.entry(team).or_default();
            (c.cpus, c.gpus) = (used.cpus, used.gpus);
            (c.cpus_wanted, c.gpus_wanted) = (used.cpus, used.gpus);
        }
        for job_state in self.waiting.iter().filter_map(|id| self.jobs.get(id)) {
            let c = counts.entry(&job_state.record.team).or_default();
            c.cpus_wanted += f64::from(job_state.queued()) * job_state.record.need.cpus;
            c.gpus_wanted += f64::from(job_state.queued()) * job_state.record.need.gpus;
        }
        let counts = counts.into_iter();
        counts.map(|(team, c)| (team.to_string(), c)).collect()
    }
}
