//! Scheduling: binds queued tasks to machines of the shard that have room for them.
//!
//! - [`scoring`] computes the cost of placing a task on a machine.
//! - [`constraints`] checks whether the team's quota and the job allow the placement.
//! - [`preemption`] selects the tasks that are stopped for a job that found no room.
//! - [`consolidation`] drains underused machines.

pub(crate) mod consolidation;
pub(crate) mod constraints;
pub(crate) mod preemption;
pub(crate) mod scoring;

use crate::controller::context::Context;
use crate::controller::scheduling::constraints::{
    is_within_guaranteed_quota, is_within_quota_limit, teams_above_guarantee,
};
use crate::controller::scheduling::preemption::select_cheapest_victims;
use crate::controller::scheduling::scoring::{
    Candidate, PlacementContext, ScoreInputs, estimate_image_fetch_s, pop_best_candidate,
    start_objective_s,
};
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Placement};
use crate::controller::store::records::{JobRecord, PriorityClass};
use crate::ids::{JobId, MachineId, TaskId, Time};
use log::{debug, info};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

/// Minimum interval between two scheduling cycles.
const CYCLE_INTERVAL_MIN_MS: u64 = 15;
/// Maximum interval between two scheduling cycles while tasks are queued.
const CYCLE_INTERVAL_MAX_S: f64 = 0.5;
/// How long a job waits until the tasks preempted for it have freed their room. Meanwhile, no more
/// tasks are preempted for it.
const PREEMPTION_WAIT_S: f64 = 6.0;
/// Maximum number of tasks bound in one cycle, so that a job with many tasks doesn't delay other
/// work.
const CYCLE_TASKS_MAX: usize = 64;

/// Maximum number of a job's queued tasks for which other tasks are preempted at once. Each of them
/// takes the room on one machine, where several tasks may have to stop.
const PREEMPTING_TASKS_MAX: u32 = 8;
/// Number of placed tasks by which a job moves one step back in the queue.
const PLACED_TASKS_PER_STEP: u32 = 8;

/// The position of a job in the scheduling queue. Jobs with lower values come first; the fields are
/// compared in their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// Higher priority classes come first.
    priority_class: Reverse<PriorityClass>,
    /// Whether another task would exceed the guaranteed quota of the job's team.
    is_beyond_guarantee: bool,
    /// Number of placed tasks, in steps of `PLACED_TASKS_PER_STEP`. Jobs with few placed tasks
    /// come first, so that a job with many tasks doesn't delay the others.
    placed_task_steps: u32,
    /// Order of arrival: jobs accepted earlier come first.
    arrival: u64,
    /// The job.
    job: JobId,
}

/// Outcome of an attempt to bind a job's next task.
enum BindOutcome {
    /// The task is bound to a machine.
    Bound,
    /// The job has no queued task, or none that may start now.
    NothingToBind,
    /// No machine has room for the task.
    NoMachine,
}

impl ShardOwner {
    /// Runs a scheduling cycle if one is due: binds queued tasks to machines, and preempts tasks
    /// for jobs that found no room. The autoscaler counts the tasks that remain queued.
    pub(crate) fn schedule(&mut self, context: &mut Context) {
        if !self.is_scheduling_due(context) {
            return;
        }
        self.next_cycle_at = Time(context.now.0 + CYCLE_INTERVAL_MIN_MS);
        self.needs_scheduling = false;
        let queue = self.order_queue(context);
        if queue.is_empty() {
            return;
        }
        let mut cycle = SchedulingCycle::new(self, context);
        let mut unplaced_jobs = Vec::new();
        for position in queue {
            if self.schedule_job(context, &position.job, &mut cycle) {
                unplaced_jobs.push(position.job);
            }
        }
        context.machines_scanned += cycle.machines_scanned;
        context.tasks_placed += cycle.tasks_placed;
        if cycle.tasks_left == 0 {
            self.needs_scheduling = true;
        }
        for job in unplaced_jobs {
            self.preempt_for_job(context, &job, &mut cycle);
        }
    }

    /// Whether a scheduling cycle is requested or overdue, and possible now.
    fn is_scheduling_due(&self, context: &Context) -> bool {
        let now = context.now;
        // A cycle runs also without a request, since no event marks the end of the pauses of
        // failing jobs, of machines that take no tasks for now, and of jobs that wait for spot
        // machines.
        let is_overdue = now.since(self.next_cycle_at) > CYCLE_INTERVAL_MAX_S
            && !self.jobs_with_queued_tasks.is_empty();
        let is_wanted = self.needs_scheduling || is_overdue;
        is_wanted
            && !context.is_stale()
            && !context.cloud.catalog.is_empty()
            && now >= self.next_cycle_at
    }

