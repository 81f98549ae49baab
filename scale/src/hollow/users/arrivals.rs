//! Submission times of jobs: a constant rate for each class.

use crate::hollow::jobs::{BATCH_CLASS, SERVICE_CLASS, URGENT_CLASS};
use crate::hollow::plan::CellPlan;

/// Minimum period, in seconds, over which services are submitted, so that a ramp of 0 doesn't yield
/// an infinite rate.
const RAMP_MIN_S: f64 = 0.1;
/// Lower bound of the rate from which the first service's submission time is derived, which keeps
/// that time finite in a cell without services.
const RATE_MIN_PER_S: f64 = 0.001;

/// Jobs of one class that are submitted at a constant rate. Times are in milliseconds.
struct JobStream {
    class: &'static str,
    rate_per_s: f64,
    next_ms: f64,
    end_ms: f64,
    submitted: u64,
}

/// A job that is due for submission.
pub(super) struct DueJob {
    /// Class of the job.
    pub(super) class: &'static str,
    /// Number of the job within its class, from 1.
    pub(super) number: u64,
}

/// The submission times of all jobs of a cell.
pub(super) struct Arrivals {
    streams: Vec<JobStream>,
    /// Rate of batch jobs, as a multiple of the initial rate.
    batch_factor: f64,
}

impl Arrivals {
    /// Returns arrivals without jobs, until `start` is called.
    pub(super) fn new() -> Self {
        Self {
            streams: Vec::new(),
            batch_factor: 1.0,
        }
    }

    /// Starts the load: services are submitted during the ramp, batch and urgent jobs after it.
    pub(super) fn start(&mut self, now: u64, plan: &CellPlan) {
        let (load, phases) = (&plan.load, &plan.phases);
        let now = now as f64;
        let ramp_end_ms = now + phases.ramp_s * 1000.0;
        let load_s = phases.warmup_s + phases.measure_s;
        let load_end_ms = (ramp_end_ms + load_s * 1000.0).trunc();
        let service_tasks = load.service_tasks_per_worker * plan.workers as f64;
        let services = (service_tasks / f64::from(load.replicas)).round();
        let services_per_s = services / phases.ramp_s.max(RAMP_MIN_S);
        let batch_per_s = load.starts_per_s * plan.worker_share / f64::from(load.tasks_per_job);
        // The first service comes half an interval after the start: then rounding errors can't
        // change the number of services that fit into the ramp.
        let first_service_ms = now + 0.5 * 1000.0 / services_per_s.max(RATE_MIN_PER_S);
        let stream = |class, rate_per_s, next_ms, end_ms| JobStream {
            class,
            rate_per_s,
            next_ms,
            end_ms,
            submitted: 0,
        };
        let urgent_per_s = load.urgent_per_s * plan.worker_share;
        self.streams = vec![
            stream(SERVICE_CLASS, services_per_s, first_service_ms, ramp_end_ms),
            stream(BATCH_CLASS, batch_per_s, ramp_end_ms, load_end_ms),
            stream(URGENT_CLASS, urgent_per_s, ramp_end_ms, load_end_ms),
        ];
    }

    /// Sets the rate of batch jobs, as a multiple of the initial rate. No stream catches up on jobs
    /// that would have been due before now.
    pub(super) fn set_batch_factor(&mut self, now: u64, factor: f64) {
        self.batch_factor = factor;
        for stream in &mut self.streams {
            stream.next_ms = stream.next_ms.max(now as f64);
        }
    }

    /// Returns the next job that is due; `None` if no job is.
    pub(super) fn pop_due(&mut self, now: u64) -> Option<DueJob> {
        let batch_factor = self.batch_factor;
        self.streams.iter_mut().find_map(|stream| {
            let factor = if stream.class == BATCH_CLASS {
                batch_factor
            } else {
                1.0
            };
            stream.pop_due(now as f64, factor)
        })
    }
}

impl JobStream {
    fn pop_due(&mut self, now: f64, factor: f64) -> Option<DueJob> {
        let rate_per_s = self.rate_per_s * factor;
        if rate_per_s <= 0.0 || self.next_ms > now || self.next_ms >= self.end_ms {
            return None;
        }
        self.next_ms += 1000.0 / rate_per_s;
        self.submitted += 1;
        Some(DueJob {
            class: self.class,
            number: self.submitted,
        })
    }
}
