//! HTTP requests of users, workers and health checks, and their responses.

use crate::controller::events::{Input, Reply, Request};
use crate::http::{Decoder, HttpError, Message, Side};
use crate::ids::{RequestId, Time};
use crate::net::connections::{ConnectionId, Outcome, Protocol, UNSENT_MAX};
use crate::net::context::Context;
use crate::net::routes::{Refusal, route};
use crate::{http, wire};
use std::collections::HashMap;
use std::net::TcpStream;

/// Share of the sockets for incoming connections that workers may use: users and health checks get
/// through however many machines there are. Users' connections give way to workers' below that.
const WORKER_SHARE: f64 = 0.75;
/// Quiet connections are closed after this time, or sooner when sockets are short.
const IDLE_TIMEOUT_S: f64 = 90.0;
/// A whole request has to come within this time.
const REQUEST_TIMEOUT_S: f64 = 10.0;
/// After how long a worker that was refused for want of sockets had better come back, in seconds.
const REFUSED_RETRY_S: u32 = 1;

const TOO_MANY_WORKERS: Refusal = Refusal {
    status: 503,
    reason: "too many workers",
};

/// The connection of a user, a worker or a health check.
struct ClientConnection {
    decoder: Decoder,
    /// The request that is being answered; no other is read meanwhile.
    pending: Option<RequestId>,
    /// The connection ends with the next response.
    closes_after_response: bool,
    /// A worker has sent a heartbeat on it.
    is_worker: bool,
}

impl ClientConnection {
    /// Whether it may be closed to make room for another one.
    fn can_be_shed(&self) -> bool {
        self.pending.is_none() && !self.is_worker
    }

    /// Whether it was quiet for too long, or is too slow with a request.
    fn is_timed_out(&self, quiet_s: f64) -> bool {
        let is_slow = self.decoder.has_partial_message() && quiet_s > REQUEST_TIMEOUT_S;
        self.pending.is_none() && (quiet_s > IDLE_TIMEOUT_S || is_slow)
    }
}

/// The connections of users, workers and health checks, and the requests that wait for the
/// controller's answer.
pub(super) struct IncomingRequests {
    connections: HashMap<ConnectionId, ClientConnection>,
    /// Which connection a request came on.
    requests: HashMap<RequestId, ConnectionId>,
    latest_request: u64,
    /// Connections on which workers sent heartbeats.
    workers: usize,
    /// As many of these there may be.
    workers_max: f64,
}

impl IncomingRequests {
    /// `sockets` are those for all incoming connections.
    pub(super) fn new(sockets: usize) -> Self {
        Self {
            connections: HashMap::new(),
            requests: HashMap::new(),
            latest_request: 0,
            workers: 0,
            workers_max: sockets as f64 * WORKER_SHARE,
        }
    }

    /// How many connections there are.
    pub(super) fn count(&self) -> usize {
        self.connections.len()
    }

    /// Takes over a connection that was accepted.
    pub(super) fn add(&mut self, context: &mut Context, stream: TcpStream) {
        let Some(id) = context.add(stream, Protocol::IncomingHttp, UNSENT_MAX) else {
            return;
        };
        let connection = ClientConnection {
            decoder: Decoder::new(Side::Request, wire::BODY_MAX),
            pending: None,
            closes_after_response: false,
            is_worker: false,
        };
        self.connections.insert(id, connection);
    }

    /// Closes the user connection that has been quiet for longest, to make room; whether there was
    /// one.
    pub(super) fn shed(&mut self, context: &mut Context) -> bool {
        let connections = self.connections.iter();
        let candidates = connections.filter(|(_, connection)| connection.can_be_shed());
        let oldest = candidates
            .map(|(id, _)| *id)
            .min_by_key(|id| context.connections.last_active(*id));
        if let Some(id) = oldest {
            self.close(context, id);
        }
        oldest.is_some()
    }

