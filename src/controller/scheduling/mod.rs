//! Where tasks go: as soon as they come, wherever the shard has room for them.
//!
//! `scoring` says what a machine costs a task, `quota` whether its team and its job allow it there,
//! `preemption` whom it displaces, and `consolidation` empties machines that are little used.

pub(crate) mod consolidation;
pub(crate) mod constraints;
pub(crate) mod preemption;
pub(crate) mod scoring;

use crate::controller::context::Context;
use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::scheduling::constraints::{
    teams_over_guarantee, within_guarantee, within_limit,
};
use crate::controller::scheduling::preemption::cheapest_victims;
use crate::controller::scheduling::scoring::{
    Candidate, ImageWorths, PlacementContext, best_candidate, expected_s, fetch_s, ready_images,
};
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Placement};
use crate::controller::store::records::{JobRecord, PriorityClass};
use crate::ids::{JobId, TaskId, Time};
use crate::settings::Settings;
use crate::wire::MachineType;
use log::{debug, info};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

/// Shortest pause between two rounds of placing.
const PLACE_GAP_MS: u64 = 15;
/// Queued tasks are looked at least this often.
const PLACE_EVERY_S: f64 = 0.5;
/// A machine that hasn't reported for this many heartbeat intervals gets no tasks.
const FRESH_REPORTS: f64 = 3.5;
/// How long room made by stopping others is waited for before more is made.
const PREEMPT_S: f64 = 6.0;
/// Most tasks placed in one round, so that a swarm doesn't hold up everything else.
const CYCLE_TASKS_MAX: usize = 64;

/// Most tasks stopped at once for one job.
const VICTIMS_MAX: u32 = 8;
/// Running tasks that count as one step in the order of jobs.
const RUNNING_STEP: u32 = 8;

/// Where a queued job stands. Lower comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority_class: Reverse<PriorityClass>,
    /// Whether its team would use more than it is guaranteed.
    beyond_guarantee: bool,
    /// Jobs with few tasks running go first: neither a swarm nor a large array keeps the others
    /// waiting.
    running_steps: u32,
    arrival: u64,
    job: JobId,
}

/// What came of the try to bind a job's next task.
enum BindOutcome {
    Bound,
    /// No task of it is queued, or none may start now.
    NothingToBind,
    NoMachine,
}

