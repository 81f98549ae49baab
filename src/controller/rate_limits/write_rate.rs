//! How many changes a second the other controllers make at the store.
//!
//! Every change comes back through the watch. What a controller didn't write itself, others did,
//! so the owner of the only shard can use what they leave of the common limit.

use crate::ids::Time;

/// Changes are counted over this time.
const WINDOW_S: f64 = 1.0;
/// Share of the latest count in what others are taken to make, when it is lower than before. A
/// higher count is taken at once.
const FALL: f64 = 0.25;

/// Counts changes by whom they were made.
#[derive(Debug, Default)]
pub(crate) struct WriteRateMeter {
    /// Changes seen through the watch in this window, and those of them made here.
    seen: f64,
    own: f64,
    since: Time,
    others: f64,
}

impl WriteRateMeter {
    /// Takes note of changes that the watch brought.
    pub(crate) fn note_seen(&mut self, changes: usize) {
        self.seen += changes as f64;
    }

    /// Takes note of changes made here.
    pub(crate) fn note_own(&mut self, changes: f64) {
        self.own += changes;
    }

    /// Ends the window if it is over; true if it was.
    pub(crate) fn advance(&mut self, now: Time) -> bool {
        let passed = now.since(self.since);
        if passed < WINDOW_S {
            return false;
        }
        let rate = (self.seen - self.own).max(0.0) / passed;
        self.others = rate.max(self.others + (rate - self.others) * FALL);
        (self.seen, self.own, self.since) = (0.0, 0.0, now);
        true
    }

    /// Changes a second that others make.
    pub(crate) fn others(&self) -> f64 {
        self.others
    }
}
