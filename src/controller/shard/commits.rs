//! Commits placements and results to the store, and handles the responses.
//!
//! A chunk is a range of a job's tasks whose results and placements are stored in one record.

use crate::controller::context::Context;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Phase, Placement};
use crate::controller::shard::transaction::{TransactionLimits, next_transaction};
use crate::controller::store::chunks::{ChunkLayout, chunk_size, to_ranges};
use crate::controller::store::records::{Key, PlacementRecord, PriorityClass, Record};
use crate::controller::store_requests::{RequestPurpose, ShardRequest};
use crate::ids::{Attempt, JobId, MachineId, TaskId, Time};
use crate::wire::{StoreRequest, StoreResponse};
use log::{debug, info, warn};
use std::collections::BTreeSet;

/// A chunk in a commit, with the attempts that are committed by it.
#[derive(Debug)]
pub(crate) struct PlacementWrite {
    pub job: JobId,
    pub chunk: u32,
    /// Index and attempt of each placed task.
    pub placed: Vec<(u32, Attempt)>,
}

/// How urgently a chunk is to be written. The smaller value is the more urgent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WriteUrgency {
    /// The chunk has placements that are waiting for the commit. A higher priority class of the job
    /// is more urgent.
    Placements(std::cmp::Reverse<PriorityClass>),
    /// The chunk has only results to write, so that no start is delayed.
    Results,
}

impl WriteUrgency {
    /// All urgencies, the most urgent first.
    pub(crate) const ALL: [Self; 5] = [
        Self::placements(PriorityClass::Critical),
        Self::placements(PriorityClass::Urgent),
        Self::placements(PriorityClass::Normal),
        Self::placements(PriorityClass::Idle),
        Self::Results,
    ];

    /// The urgency of placements of a job with this priority class.
    pub(crate) const fn placements(priority_class: PriorityClass) -> Self {
        Self::Placements(std::cmp::Reverse(priority_class))
    }

    /// The priority of the commit at the store's rate limits. Commits of batch work leave enough
    /// budget for an urgent start to be committed at once. Without this reserve, urgent starts
    /// waited for seconds behind the commits of another team's array and many small jobs.
    pub(crate) fn priority(self) -> Priority {
        match self {
            Self::Placements(std::cmp::Reverse(priority_class)) => write_priority(priority_class),
            Self::Results => Priority::Last,
        }
    }
}

/// The priority of commits for a job with this priority class.
pub(crate) fn write_priority(priority_class: PriorityClass) -> Priority {
    if priority_class > PriorityClass::Normal {
        Priority::Usual
    } else {
        Priority::Last
    }
}

/// Chunks to write, the most urgent first: urgency, job, and number of the chunk.
pub(crate) type WriteQueue = BTreeSet<(WriteUrgency, JobId, u32)>;

/// Maximum number of placement transactions in flight, where none of them is urgent.
const WRITES_IN_FLIGHT_MAX: usize = 4;
/// How many more transactions may be in flight for urgent placements.
const URGENT_WRITES_IN_FLIGHT_MAX: usize = 2;

impl Context {
    /// The store's limits for transactions. The announced future limit on values applies as soon as
    /// the store has refused a value for its size.
    fn transaction_limits(&self) -> TransactionLimits {
        let strict = self.settings.store_limits();
        let value_bytes = if self.store.announced_limits_in_force {
            strict.value_bytes
        } else {
            self.settings.platform.facts.store.current_value_bytes()
        };
        TransactionLimits {
            ops: strict.txn_ops,
            value_bytes,
            strict_bytes: strict.value_bytes,
        }
    }
}

