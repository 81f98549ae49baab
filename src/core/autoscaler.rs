//! How many machines there are. Each type is a pool, ordinary and spot apart. Each
//! tick compares the larger of two counts, what waits and what runs, with what is
//! provisioned, booting machines included.

use super::blocks::Machine;
use super::placement::{free_room, within_limit};
use super::*;
use crate::settings::Tuning;
use log::{info, warn};
use std::collections::{BTreeSet, VecDeque};

/// A machine type's index in the catalogue, and whether it is spot.
type Pool = (usize, bool);

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
    listing: bool,
    list_at: Time,
    tick_at: Time,
    wanted: BTreeMap<Pool, VecDeque<(Time, u32)>>,
    hires: Vec<Hire>,
    hire_count: u64,
    /// Until when a pool's zone isn't asked again, and how often it refused.
    refused: HashMap<(usize, String, bool), (Time, u32)>,
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
/// Jobs that failed this often in a row don't make the fleet grow.
const HOPELESS: u32 = 6;
/// A machine this much free counts as room kept for urgent starts.
const SPARE_SHARE: f64 = 0.5;

impl Core {
    pub(crate) fn cloud_chores(&mut self) {
        if self.catalog.is_empty() && self.now >= self.catalog_retry {
            self.catalog_retry = self.now.after(REPEAT_S);
            self.cloud_call(CloudOp::Catalog, CloudPurpose::Catalog, Priority::First);
        }
        if !self.grant_alive() || self.catalog.is_empty() {
            return;
        }
        self.doom_unborn();
        self.delete_doomed();
        self.repeat_hires();
        self.list_machines();
        self.tick();
        self.write_plan();
    }

    fn cloud_call(&mut self, op: CloudOp, purpose: CloudPurpose, priority: Priority) -> bool {
        if !self.cloud_budget.has(self.now, 1.0, priority) {
            return false;
        }
        self.cloud_budget.take(1.0);
        let id = self.call_id();
        self.cloud_calls.insert(id, purpose);
        self.out.push(Output::Cloud(id, op));
        true
    }

    pub(crate) fn on_cloud(&mut self, id: CallId, reply: CloudReply) {
        let Some(purpose) = self.cloud_calls.remove(&id) else {
            return;
        };
        if reply == CloudReply::Trouble {
            self.cloud_budget.drain();
        }
        match purpose {
            CloudPurpose::Catalog => self.on_catalog(reply),
            CloudPurpose::Rent(name) => self.on_rented(&name, reply),
            CloudPurpose::Delete(ids) => self.on_deleted(ids, reply),
            CloudPurpose::List(so_far) => self.on_machine_list(so_far, reply),
        }
    }

    fn on_catalog(&mut self, reply: CloudReply) {
        let CloudReply::Catalog(classes) = reply else {
            return;
        };
        self.catalog = classes;
        let catalog = &self.catalog;
        if let Some(h) = &mut self.holder {
            for m in h.machines.values_mut() {
                let class = catalog.iter().position(|c| *c.name == *m.class_name);
                m.class = class.unwrap_or(usize::MAX);
            }
            h.place_wanted = true;
        }
    }

    /// A new leader first repeats the rentals that the plan speaks of, under their
    /// names, and lists: it rents only once it knows what is there.
    pub(crate) fn rebuild_scale(&mut self) {
        let now = self.now;
        let plan = self.cache.plan.rec.clone().unwrap_or_default();
        let Some(h) = &mut self.holder else {
            return;
        };
        h.scale.hires = plan
            .hires
            .into_iter()
            .map(|rec| Hire {
                rec,
                step: HireStep::Written,
                at: now,
            })
            .collect();
        h.scale.tick_at = now;
    }

    // ---- machines that are there

