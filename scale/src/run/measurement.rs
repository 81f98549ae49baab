//! What is measured during a run: snapshots at both ends of the measurement, and regular samples.

use super::error::RunError;
use super::installation::Installation;
use crate::controllers::Controller;
use crate::hollow::{CellSample, SharedState};
use crate::procfs::{CpuTime, process_cpu};
use crate::results::SampleRow;
use std::time::Instant;
use tracing::info;

/// Seconds between two samples.
const SAMPLE_S: f64 = 1.0;

/// The processor time that a process had used.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessCpu {
    /// The process, which changes when a controller is restarted.
    pub(super) pid: u32,
    /// Its processor time.
    pub(super) time: CpuTime,
}

/// The counters of all cells and processes at one moment.
pub(super) struct Snapshot {
    pub(super) at: Instant,
    pub(super) cells: Vec<CellSample>,
    /// For each controller; `None` while its process doesn't run.
    pub(super) cpu: Vec<Option<ProcessCpu>>,
    /// Task starts so far.
    pub(super) starts: u64,
}

impl Snapshot {
    /// Reads all counters.
    pub(super) fn take(
        installation: &Installation,
        shared: &SharedState,
    ) -> Result<Self, RunError> {
        let controllers = installation.controllers.iter();
        Ok(Self {
            at: Instant::now(),
            cpu: controllers.map(controller_cpu).collect(),
            cells: installation.sample_cells()?,
            starts: shared.checker().start_count,
        })
    }
}

fn controller_cpu(controller: &Controller) -> Option<ProcessCpu> {
    let pid = controller.pid()?;
    let time = process_cpu(pid)?;
    Some(ProcessCpu { pid, time })
}

/// The measured part of a run.
pub(super) struct Measurement {
    /// At its begin.
    pub(super) from: Snapshot,
    /// At its end.
    pub(super) to: Snapshot,
}

impl Measurement {
    /// Its length, in seconds.
    pub(super) fn window_s(&self) -> f64 {
        self.to.at.duration_since(self.from.at).as_secs_f64()
    }

    /// Task starts per second.
    pub(super) fn starts_per_s(&self) -> f64 {
        (self.to.starts - self.from.starts) as f64 / self.window_s()
    }
}

/// Collects the samples of a run.
pub(super) struct Sampler {
    next_s: f64,
    /// The samples so far.
    pub(super) rows: Vec<SampleRow>,
    /// Task starts and store changes up to the latest sample.
    starts: u64,
    changes: u64,
}

impl Default for Sampler {
    fn default() -> Self {
        Self {
            next_s: SAMPLE_S,
            rows: Vec::new(),
            starts: 0,
            changes: 0,
        }
    }
}

impl Sampler {
    /// Whether a sample is due; if so, the next one is scheduled.
    pub(super) fn advance_if_due(&mut self, at_s: f64) -> bool {
        let due = at_s >= self.next_s;
        if due {
            self.next_s += SAMPLE_S;
        }
        due
    }

    /// Records a sample, given all starts so far; returns the number of open batch and urgent jobs.
    pub(super) fn record(&mut self, at_s: f64, starts: u64, cells: &[CellSample]) -> usize {
        let changes: u64 = cells.iter().map(|cell| cell.store.changes).sum();
        let row = SampleRow {
            at_s,
            starts: starts - self.starts,
            tasks: cells.iter().map(|cell| cell.running_tasks).sum(),
            workers: cells.iter().map(|cell| cell.running_workers).sum(),
            changes: changes - self.changes,
        };
        (self.starts, self.changes) = (starts, changes);
        let open_jobs = cells.iter().map(|cell| cell.open_jobs).sum();
        info!(
            "sample at_s={at_s:.0} workers={} tasks={} starts={} changes={} open_jobs={open_jobs}",
            row.workers, row.tasks, row.starts, row.changes,
        );
        self.rows.push(row);
        open_jobs
    }
}
