//! Transactions of placements: which chunks are written together, and on which conditions.

use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::commits::PlacementWrite;
use crate::controller::shard::job::JobState;
use crate::controller::shard::{ShardOwner, WriteUrgency};
use crate::controller::store::chunks::chunk_size;
use crate::controller::store::records::{Key, PlacementRecord, Record, json_bytes};
use crate::ids::JobId;
use crate::wire::{StoreRequest, Write};

/// What a transaction of chunks may hold.
pub(crate) struct TransactionLimits {
    pub(crate) ops: usize,
    /// Bytes that a value may have now, as far as is known.
    pub(crate) value_bytes: usize,
    /// Bytes that a value may have now and later.
    pub(crate) strict_bytes: usize,
}

/// A transaction of chunks that is being put together.
pub(crate) struct ChunkTransaction {
    pub(crate) preconditions: Vec<(Key, u64)>,
    pub(crate) writes: Vec<Write>,
    pub(crate) items: Vec<PlacementWrite>,
    /// About the bytes of the writes.
    pub(crate) bytes: usize,
}

impl ChunkTransaction {
    /// Adds a chunk's present record, on the condition that the job's and the chunk's are
    /// unchanged.
    pub(crate) fn add(
        &mut self,
        job: &JobId,
        job_state: &JobState,
        chunk: u32,
        record: PlacementRecord,
    ) {
        let key = Key::Placements(job.clone(), chunk);
        let revision = job_state.chunks.get(&chunk).map_or(0, |c| c.revision);
        self.preconditions
            .push((Key::Job(job.clone()), job_state.revision));
        self.preconditions.push((key.clone(), revision));
        self.bytes += PLACED_BYTES * record.placed.len() + DONE_BYTES * record.done.len();
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

    /// The request, unless there is nothing to write.
    pub(crate) fn finish(mut self) -> Option<(StoreRequest, Vec<PlacementWrite>)> {
        // A job with several chunks in the transaction is compared once.
        self.preconditions.sort();
        self.preconditions.dedup();
        let request = StoreRequest::Transaction {
            preconditions: self.preconditions,
            writes: self.writes,
        };
        (!self.items.is_empty()).then_some((request, self.items))
    }
}

/// Bytes that a placed task, and a range of finished ones, take in a record.
pub(crate) const PLACED_BYTES: usize = 60;

pub(crate) const DONE_BYTES: usize = 12;

/// Builds the next transaction of chunks of one priority: urgent ones don't wait until there is
/// budget for batch work as well.
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
    let same = |(urgency, ..): &&(WriteUrgency, JobId, u32)| urgency.priority() == priority;
    let queue = shard.write_queue.iter().take_while(same);
    let candidates: Vec<_> = queue.take(4 * limits.ops).cloned().collect();
    for entry in candidates {
        if transaction.writes.len() >= limits.ops || transaction.bytes > TRANSACTION_BYTES {
            break;
        }
        // Splitting a job's chunk into parts takes its other chunks out of the queue as well.
        // Written whole after that, one said that it was a part, and its tasks were recorded twice.
        if !shard.write_queue.contains(&entry) {
            continue;
        }
        let (_, job, chunk) = &entry;
        let Some(job_state) = shard.jobs.get(job) else {
            shard.write_queue.remove(&entry);
            continue;
        };
        if job_state.is_finishing || job_state.chunks.get(chunk).is_some_and(|c| c.busy) {
            continue;
        }
        let record = shard.placement_record(job, job_state, *chunk);
        // Only chunks of jobs accepted under larger limits can have outgrown the present one.
        let tasks = job_state.layout.tasks_of(*chunk).len();
        let old = tasks > chunk_size(limits.strict_bytes) as usize;
        if old && json_bytes(&record) > limits.value_bytes {
            shard.split_into_parts(job, limits.strict_bytes);
            continue;
        }
        transaction.add(job, job_state, *chunk, record);
        // One commit carries all that is to be written of the chunk.
        for urgency in WriteUrgency::ALL {
            shard.write_queue.remove(&(urgency, job.clone(), *chunk));
        }
        if let Some(job_state) = shard.jobs.get_mut(job) {
            job_state.chunks.entry(*chunk).or_default().busy = true;
        }
    }
    transaction.finish()
}

/// JSON bytes of chunks in one transaction, below the limit of 64 KiB.
pub(crate) const TRANSACTION_BYTES: usize = 40 * 1024;
