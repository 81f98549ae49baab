//! The `polling` loop: sockets, timers, reconnects. It turns bytes into the core's
//! inputs and carries out its outputs.

use crate::core::{CallId, Core, Input, Link, Output, Reply, ReqId, Request};
use crate::gauge::Gauge;
use crate::http::{self, Decoder, HttpError, Message, Side};
use crate::ids::{JobId, Member, Time};
use crate::peer;
use crate::settings::Settings;
use crate::wire::{self, Call, CloudOp, CloudReply, StateOp, StateReply};
use log::{debug, info, warn};
use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Socket, Type};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LISTEN: usize = 0;
const PEER_LISTEN: usize = 1;
const FIRST_CONN: usize = 2;

/// The clock starts late, so that the moment 0 lies long ago.
const CLOCK_START_MS: u64 = 10_000_000;
/// Sockets kept for the state service, the cloud, siblings and listeners.
const OUTGOING_SOCKETS: usize = 40;
/// Share of the other sockets that workers may use: users and health checks get through
/// however many machines there are. Users' connections give way to workers' below that.
const WORKER_SHARE: f64 = 0.75;
/// When a worker that was refused for want of sockets had better come back, in seconds.
const REFUSED_RETRY_S: u32 = 1;
/// Open files that aren't connections: listeners, the poller's, the standard streams.
const OTHER_FILES: usize = 16;
const STATE_CONNS: usize = 12;
const CLOUD_CONNS: usize = 4;
/// Most bytes that wait to be written to one connection.
const OUT_MAX: usize = 1 << 20;
const PEER_OUT_MAX: usize = 2 * peer::MESSAGE_MAX;
/// A whole request has to come within this time.
const REQUEST_S: f64 = 10.0;
/// Quiet connections are closed after this time, or sooner when sockets are short.
const IDLE_S: f64 = 90.0;
/// How long answers are waited for.
const STATE_CALL_S: f64 = 2.0;
const CLOUD_CALL_S: f64 = 6.0;
const FOLLOW_CALL_S: f64 = wire::FOLLOW_MS as f64 / 1000.0 + 2.0;
const CONNECT_PEER_S: f64 = 1.0;
/// Answers from the state service have no size limit; a follow that brings more than
/// this at once is given up, and the connection with it.
const ANSWER_MAX: usize = 8 << 20;
const SWEEP_MS: u64 = 100;
const READ_CHUNK: usize = 16 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Service {
    State,
    Cloud,
}

enum Role {
    Server {
        decoder: Decoder,
        /// The request being answered; no other is read meanwhile.
        pending: Option<ReqId>,
        close: bool,
        worker: bool,
    },
    Client {
        service: Service,
        decoder: Decoder,
        call: Option<CallId>,
    },
    PeerIn {
        buf: Vec<u8>,
    },
    PeerOut {
        to: Member,
        /// Whether the connection stands.
        made: bool,
    },
}

struct Conn {
    stream: TcpStream,
    role: Role,
    out: Vec<u8>,
    /// Whether writability is waited for.
    writing: bool,
    /// When something last came or, for a new connection, when it was opened.
    active: Time,
    /// The other side refused the connection.
    refused: bool,
}

/// A call to an outside service under way.
struct Outgoing {
    op: Op,
    conn: Option<usize>,
    began: Time,
    deadline: Time,
}

enum Op {
    State(StateOp),
    Cloud(CloudOp),
}

impl Op {
    fn service(&self) -> Service {
        match self {
            Self::State(_) => Service::State,
            Self::Cloud(_) => Service::Cloud,
        }
    }

    fn call(&self) -> Call {
        match self {
            Self::State(op) => op.call(),
            Self::Cloud(op) => op.call(),
        }
    }

    fn patience_s(&self) -> f64 {
        match self {
            Self::State(StateOp::Follow { .. }) => FOLLOW_CALL_S,
            Self::State(_) => STATE_CALL_S,
            Self::Cloud(_) => CLOUD_CALL_S,
        }
    }

