//! How the leader leases blocks: to whom, with which machines and allowances.
//!
//! While the fleet is small there is one block with everything in it, held by the
//! leader itself. Cutting a fleet cuts packing, limits and caches as well, so there
//! are more blocks only once each has enough machines.

use crate::controller::autoscaling::plan::Scale;
use crate::controller::events::Output;
use crate::controller::quota::team_limits::LimitsWanted;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::Holder;
use crate::controller::store::records::{
    BlockRec, Entry, Key, LimitsByTeam, NumberRec, Record, json_bytes,
};
use crate::controller::{Core, Purpose};
use crate::ids::{JobId, MachineId, Member, Number, Time};
use crate::peer::{BlockCounts, Message, TeamCount};
use crate::wire::{Report, StateOp, StateReply, Write};
use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// Share of a block's lease without a count from its holder after which it goes to
/// another controller.
const SILENT_SHARE: f64 = 0.25;
/// Share of the value limit that a block's record may fill.
const RECORD_SHARE: f64 = 0.85;
/// JSON bytes of records in one commit, below the limit of 64 KiB.
const COMMIT_BYTES: usize = 40 * 1024;
/// Names of deleted machines are kept this long, in seconds.
const GONE_S: f64 = 300.0;
/// Longest list of empty or deleted machines in one message.
const NAMES_MAX: usize = 100;
/// Counts older than this are no longer believed, in ticks.
const STALE_TICKS: f64 = 3.0;

/// A fleet is cut once its holder has been too busy for so many lives of a block's lease.
const CUT_LEASES: f64 = 2.0;

/// A process that has run for so many seconds without a measurement won't get one.
const UNMEASURED_S: f64 = 5.0;

/// What a leader knows besides what it holds itself.
#[derive(Debug, Default)]
pub(crate) struct Lead {
    pub(crate) scale: Scale,
    /// The latest counts of each block, and when they came.
    pub(crate) block_counts: BTreeMap<u32, (BlockCounts, Time)>,
    /// Machines that each block lacks, by type and kind.
    pub(crate) needs: BTreeMap<(String, bool, u32), u32>,
    /// Machines that belong to no block yet.
    strays: BTreeMap<MachineId, Entry>,
    /// Machines that holders deleted, and when that was heard: lists show them still.
    gone: BTreeMap<MachineId, Time>,
    /// Since when more blocks are needed than there are.
    short_of_blocks: Option<Time>,
    /// A change of leases is being committed.
    busy: bool,
    /// There are machines that no block's record has room for.
    crowded: bool,
    since: Time,
    /// This leadership's own number: no other one has it.
    pub(crate) number: Number,
    /// From when it may rent and delete: before, a leader that it replaced might.
    pub(crate) cloud_from: Time,
}

impl Core {
    /// The blocks that a new leader takes for itself: the only one, and those whose
    /// holders aren't heard of.
    pub(crate) fn blocks_to_take(&self) -> Vec<u32> {
        let recs = self.cache.blocks.iter();
        let recs: Vec<(u32, &BlockRec)> = recs
            .filter_map(|(k, b)| Some((*k, b.rec.as_ref()?)))
            .collect();
        if recs.len() <= 1 {
            return vec![0];
        }
        let lost = recs
            .iter()
            .filter(|(_, b)| !self.process_lives(&b.holder, b.boot));
        lost.map(|(k, _)| *k).collect()
    }

    /// Whether a process, this one or a sibling's, was heard of lately.
    fn process_lives(&self, member: &Member, boot: u64) -> bool {
        if *member == self.settings.platform.member {
            return boot == self.boot;
        }
        self.lately().any(|h| h.from == *member && h.boot == boot)
    }

    /// A block's record with this process as its holder, and the revision it replaces.
    pub(crate) fn lease_to_me(&self, block: u32, number: Number) -> (u64, BlockRec) {
        let slot = self.cache.blocks.get(&block).cloned().unwrap_or_default();
        let version = slot.version();
        let old = slot.rec;
        let rec = BlockRec {
            holder: self.settings.platform.member.clone(),
            boot: self.boot,
            number,
            machines: old.as_ref().and_then(|b| b.machines.clone()),
            allowances: old.and_then(|b| b.allowances),
        };
        (version, rec)
    }

