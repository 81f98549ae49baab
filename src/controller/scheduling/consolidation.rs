//! Consolidation: drains underused machines by moving their replicas to fuller machines, so that
//! the drained machines can be scaled in.

use crate::controller::context::Context;
use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{allows_pool, is_schedulable, is_zone_allowed};
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Phase, Placement};
use crate::controller::store::records::{JobKind, PriorityClass, Resources};
use crate::ids::{JobId, MachineId, TaskId, Time};
use crate::wire::MachineType;
use log::info;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Maximum used fraction of a machine that may be drained.
const DRAINED_USED_FRACTION_MAX: f64 = 0.5;
/// How long each replica on a machine must have run before the machine is drained. A replica that
/// is stopped soon after its start doesn't count as started.
const REPLICA_RUN_MIN_S: f64 = 45.0;
/// Fraction of a shard's machines that one pass may drain, rounded up to at least one machine.
const DRAINED_FRACTION_MAX: f64 = 0.02;

/// A machine to drain.
struct MachineDrain {
    /// The machine.
    machine: MachineId,
    /// The replicas that run on it, all of which are stopped.
    tasks: Vec<TaskId>,
}

impl ShardOwner {
    /// Runs one consolidation pass if it is due. Cordons underused machines, and drains those of
    /// them whose replicas all fit on fuller machines that have their images cached.
    ///
    /// Services never end by themselves, so without consolidation a fleet would not shrink.
    pub(crate) fn consolidate(&mut self, context: &mut Context) {
        let now = context.now;
        if context.is_stale() || now < self.next_consolidation_at {
            return;
        }
        self.next_consolidation_at = now.after(context.settings.tuning.tick_s);
        let underused = self.cordon_underused_machines(context);
        for MachineDrain { machine, tasks } in self.select_drains(context, &underused) {
            info!(
                "machine emptied, machine={machine} tasks={} reason=its tasks fit elsewhere",
                tasks.len()
            );
            for task in tasks {
                self.stop_task(context, &task);
            }
        }
    }

    /// Cordons the underused machines, and uncordons all others except drained machines. Returns
    /// the underused machines.
    fn cordon_underused_machines(&mut self, context: &Context) -> BTreeSet<MachineId> {
        // While urgent jobs wait for room and during a mass partition, no machine is cordoned, and
        // all cordoned machines are uncordoned.
        let is_urgent = |id: &JobId| {
            let job_state = self.jobs.get(id);
            job_state.is_some_and(|job| job.record.priority_class > PriorityClass::Normal)
        };
        let may_cordon =
            !self.is_mass_partition && !self.jobs_with_queued_tasks.iter().any(is_urgent);
        let underused = if may_cordon {
            let headroom_std_devs = context.settings.tuning.headroom_std_devs;
            find_underused_machines(self, &context.cloud.catalog, headroom_std_devs, context.now)
        } else {
            BTreeSet::new()
        };
        // A drained machine stays cordoned. Uncordoned, it received the replicas of the next
        // machine to be drained, which then received them back, in an endless loop.
        let is_drained =
            |machine: &Machine| may_cordon && machine.is_cordoned && machine.tasks.is_empty();
        let cordon_changes = |(id, machine): &(&MachineId, &Machine)| {
            machine.is_cordoned != (underused.contains(*id) || is_drained(machine))
        };
        let changed = self.machines.iter().filter(cordon_changes);
        let changed: Vec<MachineId> = changed.map(|(id, _)| id.clone()).collect();
        for id in changed {
            let toggle = |machine: &mut Machine| machine.is_cordoned = !machine.is_cordoned;
            self.machines.edit(&id, toggle);
        }
        underused
    }

    /// Selects the machines to drain in this pass, up to `DRAINED_FRACTION_MAX` of the shard's
    /// machines. Draining one machine at a time was too slow for a shrinking fleet of hundreds.
    fn select_drains(
        &self,
        context: &Context,
        underused: &BTreeSet<MachineId>,
    ) -> Vec<MachineDrain> {
        let drains_max = (self.machines.len() as f64 * DRAINED_FRACTION_MAX).ceil() as usize;
        let (mut reserved, mut drains) = (ReservedRoom::new(), Vec::new());
        let mut critical_drains = 0;
        for id in underused {
            let Some(machine) = self.machines.get(id).filter(|_| drains.len() < drains_max) else {
                break;
            };
            // Only one machine with critical services is drained per pass.
            let bindings = machine.tasks.values();
            let highest_class = bindings.map(|binding| binding.record.priority_class).max();
            let is_critical = highest_class == Some(PriorityClass::Critical);
            if is_critical && critical_drains > 0 {
                continue;
            }
            let tasks: Vec<TaskId> = machine.tasks.keys().cloned().collect();
            let reserved_with_tasks = reserve_room_elsewhere(self, context, id, &tasks, &reserved);
            if let Some(reserved_with_tasks) = reserved_with_tasks.filter(|_| !tasks.is_empty()) {
                reserved = reserved_with_tasks;
                critical_drains += usize::from(is_critical);
                let machine = id.clone();
                drains.push(MachineDrain { machine, tasks });
            }
        }
        drains
    }
}