    fn no_answer(&self, call: CallId) -> Input {
        match self {
            Self::State(_) => Input::State(call, StateReply::NoAnswer),
            Self::Cloud(_) => Input::Cloud(call, CloudReply::NoAnswer),
        }
    }

    fn reply(&self, call: CallId, message: &Message) -> Input {
        let status = message.status().unwrap_or(0);
        match self {
            Self::State(op) => Input::State(call, op.reply(status, &message.body)),
            Self::Cloud(op) => Input::Cloud(call, op.reply(status, &message.body)),
        }
    }
}

struct Net {
    poller: Poller,
    listener: TcpListener,
    peer_listener: TcpListener,
    settings: Settings,
    core: Core,
    started: Instant,
    conns: HashMap<usize, Conn>,
    next_key: usize,
    next_req: u64,
    /// Which connection a request came on.
    requests: HashMap<ReqId, usize>,
    calls: HashMap<CallId, Outgoing>,
    deadlines: BTreeSet<(Time, CallId)>,
    idle: HashMap<Service, Vec<usize>>,
    open: HashMap<Service, usize>,
    queued: HashMap<Service, VecDeque<CallId>>,
    peers: HashMap<Member, usize>,
    peer_retry: HashMap<Member, Time>,
    inputs: VecDeque<Input>,
    sweep_at: Time,
    inbound: usize,
    /// Connections on which workers reported.
    workers: usize,
    gauge: Gauge,
}

/// Runs the service until the process is killed.
pub fn run(settings: Settings, boot: u64) -> io::Result<()> {
    let poller = Poller::new()?;
    let listener = listen(&poller, settings.platform.listen, LISTEN)?;
    let peer_listener = listen(&poller, settings.platform.peer_listen, PEER_LISTEN)?;
    allow_files(settings.platform.facts.resources.max_sockets);
    info!(
        "salttrestle {} as {} on {}",
        env!("CARGO_PKG_VERSION"),
        settings.platform.member,
        settings.platform.listen
    );
    let mut net = Net {
        poller,
        listener,
        peer_listener,
        core: Core::new(settings.clone(), boot),
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
        inputs: VecDeque::new(),
        sweep_at: Time(0),
        inbound: 0,
        workers: 0,
        gauge: Gauge::new(Time(CLOCK_START_MS)),
    };
    net.run()
}

/// A system's usual limit on open files may be far below the sockets that the platform
/// grants: raises it as far as it goes.
fn allow_files(sockets: usize) {
    let wanted = (sockets + OTHER_FILES) as u64;
    match rlimit::increase_nofile_limit(wanted) {
        Ok(got) if got >= wanted => info!("{got} files may be open, for {sockets} sockets"),
        Ok(got) => warn!("only {got} files may be open, for {sockets} sockets"),
        Err(e) => warn!("the limit on open files isn't known: {e}"),
    }
}

fn listen(poller: &Poller, at: SocketAddrV4, key: usize) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    // SAFETY: the listener lives as long as the poller, to the end of the process.
    unsafe { poller.add_with_mode(&listener, Event::readable(key), PollMode::Level)? };
    Ok(listener)
}

impl Net {
    fn now(&self) -> Time {
        Time(CLOCK_START_MS + self.started.elapsed().as_millis() as u64)
    }

    fn run(&mut self) -> io::Result<()> {
        let mut events = Events::new();
        let mut buf = vec![0; READ_CHUNK];
        loop {
            self.work();
            let now = self.now();
            let wake = self.core.wake_at().min(self.sweep_at);
            let wait = Duration::from_millis(wake.0.saturating_sub(now.0));
            events.clear();
            match self.poller.wait(&mut events, Some(wait)) {
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            }
            for event in events.iter() {
                match event.key {
                    LISTEN => self.accept(false),
                    PEER_LISTEN => self.accept(true),
                    key => self.ready(key, event, &mut buf),
                }
            }
        }
    }

