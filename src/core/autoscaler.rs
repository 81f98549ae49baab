//! How many machines there are. Each type is a pool, ordinary and spot apart. Each
//! tick compares the larger of two counts, what waits and what runs, with what is
//! provisioned, booting machines included.

use super::fleet::{Machine, Seat};
use super::placement::{within_limit, zone_allowed};
use super::records::Closed;
use super::*;
use crate::peer::PoolCount;
use log::{debug, info, warn};
use std::collections::{BTreeSet, VecDeque};

/// A machine type's index in the catalogue, and whether it is spot.
pub(crate) type Pool = (usize, bool);

#[derive(Debug)]
pub(crate) enum CloudPurpose {
    Catalog,
    Rent(String),
    Delete(Vec<MachineId>),
    List(Vec<Listed>),
}

/// A request to rent.
#[derive(Debug)]
struct Hire {
    rec: HireRec,
    step: HireStep,
    at: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HireStep {
    /// Not yet in the written plan.
    Planned,
    /// Written: may be sent.
    Written,
    Sent,
    /// Answered; kept in the plan until lists surely show its machines.
    Answered,
}

#[derive(Debug, Default)]
pub(crate) struct Scale {
    /// Whether counts are rebuilt, so that renting may begin.
    ready: Option<Time>,
    listed: bool,
    tick_at: Time,
    wanted: BTreeMap<Pool, VecDeque<(Time, u32)>>,
    hires: Vec<Hire>,
    hire_count: u64,
    /// Until when a pool's zone isn't asked again, and how often it refused.
    refused: HashMap<(usize, String, bool), (Time, u32)>,
    shares: Vec<(u32, u32)>,
    closed: Vec<Closed>,
    /// Machines to return, for the next plan.
    returns: Vec<MachineId>,
    plan_busy: bool,
    plan_dirty: bool,
}

/// Pauses after a refusal, in boot times of nothing: plain seconds.
const REFUSED_S: f64 = 10.0;
const REFUSED_MAX_S: f64 = 80.0;
/// Pause before a rental without an answer is repeated.
const REPEAT_S: f64 = 2.0;
/// Most machines that one rental may ask for.
const RENT_MAX: u32 = 50;
/// Most names that one deletion may hold.
const DELETE_MAX: usize = 100;
/// Counts are told to the leader this often, as a share of its tick.
const TALLY_SHARE: f64 = 0.2;
/// A machine is surely listed after this many list lags.
const LISTED_LAGS: f64 = 3.0;
/// A boot of a type that isn't in the catalogue.
const UNKNOWN_BOOT_S: f64 = 60.0;
/// After how many times the time in which it is overdue a machine never comes up.
const NEVER: f64 = 2.0;
/// Share of the value limit that the plan may fill.
const PLAN_SHARE: f64 = 0.9;
/// A machine this much free counts as room kept for urgent starts.
const SPARE_SHARE: f64 = 0.5;

impl Core {
    pub(crate) fn catalog_chores(&mut self) {
        if self.catalog.is_empty() && self.now >= self.catalog_retry {
            self.catalog_retry = self.now.after(REPEAT_S);
            self.cloud_call(CloudOp::Catalog, CloudPurpose::Catalog, Priority::First);
        }
    }

    pub(crate) fn lead_chores(&mut self) {
        if self.now >= self.tally_at {
            self.tally_at = self.now.after(self.settings.tuning.tick_s * TALLY_SHARE);
            self.tally_chores();
            self.lease_chores();
        }
        if self.catalog.is_empty() {
            return;
        }
        let several = self.parked.values().any(|h| !h.whole);
        if self.grant_alive() || several {
            self.list_machines();
        }
        if !self.grant_alive() {
            return;
        }
        self.repeat_hires();
        self.tick();
        self.write_plan();
    }

    fn cloud_call(&mut self, op: CloudOp, purpose: CloudPurpose, priority: Priority) -> bool {
        if !self.cloud_budget.has(self.now, 1.0, priority) {
            return false;
        }
        self.cloud_budget.take(1.0);
        let id = self.call_id();
        let tenure = self.tenure();
        self.cloud_calls.insert(id, (purpose, tenure));
        self.out.push(Output::Cloud(id, op));
        true
    }

    pub(crate) fn on_cloud(&mut self, id: CallId, reply: CloudReply) {
        let Some((purpose, tenure)) = self.cloud_calls.remove(&id) else {
            return;
        };
        if reply == CloudReply::Trouble {
            self.cloud_budget.drain();
        }
        match purpose {
            CloudPurpose::Catalog => self.on_catalog(reply),
            CloudPurpose::Rent(name) => self.on_rented(&name, reply),
            CloudPurpose::Delete(ids) => {
                if let Some((block, _)) = tenure {
                    self.in_block(block, |core| core.on_deleted(ids, reply));
                }
            }
            CloudPurpose::List(so_far) => self.on_machine_list(so_far, reply),
        }
    }