impl ShardOwner {
    /// Commits job ends and queued chunks while the store's rate limits allow it. A transaction has
    /// several chunks; the most urgent ones go first.
    pub(crate) fn write_placements(&mut self, context: &mut Context) {
        self.write_job_ends(context);
        loop {
            let now = context.now;
            let mut limits = context.transaction_limits();
            let Some((urgency, ..)) = self.write_queue.first() else {
                return;
            };
            let priority = urgency.priority();
            // A larger transaction would overdraw the budget, and urgent ones would have to wait
            // until it has recovered.
            let ops_max = context.store.change_limit.largest_call(priority) as usize;
            limits.ops = limits.ops.min(ops_max);
            let writes_in_flight_max = match priority {
                Priority::Last => WRITES_IN_FLIGHT_MAX,
                _ => WRITES_IN_FLIGHT_MAX + URGENT_WRITES_IN_FLIGHT_MAX,
            };
            if self.writes_in_flight >= writes_in_flight_max
                || !context.store.request_limit.can_take(now, 1.0, priority)
                || !context.store.change_limit.can_take(now, 1.0, priority)
            {
                return;
            }
            let Some((op, items)) = next_transaction(self, &limits, priority) else {
                return;
            };
            let request = ShardRequest::WritePlacements(items);
            let purpose = RequestPurpose::Shard(self.ownership(), request);
            match context.send_store_request(op, purpose, priority) {
                Ok(_) => {
                    self.writes_in_flight += 1;
                }
                Err(RequestPurpose::Shard(_, ShardRequest::WritePlacements(items))) => {
                    items
                        .iter()
                        .for_each(|item| self.requeue_write(&item.job, item.chunk));

                    return;
                }
                Err(_) => return,
            }
        }
    }

    /// Handles the response to a transaction of chunks.
    pub(crate) fn on_placements_written(
        &mut self,
        context: &mut Context,
        items: Vec<PlacementWrite>,
        response: StoreResponse,
    ) {
        if response == StoreResponse::Rejected {
            warn!("store refuses values of this size, the announced limits are in force");
            context.store.announced_limits_in_force = true;
        }
        self.writes_in_flight = self.writes_in_flight.saturating_sub(1);
        if !matches!(response, StoreResponse::Committed { .. }) {
            debug!(
                "placements not written, chunks={} reason={response:?}",
                items.len()
            );
        }
        let mut ready_machines = BTreeSet::new();
        let mut conflicts = Vec::new();
        for item in &items {
            match &response {
                StoreResponse::Committed { revision } => {
                    ready_machines.extend(self.on_chunk_written(context.now, item, *revision));
                }
                StoreResponse::Conflict { failed } => {
                    if self.on_chunk_conflict(context.now, item, failed) {
                        conflicts.push((item.job.clone(), item.chunk));
                    }
                }
                // The transaction may or may not have been executed. Its preconditions make the
                // retry fail if it was.
                _ => self.requeue_write(&item.job, item.chunk),
            }
        }
        let jobs: BTreeSet<JobId> = items.into_iter().map(|item| item.job).collect();
        for job in &jobs {
            self.remove_unsent(context.now, job);
        }
        for (job, chunk) in conflicts {
            self.reread_placements(context, job, chunk);
        }
        for machine in ready_machines {
            self.answer_long_poll(context, &machine);
        }
    }

    /// Marks a chunk's placements as committed, so that their starts may be sent. Returns their
    /// machines.
    fn on_chunk_written(
        &mut self,
        now: Time,
        item: &PlacementWrite,
        revision: u64,
    ) -> Vec<MachineId> {
        let Some(job_state) = self.jobs.get_mut(&item.job) else {
            return Vec::new();
        };
        let chunk = job_state.chunks.entry(item.chunk).or_default();
        chunk.is_request_in_flight = false;
        chunk.revision = revision;
        // If the chunk was queued again during the commit, it has changes that aren't written yet.
        let entry = |urgency| (urgency, item.job.clone(), item.chunk);
        let mut urgencies = WriteUrgency::ALL.into_iter();
        chunk.has_unwritten_results =
            urgencies.any(|urgency| self.write_queue.contains(&entry(urgency)));
        mark_committed(now, job_state, &item.placed)
    }

