//! Connections of the hollow side: accepted and made, read and written without waiting.

use polling::{Event as PollEvent, Events, PollMode, Poller};
use salttrestle::http::{Decoder, Message, Side};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

const STATE_LISTENER: usize = 0;
/// The cloud has a listener for each controller.
const FIRST_CLOUD_LISTENER: usize = 1;
const FIRST_CONNECTION: usize = 1_000;
const READ_BYTES: usize = 64 * 1024;
/// Most bytes of a body that is taken.
const BODY_MAX: usize = 8 << 20;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A controller calls the store.
    State,
    /// A controller, by its index, calls the cloud.
    Cloud(usize),
    /// A worker heartbeats, by its index.
    Worker(usize),
    /// A user asks, at a controller by its index.
    User(usize),
    /// The balancer asks a controller whether it is healthy.
    Probe(usize),
}

/// What went over connections of one kind, counted where the hollow side reads and writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages from controllers.
    pub messages_in: u64,
    /// Messages to controllers.
    pub messages_out: u64,
    /// Bytes from controllers.
    pub bytes_in: u64,
    /// Bytes to controllers.
    pub bytes_out: u64,
}

impl Traffic {
    /// What was added since an earlier count.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            messages_in: self.messages_in - earlier.messages_in,
            messages_out: self.messages_out - earlier.messages_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }
}

/// Kinds of connections whose traffic is counted apart.
pub const LINKS: [&str; 5] = ["state", "cloud", "worker", "user", "probe"];

impl Role {
    fn link(self) -> usize {
        match self {
            Role::State => 0,
            Role::Cloud(_) => 1,
            Role::Worker(_) => 2,
            Role::User(_) => 3,
            Role::Probe(_) => 4,
        }
    }

    fn side(self) -> Side {
        match self {
            Role::State | Role::Cloud(_) => Side::Request,
            _ => Side::Response,
        }
    }
}

/// What came over a connection.
pub enum Arrival {
    /// A whole message.
    Message(usize, Role, Message),
    /// The connection is gone.
    ExhaustedPool(usize, Role),
}

struct Connection {
    stream: TcpStream,
    role: Role,
    decoder: Decoder,
    out: Vec<u8>,
    writing: bool,
}

/// All connections of one cell's hollow side.
pub struct Connections {
    poller: Poller,
    events: Events,
    state_listener: TcpListener,
    cloud_listeners: Vec<TcpListener>,
    open: HashMap<usize, Connection>,
    next_key: usize,
    buffer: Vec<u8>,
    /// Traffic by kind, in the order of `LINKS`.
    pub traffic: [Traffic; LINKS.len()],
}

impl Connections {
    /// Listens for the cell's controllers.
    pub fn new(state: SocketAddrV4, clouds: &[SocketAddrV4]) -> io::Result<Self> {
        let poller = Poller::new()?;
        let state_listener = listen(&poller, state, STATE_LISTENER)?;
        let cloud_listeners = clouds
            .iter()
            .enumerate()
            .map(|(n, cloud)| listen(&poller, *cloud, FIRST_CLOUD_LISTENER + n));
        let cloud_listeners = cloud_listeners.collect::<io::Result<_>>()?;
        Ok(Self {
            poller,
            events: Events::new(),
            state_listener,
            cloud_listeners,
            open: HashMap::new(),
            next_key: FIRST_CONNECTION,
            buffer: vec![0; READ_BYTES],
            traffic: [Traffic::default(); LINKS.len()],
        })
    }

