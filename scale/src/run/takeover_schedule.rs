//! When and how leaders are ended.

use crate::experiment::{LeaderEnd, Takeovers};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The ends of leaders that are still to come.
pub(super) struct TakeoverSchedule {
    takeovers: Takeovers,
    rng: StdRng,
    remaining: u32,
    next_s: f64,
}

impl TakeoverSchedule {
    /// The first end comes one interval after the measurement has begun.
    pub(super) fn new(takeovers: &Takeovers, seed: u64, measure_from_s: f64) -> Self {
        Self {
            remaining: takeovers.count,
            next_s: measure_from_s + takeovers.every_s,
            rng: StdRng::seed_from_u64(seed),
            takeovers: takeovers.clone(),
        }
    }

    /// The end that is due.
    pub(super) fn next_due(&mut self, at_s: f64) -> Option<LeaderEnd> {
        if self.remaining == 0 || at_s < self.next_s {
            return None;
        }
        self.remaining -= 1;
        let spread = self.rng.random_range(0.8..1.2);
        self.next_s += self.takeovers.every_s * spread;
        let kind = self.rng.random_range(0..self.takeovers.kinds.len());
        Some(self.takeovers.kinds[kind])
    }
}