    fn list_machines(&mut self) {
        let lag = self.settings.platform.facts.cloud.list_lag_s.max(2.0);
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        if h.scale.listing || now < h.scale.list_at {
            return;
        }
        let op = CloudOp::List { after: None };
        if self.cloud_call(op, CloudPurpose::List(Vec::new()), Priority::Usual) {
            if let Some(h) = &mut self.holder {
                h.scale.listing = true;
                h.scale.list_at = now.after(lag);
            }
        }
    }

    fn on_machine_list(&mut self, mut so_far: Vec<Listed>, reply: CloudReply) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        h.scale.listing = false;
        let CloudReply::Page { machines, more } = reply else {
            return;
        };
        so_far.extend(machines);
        let last = so_far.last().map(|l| MachineId::from(l.id.as_str()));
        if let (true, Some(last)) = (more, last) {
            let op = CloudOp::List { after: Some(last) };
            if self.cloud_call(op, CloudPurpose::List(so_far), Priority::Usual) {
                if let Some(h) = &mut self.holder {
                    h.scale.listing = true;
                }
            }
            return;
        }
        for l in &so_far {
            let class = self.catalog.iter().position(|c| c.name == l.class);
            h.see_listed(now, class, l);
        }
        h.scale.listed = true;
    }

    /// Machines that don't come up are deleted and, if still wanted, replaced.
    fn doom_unborn(&mut self) {
        let now = self.now;
        let boot = self.settings.tuning.boot;
        let Some(h) = &mut self.holder else {
            return;
        };
        let mut unborn = Vec::new();
        for (id, m) in &h.machines {
            let ready_s = self.catalog.get(m.class).map_or(60.0, |c| c.ready_s);
            if m.up.is_none() && m.doomed.is_none() && now.since(m.since) > boot * ready_s {
                unborn.push(id.clone());
            }
        }
        for id in unborn {
            h.doom(now, &id, "it never came up");
        }
    }

    fn delete_doomed(&mut self) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        let mut ids = Vec::new();
        for (id, m) in &h.machines {
            let due = m.doomed.is_some_and(|at| now >= at || m.tasks.is_empty());
            if due && !m.deleting && ids.len() < DELETE_MAX && !h.committing_on(m) {
                ids.push(id.clone());
            }
        }
        if ids.is_empty() {
            return;
        }
        let op = CloudOp::Delete(ids.clone());
        if self.cloud_call(op, CloudPurpose::Delete(ids.clone()), Priority::First) {
            if let Some(h) = &mut self.holder {
                for id in &ids {
                    if let Some(m) = h.machines.get_mut(id) {
                        m.deleting = true;
                    }
                }
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
                if let Some(m) = h.machines.get_mut(&id) {
                    m.deleting = false;
                }
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
        let tick_s = self.settings.tuning.tick_s;
        let Some(h) = &mut self.holder else {
            return;
        };
        let s = &mut h.scale;
        let unanswered = s.hires.iter().any(|x| x.step != HireStep::Answered);
        if s.ready.is_none() && s.listed && !unanswered {
            s.ready = Some(now);
            s.tick_at = now;
            info!("counts are rebuilt: {} machines known", h.machines.len());
        }
        let Some(ready) = h.scale.ready.filter(|_| now >= h.scale.tick_at) else {
            return;
        };
        h.scale.tick_at = now.after(tick_s);
        let counts = h.counts(&self.catalog, &self.settings, now);
        for (pool, count) in counts {
            let wanted = count.wanted(&self.settings.tuning);
            h.scale
                .remember(pool, now, wanted, self.settings.tuning.window_s);
            let rise = (self.settings.tuning.rise as u32).min(RENT_MAX);
            let gap = wanted.saturating_sub(count.provisioned).min(rise);
            if gap > 0 {
                h.rent(&self.catalog, pool, gap, now);
            }
            // A new leader hasn't seen how high the count stood before its time.
            if now.since(ready) < self.settings.tuning.window_s {
                continue;
            }
            let keep = h.scale.highest(pool).max(wanted);
            h.give_back(pool, count.provisioned.saturating_sub(keep), now);
        }
    }

    fn repeat_hires(&mut self) {
        let now = self.now;
        let Some(h) = &self.holder else {
            return;
        };
        let due: Vec<HireRec> = h
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
            if let Some(h) = &mut self.holder {
                h.scale.step(&name, HireStep::Sent, now);
            }
        }
    }

    fn on_rented(&mut self, name: &str, reply: CloudReply) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        let Some(rec) = h.scale.hires.iter().find(|x| x.rec.name == name) else {
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
                    h.scale.refuse(place, now);
                } else {
                    h.scale.refused.remove(&place);
                }
                for id in rigs {
                    if !h.machines.contains_key(&id) && !h.gone.contains_key(&id) {
                        let m = Machine::new(Some(class), &rec.class, &rec.zone, rec.spot, now);
                        h.add_machine(id, m);
                    }
                }
                h.scale.step(name, HireStep::Answered, now);
            }
            CloudReply::Refused => {
                warn!("no capacity for {} in {}", rec.class, rec.zone);
                h.scale.refuse(place, now);
                h.scale.hires.retain(|x| x.rec.name != name);
                h.scale.plan_dirty = true;
            }
            _ => h.scale.step(name, HireStep::Written, now.after(REPEAT_S)),
        }
    }

    // ---- the plan

    /// Writes wanted counts and rentals. A rental is sent only once it stands here.
    fn write_plan(&mut self) {
        let lag = self.settings.platform.facts.cloud.list_lag_s;
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        let before = h.scale.hires.len();
        let kept_s = 3.0 * lag + 5.0;
        h.scale
            .hires
            .retain(|x| x.step != HireStep::Answered || now.since(x.at) < kept_s);
        h.scale.plan_dirty |= h.scale.hires.len() != before;
        if h.scale.plan_busy || !h.scale.plan_dirty {
            return;
        }
        let wanted = h.scale.wanted.iter().filter_map(|((class, spot), w)| {
            let name = self.catalog.get(*class)?.name.clone();
            Some((name, *spot, w.back()?.1))
        });
        let plan = PlanRec {
            number: h.number,
            wanted: wanted.collect(),
            hires: h.scale.hires.iter().map(|x| x.rec.clone()).collect(),
        };
        let op = StateOp::Commit {
            when: vec![(Key::Block(0), h.block_mark)],
            writes: vec![Write::put(Key::Plan, Record::Plan(plan))],
        };
        if self.state_call(op, Purpose::Plan, Priority::First).is_ok() {
            if let Some(h) = &mut self.holder {
                h.scale.plan_busy = true;
                h.scale.plan_dirty = false;
            }
        }
    }

    pub(crate) fn on_planned(&mut self, reply: StateReply) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        h.scale.plan_busy = false;
        if let StateReply::Committed { .. } = reply {
            // Hires planned while the commit was under way made the plan dirty
            // again, and wait for the next one.
            if !h.scale.plan_dirty {
                for x in &mut h.scale.hires {
                    if x.step == HireStep::Planned {
                        (x.step, x.at) = (HireStep::Written, now);
                    }
                }
            }
            self.repeat_hires();
        } else {
            h.scale.plan_dirty = true;
        }
    }
}

