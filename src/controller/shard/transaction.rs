//! Builds transactions of chunks: which chunks are written together, and under which preconditions.

use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::commits::PlacementWrite;
use crate::controller::shard::job::JobState;
use crate::controller::shard::{ShardOwner, WriteUrgency};
use crate::controller::store::chunks::chunk_size;
use crate::controller::store::records::{Key, PlacementRecord, Record, json_bytes};
use crate::ids::JobId;
use crate::wire::{StoreRequest, Write};

/// The store's limits for a transaction of chunks.
pub(crate) struct TransactionLimits {
    /// Maximum number of operations in a transaction.
    pub(crate) ops: usize,
    /// Maximum size of a value at present, as far as is known.
    pub(crate) value_bytes: usize,
    /// Maximum size of a value at present and under the announced future limits.
    pub(crate) strict_bytes: usize,
}

/// A transaction of chunks that is being built.
pub(crate) struct ChunkTransaction {
    pub(crate) preconditions: Vec<(Key, u64)>,
    pub(crate) writes: Vec<Write>,
    pub(crate) items: Vec<PlacementWrite>,
    /// Estimated size of the writes, in JSON bytes.
    pub(crate) bytes: usize,
}

impl ChunkTransaction {
    /// Adds a chunk's current record, with the precondition that the records of the job and of the
    /// chunk are unchanged.
    pub(crate) fn add(
        &mut self,
        job: &JobId,
        job_state: &JobState,
        chunk: u32,
        record: PlacementRecord,
    ) {
        let key = Key::Placements(job.clone(), chunk);
        let revision = job_state
            .chunks
            .get(&chunk)
            .map_or(0, |chunk| chunk.revision);
        self.preconditions
            .push((Key::Job(job.clone()), job_state.revision));
        self.preconditions.push((key.clone(), revision));
        self.bytes +=
            PLACED_TASK_BYTES * record.placed.len() + DONE_RANGE_BYTES * record.done.len();
        let placed = record.placed.iter();
        self.items.push(PlacementWrite {
            job: job.clone(),
            chunk,
            placed: placed
                .map(|(index, attempt, ..)| (*index, *attempt))
                .collect(),
        });
        self.writes
            .push(Write::put(key, Record::Placements(record)));
    }

    /// Returns the request. `None` if there is nothing to write.
    pub(crate) fn finish(mut self) -> Option<(StoreRequest, Vec<PlacementWrite>)> {
        // A job with several chunks in the transaction has only one precondition.
        self.preconditions.sort();
        self.preconditions.dedup();
        let request = StoreRequest::Transaction {
            preconditions: self.preconditions,
            writes: self.writes,
        };
        (!self.items.is_empty()).then_some((request, self.items))
    }
}

/// Estimated JSON bytes of a placed task in a record.
pub(crate) const PLACED_TASK_BYTES: usize = 60;

/// Estimated JSON bytes of a range of done tasks in a record.
pub(crate) const DONE_RANGE_BYTES: usize = 12;

/// Builds the next transaction from the head of the write queue. All its chunks have the same
/// priority, so that urgent ones don't wait for the budget of batch work. `None` if no chunk can be
/// written now.
pub(crate) fn next_transaction(
    shard: &mut ShardOwner,
    limits: &TransactionLimits,
    priority: Priority,
) -> Option<(StoreRequest, Vec<PlacementWrite>)> {
    let mut transaction = ChunkTransaction {
        preconditions: vec![(Key::Shard(shard.shard), shard.shard_revision)],
        writes: Vec::new(),
        items: Vec::new(),
        bytes: 0,
    };
    let has_priority = |(urgency, ..): &&(WriteUrgency, JobId, u32)| urgency.priority() == priority;
    let queue = shard.write_queue.iter().take_while(has_priority);
    let candidates: Vec<_> = queue.take(4 * limits.ops).cloned().collect();
    for entry in candidates {
        if transaction.writes.len() >= limits.ops || transaction.bytes > TRANSACTION_BYTES_MAX {
            break;
        }
        // Splitting one chunk of a job into parts removes the job's other chunks from the queue
        // too. When such a chunk was written nevertheless, its record was marked as a part, and its
        // tasks were recorded twice.
        if !shard.write_queue.contains(&entry) {
            continue;
        }
        let (_, job, chunk) = &entry;
        let Some(job_state) = shard.jobs.get(job) else {
            shard.write_queue.remove(&entry);
            continue;
        };
        if job_state.is_finishing
            || job_state
                .chunks
                .get(chunk)
                .is_some_and(|c| c.is_request_in_flight)
        {
            continue;
        }
        let record = shard.placement_record(job, job_state, *chunk);
        // Only chunks of jobs that were accepted under larger limits can exceed the current limit.
        let tasks = job_state.layout.tasks_of(*chunk).len();
        let may_exceed_limit = tasks > chunk_size(limits.strict_bytes) as usize;
        if may_exceed_limit && json_bytes(&record) > limits.value_bytes {
            shard.split_into_parts(job, limits.strict_bytes);
            continue;
        }
        transaction.add(job, job_state, *chunk, record);
        // The record has everything that is to be written of the chunk, at any urgency.
        for urgency in WriteUrgency::ALL {
            shard.write_queue.remove(&(urgency, job.clone(), *chunk));
        }
        if let Some(job_state) = shard.jobs.get_mut(job) {
            job_state
                .chunks
                .entry(*chunk)
                .or_default()
                .is_request_in_flight = true;
        }
    }
    transaction.finish()
}

/// Size at which a transaction gets no more chunks, in estimated JSON bytes. It is below the
/// store's limit of 64 KiB per transaction.
pub(crate) const TRANSACTION_BYTES_MAX: usize = 40 * 1024;