    /// Closes the connections that were quiet for too long.
    pub(super) fn close_timed_out(&mut self, context: &mut Context, now: Time) {
        let connections = self.connections.iter();
        let timed_out = connections.filter(|(id, connection)| {
            let last_active = context.connections.last_active(**id);
            last_active.is_some_and(|at| connection.is_timed_out(now.since(at)))
        });
        let timed_out: Vec<ConnectionId> = timed_out.map(|(id, _)| *id).collect();
        for id in timed_out {
            self.close(context, id);
        }
    }

    /// Takes the bytes that came on a connection.
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

    /// Writes what waits. A connection that ends with a response is to be closed once that is
    /// written.
    pub(super) fn flush(&self, context: &mut Context, id: ConnectionId) -> Outcome {
        if context.connections.flush(id) == Outcome::Close {
            return Outcome::Close;
        }
        let connection = self.connections.get(&id);
        let ends = connection.is_some_and(|connection| {
            connection.pending.is_none() && connection.closes_after_response
        });
        if ends && !context.connections.has_unsent(id) {
            return Outcome::Close;
        }
        Outcome::KeepOpen
    }

    /// Sends the controller's answer to a request, and reads the next one.
    pub(super) fn answer(&mut self, context: &mut Context, request: RequestId, reply: &Reply) {
        let Some(id) = self.requests.remove(&request) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.pending = None;
        let closes = connection.closes_after_response;
        let bytes = http::response(reply.status, reply.retry_after, closes, &reply.body);
        let is_over = self.send(context, id, &bytes) == Outcome::Close
            || self.read_requests(context, id) == Outcome::Close;
        if is_over {
            self.close(context, id);
        }
    }

    /// Closes a connection. The controller is notified of the request that was still pending.
    pub(super) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        // The socket closes at the end of this function.
        let Some(_socket) = context.connections.remove(id) else {
            return;
        };
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.workers -= usize::from(connection.is_worker);
        if let Some(request) = connection.pending {
            self.requests.remove(&request);
            context.inputs.push_back(Input::Disconnect(request));
        }
    }

    /// Reads whole requests, one at a time: the next one waits until this one is answered.
    fn read_requests(&mut self, context: &mut Context, id: ConnectionId) -> Outcome {
        while let Some(connection) = self.connections.get_mut(&id) {
            if connection.pending.is_some() {
                // Clients aren't expected to pipeline; what comes early waits, within a bound.
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
        let mut closes = message.closes_connection;
        if matches!(routed, Ok(Request::Heartbeat(_))) && !self.admit_worker(id) {
            routed = Err(TOO_MANY_WORKERS);
            closes = true;
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.closes_after_response |= closes;
        }
        match routed {
            Ok(request) => self.forward_to_controller(context, id, request),
            Err(refusal) => self.refuse(context, id, refusal, closes),
        }
    }

    /// Whether a worker may use this connection. It counts as a worker's from then on.
    fn admit_worker(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return true;
        };
        if connection.is_worker {
            return true;
        }
        if self.workers as f64 >= self.workers_max {
            return false;
        }
        connection.is_worker = true;
        self.workers += 1;
        true
    }

    fn forward_to_controller(&mut self, context: &mut Context, id: ConnectionId, request: Request) {
        self.latest_request += 1;
        let request_id = RequestId(self.latest_request);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.pending = Some(request_id);
        }
        self.requests.insert(request_id, id);
        context
            .inputs
            .push_back(Input::Request(request_id, request));
    }

    /// Answers a request that the controller never sees.
    fn refuse(&mut self, context: &mut Context, id: ConnectionId, refusal: Refusal, closes: bool) {
        let retry_after = (refusal.status == 503).then_some(REFUSED_RETRY_S);
        let body = wire::error_body(refusal.reason);
        let bytes = http::response(refusal.status, retry_after, closes, &body);
        if self.send(context, id, &bytes) == Outcome::Close {
            self.close(context, id);
        }
    }

    /// Answers what can't be read, and closes: where the next message would begin isn't known any
    /// more.
    fn reject_malformed(&mut self, context: &mut Context, id: ConnectionId, error: HttpError) {
        let status = match error {
            HttpError::Malformed => 400,
            HttpError::TooLarge => 413,
        };
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.closes_after_response = true;
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