/// What a tick counts for one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolCount {
    /// Machines' worth of tasks that found no room.
    pub queued: f64,
    /// Machines' worth of tasks that are placed.
    pub running: f64,
    /// Machines with at least one task.
    pub busy: u32,
    pub provisioned: u32,
    /// Machines' worth of room that is free on machines in use.
    pub spare: f64,
    /// Whether services run here: room is kept for the next ones.
    pub urgent: bool,
}

impl PoolCount {
    /// The larger of the two counts, each rounded up, within the ceiling.
    ///
    /// Tasks that wait found no room on the busy machines, so their count stands on
    /// top of those: with the bare larger of the two, a full machine with as many
    /// tasks waiting as running would never get a second one beside it.
    pub(crate) fn wanted(&self, t: &Tuning) -> u32 {
        let by_queue = self.busy + self.queued.ceil() as u32;
        let by_running = self.running.ceil() as u32;
        let mut room = 0.0;
        if self.urgent {
            let keep = (f64::from(self.busy) * t.headroom).max(1.0);
            room = (keep - self.spare).max(0.0).ceil();
        }
        (by_queue.max(by_running) + room as u32).min(t.ceiling as u32)
    }
}

impl Holder {
    fn committing_on(&self, m: &Machine) -> bool {
        m.tasks.iter().any(|t| {
            let p = self.jobs.get(&t.job).and_then(|l| l.placed.get(&t.index));
            p.is_some_and(|p| p.phase == blocks::Phase::Committing)
        })
    }

