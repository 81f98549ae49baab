//! Consolidation: moves the replicas of little used machines to fuller ones, so that the former can
//! be scaled in.

use crate::controller::context::Context;
use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{suits, usable, zone_allowed};
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Phase, Placement};
use crate::controller::store::records::{JobKind, PriorityClass, Resources};
use crate::ids::{JobId, MachineId, TaskId, Time};
use crate::wire::MachineType;
use log::info;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A machine used no more than this may be emptied.
const EMPTIED_USE_MAX: f64 = 0.5;
/// How long its replicas must have run: starts that are stopped soon after don't count as such.
const RUNNING_MIN_S: f64 = 45.0;
/// Share of a shard's machines that one turn may empty, and one machine at least.
const EMPTIED_SHARE: f64 = 0.02;

/// The replicas of one machine, to be stopped there.
struct Move {
    /// The machine.
    machine: MachineId,
    /// Its tasks.
    tasks: Vec<TaskId>,
}

impl ShardOwner {
    /// Moves the replicas of little used machines to fuller ones that have their images, so that
    /// the former can be scaled in: services never end by themselves, so that a fleet would not
    /// shrink otherwise.
    pub(crate) fn consolidate(&mut self, context: &mut Context) {
        let now = context.now;
        if context.is_stale() || now < self.next_consolidation_at {
            return;
        }
        self.next_consolidation_at = now.after(context.settings.tuning.tick_s);
        let cordoned = self.cordon_spare_machines(context);
        for Move { machine, tasks } in self.possible_moves(context, &cordoned) {
            info!(
                "machine emptied, machine={machine} tasks={} reason=its tasks fit elsewhere",
                tasks.len()
            );
            for task in tasks {
                self.stop_task(context, &task);
            }
        }
    }

    /// Cordons the machines whose work would fit on others, and uncordons the rest except emptied
    /// ones.
    fn cordon_spare_machines(&mut self, context: &Context) -> BTreeSet<MachineId> {
        // While urgent work waits for room, no machine is given up.
        let urgent = |id: &JobId| {
            let job_state = self.jobs.get(id);
            job_state.is_some_and(|job| job.record.priority_class > PriorityClass::Normal)
        };
        let room_to_spare =
            !self.is_mass_partition && !self.jobs_with_queued_tasks.iter().any(urgent);
        let spare = if room_to_spare {
            let headroom = context.settings.tuning.headroom;
            spare_machines(self, &context.cloud.catalog, headroom, context.now)
        } else {
            BTreeSet::new()
        };
        // One that has been emptied stays cordoned: uncordoned, it drew the replicas of the next
        // one to be emptied, which then drew them back, without end.
        let emptied =
            |machine: &Machine| room_to_spare && machine.is_cordoned && machine.tasks.is_empty();
        let changes = |(id, machine): &(&MachineId, &Machine)| {
            machine.is_cordoned != (spare.contains(*id) || emptied(machine))
        };
        let changed = self.machines.iter().filter(changes);
        let changed: Vec<MachineId> = changed.map(|(id, _)| id.clone()).collect();
        for id in changed {
            let toggle = |machine: &mut Machine| machine.is_cordoned = !machine.is_cordoned;
            self.machines.edit(&id, toggle);
        }
        spare
    }

    /// The machines that can be emptied now. One at a time never caught up with a fleet of hundreds
    /// that shrinks.
    fn possible_moves(&self, context: &Context, spare: &BTreeSet<MachineId>) -> Vec<Move> {
        let moves_max = (self.machines.len() as f64 * EMPTIED_SHARE).ceil() as usize;
        let (mut reserved, mut moves) = (ReservedRoom::new(), Vec::new());
        let mut critical_moves = 0;
        for id in spare {
            let Some(machine) = self.machines.get(id).filter(|_| moves.len() < moves_max) else {
                break;
            };
            // Critical services are moved from one machine at a time.
            let bindings = machine.tasks.values();
            let highest = bindings.map(|binding| binding.record.priority_class).max();
            let critical = highest == Some(PriorityClass::Critical);
            if critical && critical_moves > 0 {
                continue;
            }
            let tasks: Vec<TaskId> = machine.tasks.keys().cloned().collect();
            let with_tasks = reserve_elsewhere(self, context, id, &tasks, &reserved);
            if let Some(with_tasks) = with_tasks.filter(|_| !tasks.is_empty()) {
                reserved = with_tasks;
                critical_moves += usize::from(critical);
                let machine = id.clone();
                moves.push(Move { machine, tasks });
            }
        }
        moves
    }
}

