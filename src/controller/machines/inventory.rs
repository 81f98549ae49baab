//! A shard's machines and the indexes over them.
//!
//! To place a task, the scheduler once scanned all machines and, for each, the jobs of its tasks.
//! At a thousand machines this used up a controller's processor. The indexes therefore group
//! machines into buckets by type, zone, market (spot or on-demand) and free capacity, so that full
//! machines are skipped, and each machine keeps what a placement needs to know of its tasks.
//! [`Inventory::edit`] and [`Inventory::edit_all`] are the only ways to change an indexed property,
//! so that the indexes can't be left out of date.

use crate::controller::audit::AuditError;
use crate::controller::pool::Pool;
use crate::controller::store::records::{JobRecord, PriorityClass, Resources};
use crate::ids::{ControllerId, Image, MachineId, RequestId, TaskId, Time};
use crate::wire::MachineType;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A task on a machine, with what other placements on the machine depend on.
#[derive(Clone, Debug)]
pub(crate) struct Binding {
    pub record: Rc<JobRecord>,
    /// The task's image is in the machine's image cache.
    pub is_image_cached: bool,
}

/// A machine of the shard.
#[derive(Debug)]
pub(crate) struct Machine {
    /// Index of the machine's type in the catalog; `None` while the type isn't known.
    pub machine_type: Option<usize>,
    pub type_name: Rc<str>,
    /// Total resources of the machine's type.
    pub resources: Resources,
    pub zone: Rc<str>,
    pub spot: bool,
    /// When the machine was requested from the cloud or first heard of.
    pub known_since: Time,
    /// When the machine became ready, by its first heartbeat or the cloud's list; `None` while it
    /// boots.
    pub ready_since: Option<Time>,
    /// Epoch of the worker process in the newest heartbeat; 0 if there was none.
    pub agent_epoch: u64,
    /// Sequence number of the newest heartbeat within its epoch.
    pub sequence: u64,
    /// Whether a heartbeat has carried this shard's token.
    pub has_acknowledged_token: bool,
    /// When the newest heartbeat arrived. Without one, when the cloud's list showed the machine as
    /// ready or, before that, when the machine became known.
    pub last_heartbeat: Time,
    /// When this owner received its first heartbeat from the machine.
    pub first_heartbeat: Option<Time>,
    /// The peer that forwarded the latest heartbeat; `None` if the worker sent it to this
    /// controller.
    pub forwarded_by: Option<ControllerId>,
    /// When this process last answered a heartbeat of the machine with status 200.
    pub last_answered_at: Time,
    /// When the cloud takes the spot machine back, by its latest heartbeat's notice.
    pub preemption_at: Option<Time>,
    pub tasks: BTreeMap<TaskId, Binding>,
    /// Resources that the tasks on the machine reserve.
    pub used: Resources,
    /// When the machine is deleted even if it still has tasks; once empty, it is deleted earlier.
    /// `None` unless it is to be deleted. Nothing is placed on a machine that is to be deleted.
    pub decommission_at: Option<Time>,
    /// Whether a deletion request to the cloud is pending.
    pub is_deleting: bool,
    /// The heartbeat request that waits for a command, and its deadline.
    pub long_poll: Option<(RequestId, Time)>,
    /// Images that the cache should hold, with their sizes in GB, the most recently used last.
    pub images: Vec<(Image, f64)>,
    /// Since when the machine has had no tasks; `None` while it has some.
    pub empty_since: Option<Time>,
    /// Whether the machine gets new tasks only where no other machine fits, since its own tasks
    /// would fit on others.
    pub is_cordoned: bool,
    /// Until when the machine gets no tasks because it refused a start for lack of resources.
    pub full_until: Time,
    /// The machine's entry in the indexes.
    indexed: Option<IndexEntry>,
}

