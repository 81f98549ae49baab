//! Errors of a run.

use crate::experiment::MEMORY_MAX_MB;
use std::io;
use thiserror::Error;

/// Time within which all cells must become ready, in seconds.
pub(super) const READY_TIMEOUT_S: f64 = 60.0;

/// The reason why a run couldn't be completed.
#[derive(Debug, Error)]
pub enum RunError {
    /// An I/O operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The cell with this name didn't become ready in time.
    #[error("cell {0} isn't ready after {READY_TIMEOUT_S} s")]
    NotReady(String),
    /// The thread of the hollow cell with this name has ended or is blocked.
    #[error("the thread of hollow cell {0} doesn't respond")]
    HollowCellUnresponsive(String),
    /// The processes of the run use more memory than [`MEMORY_MAX_MB`]; the value is in MiB.
    #[error("the run uses {0:.0} MiB of memory, more than the maximum of {MEMORY_MAX_MB} MiB")]
    TooMuchMemory(f64),
}
