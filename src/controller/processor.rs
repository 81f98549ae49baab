//! How busy this process is, and how many machines that lets one owner serve.
//!
//! Which part of its time a process doesn't wait is measured by the loop around the controller, so that it
//! holds whatever the processor, its share of one and what runs beside it. Here it is smoothed: what
//! a takeover or a burst of submissions costs passes by itself, and a fleet that has been cut stays
//! cut.

use crate::ids::Time;

/// Time over which measurements are averaged, in seconds: each counts for so much less than the
/// next one.
const SMOOTH_S: f64 = 10.0;
/// Measurements older than this say nothing any more.
const STALE_S: f64 = 5.0;
/// Below this share nothing can be told of what a machine costs: what runs besides is more.
const LEAST_SHARE: f64 = 0.05;

/// How busy this process has been lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessorUtilization {
    latest: Option<(Time, f64)>,
}

impl ProcessorUtilization {
    /// Takes in the share of its time, from 0 to 1, for which the process didn't wait since the
    /// measurement before this one.
    pub fn note(&mut self, now: Time, busy: f64) {
        let busy = busy.clamp(0.0, 1.0);
        let smoothed = match self.latest {
            None => busy,
            Some((at, before)) => {
                let kept = (-now.since(at) / SMOOTH_S).exp();
                before * kept + busy * (1.0 - kept)
            }
        };
        self.latest = Some((now, smoothed));
    }

    /// Whether there ever was a measurement.
    pub fn measured(&self) -> bool {
        self.latest.is_some()
    }

    /// The share of its time for which this process has been busy lately; `None` where that
    /// isn't measured.
    pub fn share(&self, now: Time) -> Option<f64> {
        let fresh = |(at, _): &(Time, f64)| now.since(*at) < STALE_S;
        self.latest.filter(fresh).map(|(_, share)| share)
    }

    /// How many machines would take all of an owner's processor, when it holds so many; `None`
    /// where that isn't measured, or it holds too few to tell.
    pub fn machines_per_owner(&self, now: Time, held: usize) -> Option<f64> {
        let share = self.share(now)?;
        (held > 0 && share > LEAST_SHARE).then(|| held as f64 / share)
    }
}
