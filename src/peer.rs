//! Messages between the controllers of a cell, encoded with `postcard` in frames that start with a
//! length and a version.
//!
//! Correctness doesn't depend on these messages. They only let controllers act sooner.
//!
//! `postcard` encodes fields and variants by their order, so the order must not change. Their names
//! may.

#![warn(missing_docs)]

use crate::ids::{Attempt, ControllerId, FencingToken, MachineId, RequestId};
use crate::wire::{Cause, HeartbeatTask, Num, TaskStatus, WorkerHeartbeat};
use salttrestle_standby::message::{MessageError, StandbyMessage};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the message format. It is incremented with every change of the format, and frames of
/// unknown versions are dropped.
const MESSAGE_VERSION: u8 = 4;
/// Version of the frames with messages of package `standby`. A release that doesn't know this
/// version drops the frames.
const STANDBY_VERSION: u8 = 5;
/// Maximum size of one message without its header, in bytes. The longest messages are
/// [`ShardCounts`], with a limited number of machine ids, and one entry for each pool, zone and
/// team, of which there may be hundreds.
pub const MESSAGE_BYTES_MAX: usize = 256 * 1024;
/// Size of a frame's header in bytes: a length of 4 bytes and a version of 1 byte.
const HEADER_BYTES: usize = 5;

/// A message to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's state, about once a second.
    PeerHeartbeat(PeerHeartbeat),
    /// Counts of a shard, sent by its owner to the leader.
    ShardCounts(Box<ShardCounts>),
    /// A worker's heartbeat, forwarded to the owner of the worker's shard.
    ForwardedHeartbeat(Box<ForwardedHeartbeat>),
    /// The owner's response to a forwarded heartbeat.
    ForwardedResponse(ForwardedResponse),
    /// A message of package `standby`, sent in frames with a version of their own.
    #[serde(skip)]
    Standby(Box<StandbyMessage>),
}

/// Why a peer's connection is closed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame is longer than [`MESSAGE_BYTES_MAX`].
    #[error("message too large")]
    TooLarge,
    /// The frame can't be decoded.
    #[error("malformed message")]
    Malformed,
    /// The frame has a message of package `standby` that is malformed or exceeds a limit.
    #[error("{0}")]
    Standby(#[from] MessageError),
}

/// The state of a controller from its own point of view, sent to all peers about once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The sender.
    pub from: ControllerId,
    /// Identifies the sender's process; earlier processes of the same controller had other values.
    pub incarnation: u64,
    /// The leader, as far as the sender knows.
    pub leader: Option<ControllerId>,
    /// All shards, each with its fencing token and its owner.
    pub shards: Vec<(u32, FencingToken, ControllerId)>,
    /// Whether the sender's copy of the store's records is complete and recent enough to act on.
    pub is_fresh: bool,
    /// Upper bound on the age of the sender's copy of the store's records, in milliseconds.
    pub staleness_ms: u64,
    /// Whether the sender recently received a heartbeat from a worker of any shard.
    pub hears_workers: bool,
    /// Whether the sender owns a shard whose workers' heartbeats no longer arrive.
    pub workers_unreachable: bool,
    /// Whether the sender can forward heartbeats of workers to the owners of their shards.
    pub can_forward: bool,
    /// Time on the sender's clock when it sent the heartbeat, in milliseconds.
    pub at_ms: u64,
    /// For each peer, the `at_ms` and the `incarnation` of its latest heartbeat.
    pub echoes: Vec<(ControllerId, u64, u64)>,
    /// Time since the sender last renewed a worker's lease on an owner's behalf, in milliseconds.
    pub since_keepalive_ms: u64,
    /// A limited number of machines of the sender's shards that have tasks and whose heartbeats are
    /// overdue. A cancellation of a job with tasks on them can't be confirmed soon.
    #[serde(rename = "overdue")]
    pub overdue_machines: Vec<MachineId>,
}

/// A worker's heartbeat, forwarded to the owner of the worker's shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedHeartbeat {
    /// The controller that forwards it.
    pub from: ControllerId,
    /// Incarnation of the process that forwards it.
    pub incarnation: u64,
    /// Id of the worker's request at that process, which the response repeats.
    pub request_id: u64,
    machine: String,
    endpoint: String,
    #[serde(rename = "class")]
    type_name: String,
    zone: String,
    spot: bool,
    agent_epoch: u64,
    sequence: u64,
    token: u64,
    notice_s: Option<f64>,
    tasks: Vec<(String, Attempt, TaskStatus, Option<Cause>)>,
}