    fn on_catalog(&mut self, reply: CloudReply) {
        let CloudReply::Catalog(classes) = reply else {
            return;
        };
        self.catalog = classes;
        let catalog = &self.catalog;
        for h in self.parked.values_mut() {
            h.machines.edit_all(|m| m.find_class(catalog));
            h.place_wanted = true;
        }
    }

    /// A new leader first repeats the rentals that the plan speaks of, under their
    /// names, and lists: it rents only once it knows what is there.
    pub(crate) fn rebuild_scale(&mut self) {
        let now = self.now;
        let plan = self.cache.plan.rec.clone().unwrap_or_default();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let written = |rec| Hire {
            rec,
            step: HireStep::Written,
            at: now,
        };
        lead.scale.hires = plan.hires.into_iter().map(written).collect();
        lead.scale.tick_at = now;
    }

    // ---- machines that are there

    /// The leader lists machines to find those nobody expected; with several blocks,
    /// the other holders list them, less often, to learn what became of their own.
    fn list_machines(&mut self) {
        let lag = self.settings.platform.facts.cloud.list_lag_s.max(2.0);
        let pause = if self.lead.is_some() { lag } else { 2.0 * lag };
        if self.listing || self.now < self.list_at || self.blind() {
            return;
        }
        let op = CloudOp::List { after: None };
        if self.cloud_call(op, CloudPurpose::List(Vec::new()), Priority::Usual) {
            self.listing = true;
            self.list_at = self.now.after(pause);
        }
    }

    fn on_machine_list(&mut self, mut so_far: Vec<Listed>, reply: CloudReply) {
        self.listing = false;
        let CloudReply::Page { machines, more } = reply else {
            return;
        };
        so_far.extend(machines);
        let last = so_far.last().map(|l| MachineId::from(l.id.as_str()));
        if let (true, Some(last)) = (more, last) {
            let op = CloudOp::List { after: Some(last) };
            let purpose = CloudPurpose::List(so_far);
            self.listing = self.cloud_call(op, purpose, Priority::Usual);
            return;
        }
        let lag = self.settings.platform.facts.cloud.list_lag_s;
        let (now, settled_s) = (self.now, LISTED_LAGS * lag + REPEAT_S);
        let listed: BTreeSet<&str> = so_far.iter().map(|l| l.id.as_str()).collect();
        for h in self.parked.values_mut() {
            for l in &so_far {
                h.see_listed(now, &self.catalog, l);
            }
            h.miss_listed(now, settled_s, &listed);
        }
        if let Some(lead) = &mut self.lead {
            lead.scale.listed = true;
            for l in so_far {
                let id = MachineId::from(l.id.as_str());
                self.add_stray((id, l.class, l.zone, l.spot));
            }
        }
    }

    /// Machines that never come up are paid for until they are deleted. That is long after
    /// they were replaced: on a night on which all boots took several times as long, each was
    /// deleted shortly before it was up, and rented anew.
    pub(crate) fn doom_unborn(&mut self) {
        let (now, boot) = (self.now, self.settings.tuning.boot);
        let Some(h) = &mut self.holder else {
            return;
        };
        let never = |m: &Machine| now.since(m.since) > NEVER * h.overdue_s(&self.catalog, m, boot);
        let never = h.machines.unborn().filter(|(_, m)| never(m));
        let never: Vec<MachineId> = never.map(|(id, _)| id.clone()).collect();
        for id in never {
            h.doom(now, &id, "it never came up");
        }
    }

    /// A deletion needs no lease: it can only cost a machine, and proves its tasks gone.
    pub(crate) fn delete_doomed(&mut self) {
        let now = self.now;
        if self.blind() {
            return;
        }
        let Some(h) = &mut self.holder else {
            return;
        };
        let mut ids = Vec::new();
        for (id, m) in h.machines.leaving() {
            let due = m.doomed.is_some_and(|at| now >= at || m.tasks.is_empty());
            if due && !m.deleting && ids.len() < DELETE_MAX && !h.committing_on(m) {
                ids.push(id.clone());
            }
        }
        if ids.is_empty() {
            return;
        }
        let op = CloudOp::Delete(ids.clone());
        if self.cloud_call(op, CloudPurpose::Delete(ids.clone()), Priority::First)
            && let Some(h) = &mut self.holder
        {
            for id in &ids {
                h.machines.edit(id, |m| m.deleting = true);
            }
        }
    }

