//! What a recount may find wrong: sums and indexes are kept up to date from change to change, and
//! simulated runs recount them.

use crate::controller::store::records::Resources;
use crate::ids::{MachineId, TaskId};
use thiserror::Error;

/// A sum or an index that differs from a recount.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum AuditError {
    /// A placed task isn't bound to its machine.
    #[error("{task} isn't among the tasks of {machine}")]
    NotBound {
        /// The task.
        task: TaskId,
        /// The machine that it is placed on.
        machine: MachineId,
    },
    /// A machine has a binding without a placement.
    #[error("a machine has a task that isn't placed there")]
    NotPlaced,
    /// A team's use differs.
    #[error("{team} uses {recounted:?}, not {counted:?}")]
    TeamUse {
        /// The team.
        team: String,
        /// What is kept.
        counted: Resources,
        /// What a recount gives.
        recounted: Resources,
    },
    /// A machine isn't indexed as it is.
    #[error("machine {0} isn't indexed as it is")]
    IndexEntry(MachineId),
    /// The indexes differ as a whole.
    #[error("the indexes differ from a recount")]
    Index,
}