    /// Feeds the core what has come, and lets it see the time.
    fn work(&mut self) {
        let now = self.now();
        if now >= self.sweep_at {
            self.sweep_at = Time(now.0 + SWEEP_MS);
            self.sweep(now);
            self.tell_load(now);
        }
        while let Some(input) = self.inputs.pop_front() {
            self.step(input);
        }
        if now >= self.core.wake_at() {
            self.step(Input::Tick);
            while let Some(input) = self.inputs.pop_front() {
                self.step(input);
            }
        }
    }

    fn step(&mut self, input: Input) {
        let began = Instant::now();
        let now = self.now();
        let outputs = self.core.step(now, input);
        self.gauge.step(began.elapsed());
        for output in outputs {
            match output {
                Output::Answer(req, reply) => self.answer(req, &reply),
                Output::State(call, op) => self.start_call(call, Op::State(op)),
                Output::Cloud(call, op) => self.start_call(call, Op::Cloud(op)),
                Output::Forget(call) => self.end_call(call),
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
        let load = self.core.load();
        let most = self.settings.platform.facts.resources.max_sockets;
        if let Some(line) = self.gauge.line(now, &load, self.conns.len(), most) {
            info!("{line}");
        }
    }

    // ---- connections

    fn accept(&mut self, peer: bool) {
        loop {
            let listener = if peer {
                &self.peer_listener
            } else {
                &self.listener
            };
            match listener.accept() {
                Ok((stream, _)) => self.accepted(stream, peer),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    warn!("can't accept: {e}");
                    self.shed();
                    return;
                }
            }
        }
    }

    fn accepted(&mut self, stream: TcpStream, peer: bool) {
        if self.inbound >= self.room() && !self.shed() {
            return;
        }
        let role = if peer {
            Role::PeerIn { buf: Vec::new() }
        } else {
            Role::Server {
                decoder: Decoder::new(Side::Request, wire::BODY_MAX),
                pending: None,
                close: false,
                worker: false,
            }
        };
        if stream.set_nonblocking(true).is_ok() && self.add(stream, role).is_some() {
            self.inbound += 1;
        }
    }

    /// Sockets for those who connect.
    fn room(&self) -> usize {
        let all = self.settings.platform.facts.resources.max_sockets;
        all.saturating_sub(OUTGOING_SOCKETS).max(8)
    }

    /// Closes the user connection that has been quiet for longest, to make room.
    fn shed(&mut self) -> bool {
        let quiet = |c: &Conn| {
            matches!(
                &c.role,
                Role::Server {
                    pending: None,
                    worker: false,
                    ..
                }
            )
        };
        let candidates = self.conns.iter().filter(|(_, c)| quiet(c));
        let oldest = candidates.min_by_key(|(_, c)| c.active).map(|(k, _)| *k);
        match oldest {
            Some(key) => {
                self.close(key);
                true
            }
            None => false,
        }
    }

    fn add(&mut self, stream: TcpStream, role: Role) -> Option<usize> {
        let key = self.next_key;
        self.next_key += 1;
        let _ = stream.set_nodelay(true);
        // SAFETY: `close` takes the stream out of the poller before dropping it.
        let added = unsafe {
            self.poller
                .add_with_mode(&stream, Event::readable(key), PollMode::Level)
        };
        if let Err(e) = added {
            warn!("can't watch a connection: {e}");
            return None;
        }
        let conn = Conn {
            stream,
            role,
            out: Vec::new(),
            writing: false,
            active: self.now(),
            refused: false,
        };
        self.conns.insert(key, conn);
        Some(key)
    }

    fn close(&mut self, key: usize) {
        let Some(mut conn) = self.conns.remove(&key) else {
            return;
        };
        let _ = self.poller.delete(&conn.stream);
        match &mut conn.role {
            Role::Server {
                pending, worker, ..
            } => {
                self.inbound -= 1;
                self.workers -= usize::from(*worker);
                if let Some(req) = pending.take() {
                    self.requests.remove(&req);
                    self.inputs.push_back(Input::Disconnect(req));
                }
            }
            Role::PeerIn { .. } => self.inbound -= 1,
            Role::Client {
                service,
                decoder,
                call,
            } => {
                let (service, call) = (*service, *call);
                *self.open.entry(service).or_default() -= 1;
                self.idle.entry(service).or_default().retain(|k| *k != key);
                if let Some(id) = call {
                    match decoder.closed() {
                        Some(message) => self.finish_call(id, Some(&message)),
                        None => self.finish_call(id, None),
                    }
                }
                self.start_queued(service);
            }
            Role::PeerOut { to, .. } => {
                self.peers.remove(to);
                let link = if conn.refused {
                    Link::Refused
                } else {
                    Link::Lost
                };
                self.inputs.push_back(Input::Link(to.clone(), link));
            }
        }
    }

    fn ready(&mut self, key: usize, event: Event, buf: &mut [u8]) {
        if event.writable {
            self.check_link(key);
            if !self.flush(key) {
                return self.close(key);
            }
        }
        if event.readable || event.is_err() == Some(true) {
            self.read(key, buf);
        }
    }

    /// Notes whether a connection to a sibling was made or refused.
    fn check_link(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        let Role::PeerOut { to, made } = &mut conn.role else {
            return;
        };
        if *made {
            return;
        }
        match conn.stream.take_error() {
            Ok(None) if conn.stream.peer_addr().is_ok() => {
                *made = true;
                self.inputs.push_back(Input::Link(to.clone(), Link::Up));
            }
            Ok(Some(e)) => conn.refused = e.kind() == ErrorKind::ConnectionRefused,
            _ => {}
        }
    }

    fn read(&mut self, key: usize, buf: &mut [u8]) {
        let now = self.now();
        loop {
            let Some(conn) = self.conns.get_mut(&key) else {
                return;
            };
            let n = match conn.stream.read(buf) {
                Ok(0) => return self.close(key),
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return self.close(key),
            };
            conn.active = now;
            let good = match &mut conn.role {
                Role::Server { decoder, .. } | Role::Client { decoder, .. } => {
                    decoder.feed(&buf[..n]);
                    self.messages(key)
                }
                Role::PeerIn { buf: all } => {
                    all.extend_from_slice(&buf[..n]);
                    self.hellos(key)
                }
                // Siblings only listen on this one.
                Role::PeerOut { .. } => true,
            };
            if !good {
                return self.close(key);
            }
            if n < buf.len() {
                return;
            }
        }
    }

    /// Takes whole messages off a connection; false when it is to be closed.
    fn messages(&mut self, key: usize) -> bool {
        loop {
            let Some(conn) = self.conns.get_mut(&key) else {
                return true;
            };
            match &mut conn.role {
                Role::Server {
                    decoder, pending, ..
                } => {
                    // Nobody pipelines here; what comes early waits, within a bound.
                    if pending.is_some() {
                        return !decoder.overfull();
                    }
                    match decoder.next_message() {
                        Ok(Some(message)) => self.request(key, &message),
                        Ok(None) => return true,
                        Err(error) => {
                            self.refuse(key, error);
                            return true;
                        }
                    }
                }
                Role::Client { decoder, call, .. } => match (decoder.next_message(), *call) {
                    (Ok(Some(message)), Some(id)) => {
                        *call = None;
                        let close = message.close;
                        self.finish_call(id, Some(&message));
                        if close {
                            return false;
                        }
                        self.free_client(key);
                        return true;
                    }
                    (Ok(None), _) => return true,
                    _ => return false,
                },
                _ => return true,
            }
        }
    }

    fn hellos(&mut self, key: usize) -> bool {
        let Some(Conn {
            role: Role::PeerIn { buf },
            ..
        }) = self.conns.get_mut(&key)
        else {
            return true;
        };
        loop {
            match peer::unframe(buf) {
                Ok(Some(message)) => self.inputs.push_back(Input::Peer(message)),
                Ok(None) => return true,
                Err(why) => {
                    warn!("a sibling's connection is dropped: {why}");
                    return false;
                }
            }
        }
    }

    /// Sends bytes; false when the connection is broken or takes nothing.
    fn send(&mut self, key: usize, bytes: &[u8]) -> bool {
        let Some(conn) = self.conns.get_mut(&key) else {
            return false;
        };
        let most = match conn.role {
            Role::PeerOut { .. } => PEER_OUT_MAX,
            _ => OUT_MAX,
        };
        if conn.out.len() + bytes.len() > most {
            return false;
        }
        conn.out.extend_from_slice(bytes);
        self.flush(key)
    }

    fn flush(&mut self, key: usize) -> bool {
        let Some(conn) = self.conns.get_mut(&key) else {
            return true;
        };
        let mut sent = 0;
        while sent < conn.out.len() {
            match conn.stream.write(&conn.out[sent..]) {
                Ok(0) => return false,
                Ok(n) => sent += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // A connection that isn't made yet can't be written to either.
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    break;
                }
                Err(_) => return false,
            }
        }
        conn.out.drain(..sent);
        let writing = !conn.out.is_empty();
        if writing != conn.writing {
            conn.writing = writing;
            let event = Event::new(key, true, writing);
            let set = self
                .poller
                .modify_with_mode(&conn.stream, event, PollMode::Level);
            if set.is_err() {
                return false;
            }
        }
        let Some(conn) = self.conns.get(&key) else {
            return true;
        };
        let closing = matches!(
            &conn.role,
            Role::Server {
                pending: None,
                close: true,
                ..
            }
        );
        !(closing && conn.out.is_empty())
    }