    /// Once the deletion is answered, the machine and all on it are gone.
    fn on_deleted(&mut self, ids: Vec<MachineId>, reply: CloudReply) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        let mut held = Vec::new();
        for id in ids {
            if reply != CloudReply::Deleted {
                h.machines.edit(&id, |m| m.deleting = false);
                continue;
            }
            info!("machine {id} deleted");
            held.extend(h.remove_machine(now, &id));
        }
        for req in held {
            self.answer(req, Reply::later(503, 5, "this machine is deleted"));
        }
    }

    // ---- counts

    fn tick(&mut self) {
        let now = self.now;
        let Some(lead) = &mut self.lead else {
            return;
        };
        let s = &mut lead.scale;
        let unanswered = s.hires.iter().any(|x| x.step != HireStep::Answered);
        let blocks = self.cache.blocks.len();
        if s.ready.is_none() && s.listed && !unanswered && lead.tallies.len() >= blocks {
            s.ready = Some(now);
            s.tick_at = now;
            info!("counts are rebuilt");
        }
        let Some(ready) = lead.scale.ready.filter(|_| now >= lead.scale.tick_at) else {
            return;
        };
        lead.scale.tick_at = now.after(self.settings.tuning.tick_s);
        self.tally_chores();
        let sums = self.sum_up();
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.needs.clear();
        let ceiling = self.settings.ceiling();
        for (pool, blocks) in sums.counts {
            // A machine serves its own block only, so each block's gap is its own.
            let (mut wanted, mut gap, mut provisioned) = (0, 0, 0);
            for (block, count) in &blocks {
                let w = count.wanted(ceiling);
                debug!("pool {pool:?} of block {block}: {count:?}, wanted {w}");
                let need = w.saturating_sub(count.provisioned);
                (wanted, gap, provisioned) =
                    (wanted + w, gap + need, provisioned + count.provisioned);
                let name = self.catalog[pool.0].name.clone();
                lead.needs.insert((name, pool.1, *block), need);
            }
            let window_s = self.settings.tuning.window * self.catalog[pool.0].ready_s;
            lead.scale.remember(pool, now, wanted, window_s);
            let room = ceiling.saturating_sub(provisioned);
            if wanted >= ceiling {
                warn!("pool {pool:?} wants {wanted} machines, as many as its ceiling allows");
            }
            let asked = sums.asked.get(&pool).copied().unwrap_or(0);
            // A machine in the wrong zone is no help to tasks that may not go there.
            let pins = sums.pins.iter().filter(|((p, _), _)| *p == pool);
            let pins: BTreeMap<&String, u32> = pins.map(|((_, z), n)| (z, *n)).collect();
            let gap = gap.max(pins.values().sum());
            let gap = gap.min(room).saturating_sub(asked);
            let gap = gap.min(self.settings.rise(gap));
            if gap > 0 {
                lead.scale.rent(
                    &self.catalog,
                    pool,
                    gap,
                    (&sums.zones, &pins),
                    lead.number,
                    now,
                );
            }
            // A new leader hasn't seen how high the count stood before its time.
            if now.since(ready) < window_s {
                continue;
            }
            let keep = lead.scale.highest(pool).max(wanted);
            let surplus = (provisioned + asked).saturating_sub(keep) as usize;
            let idle = sums.empty.get(&pool).into_iter().flatten();
            let before = lead.scale.returns.len();
            lead.scale.returns.extend(idle.take(surplus).cloned());
            lead.scale.plan_dirty |= lead.scale.returns.len() > before;
        }
    }

    /// Adds up what the blocks' holders count.
    fn sum_up(&self) -> Sums {
        let mut sums = Sums::default();
        let class = |name: &str| self.catalog.iter().position(|c| c.name == name);
        for t in self.believed() {
            for (name, spot, c) in &t.pools {
                if let Some(class) = class(name) {
                    let pool = sums.counts.entry((class, *spot)).or_default();
                    pool.insert(t.block, *c);
                }
            }
            for (name, spot, zone, n) in &t.zones {
                if let Some(class) = class(name) {
                    let key = ((class, *spot), zone.clone());
                    *sums.zones.entry(key).or_default() += n;
                }
            }
            for (name, spot, zone, n) in &t.pins {
                if let Some(class) = class(name) {
                    let key = ((class, *spot), zone.clone());
                    *sums.pins.entry(key).or_default() += n;
                }
            }
            for (name, spot, id) in &t.empty {
                if let Some(class) = class(name) {
                    let pool = sums.empty.entry((class, *spot)).or_default();
                    pool.push(id.clone());
                }
            }
        }
        let hires = self.lead.iter().flat_map(|l| &l.scale.hires);
        for x in hires.filter(|x| x.step != HireStep::Answered) {
            if let Some(class) = class(&x.rec.class) {
                *sums.asked.entry((class, x.rec.spot)).or_default() += x.rec.count;
            }
        }
        sums
    }