    /// Returns the jobs with tasks that may start now, in scheduling order. Removes jobs without
    /// queued tasks from `jobs_with_queued_tasks`.
    fn order_queue(&mut self, context: &Context) -> Vec<QueuePosition> {
        let jobs = &self.jobs;
        self.jobs_with_queued_tasks
            .retain(|id| jobs.get(id).is_some_and(|job_state| job_state.queued() > 0));
        let mut queue = Vec::new();
        for id in &self.jobs_with_queued_tasks {
            let job_state = &self.jobs[id];
            if context.now >= job_state.not_before && !job_state.is_finishing {
                queue.push(QueuePosition {
                    priority_class: Reverse(job_state.record.priority_class),
                    is_beyond_guarantee: !is_within_guaranteed_quota(
                        self,
                        &context.settings,
                        job_state,
                    ),
                    placed_task_steps: job_state.placed.len() as u32 / PLACED_TASKS_PER_STEP,
                    arrival: job_state.arrival,
                    job: id.clone(),
                });
            }
        }
        queue.sort();
        queue
    }

    /// Binds a job's queued tasks, and returns whether one of them found no machine.
    fn schedule_job(&mut self, context: &Context, id: &JobId, cycle: &mut SchedulingCycle) -> bool {
        let Some(record) = self.jobs.get(id).map(|job_state| job_state.record.clone()) else {
            return false;
        };
        if cycle
            .unplaceable_jobs
            .iter()
            .any(|failed| has_same_requirements(failed, &record))
        {
            return true;
        }
        let placement_context = PlacementContext {
            settings: &context.settings,
            catalog: &context.cloud.catalog,
            start_objective_s: start_objective_s(&context.settings, &record.class),
            now: context.now,
        };
        let mut candidates = None;
        while cycle.tasks_left > 0 {
            match self.bind_next_task(&placement_context, id, &record, &mut candidates, cycle) {
                BindOutcome::Bound => {}
                BindOutcome::NothingToBind => return false,
                BindOutcome::NoMachine => {
                    if !record.zone_affinity && !record.zone_spread {
                        cycle.unplaceable_jobs.push(record);
                    }
                    return true;
                }
            }
        }
        false
    }

    /// Binds a job's next queued task to the machine with the lowest cost. `candidates` is computed
    /// for the job's first task and reused for the others.
    fn bind_next_task(
        &mut self,
        placement_context: &PlacementContext<'_>,
        id: &JobId,
        record: &JobRecord,
        candidates: &mut Option<BinaryHeap<Candidate>>,
        cycle: &mut SchedulingCycle,
    ) -> BindOutcome {
        let Some(index) = self.next_bindable_index(placement_context, id, record) else {
            return BindOutcome::NothingToBind;
        };
        let candidates = candidates.get_or_insert_with(|| {
            let found = placement_context.candidates(self, id, &cycle.score_inputs);
            cycle.machines_scanned += found.machines_scanned;
            found.heap
        });
        let Some(machine_id) = pop_best_candidate(self, &self.jobs[id], candidates) else {
            return BindOutcome::NoMachine;
        };
        cycle.tasks_left -= 1;
        cycle.tasks_placed += 1;
        if !self.bind_task(placement_context, id, index, record, &machine_id) {
            return BindOutcome::NoMachine;
        }
        // Only the cost of the machine that took the task has changed.
        let machine = self.machines.get(&machine_id);
        let cost = machine.and_then(|machine| {
            placement_context.placement_cost(
                self,
                (id, &self.jobs[id]),
                (&machine_id, machine),
                &cycle.score_inputs,
            )
        });
        candidates.extend(cost.map(|cost| Candidate {
            cost,
            machine: machine_id,
        }));
        BindOutcome::Bound
    }

    /// Returns the index of the job's next queued task, if that task may start now.
    fn next_bindable_index(
        &mut self,
        placement_context: &PlacementContext<'_>,
        id: &JobId,
        record: &JobRecord,
    ) -> Option<u32> {
        if !is_within_quota_limit(self, placement_context.settings, record) {
            return None;
        }
        let index = self.jobs.get_mut(id).and_then(JobState::next_queued)?;
        // A crash-looping job runs one task at a time. All its tasks at once took room on every
        // machine at each attempt.
        let is_held_back =
            self.failures.runs_one_task_at_a_time(id) && self.jobs[id].has_unproven_task();
        (!is_held_back).then_some(index)
    }

    /// Binds a task to a machine, and starts the write of its placement to the store. Returns false
    /// if the machine is unknown.
    fn bind_task(
        &mut self,
        placement_context: &PlacementContext<'_>,
        id: &JobId,
        index: u32,
        record: &JobRecord,
        machine_id: &MachineId,
    ) -> bool {
        let attempt = self.next_attempt();
        let Some(machine) = self.machines.get(machine_id) else {
            return false;
        };
        let machine_type = machine.type_in(placement_context.catalog);
        let image_fetch_s = machine_type.map_or(0.0, |machine_type| {
            estimate_image_fetch_s(record, machine_type, machine)
        });
        debug!(
            "task scheduled, task={id}/{index} machine={machine_id} \
             image_fetch_s={image_fetch_s:.1}"
        );
        let zone = machine.zone.clone();
        let bound = Placement::new(machine_id.clone(), zone, attempt, placement_context.now);
        self.add_placement(id, index, bound);
        self.queue_placement_write(id, index);
        true
    }