impl ForwardedHeartbeat {
    /// Wraps a heartbeat for forwarding.
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
            type_name: heartbeat.type_name.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            agent_epoch: heartbeat.agent_epoch,
            sequence: heartbeat.sequence,
            token: heartbeat.token,
            notice_s: heartbeat.notice_s.map(|seconds| seconds.0),
            tasks: tasks.collect(),
        }
    }

    /// Returns the worker's heartbeat.
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
            type_name: self.type_name,
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
    /// Incarnation of the process that forwarded the heartbeat.
    pub incarnation: u64,
    /// Id of the worker's request at that process.
    pub request_id: u64,
    /// HTTP status for the worker.
    pub status: u16,
    /// Response body for the worker.
    pub body: Vec<u8>,
    /// `Retry-After` header for the worker, in seconds.
    pub retry_after: Option<u32>,
}

/// The counts that a shard's owner sends to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardCounts {
    /// The shard's owner.
    pub from: ControllerId,
    /// Number of the shard.
    pub shard: u32,
    /// The owner's fencing token.
    pub token: FencingToken,
    /// Revision of the shard's record at the time of the count.
    pub revision: u64,
    /// Counts by pool: machine type, whether it is a spot pool, and counts.
    pub pools: Vec<(String, bool, PoolCount)>,
    /// Numbers of machines: machine type, whether they are spot machines, zone, and number.
    #[serde(rename = "zones")]
    pub machines_by_zone: Vec<(String, bool, String, u32)>,
    /// Numbers of machines missing in a zone for tasks that may run in this zone only: machine
    /// type, whether they are spot machines, zone, and number.
    #[serde(rename = "pins")]
    pub zone_shortfalls: Vec<(String, bool, String, u32)>,
    /// Machines without tasks: machine type, whether it is a spot machine, and id. The machines to
    /// scale in first come first.
    #[serde(rename = "empty")]
    pub empty_machines: Vec<(String, bool, MachineId)>,
    /// Recently deleted machines.
    #[serde(rename = "gone")]
    pub deleted_machines: Vec<MachineId>,
    /// Use and demand by team.
    pub teams: Vec<(String, TeamCount)>,
}

/// Machines, use and demand of one pool in one shard. Fractional values are in machines: a task
/// counts as the fraction of a machine that it uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolCount {
    /// Queued tasks, in machines.
    pub queued: f64,
    /// Placed tasks, in machines.
    pub running: f64,
    /// Number of machines with at least one task.
    pub busy: u32,
    /// Number of machines, including those that are still booting.
    pub provisioned: u32,
    /// Room that urgent starts can use on machines with tasks, in machines.
    #[serde(rename = "spare")]
    pub free_room: f64,
    /// Room to keep free for urgent starts, in machines.
    #[serde(rename = "keep")]
    pub reserved_room: f64,
    /// Whether services run or are queued in the pool, so that room is kept free for the next ones.
    #[serde(rename = "urgent")]
    pub has_services: bool,
}

/// A team's use and demand in one shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamCount {
    /// CPUs in use.
    pub cpus: f64,
    /// GPUs in use.
    pub gpus: f64,
    /// CPUs that the team would use if all its queued tasks ran.
    pub cpus_wanted: f64,
    /// GPUs that the team would use if all its queued tasks ran.
    pub gpus_wanted: f64,
}

/// Encodes a message as a frame.
///
/// If no peer would accept the message, since it is longer than [`MESSAGE_BYTES_MAX`] or can't be
/// encoded, returns `Err` with its size in bytes.
pub fn frame(message: &Message) -> Result<Vec<u8>, usize> {
    let (version, body) = match message {
        Message::Standby(message) => (STANDBY_VERSION, message.encode()),
        other => (
            MESSAGE_VERSION,
            postcard::to_stdvec(other).unwrap_or_default(),
        ),
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

/// Removes the next complete message from a buffer and returns it, or `None` if there is none yet.
/// Frames of unknown versions are removed and skipped. After an error, the connection must be
/// closed.
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
        let message = decode_message(version, &buffer[HEADER_BYTES..size + HEADER_BYTES]);
        buffer.drain(..size + HEADER_BYTES);
        if let Some(message) = message? {
            return Ok(Some(message));
        }
    }
    Ok(None)
}

/// Decodes the message in a frame. Returns `None` if the frame's version is unknown.
fn decode_message(version: u8, body: &[u8]) -> Result<Option<Message>, FrameError> {
    match version {
        STANDBY_VERSION => {
            let message = StandbyMessage::decode(body)?;
            Ok(Some(Message::Standby(Box::new(message))))
        }
        MESSAGE_VERSION => {
            let message = postcard::from_bytes(body);
            message.map(Some).map_err(|_| FrameError::Malformed)
        }
        _ => Ok(None),
    }
}
