//! Workers' heartbeats, and the commands in the answers.

use crate::ids::{Attempt, ControllerId, FencingToken};
use crate::wire::{Num, encode};
use serde::{Deserialize, Serialize};

/// One worker's heartbeat.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerHeartbeat {
    #[serde(rename = "rig")]
    pub machine: String,
    pub endpoint: String,
    #[serde(rename = "build")]
    pub class: String,
    #[serde(rename = "quarter")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(rename = "baton", default)]
    pub token: u64,
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<Num>,
    #[serde(rename = "verses", default)]
    pub tasks: Vec<HeartbeatTask>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatTask {
    #[serde(rename = "verse")]
    pub task: String,
    #[serde(rename = "take")]
    pub attempt: Attempt,
    #[serde(rename = "stance")]
    pub status: TaskStatus,
    #[serde(default)]
    pub cause: Option<Cause>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    Fetching,
    Running,
    Checkpointing,
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Stopped,
    Error,
    Full,
    InUse,
    Unknown,
    /// A cause that a later worker may know.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "cueKind", rename_all = "lowercase")]
pub enum Command {
    Start {
        #[serde(rename = "verse")]
        task: String,
        #[serde(rename = "take")]
        attempt: Attempt,
    },
    Stop {
        #[serde(rename = "verse")]
        task: String,
        #[serde(rename = "take")]
        attempt: Attempt,
        #[serde(rename = "bowS")]
        grace_s: f64,
    },
    Clear {
        #[serde(rename = "verse")]
        task: String,
        #[serde(rename = "take")]
        attempt: Attempt,
    },
}

#[derive(Serialize)]
struct CommandsBody<'a> {
    baton: FencingToken,
    cues: &'a [Command],
}

/// The answer to a heartbeat.
pub fn commands_body(token: FencingToken, commands: &[Command]) -> Vec<u8> {
    encode(&CommandsBody {
        baton: token,
        cues: commands,
    })
}

#[derive(Serialize)]
struct RedirectBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    conductor: Option<&'a str>,
}

/// The answer that sends a worker to another controller.
pub fn redirect_body(to: Option<&ControllerId>) -> Vec<u8> {
    encode(&RedirectBody {
        conductor: to.map(ControllerId::as_str),
    })
}
