//! HTTP requests to the store and to the cloud, over a few connections each.

use crate::controller::events::Input;
use crate::http::{self, Decoder, Message, Side};
use crate::ids::{CallId, Time};
use crate::net::connections::{ConnectionId, Outcome, Protocol, UNSENT_MAX, begin_connect};
use crate::net::context::Context;
use crate::settings::Services;
use crate::wire::{self, Call, CloudRequest, CloudResponse, StoreRequest, StoreResponse};
use log::debug;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddrV4;

const STORE_CONNECTIONS_MAX: usize = 12;
const CLOUD_CONNECTIONS_MAX: usize = 4;
/// How long a response is waited for.
const STORE_TIMEOUT_S: f64 = 2.0;
const CLOUD_TIMEOUT_S: f64 = 6.0;
/// The store answers a watch within its own limit; the rest is for the way there and back.
const WATCH_TIMEOUT_S: f64 = wire::WATCH_MS as f64 / 1000.0 + 2.0;
/// Responses of the store have no limit of size. A watch that brings more than this at once is
/// given up, and the connection with it.
const RESPONSE_MAX: usize = 8 << 20;

/// An outside service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Store,
    Cloud,
}

/// A request to an outside service.
pub(super) enum OutgoingRequest {
    /// To the store.
    Store(StoreRequest),
    /// To the cloud.
    Cloud(CloudRequest),
}

impl OutgoingRequest {
    fn service(&self) -> Service {
        match self {
            Self::Store(_) => Service::Store,
            Self::Cloud(_) => Service::Cloud,
        }
    }

    /// The request as it goes onto the wire.
    fn to_http(&self) -> Call {
        match self {
            Self::Store(request) => request.call(),
            Self::Cloud(request) => request.call(),
        }
    }

    fn timeout_s(&self) -> f64 {
        match self {
            Self::Store(StoreRequest::Watch { .. }) => WATCH_TIMEOUT_S,
            Self::Store(_) => STORE_TIMEOUT_S,
            Self::Cloud(_) => CLOUD_TIMEOUT_S,
        }
    }

    /// The controller's input when no response came.
    fn no_response(&self, call: CallId) -> Input {
        match self {
            Self::Store(_) => Input::Store(call, StoreResponse::NoResponse),
            Self::Cloud(_) => Input::Cloud(call, CloudResponse::NoResponse),
        }
    }

    /// The controller's input for a response.
    fn response(&self, call: CallId, message: &Message) -> Input {
        let status = message.status().unwrap_or(0);
        match self {
            Self::Store(request) => Input::Store(call, request.reply(status, &message.body)),
            Self::Cloud(request) => Input::Cloud(call, request.reply(status, &message.body)),
        }
    }
}

/// A request that waits for a connection or for its response.
struct PendingCall {
    request: OutgoingRequest,
    /// The connection on which it was sent.
    connection: Option<ConnectionId>,
    began: Time,
    deadline: Time,
}

/// A connection to a service.
struct ServiceConnection {
    service: Service,
    decoder: Decoder,
    /// The call whose response is waited for.
    call: Option<CallId>,
}

/// The connections to one service, and the calls that wait for one.
struct ServicePool {
    address: SocketAddrV4,
    connections_max: usize,
    open: usize,
    idle: Vec<ConnectionId>,
    queue: VecDeque<CallId>,
}

impl ServicePool {
    fn new(address: SocketAddrV4, connections_max: usize) -> Self {
        Self {
            address,
            connections_max,
            open: 0,
            idle: Vec::new(),
            queue: VecDeque::new(),
        }
    }
}

/// The requests to the store and the cloud that are under way, and their connections.
pub(super) struct OutgoingRequests {
    store: ServicePool,
    cloud: ServicePool,
    calls: HashMap<CallId, PendingCall>,
    deadlines: BTreeSet<(Time, CallId)>,
    connections: HashMap<ConnectionId, ServiceConnection>,
}

impl OutgoingRequests {
    pub(super) fn new(services: &Services) -> Self {
        Self {
            store: ServicePool::new(services.state, STORE_CONNECTIONS_MAX),
            cloud: ServicePool::new(services.cloud, CLOUD_CONNECTIONS_MAX),
            calls: HashMap::new(),
            deadlines: BTreeSet::new(),
            connections: HashMap::new(),
        }
    }

