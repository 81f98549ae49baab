//! Errors of a run.

use crate::experiment::MEMORY_MAX_MB;
use std::io;
use thiserror::Error;

/// Seconds within which the cells must become ready.
pub(super) const READY_S: f64 = 60.0;

/// Why a run failed to complete.
#[derive(Debug, Error)]
pub enum RunError {
    /// An operation of the system failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A cell didn't become ready.
    #[error("cell {0} didn't come up within {READY_S} s")]
    NotReady(String),
    /// The thread of a cell's hollow side has ended or hangs.
    #[error("the hollow side of cell {0} doesn't answer")]
    HollowLost(String),
    /// The run uses more memory than allowed.
    #[error("the run takes {0:.0} MiB of memory, more than {MEMORY_MAX_MB}")]
    TooMuchMemory(f64),
}
