//! What a start costs on each machine: delay, spread, and what other starts would lose.

use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{suits, zone_allowed};
use crate::controller::scheduling::{SchedulingCycle, usable};
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::JobState;
use crate::controller::store::records::{JobKind, JobRecord, PriorityClass, Resources};
use crate::ids::{Image, JobId, MachineId, Time};
use crate::settings::Settings;
use crate::wire::MachineType;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;

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

/// A machine for a job's next task. The cheapest one is the greatest, for the heap.
pub(crate) struct Candidate {
    pub(crate) cost: f64,
    pub(crate) machine: MachineId,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let cost = other.cost.total_cmp(&self.cost);
        cost.then_with(|| other.machine.cmp(&self.machine))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Candidate {}

/// What placing one job's tasks goes by.
pub(crate) struct PlacementContext<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) catalog: &'a [MachineType],
    /// Within which time they are expected to start.
    pub(crate) expected: Option<f64>,
    pub(crate) now: Time,
}

impl PlacementContext<'_> {
    /// What every machine with room for the job's next task costs, and how many were
    /// looked at.
    pub(crate) fn candidates(
        &self,
        shard: &ShardOwner,
        job: &JobId,
        cycle: &SchedulingCycle,
    ) -> (BinaryHeap<Candidate>, u64) {
        let job_state = &shard.jobs[job];
        let record = &job_state.record;
        let zones = self.catalog.iter().flat_map(|c| &c.zones);
        let zones: BTreeSet<&str> = zones.map(String::as_str).collect();
        let open: Vec<&str> = zones
            .into_iter()
            .filter(|z| zone_allowed(job_state, z))
            .collect();
        let fits = |pool: Pool, zone: &Rc<str>| {
            open.contains(&&**zone) && suits(record, self.catalog, pool)
        };
        let mut machines_scanned = 0;
        let machines = shard.machines.roomy(record.need, fits);
        let candidates = machines.filter_map(|(id, m)| {
            machines_scanned += 1;
            let cost = self.cost_of(shard, (job, job_state), (id, m), cycle)?;
            let machine = id.clone();
            Some(Candidate { cost, machine })
        });
        (candidates.collect(), machines_scanned)
    }

    /// What the job's next task costs on a machine that suits it; `None` if it can't go
    /// there.
    pub(crate) fn cost_of(
        &self,
        shard: &ShardOwner,
        (job, job_state): (&JobId, &JobState),
        (id, machine): (&MachineId, &Machine),
        cycle: &SchedulingCycle,
    ) -> Option<f64> {
        let pool = machine.pool()?;
        let class = pool.type_in(self.catalog)?;
        let usable =
            usable(machine, self.settings, self.now) && shard.failures.may_run_tasks(id, self.now);
        if !machine.free().holds(job_state.record.need) || !usable {
            return None;
        }
        let young = self.now.since(job_state.since) < KEPT_S;
        let loses = job_state.record.checkpoint_s <= 0.0;
        let waits = young
            && loses
            && job_state.record.spot
            && job_state.record.priority_class <= PriorityClass::Normal;
        if waits && cycle.full.contains(&pool) {
            return None;
        }
        let mut cost = cost(self, job_state, class, machine)
            + displacement_cost(&cycle.images, job_state, machine);
        if shard.failures.failed_on(job, id) {
            cost += FAILED_COST;
        }
        Some(cost)
    }
}

/// Takes the cheapest offer whose zone may still have a task of the job.
pub(crate) fn best_candidate(
    shard: &ShardOwner,
    job_state: &JobState,
    candidates: &mut BinaryHeap<Candidate>,
) -> Option<MachineId> {
    loop {
        let machine = candidates.pop()?.machine;
        let zone = shard.machines.get(&machine).map(|m| &m.zone);
        if zone.is_some_and(|zone| zone_allowed(job_state, zone)) {
            return Some(machine);
        }
    }
}

fn cost(
    context: &PlacementContext,
    job_state: &JobState,
    class: &MachineType,
    machine: &Machine,
) -> f64 {
    let record = &job_state.record;
    let free_share = 1.0 - machine.used.share_of(class.resources);
    // A start goes with the answer to a heartbeat: at once, where one waits for it.
    let report_s = context.settings.platform.facts.workers.report_s;
    let answer_s = match machine.long_poll {
        Some(_) => 0.0,
        None => (report_s - context.now.since(machine.last_heartbeat)).max(0.0),
    };
    let delay = delay_cost(
        context.expected,
        class,
        answer_s + fetch_s(record, class, machine),
    );
    let mut cost = delay + FREE_COST * free_share;
    if record.kind == JobKind::Service {
        // One machine's loss shall cost a job as little as can be.
        let seats = machine.tasks.values();
        let same = seats.filter(|s| Rc::ptr_eq(&s.record, record)).count();
        // Of a large one it costs little anyway: weighed in full, its replicas went back to
        // the machines that were being emptied of them, again and again.
        let part = (SPREAD_SIZE / f64::from(record.count.max(1))).min(1.0);
        cost += SPREAD_COST * part * same as f64;
    }
    if machine.spot {
        cost -= SPOT_GAIN;
    }
    if machine.cordoned {
        cost += CLOSING_COST;
    }
    cost
}