impl Machine {
    /// Creates a machine that becomes known `now` and has sent no heartbeat.
    pub(crate) fn new(
        catalog: &[MachineType],
        type_name: &str,
        zone: &str,
        spot: bool,
        now: Time,
    ) -> Self {
        let mut machine = Self {
            machine_type: None,
            type_name: type_name.into(),
            resources: Resources::default(),
            zone: zone.into(),
            spot,
            known_since: now,
            ready_since: None,
            agent_epoch: 0,
            sequence: 0,
            has_acknowledged_token: false,
            last_heartbeat: now,
            first_heartbeat: None,
            forwarded_by: None,
            last_answered_at: now,
            preemption_at: None,
            tasks: BTreeMap::new(),
            used: Resources::default(),
            decommission_at: None,
            is_deleting: false,
            long_poll: None,
            images: Vec::new(),
            empty_since: Some(now),
            is_cordoned: false,
            full_until: Time(0),
            indexed: None,
        };
        machine.resolve_machine_type(catalog);
        machine
    }

    /// Looks up the machine's type in the catalog, and sets its resources.
    pub(crate) fn resolve_machine_type(&mut self, catalog: &[MachineType]) {
        self.machine_type = catalog
            .iter()
            .position(|listed| *listed.name == *self.type_name);
        let found = self.type_in(catalog);
        self.resources = found.map_or(Resources::default(), |found| found.resources);
    }

    /// Returns the machine's type in the catalog.
    pub(crate) fn type_in<'a>(&self, catalog: &'a [MachineType]) -> Option<&'a MachineType> {
        catalog.get(self.machine_type?)
    }

    /// Returns the pool to which the machine belongs; `None` while its type isn't known.
    pub(crate) fn pool(&self) -> Option<Pool> {
        Some(Pool::of(self.machine_type?, self.spot))
    }

    /// Sets the type, zone and market of a machine whose type wasn't known; others don't change.
    pub(crate) fn set_machine_type(
        &mut self,
        catalog: &[MachineType],
        type_name: &str,
        zone: &str,
        spot: bool,
    ) {
        if self.machine_type.is_none() {
            (self.type_name, self.zone, self.spot) = (type_name.into(), zone.into(), spot);
            self.resolve_machine_type(catalog);
        }
    }

    pub(crate) fn has_image(&self, image: &Image) -> bool {
        self.images.iter().any(|(cached, _)| cached == image)
    }

    /// Records that an image is used now. The least recently used images are dropped while the
    /// cache holds more than `cache_gb`.
    pub(crate) fn use_image(&mut self, image: &Image, gb: f64, cache_gb: f64) {
        self.images.retain(|(cached, _)| cached != image);
        self.images.push((image.clone(), gb));
        let mut total_gb: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total_gb > cache_gb && self.images.len() > 1 {
            total_gb -= self.images.remove(0).1;
        }
    }

    /// Returns the resources that no task reserves.
    pub(crate) fn free(&self) -> Resources {
        let mut free = self.resources;
        free.add(self.used, -1.0);
        free
    }

    /// Whether the free CPUs or GPUs are less than one capacity step of the machine's total.
    pub(crate) fn is_full(&self) -> bool {
        let free = self.free();
        let step = |total: f64| total / CAPACITY_STEPS - STEP_TOLERANCE;
        let is_short = |free: f64, total: f64| total > 0.0 && free < step(total);
        is_short(free.cpus, self.resources.cpus) || is_short(free.gpus, self.resources.gpus)
    }

    /// Adds a task and reserves its resources.
    pub(crate) fn bind(&mut self, task: TaskId, record: &Rc<JobRecord>) {
        self.used.add(record.resources, 1.0);
        self.empty_since = None;
        let record = record.clone();
        self.tasks.insert(
            task,
            Binding {
                record,
                is_image_cached: false,
            },
        );
    }

    /// Replaces the job record of a task on the machine.
    pub(crate) fn rebind(&mut self, task: &TaskId, record: &Rc<JobRecord>) {
        if let Some(binding) = self.tasks.get_mut(task) {
            binding.record = record.clone();
        }
    }

    /// Removes a task and frees its resources.
    pub(crate) fn unbind(&mut self, now: Time, task: &TaskId) {
        if let Some(binding) = self.tasks.remove(task) {
            self.used.add(binding.record.resources, -1.0);
        }
        if self.tasks.is_empty() {
            self.used = Resources::default();
            self.empty_since = Some(now);
        }
    }

    /// Returns the machine's pool if tasks can be placed on it. Temporary obstacles such as a
    /// quarantine or a refused start aren't considered.
    fn schedulable_pool(&self) -> Option<Pool> {
        let is_staying = self.decommission_at.is_none() && self.preemption_at.is_none();
        let has_reported = self.ready_since.is_some() && self.agent_epoch > 0;
        self.pool().filter(|_| is_staying && has_reported)
    }

    fn index_entry(&self) -> IndexEntry {
        IndexEntry {
            schedulable: self
                .schedulable_pool()
                .map(|pool| self.capacity_bucket(pool)),
            is_leaving: self.decommission_at.is_some() || self.preemption_at.is_some(),
            is_booting: self.ready_since.is_none() && self.decommission_at.is_none(),
        }
    }

    /// Returns the machine's bucket, its free capacity in units of `1 / CAPACITY_UNITS`, and the
    /// lowest priority class of its tasks.
    fn capacity_bucket(&self, pool: Pool) -> (CapacityBucket, u64, Option<PriorityClass>) {
        let free = self.free();
        let step = |free: f64, total: f64| {
            let fraction = if total > 0.0 { free / total } else { 1.0 };
            (fraction * CAPACITY_STEPS + STEP_TOLERANCE).clamp(0.0, CAPACITY_STEPS) as u8
        };
        let capacity_bucket = CapacityBucket {
            pool,
            zone: self.zone.clone(),
            cpus: step(free.cpus, self.resources.cpus),
            gpus: step(free.gpus, self.resources.gpus),
            mem: step(free.mem, self.resources.mem),
        };
        let free_fraction = (1.0 - self.used.share_of(self.resources)).clamp(0.0, 1.0);
        let lowest = self
            .tasks
            .values()
            .map(|binding| binding.record.priority_class)
            .min();
        (
            capacity_bucket,
            (free_fraction * CAPACITY_UNITS) as u64,
            lowest,
        )
    }
}