    /// Returns the machines that the leader's plan names, if they are still empty.
    pub(crate) fn obey_plan(&mut self) {
        let mark = self.cache.plan.mark;
        if mark == self.plan_seen {
            return;
        }
        self.plan_seen = mark;
        let now = self.now;
        let returns = self.cache.plan.rec.iter().flat_map(|p| &p.returns);
        for id in returns {
            for h in self.parked.values_mut() {
                let idle = |m: &Machine| m.up.is_some() && m.tasks.is_empty();
                if h.machines.get(id).is_some_and(idle) {
                    h.doom(now, id, "it is empty and no longer wanted");
                }
            }
        }
    }

    fn repeat_hires(&mut self) {
        let now = self.now;
        let Some(lead) = &self.lead else {
            return;
        };
        let due: Vec<HireRec> = lead
            .scale
            .hires
            .iter()
            .filter(|x| x.step == HireStep::Written && now >= x.at)
            .map(|x| x.rec.clone())
            .collect();
        for rec in due {
            let name = rec.name.clone();
            let purpose = CloudPurpose::Rent(name.clone());
            if !self.cloud_call(CloudOp::Rent(rec), purpose, Priority::Usual) {
                return;
            }
            if let Some(lead) = &mut self.lead {
                lead.scale.step(&name, HireStep::Sent, now);
            }
        }
    }

    fn on_rented(&mut self, name: &str, reply: CloudReply) {
        let now = self.now;
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(rec) = lead.scale.hires.iter().find(|x| x.rec.name == name) else {
            return;
        };
        let rec = rec.rec.clone();
        let class = self.catalog.iter().position(|c| c.name == rec.class);
        let Some(class) = class else {
            return;
        };
        let place = (class, rec.zone.clone(), rec.spot);
        match reply {
            CloudReply::Rented(rigs) => {
                info!(
                    "rented {} of {} {} in {}{}",
                    rigs.len(),
                    rec.count,
                    rec.class,
                    rec.zone,
                    if rec.spot { ", spot" } else { "" }
                );
                if (rigs.len() as u32) < rec.count {
                    lead.scale.refuse(place, now);
                } else {
                    lead.scale.refused.remove(&place);
                }
                lead.scale.step(name, HireStep::Answered, now);
                self.take_rented(&rec, rigs);
            }
            CloudReply::Refused => {
                warn!("no capacity for {} in {}", rec.class, rec.zone);
                lead.scale.refuse(place, now);
                lead.scale.hires.retain(|x| x.rec.name != name);
                lead.scale.plan_dirty = true;
            }
            _ => lead
                .scale
                .step(name, HireStep::Written, now.after(REPEAT_S)),
        }
    }

    /// New machines join the only block at once, or a block's list.
    fn take_rented(&mut self, rec: &HireRec, rigs: Vec<MachineId>) {
        let now = self.now;
        let whole = self.parked.values_mut().find(|h| h.whole);
        if let Some(h) = whole {
            for id in rigs {
                if !h.machines.contains_key(&id) && !h.gone.contains_key(&id) {
                    let m = Machine::new(&self.catalog, &rec.class, &rec.zone, rec.spot, now);
                    h.machines.insert(id, m);
                }
            }
            return;
        }
        for id in rigs {
            self.add_stray((id, rec.class.clone(), rec.zone.clone(), rec.spot));
        }
        self.lease_chores();
    }

    // ---- the plan

    /// Writes wanted counts and rentals. A rental is sent only once it stands here.
    fn write_plan(&mut self) {
        let lag = self.settings.platform.facts.cloud.list_lag_s;
        let now = self.now;
        let shares = self.job_shares();
        let when = vec![(Key::Leader, self.cache.leader.version())];
        let Some(lead) = &mut self.lead else {
            return;
        };
        let s = &mut lead.scale;
        let before = s.hires.len();
        let kept_s = 3.0 * lag + 5.0;
        s.hires
            .retain(|x| x.step != HireStep::Answered || now.since(x.at) < kept_s);
        let closed = s.closed(&self.catalog, now);
        s.plan_dirty |= s.hires.len() != before || s.shares != shares || s.closed != closed;
        if s.plan_busy || !s.plan_dirty {
            return;
        }
        let wanted = s.wanted.iter().filter_map(|((class, spot), w)| {
            let name = self.catalog.get(*class)?.name.clone();
            Some((name, *spot, w.back()?.1))
        });
        let mut plan = PlanRec {
            number: lead.number,
            wanted: wanted.collect(),
            shares: shares.clone(),
            closed: closed.clone(),
            ..PlanRec::default()
        };
        let most = self.settings.platform.facts.state.value_kb * 1024.0 * PLAN_SHARE;
        let left = (most as usize).saturating_sub(json_bytes(&plan));
        (plan.hires, plan.returns) = s.fit(left);
        let op = StateOp::Commit {
            when,
            writes: vec![Write::put(Key::Plan, Record::Plan(plan))],
        };
        if self.state_call(op, Purpose::Plan, Priority::First).is_ok()
            && let Some(lead) = &mut self.lead
        {
            lead.scale.plan_busy = true;
            lead.scale.plan_dirty = false;
            lead.scale.shares = shares;
            lead.scale.closed = closed;
            lead.scale.returns.clear();
        }
    }

