//! Connections for messages between cells. Every controller accepts connections of other cells. A
//! cell's leader sends each message to all controllers of another cell, since it doesn't know which
//! of them is the leader there.

use crate::controller::events::Input;
use crate::ids::Time;
use crate::net::connections::{ConnectionId, Outcome, Protocol, begin_connect};
use crate::net::context::Context;
use crate::net::framed::FramedConnections;
use crate::settings::CellsFile;
use log::{debug, warn};
use salttrestle_cells::Cell;
use salttrestle_cells::message::{self, LinkMessage, MESSAGE_BYTES_MAX};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddrV4, TcpStream};

/// Minimum delay between two connection attempts to the same controller.
const RECONNECT_DELAY_S: f64 = 1.0;
/// Maximum random increase of the delay, as a fraction of it. It keeps the controllers of a cell
/// from reconnecting all at the same time.
const RECONNECT_JITTER_FRACTION: f64 = 0.5;
/// Maximum number of bytes that wait to be written to one controller of another cell.
const CELL_UNSENT_BYTES_MAX: usize = 2 * MESSAGE_BYTES_MAX;

/// The connections from and to the controllers of other cells.
pub(super) struct CellLinks {
    /// The addresses at which the controllers of each cell listen.
    addresses: BTreeMap<Cell, Vec<SocketAddrV4>>,
    incoming: FramedConnections,
    outgoing: HashMap<ConnectionId, SocketAddrV4>,
    outgoing_by_address: HashMap<SocketAddrV4, ConnectionId>,
    /// The earliest time of the next connection attempt to each controller.
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
            outgoing_by_address: HashMap::new(),
            retry_at: HashMap::new(),
        }
    }

    /// The number of accepted connections from other cells.
    pub(super) fn incoming_count(&self) -> usize {
        self.incoming.count()
    }

    /// Adds an accepted connection.
    pub(super) fn add_incoming(&mut self, context: &mut Context, stream: TcpStream) {
        self.incoming.add(context, stream);
    }

    /// Handles bytes received from another cell.
    pub(super) fn on_bytes(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        bytes: &[u8],
    ) -> Outcome {
        let inputs = &mut context.inputs;
        let result = self
            .incoming
            .on_bytes(id, bytes, message::unframe, |message| {
                inputs.push_back(Input::Cell(message));
            });
        match result {
            Ok(()) => Outcome::KeepOpen,
            Err(error) => {
                warn!("another cell's link is closed: {error}");
                Outcome::Close
            }
        }
    }

    /// Sends a message to every controller of a cell. A message that a connection can't accept is
    /// lost; the leader sends its current state again periodically.
    pub(super) fn send(&mut self, context: &mut Context, to: &Cell, message: &LinkMessage) {
        let Some(addresses) = self.addresses.get(to).cloned() else {
            return;
        };
        let frame = match message::frame(message) {
            Ok(frame) => frame,
            Err(error) => {
                return warn!("message to another cell isn't sent, cell={to} reason={error}");
            }
        };
        for address in addresses {
            let Some(id) = self.get_or_connect(context, address) else {
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
        // The socket closes at the end of this function.
        let Some(_socket) = context.connections.remove(id) else {
            return;
        };
        self.incoming.remove(id);
        if let Some(address) = self.outgoing.remove(&id) {
            self.outgoing_by_address.remove(&address);
        }
    }

    /// Returns the connection to another cell's controller, or initiates one. `None` if the last
    /// attempt was too recent or this one fails.
    fn get_or_connect(
        &mut self,
        context: &mut Context,
        address: SocketAddrV4,
    ) -> Option<ConnectionId> {
        if let Some(id) = self.outgoing_by_address.get(&address) {
            return Some(*id);
        }
        let now = context.clock.now();
        if self.retry_at.get(&address).is_some_and(|at| now < *at) {
            return None;
        }
        self.retry_at.insert(address, next_attempt_at(now));
        let stream = match begin_connect(address) {
            Ok(stream) => stream,
            Err(error) => {
                debug!("connection to another cell failed, address={address} reason={error}");
                return None;
            }
        };
        let id = context.add_connection(stream, Protocol::ToCell, CELL_UNSENT_BYTES_MAX)?;
        self.outgoing.insert(id, address);
        self.outgoing_by_address.insert(address, id);
        Some(id)
    }
}

fn next_attempt_at(now: Time) -> Time {
    now.after(RECONNECT_DELAY_S * (1.0 + RECONNECT_JITTER_FRACTION * rand::random::<f64>()))
}