/// Number of steps by which machines are grouped by the free fraction of a resource.
const CAPACITY_STEPS: f64 = 8.0;
/// An amount that is less than this below a step counts as reaching it, since amounts are rounded.
const STEP_TOLERANCE: f64 = 1e-4;
/// Units per machine in which free capacity is added up. Integer units keep the sums exact.
const CAPACITY_UNITS: f64 = 1e6;

/// Key of a group of machines of one pool and zone with about the same free capacity. `cpus`,
/// `gpus` and `mem` are numbers of free steps.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CapacityBucket {
    pool: Pool,
    zone: Rc<str>,
    cpus: u8,
    gpus: u8,
    mem: u8,
}

impl CapacityBucket {
    /// Whether a machine in this bucket may have enough free capacity for a task. Its free
    /// resources lie below the next step, so a task that needs more than that can't fit.
    fn may_hold(&self, resources: Resources, need: Resources) -> bool {
        let upper_bound = |steps: u8, total: f64| {
            (f64::from(steps) + 1.0 - STEP_TOLERANCE) / CAPACITY_STEPS * total
        };
        let free = Resources {
            cpus: upper_bound(self.cpus, resources.cpus),
            gpus: upper_bound(self.gpus, resources.gpus),
            mem: upper_bound(self.mem, resources.mem),
        };
        free.holds(need)
    }
}

/// The properties of a machine that the indexes depend on.
#[derive(Clone, Debug, PartialEq)]
struct IndexEntry {
    /// Bucket, free capacity in units and lowest priority class of the tasks; `None` if tasks can't
    /// be placed on the machine.
    schedulable: Option<(CapacityBucket, u64, Option<PriorityClass>)>,
    is_leaving: bool,
    is_booting: bool,
}

