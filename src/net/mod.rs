//! The `polling` loop: sockets, timers, reconnects. It turns bytes into the controller's
//! inputs and carries out its outputs.

mod calls;
mod cells;
mod connections;
mod peers;
mod requests;
pub mod waiting;

use crate::controller::Controller;
use crate::controller::events::{Input, Output};
use crate::ids::{CallId, ControllerId, RequestId, Time};
use crate::metrics::Metrics;
use crate::net::calls::{Op, Outgoing, Service};
use crate::net::connections::{Conn, FIRST_CONN, Inbound};
use crate::net::waiting::{Ready, Waiting};
use crate::peer;
use crate::settings::Settings;
use log::{info, warn};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddrV4, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const LISTEN: usize = 0;
const PEER_LISTEN: usize = 1;
const CELL_LISTEN: usize = 2;

/// The clock starts late, so that the moment 0 lies long ago.
const CLOCK_START_MS: u64 = 10_000_000;
/// Open files that aren't connections: listeners, the poller's, the standard streams.
const OTHER_FILES: usize = 16;
const SWEEP_MS: u64 = 100;
const READ_CHUNK: usize = 16 * 1024;

struct Net {
    waiting: Waiting,
    listener: TcpListener,
    peer_listener: TcpListener,
    /// For other cells, if limits are shared with any.
    cell_listener: Option<TcpListener>,
    settings: Settings,
    controller: Controller,
    started: Instant,
    conns: HashMap<usize, Conn>,
    next_key: usize,
    next_req: u64,
    /// Which connection a request came on.
    requests: HashMap<RequestId, usize>,
    calls: HashMap<CallId, Outgoing>,
    deadlines: BTreeSet<(Time, CallId)>,
    idle: HashMap<Service, Vec<usize>>,
    open: HashMap<Service, usize>,
    queued: HashMap<Service, VecDeque<CallId>>,
    peers: HashMap<ControllerId, usize>,
    peer_retry: HashMap<ControllerId, Time>,
    /// Connections to peers with messages of this turn.
    unflushed: BTreeSet<usize>,
    /// Connections to controllers of other cells, and when the next may be begun.
    cell_links: HashMap<SocketAddrV4, usize>,
    cell_retry: HashMap<SocketAddrV4, Time>,
    inputs: VecDeque<Input>,
    sweep_at: Time,
    inbound: usize,
    /// Connections on which workers reported.
    workers: usize,
    gauge: Metrics,
    /// The process is told to end.
    end: Arc<AtomicBool>,
}

/// Runs the service until the process is killed or, once `end` is raised, has handed over.
pub fn run(settings: Settings, incarnation: u64, end: Arc<AtomicBool>) -> io::Result<()> {
    let waiting = Waiting::new()?;
    let listener = listen(&waiting, settings.platform.listen, LISTEN)?;
    let peer_listener = listen(&waiting, settings.platform.peer_listen, PEER_LISTEN)?;
    let cells = settings.cells.as_ref();
    let cell_address = cells.and_then(|file| file.listen(&settings.platform.controller_id));
    let cell_listener = match cell_address {
        Some(address) => Some(listen(&waiting, address, CELL_LISTEN)?),
        None => None,
    };
    allow_files(settings.platform.facts.resources.max_sockets);
    info!(
        "salttrestle {} as {} on {}",
        env!("CARGO_PKG_VERSION"),
        settings.platform.controller_id,
        settings.platform.listen
    );
    let mut net = Net {
        waiting,
        listener,
        peer_listener,
        cell_listener,
        controller: Controller::new(settings.clone(), incarnation),
        settings,
        started: Instant::now(),
        conns: HashMap::new(),
        next_key: FIRST_CONN,
        next_req: 0,
        requests: HashMap::new(),
        calls: HashMap::new(),
        deadlines: BTreeSet::new(),
        idle: HashMap::new(),
        open: HashMap::new(),
        queued: HashMap::new(),
        peers: HashMap::new(),
        peer_retry: HashMap::new(),
        unflushed: BTreeSet::new(),
        cell_links: HashMap::new(),
        cell_retry: HashMap::new(),
        inputs: VecDeque::new(),
        sweep_at: Time(0),
        inbound: 0,
        workers: 0,
        gauge: Metrics::new(Time(CLOCK_START_MS), Instant::now()),
        end,
    };
    net.run()
}

