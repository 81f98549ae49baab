//! Maps each task of a job to the store record that holds its placement.
//!
//! The placements of a job are stored in chunks. The chunk size is fixed when the job is accepted.
//! When the store lowers its limit on the size of values, a chunk may stay readable and yet be too
//! large to be written again. Such a chunk is written in parts from then on: for the tasks that a
//! part covers, the part's record overrides the chunk's record. Each part can be written
//! independently, and the chunk's record stays unchanged until the job ends.

use crate::controller::store::records::{JobRecord, PlacementRecord};
use std::borrow::Cow;
use std::ops::Range;

/// Bytes of a placement record that are budgeted for each task. A placed task takes about 60 bytes
/// as JSON; the other half is left for the rest of the record.
const RECORD_BYTES_PER_TASK: usize = 120;
/// Upper bound on the tasks of one placement record, however large values may be.
const CHUNK_TASKS_MAX: usize = 256;

/// Returns the number of tasks per placement record if a value may have at most `value_bytes`
/// bytes.
pub fn chunk_size(value_bytes: usize) -> u32 {
    (value_bytes / RECORD_BYTES_PER_TASK).clamp(1, CHUNK_TASKS_MAX) as u32
}

/// The division of a job's tasks into chunks and parts.
///
/// Each chunk has its own record. A chunk that exceeds the limit on the size of values is written
/// in parts from then on. The number of a part is [`ChunkLayout::PART_BASE`] plus the index of its
/// first task; for the tasks of a part, only the part's record is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkLayout {
    /// Tasks of the job.
    task_count: u32,
    /// Tasks per chunk.
    chunk_size: u32,
    /// Tasks per part; `None` until the job's chunks are written in parts.
    part_size: Option<u32>,
}

impl ChunkLayout {
    /// The lowest number of a part. It exceeds every chunk number, since no job has this many
    /// tasks.
    pub const PART_BASE: u32 = 1 << 20;

    /// Returns the layout of a job. `part_size` is the number of tasks per part, or `None` if the
    /// job has no parts; 0 counts as `None`.
    pub fn new(record: &JobRecord, part_size: Option<u32>) -> Self {
        Self {
            task_count: record.count,
            chunk_size: record.chunk_size.max(1),
            part_size: part_size.filter(|size| *size > 0),
        }
    }

    /// Whether `chunk` is the number of a part rather than of a chunk.
    pub fn is_part(chunk: u32) -> bool {
        chunk >= Self::PART_BASE
    }

    /// Returns the number of tasks per part if `chunk` is the number of a part.
    pub fn part_size(&self, chunk: u32) -> Option<u32> {
        self.part_size.filter(|_| Self::is_part(chunk))
    }

    /// Returns the number of the chunk or part in which new placements of a task are recorded.
    pub fn chunk_of(&self, index: u32) -> u32 {
        let chunk = index / self.chunk_size;
        let Some(size) = self.part_size else {
            return chunk;
        };
        let first = chunk * self.chunk_size;
        Self::PART_BASE + first + (index - first) / size * size
    }

    /// Returns the task indexes of a chunk or part. A part ends at the latest with its chunk.
    pub fn tasks_of(&self, chunk: u32) -> Range<u32> {
        let Some(first) = chunk.checked_sub(Self::PART_BASE) else {
            let first = chunk.saturating_mul(self.chunk_size).min(self.task_count);
            return first..first.saturating_add(self.chunk_size).min(self.task_count);
        };
        let chunk_tasks = self.tasks_of(first / self.chunk_size);
        let size = self.part_size.unwrap_or(self.chunk_size);
        first.min(chunk_tasks.end)..first.saturating_add(size).min(chunk_tasks.end)
    }

    /// Returns the chunks or parts in which new placements of the tasks of `chunk` are recorded.
    /// `chunk` may be a chunk or a part; several parts may cover one chunk.
    pub fn chunks_for(&self, chunk: u32) -> Vec<u32> {
        let tasks = self.tasks_of(chunk);
        let mut chunks: Vec<u32> = tasks.map(|index| self.chunk_of(index)).collect();
        chunks.dedup();
        chunks
    }
}

/// Merges ascending indexes into ranges of consecutive indexes. The end of a range is exclusive.
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

/// The valid content of one placement record: the number of its chunk or part, the record's
/// revision, and its content without the tasks that a part overrides.
pub type EffectiveRecord<'a> = (u32, u64, Cow<'a, PlacementRecord>);

/// Returns the valid content of a job's placement records, in which each task occurs in only one
/// record, and the layout of the records.
pub fn effective_placements<'a>(
    record: &JobRecord,
    placement_records: impl Iterator<Item = (u32, &'a (u64, PlacementRecord))>,
) -> (Vec<EffectiveRecord<'a>>, ChunkLayout) {
    let placement_records: Vec<_> = placement_records.collect();
    let part_size = placement_records
        .iter()
        .find_map(|(_, (_, placements))| placements.part_size);
    let layout = ChunkLayout::new(record, part_size);
    let parts = placement_records.iter().map(|(chunk, _)| *chunk);
    let parts = parts.filter(|chunk| ChunkLayout::is_part(*chunk));
    let overridden: Vec<Range<u32>> = parts.map(|chunk| layout.tasks_of(chunk)).collect();
    let effective = placement_records
        .into_iter()
        .map(|(chunk, (revision, placements))| {
            let is_fully_valid = ChunkLayout::is_part(chunk) || overridden.is_empty();
            let valid = if is_fully_valid {
                Cow::Borrowed(placements)
            } else {
                Cow::Owned(placements.without(&overridden))
            };
            (chunk, *revision, valid)
        });
    (effective.collect(), layout)
}