    /// Begins a connection to a controller.
    pub fn connect(&mut self, to: SocketAddrV4, role: Role) -> io::Result<usize> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&SocketAddr::V4(to).into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        self.add(socket.into(), role)
    }

    fn add(&mut self, stream: TcpStream, role: Role) -> io::Result<usize> {
        let _ = stream.set_nodelay(true);
        let key = self.next_key;
        self.next_key += 1;
        // SAFETY: `close` takes the stream out of the poller before dropping it.
        unsafe {
            let interest = PollEvent::readable(key);
            self.poller
                .add_with_mode(&stream, interest, PollMode::Level)?;
        }
        let connection = Connection {
            stream,
            role,
            decoder: Decoder::new(role.side(), BODY_MAX),
            out: Vec::new(),
            writing: false,
        };
        self.open.insert(key, connection);
        Ok(key)
    }

    /// Sends a message, now or as soon as the connection takes it.
    pub fn send(&mut self, key: usize, bytes: &[u8]) {
        let Some(connection) = self.open.get_mut(&key) else {
            return;
        };
        let traffic = &mut self.traffic[connection.role.link()];
        traffic.messages_out += 1;
        traffic.bytes_out += bytes.len() as u64;
        connection.out.extend_from_slice(bytes);
        self.flush(key);
    }

    /// Writes what a connection takes. One that has failed is found when it is read.
    fn flush(&mut self, key: usize) {
        let Some(connection) = self.open.get_mut(&key) else {
            return;
        };
        while !connection.out.is_empty() {
            match connection.stream.write(&connection.out) {
                Ok(0) => break,
                Ok(n) => drop(connection.out.drain(..n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        let writing = !connection.out.is_empty();
        if writing != connection.writing {
            connection.writing = writing;
            let interest = PollEvent::new(key, true, writing);
            let stream = &connection.stream;
            let _ = self
                .poller
                .modify_with_mode(stream, interest, PollMode::Level);
        }
    }

    /// Closes a connection without a word.
    pub fn close(&mut self, key: usize) {
        if let Some(connection) = self.open.remove(&key) {
            let _ = self.poller.delete(&connection.stream);
        }
    }

    /// Stops reading a connection and leaves it open: the other side sees a silent machine.
    pub fn silence(&mut self, key: usize) {
        if let Some(connection) = self.open.get(&key) {
            let _ = self.poller.delete(&connection.stream);
        }
    }

    /// Waits for at most `patience`, and hands out what came.
    pub fn wait(&mut self, patience: Duration, arrivals: &mut Vec<Arrival>) -> io::Result<()> {
        self.events.clear();
        match self.poller.wait(&mut self.events, Some(patience)) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            Err(e) => return Err(e),
        }
        let events: Vec<PollEvent> = self.events.iter().collect();
        for event in events {
            match event.key {
                STATE_LISTENER => self.accept(Role::State)?,
                key if key < FIRST_CONNECTION => {
                    self.accept(Role::Cloud(key - FIRST_CLOUD_LISTENER))?;
                }
                key => {
                    if event.writable {
                        self.flush(key);
                    }
                    if event.readable {
                        self.read(key, arrivals);
                    }
                }
            }
        }
        Ok(())
    }

    fn accept(&mut self, role: Role) -> io::Result<()> {
        loop {
            let listener = match role {
                Role::Cloud(n) => &self.cloud_listeners[n],
                _ => &self.state_listener,
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    self.add(stream, role)?;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn read(&mut self, key: usize, arrivals: &mut Vec<Arrival>) {
        let Some(connection) = self.open.get_mut(&key) else {
            return;
        };
        let role = connection.role;
        let mut closed = false;
        loop {
            match connection.stream.read(&mut self.buffer) {
                Ok(0) => closed = true,
                Ok(n) => {
                    self.traffic[role.link()].bytes_in += n as u64;
                    connection.decoder.feed(&self.buffer[..n]);
                    if n == self.buffer.len() {
                        continue;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => closed = true,
            }
            break;
        }
        loop {
            match connection.decoder.next_message() {
                Ok(Some(message)) => {
                    closed |= message.close;
                    self.traffic[role.link()].messages_in += 1;
                    arrivals.push(Arrival::Message(key, role, message));
                }
                Ok(None) => break,
                Err(_) => {
                    closed = true;
                    break;
                }
            }
        }
        if closed {
            self.close(key);
            arrivals.push(Arrival::ExhaustedPool(key, role));
        }
    }
}

fn listen(poller: &Poller, at: SocketAddrV4, key: usize) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    // SAFETY: the listener lives as long as the poller, to the end of the cell.
    unsafe { poller.add_with_mode(&listener, PollEvent::readable(key), PollMode::Level)? };
    Ok(listener)
}
