//! The event loop: sockets, timers and reconnection. It decodes received bytes into the
//! controller's inputs and executes the controller's outputs.
//!
//! Each protocol has a module that owns the state of its connections: `incoming`, `outgoing`,
//! `peer_links` and `cell_links`; the last two read frames with `framed`. All of them use
//! `connections`, which handles sockets without regard to the protocol.

#![warn(missing_docs)]

mod cell_links;
mod clock;
mod connections;
mod context;
mod framed;
mod incoming;
mod listeners;
mod outgoing;
mod peer_links;
mod routes;
pub mod waiting;

use crate::controller::Controller;
use crate::controller::events::{Input, Output};
use crate::ids::Time;
use crate::metrics::Metrics;
use crate::net::cell_links::CellLinks;
use crate::net::clock::Clock;
use crate::net::connections::{ConnectionId, Connections, Outcome, Protocol, ReadResult};
use crate::net::context::Context;
use crate::net::incoming::IncomingRequests;
use crate::net::listeners::{ListenerKind, Listeners};
use crate::net::outgoing::{OutgoingRequest, OutgoingRequests};
use crate::net::peer_links::PeerLinks;
use crate::net::waiting::{Ready, SocketPoller};
use crate::settings::Settings;
use log::{info, warn};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// File descriptors that aren't connections: listeners, the poller's and the standard streams.
const NON_CONNECTION_FILES: usize = 16;
/// Sockets reserved for the store, the cloud, peers and listeners.
const RESERVED_SOCKETS: usize = 40;
/// Minimum number of sockets for incoming connections, even if the platform's socket limit leaves
/// fewer.
const INCOMING_SOCKETS_MIN: usize = 8;
/// Interval between two checks of deadlines, idle connections, termination and metrics.
const SWEEP_INTERVAL_MS: u64 = 100;
/// Maximum number of bytes that one read from a connection returns.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Runs the controller until `termination` is set and everything is handed over.
///
/// `incarnation` distinguishes this process from earlier ones of the same controller. Returns an
/// error if a listener can't be bound or the poller fails.
pub fn run(settings: Settings, incarnation: u64, termination: Arc<AtomicBool>) -> io::Result<()> {
    let poller = SocketPoller::new()?;
    let listeners = Listeners::bind(&poller, &settings)?;
    raise_open_file_limit(settings.platform.facts.resources.max_sockets);
    info!(
        "salttrestle started, version={} controller={} listen={}",
        env!("CARGO_PKG_VERSION"),
        settings.platform.controller_id,
        settings.platform.listen
    );
    EventLoop::new(settings, incarnation, termination, listeners, poller).run()
}

/// Raises the process's limit on open files so that it can open `sockets` sockets, as far as the
/// system allows. The default limit may be far lower than the platform's socket limit.
fn raise_open_file_limit(sockets: usize) {
    let wanted = (sockets + NON_CONNECTION_FILES) as u64;
    match rlimit::increase_nofile_limit(wanted) {
        Ok(limit) if limit >= wanted => info!("open file limit, files={limit} sockets={sockets}"),
        Ok(limit) => warn!("open file limit is too low, files={limit} sockets={sockets}"),
        Err(error) => warn!("open file limit can't be raised, reason={error}"),
    }
}

/// The maximum number of incoming connections: the platform's socket limit without the reserved
/// sockets and the connections to other cells.
fn incoming_connections_max(settings: &Settings) -> usize {
    let sockets_max = settings.platform.facts.resources.max_sockets;
    let cells = settings.cells.iter().flat_map(|file| file.cells.values());
    let cell_sockets: usize = cells.map(BTreeMap::len).sum();
    sockets_max
        .saturating_sub(RESERVED_SOCKETS + cell_sockets)
        .max(INCOMING_SOCKETS_MIN)
}

/// The controller, and the connections and timers that provide its inputs and execute its outputs.
struct EventLoop {
    controller: Controller,
    listeners: Listeners,
    context: Context,
    incoming: IncomingRequests,
    outgoing: OutgoingRequests,
    peers: PeerLinks,
    cells: CellLinks,
    /// Maximum number of sockets that the platform allows this process.
    sockets_max: usize,
    /// Maximum number of incoming connections.
    incoming_connections_max: usize,
    /// `None` before the first sweep.
    next_sweep_at: Option<Time>,
    /// Set when the process is to terminate.
    termination: Arc<AtomicBool>,
}