    pub(crate) fn start_leading(&mut self) {
        let rec = self.cache.leader.rec.as_ref();
        let number = rec.map_or(Number(0), |l| l.number);
        self.lead = Some(Lead {
            since: self.now,
            number,
            cloud_from: self.cloud_from(number),
            ..Lead::default()
        });
        self.share_budgets();
        self.rebuild_scale();
    }

    /// The block that takes a new job: by the job's name, in proportion to the shares
    /// in the plan, so that every node comes to the same block.
    pub(crate) fn block_for(&self, id: &JobId) -> u32 {
        let shares = self.cache.plan.rec.as_ref().map(|p| p.shares.as_slice());
        let shares = shares.unwrap_or(&[]);
        let total: u64 = shares.iter().map(|(_, n)| u64::from(*n)).sum();
        if total == 0 {
            return 0;
        }
        let mut at = stable_hash(id.as_str()) % total;
        for (block, n) in shares {
            if at < u64::from(*n) {
                return *block;
            }
            at -= u64::from(*n);
        }
        0
    }

    // ---- counts

    /// Tells the leader what the block in hand counts.
    fn send_block_counts(&mut self) {
        let Some(block_counts) = self.block_counts() else {
            return;
        };
        if self.lead.is_some() {
            return self.on_block_counts(block_counts);
        }
        let leader = self.cache.leader.rec.as_ref().map(|l| l.member.clone());
        if leader.is_some() {
            let message = Message::BlockCounts(Box::new(block_counts));
            self.out.push(Output::Peer(leader, message));
        }
    }

    fn block_counts(&self) -> Option<BlockCounts> {
        let h = self.holder.as_ref()?;
        let catalog = &self.catalog;
        let closed = self.cache.closed();
        let named = |class: usize| catalog.get(class).map(|c| c.name.clone());
        let pools = h
            .counts(catalog, &self.settings, closed, self.now)
            .into_iter();
        let pools = pools.filter_map(|((class, spot), c)| Some((named(class)?, spot, c)));
        let mut zones: BTreeMap<(String, bool, String), u32> = BTreeMap::new();
        let mut empty = Vec::new();
        for (id, m) in h.machines.iter() {
            let key = (m.class_name.to_string(), m.spot, m.zone.to_string());
            *zones.entry(key).or_default() += 1;
            if m.up.is_some() && m.tasks.is_empty() && m.doomed.is_none() {
                let name = m.class_name.to_string();
                empty.push((m.images.len(), (name, m.spot, id.clone())));
            }
        }
        let pins = h.pins(catalog, closed).into_iter();
        let pins = pins.filter_map(|((pool, zone), n)| Some((named(pool.0)?, pool.1, zone, n)));
        // Those with the fewest images are missed least.
        empty.sort();
        let empty = empty.into_iter().map(|(_, e)| e).take(NAMES_MAX);
        let zones = zones.into_iter().map(|((c, s, z), n)| (c, s, z, n));
        Some(BlockCounts {
            from: self.settings.platform.member.clone(),
            block: h.block,
            number: h.number,
            revision: h.block_revision,
            pools: pools.collect(),
            zones: zones.collect(),
            pins: pins.collect(),
            empty: empty.collect(),
            gone: h.gone.keys().rev().take(NAMES_MAX).cloned().collect(),
            teams: h.team_counts(),
        })
    }

    pub(crate) fn on_block_counts(&mut self, block_counts: BlockCounts) {
        let now = self.now;
        if let Some(lead) = &mut self.lead {
            lead.gone.retain(|_, at| now.since(*at) < GONE_S);
            lead.gone
                .extend(block_counts.gone.iter().map(|id| (id.clone(), now)));
            lead.block_counts
                .insert(block_counts.block, (block_counts, now));
        }
    }

    /// Counts that are believed: of the present holder, and not too old.
    pub(crate) fn believed(&self) -> Vec<&BlockCounts> {
        let stale = self.settings.tuning.tick_s * STALE_TICKS;
        let Some(lead) = &self.lead else {
            return Vec::new();
        };
        let all = lead.block_counts.values();
        let good = all.filter(|(t, at)| {
            let rec = self.cache.blocks.get(&t.block).and_then(|b| b.rec.as_ref());
            rec.is_some_and(|b| b.number == t.number) && self.now.since(*at) < stale
        });
        good.map(|(t, _)| t).collect()
    }

