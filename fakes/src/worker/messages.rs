//! Bodies of a worker's heartbeats and of the responses to them, with the field names of the wire
//! format.

use salttrestle::ids::Attempt;
use salttrestle::wire::{Cause, TaskStatus};
use serde::{Deserialize, Serialize};

/// The body of a heartbeat.
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
    pub(super) status: TaskStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) cause: Option<Cause>,
}

/// The body of the response by the shard's owner, or by a controller that renews the worker's lease
/// on the owner's behalf.
#[derive(Deserialize)]
pub(super) struct CommandsBody {
    #[serde(rename = "baton")]
    pub(super) token: Option<u64>,
    #[serde(rename = "cues", default)]
    pub(super) commands: Vec<CommandBody>,
}

/// A command in a response.
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

/// The body of a response that redirects the worker to another controller.
#[derive(Deserialize)]
pub(super) struct RedirectBody {
    #[serde(rename = "conductor")]
    pub(super) controller_id: Option<String>,
}
