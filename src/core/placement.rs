//! Where tasks go: as soon as they come, wherever the block has room for them.

use super::failures::FailureLog;
use super::fleet::Machine;
use super::holder::{JobState, Phase, Placement, WriteUrgency};
use super::*;
use log::debug;
use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap};
use std::rc::Rc;

/// Shortest pause between two rounds of placing.
const PLACE_GAP_MS: u64 = 15;
/// Queued tasks are looked at least this often.
const PLACE_EVERY_S: f64 = 0.5;
/// A machine that hasn't reported for this many report intervals gets no tasks.
const FRESH_REPORTS: f64 = 3.5;
/// Weights of a placement's cost. A start that is as late as its class allows costs the
/// first of them.
const DELAY_COST: f64 = 12.0;
const SPREAD_COST: f64 = 4.0;
/// Services of up to so many tasks are spread as far as they can be.
const SPREAD_SIZE: f64 = 8.0;
const FREE_COST: f64 = 3.0;
const SPOT_GAIN: f64 = 8.0;
const CLOSING_COST: f64 = 10.0;
/// A job that failed on a machine is tried elsewhere: that tells which of them is at fault.
const FAILED_COST: f64 = 30.0;
/// Batch work leaves the room kept for urgent starts alone for this long, in which a
/// spot machine should have come up. Where none is to be had it mustn't wait for ever.
const KEPT_S: f64 = 90.0;
/// How long room made by stopping others is waited for before more is made.
const PREEMPT_S: f64 = 6.0;
/// A machine used no more than this may be emptied, if its replicas have run for a
/// while: starts that are stopped soon after don't count for anyone.
const CLOSE_SHARE: f64 = 0.5;
const STEADY_S: f64 = 45.0;
/// Share of a fleet that one tick may empty, and one machine at least.
const MOVE_SHARE: f64 = 0.02;
/// Most tasks placed in one round, so that a swarm doesn't hold up everything else.
const ROUND_MAX: usize = 64;

/// Order in which queued jobs are served; lower comes first.
type Turn = (std::cmp::Reverse<Rank>, bool, u32, u64, JobId);

impl Core {
    /// Places queued tasks. Those that find no room are counted by the autoscaler.
    pub(crate) fn place(&mut self) {
        let (now, blind) = (self.now, self.blind());
        let Some(h) = &mut self.holder else {
            return;
        };
        // Pauses of failing jobs, of machines and of batch work end without any event.
        let due = now.since(h.place_at) > PLACE_EVERY_S && !h.waiting.is_empty();
        if !(h.place_wanted || due) || blind || self.catalog.is_empty() || now < h.place_at {
            return;
        }
        h.place_at = Time(now.0 + PLACE_GAP_MS);
        h.place_wanted = false;
        let mut turns: Vec<Turn> = Vec::new();
        h.waiting
            .retain(|id| h.jobs.get(id).is_some_and(|l| l.queued() > 0));
        for id in &h.waiting {
            let live = &h.jobs[id];
            if now >= live.not_before && !live.finishing {
                let over = !within_guarantee(h, &self.settings, live);
                // Jobs with few tasks running go first: neither a swarm nor a large
                // array keeps the others waiting.
                let running = live.placed.len() as u32 / 8;
                let rank = std::cmp::Reverse(live.rec.rank);
                turns.push((rank, over, running, live.arrival, id.clone()));
            }
        }
        if turns.is_empty() {
            return;
        }
        turns.sort();
        let mut round = Round {
            images: ready_images(h, &self.catalog, &self.settings, now),
            full: full_pools(h, &self.catalog, self.settings.tuning.headroom, now),
            left: ROUND_MAX,
            failed: Vec::new(),
            unyielding: Vec::new(),
        };
        let mut unplaced = Vec::new();
        for (_, _, _, _, id) in turns {
            if self.place_job(&id, &mut round) {
                unplaced.push(id);
            }
        }
        if round.left == 0
            && let Some(h) = &mut self.holder
        {
            h.place_wanted = true;
        }
        for id in unplaced {
            self.make_room(&id, &mut round);
        }
    }