impl EventLoop {
    fn new(
        settings: Settings,
        incarnation: u64,
        termination: Arc<AtomicBool>,
        listeners: Listeners,
        poller: SocketPoller,
    ) -> Self {
        let incoming_connections_max = incoming_connections_max(&settings);
        Self {
            listeners,
            incoming: IncomingRequests::new(incoming_connections_max),
            outgoing: OutgoingRequests::new(&settings.platform.services),
            peers: PeerLinks::new(&settings),
            cells: CellLinks::new(settings.cells.as_deref()),
            sockets_max: settings.platform.facts.resources.max_sockets,
            incoming_connections_max,
            controller: Controller::new(settings, incarnation),
            context: Context {
                clock: Clock::start(),
                connections: Connections::new(poller),
                inputs: VecDeque::new(),
                metrics: Metrics::new(Clock::started_at(), Instant::now()),
            },
            next_sweep_at: None,
            termination,
        }
    }

    fn run(&mut self) -> io::Result<()> {
        let mut events: Vec<Ready> = Vec::new();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            self.process_due();
            if self.controller.shutdown_complete() {
                info!("ends: everything is handed over");
                return Ok(());
            }
            let timeout = self.time_until_next_timer();
            events.clear();
            let wait_started_at = Instant::now();
            match self.context.connections.wait(timeout) {
                Ok(ready) => events.extend_from_slice(ready),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            }
            self.context.metrics.record_wait(wait_started_at.elapsed());
            for event in &events {
                match ListenerKind::from_key(event.key) {
                    Some(kind) => self.accept(kind),
                    None => self.on_socket_ready(*event, &mut buffer),
                }
            }
        }
    }

    fn time_until_next_timer(&self) -> Duration {
        let now = self.context.clock.now();
        let wake_at = self.controller.wake_at();
        let wake_at = self.next_sweep_at.map_or(wake_at, |at| wake_at.min(at));
        Duration::from_millis(wake_at.0.saturating_sub(now.0))
    }

    /// Runs the sweep if it is due, passes queued inputs to the controller, and wakes the
    /// controller if the time that it asked for has come.
    fn process_due(&mut self) {
        let now = self.context.clock.now();
        if self.next_sweep_at.is_none_or(|at| now >= at) {
            self.sweep(now);
        }
        self.process_inputs();
        if now >= self.controller.wake_at() {
            self.step(Input::Tick);
            self.process_inputs();
        }
    }

    /// Checks deadlines, idle connections, termination and metrics every [`SWEEP_INTERVAL_MS`].
    fn sweep(&mut self, now: Time) {
        if let Some(due_at) = self.next_sweep_at {
            let delay_ms = now.0.saturating_sub(due_at.0);
            let delay = Duration::from_millis(delay_ms);
            self.context.metrics.record_timer(delay);
        }
        self.next_sweep_at = Some(now.next_multiple(SWEEP_INTERVAL_MS));
        self.outgoing.time_out_calls(&mut self.context, now);
        self.incoming.close_timed_out(&mut self.context, now);
        if self.termination.load(Ordering::Relaxed) {
            self.context.inputs.push_back(Input::Shutdown);
        }
        let utilization = self.context.metrics.measure_utilization(Instant::now());
        if let Some(utilization) = utilization {
            let input = Input::ProcessorUtilization(utilization);
            self.context.inputs.push_back(input);
        }
        self.log_load(now);
    }

    /// Passes all queued inputs to the controller, including those that its outputs cause, and
    /// flushes the messages to peers.
    fn process_inputs(&mut self) {
        loop {
            while let Some(input) = self.context.inputs.pop_front() {
                self.step(input);
            }
            self.peers.flush_all(&mut self.context);
            if self.context.inputs.is_empty() {
                return;
            }
        }
    }

    fn step(&mut self, input: Input) {
        let started_at = Instant::now();
        let now = self.context.clock.now();
        let outputs = self.controller.step(now, input);
        self.context.metrics.record_step(started_at.elapsed());
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        let context = &mut self.context;
        match output {
            Output::Answer(request, reply) => self.incoming.respond(context, request, &reply),
            Output::Store(call, request) => {
                let request = OutgoingRequest::Store(request);
                self.outgoing.start_call(context, call, request);
            }
            Output::Cloud(call, request) => {
                let request = OutgoingRequest::Cloud(request);
                self.outgoing.start_call(context, call, request);
            }
            Output::CancelCall(call) => self.outgoing.cancel_call(context, call),
            Output::Reconnect(peer) => self.peers.skip_reconnect_delay(&peer),
            Output::Cell(to, message) => self.cells.send(context, &to, &message),
            Output::Peer(to, message) => self.peers.send(context, to.as_ref(), &message),
        }
    }

    /// Periodically logs the load, the queue and the standby's status for operators.
    fn log_load(&mut self, now: Time) {
        let load = self.controller.load();
        let sockets = self.context.connections.count();
        let metrics = &mut self.context.metrics;
        let Some(line) = metrics.take_log_line(now, &load, sockets, self.sockets_max) else {
            return;
        };
        info!("{line}");
        if let Some(queue) = self.controller.queue() {
            info!("{queue}");
        }
        if let Some(status) = self.controller.standby_status() {
            info!("{status}");
        }
    }

    /// Accepts all pending connections of a listener.
    fn accept(&mut self, kind: ListenerKind) {
        loop {
            match self.listeners.accept(kind) {
                Ok(Some(stream)) => self.add_incoming(stream, kind),
                Ok(None) => return,
                Err(error) => {
                    warn!("connection can't be accepted, reason={error}");
                    self.incoming.evict_longest_idle(&mut self.context);
                    return;
                }
            }
        }
    }

    /// Adds an accepted connection. If all sockets for incoming connections are in use and no idle
    /// one can be closed, drops the new connection.
    fn add_incoming(&mut self, stream: TcpStream, kind: ListenerKind) {
        let context = &mut self.context;
        let count =
            self.incoming.count() + self.peers.incoming_count() + self.cells.incoming_count();
        if count >= self.incoming_connections_max && !self.incoming.evict_longest_idle(context) {
            return;
        }
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        match kind {
            ListenerKind::UsersAndWorkers => self.incoming.add(context, stream),
            ListenerKind::Peers => self.peers.add_incoming(context, stream),
            ListenerKind::Cells => self.cells.add_incoming(context, stream),
        }
    }

    fn on_socket_ready(&mut self, event: Ready, buffer: &mut [u8]) {
        let id = ConnectionId(event.key);
        if event.writable && self.on_writable(id) == Outcome::Close {
            self.close(id);
            return;
        }
        if event.readable {
            self.read(id, buffer);
        }
    }

    fn on_writable(&mut self, id: ConnectionId) -> Outcome {
        let context = &mut self.context;
        match context.connections.protocol(id) {
            Some(Protocol::IncomingHttp) => self.incoming.flush(context, id),
            Some(Protocol::ToPeer) => {
                self.peers.check_progress(context, id);
                context.connections.flush(id)
            }
            _ => context.connections.flush(id),
        }
    }

    /// Reads and handles all bytes available on a connection.
    fn read(&mut self, id: ConnectionId, buffer: &mut [u8]) {
        let now = self.context.clock.now();
        loop {
            let count = match self.context.connections.read(id, buffer, now) {
                ReadResult::Bytes(count) => count,
                ReadResult::Nothing => return,
                ReadResult::Ended => return self.close(id),
            };
            if self.on_bytes(id, &buffer[..count]) == Outcome::Close {
                return self.close(id);
            }
            if count < buffer.len() {
                return;
            }
        }
    }

    fn on_bytes(&mut self, id: ConnectionId, bytes: &[u8]) -> Outcome {
        let context = &mut self.context;
        match context.connections.protocol(id) {
            Some(Protocol::IncomingHttp) => self.incoming.on_bytes(context, id, bytes),
            Some(Protocol::OutgoingHttp) => self.outgoing.on_bytes(context, id, bytes),
            Some(Protocol::FromPeer) => self.peers.on_bytes(context, id, bytes),
            Some(Protocol::FromCell) => self.cells.on_bytes(context, id, bytes),
            // The remote side sends nothing on these connections.
            Some(Protocol::ToPeer | Protocol::ToCell) | None => Outcome::KeepOpen,
        }
    }

    fn close(&mut self, id: ConnectionId) {
        let context = &mut self.context;
        match context.connections.protocol(id) {
            Some(Protocol::IncomingHttp) => self.incoming.close(context, id),
            Some(Protocol::OutgoingHttp) => self.outgoing.close(context, id),
            Some(Protocol::FromPeer | Protocol::ToPeer) => self.peers.close(context, id),
            Some(Protocol::FromCell | Protocol::ToCell) => self.cells.close(context, id),
            None => {}
        }
    }
}
