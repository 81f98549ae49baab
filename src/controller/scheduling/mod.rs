//! Scheduling: binds queued tasks to machines as soon as they are queued, where the shard has room.
//!
//! [`scoring`] computes what a machine costs a task, [`constraints`] whether its team and its job
//! allow it there, [`preemption`] which tasks are stopped for it, and [`consolidation`] empties
//! machines that are little used.

pub(crate) mod consolidation;
pub(crate) mod constraints;
pub(crate) mod preemption;
pub(crate) mod scoring;

use crate::controller::context::Context;
use crate::controller::scheduling::constraints::{
    teams_over_guarantee, within_guarantee, within_limit,
};
use crate::controller::scheduling::preemption::cheapest_victims;
use crate::controller::scheduling::scoring::{
    Candidate, PlacementContext, ScoreInputs, best_candidate, expected_s, fetch_s,
};
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Placement};
use crate::controller::store::records::{JobRecord, PriorityClass};
use crate::ids::{JobId, MachineId, TaskId, Time};
use log::{debug, info};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

/// Shortest interval between two scheduling cycles.
const CYCLE_INTERVAL_MIN_MS: u64 = 15;
/// Longest interval between two scheduling cycles while tasks are queued.
const CYCLE_INTERVAL_MAX_S: f64 = 0.5;
/// How long a job waits for the room of tasks that were preempted for it before more are.
const PREEMPTION_WAIT_S: f64 = 6.0;
/// Most tasks bound in one cycle, so that a large array doesn't delay everything else.
const CYCLE_TASKS_MAX: usize = 64;

/// Most tasks preempted at once for one job.
const VICTIMS_MAX: u32 = 8;
/// Running tasks that count as one step in the order of jobs.
const RUNNING_TASKS_PER_STEP: u32 = 8;

/// A queued job's place in the queue. Lower comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// Higher classes first.
    priority_class: Reverse<PriorityClass>,
    /// Whether its team would use more than its guaranteed quota.
    beyond_guarantee: bool,
    /// Jobs with few running tasks go first, so that neither a mass of tasks nor a large array
    /// delays the others.
    running_steps: u32,
    /// Earlier jobs first.
    arrival: u64,
    /// The job.
    job: JobId,
}

/// The outcome of binding a job's next task.
enum BindOutcome {
    /// It is bound.
    Bound,
    /// No task of it is queued, or none may start now.
    NothingToBind,
    /// No machine has room for it.
    NoMachine,
}

impl ShardOwner {
    /// Runs a scheduling cycle if one is due: binds queued tasks to machines. Those that find no
    /// room are counted by the autoscaler.
    pub(crate) fn schedule(&mut self, context: &mut Context) {
        if !self.scheduling_due(context) {
            return;
        }
        self.next_cycle_at = Time(context.now.0 + CYCLE_INTERVAL_MIN_MS);
        self.needs_scheduling = false;
        let queue = self.queue_order(context);
        if queue.is_empty() {
            return;
        }
        let mut cycle = SchedulingCycle::new(self, context);
        let mut unplaced = Vec::new();
        for position in queue {
            if self.schedule_job(context, &position.job, &mut cycle) {
                unplaced.push(position.job);
            }
        }
        context.machines_scanned += cycle.machines_scanned;
        context.placed += cycle.placed;
        if cycle.tasks_left == 0 {
            self.needs_scheduling = true;
        }
        for job in unplaced {
            self.preempt_for(context, &job, &mut cycle);
        }
    }

    /// Whether a cycle is wanted and possible now.
    fn scheduling_due(&self, context: &Context) -> bool {
        let now = context.now;
        // Pauses of failing jobs, of machines and of batch work end without any event.
        let due = now.since(self.next_cycle_at) > CYCLE_INTERVAL_MAX_S
            && !self.jobs_with_queued_tasks.is_empty();
        let wanted = self.needs_scheduling || due;
        wanted
            && !context.is_stale()
            && !context.cloud.catalog.is_empty()
            && now >= self.next_cycle_at
    }