    pub(crate) fn on_planned(&mut self, reply: StateReply) {
        let now = self.now;
        let Some(lead) = &mut self.lead else {
            return;
        };
        let s = &mut lead.scale;
        s.plan_busy = false;
        if let StateReply::Committed { .. } = reply {
            // Hires planned while the commit was under way made the plan dirty
            // again, and wait for the next one.
            if !s.plan_dirty {
                for x in &mut s.hires {
                    if x.step == HireStep::Planned {
                        (x.step, x.at) = (HireStep::Written, now);
                    }
                }
            }
            self.repeat_hires();
        } else {
            s.plan_dirty = true;
        }
    }
}

/// Machines of a pool by zone.
type Zones = BTreeMap<(Pool, String), u32>;

/// What the blocks' holders count, put together.
#[derive(Default)]
struct Sums {
    counts: BTreeMap<Pool, BTreeMap<u32, PoolCount>>,
    zones: Zones,
    pins: Zones,
    empty: BTreeMap<Pool, Vec<MachineId>>,
    /// Machines asked for, without an answer yet.
    asked: BTreeMap<Pool, u32>,
}

impl PoolCount {
    /// The larger of the two counts, each rounded up, within the ceiling.
    ///
    /// Tasks that wait found no room on the busy machines, so their count stands on
    /// top of those: with the bare larger of the two, a full machine with as many
    /// tasks waiting as running would never get a second one beside it.
    pub(crate) fn wanted(&self, ceiling: u32) -> u32 {
        let by_queue = self.busy + self.queued.ceil() as u32;
        let by_running = self.running.ceil() as u32;
        let mut room = 0.0;
        if self.urgent {
            room = (self.keep - self.spare).max(0.0).ceil();
        }
        (by_queue.max(by_running) + room as u32).min(ceiling)
    }
}

impl Holder {
    fn committing_on(&self, m: &Machine) -> bool {
        m.tasks.keys().any(|t| {
            let p = self.jobs.get(&t.job).and_then(|l| l.placed.get(&t.index));
            p.is_some_and(|p| p.phase == holder::Phase::Committing)
        })
    }

    /// Takes note of a listed machine.
    fn see_listed(&mut self, now: Time, catalog: &[ClassInfo], l: &Listed) {
        let id = MachineId::from(l.id.as_str());
        if self.gone.contains_key(&id) {
            return;
        }
        if self.whole && !self.machines.contains_key(&id) {
            let mut m = Machine::new(catalog, &l.class, &l.zone, l.spot, now);
            m.since = Time(now.0.saturating_sub((l.age_s().max(0.0) * 1000.0) as u64));
            self.machines.insert(id.clone(), m);
        }
        let known = self.machines.get(&id);
        let wakes = |m: &Machine| l.stance == MachineStance::Running && m.up.is_none();
        if known.is_some_and(|m| m.class == usize::MAX || wakes(m)) {
            self.machines.edit(&id, |m| {
                if wakes(m) {
                    // From now on it counts as silent unless it reports.
                    (m.up, m.seen) = (Some(now), now);
                }
                m.learn(catalog, &l.class, &l.zone, l.spot);
            });
        }
        if l.stance == MachineStance::Failed {
            self.doom(now, &id, "the cloud lists it as failed");
        }
    }

    /// Machines that should be listed by now and never were, nor ever reported, are
    /// gone or never came to be. Absence proves nothing, so they are deleted.
    fn miss_listed(&mut self, now: Time, settled_s: f64, listed: &BTreeSet<&str>) {
        let since = self.since;
        let unseen = |m: &Machine| now.since(m.since.max(since)) > settled_s;
        let missing = self.machines.unborn();
        let missing = missing.filter(|(id, m)| unseen(m) && !listed.contains(id.as_str()));
        let missing: Vec<MachineId> = missing.map(|(id, _)| id.clone()).collect();
        for id in missing {
            self.doom(now, &id, "the cloud doesn't list it");
        }
    }

    /// After how long a machine that isn't up is overdue.
    fn overdue_s(&self, catalog: &[ClassInfo], m: &Machine, boot: f64) -> f64 {
        let ready_s = catalog.get(m.class).map_or(UNKNOWN_BOOT_S, |c| c.ready_s);
        boot * self.usual_boot_s(m.class, ready_s)
    }

