//! Scores: what a start costs on each machine, by its delay, the spread of its job, and what other
//! starts would lose by it.

use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{suits, usable, zone_allowed};
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::JobState;
use crate::controller::store::records::{JobKind, JobRecord, PriorityClass, Resources};
use crate::ids::{Image, JobId, MachineId, Time};
use crate::settings::Settings;
use crate::wire::MachineType;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;

/// Cost of a start that is as late as its class allows.
const DELAY_COST: f64 = 12.0;
/// Cost of each task of the same service on the machine.
const SPREAD_COST: f64 = 4.0;
/// Services of up to so many tasks are spread with the full weight.
const SPREAD_TASKS_FULL: f64 = 8.0;
/// Cost of a machine that is wholly free.
const FREE_COST: f64 = 3.0;
/// What a spot machine costs less.
const SPOT_GAIN: f64 = 8.0;
/// Cost of a cordoned machine.
const CORDONED_COST: f64 = 10.0;
/// A job that failed on a machine is tried elsewhere: that shows which of them is at fault.
const FAILED_COST: f64 = 30.0;
/// Batch work doesn't use the room kept for urgent starts for this long, in which a
/// spot machine should have become ready. Where none is to be had it mustn't wait for ever.
const SPOT_WAIT_S: f64 = 90.0;
/// Least of the counts of use by which images are weighed: no division by zero.
const USES_MIN: f64 = 1e-9;

/// A machine for a job's next task. The cheapest one orders as the greatest, for the heap.
pub(crate) struct Candidate {
    /// What the start costs there.
    pub(crate) cost: f64,
    /// The machine.
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

/// What the placement of one job's tasks depends on, beside the shard.
pub(crate) struct PlacementContext<'a> {
    /// The settings.
    pub(crate) settings: &'a Settings,
    /// The machine types.
    pub(crate) catalog: &'a [MachineType],
    /// Within which time the tasks are expected to start.
    pub(crate) expected_s: Option<f64>,
    /// The time.
    pub(crate) now: Time,
}

/// What scores depend on that is computed once for a scheduling cycle.
pub(crate) struct ScoreInputs {
    /// The worth of images.
    images: ImageWorths,
    /// Pools with no more room than is kept for urgent starts.
    full_pools: Vec<Pool>,
}

impl ScoreInputs {
    /// Computes them from the shard's state at the cycle's begin.
    pub(crate) fn new(
        shard: &ShardOwner,
        catalog: &[MachineType],
        settings: &Settings,
        now: Time,
    ) -> Self {
        Self {
            images: image_worths(shard, catalog, settings, now),
            full_pools: full_pools(shard, catalog, settings.tuning.headroom, now),
        }
    }
}

/// The machines for a job's next task.
pub(crate) struct Candidates {
    /// The machines, the cheapest on top.
    pub(crate) heap: BinaryHeap<Candidate>,
    /// How many machines were looked at.
    pub(crate) machines_scanned: u64,
}

