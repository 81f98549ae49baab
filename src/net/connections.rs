//! Connections, whichever protocol they carry: their sockets, the bytes that wait to be written,
//! and the time at which something last came. The modules of the protocols own what the bytes mean.

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

/// Most bytes that wait to be written to one connection, unless its protocol needs more.
pub(super) const UNSENT_MAX: usize = 1 << 20;
/// The error of a connection that is being made. It has no `ErrorKind` that is stable.
const EINPROGRESS: i32 = 115;

/// Names a connection; never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ConnectionId(pub(super) usize);

/// What a connection carries, and with it the module that owns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Protocol {
    /// HTTP requests to this process.
    IncomingHttp,
    /// HTTP requests of this process to the store or the cloud.
    OutgoingHttp,
    /// Messages from a peer.
    FromPeer,
    /// Messages to a peer.
    ToPeer,
    /// Messages from a controller of another cell.
    FromCell,
    /// Messages to a controller of another cell.
    ToCell,
}

/// What becomes of a connection after an event on it.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    KeepOpen,
    Close,
}

/// What a connection gave when it was read.
pub(super) enum ReadResult {
    /// So many bytes.
    Bytes(usize),
    /// Nothing for now, or the connection is closed already.
    Nothing,
    /// The other side closed it, or it broke.
    Ended,
}

/// How far a connection that this process began has come.
pub(super) enum ConnectProgress {
    Established,
    Refused,
    /// It failed for another reason.
    Failed,
    Pending,
}

struct Connection {
    stream: TcpStream,
    protocol: Protocol,
    /// Bytes that wait to be written.
    unsent: Vec<u8>,
    unsent_max: usize,
    /// Whether the poller watches for room to write.
    is_write_watched: bool,
    /// When something last came or, for a new connection, when it was opened.
    last_active: Time,
}

/// All connections of this process, and the poller that watches them.
pub(super) struct Connections {
    poller: SocketPoller,
    connections: HashMap<ConnectionId, Connection>,
    next_key: usize,
}

/// A connection that was taken out. Its socket closes when this is dropped.
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

    /// Waits until a listener or a connection is ready, or the time is over.
    pub(super) fn wait(&mut self, timeout: Duration) -> io::Result<&[Ready]> {
        self.poller.wait(timeout)
    }

    /// How many connections there are.
    pub(super) fn count(&self) -> usize {
        self.connections.len()
    }

    /// Takes a connection over; nothing if it can't be watched.
    pub(super) fn add(
        &mut self,
        stream: TcpStream,
        protocol: Protocol,
        unsent_max: usize,
        clock: Clock,
    ) -> Option<ConnectionId> {
        let id = ConnectionId(self.next_key);
        self.next_key += 1;
        let _ = stream.set_nodelay(true);
        // `remove` ends the watch before the socket is dropped.
        if let Err(error) = self.poller.add(&stream, id.0) {
            warn!(
                "connection can't be watched: connection={} reason={error}",
                id.0
            );
            return None;
        }
        let connection = Connection {
            stream,
            protocol,
            unsent: Vec::new(),
            unsent_max,
            is_write_watched: false,
            last_active: clock.now(),
        };
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Takes a connection out. Its socket closes once the caller drops what it gets.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<ClosingConnection> {
        let connection = self.connections.remove(&id)?;
        let _ = self.poller.remove(&connection.stream);
        Some(ClosingConnection {
            _stream: connection.stream,
        })
    }

    /// What a connection carries; nothing if it is closed.
    pub(super) fn protocol(&self, id: ConnectionId) -> Option<Protocol> {
        Some(self.connections.get(&id)?.protocol)
    }

    /// When something last came on a connection.
    pub(super) fn last_active(&self, id: ConnectionId) -> Option<Time> {
        Some(self.connections.get(&id)?.last_active)
    }

    /// Whether bytes wait to be written.
    pub(super) fn has_unsent(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| !connection.unsent.is_empty())
    }

    /// Whether a connection that this process began is made.
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

    /// Reads what has come, as far as the buffer goes.
    pub(super) fn read(&mut self, id: ConnectionId, buffer: &mut [u8], now: Time) -> ReadResult {
        let Some(connection) = self.connections.get_mut(&id) else {
            return ReadResult::Nothing;
        };
        loop {
            match connection.stream.read(buffer) {
                Ok(0) => return ReadResult::Ended,
                Ok(count) => {
                    connection.last_active = now;
                    return ReadResult::Bytes(count);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadResult::Nothing,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadResult::Ended,
            }
        }
    }

    /// Sends bytes, at once as far as the socket takes them.
    pub(super) fn send(&mut self, id: ConnectionId, bytes: &[u8]) -> Outcome {
        match self.queue(id, bytes) {
            Outcome::KeepOpen => self.flush(id),
            Outcome::Close => Outcome::Close,
        }
    }

    /// Adds bytes to those that wait to be written. A connection that has no room for them is to
    /// be closed.
    pub(super) fn queue(&mut self, id: ConnectionId, bytes: &[u8]) -> Outcome {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Outcome::Close;
        };
        if connection.unsent.len() + bytes.len() > connection.unsent_max {
            return Outcome::Close;
        }
        connection.unsent.extend_from_slice(bytes);
        Outcome::KeepOpen
    }

    /// Writes what waits, as far as the socket takes it, and watches for room for the rest.
    pub(super) fn flush(&mut self, id: ConnectionId) -> Outcome {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Outcome::KeepOpen;
        };
        if connection.write_unsent().is_err() {
            return Outcome::Close;
        }
        let must_watch = !connection.unsent.is_empty();
        if must_watch != connection.is_write_watched {
            connection.is_write_watched = must_watch;
            let watched = self
                .poller
                .set_write_interest(&connection.stream, id.0, must_watch);
            if watched.is_err() {
                return Outcome::Close;
            }
        }
        Outcome::KeepOpen
    }
}

impl Connection {
    fn write_unsent(&mut self) -> io::Result<()> {
        let mut sent = 0;
        while sent < self.unsent.len() {
            match self.stream.write(&self.unsent[sent..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => sent += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // A connection that isn't made yet can't be written to either.
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
        self.unsent.drain(..sent);
        Ok(())
    }
}

/// Begins a connection without waiting for it.
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
