//! Heartbeats of workers, and the commands in the responses.

use crate::ids::{Attempt, ControllerId, FencingToken};
use crate::wire::{Num, encode};
use serde::{Deserialize, Serialize};

/// A heartbeat of a worker.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerHeartbeat {
    /// Id of the machine that the worker runs on, as the cloud assigned it.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Address of the worker.
    pub endpoint: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub type_name: String,
    /// Zone of the machine.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Whether this is a spot machine, which the cloud may preempt.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Epoch of the worker. It increases whenever the worker restarts without tasks, such as after
    /// its lease expires.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Sequence number; it increases with every heartbeat of one epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Fencing token of the latest commands that the worker accepted; 0 if there were none.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// Seconds until the cloud preempts the machine, if it has announced that.
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<Num>,
    /// Tasks that the worker knows of.
    #[serde(rename = "verses", default)]
    pub tasks: Vec<HeartbeatTask>,
}

/// The state of one task in a heartbeat.
#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatTask {
    /// Id of the task, as `job/index`.
    #[serde(rename = "verse")]
    pub task: String,
    /// The attempt that this entry is about.
    #[serde(rename = "take")]
    pub attempt: Attempt,
    /// State of the attempt.
    #[serde(rename = "stance")]
    pub status: TaskStatus,
    /// Why the attempt ended; `None` if it hasn't ended.
    #[serde(default)]
    pub cause: Option<Cause>,
}

/// State of an attempt of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    /// The worker is fetching the image.
    Fetching,
    /// The task is running.
    Running,
    /// The task received a stop command and is writing a checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The attempt has ended.
    Ended,
}

/// Why an attempt of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The task completed.
    Done,
    /// A stop command ended the attempt.
    #[serde(rename = "halted")]
    Stopped,
    /// The task failed.
    Error,
    /// The machine hasn't enough free resources for the task.
    Full,
    /// A resource that the task needs is in use.
    InUse,
    /// The worker doesn't know the attempt.
    Unknown,
    /// A cause that this release doesn't know; a later release of the worker may send one.
    #[serde(other)]
    Other,
}

/// A command for a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "cueKind", rename_all = "lowercase")]
pub enum Command {
    /// Starts an attempt of a task.
    Start {
        /// Id of the task, as `job/index`.
        #[serde(rename = "verse")]
        task: String,
        /// The attempt to start.
        #[serde(rename = "take")]
        attempt: Attempt,
    },
    /// Stops an attempt of a task.
    #[serde(rename = "halt")]
    Stop {
        /// Id of the task, as `job/index`.
        #[serde(rename = "verse")]
        task: String,
        /// The attempt to stop.
        #[serde(rename = "take")]
        attempt: Attempt,
        /// Time that the task has to write a checkpoint, in seconds.
        #[serde(rename = "bowS")]
        grace_s: f64,
    },
    /// Removes an ended attempt from the worker's heartbeats.
    Clear {
        /// Id of the task, as `job/index`.
        #[serde(rename = "verse")]
        task: String,
        /// The attempt to remove.
        #[serde(rename = "take")]
        attempt: Attempt,
    },
}

#[derive(Serialize)]
struct CommandsBody<'a> {
    #[serde(rename = "baton")]
    token: FencingToken,
    #[serde(rename = "cues")]
    commands: &'a [Command],
}

/// Returns the body of the response to a heartbeat: commands under the owner's fencing token.
pub fn commands_body(token: FencingToken, commands: &[Command]) -> Vec<u8> {
    encode(&CommandsBody { token, commands })
}

#[derive(Serialize)]
struct RedirectBody<'a> {
    #[serde(rename = "conductor", skip_serializing_if = "Option::is_none")]
    owner: Option<&'a str>,
}

/// Returns the body of the response that redirects a worker to another controller. Without `owner`,
/// it names no controller.
pub fn redirect_body(owner: Option<&ControllerId>) -> Vec<u8> {
    encode(&RedirectBody {
        owner: owner.map(ControllerId::as_str),
    })
}