    // ---- leases

    /// A worker reports that belongs to no block here. The leader sees to it that
    /// it comes to belong to one.
    pub(crate) fn note_stray(&mut self, id: &MachineId, report: &Report) {
        let entry = (
            id.clone(),
            report.class.clone(),
            report.zone.clone(),
            report.spot,
        );
        self.add_stray(entry);
    }

    pub(crate) fn add_stray(&mut self, entry: Entry) {
        let recs = self.cache.blocks.values();
        let mut lists = recs.filter_map(|b| b.rec.as_ref());
        let known = lists.any(|b| b.has(&entry.0));
        if let Some(lead) = self.lead.as_mut().filter(|_| !known)
            && !lead.gone.contains_key(&entry.0)
        {
            lead.strays.insert(entry.0.clone(), entry);
        }
    }

    pub(crate) fn send_counts(&mut self) {
        self.each_block(Self::send_block_counts);
    }

    /// Commits what has to change about the leases, all at once.
    pub(crate) fn lease_housekeeping(&mut self) {
        let Some(lead) = &self.lead else {
            return;
        };
        if lead.busy || !self.grant_alive() || self.blind() {
            return;
        }
        let before: BTreeMap<u32, (u64, BlockRec)> = self
            .cache
            .blocks
            .iter()
            .filter_map(|(k, b)| Some((*k, (b.revision, b.rec.clone()?))))
            .collect();
        let mut after: BTreeMap<u32, BlockRec> =
            before.iter().map(|(k, (_, b))| (*k, b.clone())).collect();
        let mut highest = self.cache.highest();
        self.replace_holders(&mut after, &mut highest);
        self.split(&mut after, &mut highest);
        self.assign_machines(&mut after);
        self.share_limits(&mut after);
        self.commit_leases(&before, after, highest);
    }

    fn commit_leases(
        &mut self,
        before: &BTreeMap<u32, (u64, BlockRec)>,
        after: BTreeMap<u32, BlockRec>,
        highest: Number,
    ) {
        let mut when = vec![(Key::Leader, self.cache.leader.version())];
        if self.settings.cells.is_some() {
            // What the blocks may use was taken from this record.
            when.push((Key::Cell, self.cache.cell.version()));
        }
        let (mut writes, mut bytes) = (Vec::new(), 0);
        let most = self.settings.state_limits().txn_ops - 1;
        for (block, rec) in after {
            let old = before.get(&block);
            let full = writes.len() >= most || bytes >= COMMIT_BYTES;
            if old.is_some_and(|(_, b)| *b == rec) || full {
                continue;
            }
            bytes += json_bytes(&rec);
            when.push((Key::Block(block), old.map_or(0, |(revision, _)| *revision)));
            writes.push(Write::put(Key::Block(block), Record::Block(rec)));
        }
        if writes.is_empty() {
            return;
        }
        if highest > self.cache.highest() {
            when.push((Key::Number, self.cache.number.version()));
            let fence = self.cache.number.rec.as_ref().and_then(|n| n.fence);
            let rec = NumberRec { highest, fence };
            writes.push(Write::put(Key::Number, Record::Number(rec)));
        }
        let op = StateOp::Commit { when, writes };
        if self.state_call(op, Purpose::Lease, Priority::First).is_ok()
            && let Some(lead) = &mut self.lead
        {
            lead.busy = true;
        }
    }

    /// Whatever came of it, the follow shows it, and the next look goes on from there.
    pub(crate) fn on_leased(&mut self, _reply: StateReply) {
        if let Some(lead) = &mut self.lead {
            lead.busy = false;
        }
    }

