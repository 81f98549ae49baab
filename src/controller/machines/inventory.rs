//! A shard's machines, and the indexes that keep work in step with what changes.
//!
//! Placing a task once went over all machines and, for each, over the jobs of its tasks.
//! At a thousand machines that used up a controller's processor. Now machines stand on
//! shelves by type, zone, kind and free room, so that full ones aren't looked at, and each
//! knows what its tasks mean for a placement. Every change goes through `edit`, which
//! files the machine anew: there is no second place that could forget to.

use crate::controller::audit::AuditError;
use crate::controller::pool::Pool;
use crate::controller::store::records::{JobRecord, PriorityClass, Resources};
use crate::ids::{ControllerId, Image, MachineId, RequestId, TaskId, Time};
use crate::wire::MachineType;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A task on a machine, as far as other placements there depend on it.
#[derive(Clone, Debug)]
pub(crate) struct Binding {
    pub record: Rc<JobRecord>,
    /// Its image is there.
    pub is_image_cached: bool,
}

/// A machine of the shard.
#[derive(Debug)]
pub(crate) struct Machine {
    /// Its type's place in the catalog, if that is known.
    pub machine_type: Option<usize>,
    pub type_name: Rc<str>,
    /// What its type has.
    pub resources: Resources,
    pub zone: Rc<str>,
    pub spot: bool,
    /// When it was scaled out or first heard of.
    pub known_since: Time,
    /// When its first heartbeat came; `None` while it boots.
    pub ready_since: Option<Time>,
    pub agent_epoch: u64,
    pub sequence: u64,
    /// A heartbeat showed that it has this shard's token.
    pub token_acknowledged: bool,
    pub last_heartbeat: Time,
    /// When this owner first had a heartbeat of it.
    pub first_heartbeat: Option<Time>,
    /// The peer that forwarded its latest heartbeat; `None` if it came here.
    pub forwarded_by: Option<ControllerId>,
    /// When this process last answered one of its heartbeats with 200.
    pub last_acknowledged: Time,
    pub preemption_at: Option<Time>,
    pub tasks: BTreeMap<TaskId, Binding>,
    pub used: Resources,
    /// To be deleted, at this moment even if tasks are left on it. Nothing is placed
    /// on it any more.
    pub decommission_at: Option<Time>,
    pub is_deleting: bool,
    /// The request that waits for a command, and until when.
    pub long_poll: Option<(RequestId, Time)>,
    /// Images it should have, latest use last.
    pub images: Vec<(Image, f64)>,
    /// Since when it has had no task.
    pub empty_since: Option<Time>,
    /// Its work would fit elsewhere: it gets nothing new while there is another place.
    pub is_cordoned: bool,
    /// A start was refused for want of room.
    pub full_until: Time,
    /// Where the indexes have it.
    indexed: Option<IndexEntry>,
}

impl Machine {
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
            token_acknowledged: false,
            last_heartbeat: now,
            first_heartbeat: None,
            forwarded_by: None,
            last_acknowledged: now,
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

    /// Looks its type up in the catalog.
    pub(crate) fn resolve_machine_type(&mut self, catalog: &[MachineType]) {
        self.machine_type = catalog.iter().position(|c| *c.name == *self.type_name);
        let found = self.type_in(catalog);
        self.resources = found.map_or(Resources::default(), |found| found.resources);
    }

