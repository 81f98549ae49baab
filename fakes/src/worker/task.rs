//! Tasks on a worker.

use salttrestle::ids::{Attempt, TaskId};
use salttrestle::wire::{Cause, TaskStatus};

/// What a worker learns of a job from its user.
#[derive(Clone, Debug)]
pub struct TaskSpec {
    /// The image that its tasks run.
    pub image: String,
    /// How long a task runs, in milliseconds.
    pub run_ms: u64,
    /// How long the image is fetched, in milliseconds.
    pub fetch_ms: u64,
    /// How long a task that is stopped saves its progress, in milliseconds; 0: it never does.
    pub save_ms: u64,
    /// Its tasks run until they are stopped.
    pub is_service: bool,
    /// It crash-loops: each of its tasks fails, wherever it runs.
    pub crash_loops: bool,
}

/// Where workers look up the jobs whose tasks they are to start.
pub trait TaskSpecs {
    /// What is known of the job that a task belongs to.
    fn spec(&self, task: &TaskId) -> Option<&TaskSpec>;
}

/// How far a task has come on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Was stopped, and saves its progress.
    Saving,
    /// Has exited.
    Ended(Cause),
}

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct WorkerTask {
    /// Its attempt.
    pub attempt: Attempt,
    /// How far it has come.
    pub state: TaskState,
    /// When that passes by itself.
    pub state_ends_at: u64,
}

impl WorkerTask {
    pub(super) fn has_ended(&self) -> bool {
        matches!(self.state, TaskState::Ended(_))
    }

    /// Whether its state passes by itself by now.
    pub(super) fn is_state_over(&self, now: u64) -> bool {
        self.state_ends_at <= now && !self.has_ended()
    }

    /// Its status in a heartbeat and, once it has ended, the cause.
    pub(super) fn status(&self) -> (TaskStatus, Option<Cause>) {
        match self.state {
            TaskState::Fetching => (TaskStatus::Fetching, None),
            TaskState::Running => (TaskStatus::Running, None),
            TaskState::Saving => (TaskStatus::Checkpointing, None),
            TaskState::Ended(cause) => (TaskStatus::Ended, Some(cause)),
        }
    }
}

/// What happened to a task, in the order in which it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    /// A start was carried out: it waits for its image, or has it.
    Accepted(TaskId, Attempt),
    /// It has its image and is on the machine from now on.
    Started(TaskId),
    /// It is no longer on the machine.
    Ended(TaskId, Cause),
}
