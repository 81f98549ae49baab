//! What a shard's owner knows of one job: its tasks, its placements, and what is written.

use crate::controller::shard::commits::WriteUrgency;
use crate::controller::store::chunks::ChunkLayout;
use crate::controller::store::mirror::MirroredJob;
use crate::controller::store::records::{JobRecord, PriorityClass};
use crate::ids::{Attempt, MachineId, Time};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How far a placement has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not yet known to be committed: never sent.
    Committing,
    /// Committed; its start goes with the next answer to its machine.
    Ready,
    /// Sent, and not seen in a heartbeat yet.
    Sent,
    Fetching,
    Running,
    Checkpointing,
    /// Placed by an earlier owner; this one has no proof of what became of it.
    Doubt,
}

#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub machine: MachineId,
    pub zone: Rc<str>,
    pub attempt: Attempt,
    pub phase: Phase,
    /// Since when it is in this phase.
    pub since: Time,
    /// When it was first told to stop, if it was.
    pub stop_requested: Option<Time>,
    pub send_count: u32,
    /// It has run for so long that neither its job nor its machine can be at fault.
    pub is_proven_healthy: bool,
}

impl Placement {
    /// A placement that is still to be committed.
    pub(crate) fn new(machine: MachineId, zone: Rc<str>, attempt: Attempt, now: Time) -> Self {
        Self {
            machine,
            zone,
            attempt,
            phase: Phase::Committing,
            since: now,
            stop_requested: None,
            send_count: 0,
            is_proven_healthy: false,
        }
    }
}

/// A job of the shard.
#[derive(Debug)]
pub(crate) struct JobState {
    pub record: Rc<JobRecord>,
    /// The rank that it was submitted with; `record` may have a higher one, of a job that depends on it.
    pub submitted_priority_class: PriorityClass,
    /// In which records its tasks are.
    pub layout: ChunkLayout,
    pub revision: u64,
    /// Order of arrival: the revision of its acceptance.
    pub arrival: u64,
    pub since: Time,
    pub cancelled: Option<Time>,
    /// Whether all jobs that it depends on are known to be done. Until then nothing of it starts.
    pub is_released: bool,
    pub done: Vec<bool>,
    pub done_count: u32,
    pub placed: BTreeMap<u32, Placement>,
    /// No queued task has an index below this one.
    pub queue_from: u32,
    pub chunks: BTreeMap<u32, Chunk>,
    pub is_finishing: bool,
    pub not_before: Time,
    /// Starts that machines refused for not knowing the job.
    pub unknown_job_refusals: u32,
    /// Room is being made by stopping others until then.
    pub preempting_until: Time,
}

/// What is written of a chunk.
#[derive(Debug, Default)]
pub(crate) struct Chunk {
    pub revision: u64,
    pub busy: bool,
    /// Finished tasks that aren't written yet; their results aren't cleared.
    pub has_unwritten_results: bool,
}

impl JobState {
    pub(crate) fn new(job: &MirroredJob, layout: ChunkLayout, now: Time) -> Self {
        Self {
            record: job.record.clone(),
            submitted_priority_class: job.record.priority_class,
            layout,
            revision: job.revision,
            arrival: job.revision,
            since: now,
            cancelled: job.cancelled,
            is_released: false,
            done: vec![false; job.record.count as usize],
            done_count: 0,
            placed: BTreeMap::new(),
            queue_from: 0,
            chunks: BTreeMap::new(),
            is_finishing: false,
            not_before: now,
            unknown_job_refusals: 0,
            preempting_until: now,
        }
    }

    /// Gives the job another rank than its own: the highest of those that depend on it. Whatever goes
    /// by rank goes by this one.
    pub(crate) fn set_priority_class(&mut self, priority_class: PriorityClass) {
        if priority_class != self.record.priority_class {
            let record = JobRecord::clone(&self.record);
            self.record = Rc::new(JobRecord {
                priority_class,
                ..record
            });
        }
    }

    /// Whether its rank is that of a job that depends on it.
    pub(crate) fn inherits_priority_class(&self) -> bool {
        self.record.priority_class > self.submitted_priority_class
    }

    pub(crate) fn is_queued(&self, index: u32) -> bool {
        !self.done[index as usize] && !self.placed.contains_key(&index)
    }

    /// Takes over which tasks are finished.
    pub(crate) fn restore_done(&mut self, ranges: &[(u32, u32)]) {
        for (from, to) in ranges {
            for index in *from..(*to).min(self.record.count) {
                if !std::mem::replace(&mut self.done[index as usize], true) {
                    self.done_count += 1;
                }
            }
        }
    }

    /// How soon the present state of a chunk or part is to be written.
    pub(crate) fn write_urgency(&self, chunk: u32) -> WriteUrgency {
        let mut placed = self.placed.range(self.layout.tasks_of(chunk));
        if placed.any(|(_, placement)| placement.phase == Phase::Committing) {
            WriteUrgency::placements(self.record.priority_class)
        } else {
            WriteUrgency::Results
        }
    }

    /// Whether one of its tasks has been started and may yet fail.
    pub(crate) fn has_unproven_task(&self) -> bool {
        self.placed
            .values()
            .any(|placement| !placement.is_proven_healthy)
    }

    /// How many tasks wait for a machine: none while the job waits for others.
    pub(crate) fn queued(&self) -> u32 {
        if self.cancelled.is_some() || !self.is_released {
            return 0;
        }
        (self.record.count - self.done_count).saturating_sub(self.placed.len() as u32)
    }

    /// The first queued task from `queue_from` on; moves that index along.
    pub(crate) fn next_queued(&mut self) -> Option<u32> {
        while self.queue_from < self.record.count && !self.is_queued(self.queue_from) {
            self.queue_from += 1;
        }
        (self.queue_from < self.record.count).then_some(self.queue_from)
    }
}
