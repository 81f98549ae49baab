//! The measurements of a run: snapshots of all counters at the start and at the end of the measured
//! phase, and periodic samples.

use super::error::RunError;
use super::installation::Installation;
use crate::controllers::Controller;
use crate::hollow::{CellSample, SharedState};
use crate::procfs::{CpuTime, process_cpu};
use crate::results::SampleRow;
use std::time::Instant;
use tracing::info;

/// Interval between two samples, in seconds.
const SAMPLE_INTERVAL_S: f64 = 1.0;

/// The processor time that a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessCpu {
    /// Id of the process, which changes when a controller is restarted.
    pub(super) pid: u32,
    /// Processor time since the start of the process.
    pub(super) time: CpuTime,
}

/// The counters of all cells and processes at one point in time.
pub(super) struct Snapshot {
    pub(super) taken_at: Instant,
    pub(super) cells: Vec<CellSample>,
    /// Processor time of each controller; `None` while its process isn't running.
    pub(super) cpu: Vec<Option<ProcessCpu>>,
    /// Number of task starts since the start of the run.
    pub(super) starts: u64,
}

impl Snapshot {
    /// Reads all counters, those of the processes first.
    pub(super) fn take(
        installation: &Installation,
        shared: &SharedState,
    ) -> Result<Self, RunError> {
        let controllers = installation.controllers.iter();
        Ok(Self {
            taken_at: Instant::now(),
            cpu: controllers.map(read_controller_cpu).collect(),
            cells: installation.sample_cells()?,
            starts: shared.checker().start_count,
        })
    }
}

fn read_controller_cpu(controller: &Controller) -> Option<ProcessCpu> {
    let pid = controller.pid()?;
    let time = process_cpu(pid)?;
    Some(ProcessCpu { pid, time })
}

/// The snapshots at both ends of the measured phase of a run.
pub(super) struct Measurement {
    /// The snapshot at the start.
    pub(super) start: Snapshot,
    /// The snapshot at the end.
    pub(super) end: Snapshot,
}

impl Measurement {
    /// Time between the two snapshots, in seconds.
    pub(super) fn window_s(&self) -> f64 {
        self.end
            .taken_at
            .duration_since(self.start.taken_at)
            .as_secs_f64()
    }

    /// Mean number of task starts per second.
    pub(super) fn starts_per_s(&self) -> f64 {
        (self.end.starts - self.start.starts) as f64 / self.window_s()
    }
}

/// Collects the periodic samples of a run.
pub(super) struct Sampler {
    /// Time of the next sample, in seconds from the start of the load.
    next_sample_s: f64,
    /// The samples taken so far.
    pub(super) rows: Vec<SampleRow>,
    /// Number of task starts up to the latest sample.
    total_starts: u64,
    /// Number of store changes up to the latest sample.
    total_changes: u64,
}

impl Default for Sampler {
    fn default() -> Self {
        Self {
            next_sample_s: SAMPLE_INTERVAL_S,
            rows: Vec::new(),
            total_starts: 0,
            total_changes: 0,
        }
    }
}

impl Sampler {
    /// Returns whether a sample is due at `at_s`. If so, schedules the next one.
    pub(super) fn advance_if_due(&mut self, at_s: f64) -> bool {
        let is_due = at_s >= self.next_sample_s;
        if is_due {
            self.next_sample_s += SAMPLE_INTERVAL_S;
        }
        is_due
    }

    /// Records a sample. `total_starts` is the number of task starts since the start of the run.
    /// Returns the number of batch and urgent jobs that haven't ended.
    pub(super) fn record(&mut self, at_s: f64, total_starts: u64, cells: &[CellSample]) -> usize {
        let total_changes: u64 = cells.iter().map(|cell| cell.store.changes).sum();
        let row = SampleRow {
            at_s,
            starts: total_starts - self.total_starts,
            running_tasks: cells.iter().map(|cell| cell.running_tasks).sum(),
            running_workers: cells.iter().map(|cell| cell.running_workers).sum(),
            store_changes: total_changes - self.total_changes,
        };
        (self.total_starts, self.total_changes) = (total_starts, total_changes);
        let open_jobs = cells.iter().map(|cell| cell.open_jobs).sum();
        info!(
            "sample taken, at_s={at_s:.0} workers={} tasks={} starts={} changes={} open_jobs={open_jobs}",
            row.running_workers, row.running_tasks, row.starts, row.store_changes,
        );
        self.rows.push(row);
        open_jobs
    }
}
