//! Tasks on a worker.

use salttrestle::ids::{Attempt, TaskId};
use salttrestle::wire::{Cause, TaskStatus};

/// How the tasks of a job behave on a worker.
#[derive(Clone, Debug)]
pub struct TaskSpec {
    /// The image that the tasks run.
    pub image: String,
    /// How long a task runs, in milliseconds.
    pub run_ms: u64,
    /// How long fetching the image takes, in milliseconds.
    pub fetch_ms: u64,
    /// How long a stopped task takes to save its progress, in milliseconds; 0 if it never saves.
    pub save_ms: u64,
    /// Whether the tasks run until they are stopped, regardless of `run_ms`.
    pub is_service: bool,
    /// Whether every task fails once it has its image, on any machine.
    pub crash_loops: bool,
}

/// Gives workers the specifications of the tasks that they are told to start.
pub trait TaskSpecs {
    /// The specification for a task's job; `None` if the job is unknown.
    fn spec(&self, task: &TaskId) -> Option<&TaskSpec>;
}

/// The state of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// The task waits for its image.
    Fetching,
    /// The task runs.
    Running,
    /// The task was stopped and saves its progress.
    Saving,
    /// The task has ended for this cause.
    Ended(Cause),
}

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct WorkerTask {
    /// The attempt under which the task was started.
    pub attempt: Attempt,
    /// The task's state.
    pub state: TaskState,
    /// When the task leaves this state without a command, in milliseconds; has no meaning once the
    /// task has ended.
    pub state_ends_at: u64,
}

impl WorkerTask {
    pub(super) fn has_ended(&self) -> bool {
        matches!(self.state, TaskState::Ended(_))
    }

    /// Whether the task's state is due to change by `now` without a command.
    pub(super) fn is_state_over(&self, now: u64) -> bool {
        self.state_ends_at <= now && !self.has_ended()
    }

    /// The task's status in a heartbeat and, once the task has ended, the cause.
    pub(super) fn status(&self) -> (TaskStatus, Option<Cause>) {
        match self.state {
            TaskState::Fetching => (TaskStatus::Fetching, None),
            TaskState::Running => (TaskStatus::Running, None),
            TaskState::Saving => (TaskStatus::Checkpointing, None),
            TaskState::Ended(cause) => (TaskStatus::Ended, Some(cause)),
        }
    }
}

/// A change of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    /// The worker has accepted a start command; the task fetches its image unless it is cached.
    Accepted(TaskId, Attempt),
    /// The task has its image and runs on the machine from now on.
    Started(TaskId),
    /// The task no longer runs on the machine.
    Ended(TaskId, Cause),
}
