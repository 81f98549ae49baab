//! Messages between the controllers of a cell: `postcard` behind a length and a version.
//! No rule depends on them; they only make the right thing come sooner.
//!
//! `postcard` writes fields and variants by their order: that stays, whatever their names become.

#![warn(missing_docs)]

use crate::ids::{Attempt, ControllerId, FencingToken, MachineId, RequestId};
use crate::wire::{Cause, HeartbeatTask, Num, TaskStatus, WorkerHeartbeat};
use salttrestle_standby::message::{MessageError, StandbyMessage};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Raised when a message changes its form; other versions are dropped.
const VERSION: u8 = 4;
/// The version of the frames of package `standby`. A release that doesn't know it drops them.
const STANDBY_VERSION: u8 = 5;
/// Most bytes of one message. The longest are counts: names of machines within a bound,
/// and a line for each pool, zone and team, of which there may be hundreds.
pub const MESSAGE_BYTES_MAX: usize = 256 * 1024;
/// Bytes before a message: its length and the version.
const HEADER_BYTES: usize = 5;

/// A message to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's state, about once a second.
    PeerHeartbeat(PeerHeartbeat),
    /// What the owner of a shard counts for the leader.
    ShardCounts(Box<ShardCounts>),
    /// A worker's heartbeat, forwarded to the owner of its shard.
    ForwardedHeartbeat(Box<ForwardedHeartbeat>),
    /// The owner's response to one.
    ForwardedResponse(ForwardedResponse),
    /// From package `standby`. Travels in frames of a version of its own.
    #[serde(skip)]
    Standby(Box<StandbyMessage>),
}

/// Why a peer's connection is closed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// Longer than any message.
    #[error("message too large")]
    TooLarge,
    /// Not a message.
    #[error("malformed message")]
    Malformed,
    /// A message of the standby that isn't accepted.
    #[error("{0}")]
    Standby(#[from] MessageError),
}

/// A controller's state as it sees it, sent about once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The sender.
    pub from: ControllerId,
    /// Distinguishes this process from earlier ones of the same controller.
    pub incarnation: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<ControllerId>,
    /// Each shard, with its fencing token and its owner.
    pub shards: Vec<(u32, FencingToken, ControllerId)>,
    /// Whether the store has answered it lately.
    pub is_fresh: bool,
    /// How long ago it last knew all records of the store, in milliseconds.
    pub staleness_ms: u64,
    /// Whether a worker's heartbeat came to it lately, whichever shard is the worker's.
    pub hears_workers: bool,
    /// Whether it owns a shard whose workers' heartbeats have stopped coming to it.
    pub workers_unreachable: bool,
    /// Whether it can forward heartbeats to the owner.
    pub can_forward: bool,
    /// The sender's clock, in milliseconds.
    pub at_ms: u64,
    /// Each peer, with the clock and the incarnation in the latest heartbeat from it.
    pub echoes: Vec<(ControllerId, u64, u64)>,
    /// How long ago it last kept a worker's lease alive in an owner's place, in milliseconds.
    pub since_keepalive_ms: u64,
    /// Machines of its shards that have tasks and don't heartbeat, within a bound: what is
    /// cancelled there can't be confirmed soon.
    #[serde(rename = "overdue")]
    pub overdue_machines: Vec<MachineId>,
}

/// A worker's heartbeat, forwarded to its shard's owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedHeartbeat {
    /// The controller that forwards it.
    pub from: ControllerId,
    /// That controller's process.
    pub incarnation: u64,
    /// That process's request, which the response names again.
    pub request_id: u64,
    machine: String,
    endpoint: String,
    class: String,
    zone: String,
    spot: bool,
    agent_epoch: u64,
    sequence: u64,
    token: u64,
    notice_s: Option<f64>,
    tasks: Vec<(String, Attempt, TaskStatus, Option<Cause>)>,
}

impl ForwardedHeartbeat {
    /// Wraps a heartbeat for its way to the owner.
    pub fn new(
        from: &ControllerId,
        incarnation: u64,
        request_id: RequestId,
        heartbeat: &WorkerHeartbeat,
    ) -> Self {
        let tasks = heartbeat.tasks.iter();
        let tasks = tasks.map(|task| (task.task.clone(), task.attempt, task.status, task.cause));
        Self {
            from: from.clone(),
            incarnation,
            request_id: request_id.0,
            machine: heartbeat.machine.clone(),
            endpoint: heartbeat.endpoint.clone(),
            class: heartbeat.class.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            agent_epoch: heartbeat.agent_epoch,
            sequence: heartbeat.sequence,
            token: heartbeat.token,
            notice_s: heartbeat.notice_s.map(|seconds| seconds.0),
            tasks: tasks.collect(),
        }
    }