    /// Preempts tasks for a job that found no machine, where tasks of the job fit afterwards. The
    /// preempted tasks have a lower priority class, or belong to teams above their guaranteed quota
    /// if the job is entitled to its team's guaranteed quota.
    fn preempt_for_job(&mut self, context: &mut Context, id: &JobId, cycle: &mut SchedulingCycle) {
        let now = context.now;
        let Some(job_state) = self.jobs.get(id) else {
            return;
        };
        let record = &job_state.record;
        let is_entitled = self.is_entitled_to_guarantee(context, job_state);
        let may_preempt = record.priority_class > PriorityClass::Normal || is_entitled;
        if !may_preempt || now < job_state.preempting_until {
            return;
        }
        let is_covered = |failed: &Rc<JobRecord>| {
            has_same_requirements(failed, record) && failed.priority_class >= record.priority_class
        };
        if !is_entitled && cycle.jobs_without_victims.iter().any(is_covered) {
            return;
        }
        // Tasks of teams above their guaranteed quota may be preempted for a team that is still
        // within its own.
        let teams_above = if is_entitled {
            teams_above_guarantee(self, &context.settings, &record.team)
        } else {
            Vec::new()
        };
        let tasks_max = job_state.queued().min(PREEMPTING_TASKS_MAX) as usize;
        let catalog = &context.cloud.catalog;
        let victims =
            select_cheapest_victims(self, catalog, job_state, now, tasks_max, &teams_above);
        context.machines_scanned += victims.machines_scanned;
        let applies_to_similar_jobs = !is_entitled && !job_state.inherits_priority_class();
        let is_any_zone_allowed = !record.zone_affinity && !record.zone_spread;
        if victims.tasks.is_empty() && applies_to_similar_jobs && is_any_zone_allowed {
            cycle.jobs_without_victims.push(record.clone());
        }
        self.preempt(context, id, &victims.tasks);
    }

    /// Whether the job may preempt tasks of its own priority class: it is within its team's
    /// guaranteed quota, and has waited for longer than the longest boot time in the catalog.
    ///
    /// The wait shows that scaling out did not help. Before that, such preemption isn't justified,
    /// since the preempted tasks may lose all their work.
    fn is_entitled_to_guarantee(&self, context: &Context, job_state: &JobState) -> bool {
        let boot_times_s = context
            .cloud
            .catalog
            .iter()
            .map(|machine_type| machine_type.ready_s);
        let has_waited =
            context.now.since(job_state.waiting_since) > boot_times_s.fold(0.0, f64::max);
        has_waited && is_within_guaranteed_quota(self, &context.settings, job_state)
    }

    /// Stops tasks to make room for a job, and sets until when no more tasks are preempted for it.
    fn preempt(&mut self, context: &mut Context, id: &JobId, victims: &[TaskId]) {
        // Tasks whose start was never sent free their room at once.
        let wait_s = if victims.iter().all(|task| self.was_never_sent(task)) {
            CYCLE_INTERVAL_MAX_S
        } else {
            PREEMPTION_WAIT_S
        };
        if let Some(job_state) = self.jobs.get_mut(id) {
            job_state.preempting_until = context.now.after(wait_s);
        }
        for task in victims {
            info!("task preempted, task={task} for_job={id}");
            self.stop_task(context, task);
        }
    }
}

/// The state of one scheduling cycle.
struct SchedulingCycle {
    /// Inputs of the placement costs that are computed once per cycle.
    score_inputs: ScoreInputs,
    /// Number of tasks that may still be bound in this cycle.
    tasks_left: usize,
    /// Jobs that found no machine. Other jobs with the same requirements are skipped.
    unplaceable_jobs: Vec<Rc<JobRecord>>,
    /// Jobs for which no task could be preempted. Jobs with the same requirements and no higher
    /// priority class are skipped.
    jobs_without_victims: Vec<Rc<JobRecord>>,
    /// Number of machines examined.
    machines_scanned: u64,
    /// Number of tasks bound.
    tasks_placed: u64,
}

impl SchedulingCycle {
    /// Creates the state at the start of a cycle.
    fn new(shard: &ShardOwner, context: &Context) -> Self {
        let catalog = &context.cloud.catalog;
        Self {
            score_inputs: ScoreInputs::new(shard, catalog, &context.settings, context.now),
            tasks_left: CYCLE_TASKS_MAX,
            unplaceable_jobs: Vec::new(),
            jobs_without_victims: Vec::new(),
            machines_scanned: 0,
            tasks_placed: 0,
        }
    }
}

/// Whether the tasks of two jobs fit on the same machines. Jobs with zone affinity or zone spread
/// never match, because their zones depend on their other tasks.
fn has_same_requirements(a: &JobRecord, b: &JobRecord) -> bool {
    a.resources == b.resources
        && a.spot == b.spot
        && a.zone == b.zone
        && a.types == b.types
        && !b.zone_affinity
        && !b.zone_spread
}
