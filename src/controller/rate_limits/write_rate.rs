//! Meter of the changes per second that the other controllers make at the store.
//!
//! Every change comes back through the watch. Those that a controller didn't write itself come from
//! others, so the owner of the only shard can use what they leave of the common limit.

use crate::ids::Time;

/// Changes are counted over this time, in seconds.
const WINDOW_S: f64 = 1.0;
/// Weight of the latest count in the average when it is lower than before. A higher count replaces
/// the average at once.
const FALLING_WEIGHT: f64 = 0.25;

/// Counts the changes seen and those made here.
#[derive(Debug, Default)]
pub(crate) struct WriteRateMeter {
    /// Changes seen through the watch in this window.
    seen: f64,
    /// Changes made here in this window.
    own: f64,
    window_start: Time,
    /// Averaged changes per second of the others.
    others: f64,
}

impl WriteRateMeter {
    /// Counts changes that the watch brought.
    pub(crate) fn count_seen(&mut self, changes: usize) {
        self.seen += changes as f64;
    }

    /// Counts changes made here.
    pub(crate) fn count_own(&mut self, changes: f64) {
        self.own += changes;
    }

    /// Ends the window if it is over; true if it was.
    pub(crate) fn advance(&mut self, now: Time) -> bool {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW_S {
            return false;
        }
        let rate = (self.seen - self.own).max(0.0) / elapsed;
        self.others = rate.max(self.others + (rate - self.others) * FALLING_WEIGHT);
        self.seen = 0.0;
        self.own = 0.0;
        self.window_start = now;
        true
    }

    /// Changes per second that the other controllers make.
    pub(crate) fn others(&self) -> f64 {
        self.others
    }
}