    /// The worker's heartbeat.
    pub fn into_worker_heartbeat(self) -> WorkerHeartbeat {
        let tasks = self.tasks.into_iter();
        let tasks = tasks.map(|(task, attempt, status, cause)| HeartbeatTask {
            task,
            attempt,
            status,
            cause,
        });
        WorkerHeartbeat {
            machine: self.machine,
            endpoint: self.endpoint,
            class: self.class,
            zone: self.zone,
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            notice_s: self.notice_s.map(Num),
            tasks: tasks.collect(),
        }
    }
}

/// The owner's response to a forwarded heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedResponse {
    /// The process that forwarded the heartbeat.
    pub incarnation: u64,
    /// That process's request.
    pub request_id: u64,
    /// The HTTP status for the worker.
    pub status: u16,
    /// The body for the worker.
    pub body: Vec<u8>,
    /// `Retry-After` for the worker, in seconds.
    pub retry_after: Option<u32>,
}

/// What a shard's owner counts for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardCounts {
    /// The shard's owner.
    pub from: ControllerId,
    /// The shard.
    pub shard: u32,
    /// The owner's fencing token.
    pub token: FencingToken,
    /// The revision of the shard's record under which this was counted.
    pub revision: u64,
    /// The count of each pool: its machine type, and whether it is a spot pool.
    pub pools: Vec<(String, bool, PoolCount)>,
    /// Machines by machine type, whether they are spot machines, and zone.
    #[serde(rename = "zones")]
    pub machines_by_zone: Vec<(String, bool, String, u32)>,
    /// Machines that are lacking in a particular zone, where tasks may go nowhere else.
    #[serde(rename = "pins")]
    pub zone_shortfalls: Vec<(String, bool, String, u32)>,
    /// Empty machines, in the order in which they are best given back.
    #[serde(rename = "empty")]
    pub empty_machines: Vec<(String, bool, MachineId)>,
    /// Machines deleted lately.
    #[serde(rename = "gone")]
    pub deleted_machines: Vec<MachineId>,
    /// What each team uses, and what it would use if it could.
    pub teams: Vec<(String, TeamCount)>,
}

/// What a pass of the reconcile loop counts for one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolCount {
    /// Machines' worth of tasks that wait for room.
    pub queued: f64,
    /// Machines' worth of tasks that are placed.
    pub running: f64,
    /// Machines with at least one task.
    pub busy: u32,
    /// Machines, with those that are still to come.
    pub provisioned: u32,
    /// Machines' worth of room that is free on machines in use.
    #[serde(rename = "spare")]
    pub free_room: f64,
    /// Machines' worth of room to be kept free for urgent starts.
    #[serde(rename = "keep")]
    pub reserved_room: f64,
    /// Whether services run here, so that room is kept for the next ones.
    #[serde(rename = "urgent")]
    pub has_services: bool,
}

/// What a team uses of one shard, and what it would use if it could.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamCount {
    /// CPUs in use.
    pub cpus: f64,
    /// GPUs in use.
    pub gpus: f64,
    /// CPUs that it would use.
    pub cpus_wanted: f64,
    /// GPUs that it would use.
    pub gpus_wanted: f64,
}

/// Frames a message; `Err` with its size if no peer would accept it.
pub fn frame(message: &Message) -> Result<Vec<u8>, usize> {
    let (version, body) = match message {
        Message::Standby(message) => (STANDBY_VERSION, message.encode()),
        other => (VERSION, postcard::to_stdvec(other).unwrap_or_default()),
    };
    if body.is_empty() || body.len() > MESSAGE_BYTES_MAX {
        return Err(body.len());
    }
    let mut frame = Vec::with_capacity(body.len() + HEADER_BYTES);
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.push(version);
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Removes the next whole message from a buffer; `Err` when the connection must be closed. Frames
/// of unknown versions are passed over.
pub fn unframe(buffer: &mut Vec<u8>) -> Result<Option<Message>, FrameError> {
    while buffer.len() >= HEADER_BYTES {
        let size = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
        if size > MESSAGE_BYTES_MAX {
            return Err(FrameError::TooLarge);
        }
        if buffer.len() < size + HEADER_BYTES {
            return Ok(None);
        }
        let version = buffer[HEADER_BYTES - 1];
        let message = read_body(version, &buffer[HEADER_BYTES..size + HEADER_BYTES]);
        buffer.drain(..size + HEADER_BYTES);
        if let Some(message) = message? {
            return Ok(Some(message));
        }
    }
    Ok(None)
}

/// Reads what a frame holds; nothing if its version isn't known here.
fn read_body(version: u8, body: &[u8]) -> Result<Option<Message>, FrameError> {
    match version {
        STANDBY_VERSION => {
            let message = StandbyMessage::decode(body)?;
            Ok(Some(Message::Standby(Box::new(message))))
        }
        VERSION => {
            let message = postcard::from_bytes(body);
            message.map(Some).map_err(|_| FrameError::Malformed)
        }
        _ => Ok(None),
    }
}