    /// Handles a chunk of a transaction whose preconditions didn't hold. Returns whether the
    /// chunk's record isn't the expected one and has to be read.
    fn on_chunk_conflict(&mut self, now: Time, item: &PlacementWrite, failed: &[Key]) -> bool {
        let Some(job_state) = self.jobs.get_mut(&item.job) else {
            return false;
        };
        let chunk_changed = failed.contains(&Key::Placements(item.job.clone(), item.chunk));
        job_state
            .chunks
            .entry(item.chunk)
            .or_default()
            .is_request_in_flight = chunk_changed;
        if chunk_changed {
            return true;
        }
        if failed.contains(&Key::Job(item.job.clone())) {
            self.remove_uncommitted(now, item);
        } else {
            self.requeue_write(&item.job, item.chunk);
        }
        false
    }

    /// Reads a chunk whose revision isn't the expected one, because an earlier commit whose
    /// response was lost has been executed.
    fn reread_placements(&mut self, context: &mut Context, job: JobId, chunk: u32) {
        let op = StoreRequest::Get(Key::Placements(job.clone(), chunk));
        let request = ShardRequest::RereadPlacements(job, chunk);
        let purpose = RequestPurpose::Shard(self.ownership(), request);
        if let Err(RequestPurpose::Shard(_, ShardRequest::RereadPlacements(job, chunk))) =
            context.send_store_request(op, purpose, Priority::First)
        {
            self.retry_write(&job, chunk);
        }
    }

    /// Queues a chunk whose record couldn't be read. Its commit fails with the same conflict again,
    /// which leads to another read.
    fn retry_write(&mut self, job: &JobId, chunk: u32) {
        self.requeue_write(job, chunk);
    }

    /// Handles the response to the read of a chunk: marks the placements in it as committed, and
    /// queues the chunk with its current content.
    pub(crate) fn on_placements_reread(
        &mut self,
        context: &mut Context,
        job: JobId,
        chunk: u32,
        response: StoreResponse,
    ) {
        let (revision, placement_record) = match response {
            StoreResponse::Found {
                record: Record::Placements(placement_record),
                revision,
            } => (revision, placement_record),
            StoreResponse::Missing { .. } => (0, PlacementRecord::default()),
            _ => return self.retry_write(&job, chunk),
        };
        let now = context.now;
        let mut ready_machines = Vec::new();
        if let Some(job_state) = self.jobs.get_mut(&job) {
            let entry = job_state.chunks.entry(chunk).or_default();
            entry.revision = revision;
            entry.is_request_in_flight = false;
            let placed: Vec<_> = placement_record
                .placed
                .iter()
                .map(|placement| (placement.0, placement.1))
                .collect();
            ready_machines = mark_committed(now, job_state, &placed);
        }
        self.remove_unsent(now, &job);
        self.requeue_write(&job, chunk);

        for machine in ready_machines {
            self.answer_long_poll(context, &machine);
        }
    }
}

/// Moves placements whose commit is known to have succeeded on to [`Phase::Ready`]. Returns their
/// machines.
fn mark_committed(
    now: Time,
    job_state: &mut JobState,
    placed: &[(u32, Attempt)],
) -> Vec<MachineId> {
    let mut machines = Vec::new();
    for (index, attempt) in placed {
        if let Some(placement) = job_state.placed.get_mut(index)
            && placement.attempt == *attempt
            && placement.phase == Phase::Committing
        {
            placement.phase = Phase::Ready;
            placement.phase_since = now;
            machines.push(placement.machine.clone());
        }
    }
    machines
}

impl ShardOwner {
    /// The current content of a chunk's record.
    pub(crate) fn placement_record(
        &self,
        job: &JobId,
        job_state: &JobState,
        chunk: u32,
    ) -> PlacementRecord {
        let tasks = job_state.layout.tasks_of(chunk);
        let (failed_tries, failed_on) = self.failures.failures_of_job(job);
        let done = tasks
            .clone()
            .filter(|index| job_state.done[*index as usize]);
        let placed = job_state.placed.range(tasks);
        let placed = placed.map(|(index, placement)| {
            let zone = placement.zone.to_string();
            (*index, placement.attempt, placement.machine.clone(), zone)
        });
        PlacementRecord {
            done: to_ranges(done),
            placed: placed.collect(),
            failed_tries,
            failed_on,
            part_size: job_state.layout.part_size(chunk),
        }
    }