    // ---- requests

    fn request(&mut self, key: usize, message: &Message) {
        let path = message.start[1].split('?').next().unwrap_or("");
        let mut ask = route(&message.start[0], path, &message.body);
        let mut close = message.close;
        let full = self.workers as f64 >= self.room() as f64 * WORKER_SHARE;
        if let Some(Conn {
            role: Role::Server {
                close: c, worker, ..
            },
            ..
        }) = self.conns.get_mut(&key)
        {
            let reports = matches!(ask, Ok(Request::Report(_)));
            if reports && !*worker && full {
                (ask, close) = (Err((503, "too many workers")), true);
            } else if reports && !*worker {
                *worker = true;
                self.workers += 1;
            }
            *c |= close;
        }
        match ask {
            Ok(ask) => {
                self.next_req += 1;
                let req = ReqId(self.next_req);
                if let Some(Conn {
                    role: Role::Server { pending, .. },
                    ..
                }) = self.conns.get_mut(&key)
                {
                    *pending = Some(req);
                }
                self.requests.insert(req, key);
                self.inputs.push_back(Input::Request(req, ask));
            }
            Err((status, why)) => {
                let later = (status == 503).then_some(REFUSED_RETRY_S);
                let bytes = http::response(status, later, close, &wire::error_body(why));
                if !self.send(key, &bytes) {
                    self.close(key);
                }
            }
        }
    }

