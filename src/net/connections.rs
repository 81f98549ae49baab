//! Connections of all protocols: their sockets, the bytes that wait to be written, and the time of
//! the last read. The protocols' modules interpret the bytes.

use crate::ids::Time;
use crate::net::clock::Clock;
use crate::net::listeners::ListenerKind;
use crate::net::waiting::{Ready, SocketPoller};
use log::warn;
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

/// Maximum number of bytes that wait to be written to one connection, unless its protocol sets
/// another maximum.
pub(super) const UNSENT_BYTES_MAX: usize = 1 << 20;
/// The error number that Linux reports for a nonblocking connect that is in progress. The standard
/// library has no stable `ErrorKind` for it.
const EINPROGRESS: i32 = 115;

/// Identifies a connection, and is its key in the poller. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ConnectionId(pub(super) usize);

/// The protocol of a connection. It determines which module handles the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Protocol {
    /// HTTP requests from users, workers and health checks.
    IncomingHttp,
    /// HTTP requests from this process to the store or the cloud.
    OutgoingHttp,
    /// Messages from a peer, over a connection that the peer initiated.
    FromPeer,
    /// Messages to a peer, over a connection that this process initiated.
    ToPeer,
    /// Messages from a controller of another cell, over a connection that it initiated.
    FromCell,
    /// Messages to a controller of another cell, over a connection that this process initiated.
    ToCell,
}

/// Whether the caller must close a connection after an operation on it.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    KeepOpen,
    Close,
}

/// The result of reading from a connection.
pub(super) enum ReadResult {
    /// This many bytes were read.
    Bytes(usize),
    /// No bytes are available, or the connection has already been closed.
    Nothing,
    /// The remote side closed the connection, or it failed.
    Ended,
}

/// The progress of a connection that this process initiated.
pub(super) enum ConnectProgress {
    Established,
    Refused,
    /// The connection failed for another reason than a refusal.
    Failed,
    Pending,
}

struct Connection {
    stream: TcpStream,
    protocol: Protocol,
    /// Bytes that wait to be written.
    unsent: Vec<u8>,
    unsent_bytes_max: usize,
    /// Whether the poller reports when the socket becomes writable.
    has_write_interest: bool,
    /// When bytes were last received or, before that, when the connection was added.
    last_received_at: Time,
}

/// All connections of this process, and the poller of their sockets.
pub(super) struct Connections {
    poller: SocketPoller,
    connections: HashMap<ConnectionId, Connection>,
    next_key: usize,
}

/// A connection that was removed from [`Connections`]. Its socket closes when this value is
/// dropped.
pub(super) struct ClosingConnection {
    _stream: TcpStream,
}

impl Connections {
    pub(super) fn new(poller: SocketPoller) -> Self {
        Self {
            poller,
            connections: HashMap::new(),
            next_key: ListenerKind::COUNT,
        }
    }

    /// Waits until a listener or a connection is ready, or the timeout has passed.
    pub(super) fn wait(&mut self, timeout: Duration) -> io::Result<&[Ready]> {
        self.poller.wait(timeout)
    }

    /// The number of open connections.
    pub(super) fn count(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection and starts polling it; `None` if the poller fails. At most
    /// `unsent_bytes_max` bytes wait to be written to it.
    pub(super) fn add(
        &mut self,
        stream: TcpStream,
        protocol: Protocol,
        unsent_bytes_max: usize,
        clock: Clock,
    ) -> Option<ConnectionId> {
        let id = ConnectionId(self.next_key);
        self.next_key += 1;
        let _ = stream.set_nodelay(true);
        // `remove` takes the socket out of the poller before the socket is dropped.
        if let Err(error) = self.poller.add(&stream, id.0) {
            warn!(
                "connection can't be polled, connection={} reason={error}",
                id.0
            );
            return None;
        }
        let connection = Connection {
            stream,
            protocol,
            unsent: Vec::new(),
            unsent_bytes_max,
            has_write_interest: false,
            last_received_at: clock.now(),
        };
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Removes a connection; `None` if it doesn't exist. The socket closes when the caller drops
    /// the returned value.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<ClosingConnection> {
        let connection = self.connections.remove(&id)?;
        let _ = self.poller.remove(&connection.stream);
        Some(ClosingConnection {
            _stream: connection.stream,
        })
    }

    /// The protocol of a connection; `None` if it is closed.
    pub(super) fn protocol(&self, id: ConnectionId) -> Option<Protocol> {
        Some(self.connections.get(&id)?.protocol)
    }

    /// When bytes were last received on a connection or, before that, when it was added; `None` if
    /// it is closed.
    pub(super) fn last_received_at(&self, id: ConnectionId) -> Option<Time> {
        Some(self.connections.get(&id)?.last_received_at)
    }

    /// Whether bytes wait to be written to a connection.
    pub(super) fn has_unsent(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| !connection.unsent.is_empty())
    }

