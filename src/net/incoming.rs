//! HTTP requests from users, workers and health checks, and the responses to them.

use crate::controller::events::{Input, Reply, Request};
use crate::http::{Decoder, HttpError, Message, Side};
use crate::ids::{RequestId, Time};
use crate::net::connections::{ConnectionId, Outcome, Protocol, UNSENT_BYTES_MAX};
use crate::net::context::Context;
use crate::net::routes::{Refusal, route};
use crate::{http, wire};
use std::collections::HashMap;
use std::net::TcpStream;

/// Maximum fraction of the sockets for incoming connections that workers may use. The others remain
/// for users and health checks, so that these can connect however many machines there are. Below
/// the maximum, idle connections of users are closed to free sockets for workers.
const WORKER_SOCKETS_FRACTION: f64 = 0.75;
/// Idle connections are closed after this time; those of users also earlier if sockets run out.
const IDLE_TIMEOUT_S: f64 = 90.0;
/// A connection with an incomplete request is closed when it receives nothing for this time.
const REQUEST_TIMEOUT_S: f64 = 10.0;
/// `Retry-After` for a worker that is refused because workers use their maximum of sockets.
const REFUSED_WORKER_RETRY_S: u32 = 1;

const TOO_MANY_WORKERS: Refusal = Refusal {
    status: 503,
    reason: "too many workers",
};

/// The connection of a user, a worker or a health check.
struct ClientConnection {
    decoder: Decoder,
    /// The request that waits for the controller's response. The next request is read after it.
    pending_request: Option<RequestId>,
    /// Whether the connection is closed after the next response.
    closes_after_response: bool,
    /// Whether a worker has sent a heartbeat on this connection.
    is_worker: bool,
}

impl ClientConnection {
    /// Whether the connection may be closed to free a socket for another one.
    fn can_be_evicted(&self) -> bool {
        self.pending_request.is_none() && !self.is_worker
    }

    /// Whether the connection has been idle for too long, or stopped in the middle of a request.
    /// `idle_s` is the time since bytes were last received.
    fn is_timed_out(&self, idle_s: f64) -> bool {
        let has_stalled = self.decoder.has_partial_message() && idle_s > REQUEST_TIMEOUT_S;
        self.pending_request.is_none() && (idle_s > IDLE_TIMEOUT_S || has_stalled)
    }
}

/// The connections of users, workers and health checks, and the requests that wait for the
/// controller's response.
pub(super) struct IncomingRequests {
    connections: HashMap<ConnectionId, ClientConnection>,
    /// The connection of each request that waits for a response.
    connection_by_request: HashMap<RequestId, ConnectionId>,
    last_request_id: u64,
    /// The number of connections on which workers have sent heartbeats.
    worker_connections: usize,
    worker_connections_max: f64,
}

impl IncomingRequests {
    /// `connections_max` is the maximum number of incoming connections of all protocols.
    pub(super) fn new(connections_max: usize) -> Self {
        Self {
            connections: HashMap::new(),
            connection_by_request: HashMap::new(),
            last_request_id: 0,
            worker_connections: 0,
            worker_connections_max: connections_max as f64 * WORKER_SOCKETS_FRACTION,
        }
    }

    /// The number of open connections.
    pub(super) fn count(&self) -> usize {
        self.connections.len()
    }

    /// Adds an accepted connection.
    pub(super) fn add(&mut self, context: &mut Context, stream: TcpStream) {
        let Some(id) = context.add_connection(stream, Protocol::IncomingHttp, UNSENT_BYTES_MAX)
        else {
            return;
        };
        let connection = ClientConnection {
            decoder: Decoder::new(Side::Request, wire::BODY_BYTES_MAX),
            pending_request: None,
            closes_after_response: false,
            is_worker: false,
        };
        self.connections.insert(id, connection);
    }

    /// Closes the longest idle connection that isn't a worker's, to free a socket. Returns `false`
    /// if there is none.
    pub(super) fn evict_longest_idle(&mut self, context: &mut Context) -> bool {
        let connections = self.connections.iter();
        let candidates = connections.filter(|(_, connection)| connection.can_be_evicted());
        let longest_idle = candidates
            .map(|(id, _)| *id)
            .min_by_key(|id| context.connections.last_received_at(*id));
        if let Some(id) = longest_idle {
            self.close(context, id);
        }
        longest_idle.is_some()
    }

    /// Closes the connections that have been idle or stalled for too long.
    pub(super) fn close_timed_out(&mut self, context: &mut Context, now: Time) {
        let connections = self.connections.iter();
        let timed_out = connections.filter(|(id, connection)| {
            let last_received_at = context.connections.last_received_at(**id);
            last_received_at.is_some_and(|at| connection.is_timed_out(now.since(at)))
        });
        let timed_out: Vec<ConnectionId> = timed_out.map(|(id, _)| *id).collect();
        for id in timed_out {
            self.close(context, id);
        }
    }