    /// The jobs with queued tasks, in the order in which they are served.
    fn queue_order(&mut self, context: &Context) -> Vec<QueuePosition> {
        let jobs = &self.jobs;
        self.jobs_with_queued_tasks
            .retain(|id| jobs.get(id).is_some_and(|job_state| job_state.queued() > 0));
        let mut queue = Vec::new();
        for id in &self.jobs_with_queued_tasks {
            let job_state = &self.jobs[id];
            if context.now >= job_state.not_before && !job_state.is_finishing {
                queue.push(QueuePosition {
                    priority_class: Reverse(job_state.record.priority_class),
                    beyond_guarantee: !within_guarantee(self, &context.settings, job_state),
                    running_steps: job_state.placed.len() as u32 / RUNNING_TASKS_PER_STEP,
                    arrival: job_state.arrival,
                    job: id.clone(),
                });
            }
        }
        queue.sort();
        queue
    }

    /// Binds a job's queued tasks; true if one found no machine.
    fn schedule_job(&mut self, context: &Context, id: &JobId, cycle: &mut SchedulingCycle) -> bool {
        let Some(record) = self.jobs.get(id).map(|job_state| job_state.record.clone()) else {
            return false;
        };
        if cycle
            .failed
            .iter()
            .any(|failed| same_demand(failed, &record))
        {
            return true;
        }
        let placement = PlacementContext {
            settings: &context.settings,
            catalog: &context.cloud.catalog,
            expected_s: expected_s(&context.settings, &record.class),
            now: context.now,
        };
        let mut candidates = None;
        while cycle.tasks_left > 0 {
            match self.bind_next_task(&placement, id, &record, &mut candidates, cycle) {
                BindOutcome::Bound => {}
                BindOutcome::NothingToBind => return false,
                BindOutcome::NoMachine => {
                    if !record.zone_affinity && !record.zone_spread {
                        cycle.failed.push(record);
                    }
                    return true;
                }
            }
        }
        false
    }

    /// Binds a job's next queued task to the cheapest machine. The candidates are found once for
    /// all tasks of the job.
    fn bind_next_task(
        &mut self,
        placement: &PlacementContext<'_>,
        id: &JobId,
        record: &JobRecord,
        candidates: &mut Option<BinaryHeap<Candidate>>,
        cycle: &mut SchedulingCycle,
    ) -> BindOutcome {
        let Some(index) = self.next_to_bind(placement, id, record) else {
            return BindOutcome::NothingToBind;
        };
        let candidates = candidates.get_or_insert_with(|| {
            let found = placement.candidates(self, id, &cycle.scores);
            cycle.machines_scanned += found.machines_scanned;
            found.heap
        });
        let Some(machine_id) = best_candidate(self, &self.jobs[id], candidates) else {
            return BindOutcome::NoMachine;
        };
        cycle.tasks_left -= 1;
        cycle.placed += 1;
        if !self.bind(placement, id, index, record, &machine_id) {
            return BindOutcome::NoMachine;
        }
        // Only this machine's cost has changed.
        let machine = self.machines.get(&machine_id);
        let cost = machine.and_then(|machine| {
            placement.cost_of(
                self,
                (id, &self.jobs[id]),
                (&machine_id, machine),
                &cycle.scores,
            )
        });
        candidates.extend(cost.map(|cost| Candidate {
            cost,
            machine: machine_id,
        }));
        BindOutcome::Bound
    }

    /// The index of a job's next queued task, if it may start now.
    fn next_to_bind(
        &mut self,
        placement: &PlacementContext<'_>,
        id: &JobId,
        record: &JobRecord,
    ) -> Option<u32> {
        if !within_limit(self, placement.settings, record) {
            return None;
        }
        let index = self.jobs.get_mut(id).and_then(JobState::next_queued)?;
        // All tasks of a crash-looping job at once took room on every machine at each attempt.
        let held_back =
            self.failures.runs_one_task_at_a_time(id) && self.jobs[id].has_unproven_task();
        (!held_back).then_some(index)
    }

    /// Binds a task to a machine and has its placement written; false if there is no such machine.
    fn bind(
        &mut self,
        placement: &PlacementContext<'_>,
        id: &JobId,
        index: u32,
        record: &JobRecord,
        machine_id: &MachineId,
    ) -> bool {
        let attempt = self.next_attempt();
        let Some(machine) = self.machines.get(machine_id) else {
            return false;
        };
        let machine_type = machine.type_in(placement.catalog);
        let image_fetch_s = machine_type.map_or(0.0, |found| fetch_s(record, found, machine));
        debug!(
            "task scheduled, task={id}/{index} machine={machine_id} \
             image_fetch_s={image_fetch_s:.1}"
        );
        let zone = machine.zone.clone();
        let bound = Placement::new(machine_id.clone(), zone, attempt, placement.now);
        self.add_placement(id, index, bound);
        self.write_placement(id, index);
        true
    }

