//! The event loop: sockets, timers, reconnects. It turns bytes into the controller's inputs and
//! carries out its outputs. Each protocol has a module that owns its connections' state:
//! `incoming`, `outgoing`, `peer_links` and `cell_links`; the last two read frames by `framed`. All of
//! them use `connections`, which knows of sockets only.

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

/// Open files that aren't connections: listeners, the poller's, the standard streams.
const OTHER_FILES: usize = 16;
/// Sockets kept for the store, the cloud, peers and listeners.
const OWN_SOCKETS: usize = 40;
/// Fewest sockets for incoming connections, whatever the platform leases.
const INCOMING_SOCKETS_MIN: usize = 8;
/// Pause between two looks at deadlines, quiet connections and the metrics.
const SWEEP_MS: u64 = 100;
/// Most bytes read from a connection at once.
const READ_BUFFER: usize = 16 * 1024;

/// Runs the service until the process is killed or, once `termination` is raised, has handed over.
pub fn run(settings: Settings, incarnation: u64, termination: Arc<AtomicBool>) -> io::Result<()> {
    let poller = SocketPoller::new()?;
    let listeners = Listeners::bind(&poller, &settings)?;
    raise_file_limit(settings.platform.facts.resources.max_sockets);
    info!(
        "salttrestle {} as {} on {}",
        env!("CARGO_PKG_VERSION"),
        settings.platform.controller_id,
        settings.platform.listen
    );
    EventLoop::new(settings, incarnation, termination, listeners, poller).run()
}

/// A system's usual limit on open files may be far below the sockets that the platform
/// leases: raises it as far as it goes.
fn raise_file_limit(sockets: usize) {
    let wanted = (sockets + OTHER_FILES) as u64;
    match rlimit::increase_nofile_limit(wanted) {
        Ok(limit) if limit >= wanted => info!("{limit} files may be open, for {sockets} sockets"),
        Ok(limit) => warn!("only {limit} files may be open, for {sockets} sockets"),
        Err(error) => warn!("the limit on open files isn't known: {error}"),
    }
}

/// Sockets for those who connect to this process.
fn incoming_sockets(settings: &Settings) -> usize {
    let all = settings.platform.facts.resources.max_sockets;
    let cells = settings.cells.iter().flat_map(|file| file.cells.values());
    let to_cells: usize = cells.map(BTreeMap::len).sum();
    all.saturating_sub(OWN_SOCKETS + to_cells)
        .max(INCOMING_SOCKETS_MIN)
}

