//! Workers' heartbeats, and the commands in the answers.

use crate::ids::{Attempt, ControllerId, FencingToken};
use crate::wire::{Num, encode};
use serde::{Deserialize, Serialize};

/// One worker's heartbeat.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerHeartbeat {
    /// The machine on which the worker runs, as the cloud named it.
    #[serde(rename = "rig")]
    pub machine: String,
    /// Where the worker can be reached.
    pub endpoint: String,
    /// The machine's type.
    #[serde(rename = "build")]
    pub class: String,
    /// The machine's zone.
    #[serde(rename = "quarter")]
    pub zone: String,
    /// Whether the cloud may take the machine back.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Distinguishes this process of the worker from earlier ones on the same machine.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Rises with every heartbeat of one process.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The fencing token of the latest commands that the worker took; 0 for none.
    #[serde(rename = "baton", default)]
    pub token: u64,
    /// In how many seconds the cloud takes the machine back, if it has announced that.
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<Num>,
    /// The tasks on the machine.
    #[serde(rename = "verses", default)]
    pub tasks: Vec<HeartbeatTask>,
}

/// One task in a heartbeat.
#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatTask {
    /// The task, as `job/index`.
    #[serde(rename = "verse")]
    pub task: String,
    /// The attempt that the worker runs.
    #[serde(rename = "take")]
    pub attempt: Attempt,
    /// How far it has come.
    #[serde(rename = "stance")]
    pub status: TaskStatus,
    /// Why it ended, if it did.
    #[serde(default)]
    pub cause: Option<Cause>,
}

/// How far a task has come on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    /// The worker fetches the image.
    Fetching,
    /// The task runs.
    Running,
    /// The task received a stop command and writes a checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The task ended.
    Ended,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It is complete.
    Done,
    /// It received a stop command.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    Error,
    /// The machine has no room for it.
    Full,
    /// Something that it needs is in use.
    InUse,
    /// The worker doesn't know of it.
    Unknown,
    /// A cause that a later worker may know.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "cueKind", rename_all = "lowercase")]
pub enum Command {
    /// Start an attempt of a task.
    Start {
        /// The task, as `job/index`.
        #[serde(rename = "verse")]
        task: String,
        /// The attempt to start.
        #[serde(rename = "take")]
        attempt: Attempt,
    },
    /// Stop an attempt of a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task, as `job/index`.
        #[serde(rename = "verse")]
        task: String,
        /// The attempt to stop.
        #[serde(rename = "take")]
        attempt: Attempt,
        /// How many seconds it has for a checkpoint.
        #[serde(rename = "bowS")]
        grace_s: f64,
    },
    /// Forget an attempt that has ended.
    Clear {
        /// The task, as `job/index`.
        #[serde(rename = "verse")]
        task: String,
        /// The attempt to forget.
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

/// The answer to a heartbeat: commands under a fencing token.
pub fn commands_body(token: FencingToken, commands: &[Command]) -> Vec<u8> {
    encode(&CommandsBody { token, commands })
}

#[derive(Serialize)]
struct RedirectBody<'a> {
    #[serde(rename = "conductor", skip_serializing_if = "Option::is_none")]
    owner: Option<&'a str>,
}

/// The answer that sends a worker to another controller.
pub fn redirect_body(to: Option<&ControllerId>) -> Vec<u8> {
    encode(&RedirectBody {
        owner: to.map(ControllerId::as_str),
    })
}
