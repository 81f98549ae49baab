//! Selects the tasks that are preempted for a job that found no room.

use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{allows_pool, is_zone_allowed};
use crate::controller::scheduling::scoring::estimate_image_fetch_s;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Phase};
use crate::controller::store::records::{JobRecord, PriorityClass, Resources};
use crate::ids::{TaskId, Time};
use crate::wire::MachineType;

/// Work lost by preempting a running task that checkpoints.
const CHECKPOINTED_LOSS_S: f64 = 3.0;
/// Fixed loss of preempting a running task that doesn't checkpoint, in addition to
/// `RUN_LOSS_FRACTION` of its running time.
const START_LOSS_S: f64 = 5.0;
/// Fraction of a task's running time that counts as lost if the task doesn't checkpoint.
const RUN_LOSS_FRACTION: f64 = 0.2;

/// The tasks to preempt for a job.
pub(crate) struct Victims {
    /// The tasks.
    pub(crate) tasks: Vec<TaskId>,
    /// Number of machines examined.
    pub(crate) machines_scanned: u64,
}

/// The tasks to preempt on one machine.
struct MachineVictims {
    /// Work lost by stopping all of them, in seconds.
    loss_s: f64,
    /// The tasks.
    tasks: Vec<TaskId>,
}

/// A task that may be preempted.
struct Preemptible<'a> {
    /// Work lost by stopping the task, in seconds.
    loss_s: f64,
    /// The task.
    task: &'a TaskId,
    /// The resources that stopping the task frees.
    need: Resources,
}

/// Selects the tasks to preempt for up to `tasks_max` tasks of a job. Each task of the job gets one
/// machine. Machines are chosen by the lowest cost: the work lost there plus the time to fetch the
/// job's image.
///
/// Tasks of a lower priority class may be preempted, and tasks of the same class if they belong to
/// one of `teams_above`, the teams above their guaranteed quota.
pub(crate) fn select_cheapest_victims(
    shard: &ShardOwner,
    catalog: &[MachineType],
    job_state: &JobState,
    now: Time,
    tasks_max: usize,
    teams_above: &[&str],
) -> Victims {
    let priority_class = job_state.record.priority_class;
    let fits = |pool: Pool, lowest: PriorityClass| {
        let has_preemptible_class =
            lowest < priority_class || (lowest == priority_class && !teams_above.is_empty());
        has_preemptible_class && allows_pool(&job_state.record, catalog, pool)
    };
    let (mut candidates, mut machines_scanned) = (Vec::new(), 0);
    for (id, machine) in shard.machines.by_lowest_priority(fits) {
        machines_scanned += 1;
        if !is_zone_allowed(job_state, &machine.zone) || !shard.failures.may_run_tasks(id, now) {
            continue;
        }
        if let Some(victims) = select_victims_on_machine(shard, job_state, machine, teams_above) {
            let machine_type = machine.type_in(catalog);
            let image_fetch_s = machine_type.map_or(0.0, |machine_type| {
                estimate_image_fetch_s(&job_state.record, machine_type, machine)
            });
            let cost_s = victims.loss_s + image_fetch_s;
            candidates.push((cost_s, (id, victims.tasks)));
        }
    }
    candidates.sort_by(|(cost_a, (id_a, _)), (cost_b, (id_b, _))| {
        cost_a.total_cmp(cost_b).then_with(|| id_a.cmp(id_b))
    });
    let cheapest = candidates.into_iter().take(tasks_max);
    Victims {
        tasks: cheapest.flat_map(|(_, (_, tasks))| tasks).collect(),
        machines_scanned,
    }
}

/// Selects the tasks to preempt on one machine, in order of increasing loss, until a task of the
/// job fits. Returns `None` if a task fits without preemption, or doesn't fit even after it.
fn select_victims_on_machine(
    shard: &ShardOwner,
    job_state: &JobState,
    machine: &Machine,
    teams_above: &[&str],
) -> Option<MachineVictims> {
    let mut preemptible = find_preemptible_on_machine(shard, job_state, machine, teams_above)?;
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

/// Returns the tasks on one machine that may be preempted for a job; `None` if one of them has no
/// placement in this shard.
fn find_preemptible_on_machine<'a>(
    shard: &ShardOwner,
    job_state: &JobState,
    machine: &'a Machine,
    teams_above: &[&str],
) -> Option<Vec<Preemptible<'a>>> {
    let priority_class = job_state.record.priority_class;
    let mut preemptible = Vec::new();
    for (task, binding) in &machine.tasks {
        let record = &binding.record;
        let is_preemptible_by_class =
            record.priority_class < priority_class && may_be_preempted_for(record, job_state);
        let is_team_above_guarantee =
            record.priority_class == priority_class && teams_above.contains(&record.team.as_str());
        if !is_preemptible_by_class && !is_team_above_guarantee {
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
                START_LOSS_S + ran_s * RUN_LOSS_FRACTION
            };
            preemptible.push(Preemptible { loss_s, task, need });
        }
    }
    Some(preemptible)
}

/// Whether a task of a lower priority class may be preempted for the job.
///
/// A job that inherits its priority class from the jobs that depend on it may preempt only tasks
/// below its own class and tasks that checkpoint. Without this rule, batch jobs with dependents
/// preempted other batch jobs of their own class, which lost all their work. Soon after, the
/// preempted jobs had dependents themselves or were waiting for room, so that the jobs kept
/// preempting each other.
fn may_be_preempted_for(record: &JobRecord, job_state: &JobState) -> bool {
    !job_state.inherits_priority_class()
        || record.priority_class < job_state.submitted_priority_class
        || record.checkpoint_s > 0.0
}