    /// Blocks whose holder restarted or counts no more go to another controller,
    /// under a higher number.
    fn replace_holders(&self, recs: &mut BTreeMap<u32, BlockRec>, highest: &mut Number) {
        let Some(lead) = &self.lead else {
            return;
        };
        let patience = self.settings.tuning.block_lease_s * SILENT_SHARE;
        let mut load: BTreeMap<Member, usize> = BTreeMap::new();
        for b in recs.values() {
            *load.entry(b.holder.clone()).or_default() += 1;
        }
        for (block, rec) in recs.iter_mut() {
            let told = lead.block_counts.get(block);
            let told = told
                .filter(|(t, _)| t.number == rec.number)
                .map(|(_, at)| *at);
            let quiet = self.now.since(told.unwrap_or(lead.since)) > patience;
            let spent = self.spent.get(block).is_some_and(|n| rec.number <= *n);
            let mine = rec.holder == self.settings.platform.member;
            let restarted = mine && (rec.boot != self.boot || spent) || self.rebooted(rec);
            if !quiet && !restarted {
                continue;
            }
            let (member, boot) = self.least_loaded(&load);
            info!("block {block} goes from {} to {member}", rec.holder);
            *load.entry(member.clone()).or_default() += 1;
            highest.0 += 1;
            (rec.holder, rec.boot, rec.number) = (member, boot, *highest);
        }
    }

    /// Whether a block's holder is heard of, but as another process.
    fn rebooted(&self, rec: &BlockRec) -> bool {
        let mut heard = self.lately().filter(|h| h.from == rec.holder);
        heard.any(|h| h.boot != rec.boot)
    }

    /// The controller that sees the state service and holds the fewest blocks.
    fn least_loaded(&self, load: &BTreeMap<Member, usize>) -> (Member, u64) {
        let me = (self.settings.platform.member.clone(), self.boot);
        let others = self.lately().filter(|h| h.sighted);
        let others = others.map(|h| (h.from.clone(), h.boot));
        let all = std::iter::once(me.clone()).chain(others);
        let least = all.min_by_key(|(m, _)| load.get(m).copied().unwrap_or(0));
        least.unwrap_or(me)
    }

    /// Into how many blocks a fleet is cut. Where it is measured how busy the holder is, that
    /// decides, and only once it has said so for long: a cut costs more than a full processor for
    /// some seconds, and isn't undone.
    fn blocks_needed(&mut self, machines: u32, blocks: usize) -> usize {
        let now = self.now;
        if !self.processor.measured() {
            // A process that has just begun will be.
            let never = self.age_s() > UNMEASURED_S;
            return if never {
                self.settings.blocks_for(machines)
            } else {
                blocks
            };
        }
        let held = self.parked.values().map(|h| h.machines.len()).sum();
        let by_use = self.processor.machines_a_holder(now, held);
        let needed = by_use.map_or(1, |most| self.settings.blocks_at(machines, most));
        let Some(lead) = &mut self.lead else {
            return blocks;
        };
        if needed <= blocks {
            lead.short_of_blocks = None;
            return blocks;
        }
        let since = *lead.short_of_blocks.get_or_insert(now);
        let patience = self.settings.tuning.block_lease_s * CUT_LEASES;
        if now.since(since) < patience {
            return blocks;
        }
        lead.short_of_blocks = None;
        info!("one holder is too busy for {machines} machines: {needed} blocks are needed");
        needed
    }

    /// One more block, once each of them has enough machines.
    fn split(&mut self, recs: &mut BTreeMap<u32, BlockRec>, highest: &mut Number) {
        let machines: u32 = self
            .believed()
            .iter()
            .flat_map(|t| &t.zones)
            .map(|(_, _, _, n)| n)
            .sum();
        let controllers = 1 + self.lately().filter(|h| h.sighted).count();
        let by_size = self.blocks_needed(machines, recs.len());
        let crowded = self.lead.as_ref().is_some_and(|l| l.crowded);
        if recs.is_empty() || (recs.len() >= by_size.min(controllers) && !crowded) {
            return;
        }
        if let Some(first) = recs.get_mut(&0).filter(|b| b.machines.is_none()) {
            // The only block gets a list before there is a second one.
            let Some(h) = self.parked.get(&0).filter(|h| h.number == first.number) else {
                return;
            };
            let mut listed = first.clone();
            listed.machines = Some(h.entries());
            // As they are, if they were set at run time: what is in force changes elsewhere.
            let whole = || match self.settings.cells {
                None => self.limits_of_settings(),
                Some(_) => LimitsByTeam::new(),
            };
            listed.allowances.get_or_insert_with(whole);
            if json_bytes(&listed) > self.record_most() {
                // It goes on as one block, which needs no list.
                return;
            }
            *first = listed;
        }
        let load: BTreeMap<Member, usize> = recs.values().fold(BTreeMap::new(), |mut l, b| {
            *l.entry(b.holder.clone()).or_default() += 1;
            l
        });
        let (holder, boot) = self.least_loaded(&load);
        let block = recs.keys().max().map_or(0, |k| k + 1);
        info!("block {block} is made for {holder}");
        highest.0 += 1;
        let rec = BlockRec {
            holder,
            boot,
            number: *highest,
            machines: Some(Vec::new()),
            allowances: Some(BTreeMap::new()),
        };
        recs.insert(block, rec);
    }

