//! The utilization of this process, and how many machines one owner can serve with it.
//!
//! The loop around the controller measures the share of its time for which it doesn't wait, which
//! accounts for the processor, this process's share of it and its other load. Here it is smoothed:
//! the cost of a takeover or a burst of submissions is temporary, and a fleet that is split into
//! shards stays split.

use crate::ids::Time;

/// Time constant of the exponential average over the measurements, in seconds.
const SMOOTHING_S: f64 = 10.0;
/// A measurement is used up to this age, in seconds.
const STALE_S: f64 = 5.0;
/// Below this share, other work costs more than the machines do, so that the cost of a machine
/// can't be derived.
const SHARE_MIN: f64 = 0.05;

/// The smoothed utilization of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessorUtilization {
    latest: Option<(Time, f64)>,
}

impl ProcessorUtilization {
    /// Adds a measurement: the share of its time, from 0 to 1, for which the process didn't wait
    /// since the measurement before this one.
    pub fn record(&mut self, now: Time, busy: f64) {
        let busy = busy.clamp(0.0, 1.0);
        let smoothed = match self.latest {
            None => busy,
            Some((at, before)) => {
                let kept = (-now.since(at) / SMOOTHING_S).exp();
                before * kept + busy * (1.0 - kept)
            }
        };
        self.latest = Some((now, smoothed));
    }

    /// Whether there ever was a measurement.
    pub fn has_measurement(&self) -> bool {
        self.latest.is_some()
    }

    /// The smoothed share of its time for which this process was busy; `None` without a recent
    /// measurement.
    pub fn share(&self, now: Time) -> Option<f64> {
        let fresh = |(at, _): &(Time, f64)| now.since(*at) < STALE_S;
        self.latest.filter(fresh).map(|(_, share)| share)
    }

    /// How many machines would take all of an owner's processor, derived from the number that it
    /// owns now; `None` without a recent measurement, or if it owns too few for an estimate.
    pub fn machines_per_owner(&self, now: Time, owned: usize) -> Option<f64> {
        let share = self.share(now)?;
        (owned > 0 && share > SHARE_MIN).then(|| owned as f64 / share)
    }
}