/// A system's usual limit on open files may be far below the sockets that the platform
/// leases: raises it as far as it goes.
fn allow_files(sockets: usize) {
    let wanted = (sockets + OTHER_FILES) as u64;
    match rlimit::increase_nofile_limit(wanted) {
        Ok(got) if got >= wanted => info!("{got} files may be open, for {sockets} sockets"),
        Ok(got) => warn!("only {got} files may be open, for {sockets} sockets"),
        Err(e) => warn!("the limit on open files isn't known: {e}"),
    }
}

fn listen(waiting: &Waiting, at: SocketAddrV4, key: usize) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    waiting.add(&listener, key)?;
    Ok(listener)
}

impl Net {
    fn now(&self) -> Time {
        Time(CLOCK_START_MS + self.started.elapsed().as_millis() as u64)
    }

    fn run(&mut self) -> io::Result<()> {
        let mut events: Vec<Ready> = Vec::new();
        let mut buf = vec![0; READ_CHUNK];
        loop {
            self.work();
            if self.controller.shutdown_complete() {
                info!("ends: everything is handed over");
                return Ok(());
            }
            let now = self.now();
            let wake = self.controller.wake_at().min(self.sweep_at);
            let wait = Duration::from_millis(wake.0.saturating_sub(now.0));
            events.clear();
            let began = Instant::now();
            match self.waiting.wait(wait) {
                Ok(ready) => events.extend_from_slice(ready),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            }
            self.gauge.waited(began.elapsed());
            for event in &events {
                match event.key {
                    LISTEN => self.accept(Inbound::UsersAndWorkers),
                    PEER_LISTEN => self.accept(Inbound::Peers),
                    CELL_LISTEN => self.accept(Inbound::Cells),
                    _ => self.ready(*event, &mut buf),
                }
            }
        }
    }

    /// Feeds the controller what has come, and lets it see the time.
    fn work(&mut self) {
        let now = self.now();
        if now >= self.sweep_at {
            let late = now.0.saturating_sub(self.sweep_at.0);
            if self.sweep_at > Time(0) {
                self.gauge.timer(Duration::from_millis(late));
            }
            self.sweep_at = now.next_multiple(SWEEP_MS);
            self.sweep(now);
            if self.end.load(Ordering::Relaxed) {
                self.inputs.push_back(Input::Shutdown);
            }
            if let Some(share) = self.gauge.busy(Instant::now()) {
                self.inputs.push_back(Input::ProcessorUtilization(share));
            }
            self.tell_load(now);
        }
        self.take_inputs();
        if now >= self.controller.wake_at() {
            self.step(Input::Tick);
            self.take_inputs();
        }
    }

    /// Feeds the controller all that came, also what comes of that.
    fn take_inputs(&mut self) {
        loop {
            while let Some(input) = self.inputs.pop_front() {
                self.step(input);
            }
            self.flush_peers();
            if self.inputs.is_empty() {
                return;
            }
        }
    }

    fn step(&mut self, input: Input) {
        let began = Instant::now();
        let now = self.now();
        let outputs = self.controller.step(now, input);
        self.gauge.step(began.elapsed());
        for output in outputs {
            match output {
                Output::Answer(request_id, reply) => self.answer(request_id, &reply),
                Output::Store(call, op) => self.start_call(call, Op::Store(op)),
                Output::Cloud(call, op) => self.start_call(call, Op::Cloud(op)),
                Output::Forget(call) => self.end_call(call),
                Output::Reconnect(controller_id) => {
                    self.peer_retry.remove(&controller_id);
                }
                Output::Cell(to, message) => self.tell_cell(&to, &message),
                Output::Peer(to, message) => match peer::frame(&message) {
                    Ok(bytes) => self.say(to.as_ref(), &bytes),
                    // Whoever waits for it does without, as if it had been lost.
                    Err(size) => warn!("a message of {size} bytes to siblings is too large"),
                },
            }
        }
    }

    /// Tells an operator from time to time which limit is near.
    fn tell_load(&mut self, now: Time) {
        let load = self.controller.load();
        let most = self.settings.platform.facts.resources.max_sockets;
        if let Some(line) = self.gauge.line(now, &load, self.conns.len(), most) {
            info!("{line}");
            if let Some(queue) = self.controller.queue() {
                info!("{queue}");
            }
            if let Some(status) = self.controller.standby_status() {
                info!("{status}");
            }
        }
    }
}