    /// The progress of a connection that this process initiated; `Pending` also if it is closed.
    pub(super) fn connect_progress(&self, id: ConnectionId) -> ConnectProgress {
        let Some(connection) = self.connections.get(&id) else {
            return ConnectProgress::Pending;
        };
        match connection.stream.take_error() {
            Ok(None) if connection.stream.peer_addr().is_ok() => ConnectProgress::Established,
            Ok(Some(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                ConnectProgress::Refused
            }
            Ok(Some(_)) => ConnectProgress::Failed,
            Ok(None) | Err(_) => ConnectProgress::Pending,
        }
    }

    /// Reads available bytes into the buffer, at most as many as it holds.
    pub(super) fn read(&mut self, id: ConnectionId, buffer: &mut [u8], now: Time) -> ReadResult {
        let Some(connection) = self.connections.get_mut(&id) else {
            return ReadResult::Nothing;
        };
        loop {
            match connection.stream.read(buffer) {
                Ok(0) => return ReadResult::Ended,
                Ok(count) => {
                    connection.last_received_at = now;
                    return ReadResult::Bytes(count);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadResult::Nothing,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadResult::Ended,
            }
        }
    }

    /// Queues bytes and writes as many of them as the socket accepts now.
    pub(super) fn send(&mut self, id: ConnectionId, bytes: &[u8]) -> Outcome {
        match self.queue(id, bytes) {
            Outcome::KeepOpen => self.flush(id),
            Outcome::Close => Outcome::Close,
        }
    }

    /// Queues bytes without writing them. The connection must be closed if its queue has no room
    /// for them.
    pub(super) fn queue(&mut self, id: ConnectionId, bytes: &[u8]) -> Outcome {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Outcome::Close;
        };
        if connection.unsent.len() + bytes.len() > connection.unsent_bytes_max {
            return Outcome::Close;
        }
        connection.unsent.extend_from_slice(bytes);
        Outcome::KeepOpen
    }

    /// Writes as many queued bytes as the socket accepts, and polls for writability while some are
    /// left.
    pub(super) fn flush(&mut self, id: ConnectionId) -> Outcome {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Outcome::KeepOpen;
        };
        if connection.write_unsent().is_err() {
            return Outcome::Close;
        }
        let has_unsent = !connection.unsent.is_empty();
        if has_unsent != connection.has_write_interest {
            connection.has_write_interest = has_unsent;
            let result = self
                .poller
                .set_write_interest(&connection.stream, id.0, has_unsent);
            if result.is_err() {
                return Outcome::Close;
            }
        }
        Outcome::KeepOpen
    }
}

impl Connection {
    fn write_unsent(&mut self) -> io::Result<()> {
        let mut written = 0;
        while written < self.unsent.len() {
            match self.stream.write(&self.unsent[written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // A connection that isn't established yet reports `NotConnected`.
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::WouldBlock | ErrorKind::NotConnected
                    ) =>
                {
                    break;
                }
                Err(error) => return Err(error),
            }
        }
        self.unsent.drain(..written);
        Ok(())
    }
}

/// Initiates a connection without waiting until it is established.
pub(super) fn begin_connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&SocketAddr::V4(address).into()) {
        Ok(()) => {}
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}
