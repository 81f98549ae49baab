//! Connections: how they are accepted, read, written, shed and closed.

use crate::controller::events::{Input, Link};
use crate::http::{Decoder, Side};
use crate::ids::{CallId, ControllerId, RequestId, Time};
use crate::net::Net;
use crate::net::calls::Service;
use crate::net::waiting::Ready;
use crate::wire;
use log::{debug, warn};
use socket2::{Domain, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};

/// Sockets kept for the store, the cloud, peers and listeners.
const OUTGOING_SOCKETS: usize = 40;
/// Share of the other sockets that workers may use: users and health checks get through
/// however many machines there are. Users' connections give way to workers' below that.
pub(super) const WORKER_SHARE: f64 = 0.75;
/// Most bytes that wait to be written to one connection.
const OUT_MAX: usize = 1 << 20;
const CELL_OUT_MAX: usize = 2 * salttrestle_cells::message::MESSAGE_MAX;
/// Quiet connections are closed after this time, or sooner when sockets are short.
const IDLE_S: f64 = 90.0;
/// Answers from the store have no size limit; a watch that brings more than
/// this at once is given up, and the connection with it.
pub(super) const ANSWER_MAX: usize = 8 << 20;
/// A whole request has to come within this time.
const REQUEST_S: f64 = 10.0;
pub(super) const FIRST_CONN: usize = 3;

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Inbound {
    UsersAndWorkers,
    Peers,
    Cells,
}

pub(super) enum Role {
    Server {
        decoder: Decoder,
        /// The request being answered; no other is read meanwhile.
        pending: Option<RequestId>,
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
        to: ControllerId,
        /// Whether the connection stands.
        made: bool,
    },
    /// A controller of another cell tells how things stand there.
    CellIn {
        buf: Vec<u8>,
    },
    /// To a controller of another cell.
    CellOut {
        to: SocketAddrV4,
    },
}

pub(super) struct Conn {
    pub(super) stream: TcpStream,
    pub(super) role: Role,
    pub(super) out: Vec<u8>,
    /// Whether writability is waited for.
    pub(super) writing: bool,
    /// When something last came or, for a new connection, when it was opened.
    pub(super) active: Time,
    /// The other side refused the connection.
    pub(super) refused: bool,
}

impl Net {
    pub(super) fn accept(&mut self, from: Inbound) {
        loop {
            let listener = match from {
                Inbound::UsersAndWorkers => Some(&self.listener),
                Inbound::Peers => Some(&self.peer_listener),
                Inbound::Cells => self.cell_listener.as_ref(),
            };
            let Some(listener) = listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => self.accepted(stream, from),
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

    pub(super) fn accepted(&mut self, stream: TcpStream, from: Inbound) {
        if self.inbound >= self.room() && !self.shed() {
            return;
        }
        let role = match from {
            Inbound::Peers => Role::PeerIn { buf: Vec::new() },
            Inbound::Cells => Role::CellIn { buf: Vec::new() },
            Inbound::UsersAndWorkers => Role::Server {
                decoder: Decoder::new(Side::Request, wire::BODY_MAX),
                pending: None,
                close: false,
                worker: false,
            },
        };
        if stream.set_nonblocking(true).is_ok() && self.add(stream, role).is_some() {
            self.inbound += 1;
        }
    }

    /// Sockets for those who connect.
    pub(super) fn room(&self) -> usize {
        let all = self.settings.platform.facts.resources.max_sockets;
        let cells = self
            .settings
            .cells
            .iter()
            .flat_map(|file| file.cells.values());
        let to_cells: usize = cells.map(BTreeMap::len).sum();
        all.saturating_sub(OUTGOING_SOCKETS + to_cells).max(8)
    }

    /// Closes the user connection that has been quiet for longest, to make room.
    pub(super) fn shed(&mut self) -> bool {
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

    pub(super) fn add(&mut self, stream: TcpStream, role: Role) -> Option<usize> {
        let key = self.next_key;
        self.next_key += 1;
        let _ = stream.set_nodelay(true);
        // `close` removes it before it is dropped.
        if let Err(e) = self.waiting.add(&stream, key) {
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

    pub(super) fn close(&mut self, key: usize) {
        let Some(mut conn) = self.conns.remove(&key) else {
            return;
        };
        let _ = self.waiting.remove(&conn.stream);
        match &mut conn.role {
            Role::Server {
                pending, worker, ..
            } => {
                self.inbound -= 1;
                self.workers -= usize::from(*worker);
                if let Some(request_id) = pending.take() {
                    self.requests.remove(&request_id);
                    self.inputs.push_back(Input::Disconnect(request_id));
                }
            }
            Role::PeerIn { .. } | Role::CellIn { .. } => self.inbound -= 1,
            Role::CellOut { to } => {
                self.cell_links.remove(to);
            }
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

    pub(super) fn ready(&mut self, event: Ready, buf: &mut [u8]) {
        let key = event.key;
        if event.writable {
            self.check_link(key);
            if !self.flush(key) {
                return self.close(key);
            }
        }
        if event.readable {
            self.read(key, buf);
        }
    }

    pub(super) fn read(&mut self, key: usize, buf: &mut [u8]) {
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
                    self.heartbeats(key)
                }
                Role::CellIn { buf: all } => {
                    all.extend_from_slice(&buf[..n]);
                    self.cell_messages(key)
                }
                // The other side only listens on these.
                Role::PeerOut { .. } | Role::CellOut { .. } => true,
            };
            if !good {
                return self.close(key);
            }
            if n < buf.len() {
                return;
            }
        }
    }

    /// Sends bytes; false when the connection is broken or takes nothing.
    pub(super) fn send(&mut self, key: usize, bytes: &[u8]) -> bool {
        self.queue(key, bytes) && self.flush(key)
    }

    /// Adds bytes to those that wait to be written; false when there is no room for them.
    pub(super) fn queue(&mut self, key: usize, bytes: &[u8]) -> bool {
        let Some(conn) = self.conns.get_mut(&key) else {
            return false;
        };
        let most = match conn.role {
            Role::PeerOut { .. } => self.settings.peer_out_bytes(),
            Role::CellOut { .. } => CELL_OUT_MAX,
            _ => OUT_MAX,
        };
        if conn.out.len() + bytes.len() > most {
            return false;
        }
        conn.out.extend_from_slice(bytes);
        true
    }

    pub(super) fn flush(&mut self, key: usize) -> bool {
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
            let set = self.waiting.watch_writing(&conn.stream, key, writing);
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

    /// Ends calls and connections whose time is over.
    pub(super) fn sweep(&mut self, now: Time) {
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
pub(super) fn open(to: SocketAddrV4) -> io::Result<TcpStream> {
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

pub(super) const EINPROGRESS: i32 = 115;
