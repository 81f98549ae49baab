//! Moves the replicas of little used machines to fuller ones, so that the former go back.

use crate::controller::context::Context;
use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{suits, zone_allowed};
use crate::controller::scheduling::usable;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::Phase;
use crate::controller::store::records::{JobKind, PriorityClass, Resources};
use crate::ids::{JobId, MachineId, TaskId, Time};
use crate::settings::Settings;
use crate::wire::MachineType;
use log::info;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A machine used no more than this may be emptied, if its replicas have run for a
/// while: starts that are stopped soon after don't count for anyone.
const CLOSE_SHARE: f64 = 0.5;
const STEADY_S: f64 = 45.0;
/// Share of a fleet that one reconcile turn may empty, and one machine at least.
const MOVE_SHARE: f64 = 0.02;

/// The replicas of one machine, to be stopped there.
struct Move {
    machine: MachineId,
    tasks: Vec<TaskId>,
}

impl ShardOwner {
    /// Moves the replicas of little used machines to fuller ones that have their images, so that
    /// the former go back: what a fleet that shrinks would otherwise never do.
    pub(crate) fn consolidate(&mut self, context: &mut Context) {
        let now = context.now;
        if context.is_stale() || now < self.consolidate_at {
            return;
        }
        self.consolidate_at = now.after(context.settings.tuning.tick_s);
        let spare = self.cordon_spare_machines(context);
        for Move { machine, tasks } in self.possible_moves(context, &spare) {
            info!(
                "machine emptied, machine={machine} tasks={} reason=its tasks fit elsewhere",
                tasks.len()
            );
            for task in tasks {
                self.stop(context, &task);
            }
        }
    }

    /// Cordons the machines whose work would fit on others, and no others but emptied ones.
    fn cordon_spare_machines(&mut self, context: &Context) -> BTreeSet<MachineId> {
        // While somebody waits for room, none is given up.
        let urgent = |id: &JobId| {
            let job_state = self.jobs.get(id);
            job_state.is_some_and(|l| l.record.priority_class > PriorityClass::Normal)
        };
        let room_to_spare = !self.mass_partition && !self.waiting.iter().any(urgent);
        let spare = if room_to_spare {
            let headroom = context.settings.tuning.headroom;
            spare_machines(self, &context.cloud.catalog, headroom, context.now)
        } else {
            BTreeSet::new()
        };
        // One that has been emptied stays cordoned: opened again, it drew the replicas of the next
        // one to be emptied, which then drew them back, without end.
        let emptied = |m: &Machine| room_to_spare && m.cordoned && m.tasks.is_empty();
        let changes =
            |(id, m): &(&MachineId, &Machine)| m.cordoned != (spare.contains(*id) || emptied(m));
        let changed = self.machines.iter().filter(changes);
        let changed: Vec<MachineId> = changed.map(|(id, _)| id.clone()).collect();
        for id in changed {
            self.machines.edit(&id, |m| m.cordoned = !m.cordoned);
        }
        spare
    }

    /// The machines that can be emptied now. One at a time never caught up with a fleet of hundreds
    /// that shrinks.
    fn possible_moves(&self, context: &Context, spare: &BTreeSet<MachineId>) -> Vec<Move> {
        let most = (self.machines.len() as f64 * MOVE_SHARE).ceil() as usize;
        let (mut taken, mut moves) = (BTreeMap::new(), Vec::new());
        let mut critical_moves = 0;
        for id in spare {
            let Some(machine) = self.machines.get(id).filter(|_| moves.len() < most) else {
                break;
            };
            // What shall never be down is moved one machine at a time.
            let classes = machine
                .tasks
                .values()
                .map(|bound| bound.record.priority_class);
            let critical = classes.max() == Some(PriorityClass::Critical);
            if critical && critical_moves > 0 {
                continue;
            }
            let tasks: Vec<TaskId> = machine.tasks.keys().cloned().collect();
            let (catalog, settings) = (&context.cloud.catalog, &context.settings);
            let now_taken =
                fits_elsewhere(self, catalog, settings, context.now, id, &tasks, &taken);
            if let Some(now_taken) = now_taken.filter(|_| !tasks.is_empty()) {
                taken = now_taken;
                critical_moves += usize::from(critical);
                let machine = id.clone();
                moves.push(Move { machine, tasks });
            }
        }
        moves
    }
}

/// The least used machines of each pool whose work would fit into the room that is
/// free on the others, with the room for urgent starts kept. They get nothing new
/// while there is another place for it; their batch tasks end by themselves.
fn spare_machines(
    shard: &ShardOwner,
    catalog: &[MachineType],
    headroom: f64,
    now: Time,
) -> BTreeSet<MachineId> {
    let mut pools: BTreeMap<Pool, Vec<(f64, &MachineId)>> = BTreeMap::new();
    for (id, machine) in shard.machines.iter() {
        let here = machine.ready_since.is_some()
            && machine.decommission_at.is_none()
            && machine.notice.is_none();
        if let Some(pool) = machine.pool().filter(|_| here && !machine.tasks.is_empty())
            && let Some(machine_type) = pool.type_in(catalog)
        {
            let share = machine.used.share_of(machine_type.resources);
            pools.entry(pool).or_default().push((share, id));
        }
    }
    let mut spare = BTreeSet::new();
    for (pool, mut machines) in pools {
        machines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let keep = shard.kept_room(pool, catalog, headroom, now);
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

/// Room that moves of this reconcile turn take on other machines.
type Taken = BTreeMap<MachineId, Resources>;

/// Whether all of a machine's tasks would fit elsewhere, beside what other moves take
/// there; what is taken with them.
fn fits_elsewhere(
    shard: &ShardOwner,
    catalog: &[MachineType],
    settings: &Settings,
    now: Time,
    from: &MachineId,
    tasks: &[TaskId],
    taken: &Taken,
) -> Option<Taken> {
    let mut taken = taken.clone();
    for task in tasks {
        let job_state = shard.jobs.get(&task.job)?;
        let placement = job_state.placed.get(&task.index)?;
        let steady = placement.phase == Phase::Running && now.since(placement.since) > STEADY_S;
        if job_state.record.kind != JobKind::Service
            || placement.stop_requested.is_some()
            || !steady
        {
            return None;
        }
        let mut best: Option<(f64, &MachineId)> = None;
        let fits = |pool: Pool, _: &Rc<str>| suits(&job_state.record, catalog, pool);
        for (id, machine) in shard.machines.roomy(job_state.record.need, fits) {
            let mut free = machine.free();
            free.add(taken.get(id).copied().unwrap_or_default(), -1.0);
            // In its own zone it takes its own place.
            let zoned = machine.zone == placement.zone || zone_allowed(job_state, &machine.zone);
            let good = id != from
                && !machine.tasks.is_empty()
                && !machine.cordoned
                && free.holds(job_state.record.need)
                && machine.has_image(&job_state.record.image)
                && usable(machine, settings, now)
                && shard.failures.may_run_tasks(id, now)
                && zoned;
            let left = free.share_of(machine.resources);
            if good && best.is_none_or(|(least, _)| left < least) {
                best = Some((left, id));
            }
        }
        let (_, id) = best?;
        taken
            .entry(id.clone())
            .or_default()
            .add(job_state.record.need, 1.0);
    }
    Some(taken)
}