    /// Handles bytes received on a connection.
    pub(super) fn on_bytes(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        bytes: &[u8],
    ) -> Outcome {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.decoder.feed(bytes);
        }
        self.read_requests(context, id)
    }

    /// Writes queued bytes. A connection that is closed after its response must be closed once the
    /// whole response is written.
    pub(super) fn flush(&self, context: &mut Context, id: ConnectionId) -> Outcome {
        if context.connections.flush(id) == Outcome::Close {
            return Outcome::Close;
        }
        let connection = self.connections.get(&id);
        let is_finished = connection.is_some_and(|connection| {
            connection.pending_request.is_none() && connection.closes_after_response
        });
        if is_finished && !context.connections.has_unsent(id) {
            return Outcome::Close;
        }
        Outcome::KeepOpen
    }

    /// Sends the controller's response to a request, and reads the next request of its connection.
    pub(super) fn respond(&mut self, context: &mut Context, request: RequestId, reply: &Reply) {
        let Some(id) = self.connection_by_request.remove(&request) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.pending_request = None;
        let closes_connection = connection.closes_after_response;
        let bytes = http::response(
            reply.status,
            reply.retry_after,
            closes_connection,
            &reply.body,
        );
        let must_close = self.send(context, id, &bytes) == Outcome::Close
            || self.read_requests(context, id) == Outcome::Close;
        if must_close {
            self.close(context, id);
        }
    }

    /// Closes a connection. If a request on it waits for a response, the controller is notified
    /// that its client disconnected.
    pub(super) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        // The socket closes at the end of this function.
        let Some(_socket) = context.connections.remove(id) else {
            return;
        };
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.worker_connections -= usize::from(connection.is_worker);
        if let Some(request) = connection.pending_request {
            self.connection_by_request.remove(&request);
            context.inputs.push_back(Input::Disconnect(request));
        }
    }

    /// Reads complete requests, one at a time: each one waits until the previous one is answered.
    fn read_requests(&mut self, context: &mut Context, id: ConnectionId) -> Outcome {
        while let Some(connection) = self.connections.get_mut(&id) {
            if connection.pending_request.is_some() {
                // Clients aren't expected to pipeline requests; early bytes are buffered up to a
                // maximum.
                return match connection.decoder.is_overfull() {
                    true => Outcome::Close,
                    false => Outcome::KeepOpen,
                };
            }
            match connection.decoder.next_message() {
                Ok(Some(message)) => self.on_request(context, id, &message),
                Ok(None) => break,
                Err(error) => {
                    self.reject_malformed(context, id, error);
                    break;
                }
            }
        }
        Outcome::KeepOpen
    }

    fn on_request(&mut self, context: &mut Context, id: ConnectionId, message: &Message) {
        let path = message.start_line[1].split('?').next().unwrap_or("");
        let mut routed = route(&message.start_line[0], path, &message.body);
        let mut closes_connection = message.closes_connection;
        if matches!(routed, Ok(Request::Heartbeat(_))) && !self.admit_worker(id) {
            routed = Err(TOO_MANY_WORKERS);
            closes_connection = true;
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.closes_after_response |= closes_connection;
        }
        match routed {
            Ok(request) => self.forward_to_controller(context, id, request),
            Err(refusal) => self.refuse(context, id, refusal, closes_connection),
        }
    }

    /// Whether a worker may use this connection. If so, the connection counts as a worker's from
    /// then on.
    fn admit_worker(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return true;
        };
        if connection.is_worker {
            return true;
        }
        if self.worker_connections as f64 >= self.worker_connections_max {
            return false;
        }
        connection.is_worker = true;
        self.worker_connections += 1;
        true
    }

    fn forward_to_controller(&mut self, context: &mut Context, id: ConnectionId, request: Request) {
        self.last_request_id += 1;
        let request_id = RequestId(self.last_request_id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.pending_request = Some(request_id);
        }
        self.connection_by_request.insert(request_id, id);
        context
            .inputs
            .push_back(Input::Request(request_id, request));
    }

    /// Answers a request without passing it to the controller.
    fn refuse(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        refusal: Refusal,
        closes_connection: bool,
    ) {
        let retry_after = (refusal.status == 503).then_some(REFUSED_WORKER_RETRY_S);
        let body = wire::error_body(refusal.reason);
        let bytes = http::response(refusal.status, retry_after, closes_connection, &body);
        if self.send(context, id, &bytes) == Outcome::Close {
            self.close(context, id);
        }
    }

    /// Answers a message that can't be parsed and closes the connection: the position of the next
    /// message is unknown.
    fn reject_malformed(&mut self, context: &mut Context, id: ConnectionId, error: HttpError) {
        let status = match error {
            HttpError::Malformed => 400,
            HttpError::TooLarge => 413,
        };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.closes_after_response = true;
            // The new decoder is empty: the bytes buffered so far can't be parsed.
            connection.decoder = Decoder::new(Side::Request, 0);
        }
        let body = wire::error_body(&error.to_string());
        let bytes = http::response(status, None, true, &body);
        if self.send(context, id, &bytes) == Outcome::Close {
            self.close(context, id);
        }
    }

    fn send(&self, context: &mut Context, id: ConnectionId, bytes: &[u8]) -> Outcome {
        match context.connections.queue(id, bytes) {
            Outcome::KeepOpen => self.flush(context, id),
            Outcome::Close => Outcome::Close,
        }
    }
}
