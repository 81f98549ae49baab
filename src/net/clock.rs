//! The monotonic clock of the process.

use crate::ids::Time;
use std::time::Instant;

/// The clock's reading when the process starts. It isn't 0, so that time 0 lies far in the past.
const START_READING_MS: u64 = 10_000_000;

/// A monotonic clock with a resolution of a millisecond.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started_instant: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(super) fn start() -> Self {
        Self {
            started_instant: Instant::now(),
        }
    }

    /// The reading of every clock at its start.
    pub(super) fn started_at() -> Time {
        Time(START_READING_MS)
    }

    /// The current reading.
    pub(super) fn now(&self) -> Time {
        Time(START_READING_MS + self.started_instant.elapsed().as_millis() as u64)
    }
}