    /// Forgets a deleted machine; its tasks are proven gone. Returns the request
    /// that waited for its commands.
    fn remove_machine(&mut self, now: Time, id: &MachineId) -> Option<ReqId> {
        let m = self.machines.get(id)?;
        let held = m.held;
        let tasks: Vec<TaskId> = m.tasks.keys().cloned().collect();
        for task in tasks {
            self.take(now, &task);
        }
        if let Some((_, until)) = held {
            self.releases.remove(&(until, id.clone()));
        }
        self.machines.remove(id);
        self.failures.forget_machine(id);
        self.gone.insert(id.clone(), now);
        self.place_wanted = true;
        held.map(|(req, _)| req)
    }

    /// Counts every pool.
    pub(crate) fn counts(
        &self,
        catalog: &[ClassInfo],
        settings: &Settings,
        closed: &[Closed],
        now: Time,
    ) -> BTreeMap<Pool, PoolCount> {
        let lease_s = settings.platform.facts.workers.lease_s;
        let mut counts: BTreeMap<Pool, PoolCount> = BTreeMap::new();
        for class in 0..catalog.len() {
            for spot in [false, true] {
                let keep = self.keep((class, spot), catalog, settings.tuning.headroom, now);
                let count = PoolCount {
                    keep,
                    ..PoolCount::default()
                };
                counts.insert((class, spot), count);
            }
        }
        for m in self.machines.values() {
            let quiet = now.since(m.seen.max(self.since)) > lease_s;
            let cut = self.cut || self.cut_zones.contains(&m.zone);
            let silent = m.up.is_some() && m.held.is_none() && quiet && !cut;
            // An overdue machine is replaced. If it comes after all, it is used or returned.
            let overdue_s = self.overdue_s(catalog, m, settings.tuning.boot);
            let silent = silent || m.up.is_none() && now.since(m.since) > overdue_s;
            self.count_machine(catalog, m, silent, &mut counts);
        }
        let mut team_left = HashMap::new();
        for id in &self.waiting {
            let Some(live) = self.jobs.get(id) else {
                continue;
            };
            if self.failures.hopeless(id) || !within_limit(self, settings, &live.rec) {
                continue;
            }
            let tasks = self.within_team(settings, live.queued(), &live.rec, &mut team_left);
            count_queued(catalog, &live.rec, closed, tasks, &mut counts);
        }
        counts
    }

    /// Machines lacking in particular zones: for tasks that may not go elsewhere, by
    /// their job's zone, by its other tasks' zone, or because the other zones hold as
    /// many of its tasks as they may.
    pub(crate) fn pins(&self, catalog: &[ClassInfo], closed: &[Closed]) -> Zones {
        let mut pins = Zones::new();
        let mut ahead: BTreeMap<(Pool, &str), u32> = BTreeMap::new();
        for m in self.machines.values() {
            if m.tasks.is_empty() && m.doomed.is_none() && m.notice.is_none() {
                *ahead.entry(((m.class, m.spot), &*m.zone)).or_default() += 1;
            }
        }
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|id| !self.failures.hopeless(id));
        for live in waiting.filter_map(|id| self.jobs.get(id)) {
            let Some(pool) = pool_for(catalog, &live.rec, closed) else {
                continue;
            };
            let class = &catalog[pool.0];
            let zones = class.zones.iter().filter(|z| zone_allowed(live, z));
            let zones: Vec<&String> = zones.collect();
            if zones.is_empty() || zones.len() == class.zones.len() {
                continue;
            }
            let per = per_machine(class, live.rec.need);
            let mut need = (f64::from(live.queued()) / per).ceil() as u32;
            for zone in &zones {
                let have = ahead.entry((pool, zone.as_str())).or_default();
                let taken = need.min(*have);
                *have -= taken;
                need -= taken;
            }
            let shut = |z: &str| {
                let same = |c: &Closed| c.0 == class.name && c.1 == z && c.2 == pool.1;
                closed.iter().any(same)
            };
            if let Some(zone) = zones.iter().find(|z| !shut(z)).filter(|_| need > 0) {
                *pins.entry((pool, zone.to_string())).or_default() += need;
            }
        }
        pins
    }

    fn count_machine(
        &self,
        catalog: &[ClassInfo],
        m: &Machine,
        silent: bool,
        counts: &mut BTreeMap<Pool, PoolCount>,
    ) {
        let leaving = silent || m.doomed.is_some() || m.notice.is_some();
        let Some(class) = catalog.get(m.class).filter(|_| !leaving) else {
            return;
        };
        let Some(c) = counts.get_mut(&(m.class, m.spot)) else {
            return;
        };
        c.provisioned += 1;
        if m.tasks.is_empty() {
            return;
        }
        c.busy += 1;
        c.running += m.used.share_of(class.room);
        let free = 1.0 - m.used.share_of(class.room);
        if free >= SPARE_SHARE {
            c.spare += free;
        }
        // Batch work that saves its progress makes room for urgent starts at hardly any cost.
        for Seat { rec, .. } in m.tasks.values() {
            let saves = rec.form == Form::Batch && rec.checkpoint_s > 0.0;
            if saves && rec.rank <= Rank::Normal {
                c.spare += rec.need.share_of(class.room);
            }
            c.urgent |= rec.form == Form::Service;
        }
    }

    /// How many queued tasks the team's limit still lets run.
    fn within_team(
        &self,
        settings: &Settings,
        queued: u32,
        rec: &JobRec,
        left: &mut HashMap<String, Room>,
    ) -> u32 {
        let teams = &settings.platform.facts.teams;
        let Some(team) = teams.iter().find(|t| t.name == rec.team) else {
            return 0;
        };
        let used = self.teams.get(&rec.team).copied().unwrap_or_default();
        let room = left.entry(rec.team.clone()).or_insert_with(|| {
            let (cpus, gpus) = self.allowance(team);
            let part = |max: f64, used: f64| if max < f64::MAX { max - used } else { max };
            Room {
                cpus: part(cpus, used.cpus),
                gpus: part(gpus, used.gpus),
                mem: f64::MAX,
            }
        });
        let fit = |left: f64, need: f64| {
            if need > 0.0 {
                (left / need + 1e-6).floor()
            } else {
                f64::MAX
            }
        };
        let most = fit(room.cpus, rec.need.cpus).min(fit(room.gpus, rec.need.gpus));
        let tasks = f64::from(queued).min(most.max(0.0));
        if room.cpus < f64::MAX {
            room.cpus -= tasks * rec.need.cpus;
        }
        if room.gpus < f64::MAX {
            room.gpus -= tasks * rec.need.gpus;
        }
        tasks as u32
    }
}

