//! What controllers tell each other: `postcard` behind a length and a version.
//! Nothing a rule depends on travels here; it only makes the right thing come sooner.

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
pub const MESSAGE_MAX: usize = 256 * 1024;
/// Bytes before a message: its length and the version.
const HEAD: usize = 5;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    PeerHeartbeat(PeerHeartbeat),
    ShardCounts(Box<ShardCounts>),
    ForwardedHeartbeat(Box<ForwardedHeartbeat>),
    ForwardedResponse(ForwardedResponse),
    /// Travels in frames of a version of its own.
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
    /// A message of the standby that isn't taken.
    #[error("{0}")]
    Standby(#[from] MessageError),
}

/// What a controller says of itself about once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    pub from: ControllerId,
    /// Tells this process from earlier ones of the same controller.
    pub incarnation: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<ControllerId>,
    /// Who holds each shard, and under which number.
    pub shards: Vec<(u32, FencingToken, ControllerId)>,
    /// Whether the store has answered it lately.
    pub is_fresh: bool,
    /// How long ago it last knew all that stood at the store, in milliseconds.
    pub staleness_ms: u64,
    /// Whether a worker has reported to it lately, wherever it was sent on to.
    pub hears_workers: bool,
    /// Whether it holds a shard whose workers have stopped reporting to it.
    pub workers_unreachable: bool,
    /// Whether it can hand heartbeats on to the owner.
    pub can_forward: bool,
    /// The sender's clock, in milliseconds.
    pub at_ms: u64,
    /// The clock and the process of the latest message like this one from each peer.
    pub echoes: Vec<(ControllerId, u64, u64)>,
    /// How long ago it last answered a worker in an owner's place, in milliseconds.
    pub since_keepalive_ms: u64,
    /// Machines of its shards that have tasks and don't heartbeat, within a bound: what is
    /// cancelled there can't be confirmed soon.
    pub overdue: Vec<MachineId>,
}

/// A worker's heartbeat, handed on to its shard's owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedHeartbeat {
    pub from: ControllerId,
    pub incarnation: u64,
    /// The sender's request, for the answer.
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
    pub fn new(
        from: &ControllerId,
        incarnation: u64,
        request_id: RequestId,
        report: &WorkerHeartbeat,
    ) -> Self {
        let tasks = report.tasks.iter();
        let tasks = tasks.map(|t| (t.task.clone(), t.attempt, t.status, t.cause));
        Self {
            from: from.clone(),
            incarnation,
            request_id: request_id.0,
            machine: report.machine.clone(),
            endpoint: report.endpoint.clone(),
            class: report.class.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            agent_epoch: report.agent_epoch,
            sequence: report.sequence,
            token: report.token,
            notice_s: report.notice_s.map(|n| n.0),
            tasks: tasks.collect(),
        }
    }

    pub fn report(self) -> WorkerHeartbeat {
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

/// The answer to a heartbeat that was handed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedResponse {
    /// The process that asked, and its request.
    pub incarnation: u64,
    pub request_id: u64,
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<u32>,
}

/// What a shard's owner counts for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardCounts {
    pub from: ControllerId,
    pub shard: u32,
    pub token: FencingToken,
    /// The revision of the shard's record under which this was counted.
    pub revision: u64,
    /// Each pool by type and kind.
    pub pools: Vec<(String, bool, PoolCount)>,
    /// Machines by type, kind and zone.
    pub zones: Vec<(String, bool, String, u32)>,
    /// Machines lacking in a particular zone, where tasks may go nowhere else.
    pub pins: Vec<(String, bool, String, u32)>,
    /// Empty machines, those that are missed least first.
    pub empty: Vec<(String, bool, MachineId)>,
    /// Machines deleted lately.
    pub gone: Vec<MachineId>,
    /// What each team uses, and what it would use if it could.
    pub teams: Vec<(String, TeamCount)>,
}

/// What a tick counts for one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolCount {
    /// Machines' worth of tasks that found no room.
    pub queued: f64,
    /// Machines' worth of tasks that are placed.
    pub running: f64,
    /// Machines with at least one task.
    pub busy: u32,
    pub provisioned: u32,
    /// Machines' worth of room that is free on machines in use.
    pub spare: f64,
    /// Machines' worth of room to be kept free for urgent starts.
    pub keep: f64,
    /// Whether services run here: room is kept for the next ones.
    pub urgent: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamCount {
    pub cpus: f64,
    pub gpus: f64,
    pub cpus_wanted: f64,
    pub gpus_wanted: f64,
}

/// Frames a message; `Err` with its size if no peer would take it.
pub fn frame(message: &Message) -> Result<Vec<u8>, usize> {
    let (version, body) = match message {
        Message::Standby(message) => (STANDBY_VERSION, message.encode()),
        other => (VERSION, postcard::to_stdvec(other).unwrap_or_default()),
    };
    if body.is_empty() || body.len() > MESSAGE_MAX {
        return Err(body.len());
    }
    let mut out = Vec::with_capacity(body.len() + HEAD);
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.push(version);
    out.extend_from_slice(&body);
    Ok(out)
}

/// Takes the next whole message off a buffer. `Err` when the peer must be dropped.
pub fn unframe(buf: &mut Vec<u8>) -> Result<Option<Message>, FrameError> {
    while buf.len() >= HEAD {
        let size = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
        if size > MESSAGE_MAX {
            return Err(FrameError::TooLarge);
        }
        if buf.len() < size + HEAD {
            return Ok(None);
        }
        let version = buf[HEAD - 1];
        let message = read_body(version, &buf[HEAD..size + HEAD]);
        buf.drain(..size + HEAD);
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