    /// Preempts tasks of a lower priority class where a job that found no machine fits then.
    fn preempt_for(&mut self, context: &mut Context, id: &JobId, cycle: &mut SchedulingCycle) {
        let now = context.now;
        let Some(job_state) = self.jobs.get(id) else {
            return;
        };
        let record = &job_state.record;
        let guaranteed = self.is_owed_its_guarantee(context, job_state);
        let may_preempt = record.priority_class > PriorityClass::Normal || guaranteed;
        if !may_preempt || now < job_state.preempting_until {
            return;
        }
        let same = |failed: &Rc<JobRecord>| {
            same_demand(failed, record) && failed.priority_class >= record.priority_class
        };
        if !guaranteed && cycle.without_victims.iter().any(same) {
            return;
        }
        // Teams beyond their guaranteed quota yield to one that lacks its own.
        let teams_over = if guaranteed {
            teams_over_guarantee(self, &context.settings, &record.team)
        } else {
            Vec::new()
        };
        let tasks_max = job_state.queued().min(VICTIMS_MAX) as usize;
        let catalog = &context.cloud.catalog;
        let victims = cheapest_victims(self, catalog, job_state, now, tasks_max, &teams_over);
        context.machines_scanned += victims.machines_scanned;
        let counts_for_all = !guaranteed && !job_state.inherits_priority_class();
        let anywhere = !record.zone_affinity && !record.zone_spread;
        if victims.tasks.is_empty() && counts_for_all && anywhere {
            cycle.without_victims.push(record.clone());
        }
        self.preempt(context, id, &victims.tasks);
    }

    /// Whether a job within its team's guarantee has waited for longer than machines take to boot.
    /// Work of the same class is stopped only then: scaling out didn't help, and it may lose all it
    /// has done.
    fn is_owed_its_guarantee(&self, context: &Context, job_state: &JobState) -> bool {
        let boots = context.cloud.catalog.iter().map(|found| found.ready_s);
        let waited = context.now.since(job_state.waiting_since) > boots.fold(0.0, f64::max);
        waited && within_guarantee(self, &context.settings, job_state)
    }

    /// Stops tasks for a job, and lets it wait for their room.
    fn preempt(&mut self, context: &mut Context, id: &JobId, victims: &[TaskId]) {
        // Room of tasks that were never sent is free at once.
        let pause_s = if victims.iter().all(|task| self.was_never_sent(task)) {
            CYCLE_INTERVAL_MAX_S
        } else {
            PREEMPTION_WAIT_S
        };
        if let Some(job_state) = self.jobs.get_mut(id) {
            job_state.preempting_until = context.now.after(pause_s);
        }
        for task in victims {
            info!("task preempted, task={task} for_job={id}");
            self.stop_task(context, task);
        }
    }
}

/// The state of one scheduling cycle.
struct SchedulingCycle {
    /// What scores depend on.
    scores: ScoreInputs,
    /// Tasks that may still be bound.
    tasks_left: usize,
    /// Demands that found no machine: others like them won't either.
    failed: Vec<Rc<JobRecord>>,
    /// Demands for which nothing of a lower class could be stopped.
    without_victims: Vec<Rc<JobRecord>>,
    /// Machines that were looked at.
    machines_scanned: u64,
    /// Tasks that were bound.
    placed: u64,
}

impl SchedulingCycle {
    /// Begins a cycle.
    fn new(shard: &ShardOwner, context: &Context) -> Self {
        let catalog = &context.cloud.catalog;
        Self {
            scores: ScoreInputs::new(shard, catalog, &context.settings, context.now),
            tasks_left: CYCLE_TASKS_MAX,
            failed: Vec::new(),
            without_victims: Vec::new(),
            machines_scanned: 0,
            placed: 0,
        }
    }
}

/// Whether two jobs' tasks find room on the same machines.
fn same_demand(a: &JobRecord, b: &JobRecord) -> bool {
    a.resources == b.resources
        && a.spot == b.spot
        && a.zone == b.zone
        && a.types == b.types
        && !b.zone_affinity
        && !b.zone_spread
}