    /// Answers what can't be read, and closes: where the next message would begin
    /// isn't known any more.
    fn refuse(&mut self, key: usize, error: HttpError) {
        let status = match error {
            HttpError::Malformed => 400,
            HttpError::TooLarge => 413,
        };
        if let Some(Conn {
            role: Role::Server { close, decoder, .. },
            ..
        }) = self.conns.get_mut(&key)
        {
            *close = true;
            *decoder = Decoder::new(Side::Request, 0);
        }
        let body = wire::error_body(&error.to_string());
        let bytes = http::response(status, None, true, &body);
        if !self.send(key, &bytes) {
            self.close(key);
        }
    }

    fn answer(&mut self, req: ReqId, reply: &Reply) {
        let Some(key) = self.requests.remove(&req) else {
            return;
        };
        let Some(Conn {
            role: Role::Server { pending, close, .. },
            ..
        }) = self.conns.get_mut(&key)
        else {
            return;
        };
        *pending = None;
        let bytes = http::response(reply.status, reply.retry_after, *close, &reply.body);
        if !self.send(key, &bytes) || !self.messages(key) {
            self.close(key);
        }
    }

    // ---- calls

    fn start_call(&mut self, id: CallId, op: Op) {
        if let Op::State(StateOp::Commit { writes, .. }) = &op {
            debug!("commits {writes:?}");
        }
        let began = self.now();
        let deadline = began.after(op.patience_s());
        let service = op.service();
        let out = Outgoing {
            op,
            conn: None,
            began,
            deadline,
        };
        self.calls.insert(id, out);
        self.deadlines.insert((deadline, id));
        self.queued.entry(service).or_default().push_back(id);
        self.start_queued(service);
    }