    /// Places a job's queued tasks; true if one found no machine.
    fn place_job(&mut self, id: &JobId, round: &mut Round) -> bool {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return false;
        };
        let Some(rec) = h.jobs.get(id).map(|l| l.rec.clone()) else {
            return false;
        };
        if round.failed.iter().any(|f| same_demand(f, &rec)) {
            return true;
        }
        let context = PlacementContext {
            settings: &self.settings,
            catalog: &self.catalog,
            expected: expected_s(&self.settings, &rec.class),
            now,
        };
        let mut offers = None;
        while round.left > 0 {
            if !within_limit(h, &self.settings, &rec) {
                return false;
            }
            let Some(live) = h.jobs.get_mut(id) else {
                return false;
            };
            let Some(index) = live.next_queued() else {
                return false;
            };
            let live = &h.jobs[id];
            // All tasks of a flawed job at once took room on every machine at each try.
            if h.failures.on_probation(id) && live.trying() {
                return false;
            }
            let offers = offers.get_or_insert_with(|| {
                let (offers, looked) = context.offers(h, id, round);
                self.looked += looked;
                offers
            });
            let Some(machine) = best_offer(h, live, offers) else {
                if !rec.one_zone && !rec.scatter {
                    round.failed.push(rec);
                }
                return true;
            };
            round.left -= 1;
            self.placed += 1;
            let attempt = h.next_attempt();
            let Some(m) = h.machines.get(&machine) else {
                return true;
            };
            debug!(
                "task {id}/{index} goes to {machine}, its image takes {:.1} s",
                fetch_s(&rec, &self.catalog[m.class], m)
            );
            let placement = Placement {
                machine: machine.clone(),
                zone: m.zone.clone(),
                attempt,
                phase: Phase::Committing,
                since: now,
                halted: None,
                sends: 0,
                runs_well: false,
            };
            h.put(id, index, placement);
            let chunk = index / rec.chunk.max(1);
            let urgency = WriteUrgency::placements(rec.rank);
            h.to_flush.insert((urgency, id.clone(), chunk));
            // Only this machine costs something else now.
            let live = &h.jobs[id];
            let cost = h
                .machines
                .get(&machine)
                .and_then(|m| context.cost_of(&h.failures, live, (&machine, m), round));
            offers.extend(cost.map(|cost| Offer { cost, machine }));
        }
        false
    }

    /// Stops tasks of lower rank where that makes room for a job that found none.
    fn make_room(&mut self, id: &JobId, round: &mut Round) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        let Some(live) = h.jobs.get(id) else {
            return;
        };
        // Work of the same rank is stopped only where renting didn't help: it may lose
        // all it has done.
        let boot_s = self.catalog.iter().map(|c| c.ready_s).fold(0.0, f64::max);
        let waited = now.since(live.since) > boot_s;
        let sure = waited && within_guarantee(h, &self.settings, live);
        if (live.rec.rank <= Rank::Normal && !sure) || now < live.preempting {
            return;
        }
        let same = |f: &Rc<JobRec>| same_demand(f, &live.rec) && f.rank >= live.rec.rank;
        if !sure && round.unyielding.iter().any(same) {
            return;
        }
        // Teams beyond their guarantee make room for one that lacks its own.
        let over = if sure {
            teams_over(h, &self.settings, &live.rec.team)
        } else {
            Vec::new()
        };
        let most = live.queued().min(8) as usize;
        let (victims, looked) = cheapest_victims(h, &self.catalog, live, now, most, &over);
        self.looked += looked;
        if victims.is_empty() && !sure && !live.rec.one_zone && !live.rec.scatter {
            round.unyielding.push(live.rec.clone());
        }
        // Room of tasks that were never sent is free at once.
        let pause = if victims.iter().all(|task| h.unsent(task)) {
            PLACE_EVERY_S
        } else {
            PREEMPT_S
        };
        if let Some(live) = h.jobs.get_mut(id) {
            live.preempting = now.after(pause);
        }
        for task in victims {
            log::info!("task {task} makes room for {id}");
            self.halt(&task);
        }
    }
}