impl ShardOwner {
    /// Binds queued tasks to machines. Those that find no room are counted by the autoscaler.
    pub(crate) fn schedule(&mut self, context: &mut Context) {
        if !self.scheduling_due(context) {
            return;
        }
        self.schedule_at = Time(context.now.0 + PLACE_GAP_MS);
        self.scheduling_wanted = false;
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
            self.scheduling_wanted = true;
        }
        for job in unplaced {
            self.preempt_for(context, &job, &mut cycle);
        }
    }

    fn scheduling_due(&self, context: &Context) -> bool {
        let now = context.now;
        // Pauses of failing jobs, of machines and of batch work end without any event.
        let due = now.since(self.schedule_at) > PLACE_EVERY_S && !self.waiting.is_empty();
        let wanted = self.scheduling_wanted || due;
        wanted
            && !context.is_stale()
            && !context.cloud.catalog.is_empty()
            && now >= self.schedule_at
    }

    /// The jobs with queued tasks, those that are served first before the others.
    fn queue_order(&mut self, context: &Context) -> Vec<QueuePosition> {
        let jobs = &self.jobs;
        self.waiting
            .retain(|id| jobs.get(id).is_some_and(|job_state| job_state.queued() > 0));
        let mut queue = Vec::new();
        for id in &self.waiting {
            let job_state = &self.jobs[id];
            if context.now >= job_state.not_before && !job_state.finishing {
                queue.push(QueuePosition {
                    priority_class: Reverse(job_state.record.priority_class),
                    beyond_guarantee: !within_guarantee(self, &context.settings, job_state),
                    running_steps: job_state.placed.len() as u32 / RUNNING_STEP,
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
            expected: expected_s(&context.settings, &record.class),
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
        if !within_limit(self, placement.settings, record) {
            return BindOutcome::NothingToBind;
        }
        let next_queued = self.jobs.get_mut(id).and_then(JobState::next_queued);
        let Some(index) = next_queued else {
            return BindOutcome::NothingToBind;
        };
        let job_state = &self.jobs[id];
        // All tasks of a crash-looping job at once took room on every machine at each try.
        if self.failures.on_probation(id) && job_state.trying() {
            return BindOutcome::NothingToBind;
        }
        let candidates = candidates.get_or_insert_with(|| {
            let (candidates, machines_scanned) = placement.candidates(self, id, cycle);
            cycle.machines_scanned += machines_scanned;
            candidates
        });
        let Some(machine_id) = best_candidate(self, job_state, candidates) else {
            return BindOutcome::NoMachine;
        };
        cycle.tasks_left -= 1;
        cycle.placed += 1;
        let attempt = self.next_attempt();
        let Some(machine) = self.machines.get(&machine_id) else {
            return BindOutcome::NoMachine;
        };
        let machine_type = machine.type_in(placement.catalog);
        let image_fetch_s = machine_type.map_or(0.0, |found| fetch_s(record, found, machine));
        debug!(
            "task scheduled, task={id}/{index} machine={machine_id} \
             image_fetch_s={image_fetch_s:.1}"
        );
        let bound = Placement::new(
            machine_id.clone(),
            machine.zone.clone(),
            attempt,
            placement.now,
        );
        self.add_placement(id, index, bound);
        self.write_placement(id, index);
        // Only this machine costs something else now.
        let job_state = &self.jobs[id];
        let machine = self.machines.get(&machine_id);
        let cost = machine.and_then(|machine| {
            placement.cost_of(self, (id, job_state), (&machine_id, machine), cycle)
        });
        candidates.extend(cost.map(|cost| Candidate {
            cost,
            machine: machine_id,
        }));
        BindOutcome::Bound
    }

    /// Stops tasks of a lower priority class where that makes room for a job that found none.
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
        // Teams beyond their guarantee make room for one that lacks its own.
        let over = if guaranteed {
            teams_over_guarantee(self, &context.settings, &record.team)
        } else {
            Vec::new()
        };
        let most = job_state.queued().min(VICTIMS_MAX) as usize;
        let (victims, machines_scanned) =
            cheapest_victims(self, &context.cloud.catalog, job_state, now, most, &over);
        context.machines_scanned += machines_scanned;
        let counts_for_all = !guaranteed && !job_state.inherits_priority_class();
        let anywhere = !record.zone_affinity && !record.zone_spread;
        if victims.is_empty() && counts_for_all && anywhere {
            cycle.without_victims.push(record.clone());
        }
        self.preempt(context, id, &victims);
    }

    /// Whether a job within its team's guarantee has waited for longer than machines take to boot.
    /// Work of the same class is stopped only then: scaling out didn't help, and it may lose all it
    /// has done.
    fn is_owed_its_guarantee(&self, context: &Context, job_state: &JobState) -> bool {
        let boots = context.cloud.catalog.iter().map(|found| found.ready_s);
        let waited = context.now.since(job_state.since) > boots.fold(0.0, f64::max);
        waited && within_guarantee(self, &context.settings, job_state)
    }

    fn preempt(&mut self, context: &mut Context, id: &JobId, victims: &[TaskId]) {
        // Room of tasks that were never sent is free at once.
        let pause_s = if victims.iter().all(|task| self.was_never_sent(task)) {
            PLACE_EVERY_S
        } else {
            PREEMPT_S
        };
        if let Some(job_state) = self.jobs.get_mut(id) {
            job_state.preempting_until = context.now.after(pause_s);
        }
        for task in victims {
            info!("task preempted, task={task} for_job={id}");
            self.stop(context, task);
        }
    }
}

/// The types whose ordinary machines have no more room than is kept for urgent starts.
/// Work that may use spot machines waits for one rather than take that room.
fn full_pools(shard: &ShardOwner, catalog: &[MachineType], headroom: f64, now: Time) -> Vec<Pool> {
    let on_demand = (0..catalog.len()).map(|machine_type| Pool::of(machine_type, false));
    let full =
        |pool: &Pool| shard.machines.free(*pool) < shard.kept_room(*pool, catalog, headroom, now);
    on_demand.filter(full).collect()
}

/// What one cycle knows and has done so far.
pub(crate) struct SchedulingCycle {
    images: ImageWorths,
    /// Pools with no more room than is kept for urgent starts.
    full: Vec<Pool>,
    tasks_left: usize,
    /// Demands that found no machine: others like them won't either.
    failed: Vec<Rc<JobRecord>>,
    /// Demands for which nothing of a lower class could be stopped.
    without_victims: Vec<Rc<JobRecord>>,
    machines_scanned: u64,
    placed: u64,
}

impl SchedulingCycle {
    fn new(shard: &ShardOwner, context: &Context) -> Self {
        let (catalog, now) = (&context.cloud.catalog, context.now);
        let headroom = context.settings.tuning.headroom;
        Self {
            images: ready_images(shard, catalog, &context.settings, now),
            full: full_pools(shard, catalog, headroom, now),
            tasks_left: CYCLE_TASKS_MAX,
            failed: Vec::new(),
            without_victims: Vec::new(),
            machines_scanned: 0,
            placed: 0,
        }
    }
}

fn same_demand(a: &JobRecord, b: &JobRecord) -> bool {
    a.need == b.need
        && a.spot == b.spot
        && a.zone == b.zone
        && a.types == b.types
        && !b.zone_affinity
        && !b.zone_spread
}

/// Whether a machine takes tasks at all now.
fn usable(machine: &Machine, settings: &Settings, now: Time) -> bool {
    let quiet = settings.platform.facts.workers.report_s * FRESH_REPORTS;
    machine.ready_since.is_some()
        && machine.decommission_at.is_none()
        && machine.notice.is_none()
        && machine.agent_epoch > 0
        && (machine.long_poll.is_some() || now.since(machine.last_heartbeat) < quiet)
        && now >= machine.full_until
}