/// Indexes over the machines of a shard.
#[derive(Debug, Default)]
struct Index {
    buckets: BTreeMap<CapacityBucket, BTreeSet<MachineId>>,
    /// Schedulable machines with tasks, by pool and lowest priority class of these tasks.
    by_lowest_priority: BTreeMap<(Pool, PriorityClass), BTreeSet<MachineId>>,
    /// Sum of the free capacity of schedulable machines, in units, by pool.
    free_units: BTreeMap<Pool, u64>,
    leaving: BTreeSet<MachineId>,
    booting: BTreeSet<MachineId>,
}

impl Index {
    fn update_entry(&mut self, id: &MachineId, machine: &mut Machine) {
        let new = machine.index_entry();
        if machine.indexed.as_ref() == Some(&new) {
            return;
        }
        self.remove_entry(id, machine);
        self.add_entry(id, &new);
        machine.indexed = Some(new);
    }

    fn add_entry(&mut self, id: &MachineId, new: &IndexEntry) {
        if let Some((capacity_bucket, free, lowest)) = &new.schedulable {
            *self.free_units.entry(capacity_bucket.pool).or_default() += free;
            if let Some(priority_class) = lowest {
                let key = (capacity_bucket.pool, *priority_class);
                self.by_lowest_priority
                    .entry(key)
                    .or_default()
                    .insert(id.clone());
            }
            let machines = self.buckets.entry(capacity_bucket.clone()).or_default();
            machines.insert(id.clone());
        }
        if new.is_leaving {
            self.leaving.insert(id.clone());
        }
        if new.is_booting {
            self.booting.insert(id.clone());
        }
    }

    fn remove_entry(&mut self, id: &MachineId, machine: &mut Machine) {
        let Some(old) = machine.indexed.take() else {
            return;
        };
        if let Some((capacity_bucket, free, lowest)) = &old.schedulable {
            *self.free_units.entry(capacity_bucket.pool).or_default() -= free;
            if let Some(priority_class) = lowest {
                remove_from_set(
                    &mut self.by_lowest_priority,
                    &(capacity_bucket.pool, *priority_class),
                    id,
                );
            }
            remove_from_set(&mut self.buckets, capacity_bucket, id);
        }
        self.leaving.remove(id);
        self.booting.remove(id);
    }
}

/// Removes a machine from the set under a key, and the set if it is then empty.
fn remove_from_set<K: Ord>(sets: &mut BTreeMap<K, BTreeSet<MachineId>>, key: &K, id: &MachineId) {
    if let Some(set) = sets.get_mut(key) {
        set.remove(id);
        if set.is_empty() {
            sets.remove(key);
        }
    }
}

/// The machines of a shard, by id, with their indexes.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    machines: BTreeMap<MachineId, Machine>,
    index: Index,
}