    /// Queues a chunk whose commit didn't succeed, with the urgency of its current content. When
    /// such chunks went to the head of the queue, chunks of batch work overtook urgent ones
    /// whenever the write budget ran out.
    fn requeue_write(&mut self, job: &JobId, chunk: u32) {
        let Some(job_state) = self.jobs.get_mut(job) else {
            return;
        };
        job_state
            .chunks
            .entry(chunk)
            .or_default()
            .is_request_in_flight = false;
        queue_chunk(&mut self.write_queue, job, job_state, chunk);
    }

    /// Queues the chunk of a task that was just placed.
    pub(crate) fn queue_placement_write(&mut self, job: &JobId, index: u32) {
        if let Some(job_state) = self.jobs.get(job) {
            let urgency = WriteUrgency::placements(job_state.record.priority_class);
            let chunk = job_state.layout.chunk_of(index);
            self.write_queue.insert((urgency, job.clone(), chunk));
        }
    }

    /// Changes the layout of a job's records to parts that fit into values of `value_bytes`. Parts
    /// replace chunks in the write queue. Unwritten results of a chunk are marked as unwritten for
    /// each of its parts, so that workers keep them until the parts are written.
    pub(crate) fn split_into_parts(&mut self, job: &JobId, value_bytes: usize) {
        let Some(job_state) = self.jobs.get_mut(job) else {
            return;
        };
        info!("placement records split into parts, job={job} reason=larger than the store's limit");
        job_state.layout = ChunkLayout::new(&job_state.record, Some(chunk_size(value_bytes)));
        let unwritten = job_state
            .chunks
            .iter()
            .filter(|(_, c)| c.has_unwritten_results);
        let mut chunks: BTreeSet<u32> = unwritten.map(|(chunk, _)| *chunk).collect();
        let queued = self.write_queue.iter().filter(|(_, id, _)| id == job);
        chunks.extend(queued.map(|(_, _, chunk)| *chunk));
        self.write_queue.retain(|(_, id, _)| id != job);
        for chunk in chunks {
            let unwritten = job_state
                .chunks
                .get(&chunk)
                .is_some_and(|c| c.has_unwritten_results);
            for part in job_state.layout.chunks_for(chunk) {
                job_state
                    .chunks
                    .entry(part)
                    .or_default()
                    .has_unwritten_results |= unwritten;
            }
            queue_chunk(&mut self.write_queue, job, job_state, chunk);
        }
    }

    /// Removes placements that were told to stop before their start was sent. Their tasks can't be
    /// on the machine.
    fn remove_unsent(&mut self, now: Time, job: &JobId) {
        let Some(job_state) = self.jobs.get(job) else {
            return;
        };
        let never_sent = job_state.placed.iter().filter(|(_, placement)| {
            placement.stop_requested.is_some() && placement.phase == Phase::Ready
        });
        let never_sent: Vec<u32> = never_sent.map(|(index, _)| *index).collect();
        for index in never_sent {
            let job = job.clone();
            self.remove_placement(now, &TaskId { job, index });
        }
    }

    /// Removes the placements of a commit that failed because the job's record changed.
    fn remove_uncommitted(&mut self, now: Time, item: &PlacementWrite) {
        for (index, attempt) in &item.placed {
            let is_same_attempt = |placement: &Placement| {
                placement.attempt == *attempt && placement.phase == Phase::Committing
            };
            let job_state = self.jobs.get(&item.job);
            if job_state
                .and_then(|job_state| job_state.placed.get(index))
                .is_some_and(is_same_attempt)
            {
                let task = TaskId {
                    job: item.job.clone(),
                    index: *index,
                };
                self.remove_placement(now, &task);
            }
        }
    }
}

/// Queues a chunk or, if the job's records are split into parts, the parts that cover the chunk.
fn queue_chunk(queue: &mut WriteQueue, job: &JobId, job_state: &JobState, chunk: u32) {
    for chunk in job_state.layout.chunks_for(chunk) {
        queue.insert((job_state.write_urgency(chunk), job.clone(), chunk));
    }
}