    fn start_queued(&mut self, service: Service) {
        let most = match service {
            Service::State => STATE_CONNS,
            Service::Cloud => CLOUD_CONNS,
        };
        loop {
            let Some(id) = self.queued.entry(service).or_default().front().copied() else {
                return;
            };
            if !self.calls.contains_key(&id) {
                self.queued.entry(service).or_default().pop_front();
                continue;
            }
            let idle = self.idle.entry(service).or_default().pop();
            let key = match idle {
                Some(key) => key,
                None if *self.open.entry(service).or_default() >= most => return,
                None => match self.connect(service) {
                    Some(key) => key,
                    None => {
                        self.queued.entry(service).or_default().pop_front();
                        self.finish_call(id, None);
                        continue;
                    }
                },
            };
            self.queued.entry(service).or_default().pop_front();
            self.send_call(key, id, service);
        }
    }

    fn send_call(&mut self, key: usize, id: CallId, service: Service) {
        let Some(out) = self.calls.get_mut(&id) else {
            return;
        };
        out.conn = Some(key);
        let call = out.op.call();
        let host = self.address(service).to_string();
        let bytes = http::request(call.method, &call.path, &host, call.body.as_deref());
        if let Some(Conn {
            role: Role::Client { call, .. },
            ..
        }) = self.conns.get_mut(&key)
        {
            *call = Some(id);
        }
        if !self.send(key, &bytes) {
            self.close(key);
        }
    }

    fn address(&self, service: Service) -> SocketAddrV4 {
        match service {
            Service::State => self.settings.platform.services.state,
            Service::Cloud => self.settings.platform.services.cloud,
        }
    }

    fn connect(&mut self, service: Service) -> Option<usize> {
        let stream = open(self.address(service)).ok()?;
        let role = Role::Client {
            service,
            decoder: Decoder::new(Side::Response, ANSWER_MAX),
            call: None,
        };
        let key = self.add(stream, role)?;
        *self.open.entry(service).or_default() += 1;
        Some(key)
    }

    fn free_client(&mut self, key: usize) {
        let Some(Conn {
            role: Role::Client { service, .. },
            ..
        }) = self.conns.get(&key)
        else {
            return;
        };
        let service = *service;
        self.idle.entry(service).or_default().push(key);
        self.start_queued(service);
    }