impl Inventory {
    pub(crate) fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    pub(crate) fn contains_key(&self, id: &MachineId) -> bool {
        self.machines.contains_key(id)
    }

    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        self.machines.iter()
    }

    /// Iterates over the machines with ids greater than `id`, in the order of their ids; over all
    /// machines for `None`.
    pub(crate) fn iter_after(
        &self,
        id: Option<&MachineId>,
    ) -> impl Iterator<Item = (&MachineId, &Machine)> {
        use std::ops::Bound;
        let from = id.map_or(Bound::Unbounded, Bound::Excluded);
        self.machines.range((from, Bound::Unbounded))
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    pub(crate) fn insert(&mut self, id: MachineId, mut machine: Machine) {
        self.remove(&id);
        self.index.update_entry(&id, &mut machine);
        self.machines.insert(id, machine);
    }

    pub(crate) fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        let mut machine = self.machines.remove(id)?;
        self.index.remove_entry(id, &mut machine);
        Some(machine)
    }

    /// Changes properties of a machine that no index depends on: the waiting request and the time
    /// of the last answer. The indexes aren't updated.
    pub(crate) fn edit_unindexed(&mut self, id: &MachineId, change: impl FnOnce(&mut Machine)) {
        if let Some(machine) = self.machines.get_mut(id) {
            change(machine);
        }
    }

    /// Changes a machine and updates the indexes. Returns the result of `change`, or `None` if the
    /// machine isn't known.
    pub(crate) fn edit<R>(
        &mut self,
        id: &MachineId,
        change: impl FnOnce(&mut Machine) -> R,
    ) -> Option<R> {
        let machine = self.machines.get_mut(id)?;
        let result = change(machine);
        self.index.update_entry(id, machine);
        Some(result)
    }

    /// Changes all machines and updates the indexes.
    pub(crate) fn edit_all(&mut self, mut change: impl FnMut(&mut Machine)) {
        for (id, machine) in &mut self.machines {
            change(machine);
            self.index.update_entry(id, machine);
        }
    }

    /// Iterates over the schedulable machines that may have free capacity for a task, in the pools
    /// and zones that `fits` accepts.
    pub(crate) fn with_free_capacity(
        &self,
        need: Resources,
        fits: impl Fn(Pool, &Rc<str>) -> bool,
    ) -> impl Iterator<Item = (&MachineId, &Machine)> {
        let is_candidate = move |capacity_bucket: &CapacityBucket, ids: &BTreeSet<MachineId>| {
            // All machines in a bucket are of one type.
            let resources = ids
                .first()
                .and_then(|id| self.machines.get(id))
                .map(|machine| machine.resources);
            resources.is_some_and(|resources| capacity_bucket.may_hold(resources, need))
                && fits(capacity_bucket.pool, &capacity_bucket.zone)
        };
        let buckets = self.index.buckets.iter();
        let buckets =
            buckets.filter(move |(capacity_bucket, ids)| is_candidate(capacity_bucket, ids));
        let ids = buckets.flat_map(|(_, ids)| ids);
        ids.filter_map(|id| Some((id, self.machines.get(id)?)))
    }

    /// Iterates over the schedulable machines with tasks, of the pools and lowest priority classes
    /// that `fits` accepts.
    pub(crate) fn by_lowest_priority(
        &self,
        fits: impl Fn(Pool, PriorityClass) -> bool,
    ) -> impl Iterator<Item = (&MachineId, &Machine)> {
        let sets = self.index.by_lowest_priority.iter();
        let sets = sets.filter(move |((pool, priority_class), _)| fits(*pool, *priority_class));
        let ids = sets.flat_map(|(_, ids)| ids);
        ids.filter_map(|id| Some((id, self.machines.get(id)?)))
    }

    /// Returns the free capacity on the schedulable machines of a pool, as a number of machines;
    /// parts of machines add up.
    pub(crate) fn free(&self, pool: Pool) -> f64 {
        let units = self.index.free_units.get(&pool);
        units.copied().unwrap_or(0) as f64 / CAPACITY_UNITS
    }

    /// Iterates over the machines that are to be deleted or have a preemption notice.
    pub(crate) fn leaving(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        let ids = self.index.leaving.iter();
        ids.filter_map(|id| Some((id, self.machines.get(id)?)))
    }

    /// Iterates over the machines that aren't ready yet and aren't to be deleted.
    pub(crate) fn booting(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        let ids = self.index.booting.iter();
        ids.filter_map(|id| Some((id, self.machines.get(id)?)))
    }

    /// Checks the indexes against a recount. Fails if an entry or an index differs from it.
    pub(crate) fn audit(&self) -> Result<(), AuditError> {
        let mut recounted = Index::default();
        for (id, machine) in &self.machines {
            let indexed = machine.index_entry();
            if machine.indexed.as_ref() != Some(&indexed) {
                return Err(AuditError::IndexEntry(id.clone()));
            }
            recounted.add_entry(id, &indexed);
        }
        recounted.free_units.retain(|_, units| *units > 0);
        let mut free_units = self.index.free_units.clone();
        free_units.retain(|_, units| *units > 0);
        let is_same = recounted.buckets == self.index.buckets
            && recounted.by_lowest_priority == self.index.by_lowest_priority
            && recounted.free_units == free_units
            && recounted.leaving == self.index.leaving
            && recounted.booting == self.index.booting;
        is_same.then_some(()).ok_or(AuditError::Index)
    }
}
