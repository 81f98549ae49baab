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
use crate::controller::shard::job::{Phase, Placement};
use crate::controller::store::records::{JobRecord, PriorityClass};
use crate::ids::{JobId, Time};
use crate::settings::Settings;
use crate::wire::MachineType;
use log::debug;
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

/// Order in which queued jobs are served; lower comes first.
type QueueOrder = (std::cmp::Reverse<PriorityClass>, bool, u32, u64, JobId);

impl ShardOwner {
    /// Places queued tasks. Those that find no room are counted by the autoscaler.
    pub(crate) fn schedule(&mut self, context: &mut Context) {
        let (now, is_stale) = (context.now, context.is_stale());
        // Pauses of failing jobs, of machines and of batch work end without any event.
        let due = now.since(self.schedule_at) > PLACE_EVERY_S && !self.waiting.is_empty();
        if !(self.scheduling_wanted || due)
            || is_stale
            || context.catalog.is_empty()
            || now < self.schedule_at
        {
            return;
        }
        self.schedule_at = Time(now.0 + PLACE_GAP_MS);
        self.scheduling_wanted = false;
        let mut queue_order: Vec<QueueOrder> = Vec::new();
        self.waiting
            .retain(|id| self.jobs.get(id).is_some_and(|l| l.queued() > 0));
        for id in &self.waiting {
            let job_state = &self.jobs[id];
            if now >= job_state.not_before && !job_state.finishing {
                let over = !within_guarantee(self, &context.settings, job_state);
                // Jobs with few tasks running go first: neither a swarm nor a large
                // array keeps the others waiting.
                let running = job_state.placed.len() as u32 / 8;
                let priority_class = std::cmp::Reverse(job_state.record.priority_class);
                queue_order.push((priority_class, over, running, job_state.arrival, id.clone()));
            }
        }
        if queue_order.is_empty() {
            return;
        }
        queue_order.sort();
        let mut cycle = SchedulingCycle {
            images: ready_images(self, &context.catalog, &context.settings, now),
            full: full_pools(
                self,
                &context.catalog,
                context.settings.tuning.headroom,
                now,
            ),
            left: CYCLE_TASKS_MAX,
            failed: Vec::new(),
            without_victims: Vec::new(),
        };
        let mut unplaced = Vec::new();
        for (_, _, _, _, id) in queue_order {
            if self.schedule_job(context, &id, &mut cycle) {
                unplaced.push(id);
            }
        }
        if cycle.left == 0 {
            self.scheduling_wanted = true;
        }
        for id in unplaced {
            self.preempt_for(context, &id, &mut cycle);
        }
    }

    /// Places a job's queued tasks; true if one found no machine.
    fn schedule_job(
        &mut self,
        context: &mut Context,
        id: &JobId,
        cycle: &mut SchedulingCycle,
    ) -> bool {
        let now = context.now;
        let Some(record) = self.jobs.get(id).map(|l| l.record.clone()) else {
            return false;
        };
        if cycle.failed.iter().any(|f| same_demand(f, &record)) {
            return true;
        }
        let placement = PlacementContext {
            settings: &context.settings,
            catalog: &context.catalog,
            expected: expected_s(&context.settings, &record.class),
            now,
        };
        let mut candidates = None;
        while cycle.left > 0 {
            if !within_limit(self, &context.settings, &record) {
                return false;
            }
            let Some(job_state) = self.jobs.get_mut(id) else {
                return false;
            };
            let Some(index) = job_state.next_queued() else {
                return false;
            };
            let job_state = &self.jobs[id];
            // All tasks of a crash-looping job at once took room on every machine at each try.
            if self.failures.on_probation(id) && job_state.trying() {
                return false;
            }
            let candidates = candidates.get_or_insert_with(|| {
                let (candidates, machines_scanned) = placement.candidates(self, id, cycle);
                context.machines_scanned += machines_scanned;
                candidates
            });
            let Some(machine) = best_candidate(self, job_state, candidates) else {
                if !record.zone_affinity && !record.zone_spread {
                    cycle.failed.push(record);
                }
                return true;
            };
            cycle.left -= 1;
            context.placed += 1;
            let attempt = self.next_attempt();
            let Some(m) = self.machines.get(&machine) else {
                return true;
            };
            let fetch_s = m.type_in(&context.catalog).map(|t| fetch_s(&record, t, m));
            debug!(
                "task scheduled, task={id}/{index} machine={machine} image_fetch_s={:.1}",
                fetch_s.unwrap_or(0.0)
            );
            let bound = Placement {
                machine: machine.clone(),
                zone: m.zone.clone(),
                attempt,
                phase: Phase::Committing,
                since: now,
                stop_requested: None,
                sends: 0,
                runs_well: false,
            };
            self.add_placement(id, index, bound);
            self.write_placement(id, index);
            // Only this machine costs something else now.
            let job_state = &self.jobs[id];
            let cost = self
                .machines
                .get(&machine)
                .and_then(|m| placement.cost_of(self, (id, job_state), (&machine, m), cycle));
            candidates.extend(cost.map(|cost| Candidate { cost, machine }));
        }
        false
    }