/// Moves the replicas of a little used machine to fuller ones that have their images,
/// so that it empties and goes back: what a fleet that shrinks would otherwise never do.
impl Core {
    pub(crate) fn consolidate(&mut self) {
        let now = self.now;
        if self.blind() {
            return;
        }
        let headroom = self.settings.tuning.headroom;
        let Some(h) = &mut self.holder else {
            return;
        };
        if now < h.pack_at {
            return;
        }
        h.pack_at = now.after(self.settings.tuning.tick_s);
        // While somebody waits for room, none is given up.
        let pressed = |id: &JobId| h.jobs.get(id).is_some_and(|l| l.rec.rank > Rank::Normal);
        let open = !h.cut && !h.waiting.iter().any(pressed);
        let spare = if open {
            spare_machines(h, &self.catalog, headroom, now)
        } else {
            BTreeSet::new()
        };
        let changed = |(id, m): &(&MachineId, &Machine)| m.closing != spare.contains(*id);
        let changed = h.machines.iter().filter(changed);
        let changed: Vec<MachineId> = changed.map(|(id, _)| id.clone()).collect();
        for id in changed {
            h.machines.edit(&id, |m| m.closing = !m.closing);
        }
        // One a tick never caught up with a fleet of hundreds that shrinks.
        let most = (h.machines.len() as f64 * MOVE_SHARE).ceil() as usize;
        let (mut taken, mut moves) = (BTreeMap::new(), Vec::new());
        let mut standing = 0;
        for id in &spare {
            let Some(m) = h.machines.get(id).filter(|_| moves.len() < most) else {
                break;
            };
            // What shall never be down is moved one machine at a time.
            let critical = m.tasks.values().any(|s| s.rec.rank == Rank::Critical);
            if critical && standing > 0 {
                continue;
            }
            let tasks: Vec<TaskId> = m.tasks.keys().cloned().collect();
            let now_taken =
                fits_elsewhere(h, &self.catalog, &self.settings, now, id, &tasks, &taken);
            if let Some(now_taken) = now_taken.filter(|_| !tasks.is_empty()) {
                taken = now_taken;
                standing += usize::from(critical);
                moves.push((id.clone(), tasks));
            }
        }
        for (machine, tasks) in moves {
            log::info!(
                "machine {machine} is emptied: its {} tasks fit elsewhere",
                tasks.len()
            );
            for task in tasks {
                self.halt(&task);
            }
        }
    }
}

/// The least used machines of each pool whose work would fit into the room that is
/// free on the others, with the room for urgent starts kept. They get nothing new
/// while there is another place for it; their batch tasks end by themselves.
fn spare_machines(
    h: &Holder,
    catalog: &[ClassInfo],
    headroom: f64,
    now: Time,
) -> BTreeSet<MachineId> {
    let mut pools: BTreeMap<(usize, bool), Vec<(f64, &MachineId)>> = BTreeMap::new();
    for (id, m) in h.machines.iter() {
        let here = m.up.is_some() && m.doomed.is_none() && m.notice.is_none();
        if let Some(class) = catalog.get(m.class).filter(|_| here && !m.tasks.is_empty()) {
            let share = m.used.share_of(class.room);
            pools
                .entry((m.class, m.spot))
                .or_default()
                .push((share, id));
        }
    }
    let mut spare = BTreeSet::new();
    for (pool, mut machines) in pools {
        machines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let keep = h.keep(pool, catalog, headroom, now);
        let mut free: f64 = machines.iter().map(|(share, _)| 1.0 - share).sum();
        for (share, id) in machines {
            // Its own room goes, and its work needs room on the others.
            free -= 1.0;
            if share > CLOSE_SHARE || free < keep {
                break;
            }
            spare.insert(id.clone());
        }
    }
    spare
}

/// Room that moves of this tick take on other machines.
type Taken = BTreeMap<MachineId, Room>;

