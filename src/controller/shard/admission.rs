//! Jobs come into a block, are cancelled there, and leave it.

use crate::controller::Controller;
use crate::controller::dependencies::graph::DependencyState;
use crate::controller::machines::inventory::Machine;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Phase, Placement};
use crate::controller::store::mirror::MirroredJob;
use crate::controller::store::records::Placed;
use crate::ids::{JobId, TaskId, Time};
use log::info;
use std::collections::BTreeSet;

impl Controller {
    /// A new holder's start: all that earlier ones committed is known, and nothing
    /// of it is believed to have ended without proof.
    pub(crate) fn rebuild(&mut self) {
        let Some(shard) = self.owner.as_ref().map(|h| h.shard) else {
            return;
        };
        let of_shard = |j: &MirroredJob| j.record.shard == shard;
        let jobs = self.mirror.jobs.iter().filter(|(_, j)| of_shard(j));
        let ids: Vec<JobId> = jobs.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.owner_job(&id);
        }
        let jobs = &self.mirror.jobs;
        let leftover_chunks = self
            .mirror
            .runs
            .keys()
            .filter(|(id, _)| !jobs.contains_key(id));
        let leftover_chunks: Vec<_> = leftover_chunks.cloned().collect();
        if let Some(h) = &mut self.owner {
            // Chunks without a job belong to no block; the first one's holder clears
            // them away.
            h.leftover_chunks = if shard == 0 {
                leftover_chunks
            } else {
                Vec::new()
            };
            h.guess_demand(self.now, &self.catalog, self.mirror.closed());
            info!("took over {} jobs of block {shard}", h.jobs.len());
        }
        self.take_hinted_estimates();
    }

    /// A job was accepted, or its record changed.
    pub(crate) fn owner_job(&mut self, id: &JobId) {
        let Some(job) = self.mirror.jobs.get(id) else {
            return;
        };
        let Some(h) = self.owner.as_mut().filter(|h| h.shard == job.record.shard) else {
            return;
        };
        let Some(live) = h.jobs.get_mut(id) else {
            return self.take_in(id);
        };
        live.revision = job.revision;
        if job.cancelled.is_some() && live.cancelled.is_none() {
            live.cancelled = job.cancelled;
            self.halt_cancelled(id);
        }
    }

    /// Takes in a job, with what earlier holders wrote of it.
    fn take_in(&mut self, id: &JobId) {
        let now = self.now;
        let (Some(job), Some(h)) = (self.mirror.jobs.get(id), &mut self.owner) else {
            return;
        };
        let (runs, layout) = self.mirror.effective_placements(id, &job.record);
        let mut live = JobState::new(job, layout, now);
        live.set_rank(job.priority_class);
        let mut doubts = Vec::new();
        for (chunk, revision, run) in runs {
            live.chunks.entry(chunk).or_default().revision = revision;
            live.restore_done(&run.done);
            doubts.extend(run.placed.iter().cloned());
            h.failures
                .restore(now, id, run.failed_tries, &run.failed_on);
        }
        let cancelled = live.cancelled.is_some();
        let all_done = live.done_count == live.record.count;
        h.jobs.insert(id.clone(), live);
        for placed in doubts {
            h.doubt(now, id, placed);
        }
        if cancelled {
            // It was cancelled under an earlier holder, whose halts may never have
            // gone out: this one has to send its own.
            return self.halt_cancelled(id);
        }
        if all_done {
            h.to_finish.insert(id.clone());
        }
        self.owner_dependencies_changed(id);
    }

    /// Something changed for a job through one that it needs or that needs it: it may start, it is
    /// cancelled, or its rank is another.
    pub(crate) fn owner_dependencies_changed(&mut self, id: &JobId) {
        let now = self.now;
        let Some(job) = self.mirror.jobs.get(id) else {
            return;
        };
        let Some(h) = self.owner.as_mut().filter(|h| h.shard == job.record.shard) else {
            return;
        };
        h.change_rank(id, job.priority_class);
        let Some(live) = h.jobs.get_mut(id) else {
            return;
        };
        if live.released || live.cancelled.is_some() {
            return;
        }
        match self.mirror.needs(&job.record) {
            DependencyState::Open | DependencyState::Unknown => {}
            DependencyState::Met => {
                live.released = true;
                live.since = now;
                if !job.record.needs.is_empty() {
                    info!("job {id} may start: all that it needs is done");
                }
                h.note_demand(now, &self.catalog, self.mirror.closed(), &job.record);
                h.note_image(now, &job.record);
                if h.jobs[id].queued() > 0 {
                    h.waiting.insert(id.clone());
                    h.place_wanted = true;
                }
            }
            DependencyState::Cancelled => {
                info!("job {id} is cancelled with one that it needs");
                live.cancelled = Some(now);
                self.halt_cancelled(id);
            }
        }
    }

    /// A job's record is gone: it ended, and its end is committed.
    pub(crate) fn owner_job_gone(&mut self, id: &JobId) {
        let leftover: Vec<_> = self
            .mirror
            .chunks(id)
            .map(|(c, _)| (id.clone(), c))
            .collect();
        let now = self.now;
        let Some(h) = &mut self.owner else {
            return;
        };
        h.leftover_chunks.extend(leftover);
        let Some(live) = h.jobs.get(id) else {
            return;
        };
        let all = live.cancelled.is_none();
        info!("job {id} {}", if all { "done" } else { "cleared away" });
        let tasks: Vec<u32> = live.placed.keys().copied().collect();
        for index in tasks {
            let job = id.clone();
            h.take(now, &TaskId { job, index });
        }
        h.jobs.remove(id);
        h.failures.forget_job(id);
        h.waiting.remove(id);
        h.to_finish.remove(id);
        h.to_flush.retain(|(_, job, _)| job != id);
    }

    /// Stops every task of a withdrawn job: nothing they do is of use any more.
    fn halt_cancelled(&mut self, id: &JobId) {
        let now = self.now;
        let Some(h) = &mut self.owner else {
            return;
        };
        h.waiting.remove(id);
        let Some(live) = h.jobs.get_mut(id) else {
            return;
        };
        let mut unsent = Vec::new();
        let mut machines = BTreeSet::new();
        for (index, p) in &mut live.placed {
            p.halted.get_or_insert(now);
            match p.phase {
                Phase::Ready => unsent.push(*index),
                _ => {
                    machines.insert(p.machine.clone());
                }
            }
        }
        if live.placed.is_empty() {
            h.to_finish.insert(id.clone());
        }
        for index in unsent {
            let job = id.clone();
            h.take(now, &TaskId { job, index });
        }
        for machine in machines {
            self.answer_held(&machine);
        }
    }
}

impl ShardOwner {
    /// Enters a placement of an earlier holder: it counts until it is proven gone.
    fn doubt(&mut self, now: Time, job: &JobId, (index, attempt, machine, zone): Placed) {
        if !self.machines.contains_key(&machine) && !self.gone.contains_key(&machine) {
            // Known by name only until it reports. If it never does, it is
            // deleted, which proves its tasks gone.
            let mut known = Machine::new(&[], "", &zone, false, now);
            known.up = Some(now);
            self.machines.insert(machine.clone(), known);
        }
        let placement = Placement {
            machine,
            zone: zone.as_str().into(),
            attempt,
            phase: Phase::Doubt,
            since: now,
            halted: None,
            sends: 0,
            // An earlier holder has seen it start: that it runs is no news of its machine.
            runs_well: true,
        };
        self.put(job, index, placement);
    }
}