    /// Lets the only block use what the limits allow, once that has changed.
    fn limit_only_block(&self, recs: &mut BTreeMap<u32, BlockRec>) {
        let wanted = match self.limits_wanted() {
            LimitsWanted::OfSettings => None,
            LimitsWanted::Set(limits) => Some(limits),
            LimitsWanted::AsTheyAre => return,
        };
        let Some(rec) = recs.get_mut(&0) else {
            return;
        };
        let limited = BlockRec {
            allowances: wanted,
            ..rec.clone()
        };
        if limited.allowances == rec.allowances {
            return;
        }
        let (bytes, most) = (json_bytes(&limited), self.record_most());
        if bytes > most {
            warn!("the limits of all teams take {bytes} bytes, of at most {most}: not in force");
            return;
        }
        *rec = limited;
    }

    /// Most bytes of a block's record.
    fn record_most(&self) -> usize {
        let bytes = self.settings.state_limits().value_bytes;
        (bytes as f64 * RECORD_SHARE) as usize
    }

    /// New machines go to the block that lacks them most; deleted ones leave the lists. A machine
    /// never changes its block: only the holder knows what is on it.
    fn assign_machines(&mut self, recs: &mut BTreeMap<u32, BlockRec>) {
        let most = self.record_most();
        let Some(lead) = &mut self.lead else {
            return;
        };
        for list in recs.values_mut().filter_map(|b| b.machines.as_mut()) {
            list.retain(|e| !lead.gone.contains_key(&e.0));
        }
        lead.strays.retain(|id, _| !lead.gone.contains_key(id));
        let lists = recs.values().filter_map(|b| b.machines.as_ref());
        let listed: BTreeSet<MachineId> = lists.flatten().map(|e| e.0.clone()).collect();
        lead.strays.retain(|id, _| !listed.contains(id));
        lead.crowded = false;
        let lists = recs.iter().filter(|(_, b)| b.machines.is_some());
        let mut bytes: BTreeMap<u32, usize> = if lead.strays.is_empty() {
            BTreeMap::new()
        } else {
            lists.map(|(k, b)| (*k, json_bytes(b))).collect()
        };
        for entry in lead.strays.values() {
            let lists = recs.iter_mut();
            let lists = lists.filter_map(|(k, b)| Some((*k, b.machines.as_mut()?)));
            // A new type or zone costs its own group in the list.
            let size = 2 * entry.0.as_str().len() + entry.1.len() + entry.2.len() + 20;
            let open = lists.filter(|(k, _)| bytes.get(k).is_some_and(|n| n + size < most));
            let key = |block: u32| (entry.1.clone(), entry.3, block);
            let lack = |block: u32| lead.needs.get(&key(block)).copied().unwrap_or(0);
            let best = open.max_by_key(|(k, list)| (lack(*k), std::cmp::Reverse(list.len())));
            let Some((block, list)) = best else {
                lead.crowded = !bytes.is_empty();
                return;
            };
            list.push(entry.clone());
            *bytes.entry(block).or_default() += entry.0.as_str().len() + 1;
            if let Some(n) = lead.needs.get_mut(&key(block)) {
                *n = n.saturating_sub(1);
            }
        }
    }

