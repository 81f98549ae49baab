//! Connections between a hollow cell and its controllers, in both directions, with non-blocking
//! reads and writes.

use super::traffic::{ConnectionKind, KindTraffic, Traffic};
use polling::{Event as PollEvent, Events, PollMode, Poller};
use salttrestle::http::{Decoder, Message, Side};
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

/// Poller key of the store's listener.
const STORE_LISTENER_KEY: usize = 0;
/// Poller key of the cloud's first listener. The cloud has one listener for each controller, and
/// identifies the controller that calls it by the listener.
const FIRST_CLOUD_LISTENER_KEY: usize = 1;
/// Lowest poller key of a connection; all keys below belong to listeners.
const FIRST_CONNECTION_KEY: usize = 1_000;
/// Size of the buffer that all connections share for reading.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum size of a message's body, in bytes.
const BODY_BYTES_MAX: usize = 8 << 20;

/// Who uses a connection, and for which service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// A controller calls the store.
    Store,
    /// A controller, by its index, calls the cloud.
    Cloud(usize),
    /// A worker, by its index, sends heartbeats.
    Worker(usize),
    /// Users send requests to a controller, by its index.
    User(usize),
    /// The load balancer probes the health of a controller, by its index.
    Probe(usize),
}

impl Role {
    fn kind(self) -> ConnectionKind {
        match self {
            Self::Store => ConnectionKind::Store,
            Self::Cloud(_) => ConnectionKind::Cloud,
            Self::Worker(_) => ConnectionKind::Worker,
            Self::User(_) => ConnectionKind::User,
            Self::Probe(_) => ConnectionKind::Probe,
        }
    }

    fn side(self) -> Side {
        match self {
            Self::Store | Self::Cloud(_) => Side::Request,
            _ => Side::Response,
        }
    }
}

/// An event of a connection.
pub(super) struct ConnectionEvent {
    /// Poller key of the connection.
    pub(super) key: usize,
    /// Role of the connection.
    pub(super) role: Role,
    /// Kind of the event.
    pub(super) kind: EventKind,
}

/// Kinds of events of a connection.
pub(super) enum EventKind {
    /// A complete message was received.
    Message(Message),
    /// The connection was closed by the peer, has failed, or was closed after a protocol error.
    Closed,
}

struct Connection {
    stream: TcpStream,
    role: Role,
    decoder: Decoder,
    /// Bytes that the socket hasn't accepted yet.
    unsent: Vec<u8>,
    /// Whether the poller reports when the socket becomes writable.
    has_write_interest: bool,
}

/// All listeners and connections of one hollow cell.
pub(super) struct Connections {
    poller: Poller,
    events: Events,
    store_listener: TcpListener,
    cloud_listeners: Vec<TcpListener>,
    connections: HashMap<usize, Connection>,
    next_key: usize,
    buffer: Vec<u8>,
    /// Traffic by kind of connection, in the order of [`ConnectionKind::ALL`].
    traffic: [Traffic; ConnectionKind::ALL.len()],
}

impl Connections {
    /// Opens the listeners of the cell's store and cloud.
    pub(super) fn new(store: SocketAddrV4, clouds: &[SocketAddrV4]) -> io::Result<Self> {
        let poller = Poller::new()?;
        let store_listener = listen(&poller, store, STORE_LISTENER_KEY)?;
        let cloud_listeners = clouds
            .iter()
            .enumerate()
            .map(|(index, cloud)| listen(&poller, *cloud, FIRST_CLOUD_LISTENER_KEY + index));
        let cloud_listeners = cloud_listeners.collect::<io::Result<_>>()?;
        Ok(Self {
            poller,
            events: Events::new(),
            store_listener,
            cloud_listeners,
            connections: HashMap::new(),
            next_key: FIRST_CONNECTION_KEY,
            buffer: vec![0; READ_BUFFER_BYTES],
            traffic: [Traffic::default(); ConnectionKind::ALL.len()],
        })
    }