impl PlacementContext<'_> {
    /// What each machine with room for the job's next task costs.
    pub(crate) fn candidates(
        &self,
        shard: &ShardOwner,
        job: &JobId,
        scores: &ScoreInputs,
    ) -> Candidates {
        let job_state = &shard.jobs[job];
        let record = &job_state.record;
        let zones = self.catalog.iter().flat_map(|found| &found.zones);
        let zones: BTreeSet<&str> = zones.map(String::as_str).collect();
        let allowed_zones = zones.into_iter();
        let allowed_zones: Vec<&str> = allowed_zones
            .filter(|zone| zone_allowed(job_state, zone))
            .collect();
        let fits = |pool: Pool, zone: &Rc<str>| {
            allowed_zones.contains(&&**zone) && suits(record, self.catalog, pool)
        };
        let mut machines_scanned = 0;
        let machines = shard.machines.with_free_capacity(record.resources, fits);
        let candidates = machines.filter_map(|(id, machine)| {
            machines_scanned += 1;
            let cost = self.cost_of(shard, (job, job_state), (id, machine), scores)?;
            let machine = id.clone();
            Some(Candidate { cost, machine })
        });
        Candidates {
            heap: candidates.collect(),
            machines_scanned,
        }
    }

    /// What the job's next task costs on a machine that suits it; `None` if it can't go
    /// there.
    pub(crate) fn cost_of(
        &self,
        shard: &ShardOwner,
        (job, job_state): (&JobId, &JobState),
        (id, machine): (&MachineId, &Machine),
        scores: &ScoreInputs,
    ) -> Option<f64> {
        let pool = machine.pool()?;
        let machine_type = pool.type_in(self.catalog)?;
        let usable =
            usable(machine, self.settings, self.now) && shard.failures.may_run_tasks(id, self.now);
        if !machine.free().holds(job_state.record.resources) || !usable {
            return None;
        }
        if self.waits_for_spot(job_state) && scores.full_pools.contains(&pool) {
            return None;
        }
        let mut cost = self.start_cost(&job_state.record, machine_type, machine)
            + displacement_cost(&scores.images, job_state, machine);
        if shard.failures.failed_on(job, id) {
            cost += FAILED_COST;
        }
        Some(cost)
    }

    /// Whether a job waits for a spot machine rather than use the room kept for urgent starts.
    fn waits_for_spot(&self, job_state: &JobState) -> bool {
        let record = &job_state.record;
        self.now.since(job_state.waiting_since) < SPOT_WAIT_S
            && record.checkpoint_s <= 0.0
            && record.spot
            && record.priority_class <= PriorityClass::Normal
    }

    /// What a start costs by its delay, by what it leaves of the machine, and by the job's spread.
    fn start_cost(
        &self,
        record: &Rc<JobRecord>,
        machine_type: &MachineType,
        machine: &Machine,
    ) -> f64 {
        let free_share = 1.0 - machine.used.share_of(machine_type.resources);
        let delay_s = self.command_delay_s(machine) + fetch_s(record, machine_type, machine);
        let mut cost = delay_cost(self.expected_s, machine_type, delay_s) + FREE_COST * free_share;
        if record.kind == JobKind::Service {
            cost += spread_cost(record, machine);
        }
        if machine.spot {
            cost -= SPOT_GAIN;
        }
        if machine.is_cordoned {
            cost += CORDONED_COST;
        }
        cost
    }

    /// Seconds until a command reaches a machine: it goes with the response to a heartbeat, and at
    /// once where a long poll waits for it.
    fn command_delay_s(&self, machine: &Machine) -> f64 {
        let heartbeat_s = self.settings.platform.facts.workers.report_s;
        match machine.long_poll {
            Some(_) => 0.0,
            None => (heartbeat_s - self.now.since(machine.last_heartbeat)).max(0.0),
        }
    }
}

/// Takes the cheapest candidate whose zone may still have a task of the job.
pub(crate) fn best_candidate(
    shard: &ShardOwner,
    job_state: &JobState,
    candidates: &mut BinaryHeap<Candidate>,
) -> Option<MachineId> {
    loop {
        let id = candidates.pop()?.machine;
        let zone = shard.machines.get(&id).map(|machine| &machine.zone);
        if zone.is_some_and(|zone| zone_allowed(job_state, zone)) {
            return Some(id);
        }
    }
}

/// What a service's tasks on the same machine cost: the loss of one machine shall cost a service as
/// little as can be. A large one loses little anyway: with the full weight, its replicas went back
/// to the machines that were being emptied of them, again and again.
fn spread_cost(record: &Rc<JobRecord>, machine: &Machine) -> f64 {
    let bindings = machine.tasks.values();
    let same_job = bindings.filter(|binding| Rc::ptr_eq(&binding.record, record));
    let weight = (SPREAD_TASKS_FULL / f64::from(record.count.max(1))).min(1.0);
    SPREAD_COST * weight * same_job.count() as f64
}

/// Within which time the tasks of a class of jobs are expected to start, if the platform says so.
pub(crate) fn expected_s(settings: &Settings, class: &str) -> Option<f64> {
    let objectives = settings.platform.facts.objectives.iter();
    let waits = objectives
        .filter(|objective| objective.kind == "wait" && objective.class.as_deref() == Some(class));
    waits
        .filter_map(|objective| objective.within_s)
        .reduce(f64::min)
}

/// What a start's delay costs: little while it is small against what is expected of the
/// job's class, much once it comes near. Classes without an expectation are
/// measured by the time a machine takes to boot.
fn delay_cost(expected_s: Option<f64>, machine_type: &MachineType, delay_s: f64) -> f64 {
    let within_s = expected_s.unwrap_or(machine_type.ready_s);
    DELAY_COST * (delay_s / within_s.max(1.0)).powi(2)
}