/// The least used machines of each pool whose work would fit into the room that is
/// free on the others, beside the room kept for urgent starts. They get nothing new
/// while there is another place for it; their batch tasks end by themselves.
fn spare_machines(
    shard: &ShardOwner,
    catalog: &[MachineType],
    headroom: f64,
    now: Time,
) -> BTreeSet<MachineId> {
    let mut pools: BTreeMap<Pool, Vec<(f64, &MachineId)>> = BTreeMap::new();
    for (id, machine) in shard.machines.iter() {
        let stays = machine.ready_since.is_some()
            && machine.decommission_at.is_none()
            && machine.preemption_at.is_none();
        if let Some(pool) = machine
            .pool()
            .filter(|_| stays && !machine.tasks.is_empty())
            && let Some(machine_type) = pool.type_in(catalog)
        {
            let used_share = machine.used.share_of(machine_type.resources);
            pools.entry(pool).or_default().push((used_share, id));
        }
    }
    let mut spare = BTreeSet::new();
    for (pool, mut machines) in pools {
        machines.sort_by(|(share_a, _), (share_b, _)| share_a.total_cmp(share_b));
        let kept_room = shard.headroom_machines(pool, catalog, headroom, now);
        let mut free: f64 = machines
            .iter()
            .map(|(used_share, _)| 1.0 - used_share)
            .sum();
        for (used_share, id) in machines {
            // Its own room is lost, and its work needs room on the others.
            free -= 1.0;
            if used_share > EMPTIED_USE_MAX || free < kept_room {
                break;
            }
            spare.insert(id.clone());
        }
    }
    spare
}

/// Room on other machines that this turn's moves will use.
type ReservedRoom = BTreeMap<MachineId, Resources>;

/// Reserves room elsewhere for all of a machine's tasks, beside what other moves have reserved;
/// `None` if one of them can't be moved.
fn reserve_elsewhere(
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
        let ran_long = placement.phase == Phase::Running
            && context.now.since(placement.phase_since) > RUNNING_MIN_S;
        let is_service = job_state.record.kind == JobKind::Service;
        if !is_service || placement.stop_requested.is_some() || !ran_long {
            return None;
        }
        let target = fullest_target(shard, context, from, job_state, placement, &reserved)?;
        let room = reserved.entry(target.clone()).or_default();
        room.add(job_state.record.resources, 1.0);
    }
    Some(reserved)
}

/// The machine in use with the least room left for a replica that would move there.
fn fullest_target<'a>(
    shard: &'a ShardOwner,
    context: &Context,
    from: &MachineId,
    job_state: &JobState,
    placement: &Placement,
    reserved: &ReservedRoom,
) -> Option<&'a MachineId> {
    let record = &job_state.record;
    let mut fullest: Option<(f64, &MachineId)> = None;
    let fits = |pool: Pool, _: &Rc<str>| suits(record, &context.cloud.catalog, pool);
    for (id, machine) in shard.machines.with_free_capacity(record.resources, fits) {
        let mut free = machine.free();
        free.add(reserved.get(id).copied().unwrap_or_default(), -1.0);
        // Within its zone it takes the place of itself.
        let zone_fits = machine.zone == placement.zone || zone_allowed(job_state, &machine.zone);
        let possible = id != from
            && !machine.tasks.is_empty()
            && !machine.is_cordoned
            && free.holds(record.resources)
            && machine.has_image(&record.image)
            && usable(machine, &context.settings, context.now)
            && shard.failures.may_run_tasks(id, context.now)
            && zone_fits;
        let left = free.share_of(machine.resources);
        if possible && fullest.is_none_or(|(least, _)| left < least) {
            fullest = Some((left, id));
        }
    }
    fullest.map(|(_, id)| id)
}