/// Returns the least used machines of each pool whose tasks would fit into the room that is free on
/// the pool's other machines, beside the room kept for urgent starts.
///
/// These machines get new tasks only if no other machine has room. Their batch tasks are left to
/// finish.
fn find_underused_machines(
    shard: &ShardOwner,
    catalog: &[MachineType],
    headroom_std_devs: f64,
    now: Time,
) -> BTreeSet<MachineId> {
    let mut pools: BTreeMap<Pool, Vec<(f64, &MachineId)>> = BTreeMap::new();
    for (id, machine) in shard.machines.iter() {
        let is_staying = machine.ready_since.is_some()
            && machine.decommission_at.is_none()
            && machine.preemption_at.is_none();
        if let Some(pool) = machine
            .pool()
            .filter(|_| is_staying && !machine.tasks.is_empty())
            && let Some(machine_type) = pool.type_in(catalog)
        {
            let used_fraction = machine.used.share_of(machine_type.resources);
            pools.entry(pool).or_default().push((used_fraction, id));
        }
    }
    let mut underused = BTreeSet::new();
    for (pool, mut machines) in pools {
        machines.sort_by(|(fraction_a, _), (fraction_b, _)| fraction_a.total_cmp(fraction_b));
        let reserved_room = shard.headroom_machines(pool, catalog, headroom_std_devs, now);
        let mut free_machines: f64 = machines
            .iter()
            .map(|(used_fraction, _)| 1.0 - used_fraction)
            .sum();
        for (used_fraction, id) in machines {
            // Draining a machine removes its free room, and its used room is needed elsewhere. Both
            // add up to one machine.
            free_machines -= 1.0;
            if used_fraction > DRAINED_USED_FRACTION_MAX || free_machines < reserved_room {
                break;
            }
            underused.insert(id.clone());
        }
    }
    underused
}

/// Room reserved on each machine for the replicas that this pass moves.
type ReservedRoom = BTreeMap<MachineId, Resources>;

/// Reserves room on other machines for all tasks of the machine `from`, in addition to `reserved`.
/// Returns all reservations, or `None` if a task can't be moved.
fn reserve_room_elsewhere(
    shard: &ShardOwner,
    context: &Context,
    from: &MachineId,
    tasks: &[TaskId],
    reserved: &ReservedRoom,
) -> Option<ReservedRoom> {
    let mut reserved = reserved.clone();
    for task in tasks {
        let job_state = shard.jobs.get(&task.job)?;
        let placement = job_state.placed.get(&task.index)?;
        let has_run_long = placement.phase == Phase::Running
            && context.now.since(placement.phase_since) > REPLICA_RUN_MIN_S;
        let is_service = job_state.record.kind == JobKind::Service;
        if !is_service || placement.stop_requested.is_some() || !has_run_long {
            return None;
        }
        let target = find_fullest_target(shard, context, from, job_state, placement, &reserved)?;
        let room = reserved.entry(target.clone()).or_default();
        room.add(job_state.record.resources, 1.0);
    }
    Some(reserved)
}

/// Returns the machine that would have the least room left after the replica moves there, among
/// schedulable machines with tasks and with the replica's image.
fn find_fullest_target<'a>(
    shard: &'a ShardOwner,
    context: &Context,
    from: &MachineId,
    job_state: &JobState,
    placement: &Placement,
    reserved: &ReservedRoom,
) -> Option<&'a MachineId> {
    let record = &job_state.record;
    let mut fullest: Option<(f64, &MachineId)> = None;
    let fits = |pool: Pool, _: &Rc<str>| allows_pool(record, &context.cloud.catalog, pool);
    for (id, machine) in shard.machines.with_free_capacity(record.resources, fits) {
        let mut free = machine.free();
        free.add(reserved.get(id).copied().unwrap_or_default(), -1.0);
        // In its own zone the replica replaces itself, so zone constraints still hold.
        let is_zone_suitable =
            machine.zone == placement.zone || is_zone_allowed(job_state, &machine.zone);
        let is_target = id != from
            && !machine.tasks.is_empty()
            && !machine.is_cordoned
            && free.holds(record.resources)
            && machine.has_image(&record.image)
            && is_schedulable(machine, &context.settings, context.now)
            && shard.failures.may_run_tasks(id, context.now)
            && is_zone_suitable;
        let room_left = free.share_of(machine.resources);
        if is_target && fullest.is_none_or(|(least_room_left, _)| room_left < least_room_left) {
            fullest = Some((room_left, id));
        }
    }
    fullest.map(|(_, id)| id)
}