    /// Sends a request, or queues it until a connection is free.
    pub(super) fn start(&mut self, context: &mut Context, id: CallId, request: OutgoingRequest) {
        if let OutgoingRequest::Store(StoreRequest::Transaction { writes, .. }) = &request {
            debug!("transaction started: call={} writes={writes:?}", id.0);
        }
        let began = context.clock.now();
        let deadline = began.after(request.timeout_s());
        let service = request.service();
        let call = PendingCall {
            request,
            connection: None,
            began,
            deadline,
        };
        self.calls.insert(id, call);
        self.deadlines.insert((deadline, id));
        self.pool(service).queue.push_back(id);
        self.send_queued(context, service);
    }

    /// Ends a call whose response the controller doesn't need any more.
    pub(super) fn cancel(&mut self, context: &mut Context, id: CallId) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(call.deadline, id));
        if let Some(connection) = call.connection {
            self.close(context, connection);
        }
    }

    /// Ends the calls whose deadline has passed.
    pub(super) fn end_overdue(&mut self, context: &mut Context, now: Time) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            debug!("call timed out: call={}", id.0);
            let connection = self.calls.get(&id).and_then(|call| call.connection);
            self.finish(context, id, None);
            if let Some(connection) = connection {
                if let Some(connection) = self.connections.get_mut(&connection) {
                    connection.call = None;
                }
                self.close(context, connection);
            }
        }
    }

    /// Takes the bytes that came on a connection.
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
                self.finish(context, call, Some(&message));
                if message.closes_connection {
                    return Outcome::Close;
                }
                self.reuse(context, id);
                Outcome::KeepOpen
            }
            (Ok(None), _) => Outcome::KeepOpen,
            // A response without a request, or bytes that are no response.
            (Ok(Some(_)), None) | (Err(_), _) => Outcome::Close,
        }
    }

    /// Closes a connection, ends the call that was on it, and sends what waits for a connection.
    pub(super) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        // The socket closes at the end of this function.
        let Some(_socket) = context.connections.remove(id) else {
            return;
        };
        let Some(mut connection) = self.connections.remove(&id) else {
            return;
        };
        let pool = self.pool(connection.service);
        pool.open -= 1;
        pool.idle.retain(|idle| *idle != id);
        if let Some(call) = connection.call {
            let message = connection.decoder.finish_at_close();
            self.finish(context, call, message.as_ref());
        }
        self.send_queued(context, connection.service);
    }

    fn pool(&mut self, service: Service) -> &mut ServicePool {
        match service {
            Service::Store => &mut self.store,
            Service::Cloud => &mut self.cloud,
        }
    }

    /// Sends the calls that wait, as far as there are connections.
    fn send_queued(&mut self, context: &mut Context, service: Service) {
        while let Some(id) = self.pool(service).queue.front().copied() {
            if !self.calls.contains_key(&id) {
                self.pool(service).queue.pop_front();
                continue;
            }
            let pool = self.pool(service);
            let idle = pool.idle.pop();
            if idle.is_none() && pool.open >= pool.connections_max {
                return;
            }
            let connection = idle.or_else(|| self.connect(context, service));
            self.pool(service).queue.pop_front();
            match connection {
                Some(connection) => self.send(context, connection, id),
                None => self.finish(context, id, None),
            }
        }
    }

    fn connect(&mut self, context: &mut Context, service: Service) -> Option<ConnectionId> {
        let stream = begin_connect(self.pool(service).address).ok()?;
        let id = context.add(stream, Protocol::OutgoingHttp, UNSENT_MAX)?;
        let connection = ServiceConnection {
            service,
            decoder: Decoder::new(Side::Response, RESPONSE_MAX),
            call: None,
        };
        self.connections.insert(id, connection);
        self.pool(service).open += 1;
        Some(id)
    }

    fn send(&mut self, context: &mut Context, connection_id: ConnectionId, call_id: CallId) {
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

    /// Lets the next call have a connection whose response has come.
    fn reuse(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let service = connection.service;
        self.pool(service).idle.push(id);
        self.send_queued(context, service);
    }

    /// Passes the response to a call on to the controller, or the input for a missing one.
    fn finish(&mut self, context: &mut Context, id: CallId, message: Option<&Message>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(call.deadline, id));
        if matches!(
            call.request,
            OutgoingRequest::Store(StoreRequest::Transaction { .. })
        ) {
            let took_s = context.clock.now().since(call.began);
            context.metrics.record_commit(took_s);
        }
        if message.is_some_and(|message| matches!(message.status(), Some(429 | 503))) {
            context.metrics.record_refused_call();
        }
        context.inputs.push_back(match message {
            Some(message) => call.request.response(id, message),
            None => call.request.no_response(id),
        });
    }
}