    /// Stops tasks of lower rank where that makes room for a job that found none.
    fn preempt_for(&mut self, context: &mut Context, id: &JobId, cycle: &mut SchedulingCycle) {
        let now = context.now;
        let Some(job_state) = self.jobs.get(id) else {
            return;
        };
        // Work of the same rank is stopped only where renting didn't help: it may lose
        // all it has done.
        let boot_s = context
            .catalog
            .iter()
            .map(|c| c.ready_s)
            .fold(0.0, f64::max);
        let waited = now.since(job_state.since) > boot_s;
        let sure = waited && within_guarantee(self, &context.settings, job_state);
        if (job_state.record.priority_class <= PriorityClass::Normal && !sure)
            || now < job_state.preempting_until
        {
            return;
        }
        let same = |f: &Rc<JobRecord>| {
            same_demand(f, &job_state.record) && f.priority_class >= job_state.record.priority_class
        };
        if !sure && cycle.without_victims.iter().any(same) {
            return;
        }
        // Teams beyond their guarantee make room for one that lacks its own.
        let over = if sure {
            teams_over_guarantee(self, &context.settings, &job_state.record.team)
        } else {
            Vec::new()
        };
        let most = job_state.queued().min(8) as usize;
        let (victims, machines_scanned) =
            cheapest_victims(self, &context.catalog, job_state, now, most, &over);
        context.machines_scanned += machines_scanned;
        let counts_for_all = !sure && !job_state.inherits_priority_class();
        if victims.is_empty()
            && counts_for_all
            && !job_state.record.zone_affinity
            && !job_state.record.zone_spread
        {
            cycle.without_victims.push(job_state.record.clone());
        }
        // Room of tasks that were never sent is free at once.
        let pause = if victims.iter().all(|task| self.was_never_sent(task)) {
            PLACE_EVERY_S
        } else {
            PREEMPT_S
        };
        if let Some(job_state) = self.jobs.get_mut(id) {
            job_state.preempting_until = now.after(pause);
        }
        for task in victims {
            log::info!("task preempted, task={task} for_job={id}");
            self.stop(context, &task);
        }
    }
}

/// The types whose ordinary machines have no more room than is kept for urgent starts.
/// Work that may use spot machines waits for one rather than take that room.
fn full_pools(shard: &ShardOwner, catalog: &[MachineType], headroom: f64, now: Time) -> Vec<Pool> {
    let on_demand = (0..catalog.len()).map(|machine_type| Pool::of(machine_type, false));
    let full = |pool: &Pool| shard.machines.free(*pool) < shard.keep(*pool, catalog, headroom, now);
    on_demand.filter(full).collect()
}

pub(crate) struct SchedulingCycle {
    images: ImageWorths,
    full: Vec<Pool>,
    left: usize,
    /// Demands that found no machine: others like them won't either.
    failed: Vec<Rc<JobRecord>>,
    /// Demands for which nothing of lower rank could be stopped.
    without_victims: Vec<Rc<JobRecord>>,
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
