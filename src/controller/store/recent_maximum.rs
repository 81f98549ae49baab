//! The maximum of a quantity over a recent period.

use crate::ids::Time;

/// Length of one of the two windows over which the maximum is taken, in seconds.
const WINDOW_S: f64 = 10.0;

/// The maximum of the values recorded within the last one to two windows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentMaximum {
    window_start: Time,
    current: f64,
    previous: f64,
}

impl RecentMaximum {
    /// Records a value.
    pub(super) fn record(&mut self, now: Time, value: f64) {
        let elapsed_s = now.since(self.window_start);
        if elapsed_s >= WINDOW_S {
            self.previous = if elapsed_s < 2.0 * WINDOW_S {
                self.current
            } else {
                0.0
            };
            self.current = 0.0;
            self.window_start = now;
        }
        self.current = self.current.max(value);
    }

    /// Returns the maximum; 0 if no value was recorded recently.
    pub(super) fn get(&self, now: Time) -> f64 {
        let elapsed_s = now.since(self.window_start);
        if elapsed_s < WINDOW_S {
            self.current.max(self.previous)
        } else if elapsed_s < 2.0 * WINDOW_S {
            self.current
        } else {
            0.0
        }
    }
}