    /// Moves what teams may use to where they want it. What one block loses another
    /// gets only once the first one's use, counted under its new record, is below.
    fn share_limits(&self, recs: &mut BTreeMap<u32, BlockRec>) {
        if recs.len() < 2 {
            return self.limit_only_block(recs);
        }
        let limits = match self.limits_wanted() {
            LimitsWanted::OfSettings => self.limits_of_settings(),
            LimitsWanted::Set(limits) => limits,
            LimitsWanted::AsTheyAre => return,
        };
        let marks = self.cache.blocks.iter();
        let marks: BTreeMap<u32, u64> = marks.map(|(k, b)| (*k, b.revision)).collect();
        let all = self.believed();
        let current = |t: &&&BlockCounts| marks.get(&t.block) == Some(&t.revision);
        let told: BTreeMap<u32, &BlockCounts> =
            all.iter().filter(current).map(|t| (t.block, *t)).collect();
        if recs.keys().any(|k| !told.contains_key(k)) {
            return;
        }
        let lease_s = self.settings.tuning.block_lease_s;
        let turns = (self.now.since(Time(0)) / lease_s) as usize % recs.len();
        let turn = recs.keys().nth(turns).copied().unwrap_or(0);
        for (team, limit) in limits {
            let count = |t: &BlockCounts| {
                let found = t.teams.iter().find(|(name, _)| *name == team);
                found.map(|(_, c)| *c).unwrap_or_default()
            };
            let counts: BTreeMap<u32, TeamCount> =
                told.iter().map(|(k, t)| (*k, count(t))).collect();
            share_limit(recs, &team, limit, &counts, turn);
        }
    }

    /// The shares of new jobs, by machines.
    pub(crate) fn job_shares(&self) -> Vec<(u32, u32)> {
        let recs = self.cache.blocks.iter();
        let shares = recs.filter_map(|(k, b)| {
            let machines = b.rec.as_ref()?.machines.as_ref()?;
            Some((*k, machines.len() as u32 + 1))
        });
        shares.collect()
    }
}

/// Shares one team's limit among the blocks. `turn` is the block whose turn it is.
fn share_limit(
    recs: &mut BTreeMap<u32, BlockRec>,
    team: &str,
    limit: (f64, f64),
    counts: &BTreeMap<u32, TeamCount>,
    turn: u32,
) {
    let has = |k: &u32| {
        let given = recs[k].allowances.as_ref().and_then(|a| a.get(team));
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
        if let Some(all) = recs.get_mut(k).and_then(|b| b.allowances.as_mut()) {
            let (cpus, gpus) = (cpus[k], gpus[k]);
            if cpus > 0.0 || gpus > 0.0 || all.contains_key(team) {
                all.insert(team.to_string(), (cpus, gpus));
            }
        }
    }
}

type PerBlock = BTreeMap<u32, f64>;

/// Room for rounding when amounts are added and taken away many times.
const SLACK: f64 = 1e-6;

/// What each block may use from now on. Nothing changes while every block has what it
/// wants and the limit wasn't lowered. Otherwise the block whose turn it is gets all it wants, so that even a task
/// as large as the limit starts one day, and the others share the rest evenly. Room is
/// given only once nobody uses it.
fn shares(limit: f64, turn: u32, old: &PerBlock, used: &PerBlock, wanted: &PerBlock) -> PerBlock {
    let mut new = old.clone();
    let lowered = old.values().sum::<f64>() > limit + SLACK;
    let served = wanted.iter().all(|(k, w)| *w <= old[k] + SLACK);
    if limit <= 0.0 || served && !lowered {
        return new;
    }
    let mut left = limit;
    let mut targets = PerBlock::new();
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
    // Below a lowered limit, what one block still uses beyond its part is no room for another.
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

impl Holder {
    /// The block's machines as its record lists them.
    fn entries(&self) -> Vec<Entry> {
        let all = self.machines.iter();
        let all = all.map(|(id, m)| {
            let (class, zone) = (m.class_name.to_string(), m.zone.to_string());
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
        for live in self.waiting.iter().filter_map(|id| self.jobs.get(id)) {
            let c = counts.entry(&live.rec.team).or_default();
            c.cpus_wanted += f64::from(live.queued()) * live.rec.need.cpus;
            c.gpus_wanted += f64::from(live.queued()) * live.rec.need.gpus;
        }
        let counts = counts.into_iter();
        counts.map(|(team, c)| (team.to_string(), c)).collect()
    }
}
