//! Messages between cells. Each controller listens for other cells, and a leader sends to each
//! controller of another cell, since it doesn't know which of them leads there.

use crate::controller::events::Input;
use crate::ids::Time;
use crate::net::connections::{ConnectionId, Outcome, Protocol, begin_connect};
use crate::net::context::Context;
use crate::net::framed::FramedConnections;
use crate::settings::CellsFile;
use log::{debug, warn};
use salttrestle_cells::Cell;
use salttrestle_cells::message::{self, LinkMessage, MESSAGE_MAX};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddrV4, TcpStream};

/// Pause before a connection that failed is tried again, in seconds, and by how much of it more
/// at most, so that the controllers of a cell don't all come back at once.
const RECONNECT_PAUSE_S: f64 = 1.0;
const RECONNECT_JITTER: f64 = 0.5;
/// Most bytes that wait to be written to a controller of another cell.
const CELL_UNSENT_MAX: usize = 2 * MESSAGE_MAX;

/// The connections from and to controllers of other cells.
pub(super) struct CellLinks {
    /// Where the controllers of each cell listen.
    addresses: BTreeMap<Cell, Vec<SocketAddrV4>>,
    incoming: FramedConnections,
    outgoing: HashMap<ConnectionId, SocketAddrV4>,
    by_address: HashMap<SocketAddrV4, ConnectionId>,
    /// When the next connection to a controller may be tried.
    retry_at: HashMap<SocketAddrV4, Time>,
}

impl CellLinks {
    pub(super) fn new(cells: Option<&CellsFile>) -> Self {
        let cells = cells.iter().flat_map(|file| &file.cells);
        let addresses = cells.map(|(cell, controllers)| {
            let addresses = controllers.values().copied().collect();
            (cell.clone(), addresses)
        });
        Self {
            addresses: addresses.collect(),
            incoming: FramedConnections::new(Protocol::FromCell),
            outgoing: HashMap::new(),
            by_address: HashMap::new(),
            retry_at: HashMap::new(),
        }
    }

    /// How many connections other cells have made.
    pub(super) fn incoming_count(&self) -> usize {
        self.incoming.count()
    }

    /// Takes over a connection that was accepted.
    pub(super) fn add_incoming(&mut self, context: &mut Context, stream: TcpStream) {
        self.incoming.add(context, stream);
    }

    /// Takes the bytes that came from another cell.
    pub(super) fn on_bytes(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        bytes: &[u8],
    ) -> Outcome {
        let inputs = &mut context.inputs;
        let read = self
            .incoming
            .on_bytes(id, bytes, message::unframe, |message| {
                inputs.push_back(Input::Cell(message));
            });
        match read {
            Ok(()) => Outcome::KeepOpen,
            Err(error) => {
                warn!("another cell's link is closed: {error}");
                Outcome::Close
            }
        }
    }

    /// Sends a message to every controller of a cell. What a link doesn't take is lost; the
    /// leader sends its state again soon.
    pub(super) fn send(&mut self, context: &mut Context, to: &Cell, message: &LinkMessage) {
        let Some(addresses) = self.addresses.get(to).cloned() else {
            return;
        };
        let frame = match message::frame(message) {
            Ok(frame) => frame,
            Err(error) => {
                return warn!("message to another cell isn't sent: cell={to} reason={error}");
            }
        };
        for address in addresses {
            let Some(id) = self.link(context, address) else {
                continue;
            };
            match context.connections.send(id, &frame) {
                Outcome::KeepOpen => context.metrics.record_sent_to_cell(frame.len()),
                Outcome::Close => self.close(context, id),
            }
        }
    }

    /// Closes a connection.
    pub(super) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(_socket) = context.connections.remove(id) else {
            return;
        };
        self.incoming.remove(id);
        if let Some(address) = self.outgoing.remove(&id) {
            self.by_address.remove(&address);
        }
    }

    /// The connection to another cell's controller, begun now if there is none.
    fn link(&mut self, context: &mut Context, address: SocketAddrV4) -> Option<ConnectionId> {
        if let Some(id) = self.by_address.get(&address) {
            return Some(*id);
        }
        let now = context.clock.now();
        if self.retry_at.get(&address).is_some_and(|at| now < *at) {
            return None;
        }
        self.retry_at.insert(address, reconnect_at(now));
        let stream = match begin_connect(address) {
            Ok(stream) => stream,
            Err(error) => {
                debug!("no link to another cell: address={address} reason={error}");
                return None;
            }
        };
        let id = context.add(stream, Protocol::ToCell, CELL_UNSENT_MAX)?;
        self.outgoing.insert(id, address);
        self.by_address.insert(address, id);
        Some(id)
    }
}

fn reconnect_at(now: Time) -> Time {
    now.after(RECONNECT_PAUSE_S * (1.0 + RECONNECT_JITTER * rand::random::<f64>()))
}
