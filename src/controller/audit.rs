//! The errors that an audit finds. Sums and indexes are updated incrementally with each change;
//! simulated runs compare them with values computed from scratch.

use crate::controller::store::records::Resources;
use crate::ids::{MachineId, TaskId};
use thiserror::Error;

/// A sum or an index that differs from the value computed from scratch.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum AuditError {
    /// A task has a placement on a machine, but that machine has no binding for it.
    #[error("placed task has no binding on its machine, task={task} machine={machine}")]
    NotBound {
        /// The task.
        task: TaskId,
        /// The machine on which the task is placed.
        machine: MachineId,
    },
    /// A machine has a binding for a task that isn't placed on it.
    #[error("a machine has a binding for a task that isn't placed on it")]
    NotPlaced,
    /// The resource usage of a team differs.
    #[error("team usage differs, team={team} recorded={counted:?} recomputed={recounted:?}")]
    TeamUse {
        /// The team.
        team: String,
        /// The usage that is updated incrementally.
        counted: Resources,
        /// The usage computed from scratch.
        recounted: Resources,
    },
    /// The index entry of a machine differs from the state of the machine.
    #[error("index entry differs from the machine's state, machine={0}")]
    IndexEntry(MachineId),
    /// The indexes differ from indexes built from scratch.
    #[error("indexes differ from indexes built from scratch")]
    Index,
}