/// Whether all of a machine's tasks would fit elsewhere, beside what other moves take
/// there; what is taken with them.
fn fits_elsewhere(
    h: &Holder,
    catalog: &[ClassInfo],
    settings: &Settings,
    now: Time,
    from: &MachineId,
    tasks: &[TaskId],
    taken: &Taken,
) -> Option<Taken> {
    let mut taken = taken.clone();
    for task in tasks {
        let live = h.jobs.get(&task.job)?;
        let p = live.placed.get(&task.index)?;
        let steady = p.phase == Phase::Running && now.since(p.since) > STEADY_S;
        if live.rec.form != Form::Service || p.halted.is_some() || !steady {
            return None;
        }
        let mut best: Option<(f64, &MachineId)> = None;
        let fits = |class: usize, spot: bool, _: &Rc<str>| suits(&live.rec, catalog, class, spot);
        for (id, m) in h.machines.roomy(live.rec.need, fits) {
            let mut free = m.free();
            free.add(taken.get(id).copied().unwrap_or_default(), -1.0);
            // In its own zone it takes its own place.
            let zoned = m.zone == p.zone || zone_allowed(live, &m.zone);
            let good = id != from
                && !m.tasks.is_empty()
                && !m.closing
                && free.holds(live.rec.need)
                && m.has_image(&live.rec.image)
                && usable(m, settings, now)
                && h.failures.rested(id, now)
                && zoned;
            let left = free.share_of(m.room);
            if good && best.is_none_or(|(least, _)| left < least) {
                best = Some((left, id));
            }
        }
        let (_, id) = best?;
        taken.entry(id.clone()).or_default().add(live.rec.need, 1.0);
    }
    Some(taken)
}

/// The types whose ordinary machines have no more room than is kept for urgent starts.
/// Work that may use spot machines waits for one rather than take that room.
fn full_pools(h: &Holder, catalog: &[ClassInfo], headroom: f64, now: Time) -> Vec<usize> {
    let full = |c: &usize| h.machines.free(*c, false) < h.keep((*c, false), catalog, headroom, now);
    (0..catalog.len()).filter(full).collect()
}

struct Round {
    images: ImageWorths,
    full: Vec<usize>,
    left: usize,
    /// Demands that found no machine: others like them won't either.
    failed: Vec<Rc<JobRec>>,
    /// Demands for which nothing of lower rank could be stopped.
    unyielding: Vec<Rc<JobRec>>,
}

/// A machine for a job's next task. The cheapest one is the greatest, for the heap.
struct Offer {
    cost: f64,
    machine: MachineId,
}

impl Ord for Offer {
    fn cmp(&self, other: &Self) -> Ordering {
        let cost = other.cost.total_cmp(&self.cost);
        cost.then_with(|| other.machine.cmp(&self.machine))
    }
}

impl PartialOrd for Offer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Offer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Offer {}

/// What placing one job's tasks goes by.
struct PlacementContext<'a> {
    settings: &'a Settings,
    catalog: &'a [ClassInfo],
    /// Within which time they are expected to start.
    expected: Option<f64>,
    now: Time,
}

impl PlacementContext<'_> {
    /// What every machine with room for the job's next task costs, and how many were
    /// looked at.
    fn offers(&self, h: &Holder, job: &JobId, round: &Round) -> (BinaryHeap<Offer>, u64) {
        let live = &h.jobs[job];
        let rec = &live.rec;
        let zones = self.catalog.iter().flat_map(|c| &c.zones);
        let zones: BTreeSet<&str> = zones.map(String::as_str).collect();
        let open: Vec<&str> = zones
            .into_iter()
            .filter(|z| zone_allowed(live, z))
            .collect();
        let fits = |class: usize, spot: bool, zone: &Rc<str>| {
            open.contains(&&**zone) && suits(rec, self.catalog, class, spot)
        };
        let mut looked = 0;
        let machines = h.machines.roomy(rec.need, fits);
        let offers = machines.filter_map(|(id, m)| {
            looked += 1;
            let mut cost = self.cost_of(&h.failures, live, (id, m), round)?;
            if h.failures.failed_on(job, id) {
                cost += FAILED_COST;
            }
            let machine = id.clone();
            Some(Offer { cost, machine })
        });
        (offers.collect(), looked)
    }

    /// What the job's next task costs on a machine that suits it; `None` if it can't go
    /// there.
    fn cost_of(
        &self,
        failures: &FailureLog,
        live: &JobState,
        (id, m): (&MachineId, &Machine),
        round: &Round,
    ) -> Option<f64> {
        let class = self.catalog.get(m.class)?;
        let usable = usable(m, self.settings, self.now) && failures.rested(id, self.now);
        if !m.free().holds(live.rec.need) || !usable {
            return None;
        }
        let young = self.now.since(live.since) < KEPT_S;
        let loses = live.rec.checkpoint_s <= 0.0;
        let waits = young && loses && live.rec.spot && live.rec.rank <= Rank::Normal;
        if waits && !m.spot && round.full.contains(&m.class) {
            return None;
        }
        Some(cost(self, live, class, m) + displacement_cost(&round.images, live, m))
    }
}

