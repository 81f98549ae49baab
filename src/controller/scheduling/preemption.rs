//! Which tasks of a lower priority class are preempted for a job that found no room.

use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{suits, zone_allowed};
use crate::controller::scheduling::scoring::fetch_s;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Phase};
use crate::controller::store::records::{JobRecord, PriorityClass, Resources};
use crate::ids::{TaskId, Time};
use crate::wire::MachineType;

/// Loss, in seconds of work, of preempting a task that checkpoints.
const CHECKPOINTED_LOSS_S: f64 = 3.0;
/// Loss of preempting one that doesn't, beside the share of the time that it has run.
const START_LOSS_S: f64 = 5.0;
/// Share of a task's running time that counts as lost if it doesn't checkpoint.
const RUN_LOSS_SHARE: f64 = 0.2;

/// The tasks to preempt for a job.
pub(crate) struct Victims {
    /// The tasks.
    pub(crate) tasks: Vec<TaskId>,
    /// How many machines were looked at.
    pub(crate) machines_scanned: u64,
}

/// The victims on one machine.
struct MachineVictims {
    /// What stopping them throws away.
    loss_s: f64,
    /// The tasks.
    tasks: Vec<TaskId>,
}

/// A task that may be preempted.
struct Preemptible<'a> {
    /// What stopping it throws away.
    loss_s: f64,
    /// The task.
    task: &'a TaskId,
    /// The room that it frees.
    need: Resources,
}

/// The tasks to stop for up to `tasks_max` tasks of a job: the least work of lower priority class,
/// one machine for each. `teams_over` are those beyond their guaranteed quota, whose work of the
/// same class may be stopped too.
pub(crate) fn cheapest_victims(
    shard: &ShardOwner,
    catalog: &[MachineType],
    job_state: &JobState,
    now: Time,
    tasks_max: usize,
    teams_over: &[&str],
) -> Victims {
    let priority_class = job_state.record.priority_class;
    let fits = |pool: Pool, lowest: PriorityClass| {
        let yields =
            lowest < priority_class || (lowest == priority_class && !teams_over.is_empty());
        yields && suits(&job_state.record, catalog, pool)
    };
    let (mut found, mut machines_scanned) = (Vec::new(), 0);
    for (id, machine) in shard.machines.by_lowest_priority(fits) {
        machines_scanned += 1;
        if !zone_allowed(job_state, &machine.zone) || !shard.failures.may_run_tasks(id, now) {
            continue;
        }
        if let Some(victims) = victims_on(shard, job_state, machine, teams_over) {
            let machine_type = machine.type_in(catalog);
            let fetch_s = machine_type.map_or(0.0, |machine_type| {
                fetch_s(&job_state.record, machine_type, machine)
            });
            let cost_s = victims.loss_s + fetch_s;
            found.push((cost_s, (id, victims.tasks)));
        }
    }
    found.sort_by(|(cost_a, (id_a, _)), (cost_b, (id_b, _))| {
        cost_a.total_cmp(cost_b).then_with(|| id_a.cmp(id_b))
    });
    let cheapest = found.into_iter().take(tasks_max);
    Victims {
        tasks: cheapest.flat_map(|(_, (_, tasks))| tasks).collect(),
        machines_scanned,
    }
}

/// Which tasks to stop on one machine, those of the least loss first, until a task of the job fits.
fn victims_on(
    shard: &ShardOwner,
    job_state: &JobState,
    machine: &Machine,
    teams_over: &[&str],
) -> Option<MachineVictims> {
    let mut preemptible = preemptible_on(shard, job_state, machine, teams_over)?;
    preemptible.sort_by(|a, b| a.loss_s.total_cmp(&b.loss_s));
    let mut free = machine.free();
    let mut victims = MachineVictims {
        loss_s: 0.0,
        tasks: Vec::new(),
    };
    for Preemptible { loss_s, task, need } in preemptible {
        if free.holds(job_state.record.resources) {
            break;
        }
        free.add(need, 1.0);
        victims.loss_s += loss_s;
        victims.tasks.push(task.clone());
    }
    (free.holds(job_state.record.resources) && !victims.tasks.is_empty()).then_some(victims)
}

/// The tasks on one machine that may be preempted for a job.
fn preemptible_on<'a>(
    shard: &ShardOwner,
    job_state: &JobState,
    machine: &'a Machine,
    teams_over: &[&str],
) -> Option<Vec<Preemptible<'a>>> {
    let priority_class = job_state.record.priority_class;
    let mut preemptible = Vec::new();
    for (task, binding) in &machine.tasks {
        let record = &binding.record;
        let below = record.priority_class < priority_class && yields_to(record, job_state);
        let owed =
            record.priority_class == priority_class && teams_over.contains(&record.team.as_str());
        if !below && !owed {
            continue;
        }
        let placement = shard.jobs.get(&task.job)?.placed.get(&task.index)?;
        if placement.stop_requested.is_some() {
            continue;
        }
        let need = record.resources;
        if shard.was_never_sent(task) {
            let loss_s = 0.0;
            preemptible.push(Preemptible { loss_s, task, need });
        } else if matches!(placement.phase, Phase::Fetching | Phase::Running) {
            let ran_s = shard.last_worker_heartbeat.since(placement.phase_since);
            let loss_s = if record.checkpoint_s > 0.0 {
                CHECKPOINTED_LOSS_S
            } else {
                START_LOSS_S + ran_s * RUN_LOSS_SHARE
            };
            preemptible.push(Preemptible { loss_s, task, need });
        }
    }
    Some(preemptible)
}

/// Whether work may be stopped for a job as far as its loss allows it. For a priority class that a
/// job inherits from those that depend on it, only work that checkpoints may be, beside what the
/// job's own class is above: arrays needed by pipelines stopped others of their class, which lost
/// all their work, and were needed or waited themselves soon after, again and again.
fn yields_to(record: &JobRecord, job_state: &JobState) -> bool {
    !job_state.inherits_priority_class()
        || record.priority_class < job_state.submitted_priority_class
        || record.checkpoint_s > 0.0
}
