//! HTTP requests to the store and to the cloud, over a pool of connections for each.

use crate::controller::events::Input;
use crate::controller::store::STORE_TIMEOUT_S;
use crate::http::{self, Decoder, Message, Side};
use crate::ids::{CallId, Time};
use crate::net::connections::{ConnectionId, Outcome, Protocol, UNSENT_BYTES_MAX, begin_connect};
use crate::net::context::Context;
use crate::settings::Services;
use crate::wire::{self, Call, CloudRequest, CloudResponse, StoreRequest, StoreResponse};
use log::debug;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddrV4;

const STORE_CONNECTIONS_MAX: usize = 12;
const CLOUD_CONNECTIONS_MAX: usize = 4;
/// How long the cloud may take to respond.
const CLOUD_TIMEOUT_S: f64 = 6.0;
/// How long the store may take to respond to a watch: the time for which it may hold the request,
/// and 2 s for the round trip.
const WATCH_TIMEOUT_S: f64 = wire::WATCH_WAIT_MS as f64 / 1000.0 + 2.0;
/// Maximum size of a response's body. The store doesn't limit its responses; if the response to a
/// watch is larger than this, the call fails and its connection is closed.
const RESPONSE_BYTES_MAX: usize = 8 << 20;

/// A service that this process calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Store,
    Cloud,
}

/// A request to the store or to the cloud.
pub(super) enum OutgoingRequest {
    /// A request to the store.
    Store(StoreRequest),
    /// A request to the cloud.
    Cloud(CloudRequest),
}

impl OutgoingRequest {
    fn service(&self) -> Service {
        match self {
            Self::Store(_) => Service::Store,
            Self::Cloud(_) => Service::Cloud,
        }
    }

    /// Encodes the request as a method, a path and a body.
    fn to_http(&self) -> Call {
        match self {
            Self::Store(request) => request.to_call(),
            Self::Cloud(request) => request.to_call(),
        }
    }

    fn timeout_s(&self) -> f64 {
        match self {
            Self::Store(StoreRequest::Watch { .. }) => WATCH_TIMEOUT_S,
            Self::Store(_) => STORE_TIMEOUT_S,
            Self::Cloud(_) => CLOUD_TIMEOUT_S,
        }
    }

    /// The controller's input for a call without a response.
    fn no_response_input(&self, call: CallId) -> Input {
        match self {
            Self::Store(_) => Input::Store(call, StoreResponse::NoResponse),
            Self::Cloud(_) => Input::Cloud(call, CloudResponse::NoResponse),
        }
    }

    /// The controller's input for the response to a call.
    fn response_input(&self, call: CallId, message: &Message) -> Input {
        let status = message.status().unwrap_or(0);
        match self {
            Self::Store(request) => {
                Input::Store(call, request.parse_response(status, &message.body))
            }
            Self::Cloud(request) => {
                Input::Cloud(call, request.parse_response(status, &message.body))
            }
        }
    }
}

/// A call that waits for a connection or for its response.
struct PendingCall {
    request: OutgoingRequest,
    /// The connection on which the request was sent; `None` while it is queued.
    connection: Option<ConnectionId>,
    started_at: Time,
    deadline: Time,
}

/// A connection to a service.
struct ServiceConnection {
    service: Service,
    decoder: Decoder,
    /// The call that waits for its response; `None` if the connection is idle.
    call: Option<CallId>,
}

/// The connections to one service, and the calls queued for a connection.
struct ServicePool {
    address: SocketAddrV4,
    connections_max: usize,
    /// The number of open connections, idle ones included.
    open_connections: usize,
    idle_connections: Vec<ConnectionId>,
    /// Queued calls, oldest first; some of them may have been cancelled or have timed out.
    queued_calls: VecDeque<CallId>,
}

impl ServicePool {
    fn new(address: SocketAddrV4, connections_max: usize) -> Self {
        Self {
            address,
            connections_max,
            open_connections: 0,
            idle_connections: Vec::new(),
            queued_calls: VecDeque::new(),
        }
    }
}

/// Pending calls to the store and the cloud, and the connections to both.
pub(super) struct OutgoingRequests {
    store: ServicePool,
    cloud: ServicePool,
    calls: HashMap<CallId, PendingCall>,
    /// The deadlines of all pending calls, earliest first.
    deadlines: BTreeSet<(Time, CallId)>,
    connections: HashMap<ConnectionId, ServiceConnection>,
}

impl OutgoingRequests {
    pub(super) fn new(services: &Services) -> Self {
        Self {
            store: ServicePool::new(services.store, STORE_CONNECTIONS_MAX),
            cloud: ServicePool::new(services.cloud, CLOUD_CONNECTIONS_MAX),
            calls: HashMap::new(),
            deadlines: BTreeSet::new(),
            connections: HashMap::new(),
        }
    }

    /// Sends a request, or queues it until a connection is free.
    pub(super) fn start_call(
        &mut self,
        context: &mut Context,
        id: CallId,
        request: OutgoingRequest,
    ) {
        if let OutgoingRequest::Store(StoreRequest::Transaction { writes, .. }) = &request {
            debug!("transaction started, call={} writes={writes:?}", id.0);
        }
        let started_at = context.clock.now();
        let deadline = started_at.after(request.timeout_s());
        let service = request.service();
        let call = PendingCall {
            request,
            connection: None,
            started_at,
            deadline,
        };
        self.calls.insert(id, call);
        self.deadlines.insert((deadline, id));
        self.pool(service).queued_calls.push_back(id);
        self.send_queued(context, service);
    }

