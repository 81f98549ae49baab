//! What a worker sends and is answered, in the words of the wire.

use salttrestle::ids::Attempt;
use salttrestle::wire::{Cause, TaskStatus};
use serde::{Deserialize, Serialize};

/// A heartbeat.
#[derive(Serialize)]
pub(super) struct HeartbeatBody<'a> {
    #[serde(rename = "rig")]
    pub(super) machine: &'a str,
    pub(super) endpoint: &'a str,
    #[serde(rename = "build")]
    pub(super) class: &'a str,
    #[serde(rename = "quarter")]
    pub(super) zone: &'a str,
    #[serde(rename = "borrowed")]
    pub(super) spot: bool,
    #[serde(rename = "shift")]
    pub(super) agent_epoch: u64,
    #[serde(rename = "tally")]
    pub(super) sequence: u64,
    #[serde(rename = "baton")]
    pub(super) token: u64,
    #[serde(rename = "warningS")]
    pub(super) notice_s: Option<f64>,
    #[serde(rename = "verses")]
    pub(super) tasks: Vec<HeartbeatTask>,
}

/// A task in a heartbeat.
#[derive(Serialize)]
pub(super) struct HeartbeatTask {
    #[serde(rename = "verse")]
    pub(super) task: String,
    #[serde(rename = "take")]
    pub(super) attempt: Attempt,
    #[serde(rename = "stance")]
    pub(super) state: TaskStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) cause: Option<Cause>,
}

/// The answer of the owner, or of a controller in its place.
#[derive(Deserialize)]
pub(super) struct AnswerBody {
    #[serde(rename = "baton")]
    pub(super) token: Option<u64>,
    #[serde(rename = "cues", default)]
    pub(super) commands: Vec<CommandBody>,
}

/// A command in an answer.
#[derive(Deserialize)]
pub(super) struct CommandBody {
    #[serde(rename = "cueKind")]
    pub(super) kind: String,
    #[serde(rename = "verse")]
    pub(super) task: String,
    #[serde(rename = "take")]
    pub(super) attempt: u64,
    #[serde(rename = "bowS")]
    pub(super) grace_s: Option<f64>,
}

/// The answer that names another controller.
#[derive(Deserialize)]
pub(super) struct RedirectBody {
    #[serde(rename = "conductor")]
    pub(super) to: Option<String>,
}
