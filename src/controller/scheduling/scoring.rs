//! Placement costs: scores each machine for a task by the delay of its start, by the spread of its
//! service, and by the cached images that other services could no longer use there.
//!
//! Costs have no unit; only their relations matter.

use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{allows_pool, is_schedulable, is_zone_allowed};
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::JobState;
use crate::controller::store::records::{JobKind, JobRecord, PriorityClass, Resources};
use crate::ids::{Image, JobId, MachineId, Time};
use crate::settings::Settings;
use crate::wire::MachineType;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;

/// Cost of a start whose delay equals the start objective of the job's class.
const DELAY_AT_OBJECTIVE_COST: f64 = 12.0;
/// Cost of each task of the same service on the machine, before weighting by the service's size.
const SAME_SERVICE_TASK_COST: f64 = 4.0;
/// Number of tasks up to which a service is spread with the full weight.
const FULL_SPREAD_TASKS_MAX: f64 = 8.0;
/// Cost of a completely free machine. A partly used machine costs in proportion to its free
/// fraction.
const FREE_MACHINE_COST: f64 = 3.0;
/// Cost reduction of a spot machine.
const SPOT_COST_REDUCTION: f64 = 8.0;
/// Cost of a cordoned machine.
const CORDONED_MACHINE_COST: f64 = 10.0;
/// Cost of a machine on which the job has failed. The job is tried on another machine, which shows
/// whether the job or the machine is at fault.
const FAILED_MACHINE_COST: f64 = 30.0;
/// How long tasks that may run on spot machines leave the room kept for urgent starts unused. A
/// spot machine should become ready within this time. The wait is limited because there may be no
/// spot capacity.
const SPOT_WAIT_S: f64 = 90.0;
/// Lower bound of the use count by which image values are normalized. It avoids a division by zero.
const USE_COUNT_MIN: f64 = 1e-9;

/// A machine for a job's next task. The ordering is reversed, so that the candidate with the lowest
/// cost is on top of a [`BinaryHeap`].
pub(crate) struct Candidate {
    /// Cost of the placement.
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

/// Inputs for placing one job's tasks, besides the state of the shard.
pub(crate) struct PlacementContext<'a> {
    /// The settings.
    pub(crate) settings: &'a Settings,
    /// The machine types.
    pub(crate) catalog: &'a [MachineType],
    /// Start objective of the job's class, in seconds, if the platform sets one.
    pub(crate) start_objective_s: Option<f64>,
    /// The current time.
    pub(crate) now: Time,
}

/// Inputs of the placement costs that are computed once per scheduling cycle.
pub(crate) struct ScoreInputs {
    /// Values of cached images.
    images: CachedImageValues,
    /// On-demand pools with less free room than is kept for urgent starts.
    pools_below_reserved_room: Vec<Pool>,
}

impl ScoreInputs {
    /// Computes the inputs from the shard's state at the start of a cycle.
    pub(crate) fn new(
        shard: &ShardOwner,
        catalog: &[MachineType],
        settings: &Settings,
        now: Time,
    ) -> Self {
        Self {
            images: value_cached_images(shard, catalog, settings, now),
            pools_below_reserved_room: find_pools_below_reserved_room(
                shard,
                catalog,
                settings.tuning.headroom_std_devs,
                now,
            ),
        }
    }
}

/// The machines for a job's next task.
pub(crate) struct Candidates {
    /// The machines, with the lowest cost on top.
    pub(crate) heap: BinaryHeap<Candidate>,
    /// Number of machines examined.
    pub(crate) machines_scanned: u64,
}