    /// Takes note of a listed machine.
    fn see_listed(&mut self, now: Time, class: Option<usize>, l: &Listed) {
        let id = MachineId::from(l.id.as_str());
        if self.gone.contains_key(&id) {
            return;
        }
        if !self.machines.contains_key(&id) {
            let mut m = Machine::new(class, &l.class, &l.zone, l.spot, now);
            m.since = Time(now.0.saturating_sub((l.age_s().max(0.0) * 1000.0) as u64));
            if l.stance == MachineStance::Running {
                m.up = Some(now);
            }
            self.add_machine(id.clone(), m);
        }
        let known = self.machines.get_mut(&id);
        if let Some(m) = known.filter(|m| m.class == usize::MAX) {
            m.class = class.unwrap_or(usize::MAX);
            m.class_name = l.class.as_str().into();
            (m.zone, m.spot) = (l.zone.as_str().into(), l.spot);
        }
        if l.stance == MachineStance::Failed {
            self.doom(now, &id, "the cloud lists it as failed");
        }
    }

    /// Forgets a deleted machine; its tasks are proven gone. Returns the request
    /// that waited for its commands.
    fn remove_machine(&mut self, now: Time, id: &MachineId) -> Option<ReqId> {
        let m = self.machines.get(id)?;
        let held = m.held;
        let tasks: Vec<TaskId> = m.tasks.iter().cloned().collect();
        for task in tasks {
            self.take(now, &task);
        }
        if let Some((_, until)) = held {
            self.releases.remove(&(until, id.clone()));
        }
        self.machines.remove(id);
        self.gone.insert(id.clone(), now);
        self.place_wanted = true;
        held.map(|(req, _)| req)
    }

    /// Counts every pool.
    fn counts(
        &self,
        catalog: &[ClassInfo],
        settings: &Settings,
        now: Time,
    ) -> BTreeMap<Pool, PoolCount> {
        let mut counts: BTreeMap<Pool, PoolCount> = BTreeMap::new();
        for class in 0..catalog.len() {
            for spot in [false, true] {
                counts.insert((class, spot), PoolCount::default());
            }
        }
        for m in self.machines.values() {
            self.count_machine(catalog, m, &mut counts);
        }
        for x in &self.scale.hires {
            if x.step != HireStep::Answered {
                let class = catalog.iter().position(|c| c.name == x.rec.class);
                if let Some(c) = class.and_then(|c| counts.get_mut(&(c, x.rec.spot))) {
                    c.provisioned += x.rec.count;
                }
            }
        }
        let mut team_left = HashMap::new();
        for id in &self.waiting {
            let Some(live) = self.jobs.get(id) else {
                continue;
            };
            let hopeless = live.fails >= HOPELESS;
            if hopeless || !within_limit(self, settings, &live.rec) {
                continue;
            }
            let pool = self.pool_for(catalog, &live.rec, now);
            let Some(pool) = pool else {
                continue;
            };
            let tasks = self.within_team(settings, live.queued(), &live.rec, &mut team_left);
            let share = per_machine(&catalog[pool.0], live.rec.need);
            if let Some(c) = counts.get_mut(&pool) {
                c.queued += f64::from(tasks) / share;
                c.urgent |= live.rec.form == Form::Service;
            }
        }
        counts
    }