/// Counts a job's queued tasks. Where the cloud has nothing left they count on the next
/// pool, but only those that the machines on their way there don't hold: counting them
/// all rented a second fleet beside the first, when an empty one's first pool was full.
fn count_queued(
    catalog: &[ClassInfo],
    rec: &JobRec,
    closed: &[Closed],
    tasks: u32,
    counts: &mut BTreeMap<Pool, PoolCount>,
) {
    let mut left = f64::from(tasks);
    let last = pool_for(catalog, rec, closed);
    for pool in pools_for(catalog, rec) {
        let Some(c) = counts.get_mut(&pool).filter(|_| left > 0.0) else {
            continue;
        };
        let per = per_machine(&catalog[pool.0], rec.need);
        let coming = f64::from(c.provisioned - c.busy) - c.queued;
        let here = if Some(pool) == last {
            left
        } else {
            left.min((coming.max(0.0) * per).floor())
        };
        c.queued += here / per;
        c.urgent |= here > 0.0 && rec.form == Form::Service;
        left -= here;
        if Some(pool) == last {
            return;
        }
    }
}

/// The pool on which a task counts: the smallest type that fits, spot where the
/// job may use it. Where the cloud has nothing left, the next one.
pub(crate) fn pool_for(catalog: &[ClassInfo], rec: &JobRec, closed: &[Closed]) -> Option<Pool> {
    let pools = pools_for(catalog, rec);
    let open = |pool: &&Pool| {
        let name = &catalog[pool.0].name;
        let zones = &catalog[pool.0].zones;
        let mut zones = zones
            .iter()
            .filter(|z| rec.zone.as_ref().is_none_or(|r| r == *z));
        zones.any(|z| {
            !closed
                .iter()
                .any(|c| c.0 == *name && c.1 == *z && c.2 == pool.1)
        })
    };
    pools.iter().find(open).or(pools.first()).copied()
}

/// The pools that a task may use, in the order in which it counts on them.
fn pools_for(catalog: &[ClassInfo], rec: &JobRec) -> Vec<Pool> {
    let mut pools: Vec<Pool> = Vec::new();
    for (class, info) in catalog.iter().enumerate() {
        if rec.allows(&info.name) && info.room.holds(rec.need) {
            pools.push((class, false));
            if rec.spot {
                pools.push((class, true));
            }
        }
    }
    pools.sort_by(|a, b| {
        let size = |p: &Pool| catalog[p.0].room.gpus + catalog[p.0].room.cpus / 1e3;
        b.1.cmp(&a.1).then(size(a).total_cmp(&size(b)))
    });
    pools
}

/// How many of a task one machine holds; at least one.
pub(crate) fn per_machine(class: &ClassInfo, need: Room) -> f64 {
    let fit = |have: f64, need: f64| {
        if need > 0.0 {
            (have / need + 1e-6).floor()
        } else {
            f64::MAX
        }
    };
    fit(class.room.cpus, need.cpus)
        .min(fit(class.room.gpus, need.gpus))
        .min(fit(class.room.mem, need.mem))
        .clamp(1.0, 1e6)
}