    /// Hands the core the answer to a call, or word that there is none.
    fn finish_call(&mut self, id: CallId, message: Option<&Message>) {
        let Some(out) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(out.deadline, id));
        if matches!(out.op, Op::State(StateOp::Commit { .. })) {
            self.gauge.commit(self.now().since(out.began));
        }
        if message.is_some_and(|m| matches!(m.status(), Some(429 | 503))) {
            self.gauge.refused();
        }
        self.inputs.push_back(match message {
            Some(message) => out.op.reply(id, message),
            None => out.op.no_answer(id),
        });
    }

    /// Ends a call whose answer nobody waits for.
    fn end_call(&mut self, id: CallId) {
        let Some(out) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(out.deadline, id));
        if let Some(key) = out.conn {
            self.close(key);
        }
    }

    // ---- siblings

    /// Sends to one sibling, or to all.
    fn say(&mut self, to: Option<&Member>, bytes: &[u8]) {
        let now = self.now();
        let siblings = self.settings.platform.siblings.clone();
        for s in siblings {
            if to.is_some_and(|to| *to != s.member) {
                continue;
            }
            let key = match self.peers.get(&s.member) {
                Some(key) => *key,
                None => {
                    let retry = self.peer_retry.get(&s.member);
                    if retry.is_some_and(|t| now < *t) {
                        continue;
                    }
                    let wait = now.after(CONNECT_PEER_S);
                    self.peer_retry.insert(s.member.clone(), wait);
                    let to = s.member.clone();
                    let opened = open(s.endpoint);
                    if let Err(e) = &opened {
                        let refused = e.kind() == ErrorKind::ConnectionRefused;
                        let link = if refused { Link::Refused } else { Link::Lost };
                        self.inputs.push_back(Input::Link(to.clone(), link));
                    }
                    let role = Role::PeerOut { to, made: false };
                    match opened.ok().and_then(|o| self.add(o, role)) {
                        Some(key) => {
                            self.peers.insert(s.member.clone(), key);
                            key
                        }
                        None => continue,
                    }
                }
            };
            if !self.send(key, bytes) {
                self.close(key);
            }
        }
    }

    // ---- time

    /// Ends calls and connections whose time is over.
    fn sweep(&mut self, now: Time) {
        while let Some((at, id)) = self.deadlines.first().copied() {
            if at > now {
                break;
            }
            self.deadlines.pop_first();
            let conn = self.calls.get(&id).and_then(|c| c.conn);
            debug!("call {} has no answer", id.0);
            self.finish_call(id, None);
            if let Some(key) = conn {
                if let Some(Conn {
                    role: Role::Client { call, .. },
                    ..
                }) = self.conns.get_mut(&key)
                {
                    *call = None;
                }
                self.close(key);
            }
        }
        let over = |c: &Conn| match &c.role {
            Role::Server {
                pending: None,
                decoder,
                ..
            } => {
                let quiet = now.since(c.active);
                quiet > IDLE_S || (decoder.midway() && quiet > REQUEST_S)
            }
            _ => false,
        };
        let old: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| over(c))
            .map(|(k, _)| *k)
            .collect();
        for key in old {
            self.close(key);
        }
    }
}

/// Begins a connection without waiting for it.
fn open(to: SocketAddrV4) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&SocketAddr::V4(to).into()) {
        Ok(()) => {}
        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
        // EINPROGRESS has no kind of its own that is stable.
        Err(e) if e.raw_os_error() == Some(EINPROGRESS) => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}

const EINPROGRESS: i32 = 115;

/// What a request asks, or the status that refuses it.
fn route(method: &str, path: &str, body: &[u8]) -> Result<Request, (u16, &'static str)> {
    let want = |m: &str, ask: Request| {
        let right = m == method;
        right.then_some(ask).ok_or((405, "wrong method"))
    };
    match path {
        "/up" => return want("GET", Request::Up),
        "/work" if method == "POST" => return Ok(Request::Submit(wire::submission(body))),
        "/agent/beat" if method == "POST" => {
            let report = wire::decode(body).ok_or((400, "not a report"))?;
            return Ok(Request::Report(report));
        }
        "/work" | "/agent/beat" => return Err((405, "wrong method")),
        _ => {}
    }
    let rest = path.strip_prefix("/work/").ok_or((404, "no such path"))?;
    let (id, withdraw) = match rest.strip_suffix("/withdraw") {
        Some(id) => (id, true),
        None => (rest, false),
    };
    let id = JobId::parse(id).ok_or((404, "no such job"))?;
    if withdraw {
        want("POST", Request::Cancel(id))
    } else {
        want("GET", Request::Poll(id))
    }
}