/// An image's worth on a machine that has it and has room for one of its tasks.
struct ImageWorth {
    /// What one of its tasks needs.
    need: Resources,
    /// What its next start would lose elsewhere, the less the more such machines there are.
    worth: f64,
}

/// The worth of each image that a machine with room for it has.
type ImageWorths = HashMap<Image, ImageWorth>;

/// Weighs the images of services by their use and by the machines that have them.
fn image_worths(
    shard: &ShardOwner,
    catalog: &[MachineType],
    settings: &Settings,
    now: Time,
) -> ImageWorths {
    let uses = shard.images.values().map(|demand| demand.recent_uses(now));
    let most_uses = uses.fold(USES_MIN, f64::max);
    let rates = catalog.iter().map(|machine_type| machine_type.fetch_gb_s);
    let slowest_gb_s = rates.fold(f64::MAX, f64::min);
    let worth = |(image, machines): (&Image, u32)| {
        let demand = shard.images.get(image)?;
        let expected_s = expected_s(settings, &demand.class);
        let fetch_s = demand.gb / slowest_gb_s;
        let cost = delay_cost(expected_s, catalog.first()?, fetch_s);
        let worth = ImageWorth {
            need: demand.need,
            worth: cost * demand.recent_uses(now) / most_uses / f64::from(machines),
        };
        Some((image.clone(), worth))
    };
    let machines = machines_by_image(shard, settings, now);
    machines.into_iter().filter_map(worth).collect()
}

/// How many machines have each image of a service and room for one of its tasks.
fn machines_by_image<'a>(
    shard: &'a ShardOwner,
    settings: &Settings,
    now: Time,
) -> BTreeMap<&'a Image, u32> {
    let mut counts: BTreeMap<&Image, u32> = BTreeMap::new();
    let needs = shard.images.values().map(|demand| demand.need);
    let least = needs.reduce(Resources::least).unwrap_or_default();
    for (id, machine) in shard
        .machines
        .with_free_capacity(least, |pool, _| !pool.is_spot())
    {
        if !usable(machine, settings, now) || !shard.failures.may_run_tasks(id, now) {
            continue;
        }
        let free = machine.free();
        for (image, _) in &machine.images {
            let demand = shard.images.get(image);
            if demand.is_some_and(|demand| free.holds(demand.need)) {
                *counts.entry(image).or_default() += 1;
            }
        }
    }
    counts
}

/// The on-demand pools with no more room than is kept for urgent starts. Work that may use spot
/// machines waits for one rather than use that room.
fn full_pools(shard: &ShardOwner, catalog: &[MachineType], headroom: f64, now: Time) -> Vec<Pool> {
    let on_demand = (0..catalog.len()).map(|machine_type| Pool::of(machine_type, false));
    let full = |pool: &Pool| {
        shard.machines.free(*pool) < shard.headroom_machines(*pool, catalog, headroom, now)
    };
    on_demand.filter(full).collect()
}

/// What is lost when a task uses the room that a machine has for services whose images
/// it has.
fn displacement_cost(worths: &ImageWorths, job_state: &JobState, machine: &Machine) -> f64 {
    if machine.spot {
        return 0.0;
    }
    let before = machine.free();
    let mut after = before;
    after.add(job_state.record.resources, -1.0);
    let images = machine
        .images
        .iter()
        .filter(|(image, _)| *image != job_state.record.image);
    let worths = images.filter_map(|(image, _)| worths.get(image));
    let lost = worths.filter(|image| before.holds(image.need) && !after.holds(image.need));
    lost.map(|image| image.worth).sum()
}

/// Seconds until a task's image would be there. Images fetched at the same time share the rate.
pub(crate) fn fetch_s(record: &JobRecord, machine_type: &MachineType, machine: &Machine) -> f64 {
    if machine.has_image(&record.image) {
        return 0.0;
    }
    let alone_s = record.image_gb / machine_type.fetch_gb_s;
    let mut others: Vec<(&Image, f64)> = Vec::new();
    let bindings = machine.tasks.values();
    for binding in bindings.filter(|binding| !binding.is_image_cached) {
        let image = &binding.record.image;
        if *image == record.image {
            return alone_s / 2.0;
        }
        if !machine.has_image(image) && others.iter().all(|(other, _)| *other != image) {
            others.push((image, binding.record.image_gb / machine_type.fetch_gb_s));
        }
    }
    let shared_s = others.iter().map(|(_, other_s)| other_s.min(alone_s));
    alone_s + shared_s.sum::<f64>()
}
