//! What goes into the state machine and what comes out of it.

use crate::controller::store::records::JobRecord;
use crate::ids::{CallId, ControllerId, JobId, RequestId};
use crate::peer::Message;
use crate::wire::{
    CloudRequest, CloudResponse, InvalidSubmission, StoreRequest, StoreResponse, WorkerHeartbeat,
    error_body,
};
use salttrestle_cells::Cell;
use salttrestle_cells::message::LinkMessage;

/// What a user or a worker asks.
#[derive(Debug)]
pub enum Request {
    /// A user submits a job.
    Submit(Result<(JobId, JobRecord), InvalidSubmission>),
    /// A user asks how a job stands.
    Poll(JobId),
    /// A user cancels a job.
    Cancel(JobId),
    /// The balancer asks whether this controller takes requests.
    Up,
    /// A worker heartbeats.
    Heartbeat(WorkerHeartbeat),
}

/// What the state machine is told.
#[derive(Debug)]
pub enum Input {
    /// A request came.
    Request(RequestId, Request),
    /// Whoever asked has gone.
    Disconnect(RequestId),
    /// The store answered a call.
    Store(CallId, StoreResponse),
    /// The cloud answered a call.
    Cloud(CallId, CloudResponse),
    /// A peer tells something.
    Peer(Message),
    /// Another cell's leader tells how things stand there.
    Cell(LinkMessage),
    /// What became of this controller's own connection to a peer.
    Link(ControllerId, Link),
    /// The share of the time since the last such word for which this process didn't wait.
    ProcessorUtilization(f64),
    /// The process is told to terminate, and hands over first.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body, as CBOR.
    pub body: Vec<u8>,
    /// After how many seconds the request may be repeated.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// An answer with a body.
    pub fn ok(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after: None,
        }
    }

    /// A refusal that says when to come back.
    pub fn later(status: u16, seconds: u32, why: &str) -> Self {
        Self {
            status,
            body: error_body(why),
            retry_after: Some(seconds),
        }
    }
}

/// A connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// It was made.
    Up,
    /// It broke, or couldn't be made.
    Lost,
    /// It was refused.
    Refused,
}

/// What the state machine wants done.
#[derive(Debug)]
pub enum Output {
    /// Answer a request.
    Answer(RequestId, Reply),
    /// Call the store.
    Store(CallId, StoreRequest),
    /// Nobody waits for this call any more; its connection is closed.
    Forget(CallId),
    /// Call the cloud.
    Cloud(CallId, CloudRequest),
    /// To one peer, or to all.
    Peer(Option<ControllerId>, Message),
    /// A peer runs: a connection to it is begun without the pause after one that failed.
    Reconnect(ControllerId),
    /// To the leader of another cell.
    Cell(Cell, LinkMessage),
}

/// What this controller has used of its shares of the limits, in all, and what of it waits to be
/// written.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests to the store.
    pub requests: f64,
    /// Its share of them, a second.
    pub requests_rate: f64,
    /// Changes at the store.
    pub changes: f64,
    /// Its share of them, a second.
    pub changes_rate: f64,
    /// Calls to the cloud.
    pub cloud: f64,
    /// Its share of them, a second.
    pub cloud_rate: f64,
    /// Writes that wait.
    pub queued: usize,
    /// Machines looked at to place tasks.
    pub machines_scanned: u64,
    /// Tasks placed.
    pub placed: u64,
}

/// What waits in the shards that this controller holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Queue {
    /// Jobs that wait until others are done.
    pub waiting_for_others: usize,
    /// Jobs with tasks that wait for a machine.
    pub waiting_for_room: usize,
    /// Tasks that wait for a machine.
    pub tasks: usize,
}

impl std::fmt::Display for Queue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "queue: {} jobs wait for others, {} tasks of {} jobs for a machine",
            self.waiting_for_others, self.tasks, self.waiting_for_room
        )
    }
}
