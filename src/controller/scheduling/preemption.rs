//! Which tasks of lower priority class are stopped to make room.

use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{suits, zone_allowed};
use crate::controller::scheduling::scoring::fetch_s;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Phase};
use crate::controller::store::records::{JobRecord, PriorityClass, Resources};
use crate::ids::{TaskId, Time};
use crate::wire::MachineType;

/// The tasks to stop for up to `most` tasks of a job: the least work of lower priority class, one
/// machine for each; and how many machines were looked at.
pub(crate) fn cheapest_victims(
    shard: &ShardOwner,
    catalog: &[MachineType],
    job_state: &JobState,
    now: Time,
    most: usize,
    over: &[&str],
) -> (Vec<TaskId>, u64) {
    let priority_class = job_state.record.priority_class;
    let fits = |pool: Pool, lowest: PriorityClass| {
        let yields = lowest < priority_class || (lowest == priority_class && !over.is_empty());
        yields && suits(&job_state.record, catalog, pool)
    };
    let (mut found, mut machines_scanned) = (Vec::new(), 0);
    for (name, machine) in shard.machines.ranked(fits) {
        machines_scanned += 1;
        if !zone_allowed(job_state, &machine.zone) || !shard.failures.may_run_tasks(name, now) {
            continue;
        }
        if let Some((loss, tasks)) = victims_on(shard, job_state, machine, over) {
            let fetch_s = machine
                .type_in(catalog)
                .map_or(0.0, |t| fetch_s(&job_state.record, t, machine));
            found.push((loss + fetch_s, name, tasks));
        }
    }
    found.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    let tasks = found.into_iter().take(most).flat_map(|(_, _, tasks)| tasks);
    (tasks.collect(), machines_scanned)
}

/// Which tasks to stop on one machine, and what that throws away.
fn victims_on(
    shard: &ShardOwner,
    job_state: &JobState,
    machine: &Machine,
    over: &[&str],
) -> Option<(f64, Vec<TaskId>)> {
    let mut lower: Vec<(f64, &TaskId, Resources)> = Vec::new();
    for (t, bind) in &machine.tasks {
        let record = &bind.record;
        let below =
            record.priority_class < job_state.record.priority_class && yields_to(record, job_state);
        let owed = record.priority_class == job_state.record.priority_class
            && over.contains(&record.team.as_str());
        if !below && !owed {
            continue;
        }
        let placement = shard.jobs.get(&t.job)?.placed.get(&t.index)?;
        if placement.stop_requested.is_none() && shard.was_never_sent(t) {
            lower.push((0.0, t, record.resources));
            continue;
        }
        let started = matches!(placement.phase, Phase::Fetching | Phase::Running);
        if placement.stop_requested.is_none() && started {
            let ran = shard.last_worker_heartbeat.since(placement.since);
            let saved = record.checkpoint_s > 0.0;
            let loss = if saved { 3.0 } else { 5.0 + ran * 0.2 };
            lower.push((loss, t, record.resources));
        }
    }
    lower.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut free, mut loss, mut out) = (machine.free(), 0.0, Vec::new());
    for (cost, task, need) in lower {
        if free.holds(job_state.record.resources) {
            break;
        }
        free.add(need, 1.0);
        loss += cost;
        out.push(task.clone());
    }
    (free.holds(job_state.record.resources) && !out.is_empty()).then_some((loss, out))
}

/// Whether work may be stopped for a job as far as it loses by it. For a rank that a job has only
/// from those that depend on it, just work that saves its progress is, beside what the job's own rank
/// is above: arrays needed by pipelines stopped others of their class, which lost all they had
/// done, and were needed or waited themselves soon after, again and again.
fn yields_to(record: &JobRecord, job_state: &JobState) -> bool {
    !job_state.inherits_priority_class()
        || record.priority_class < job_state.own_priority_class
        || record.checkpoint_s > 0.0
}