/// Within which time the tasks of a class of jobs are expected to start, if that is said.
pub(crate) fn expected_s(settings: &Settings, of: &str) -> Option<f64> {
    let wanted = settings.platform.facts.objectives.iter();
    let wanted = wanted.filter(|o| o.kind == "wait" && o.class.as_deref() == Some(of));
    wanted.filter_map(|o| o.within_s).reduce(f64::min)
}

/// What a start's delay costs: little while it is small against what is expected of the
/// job's class, much once it comes near. Classes of which nothing is expected are
/// measured by the time a machine takes to boot.
fn delay_cost(expected: Option<f64>, class: &MachineType, delay_s: f64) -> f64 {
    let within = expected.unwrap_or(class.ready_s);
    DELAY_COST * (delay_s / within.max(1.0)).powi(2)
}

/// An image's worth on a machine that has it and has room for one of its tasks: what its
/// next start would lose elsewhere, the less the more such machines there are.
pub(crate) type ImageWorths = HashMap<Image, (Resources, f64)>;

pub(crate) fn ready_images(
    shard: &ShardOwner,
    catalog: &[MachineType],
    settings: &Settings,
    now: Time,
) -> ImageWorths {
    let most = shard
        .images
        .values()
        .map(|w| w.recent_uses(now))
        .fold(1e-9, f64::max);
    let mut ready: BTreeMap<&Image, u32> = BTreeMap::new();
    let needs = shard.images.values().map(|w| w.need);
    let least = needs.reduce(Resources::least).unwrap_or_default();
    for (id, machine) in shard.machines.roomy(least, |pool, _| !pool.is_spot()) {
        if !usable(machine, settings, now) || !shard.failures.may_run_tasks(id, now) {
            continue;
        }
        let free = machine.free();
        for (image, _) in &machine.images {
            if shard.images.get(image).is_some_and(|w| free.holds(w.need)) {
                *ready.entry(image).or_default() += 1;
            }
        }
    }
    let fetch_gb_s = catalog
        .iter()
        .map(|c| c.fetch_gb_s)
        .fold(f64::MAX, f64::min);
    let worth = |(image, n): (&Image, u32)| {
        let w = shard.images.get(image)?;
        let cost = delay_cost(
            expected_s(settings, &w.class),
            catalog.first()?,
            w.gb / fetch_gb_s,
        );
        let worth = cost * w.recent_uses(now) / most / f64::from(n);
        Some((image.clone(), (w.need, worth)))
    };
    ready.into_iter().filter_map(worth).collect()
}

/// What is lost when a task takes the room that a machine has for services whose images
/// it holds.
fn displacement_cost(worths: &ImageWorths, job_state: &JobState, machine: &Machine) -> f64 {
    if machine.spot {
        return 0.0;
    }
    let before = machine.free();
    let mut after = before;
    after.add(job_state.record.need, -1.0);
    let images = machine
        .images
        .iter()
        .filter(|(image, _)| *image != job_state.record.image);
    let images = images.filter_map(|(image, _)| worths.get(image));
    let lost = images.filter(|(need, _)| before.holds(*need) && !after.holds(*need));
    lost.map(|(_, worth)| worth).sum()
}

/// Seconds until the image would be there. Images fetched at once share the rate.
pub(crate) fn fetch_s(record: &JobRecord, class: &MachineType, machine: &Machine) -> f64 {
    if machine.has_image(&record.image) {
        return 0.0;
    }
    let whole = record.image_gb / class.fetch_gb_s;
    let mut others: Vec<(&Image, f64)> = Vec::new();
    for bind in machine.tasks.values().filter(|s| !s.image_cached) {
        let image = &bind.record.image;
        if *image == record.image {
            return whole / 2.0;
        }
        if !machine.has_image(image) && others.iter().all(|(i, _)| *i != image) {
            others.push((image, bind.record.image_gb / class.fetch_gb_s));
        }
    }
    whole + others.iter().map(|(_, s)| s.min(whole)).sum::<f64>()
}