    /// Cancels a call whose response the controller no longer needs.
    pub(super) fn cancel_call(&mut self, context: &mut Context, id: CallId) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(call.deadline, id));
        if let Some(connection) = call.connection {
            self.close(context, connection);
        }
    }

    /// Ends the calls whose deadline has passed, without a response.
    pub(super) fn time_out_calls(&mut self, context: &mut Context, now: Time) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            debug!("call timed out, call={}", id.0);
            let connection = self.calls.get(&id).and_then(|call| call.connection);
            self.finish_call(context, id, None);
            if let Some(connection) = connection {
                if let Some(connection) = self.connections.get_mut(&connection) {
                    connection.call = None;
                }
                self.close(context, connection);
            }
        }
    }

    /// Handles bytes received on a connection.
    pub(super) fn on_bytes(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        bytes: &[u8],
    ) -> Outcome {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Outcome::KeepOpen;
        };
        connection.decoder.feed(bytes);
        match (connection.decoder.next_message(), connection.call) {
            (Ok(Some(message)), Some(call)) => {
                connection.call = None;
                self.finish_call(context, call, Some(&message));
                if message.closes_connection {
                    return Outcome::Close;
                }
                self.release_connection(context, id);
                Outcome::KeepOpen
            }
            (Ok(None), _) => Outcome::KeepOpen,
            // A response without a request, or bytes that can't be parsed.
            (Ok(Some(_)), None) | (Err(_), _) => Outcome::Close,
        }
    }

    /// Closes a connection, ends the call that was sent on it, and sends queued calls.
    pub(super) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        // The socket closes at the end of this function.
        let Some(_socket) = context.connections.remove(id) else {
            return;
        };
        let Some(mut connection) = self.connections.remove(&id) else {
            return;
        };
        let pool = self.pool(connection.service);
        pool.open_connections -= 1;
        pool.idle_connections.retain(|idle| *idle != id);
        if let Some(call) = connection.call {
            let message = connection.decoder.finish_at_close();
            self.finish_call(context, call, message.as_ref());
        }
        self.send_queued(context, connection.service);
    }

    fn pool(&mut self, service: Service) -> &mut ServicePool {
        match service {
            Service::Store => &mut self.store,
            Service::Cloud => &mut self.cloud,
        }
    }

    /// Sends queued calls while there are idle connections or new ones may be opened.
    fn send_queued(&mut self, context: &mut Context, service: Service) {
        while let Some(id) = self.pool(service).queued_calls.front().copied() {
            if !self.calls.contains_key(&id) {
                self.pool(service).queued_calls.pop_front();
                continue;
            }
            let pool = self.pool(service);
            let idle = pool.idle_connections.pop();
            if idle.is_none() && pool.open_connections >= pool.connections_max {
                return;
            }
            let connection = idle.or_else(|| self.connect(context, service));
            self.pool(service).queued_calls.pop_front();
            match connection {
                Some(connection) => self.send_call(context, connection, id),
                None => self.finish_call(context, id, None),
            }
        }
    }

    fn connect(&mut self, context: &mut Context, service: Service) -> Option<ConnectionId> {
        let stream = begin_connect(self.pool(service).address).ok()?;
        let id = context.add_connection(stream, Protocol::OutgoingHttp, UNSENT_BYTES_MAX)?;
        let connection = ServiceConnection {
            service,
            decoder: Decoder::new(Side::Response, RESPONSE_BYTES_MAX),
            call: None,
        };
        self.connections.insert(id, connection);
        self.pool(service).open_connections += 1;
        Some(id)
    }

    fn send_call(&mut self, context: &mut Context, connection_id: ConnectionId, call_id: CallId) {
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        call.connection = Some(connection_id);
        let request = call.request.to_http();
        let service = call.request.service();
        let host = self.pool(service).address.to_string();
        let bytes = http::request(
            request.method,
            &request.path,
            &host,
            request.body.as_deref(),
        );
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            connection.call = Some(call_id);
        }
        if context.connections.send(connection_id, &bytes) == Outcome::Close {
            self.close(context, connection_id);
        }
    }

    /// Makes a connection available to the next call after its response has arrived.
    fn release_connection(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let service = connection.service;
        self.pool(service).idle_connections.push(id);
        self.send_queued(context, service);
    }

    /// Ends a call and queues the controller's input for its response; `message` is `None` if there
    /// is no response.
    fn finish_call(&mut self, context: &mut Context, id: CallId, message: Option<&Message>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(call.deadline, id));
        if matches!(
            call.request,
            OutgoingRequest::Store(StoreRequest::Transaction { .. })
        ) {
            let duration_s = context.clock.now().since(call.started_at);
            context.metrics.record_commit(duration_s);
        }
        if message.is_some_and(|message| matches!(message.status(), Some(429 | 503))) {
            context.metrics.record_refused_call();
        }
        context.inputs.push_back(match message {
            Some(message) => call.request.response_input(id, message),
            None => call.request.no_response_input(id),
        });
    }
}
