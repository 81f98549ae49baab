//! The inputs and outputs of the controller's state machine.

use crate::controller::store::read_times::ReadTimes;
use crate::controller::store::records::JobRecord;
use crate::ids::{CallId, ControllerId, JobId, RequestId};
use crate::peer::Message;
use crate::wire::{
    CloudRequest, CloudResponse, InvalidSubmission, StoreRequest, StoreResponse, WorkerHeartbeat,
    error_body,
};
use salttrestle_cells::Cell;
use salttrestle_cells::message::LinkMessage;

/// A request of a user, a worker or the load balancer.
#[derive(Debug)]
pub enum Request {
    /// A user submits a job.
    Submit(Result<(JobId, JobRecord), InvalidSubmission>),
    /// A user asks for the status of a job.
    Poll(JobId),
    /// A user cancels a job.
    Cancel(JobId),
    /// The load balancer checks whether this controller accepts requests.
    Up,
    /// A worker sends a heartbeat.
    Heartbeat(WorkerHeartbeat),
}

/// An event that the state machine handles.
#[derive(Debug)]
pub enum Input {
    /// A request arrived.
    Request(RequestId, Request),
    /// The sender of a request has disconnected.
    Disconnect(RequestId),
    /// The store answered a call.
    Store(CallId, StoreResponse),
    /// The cloud answered a call.
    Cloud(CallId, CloudResponse),
    /// A message arrived from a peer.
    Peer(Message),
    /// A message arrived from the leader of another cell.
    Cell(LinkMessage),
    /// The state of this controller's own connection to a peer changed.
    Link(ControllerId, LinkEvent),
    /// The fraction of the time since the last measurement during which this process was busy.
    ProcessorUtilization(f64),
    /// The process has to terminate; it first hands over its shards.
    Shutdown,
    /// No event occurred; only time has passed.
    Tick,
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body, as CBOR.
    pub body: Vec<u8>,
    /// Seconds after which the request may be retried.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// Returns a response without a retry interval.
    pub fn ok(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after: None,
        }
    }

    /// Returns an error response with a retry interval in seconds.
    pub fn later(status: u16, seconds: u32, reason: &str) -> Self {
        Self {
            status,
            body: error_body(reason),
            retry_after: Some(seconds),
        }
    }
}

/// A change of the connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// The connection was established.
    Up,
    /// The connection was lost or couldn't be established.
    Lost,
    /// The peer's host refused the connection.
    Refused,
}

/// An effect that the state machine requests.
#[derive(Debug)]
pub enum Output {
    /// Respond to a request.
    Answer(RequestId, Reply),
    /// Call the store.
    Store(CallId, StoreRequest),
    /// Cancel a call and close its connection, since its response isn't needed any more.
    CancelCall(CallId),
    /// Call the cloud.
    Cloud(CallId, CloudRequest),
    /// Send a message to one peer, or to all peers if none is given.
    Peer(Option<ControllerId>, Message),
    /// Connect to a peer that is known to run, skipping the pause after a failed attempt.
    Reconnect(ControllerId),
    /// Send a message to the leader of another cell.
    Cell(Cell, LinkMessage),
}

/// Counters of this controller's calls since its start, its shares of the rate limits, and its
/// backlog.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Total requests to the store.
    pub requests: f64,
    /// This controller's share of the limit on requests to the store, per second.
    pub requests_rate: f64,
    /// Total puts and deletes sent to the store.
    pub changes: f64,
    /// This controller's share of the limit on puts and deletes, per second.
    pub changes_rate: f64,
    /// Total calls to the cloud.
    pub cloud: f64,
    /// This controller's share of the limit on calls to the cloud, per second.
    pub cloud_rate: f64,
    /// Writes that are queued now.
    pub queued: usize,
    /// Total machines examined in order to place tasks.
    pub machines_scanned: u64,
    /// Total tasks placed.
    pub placed: u64,
    /// Status queries of live jobs.
    pub status_queries: StatusQueryCounts,
    /// How long reads of the store recently took.
    pub read_times: ReadTimes,
}

/// Counts of status queries of live jobs since the start, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusQueryCounts {
    /// Answered with a status.
    pub answered: u64,
    /// Reads that took so long that the status was too old to be sent.
    pub too_old: u64,
    /// Refused since no recent enough status came in time.
    pub timed_out: u64,
}

/// Jobs and tasks that are waiting in the shards that this controller owns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Queue {
    /// Jobs that wait for their dependencies.
    pub waiting_for_dependencies: usize,
    /// Jobs with at least one task that waits for a machine.
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