    fn count_machine(
        &self,
        catalog: &[ClassInfo],
        m: &Machine,
        counts: &mut BTreeMap<Pool, PoolCount>,
    ) {
        let leaving = m.doomed.is_some() || m.notice.is_some();
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
        let free = free_room(class, m).gpus / class.room.gpus.max(1.0);
        if free >= SPARE_SHARE {
            c.spare += free;
        }
        let serves = |t: &TaskId| {
            let live = self.jobs.get(&t.job);
            live.is_some_and(|l| l.rec.form == Form::Service)
        };
        c.urgent |= m.tasks.iter().any(serves);
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
            let part = |max: f64, used: f64| if max > 0.0 { max - used } else { f64::MAX };
            Room {
                cpus: part(team.cpus_max, used.cpus),
                gpus: part(team.gpus_max, used.gpus),
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

    /// The pool on which a task counts: the smallest type that fits, spot where the
    /// job may use it. Where the cloud has nothing left, the next one.
    fn pool_for(&self, catalog: &[ClassInfo], rec: &JobRec, now: Time) -> Option<Pool> {
        let mut pools: Vec<Pool> = Vec::new();
        for (class, info) in catalog.iter().enumerate() {
            let named = rec.types.as_ref().is_none_or(|t| t.contains(&info.name));
            if named && info.room.holds(rec.need) {
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
        let open = |pool: &&Pool| {
            let zones = &catalog[pool.0].zones;
            let mut zones = zones
                .iter()
                .filter(|z| rec.zone.as_ref().is_none_or(|r| r == *z));
            zones.any(|z| self.scale.open(pool, z, now))
        };
        pools.iter().find(open).or(pools.first()).copied()
    }

    /// Plans rentals, each machine to the open zone with fewest such machines.
    fn rent(&mut self, catalog: &[ClassInfo], pool: Pool, gap: u32, now: Time) {
        let info = &catalog[pool.0];
        let mut zones: Vec<(u32, &String, u32)> = Vec::new();
        for zone in &info.zones {
            if self.scale.open(&pool, zone, now) {
                let there = |m: &&Machine| (m.class, m.spot) == pool && *m.zone == **zone;
                let have = self.machines.values().filter(there).count() as u32;
                zones.push((have, zone, 0));
            }
        }
        for _ in 0..gap {
            let Some(least) = zones.iter_mut().min_by_key(|(have, _, new)| have + new) else {
                return;
            };
            least.2 += 1;
        }
        for (_, zone, count) in zones {
            if count == 0 {
                continue;
            }
            self.scale.hire_count += 1;
            let rec = HireRec {
                name: format!("r-{}-{}", self.number.0, self.scale.hire_count),
                class: info.name.clone(),
                zone: zone.clone(),
                spot: pool.1,
                count,
            };
            self.scale.hires.push(Hire {
                rec,
                step: HireStep::Planned,
                at: now,
            });
            self.scale.plan_dirty = true;
        }
    }

    /// Returns empty machines that weren't wanted for the whole window.
    fn give_back(&mut self, pool: Pool, surplus: u32, now: Time) {
        let mut empty: Vec<(usize, MachineId)> = Vec::new();
        for (id, m) in &self.machines {
            let idle = m.up.is_some() && m.tasks.is_empty() && m.doomed.is_none();
            if idle && (m.class, m.spot) == pool {
                empty.push((m.images.len(), id.clone()));
            }
        }
        // Those with the fewest images are missed least.
        empty.sort();
        let names: BTreeSet<MachineId> = empty
            .into_iter()
            .take(surplus as usize)
            .map(|e| e.1)
            .collect();
        for id in names {
            self.doom(now, &id, "it is empty and no longer wanted");
        }
    }
}

/// How many of a task one machine holds; at least one.
fn per_machine(class: &ClassInfo, need: Room) -> f64 {
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