/// Takes the cheapest offer whose zone may still have a task of the job.
fn best_offer(h: &Holder, live: &JobState, offers: &mut BinaryHeap<Offer>) -> Option<MachineId> {
    loop {
        let machine = offers.pop()?.machine;
        let zone = h.machines.get(&machine).map(|m| &m.zone);
        if zone.is_some_and(|zone| zone_allowed(live, zone)) {
            return Some(machine);
        }
    }
}

fn same_demand(a: &JobRec, b: &JobRec) -> bool {
    a.need == b.need
        && a.spot == b.spot
        && a.zone == b.zone
        && a.types == b.types
        && !b.one_zone
        && !b.scatter
}

/// Whether one more task stays within its team's limit. Every task that isn't proven
/// gone counts.
pub(crate) fn within_limit(h: &Holder, settings: &Settings, rec: &JobRec) -> bool {
    let teams = &settings.platform.facts.teams;
    let Some(team) = teams.iter().find(|t| t.name == rec.team) else {
        return false;
    };
    let used = h.teams.get(&rec.team).copied().unwrap_or_default();
    let (cpus, gpus) = h.allowance(team);
    let fits = |used: f64, need: f64, max: f64| used + need <= max + 1e-6;
    fits(used.cpus, rec.need.cpus, cpus) && fits(used.gpus, rec.need.gpus, gpus)
}

impl Holder {
    /// How many CPUs and GPUs a team may use in this block.
    pub(crate) fn allowance(&self, team: &crate::settings::Team) -> (f64, f64) {
        let given = self.allowances.as_ref().map(|a| a.get(&team.name).copied());
        let (cpus, gpus) = match given {
            None => (team.cpus_max, team.gpus_max),
            Some(given) => given.unwrap_or((0.0, 0.0)),
        };
        let limit = |max: f64, here: f64| if max > 0.0 { here } else { f64::MAX };
        (limit(team.cpus_max, cpus), limit(team.gpus_max, gpus))
    }
}

/// Whether a task fits into what its team is guaranteed.
fn within_guarantee(h: &Holder, settings: &Settings, live: &JobState) -> bool {
    let teams = &settings.platform.facts.teams;
    let Some(team) = teams.iter().find(|t| t.name == live.rec.team) else {
        return false;
    };
    if team.gpus <= 0.0 && team.cpus <= 0.0 {
        return false;
    }
    let used = h.teams.get(&live.rec.team).copied().unwrap_or_default();
    let need = live.rec.need;
    let fits = |used: f64, need: f64, sure: f64| sure <= 0.0 || used + need <= sure + 1e-6;
    fits(used.cpus, need.cpus, team.cpus) && fits(used.gpus, need.gpus, team.gpus)
}

/// The other teams that use more than they are guaranteed, while they do.
fn teams_over<'a>(h: &Holder, settings: &'a Settings, team: &str) -> Vec<&'a str> {
    let teams = settings.platform.facts.teams.iter();
    let over = teams.filter(|t| {
        let used = h.teams.get(&t.name).copied().unwrap_or_default();
        let guaranteed = t.cpus > 0.0 || t.gpus > 0.0;
        let above = |used: f64, sure: f64| sure > 0.0 && used > sure + 1e-6;
        t.name != team && (!guaranteed || above(used.cpus, t.cpus) || above(used.gpus, t.gpus))
    });
    over.map(|t| t.name.as_str()).collect()
}

/// Whether a job's tasks may run on a type and kind of machine.
fn suits(rec: &JobRec, catalog: &[ClassInfo], class: usize, spot: bool) -> bool {
    (rec.spot || !spot) && catalog.get(class).is_some_and(|c| rec.allows(&c.name))
}

