//! The CPU utilization of this process, and an estimate of how many machines one owner can serve.
//!
//! The event loop around the controller measures the fraction of its time during which it isn't
//! waiting. This measurement includes the speed of the CPU, the CPU time that other processes take,
//! and all other load. It is smoothed here: a takeover or a burst of submissions costs CPU time
//! only temporarily, but a fleet that has been split into shards stays split.

use crate::ids::Time;

/// Time constant of the exponential average over the measurements, in seconds.
const SMOOTHING_TIME_CONSTANT_S: f64 = 10.0;
/// Age from which a measurement isn't used any more, in seconds.
const MEASUREMENT_MAX_AGE_S: f64 = 5.0;
/// Utilization up to which no cost per machine is derived: other work then takes more CPU time than
/// the machines do.
const UTILIZATION_MIN: f64 = 0.05;

/// The smoothed CPU utilization of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessorUtilization {
    latest: Option<(Time, f64)>,
}

impl ProcessorUtilization {
    /// Adds a measurement: the fraction of the time since the previous measurement, from 0 to 1,
    /// during which the process was busy.
    pub fn record(&mut self, now: Time, busy: f64) {
        let busy = busy.clamp(0.0, 1.0);
        let smoothed = match self.latest {
            None => busy,
            Some((at, previous)) => {
                let decay = (-now.since(at) / SMOOTHING_TIME_CONSTANT_S).exp();
                previous * decay + busy * (1.0 - decay)
            }
        };
        self.latest = Some((now, smoothed));
    }

    /// Whether there has been any measurement, however old.
    pub fn has_measurement(&self) -> bool {
        self.latest.is_some()
    }

    /// Returns the smoothed fraction of time, from 0 to 1, during which this process was busy, or
    /// `None` without a recent measurement.
    pub fn busy_fraction(&self, now: Time) -> Option<f64> {
        let is_recent = |(at, _): &(Time, f64)| now.since(*at) < MEASUREMENT_MAX_AGE_S;
        self.latest.filter(is_recent).map(|(_, busy)| busy)
    }

    /// Estimates how many machines would use all CPU time of an owner, from the number of machines
    /// that it owns now. Returns `None` without a recent measurement, without owned machines, or if
    /// the utilization is too low for an estimate.
    pub fn machines_per_owner(&self, now: Time, owned: usize) -> Option<f64> {
        let busy = self.busy_fraction(now)?;
        (owned > 0 && busy > UTILIZATION_MIN).then(|| owned as f64 / busy)
    }
}
