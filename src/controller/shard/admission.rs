//! Jobs come into a shard, are cancelled there, and leave it.

use crate::controller::context::Context;
use crate::controller::dependencies::graph::DependencyState;
use crate::controller::machines::inventory::Machine;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Phase, Placement};
use crate::controller::store::mirror::MirroredJob;
use crate::controller::store::records::Placed;
use crate::ids::{JobId, TaskId, Time};
use log::info;
use std::collections::BTreeSet;

impl ShardOwner {
    /// A new owner's start: all that earlier ones committed is known, and nothing
    /// of it is believed to have ended without proof.
    pub(crate) fn rebuild_from_mirror(&mut self, context: &mut Context) {
        let shard = self.shard;
        let of_shard = |j: &MirroredJob| j.record.shard == shard;
        let jobs = context
            .store
            .mirror
            .jobs
            .iter()
            .filter(|(_, j)| of_shard(j));
        let ids: Vec<JobId> = jobs.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.on_job_changed(context, &id);
        }
        let jobs = &context.store.mirror.jobs;
        let leftover_placements = context
            .store
            .mirror
            .placements
            .keys()
            .filter(|(id, _)| !jobs.contains_key(id));
        let leftover_placements: Vec<_> = leftover_placements.cloned().collect();
        // Chunks without a job belong to no shard; the first one's owner clears
        // them away.
        self.leftover_placements = if shard == 0 {
            leftover_placements
        } else {
            Vec::new()
        };
        self.estimate_demand(
            context.now,
            &context.cloud.catalog,
            context.store.mirror.exhausted_pools(),
        );
        info!("jobs taken over, shard={shard} jobs={}", self.jobs.len());

