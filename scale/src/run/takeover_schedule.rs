//! The times and kinds of the leader faults of an experiment.

use crate::experiment::{LeaderFault, Takeovers};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The leader faults that are still to be injected. Times and kinds are random, but depend only on
/// the seed.
pub(super) struct TakeoverSchedule {
    takeovers: Takeovers,
    rng: StdRng,
    remaining: u32,
    /// Time of the next fault, in seconds from the start of the load.
    next_fault_s: f64,
}

impl TakeoverSchedule {
    /// Schedules the first fault one interval after `measure_from_s`, the start of the measurement.
    pub(super) fn new(takeovers: &Takeovers, seed: u64, measure_from_s: f64) -> Self {
        Self {
            remaining: takeovers.count,
            next_fault_s: measure_from_s + takeovers.mean_interval_s,
            rng: StdRng::seed_from_u64(seed),
            takeovers: takeovers.clone(),
        }
    }

    /// Returns the kind of the fault that is due at `at_s`, if any, and schedules the next fault.
    pub(super) fn take_due(&mut self, at_s: f64) -> Option<LeaderFault> {
        if self.remaining == 0 || at_s < self.next_fault_s {
            return None;
        }
        self.remaining -= 1;
        let interval_factor = self.rng.random_range(0.8..1.2);
        self.next_fault_s += self.takeovers.mean_interval_s * interval_factor;
        let kind = self.rng.random_range(0..self.takeovers.kinds.len());
        Some(self.takeovers.kinds[kind])
    }
}
