//! How placements, results and ends are committed.

use crate::controller::context::Context;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::{JobState, Phase, Placement};
use crate::controller::shard::transaction::{TransactionLimits, next_transaction};
use crate::controller::store::chunks::{ChunkLayout, chunk_size, ranges};
use crate::controller::store::records::{Key, PlacementRecord, PriorityClass, Record};
use crate::controller::store_requests::{RequestPurpose, ShardRequest};
use crate::ids::{Attempt, JobId, MachineId, TaskId, Time};
use crate::wire::{StoreRequest, StoreResponse};
use log::{debug, info, warn};
use std::collections::BTreeSet;

/// One chunk in a commit, with the placements that it makes good.
#[derive(Debug)]
pub(crate) struct PlacementWrite {
    pub job: JobId,
    pub chunk: u32,
    pub placed: Vec<(u32, Attempt)>,
}

/// How soon a chunk is to be written; the smaller comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WriteUrgency {
    /// Placements of jobs of this rank wait for the commit, the highest rank first.
    Placements(std::cmp::Reverse<PriorityClass>),
    /// Results only: nothing starts later for them.
    Results,
}

impl WriteUrgency {
    /// Every urgency there is, the most urgent first.
    pub(crate) const ALL: [Self; 5] = [
        Self::placements(PriorityClass::Critical),
        Self::placements(PriorityClass::Urgent),
        Self::placements(PriorityClass::Normal),
        Self::placements(PriorityClass::Idle),
        Self::Results,
    ];

    /// The urgency of placements of a job of this rank.
    pub(crate) const fn placements(priority_class: PriorityClass) -> Self {
        Self::Placements(std::cmp::Reverse(priority_class))
    }

    /// What the commit has to leave of the budgets. Batch work leaves enough for an urgent
    /// start to be committed at once: with a guest's array and swarm under way, urgent starts
    /// waited for seconds behind their commits.
    pub(crate) fn priority(self) -> Priority {
        match self {
            Self::Placements(std::cmp::Reverse(priority_class)) => write_priority(priority_class),
            Self::Results => Priority::Last,
        }
    }
}

/// The priority of what is committed for a job of this rank.
pub(crate) fn write_priority(priority_class: PriorityClass) -> Priority {
    if priority_class > PriorityClass::Normal {
        Priority::Usual
    } else {
        Priority::Last
    }
}

/// Chunks to write, the most urgent first.
pub(crate) type WriteQueue = BTreeSet<(WriteUrgency, JobId, u32)>;

/// Commits of chunks under way at once, and how many more there may be for urgent ones.
const WRITES_IN_FLIGHT_MAX: usize = 4;
const URGENT_WRITES_IN_FLIGHT_MAX: usize = 2;

impl Context {
    fn transaction_limits(&self) -> TransactionLimits {
        let strict = self.settings.state_limits();
        let value_bytes = if self.store.values_shrunk {
            strict.value_bytes
        } else {
            self.settings.platform.facts.state.value_bytes_now()
        };
        TransactionLimits {
            ops: strict.txn_ops,
            value_bytes,
            strict_bytes: strict.value_bytes,
        }
    }
}

impl ShardOwner {
    /// Commits chunks, several to a transaction, the most urgent first.
    pub(crate) fn write_placements(&mut self, context: &mut Context) {
        self.write_job_ends(context);
        loop {
            let now = context.now;
            let mut limits = context.transaction_limits();
            let Some((urgency, ..)) = self.write_queue.first() else {
                return;
            };
            let priority = urgency.priority();
            // A larger transaction would leave a debt that urgent ones have to wait out.
            let largest = context.store.change_limit.largest_call(priority) as usize;
            limits.ops = limits.ops.min(largest);
            let most = match priority {
                Priority::Last => WRITES_IN_FLIGHT_MAX,
                _ => WRITES_IN_FLIGHT_MAX + URGENT_WRITES_IN_FLIGHT_MAX,
            };
            if self.writes_in_flight >= most
                || !context.store.request_limit.has(now, 1.0, priority)
                || !context.store.change_limit.has(now, 1.0, priority)
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
                        .for_each(|i| self.requeue_write(&i.job, i.chunk));

                    return;
                }
                Err(_) => return,
            }
        }
    }

    pub(crate) fn on_placements_written(
        &mut self,
        context: &mut Context,
        items: Vec<PlacementWrite>,
        reply: StoreResponse,
    ) {
        if reply == StoreResponse::Rejected {
            warn!("store refuses values of this size, the announced limits are in force");
            context.store.values_shrunk = true;
        }
        self.writes_in_flight = self.writes_in_flight.saturating_sub(1);
        if !matches!(reply, StoreResponse::Committed { .. }) {
            debug!(
                "placements not written, chunks={} reason={reply:?}",
                items.len()
            );
        }
        let mut ready = BTreeSet::new();
        let mut conflicts = Vec::new();
        for item in &items {
            match &reply {
                StoreResponse::Committed { revision } => {
                    ready.extend(self.on_chunk_written(context.now, item, *revision));
                }
                StoreResponse::Conflict { failed } => {
                    if self.on_chunk_conflict(context.now, item, failed) {
                        conflicts.push((item.job.clone(), item.chunk));
                    }
                }
                // Not executed, or perhaps: the same conditions make it happen once.
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
        for machine in ready {
            self.answer_long_poll(context, &machine);
        }
    }

    /// A chunk's record was written: its placements may be sent. Returns their machines.
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
        chunk.busy = false;
        chunk.revision = revision;
        // What came in meanwhile is still to be written.
        let entry = |urgency| (urgency, item.job.clone(), item.chunk);
        let mut urgencies = WriteUrgency::ALL.into_iter();
        chunk.has_unwritten_results =
            urgencies.any(|urgency| self.write_queue.contains(&entry(urgency)));
        mark_committed(now, job_state, &item.placed)
    }

    /// A transaction failed by its preconditions. Whether this chunk's record is another than
    /// expected, and has to be read.
    fn on_chunk_conflict(&mut self, now: Time, item: &PlacementWrite, failed: &[Key]) -> bool {
        let Some(job_state) = self.jobs.get_mut(&item.job) else {
            return false;
        };
        let chunk_changed = failed.contains(&Key::Placements(item.job.clone(), item.chunk));
        job_state.chunks.entry(item.chunk).or_default().busy = chunk_changed;
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

    /// Reads a chunk whose revision isn't the expected one: an earlier commit whose
    /// answer was lost stands after all.
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

    fn retry_write(&mut self, job: &JobId, chunk: u32) {
        // The chunk is written again, fails again, and is read then.
        self.requeue_write(job, chunk);
    }

    pub(crate) fn on_placements_reread(
        &mut self,
        context: &mut Context,
        job: JobId,
        chunk: u32,
        reply: StoreResponse,
    ) {
        let (revision, run) = match reply {
            StoreResponse::Found {
                record: Record::Placements(run),
                revision,
            } => (revision, run),
            StoreResponse::Missing { .. } => (0, PlacementRecord::default()),
            _ => return self.retry_write(&job, chunk),
        };
        let now = context.now;
        let mut ready = Vec::new();
        if let Some(job_state) = self.jobs.get_mut(&job) {
            let entry = job_state.chunks.entry(chunk).or_default();
            entry.revision = revision;
            entry.busy = false;
            let placed: Vec<_> = run
                .placed
                .iter()
                .map(|placement| (placement.0, placement.1))
                .collect();
            ready = mark_committed(now, job_state, &placed);
        }
        self.remove_unsent(now, &job);
        self.requeue_write(&job, chunk);

        for machine in ready {
            self.answer_long_poll(context, &machine);
        }
    }
}

/// Marks committed placements; returns their machines.
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
            placement.since = now;
            machines.push(placement.machine.clone());
        }
    }
    machines
}