    /// Starts to open a connection to a controller, and returns its key. Doesn't wait until the
    /// connection is established.
    pub(super) fn connect(&mut self, to: SocketAddrV4, role: Role) -> io::Result<usize> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&SocketAddr::V4(to).into()) {
            Ok(()) => {}
            Err(error) if is_in_progress(&error) => {}
            Err(error) => return Err(error),
        }
        self.register(socket.into(), role)
    }

    #[expect(
        unsafe_code,
        reason = "the poller keeps the descriptor of a socket it doesn't own"
    )]
    fn register(&mut self, stream: TcpStream, role: Role) -> io::Result<usize> {
        let _ = stream.set_nodelay(true);
        let key = self.next_key;
        self.next_key += 1;
        // SAFETY: `close` removes the stream from the poller before dropping it.
        unsafe {
            let interest = PollEvent::readable(key);
            self.poller
                .add_with_mode(&stream, interest, PollMode::Level)?;
        }
        let connection = Connection {
            stream,
            role,
            decoder: Decoder::new(role.side(), BODY_BYTES_MAX),
            unsent: Vec::new(),
            has_write_interest: false,
        };
        self.connections.insert(key, connection);
        Ok(key)
    }

    /// Sends a message. Bytes that the socket doesn't accept now are sent when it becomes writable.
    /// Does nothing if the connection is closed.
    pub(super) fn send(&mut self, key: usize, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let traffic = &mut self.traffic[connection.role.kind() as usize];
        traffic.messages_out += 1;
        traffic.bytes_out += bytes.len() as u64;
        connection.unsent.extend_from_slice(bytes);
        self.flush(key);
    }

    /// Writes as much as the socket accepts. Write errors are ignored: the next read reports a
    /// failed connection.
    fn flush(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        while !connection.unsent.is_empty() {
            match connection.stream.write(&connection.unsent) {
                Ok(0) => break,
                Ok(length) => drop(connection.unsent.drain(..length)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        let has_unsent = !connection.unsent.is_empty();
        if has_unsent != connection.has_write_interest {
            connection.has_write_interest = has_unsent;
            let interest = PollEvent::new(key, true, has_unsent);
            let stream = &connection.stream;
            let _ = self
                .poller
                .modify_with_mode(stream, interest, PollMode::Level);
        }
    }

    /// Closes a connection, without an event.
    pub(super) fn close(&mut self, key: usize) {
        if let Some(connection) = self.connections.remove(&key) {
            let _ = self.poller.delete(&connection.stream);
        }
    }

    /// Stops reading a connection but leaves it open: a failed machine doesn't close its sockets.
    pub(super) fn stop_reading(&self, key: usize) {
        if let Some(connection) = self.connections.get(&key) {
            let _ = self.poller.delete(&connection.stream);
        }
    }

    /// Returns the traffic since the start, by kind of connection.
    pub(super) fn traffic(&self) -> Vec<KindTraffic> {
        let kinds = ConnectionKind::ALL.into_iter().zip(self.traffic);
        kinds
            .map(|(kind, traffic)| KindTraffic { kind, traffic })
            .collect()
    }

    /// Waits for events for at most `timeout`, and appends those of the connections to `received`.
    pub(super) fn wait(
        &mut self,
        timeout: Duration,
        received: &mut Vec<ConnectionEvent>,
    ) -> io::Result<()> {
        self.events.clear();
        match self.poller.wait(&mut self.events, Some(timeout)) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => return Ok(()),
            Err(error) => return Err(error),
        }
        let events: Vec<PollEvent> = self.events.iter().collect();
        for event in events {
            match event.key {
                STORE_LISTENER_KEY => self.accept(Role::Store)?,
                key if key < FIRST_CONNECTION_KEY => {
                    self.accept(Role::Cloud(key - FIRST_CLOUD_LISTENER_KEY))?;
                }
                key => {
                    if event.writable {
                        self.flush(key);
                    }
                    if event.readable {
                        self.read(key, received);
                    }
                }
            }
        }
        Ok(())
    }

    fn accept(&mut self, role: Role) -> io::Result<()> {
        loop {
            let listener = match role {
                Role::Cloud(controller) => &self.cloud_listeners[controller],
                _ => &self.store_listener,
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    self.register(stream, role)?;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn read(&mut self, key: usize, received: &mut Vec<ConnectionEvent>) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let role = connection.role;
        let traffic = &mut self.traffic[role.kind() as usize];
        let mut is_closed = connection.receive(&mut self.buffer, traffic);
        loop {
            match connection.decoder.next_message() {
                Ok(Some(message)) => {
                    is_closed |= message.closes_connection;
                    traffic.messages_in += 1;
                    let kind = EventKind::Message(message);
                    received.push(ConnectionEvent { key, role, kind });
                }
                Ok(None) => break,
                Err(_) => {
                    is_closed = true;
                    break;
                }
            }
        }
        if is_closed {
            self.close(key);
            let kind = EventKind::Closed;
            received.push(ConnectionEvent { key, role, kind });
        }
    }
}

impl Connection {
    /// Feeds all available bytes to the decoder. Returns true if the connection is closed.
    fn receive(&mut self, buffer: &mut [u8], traffic: &mut Traffic) -> bool {
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return true,
                Ok(length) => {
                    traffic.bytes_in += length as u64;
                    self.decoder.feed(&buffer[..length]);
                    if length < buffer.len() {
                        return false;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != ErrorKind::WouldBlock,
            }
        }
    }
}

/// Whether a non-blocking connect is still in progress.
fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error())
        || error.kind() == ErrorKind::WouldBlock
}

#[expect(
    unsafe_code,
    reason = "the poller keeps the descriptor of a socket it doesn't own"
)]
fn listen(poller: &Poller, at: SocketAddrV4, key: usize) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    // SAFETY: the listener lives as long as the poller: until the end of the cell.
    unsafe { poller.add_with_mode(&listener, PollEvent::readable(key), PollMode::Level)? };
    Ok(listener)
}
