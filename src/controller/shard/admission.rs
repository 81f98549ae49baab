//! Adds jobs to a shard, reacts to changes of their records, and removes them.

use crate::controller::context::Context;
use crate::controller::dependencies::graph::DependencyState;
use crate::controller::machines::inventory::Machine;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Phase, Placement};
use crate::controller::store::mirror::MirroredJob;
use crate::controller::store::records::PlacedTask;
use crate::ids::{JobId, TaskId, Time};
use log::info;
use std::collections::BTreeSet;

impl ShardOwner {
    /// Builds the state of a new owner from the mirror, which has everything that earlier owners
    /// committed. Placements keep their resources reserved until there is proof that their tasks
    /// have ended.
    pub(crate) fn rebuild_from_mirror(&mut self, context: &mut Context) {
        let shard = self.shard;
        let is_of_shard = |job: &MirroredJob| job.record.shard == shard;
        let jobs = context
            .store
            .mirror
            .jobs
            .iter()
            .filter(|(_, job)| is_of_shard(job));
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
        // A chunk without a job belongs to no shard. The owner of shard 0 deletes these chunks.
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

    /// Handles a job that was accepted, or whose record changed.
    pub(crate) fn on_job_changed(&mut self, context: &mut Context, id: &JobId) {
        let Some(job) = context.store.mirror.jobs.get(id) else {
            return;
        };
        let Some(job_state) = self.jobs.get_mut(id) else {
            return self.admit(context, id);
        };
        job_state.revision = job.revision;
        if job.cancelled_at.is_some() && job_state.cancelled.is_none() {
            job_state.cancelled = job.cancelled_at;
            self.stop_cancelled(context, id);
        }
    }

    /// Adds a job, with the results, placements and failures that earlier owners committed.
    fn admit(&mut self, context: &mut Context, id: &JobId) {
        let now = context.now;
        let Some(job) = context.store.mirror.jobs.get(id) else {
            return;
        };
        let (placement_records, layout) =
            context.store.mirror.effective_placements(id, &job.record);
        let mut job_state = JobState::new(job, layout, now);
        job_state.set_priority_class(job.priority_class);
        let mut unconfirmed = Vec::new();
        for (chunk, revision, placement_record) in placement_records {
            job_state.chunks.entry(chunk).or_default().revision = revision;
            job_state.restore_done(&placement_record.done);
            unconfirmed.extend(placement_record.placed.iter().cloned());
            self.failures.restore(
                now,
                id,
                placement_record.failed_tries,
                &placement_record.failed_on,
            );
        }
        let is_cancelled = job_state.cancelled.is_some();
        let is_all_done = job_state.done_count == job_state.record.count;
        self.jobs.insert(id.clone(), job_state);
        for placed in unconfirmed {
            self.add_unconfirmed_placement(now, id, placed);
        }
        if is_cancelled {
            // An earlier owner may not have sent the stop commands before it lost the shard, so
            // they are sent again.
            return self.stop_cancelled(context, id);
        }
        if is_all_done {
            self.ready_to_end_jobs.insert(id.clone());
        }
        self.on_dependencies_changed(context, id);
    }

    /// Handles a change of the jobs that a job depends on, or that depend on it. The job is
    /// released once its dependencies are done, is cancelled with a dependency, or gets another
    /// priority class.
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
                job_state.waiting_since = now;
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
                    self.jobs_with_queued_tasks.insert(id.clone());
                    self.needs_scheduling = true;
                }
            }
            DependencyState::Cancelled => {
                info!("job cancelled, job={id} reason=a dependency was cancelled");
                job_state.cancelled = Some(now);
                self.stop_cancelled(context, id);
            }
        }
    }

    /// Removes a job whose record was deleted, which is part of the commit of its end.
    pub(crate) fn on_job_removed(&mut self, context: &Context, id: &JobId) {
        let leftover: Vec<_> = context
            .store
            .mirror
            .placement_records(id)
            .map(|(chunk, _)| (id.clone(), chunk))
            .collect();
        let now = context.now;
        self.leftover_placements.extend(leftover);
        let Some(job_state) = self.jobs.get(id) else {
            return;
        };
        let is_done = job_state.cancelled.is_none();
        info!(
            "job ended, job={id} ending={}",
            if is_done { "done" } else { "cancelled" }
        );
        let tasks: Vec<u32> = job_state.placed.keys().copied().collect();
        for index in tasks {
            let job = id.clone();
            self.remove_placement(now, &TaskId { job, index });
        }
        self.jobs.remove(id);
        self.failures.forget_job(id);
        self.jobs_with_queued_tasks.remove(id);
        self.ready_to_end_jobs.remove(id);
        self.write_queue.retain(|(_, job, _)| job != id);
    }

    /// Stops all tasks of a cancelled job, and removes the placements whose start was never sent.
    fn stop_cancelled(&mut self, context: &mut Context, id: &JobId) {
        let now = context.now;
        self.jobs_with_queued_tasks.remove(id);
        let Some(job_state) = self.jobs.get_mut(id) else {
            return;
        };
        let mut never_sent = Vec::new();
        let mut machines = BTreeSet::new();
        for (index, placement) in &mut job_state.placed {
            placement.stop_requested.get_or_insert(now);
            match placement.phase {
                Phase::Ready => never_sent.push(*index),
                _ => {
                    machines.insert(placement.machine.clone());
                }
            }
        }
        if job_state.placed.is_empty() {
            self.ready_to_end_jobs.insert(id.clone());
        }
        for index in never_sent {
            let job = id.clone();
            self.remove_placement(now, &TaskId { job, index });
        }
        for machine in machines {
            self.answer_long_poll(context, &machine);
        }
    }
}

impl ShardOwner {
    /// Adds a placement of an earlier owner. It keeps its resources reserved until there is proof
    /// that the task has ended.
    fn add_unconfirmed_placement(
        &mut self,
        now: Time,
        job: &JobId,
        (index, attempt, machine, zone): PlacedTask,
    ) {
        if !self.machines.contains_key(&machine) && !self.deleted_machines.contains_key(&machine) {
            // Only the machine's name and zone are known until its first heartbeat. If no heartbeat
            // arrives, the machine is deleted, which proves that its tasks have ended.
            let mut machine_state = Machine::new(&[], "", &zone, false, now);
            machine_state.ready_since = Some(now);
            self.machines.insert(machine.clone(), machine_state);
        }
        let placement = Placement {
            machine,
            zone: zone.as_str().into(),
            attempt,
            phase: Phase::Unconfirmed,
            phase_since: now,
            stop_requested: None,
            send_count: 0,
            // The task was started under an earlier owner. That it still runs says nothing new
            // about its machine.
            is_proven_healthy: true,
        };
        self.add_placement(job, index, placement);
    }
}
