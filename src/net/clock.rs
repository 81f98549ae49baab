//! The process's steady clock.

use crate::ids::Time;
use std::time::Instant;

/// What the clock shows when the process starts, so that the moment 0 lies long ago.
const START_MS: u64 = 10_000_000;

/// Counts milliseconds from the start of the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(super) fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The moment at which this clock was started.
    pub(super) fn started_at() -> Time {
        Time(START_MS)
    }

    /// The present moment.
    pub(super) fn now(&self) -> Time {
        Time(START_MS + self.started.elapsed().as_millis() as u64)
    }
}