    /// Its type in the catalog.
    pub(crate) fn type_in<'a>(&self, catalog: &'a [MachineType]) -> Option<&'a MachineType> {
        catalog.get(self.machine_type?)
    }

    /// The pool that it is counted in.
    pub(crate) fn pool(&self) -> Option<Pool> {
        Some(Pool::of(self.machine_type?, self.spot))
    }

    /// What a machine that was known by name only is.
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
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Notes that an image is used now; the cache drops the one unused for longest.
    pub(crate) fn use_image(&mut self, image: &Image, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.clone(), gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }

    pub(crate) fn free(&self) -> Resources {
        let mut free = self.resources;
        free.add(self.used, -1.0);
        free
    }

    /// Whether next to nothing of something that tasks need is left.
    pub(crate) fn is_full(&self) -> bool {
        let free = self.free();
        let least = |all: f64| all / STEPS - EDGE;
        let short = |free: f64, all: f64| all > 0.0 && free < least(all);
        short(free.cpus, self.resources.cpus) || short(free.gpus, self.resources.gpus)
    }

    /// Enters a task: its room counts from now on.
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

    /// Replaces the description of a task's job.
    pub(crate) fn rebind(&mut self, task: &TaskId, record: &Rc<JobRecord>) {
        if let Some(bind) = self.tasks.get_mut(task) {
            bind.record = record.clone();
        }
    }

    pub(crate) fn unbind(&mut self, now: Time, task: &TaskId) {
        if let Some(bind) = self.tasks.remove(task) {
            self.used.add(bind.record.resources, -1.0);
        }
        if self.tasks.is_empty() {
            self.used = Resources::default();
            self.empty_since = Some(now);
        }
    }

    /// Its pool, if it can be given tasks, but for what passes by itself.
    fn schedulable_pool(&self) -> Option<Pool> {
        let staying = self.decommission_at.is_none() && self.preemption_at.is_none();
        let reports = self.ready_since.is_some() && self.agent_epoch > 0;
        self.pool().filter(|_| staying && reports)
    }

    fn index_entry(&self) -> IndexEntry {
        IndexEntry {
            schedulable: self
                .schedulable_pool()
                .map(|pool| self.capacity_bucket(pool)),
            leaving: self.decommission_at.is_some() || self.preemption_at.is_some(),
            booting: self.ready_since.is_none() && self.decommission_at.is_none(),
        }
    }

    fn capacity_bucket(&self, pool: Pool) -> (CapacityBucket, u64, Option<PriorityClass>) {
        let free = self.free();
        let step = |free: f64, all: f64| {
            let share = if all > 0.0 { free / all } else { 1.0 };
            (share * STEPS + EDGE).clamp(0.0, STEPS) as u8
        };
        let capacity_bucket = CapacityBucket {
            pool,
            zone: self.zone.clone(),
            cpus: step(free.cpus, self.resources.cpus),
            gpus: step(free.gpus, self.resources.gpus),
            mem: step(free.mem, self.resources.mem),
        };
        let share = (1.0 - self.used.share_of(self.resources)).clamp(0.0, 1.0);
        let lowest = self.tasks.values().map(|s| s.record.priority_class).min();
        (capacity_bucket, (share * PARTS) as u64, lowest)
    }
}

/// Steps into which the free room of a machine is told apart.
const STEPS: f64 = 8.0;
/// What is so little below a step counts as there: amounts are rounded.
const EDGE: f64 = 1e-4;
/// Free room is added up in whole parts of a machine, so that sums stay exact.
const PARTS: f64 = 1e6;

/// Machines of one type, zone and kind with about the same free room.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CapacityBucket {
    pool: Pool,
    zone: Rc<str>,
    cpus: u8,
    gpus: u8,
    mem: u8,
}

impl CapacityBucket {
    /// Whether a machine here may have room for a task: what it has is below the next
    /// step, so a task that takes a whole step more needn't look here.
    fn may_hold(&self, resources: Resources, need: Resources) -> bool {
        let most = |steps: u8, all: f64| (f64::from(steps) + 1.0 - EDGE) / STEPS * all;
        let free = Resources {
            cpus: most(self.cpus, resources.cpus),
            gpus: most(self.gpus, resources.gpus),
            mem: most(self.mem, resources.mem),
        };
        free.holds(need)
    }
}

/// What the indexes say of a machine.
#[derive(Clone, Debug, PartialEq)]
struct IndexEntry {
    /// Its shelf, the free part of it, and the lowest rank of its tasks.
    schedulable: Option<(CapacityBucket, u64, Option<PriorityClass>)>,
    leaving: bool,
    booting: bool,
}

#[derive(Debug, Default)]
struct Index {
    buckets: BTreeMap<CapacityBucket, BTreeSet<MachineId>>,
    /// Open machines with tasks, by the lowest rank among these.
    by_lowest_priority: BTreeMap<(Pool, PriorityClass), BTreeSet<MachineId>>,
    /// Free parts of open machines, by type and kind.
    free: BTreeMap<Pool, u64>,
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
            *self.free.entry(capacity_bucket.pool).or_default() += free;
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
        if new.leaving {
            self.leaving.insert(id.clone());
        }
        if new.booting {
            self.booting.insert(id.clone());
        }
    }

    fn remove_entry(&mut self, id: &MachineId, machine: &mut Machine) {
        let Some(old) = machine.indexed.take() else {
            return;
        };
        if let Some((capacity_bucket, free, lowest)) = &old.schedulable {
            *self.free.entry(capacity_bucket.pool).or_default() -= free;
            if let Some(priority_class) = lowest {
                drop_from(
                    &mut self.by_lowest_priority,
                    &(capacity_bucket.pool, *priority_class),
                    id,
                );
            }
            drop_from(&mut self.buckets, capacity_bucket, id);
        }
        self.leaving.remove(id);
        self.booting.remove(id);
    }
}