impl PlacementContext<'_> {
    /// Computes the placement cost of the job's next task on each machine that has room for it.
    pub(crate) fn candidates(
        &self,
        shard: &ShardOwner,
        job: &JobId,
        score_inputs: &ScoreInputs,
    ) -> Candidates {
        let job_state = &shard.jobs[job];
        let record = &job_state.record;
        let zones = self
            .catalog
            .iter()
            .flat_map(|machine_type| &machine_type.zones);
        let zones: BTreeSet<&str> = zones.map(String::as_str).collect();
        let allowed_zones = zones.into_iter();
        let allowed_zones: Vec<&str> = allowed_zones
            .filter(|zone| is_zone_allowed(job_state, zone))
            .collect();
        let fits = |pool: Pool, zone: &Rc<str>| {
            allowed_zones.contains(&&**zone) && allows_pool(record, self.catalog, pool)
        };
        let mut machines_scanned = 0;
        let machines = shard.machines.with_free_capacity(record.resources, fits);
        let candidates = machines.filter_map(|(id, machine)| {
            machines_scanned += 1;
            let cost = self.placement_cost(shard, (job, job_state), (id, machine), score_inputs)?;
            let machine = id.clone();
            Some(Candidate { cost, machine })
        });
        Candidates {
            heap: candidates.collect(),
            machines_scanned,
        }
    }

    /// Returns the cost of placing the job's next task on a machine of an allowed pool and zone;
    /// `None` if the machine can't take the task now.
    pub(crate) fn placement_cost(
        &self,
        shard: &ShardOwner,
        (job, job_state): (&JobId, &JobState),
        (id, machine): (&MachineId, &Machine),
        score_inputs: &ScoreInputs,
    ) -> Option<f64> {
        let pool = machine.pool()?;
        let machine_type = pool.type_in(self.catalog)?;
        let is_usable = is_schedulable(machine, self.settings, self.now)
            && shard.failures.may_run_tasks(id, self.now);
        if !machine.free().holds(job_state.record.resources) || !is_usable {
            return None;
        }
        if self.waits_for_spot(job_state) && score_inputs.pools_below_reserved_room.contains(&pool)
        {
            return None;
        }
        let mut cost = self.start_cost(&job_state.record, machine_type, machine)
            + displacement_cost(&score_inputs.images, job_state, machine);
        if shard.failures.failed_on(job, id) {
            cost += FAILED_MACHINE_COST;
        }
        Some(cost)
    }

    /// Whether the job waits for a spot machine instead of using the room kept for urgent starts.
    /// Jobs that checkpoint and jobs above the normal priority class don't wait.
    fn waits_for_spot(&self, job_state: &JobState) -> bool {
        let record = &job_state.record;
        self.now.since(job_state.waiting_since) < SPOT_WAIT_S
            && record.checkpoint_s <= 0.0
            && record.spot
            && record.priority_class <= PriorityClass::Normal
    }

    /// Returns the cost of a start by its delay, the machine's free fraction, the spread of the
    /// service, the machine's market, and whether the machine is cordoned.
    fn start_cost(
        &self,
        record: &Rc<JobRecord>,
        machine_type: &MachineType,
        machine: &Machine,
    ) -> f64 {
        let free_fraction = 1.0 - machine.used.share_of(machine_type.resources);
        let delay_s =
            self.command_delay_s(machine) + estimate_image_fetch_s(record, machine_type, machine);
        let mut cost = delay_cost(self.start_objective_s, machine_type, delay_s)
            + FREE_MACHINE_COST * free_fraction;
        if record.kind == JobKind::Service {
            cost += spread_cost(record, machine);
        }
        if machine.spot {
            cost -= SPOT_COST_REDUCTION;
        }
        if machine.is_cordoned {
            cost += CORDONED_MACHINE_COST;
        }
        cost
    }

    /// Returns the seconds until a command reaches a machine. Commands are sent at once if a long
    /// poll is waiting, and otherwise with the response to the next heartbeat.
    fn command_delay_s(&self, machine: &Machine) -> f64 {
        let heartbeat_s = self.settings.platform.facts.workers.heartbeat_s;
        match machine.long_poll {
            Some(_) => 0.0,
            None => (heartbeat_s - self.now.since(machine.last_heartbeat)).max(0.0),
        }
    }
}

/// Removes and returns the candidate with the lowest cost whose zone the job's next task may use.
/// Candidates in other zones are dropped.
pub(crate) fn pop_best_candidate(
    shard: &ShardOwner,
    job_state: &JobState,
    candidates: &mut BinaryHeap<Candidate>,
) -> Option<MachineId> {
    loop {
        let id = candidates.pop()?.machine;
        let zone = shard.machines.get(&id).map(|machine| &machine.zone);
        if zone.is_some_and(|zone| is_zone_allowed(job_state, zone)) {
            return Some(id);
        }
    }
}

/// Returns the cost of the service's tasks that already run on the machine. Spreading limits what a
/// service loses with one machine.
///
/// The weight falls with the size of the service, since a large service loses only a small fraction
/// with one machine. With the full weight, replicas of large services kept returning to the
/// machines that were being drained of them.
fn spread_cost(record: &Rc<JobRecord>, machine: &Machine) -> f64 {
    let bindings = machine.tasks.values();
    let same_job = bindings.filter(|binding| Rc::ptr_eq(&binding.record, record));
    let weight = (FULL_SPREAD_TASKS_MAX / f64::from(record.count.max(1))).min(1.0);
    SAME_SERVICE_TASK_COST * weight * same_job.count() as f64
}

/// Returns the strictest start objective (`wait`) of a job class in seconds, if the platform sets
/// one.
pub(crate) fn start_objective_s(settings: &Settings, class: &str) -> Option<f64> {
    let objectives = settings.platform.facts.objectives.iter();
    let waits = objectives
        .filter(|objective| objective.kind == "wait" && objective.class.as_deref() == Some(class));
    waits
        .filter_map(|objective| objective.within_s)
        .reduce(f64::min)
}