/// Whether a zone may take this job's next task.
pub(crate) fn zone_allowed(live: &JobState, zone: &str) -> bool {
    let rec = &live.rec;
    if rec.zone.as_ref().is_some_and(|z| z != zone) {
        return false;
    }
    // Tasks in doubt count: they may be there.
    if rec.one_zone && live.placed.values().any(|p| *p.zone != *zone) {
        return false;
    }
    if rec.scatter {
        let most = rec.count.div_ceil(2) as usize;
        let there = live.placed.values().filter(|p| *p.zone == *zone).count();
        if there >= most {
            return false;
        }
    }
    true
}

/// Whether a machine takes tasks at all now.
fn usable(m: &Machine, settings: &Settings, now: Time) -> bool {
    let quiet = settings.platform.facts.workers.report_s * FRESH_REPORTS;
    m.up.is_some()
        && m.doomed.is_none()
        && m.notice.is_none()
        && m.session > 0
        && (m.held.is_some() || now.since(m.seen) < quiet)
        && now >= m.full_until
}

fn cost(context: &PlacementContext, live: &JobState, class: &ClassInfo, m: &Machine) -> f64 {
    let rec = &live.rec;
    let free_share = 1.0 - m.used.share_of(class.room);
    // A start goes with the answer to a report: at once, where one waits for it.
    let report_s = context.settings.platform.facts.workers.report_s;
    let answer_s = match m.held {
        Some(_) => 0.0,
        None => (report_s - context.now.since(m.seen)).max(0.0),
    };
    let delay = delay_cost(context.expected, class, answer_s + fetch_s(rec, class, m));
    let mut cost = delay + FREE_COST * free_share;
    if rec.form == Form::Service {
        // One machine's loss shall cost a job as little as can be.
        let seats = m.tasks.values();
        let same = seats.filter(|s| Rc::ptr_eq(&s.rec, rec)).count();
        // Of a large one it costs little anyway: weighed in full, its replicas went back to
        // the machines that were being emptied of them, again and again.
        let part = (SPREAD_SIZE / f64::from(rec.count.max(1))).min(1.0);
        cost += SPREAD_COST * part * same as f64;
    }
    if m.spot {
        cost -= SPOT_GAIN;
    }
    if m.closing {
        cost += CLOSING_COST;
    }
    cost
}

/// Within which time the tasks of a class of jobs are expected to start, if that is said.
fn expected_s(settings: &Settings, of: &str) -> Option<f64> {
    let wanted = settings.platform.facts.objectives.iter();
    let wanted = wanted.filter(|o| o.kind == "wait" && o.class.as_deref() == Some(of));
    wanted.filter_map(|o| o.within_s).reduce(f64::min)
}

/// What a start's delay costs: little while it is small against what is expected of the
/// job's class, much once it comes near. Classes of which nothing is expected are
/// measured by the time a machine takes to boot.
fn delay_cost(expected: Option<f64>, class: &ClassInfo, delay_s: f64) -> f64 {
    let within = expected.unwrap_or(class.ready_s);
    DELAY_COST * (delay_s / within.max(1.0)).powi(2)
}

/// An image's worth on a machine that has it and has room for one of its tasks: what its
/// next start would lose elsewhere, the less the more such machines there are.
type ImageWorths = HashMap<Image, (Room, f64)>;

fn ready_images(h: &Holder, catalog: &[ClassInfo], settings: &Settings, now: Time) -> ImageWorths {
    let most = h.images.values().map(|w| w.asked(now)).fold(1e-9, f64::max);
    let mut ready: BTreeMap<&Image, u32> = BTreeMap::new();
    let needs = h.images.values().map(|w| w.need);
    let least = needs.reduce(Room::least).unwrap_or_default();
    for (id, m) in h.machines.roomy(least, |_, spot, _| !spot) {
        if !usable(m, settings, now) || !h.failures.rested(id, now) {
            continue;
        }
        let free = m.free();
        for (image, _) in &m.images {
            if h.images.get(image).is_some_and(|w| free.holds(w.need)) {
                *ready.entry(image).or_default() += 1;
            }
        }
    }
    let fetch_gb_s = catalog
        .iter()
        .map(|c| c.fetch_gb_s)
        .fold(f64::MAX, f64::min);
    let worth = |(image, n): (&Image, u32)| {
        let w = h.images.get(image)?;
        let cost = delay_cost(
            expected_s(settings, &w.class),
            catalog.first()?,
            w.gb / fetch_gb_s,
        );
        let worth = cost * w.asked(now) / most / f64::from(n);
        Some((image.clone(), (w.need, worth)))
    };
    ready.into_iter().filter_map(worth).collect()
}