impl ShardOwner {
    /// The present content of a chunk's record.
    pub(crate) fn placement_record(
        &self,
        job: &JobId,
        job_state: &JobState,
        chunk: u32,
    ) -> PlacementRecord {
        let tasks = job_state.layout.tasks_of(chunk);
        let (failed_tries, failed_on) = self.failures.of_job(job);
        let done = tasks
            .clone()
            .filter(|index| job_state.done[*index as usize]);
        let placed = job_state.placed.range(tasks);
        let placed = placed.map(|(index, placement)| {
            let zone = placement.zone.to_string();
            (*index, placement.attempt, placement.machine.clone(), zone)
        });
        PlacementRecord {
            done: ranges(done),
            placed: placed.collect(),
            failed_tries,
            failed_on,
            part: job_state.layout.part_size(chunk),
        }
    }

    /// Queues a chunk whose commit didn't succeed, with the urgency of what it holds by now.
    /// Put before all others, the batch work's chunks overtook urgent ones whenever the budget
    /// for changes ran out.
    fn requeue_write(&mut self, job: &JobId, chunk: u32) {
        let Some(job_state) = self.jobs.get_mut(job) else {
            return;
        };
        job_state.chunks.entry(chunk).or_default().busy = false;
        queue_chunk(&mut self.write_queue, job, job_state, chunk);
    }

    /// Queues the record of a placement that was just made.
    pub(crate) fn write_placement(&mut self, job: &JobId, index: u32) {
        if let Some(job_state) = self.jobs.get(job) {
            let urgency = WriteUrgency::placements(job_state.record.priority_class);
            let chunk = job_state.layout.chunk_of(index);
            self.write_queue.insert((urgency, job.clone(), chunk));
        }
    }

    /// Turns to writing a job's chunks in parts that fit into values of so many bytes. What waits
    /// to be written of a chunk is written with its parts, results before they are cleared.
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

    /// Placements told to stop before their start was sent: they can't be there.
    fn remove_unsent(&mut self, now: Time, job: &JobId) {
        let Some(job_state) = self.jobs.get(job) else {
            return;
        };
        let was_never_sent = job_state.placed.iter().filter(|(_, placement)| {
            placement.stop_requested.is_some() && placement.phase == Phase::Ready
        });
        let was_never_sent: Vec<u32> = was_never_sent.map(|(index, _)| *index).collect();
        for index in was_never_sent {
            let job = job.clone();
            self.remove_placement(now, &TaskId { job, index });
        }
    }

    /// The job changed under a commit, so its placements were never made.
    fn remove_uncommitted(&mut self, now: Time, item: &PlacementWrite) {
        for (index, attempt) in &item.placed {
            let same = |placement: &Placement| {
                placement.attempt == *attempt && placement.phase == Phase::Committing
            };
            let job_state = self.jobs.get(&item.job);
            if job_state
                .and_then(|l| l.placed.get(index))
                .is_some_and(same)
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

/// Queues what is to be written of a chunk: itself or, if its job was cut into parts, these.
fn queue_chunk(queue: &mut WriteQueue, job: &JobId, job_state: &JobState, chunk: u32) {
    for chunk in job_state.layout.chunks_for(chunk) {
        queue.insert((job_state.write_urgency(chunk), job.clone(), chunk));
    }
}
