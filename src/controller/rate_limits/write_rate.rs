//! Measures how many changes per second the other controllers make at the store.
//!
//! The watch delivers every change, and those that this controller didn't make itself come from the
//! others. The owner of the only shard uses what they leave of the common rate limit.

use crate::ids::Time;

/// Minimum length of the window over which changes are counted, in seconds.
const WINDOW_S: f64 = 1.0;
/// Weight of the latest rate in the moving average when the rate has fallen. A higher rate replaces
/// the average at once.
const DECREASE_WEIGHT: f64 = 0.25;

/// Counts the changes at the store that the watch delivers and those that this controller makes.
#[derive(Debug, Default)]
pub(crate) struct WriteRateMeter {
    /// Changes that the watch delivered in this window.
    seen: f64,
    /// Changes that this controller made in this window.
    own: f64,
    window_start: Time,
    /// Moving average of the other controllers' changes per second.
    others: f64,
}

impl WriteRateMeter {
    /// Counts changes that the watch delivered.
    pub(crate) fn count_seen(&mut self, changes: usize) {
        self.seen += changes as f64;
    }

    /// Counts changes that this controller made.
    pub(crate) fn count_own(&mut self, changes: f64) {
        self.own += changes;
    }

    /// Ends the window and updates the average if [`WINDOW_S`] has passed. Returns whether it has.
    pub(crate) fn advance(&mut self, now: Time) -> bool {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW_S {
            return false;
        }
        let rate = (self.seen - self.own).max(0.0) / elapsed;
        self.others = rate.max(self.others + (rate - self.others) * DECREASE_WEIGHT);
        self.seen = 0.0;
        self.own = 0.0;
        self.window_start = now;
        true
    }

    /// Moving average of the changes per second that the other controllers make.
    pub(crate) fn others(&self) -> f64 {
        self.others
    }
}