fn drop_from<K: Ord>(sets: &mut BTreeMap<K, BTreeSet<MachineId>>, key: &K, id: &MachineId) {
    if let Some(set) = sets.get_mut(key) {
        set.remove(id);
        if set.is_empty() {
            sets.remove(key);
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Inventory {
    all: BTreeMap<MachineId, Machine>,
    index: Index,
}

impl Inventory {
    pub(crate) fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.all.get(id)
    }

    pub(crate) fn contains_key(&self, id: &MachineId) -> bool {
        self.all.contains_key(id)
    }

    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        self.all.iter()
    }

    /// The machines behind one of this name, in the order of their names.
    pub(crate) fn iter_after(
        &self,
        id: Option<&MachineId>,
    ) -> impl Iterator<Item = (&MachineId, &Machine)> {
        use std::ops::Bound;
        let from = id.map_or(Bound::Unbounded, Bound::Excluded);
        self.all.range((from, Bound::Unbounded))
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Machine> {
        self.all.values()
    }

    pub(crate) fn insert(&mut self, id: MachineId, mut machine: Machine) {
        self.remove(&id);
        self.index.update_entry(&id, &mut machine);
        self.all.insert(id, machine);
    }

    pub(crate) fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        let mut machine = self.all.remove(id)?;
        self.index.remove_entry(id, &mut machine);
        Some(machine)
    }

    /// Changes of a machine what no index depends on: which request waits, and when it was
    /// last answered.
    pub(crate) fn touch(&mut self, id: &MachineId, change: impl FnOnce(&mut Machine)) {
        if let Some(machine) = self.all.get_mut(id) {
            change(machine);
        }
    }

    /// The way to change anything else of a machine.
    pub(crate) fn edit<R>(
        &mut self,
        id: &MachineId,
        change: impl FnOnce(&mut Machine) -> R,
    ) -> Option<R> {
        let machine = self.all.get_mut(id)?;
        let result = change(machine);
        self.index.update_entry(id, machine);
        Some(result)
    }

    pub(crate) fn edit_all(&mut self, mut change: impl FnMut(&mut Machine)) {
        for (id, machine) in &mut self.all {
            change(machine);
            self.index.update_entry(id, machine);
        }
    }

    /// Open machines that may have room for a task, of those types, kinds and zones that
    /// `fits` lets pass.
    pub(crate) fn with_free_capacity(
        &self,
        need: Resources,
        fits: impl Fn(Pool, &Rc<str>) -> bool,
    ) -> impl Iterator<Item = (&MachineId, &Machine)> {
        let wide = move |capacity_bucket: &CapacityBucket, ids: &BTreeSet<MachineId>| {
            // All machines of a shelf are of one type.
            let resources = ids
                .first()
                .and_then(|id| self.all.get(id))
                .map(|machine| machine.resources);
            resources.is_some_and(|resources| capacity_bucket.may_hold(resources, need))
                && fits(capacity_bucket.pool, &capacity_bucket.zone)
        };
        let buckets = self.index.buckets.iter();
        let buckets = buckets.filter(move |(capacity_bucket, ids)| wide(capacity_bucket, ids));
        let ids = buckets.flat_map(|(_, ids)| ids);
        ids.filter_map(|id| Some((id, self.all.get(id)?)))
    }

    /// Open machines with tasks, of those types, kinds and lowest priority classes that `fits` lets
    /// pass.
    pub(crate) fn by_lowest_priority(
        &self,
        fits: impl Fn(Pool, PriorityClass) -> bool,
    ) -> impl Iterator<Item = (&MachineId, &Machine)> {
        let sets = self.index.by_lowest_priority.iter();
        let sets = sets.filter(move |((pool, priority_class), _)| fits(*pool, *priority_class));
        let ids = sets.flat_map(|(_, ids)| ids);
        ids.filter_map(|id| Some((id, self.all.get(id)?)))
    }

    /// Machines' worth of free room on the open machines of a pool.
    pub(crate) fn free(&self, pool: Pool) -> f64 {
        let parts = self.index.free.get(&pool);
        parts.copied().unwrap_or(0) as f64 / PARTS
    }

    /// Machines that are to be deleted or have notice.
    pub(crate) fn leaving(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        let ids = self.index.leaving.iter();
        ids.filter_map(|id| Some((id, self.all.get(id)?)))
    }

    /// Machines that haven't come up yet.
    pub(crate) fn booting(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        let ids = self.index.booting.iter();
        ids.filter_map(|id| Some((id, self.all.get(id)?)))
    }

    /// Recounts the indexes; says what is wrong with them.
    pub(crate) fn audit(&self) -> Result<(), AuditError> {
        let mut again = Index::default();
        for (id, machine) in &self.all {
            let indexed = machine.index_entry();
            if machine.indexed.as_ref() != Some(&indexed) {
                return Err(AuditError::IndexEntry(id.clone()));
            }
            again.add_entry(id, &indexed);
        }
        again.free.retain(|_, n| *n > 0);
        let mut free = self.index.free.clone();
        free.retain(|_, n| *n > 0);
        let same = again.buckets == self.index.buckets
            && again.by_lowest_priority == self.index.by_lowest_priority
            && again.free == free
            && again.leaving == self.index.leaving
            && again.booting == self.index.booting;
        same.then_some(()).ok_or(AuditError::Index)
    }
}