/// What is lost when a task takes the room that a machine has for services whose images
/// it holds.
fn displacement_cost(worths: &ImageWorths, live: &JobState, m: &Machine) -> f64 {
    if m.spot {
        return 0.0;
    }
    let before = m.free();
    let mut after = before;
    after.add(live.rec.need, -1.0);
    let images = m
        .images
        .iter()
        .filter(|(image, _)| *image != live.rec.image);
    let images = images.filter_map(|(image, _)| worths.get(image));
    let lost = images.filter(|(need, _)| before.holds(*need) && !after.holds(*need));
    lost.map(|(_, worth)| worth).sum()
}

/// Seconds until the image would be there. Images fetched at once share the rate.
fn fetch_s(rec: &JobRec, class: &ClassInfo, m: &Machine) -> f64 {
    if m.has_image(&rec.image) {
        return 0.0;
    }
    let whole = rec.image_gb / class.fetch_gb_s;
    let mut others: Vec<(&Image, f64)> = Vec::new();
    for seat in m.tasks.values().filter(|s| !s.settled) {
        let image = &seat.rec.image;
        if *image == rec.image {
            return whole / 2.0;
        }
        if !m.has_image(image) && others.iter().all(|(i, _)| *i != image) {
            others.push((image, seat.rec.image_gb / class.fetch_gb_s));
        }
    }
    whole + others.iter().map(|(_, s)| s.min(whole)).sum::<f64>()
}

/// The tasks to stop for up to `most` tasks of a job: the least work of lower rank, one
/// machine for each; and how many machines were looked at.
fn cheapest_victims(
    h: &Holder,
    catalog: &[ClassInfo],
    live: &JobState,
    now: Time,
    most: usize,
    over: &[&str],
) -> (Vec<TaskId>, u64) {
    let rank = live.rec.rank;
    let fits = |class: usize, spot: bool, lowest: Rank| {
        let yields = lowest < rank || (lowest == rank && !over.is_empty());
        yields && suits(&live.rec, catalog, class, spot)
    };
    let (mut found, mut looked) = (Vec::new(), 0);
    for (name, m) in h.machines.ranked(fits) {
        looked += 1;
        if !zone_allowed(live, &m.zone) || !h.failures.rested(name, now) {
            continue;
        }
        if let Some((loss, tasks)) = victims_on(h, live, m, over) {
            let cost = loss + fetch_s(&live.rec, &catalog[m.class], m);
            found.push((cost, name, tasks));
        }
    }
    found.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    let tasks = found.into_iter().take(most).flat_map(|(_, _, tasks)| tasks);
    (tasks.collect(), looked)
}

/// Which tasks to stop on one machine, and what that throws away.
fn victims_on(
    h: &Holder,
    live: &JobState,
    m: &Machine,
    over: &[&str],
) -> Option<(f64, Vec<TaskId>)> {
    let mut lower: Vec<(f64, &TaskId, Room)> = Vec::new();
    for (t, seat) in &m.tasks {
        let rec = &seat.rec;
        let below = rec.rank < live.rec.rank;
        let owed = rec.rank == live.rec.rank && over.contains(&rec.team.as_str());
        if !below && !owed {
            continue;
        }
        let p = h.jobs.get(&t.job)?.placed.get(&t.index)?;
        if p.halted.is_none() && h.unsent(t) {
            lower.push((0.0, t, rec.need));
            continue;
        }
        let started = matches!(p.phase, Phase::Fetching | Phase::Running);
        if p.halted.is_none() && started {
            let ran = h.heard.since(p.since);
            let saved = rec.checkpoint_s > 0.0;
            let loss = if saved { 3.0 } else { 5.0 + ran * 0.2 };
            lower.push((loss, t, rec.need));
        }
    }
    lower.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut free, mut loss, mut out) = (m.free(), 0.0, Vec::new());
    for (cost, task, need) in lower {
        if free.holds(live.rec.need) {
            break;
        }
        free.add(need, 1.0);
        loss += cost;
        out.push(task.clone());
    }
    (free.holds(live.rec.need) && !out.is_empty()).then_some((loss, out))
}
