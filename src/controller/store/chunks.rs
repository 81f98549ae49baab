//! Which record of a job each of its tasks is in.
//!
//! A job's tasks are recorded in chunks, whose size is fixed when the job is accepted. When the
//! store lowers its limit on values, a chunk may stay readable and yet be too large to be
//! written again. It is then written in parts: the records of parts stand before the chunk's own
//! for the tasks that they cover, so each part can be written by itself, and the chunk is left as
//! it is until the job ends.

use crate::controller::store::records::{JobRecord, PlacementRecord};
use std::borrow::Cow;
use std::ops::Range;

/// Bytes of a `run` record for each of its tasks: a placed one takes about 60 as JSON, and as
/// much again is left for the rest.
const TASK_BYTES: usize = 120;
/// Most tasks of one `run` record, however large values may be.
const CHUNK_MAX: usize = 256;

/// Tasks per `run` record where values have so many bytes at most.
pub fn chunk_size(value_bytes: usize) -> u32 {
    (value_bytes / TASK_BYTES).clamp(1, CHUNK_MAX) as u32
}

/// Where the tasks of a job are recorded. Each chunk has a record of its own; a chunk that has
/// outgrown the limit on values is written in parts from then on. A part's number is
/// [`ChunkLayout::PART_BASE`] plus its first task, and its record alone speaks of its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkLayout {
    /// Tasks of the job.
    count: u32,
    /// Tasks of a chunk.
    chunk: u32,
    /// Tasks of a part, once the job's chunks are written in parts.
    part: Option<u32>,
}

impl ChunkLayout {
    /// Above the number of every chunk: no job has as many tasks.
    pub const PART_BASE: u32 = 1 << 20;

    /// The layout of a job whose records have parts of this size, if they have any.
    pub fn new(record: &JobRecord, part: Option<u32>) -> Self {
        Self {
            count: record.count,
            chunk: record.chunk_size.max(1),
            part: part.filter(|size| *size > 0),
        }
    }

    /// Whether this is the number of a part, not of a chunk.
    pub fn is_part(chunk: u32) -> bool {
        chunk >= Self::PART_BASE
    }

    /// Tasks of a part, if this is the number of one.
    pub fn part_size(&self, chunk: u32) -> Option<u32> {
        self.part.filter(|_| Self::is_part(chunk))
    }

    /// The chunk or part in which a task is to be recorded.
    pub fn chunk_of(&self, index: u32) -> u32 {
        let chunk = index / self.chunk;
        let Some(size) = self.part else {
            return chunk;
        };
        let first = chunk * self.chunk;
        Self::PART_BASE + first + (index - first) / size * size
    }

    /// The tasks of a chunk or part.
    pub fn tasks_of(&self, chunk: u32) -> Range<u32> {
        let Some(first) = chunk.checked_sub(Self::PART_BASE) else {
            let first = chunk.saturating_mul(self.chunk).min(self.count);
            return first..first.saturating_add(self.chunk).min(self.count);
        };
        let whole = self.tasks_of(first / self.chunk);
        let size = self.part.unwrap_or(self.chunk);
        first.min(whole.end)..first.saturating_add(size).min(whole.end)
    }

    /// The chunks or parts in which the tasks of one of either are to be recorded.
    pub fn chunks_for(&self, chunk: u32) -> Vec<u32> {
        let tasks = self.tasks_of(chunk);
        let mut chunks: Vec<u32> = tasks.map(|index| self.chunk_of(index)).collect();
        chunks.dedup();
        chunks
    }
}

/// Rising indexes as ranges of neighbours, each with the index behind its last.
pub fn to_ranges(indexes: impl Iterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for index in indexes {
        match ranges.last_mut() {
            Some((_, end)) if *end == index => *end += 1,
            _ => ranges.push((index, index + 1)),
        }
    }
    ranges
}

/// One record of a job as far as it counts: its token, its revision, and what it says.
pub type EffectivePlacements<'a> = (u32, u64, Cow<'a, PlacementRecord>);

/// What a job's records say together, each task spoken of once, and how they are laid out.
pub fn effective_placements<'a>(
    record: &JobRecord,
    runs: impl Iterator<Item = (u32, &'a (u64, PlacementRecord))>,
) -> (Vec<EffectivePlacements<'a>>, ChunkLayout) {
    let runs: Vec<_> = runs.collect();
    let part = runs.iter().find_map(|(_, (_, run))| run.part_size);
    let layout = ChunkLayout::new(record, part);
    let parts = runs.iter().map(|(chunk, _)| *chunk);
    let parts = parts.filter(|chunk| ChunkLayout::is_part(*chunk));
    let replaced: Vec<Range<u32>> = parts.map(|chunk| layout.tasks_of(chunk)).collect();
    let effective = runs.into_iter().map(|(chunk, (revision, run))| {
        let whole = ChunkLayout::is_part(chunk) || replaced.is_empty();
        let counts = if whole {
            Cow::Borrowed(run)
        } else {
            Cow::Owned(run.without(&replaced))
        };
        (chunk, *revision, counts)
    });
    (effective.collect(), layout)
}