/// Returns the cost of a start delay. It grows with the square of the ratio of the delay to the
/// start objective, so that short delays cost little. For classes without an objective, the boot
/// time of the machine type takes its place.
fn delay_cost(start_objective_s: Option<f64>, machine_type: &MachineType, delay_s: f64) -> f64 {
    let objective_s = start_objective_s.unwrap_or(machine_type.ready_s);
    DELAY_AT_OBJECTIVE_COST * (delay_s / objective_s.max(1.0)).powi(2)
}

/// Value of an image on a machine that has cached it and has room for one of its tasks.
struct CachedImageValue {
    /// Resources that one task with this image needs.
    need: Resources,
    /// Cost of fetching the image for its next start elsewhere, weighted by its recent use and
    /// divided by the number of machines that have it cached and have room.
    value: f64,
}

/// Values of the images that are cached on a machine with room for one of their tasks.
type CachedImageValues = HashMap<Image, CachedImageValue>;

/// Computes the values of cached images of services from their recent use and from the number of
/// machines that have them. The fetch time is that of the machine type with the slowest fetch rate.
fn value_cached_images(
    shard: &ShardOwner,
    catalog: &[MachineType],
    settings: &Settings,
    now: Time,
) -> CachedImageValues {
    let uses = shard.images.values().map(|demand| demand.recent_uses(now));
    let max_uses = uses.fold(USE_COUNT_MIN, f64::max);
    let rates = catalog.iter().map(|machine_type| machine_type.fetch_gb_s);
    let slowest_gb_s = rates.fold(f64::MAX, f64::min);
    let value_of = |(image, machines): (&Image, u32)| {
        let demand = shard.images.get(image)?;
        let start_objective_s = start_objective_s(settings, &demand.class);
        let fetch_time_s = demand.gb / slowest_gb_s;
        let cost = delay_cost(start_objective_s, catalog.first()?, fetch_time_s);
        let value = CachedImageValue {
            need: demand.need,
            value: cost * demand.recent_uses(now) / max_uses / f64::from(machines),
        };
        Some((image.clone(), value))
    };
    let machines = count_machines_by_image(shard, settings, now);
    machines.into_iter().filter_map(value_of).collect()
}

/// Counts, for each image of a service, the on-demand machines that have it cached and have room
/// for one of its tasks.
fn count_machines_by_image<'a>(
    shard: &'a ShardOwner,
    settings: &Settings,
    now: Time,
) -> BTreeMap<&'a Image, u32> {
    let mut counts: BTreeMap<&Image, u32> = BTreeMap::new();
    let needs = shard.images.values().map(|demand| demand.need);
    let smallest_need = needs.reduce(Resources::least).unwrap_or_default();
    for (id, machine) in shard
        .machines
        .with_free_capacity(smallest_need, |pool, _| !pool.is_spot())
    {
        if !is_schedulable(machine, settings, now) || !shard.failures.may_run_tasks(id, now) {
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

/// Returns the on-demand pools with less free room than is kept for urgent starts. Tasks that may
/// run on spot machines wait for one instead of using that room.
fn find_pools_below_reserved_room(
    shard: &ShardOwner,
    catalog: &[MachineType],
    headroom_std_devs: f64,
    now: Time,
) -> Vec<Pool> {
    let on_demand = (0..catalog.len()).map(|machine_type| Pool::of(machine_type, false));
    let is_below_reserved_room = |pool: &Pool| {
        shard.machines.free(*pool) < shard.headroom_machines(*pool, catalog, headroom_std_devs, now)
    };
    on_demand.filter(is_below_reserved_room).collect()
}

/// Returns the total value of the cached images whose tasks no longer fit on the machine once the
/// job's next task is placed there. Spot machines have no such cost.
fn displacement_cost(values: &CachedImageValues, job_state: &JobState, machine: &Machine) -> f64 {
    if machine.spot {
        return 0.0;
    }
    let free_before = machine.free();
    let mut free_after = free_before;
    free_after.add(job_state.record.resources, -1.0);
    let images = machine
        .images
        .iter()
        .filter(|(image, _)| *image != job_state.record.image);
    let values = images.filter_map(|(image, _)| values.get(image));
    let lost =
        values.filter(|image| free_before.holds(image.need) && !free_after.holds(image.need));
    lost.map(|image| image.value).sum()
}

/// Estimates the seconds until a task's image is fetched to a machine; 0 if it is cached.
/// Concurrent fetches of different images share the machine's fetch rate. If another task on the
/// machine is already fetching the image, half of the fetch is assumed to be done.
pub(crate) fn estimate_image_fetch_s(
    record: &JobRecord,
    machine_type: &MachineType,
    machine: &Machine,
) -> f64 {
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
