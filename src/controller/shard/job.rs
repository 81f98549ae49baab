//! The state of one job at a shard's owner: its tasks, their placements, and which of its records
//! are written.

use crate::controller::shard::commits::WriteUrgency;
use crate::controller::store::chunks::ChunkLayout;
use crate::controller::store::mirror::MirroredJob;
use crate::controller::store::records::{JobRecord, PriorityClass};
use crate::ids::{Attempt, MachineId, Time};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The state of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The commit isn't known to have succeeded. The start was never sent.
    Committing,
    /// Committed. The start is sent with the next answer to a heartbeat of the machine.
    Ready,
    /// The start was sent, and no heartbeat has listed the task yet.
    Sent,
    Fetching,
    Running,
    Checkpointing,
    /// Placed by an earlier owner. There is no proof yet whether the task is on its machine.
    Unconfirmed,
}

/// An attempt to run a task on a machine.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub machine: MachineId,
    pub zone: Rc<str>,
    pub attempt: Attempt,
    pub phase: Phase,
    /// When `phase` last changed.
    pub phase_since: Time,
    /// When the task was first requested to stop. `None` if it wasn't.
    pub stop_requested: Option<Time>,
    /// How often the start was sent.
    pub send_count: u32,
    /// Whether the task has run long enough to rule out a fault of its job or its machine.
    pub is_proven_healthy: bool,
}

impl Placement {
    /// A placement that isn't committed yet.
    pub(crate) fn new(machine: MachineId, zone: Rc<str>, attempt: Attempt, now: Time) -> Self {
        Self {
            machine,
            zone,
            attempt,
            phase: Phase::Committing,
            phase_since: now,
            stop_requested: None,
            send_count: 0,
            is_proven_healthy: false,
        }
    }
}

/// The state of a job of the shard that hasn't ended.
#[derive(Debug)]
pub(crate) struct JobState {
    pub record: Rc<JobRecord>,
    /// The priority class of the submission. The class in `record` is higher if a job with a higher
    /// class depends on this one.
    pub submitted_priority_class: PriorityClass,
    /// Maps the job's tasks to the records that have them.
    pub layout: ChunkLayout,
    /// Revision of the job's record.
    pub revision: u64,
    /// Revision at which the job's acceptance was committed: the order of arrival.
    pub arrival: u64,
    /// When the job began to wait for machines: when it was added or, with dependencies, released.
    pub waiting_since: Time,
    /// When the job was cancelled; `None` if it wasn't.
    pub cancelled: Option<Time>,
    /// Whether all dependencies are known to be done. No task starts before that.
    pub is_released: bool,
    /// Whether each task is done, by index.
    pub done: Vec<bool>,
    pub done_count: u32,
    /// Placements by index of the task.
    pub placed: BTreeMap<u32, Placement>,
    /// Where the search for queued tasks starts: no queued task has a smaller index.
    pub queue_scan_start: u32,
    pub chunks: BTreeMap<u32, Chunk>,
    /// Whether the job's end is committed, or its commit is in flight.
    pub is_finishing: bool,
    /// Earliest time at which another task of the job may be placed, after failures.
    pub not_before: Time,
    /// How many starts machines have refused because they didn't know the job.
    pub unknown_job_refusals: u32,
    /// No more tasks are preempted for the job before this time, because earlier preemptions are
    /// still making room.
    pub preempting_until: Time,
}

/// The write state of a chunk: a range of the job's tasks that are stored in one record.
#[derive(Debug, Default)]
pub(crate) struct Chunk {
    /// Revision of the chunk's record; 0 if it isn't written.
    pub revision: u64,
    /// Whether a commit or a read of the chunk is in flight.
    pub is_request_in_flight: bool,
    /// Whether there are done tasks whose results aren't committed. Workers must keep these
    /// results.
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
            waiting_since: now,
            cancelled: job.cancelled_at,
            is_released: false,
            done: vec![false; job.record.count as usize],
            done_count: 0,
            placed: BTreeMap::new(),
            queue_scan_start: 0,
            chunks: BTreeMap::new(),
            is_finishing: false,
            not_before: now,
            unknown_job_refusals: 0,
            preempting_until: now,
        }
    }

    /// Sets the effective priority class of the job, which is the highest among the job itself and
    /// those that depend on it.
    pub(crate) fn set_priority_class(&mut self, priority_class: PriorityClass) {
        if priority_class != self.record.priority_class {
            let record = JobRecord::clone(&self.record);
            self.record = Rc::new(JobRecord {
                priority_class,
                ..record
            });
        }
    }

    /// Whether the effective priority class comes from a job that depends on this one.
    pub(crate) fn inherits_priority_class(&self) -> bool {
        self.record.priority_class > self.submitted_priority_class
    }

    pub(crate) fn is_queued(&self, index: u32) -> bool {
        !self.done[index as usize] && !self.placed.contains_key(&index)
    }

    /// Marks the tasks in ranges of indexes as done. The end of a range is exclusive.
    pub(crate) fn restore_done(&mut self, ranges: &[(u32, u32)]) {
        for (from, to) in ranges {
            for index in *from..(*to).min(self.record.count) {
                if !std::mem::replace(&mut self.done[index as usize], true) {
                    self.done_count += 1;
                }
            }
        }
    }

    /// How urgently the current state of a chunk or part is to be written.
    pub(crate) fn write_urgency(&self, chunk: u32) -> WriteUrgency {
        let mut placed = self.placed.range(self.layout.tasks_of(chunk));
        if placed.any(|(_, placement)| placement.phase == Phase::Committing) {
            WriteUrgency::placements(self.record.priority_class)
        } else {
            WriteUrgency::Results
        }
    }

    /// Whether a placed task hasn't run long enough yet to rule out a fault of the job.
    pub(crate) fn has_unproven_task(&self) -> bool {
        self.placed
            .values()
            .any(|placement| !placement.is_proven_healthy)
    }

    /// Number of tasks that wait for a machine. 0 if the job is cancelled or has open dependencies.
    pub(crate) fn queued(&self) -> u32 {
        if self.cancelled.is_some() || !self.is_released {
            return 0;
        }
        (self.record.count - self.done_count).saturating_sub(self.placed.len() as u32)
    }

    /// The index of the first queued task. Advances `queue_scan_start` to it.
    pub(crate) fn next_queued(&mut self) -> Option<u32> {
        while self.queue_scan_start < self.record.count && !self.is_queued(self.queue_scan_start) {
            self.queue_scan_start += 1;
        }
        (self.queue_scan_start < self.record.count).then_some(self.queue_scan_start)
    }
}