        self.adopt_hinted_estimates(context);
    }

    /// A job was accepted, or its record changed.
    pub(crate) fn on_job_changed(&mut self, context: &mut Context, id: &JobId) {
        let Some(job) = context.store.mirror.jobs.get(id) else {
            return;
        };
        let Some(job_state) = self.jobs.get_mut(id) else {
            return self.admit(context, id);
        };
        job_state.revision = job.revision;
        if job.cancelled.is_some() && job_state.cancelled.is_none() {
            job_state.cancelled = job.cancelled;
            self.stop_cancelled(context, id);
        }
    }

    /// Takes in a job, with what earlier owners wrote of it.
    fn admit(&mut self, context: &mut Context, id: &JobId) {
        let now = context.now;
        let Some(job) = context.store.mirror.jobs.get(id) else {
            return;
        };
        let (runs, layout) = context.store.mirror.effective_placements(id, &job.record);
        let mut job_state = JobState::new(job, layout, now);
        job_state.set_priority_class(job.priority_class);
        let mut unconfirmed = Vec::new();
        for (chunk, revision, run) in runs {
            job_state.chunks.entry(chunk).or_default().revision = revision;
            job_state.restore_done(&run.done);
            unconfirmed.extend(run.placed.iter().cloned());
            self.failures
                .restore(now, id, run.failed_tries, &run.failed_on);
        }
        let cancelled = job_state.cancelled.is_some();
        let all_done = job_state.done_count == job_state.record.count;
        self.jobs.insert(id.clone(), job_state);
        for placed in unconfirmed {
            self.add_unconfirmed_placement(now, id, placed);
        }
        if cancelled {
            // It was cancelled under an earlier owner, whose stops may never have
            // gone out: this one has to send its own.
            return self.stop_cancelled(context, id);
        }
        if all_done {
            self.ready_to_end_jobs.insert(id.clone());
        }
        self.on_dependencies_changed(context, id);
    }

    /// Something changed for a job through one that it depends on or that depends on it: it may start, it is
    /// cancelled, or its rank is another.
    pub(crate) fn on_dependencies_changed(&mut self, context: &mut Context, id: &JobId) {
        let now = context.now;
        let Some(job) = context.store.mirror.jobs.get(id) else {
            return;
        };
        self.set_priority_class(id, job.priority_class);
        let Some(job_state) = self.jobs.get_mut(id) else {
            return;
        };
        if job_state.is_released || job_state.cancelled.is_some() {
            return;
        }
        match context.store.mirror.dependency_state(&job.record) {
            DependencyState::Open | DependencyState::Unknown => {}
            DependencyState::Met => {
                job_state.is_released = true;
                job_state.since = now;
                if !job.record.dependencies.is_empty() {
                    info!("job released, its dependencies are done, job={id}");
                }
                self.record_demand(
                    now,
                    &context.cloud.catalog,
                    context.store.mirror.exhausted_pools(),
                    &job.record,
                );
                self.record_image_use(now, &job.record);
                if self.jobs[id].queued() > 0 {
                    self.waiting.insert(id.clone());
                    self.needs_scheduling = true;
                }
            }
            DependencyState::Cancelled => {
                info!("job cancelled with a dependency, job={id}");
                job_state.cancelled = Some(now);
                self.stop_cancelled(context, id);
            }
        }
    }

    /// A job's record is gone: it ended, and its end is committed.
    pub(crate) fn on_job_removed(&mut self, context: &Context, id: &JobId) {
        let leftover: Vec<_> = context
            .store
            .mirror
            .chunks(id)
            .map(|(c, _)| (id.clone(), c))
            .collect();
        let now = context.now;
        self.leftover_placements.extend(leftover);
        let Some(job_state) = self.jobs.get(id) else {
            return;
        };
        let all = job_state.cancelled.is_none();
        info!(
            "job ended, job={id} ending={}",
            if all { "done" } else { "cancelled" }
        );
        let tasks: Vec<u32> = job_state.placed.keys().copied().collect();
        for index in tasks {
            let job = id.clone();
            self.remove_placement(now, &TaskId { job, index });
        }
        self.jobs.remove(id);
        self.failures.forget_job(id);
        self.waiting.remove(id);
        self.ready_to_end_jobs.remove(id);
        self.write_queue.retain(|(_, job, _)| job != id);
    }

    /// Stops every task of a cancelled job: nothing they do is of use any more.
    fn stop_cancelled(&mut self, context: &mut Context, id: &JobId) {
        let now = context.now;
        self.waiting.remove(id);
        let Some(job_state) = self.jobs.get_mut(id) else {
            return;
        };
        let mut was_never_sent = Vec::new();
        let mut machines = BTreeSet::new();
        for (index, placement) in &mut job_state.placed {
            placement.stop_requested.get_or_insert(now);
            match placement.phase {
                Phase::Ready => was_never_sent.push(*index),
                _ => {
                    machines.insert(placement.machine.clone());
                }
            }
        }
        if job_state.placed.is_empty() {
            self.ready_to_end_jobs.insert(id.clone());
        }
        for index in was_never_sent {
            let job = id.clone();
            self.remove_placement(now, &TaskId { job, index });
        }
        for machine in machines {
            self.answer_long_poll(context, &machine);
        }
    }
}

impl ShardOwner {
    /// Enters a placement of an earlier owner: it counts until it is proven gone.
    fn add_unconfirmed_placement(
        &mut self,
        now: Time,
        job: &JobId,
        (index, attempt, machine, zone): Placed,
    ) {
        if !self.machines.contains_key(&machine) && !self.deleted_machines.contains_key(&machine) {
            // Known by name only until it heartbeats. If it never does, it is
            // deleted, which proves its tasks gone.
            let mut known = Machine::new(&[], "", &zone, false, now);
            known.ready_since = Some(now);
            self.machines.insert(machine.clone(), known);
        }
        let placement = Placement {
            machine,
            zone: zone.as_str().into(),
            attempt,
            phase: Phase::Doubt,
            since: now,
            stop_requested: None,
            send_count: 0,
            // An earlier owner has seen it start: that it runs is no news of its machine.
            is_proven_healthy: true,
        };
        self.add_placement(job, index, placement);
    }
}