impl Scale {
    /// The requests to rent and the machines to return that fit into so many bytes. With
    /// many pools and zones a plan outgrew its value, and then nothing was rented. Requests
    /// that are answered go first: they only help a new leader before its list does; those
    /// that nobody has sent are planned again.
    fn fit(&mut self, bytes: usize) -> (Vec<HireRec>, Vec<MachineId>) {
        let mut used: usize = self.hires.iter().map(|x| json_bytes(&x.rec)).sum();
        while used > bytes {
            let answered = |x: &Hire| x.step == HireStep::Answered;
            let planned = |x: &Hire| x.step == HireStep::Planned;
            let oldest = self.hires.iter().position(answered);
            let Some(at) = oldest.or_else(|| self.hires.iter().rposition(planned)) else {
                break;
            };
            used -= json_bytes(&self.hires.remove(at).rec);
        }
        let hires = self.hires.iter().map(|x| x.rec.clone()).collect();
        let mut left = bytes.saturating_sub(used);
        let fits = |id: &&MachineId| {
            let size = json_bytes(*id);
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        };
        (
            hires,
            self.returns.iter().take_while(fits).cloned().collect(),
        )
    }

    /// Plans rentals, each machine to the open zone with fewest such machines.
    fn rent(
        &mut self,
        catalog: &[ClassInfo],
        pool: Pool,
        gap: u32,
        (there, pins): (&Zones, &BTreeMap<&String, u32>),
        term: Number,
        now: Time,
    ) {
        let info = &catalog[pool.0];
        let mut zones: Vec<(u32, &String, u32)> = Vec::new();
        for zone in &info.zones {
            if self.open(&pool, zone, now) {
                let have = there.get(&(pool, zone.clone())).copied().unwrap_or(0);
                zones.push((have, zone, 0));
            }
        }
        let mut left = gap;
        for (_, zone, new) in &mut zones {
            *new = pins.get(*zone).copied().unwrap_or(0).min(left);
            left -= *new;
        }
        for _ in 0..left {
            let Some(least) = zones.iter_mut().min_by_key(|(have, _, new)| have + new) else {
                return;
            };
            least.2 += 1;
        }
        for (_, zone, mut count) in zones {
            // One request holds no more than the cloud takes.
            while count > 0 {
                let part = count.min(RENT_MAX);
                count -= part;
                self.hire_count += 1;
                let rec = HireRec {
                    name: format!("r-{}-{}", term.0, self.hire_count),
                    class: info.name.clone(),
                    zone: zone.clone(),
                    spot: pool.1,
                    count: part,
                };
                self.hires.push(Hire {
                    rec,
                    step: HireStep::Planned,
                    at: now,
                });
                self.plan_dirty = true;
            }
        }
    }

    /// What the cloud has nothing left of, for the plan.
    fn closed(&self, catalog: &[ClassInfo], now: Time) -> Vec<Closed> {
        let shut = self.refused.iter().filter(|(_, (until, _))| now < *until);
        let shut = shut.filter_map(|((class, zone, spot), _)| {
            Some((catalog.get(*class)?.name.clone(), zone.clone(), *spot))
        });
        let mut shut: Vec<Closed> = shut.collect();
        shut.sort();
        shut
    }

    fn open(&self, pool: &Pool, zone: &str, now: Time) -> bool {
        let key = (pool.0, zone.to_string(), pool.1);
        self.refused
            .get(&key)
            .is_none_or(|(until, _)| now >= *until)
    }

    fn refuse(&mut self, place: (usize, String, bool), now: Time) {
        let entry = self.refused.entry(place).or_insert((now, 0));
        let pause = (REFUSED_S * 2f64.powi(entry.1.min(6) as i32)).min(REFUSED_MAX_S);
        *entry = (now.after(pause), entry.1 + 1);
    }

    fn step(&mut self, name: &str, step: HireStep, at: Time) {
        for x in self.hires.iter_mut().filter(|x| x.rec.name == name) {
            (x.step, x.at) = (step, at);
        }
    }

    /// Keeps the counts of the stabilization window.
    fn remember(&mut self, pool: Pool, now: Time, wanted: u32, window_s: f64) {
        let w = self.wanted.entry(pool).or_default();
        if w.back().map(|(_, n)| *n) != Some(wanted) {
            self.plan_dirty = true;
        }
        w.push_back((now, wanted));
        while w.front().is_some_and(|(at, _)| now.since(*at) > window_s) {
            w.pop_front();
        }
    }

    fn highest(&self, pool: Pool) -> u32 {
        let window = self.wanted.get(&pool);
        window
            .and_then(|w| w.iter().map(|(_, n)| *n).max())
            .unwrap_or(0)
    }
}