/// The controller, and all that connects it with the world.
struct EventLoop {
    controller: Controller,
    listeners: Listeners,
    context: Context,
    incoming: IncomingRequests,
    outgoing: OutgoingRequests,
    peers: PeerLinks,
    cells: CellLinks,
    /// Sockets that the platform leases, and those of them for incoming connections.
    sockets_max: usize,
    incoming_max: usize,
    /// Nothing before the first sweep.
    next_sweep: Option<Time>,
    /// Raised when the process is to terminate.
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
        let incoming_max = incoming_sockets(&settings);
        Self {
            listeners,
            incoming: IncomingRequests::new(incoming_max),
            outgoing: OutgoingRequests::new(&settings.platform.services),
            peers: PeerLinks::new(&settings),
            cells: CellLinks::new(settings.cells.as_deref()),
            sockets_max: settings.platform.facts.resources.max_sockets,
            incoming_max,
            controller: Controller::new(settings, incarnation),
            context: Context {
                clock: Clock::start(),
                connections: Connections::new(poller),
                inputs: VecDeque::new(),
                metrics: Metrics::new(Clock::started_at(), Instant::now()),
            },
            next_sweep: None,
            termination,
        }
    }

    fn run(&mut self) -> io::Result<()> {
        let mut events: Vec<Ready> = Vec::new();
        let mut buffer = vec![0; READ_BUFFER];
        loop {
            self.advance();
            if self.controller.shutdown_complete() {
                info!("ends: everything is handed over");
                return Ok(());
            }
            let timeout = self.until_next_timer();
            events.clear();
            let began = Instant::now();
            match self.context.connections.wait(timeout) {
                Ok(ready) => events.extend_from_slice(ready),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            }
            self.context.metrics.record_wait(began.elapsed());
            for event in &events {
                match ListenerKind::from_key(event.key) {
                    Some(kind) => self.accept(kind),
                    None => self.on_ready(*event, &mut buffer),
                }
            }
        }
    }

    fn until_next_timer(&self) -> Duration {
        let now = self.context.clock.now();
        let wake_at = self.controller.wake_at();
        let wake_at = self.next_sweep.map_or(wake_at, |at| wake_at.min(at));
        Duration::from_millis(wake_at.0.saturating_sub(now.0))
    }

    /// Feeds the controller what has come, and the time if it waits for that.
    fn advance(&mut self) {
        let now = self.context.clock.now();
        if self.next_sweep.is_none_or(|at| now >= at) {
            self.sweep(now);
        }
        self.process_inputs();
        if now >= self.controller.wake_at() {
            self.step(Input::Tick);
            self.process_inputs();
        }
    }

    /// What is done in regular intervals.
    fn sweep(&mut self, now: Time) {
        if let Some(due) = self.next_sweep {
            let late_ms = now.0.saturating_sub(due.0);
            let late = Duration::from_millis(late_ms);
            self.context.metrics.record_timer(late);
        }
        self.next_sweep = Some(now.next_multiple(SWEEP_MS));
        self.outgoing.end_overdue(&mut self.context, now);
        self.incoming.close_timed_out(&mut self.context, now);
        if self.termination.load(Ordering::Relaxed) {
            self.context.inputs.push_back(Input::Shutdown);
        }
        let utilization = self.context.metrics.measure_utilization(Instant::now());
        if let Some(share) = utilization {
            let input = Input::ProcessorUtilization(share);
            self.context.inputs.push_back(input);
        }
        self.log_load(now);
    }

    /// Feeds the controller all that came, also what comes of that.
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
        let began = Instant::now();
        let now = self.context.clock.now();
        let outputs = self.controller.step(now, input);
        self.context.metrics.record_step(began.elapsed());
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        let context = &mut self.context;
        match output {
            Output::Answer(request, reply) => self.incoming.answer(context, request, &reply),
            Output::Store(call, request) => {
                let request = OutgoingRequest::Store(request);
                self.outgoing.start(context, call, request);
            }
            Output::Cloud(call, request) => {
                let request = OutgoingRequest::Cloud(request);
                self.outgoing.start(context, call, request);
            }
            Output::CancelCall(call) => self.outgoing.cancel(context, call),
            Output::Reconnect(peer) => self.peers.skip_pause(&peer),
            Output::Cell(to, message) => self.cells.send(context, &to, &message),
            Output::Peer(to, message) => self.peers.send(context, to.as_ref(), &message),
        }
    }

    /// Shows an operator from time to time which limit is near.
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

    /// Accepts all connections that wait at a listener.
    fn accept(&mut self, kind: ListenerKind) {
        loop {
            match self.listeners.accept(kind) {
                Ok(Some(stream)) => self.add_incoming(stream, kind),
                Ok(None) => return,
                Err(error) => {
                    warn!("connection can't be accepted: reason={error}");
                    self.incoming.shed(&mut self.context);
                    return;
                }
            }
        }
    }

    /// Takes a connection over, if there is a socket for it or a quiet one can be closed.
    fn add_incoming(&mut self, stream: TcpStream, kind: ListenerKind) {
        let context = &mut self.context;
        let count =
            self.incoming.count() + self.peers.incoming_count() + self.cells.incoming_count();
        if count >= self.incoming_max && !self.incoming.shed(context) {
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

    fn on_ready(&mut self, event: Ready, buffer: &mut [u8]) {
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

    /// Reads all that has come on a connection.
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
            // The other side only reads from these.
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
