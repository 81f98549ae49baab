//! The inputs and outputs of the state machine.

use crate::controller::store::records::JobRecord;
use crate::ids::{CallId, ControllerId, JobId, RequestId};
use crate::peer::Message;
use crate::wire::{
    CloudRequest, CloudResponse, InvalidSubmission, StoreRequest, StoreResponse, WorkerHeartbeat,
    error_body,
};
use salttrestle_cells::Cell;
use salttrestle_cells::message::LinkMessage;

/// A request of a user, a worker or the balancer.
#[derive(Debug)]
pub enum Request {
    /// A user submits a job.
    Submit(Result<(JobId, JobRecord), InvalidSubmission>),
    /// A user asks for the status of a job.
    Poll(JobId),
    /// A user cancels a job.
    Cancel(JobId),
    /// The balancer asks whether this controller takes requests.
    Up,
    /// A worker sends a heartbeat.
    Heartbeat(WorkerHeartbeat),
}

/// An event for the state machine.
#[derive(Debug)]
pub enum Input {
    /// A request came.
    Request(RequestId, Request),
    /// The sender of a request has disconnected.
    Disconnect(RequestId),
    /// The store answered a call.
    Store(CallId, StoreResponse),
    /// The cloud answered a call.
    Cloud(CallId, CloudResponse),
    /// A message came from a peer.
    Peer(Message),
    /// A message came from the leader of another cell.
    Cell(LinkMessage),
    /// The state of this controller's own connection to a peer changed.
    Link(ControllerId, LinkEvent),
    /// The share of the time since the last measurement for which this process didn't wait.
    ProcessorUtilization(f64),
    /// The process has to terminate, and hands over its shards first.
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

    /// A refusal that says after how many seconds to retry.
    pub fn later(status: u16, seconds: u32, why: &str) -> Self {
        Self {
            status,
            body: error_body(why),
            retry_after: Some(seconds),
        }
    }
}

/// What happened to a connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// It was made.
    Up,
    /// It broke, or couldn't be made.
    Lost,
    /// It was refused.
    Refused,
}

/// An effect that the state machine requests.
#[derive(Debug)]
pub enum Output {
    /// Answer a request.
    Answer(RequestId, Reply),
    /// Call the store.
    Store(CallId, StoreRequest),
    /// Give up this call and close its connection: its response isn't needed any more.
    CancelCall(CallId),
    /// Call the cloud.
    Cloud(CallId, CloudRequest),
    /// Send a message to one peer, or to all.
    Peer(Option<ControllerId>, Message),
    /// Connect to a peer that is known to run, without the pause after a failed attempt.
    Reconnect(ControllerId),
    /// Send a message to the leader of another cell.
    Cell(Cell, LinkMessage),
}

/// This controller's total use of its shares of the rate limits, and its backlog.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests to the store.
    pub requests: f64,
    /// Its share of them, per second.
    pub requests_rate: f64,
    /// Changes at the store.
    pub changes: f64,
    /// Its share of them, per second.
    pub changes_rate: f64,
    /// Calls to the cloud.
    pub cloud: f64,
    /// Its share of them, per second.
    pub cloud_rate: f64,
    /// Number of writes that wait.
    pub queued: usize,
    /// Machines examined to place tasks.
    pub machines_scanned: u64,
    /// Tasks placed.
    pub placed: u64,
}

/// What waits in the shards that this controller owns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Queue {
    /// Jobs that wait for their dependencies.
    pub waiting_for_dependencies: usize,
    /// Jobs with tasks that wait for a machine.
    pub waiting_for_machines: usize,
    /// Tasks that wait for a machine.
    pub tasks: usize,
}

impl std::fmt::Display for Queue {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "queue: {} jobs wait for others, {} tasks of {} jobs for a machine",
            self.waiting_for_dependencies, self.tasks, self.waiting_for_machines
        )
    }
}
