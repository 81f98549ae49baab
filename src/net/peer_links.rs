//! Connections for messages between the controllers of this cell. A controller sends to each peer
//! over one connection that it initiates, and receives over the connections that peers initiate.

use crate::controller::events::{Input, LinkEvent};
use crate::ids::{ControllerId, Time};
use crate::net::connections::{ConnectProgress, ConnectionId, Outcome, Protocol, begin_connect};
use crate::net::context::Context;
use crate::net::framed::FramedConnections;
use crate::peer::{self, Message};
use crate::settings::{Peer, Settings};
use log::warn;
use std::collections::{BTreeSet, HashMap};
use std::io::ErrorKind;
use std::net::TcpStream;

/// Minimum delay between two connection attempts to the same peer.
const RECONNECT_DELAY_S: f64 = 1.0;

/// A connection to a peer that this process initiated.
struct OutgoingLink {
    peer: ControllerId,
    is_established: bool,
    /// Whether the connection attempt was refused.
    is_refused: bool,
}

/// The connections from and to the peers.
pub(super) struct PeerLinks {
    peers: Vec<Peer>,
    /// Maximum number of bytes that wait to be written to one peer.
    unsent_bytes_max: usize,
    incoming: FramedConnections,
    outgoing: HashMap<ConnectionId, OutgoingLink>,
    outgoing_by_peer: HashMap<ControllerId, ConnectionId>,
    /// The earliest time of the next connection attempt to each peer.
    retry_at: HashMap<ControllerId, Time>,
    /// Connections to which messages were queued since the last flush.
    unflushed: BTreeSet<ConnectionId>,
}

impl PeerLinks {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            peers: settings.platform.peers.clone(),
            unsent_bytes_max: settings.unsent_bytes_max(),
            incoming: FramedConnections::new(Protocol::FromPeer),
            outgoing: HashMap::new(),
            outgoing_by_peer: HashMap::new(),
            retry_at: HashMap::new(),
            unflushed: BTreeSet::new(),
        }
    }

    /// The number of accepted connections from peers.
    pub(super) fn incoming_count(&self) -> usize {
        self.incoming.count()
    }

    /// Adds an accepted connection.
    pub(super) fn add_incoming(&mut self, context: &mut Context, stream: TcpStream) {
        self.incoming.add(context, stream);
    }

    /// Handles bytes received from a peer.
    pub(super) fn on_bytes(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        bytes: &[u8],
    ) -> Outcome {
        let inputs = &mut context.inputs;
        let result = self.incoming.on_bytes(id, bytes, peer::unframe, |message| {
            inputs.push_back(Input::Peer(message));
        });
        match result {
            Ok(()) => Outcome::KeepOpen,
            Err(error) => {
                warn!("peer connection closed, connection={} reason={error}", id.0);
                Outcome::Close
            }
        }
    }

    /// Queues a message to one peer, or to all peers if `to` is `None`. The message is written by
    /// [`Self::flush_all`], so that all messages to a peer that are queued until then take one
    /// write.
    pub(super) fn send(
        &mut self,
        context: &mut Context,
        to: Option<&ControllerId>,
        message: &Message,
    ) {
        match peer::frame(message) {
            Ok(frame) => self.queue(context, to, &frame),
            // The protocol between peers tolerates lost messages.
            Err(size) => warn!("message to peers isn't sent, bytes={size} reason=too large"),
        }
    }

    fn queue(&mut self, context: &mut Context, to: Option<&ControllerId>, frame: &[u8]) {
        for index in 0..self.peers.len() {
            let peer = &self.peers[index].controller_id;
            if to.is_some_and(|to| to != peer) {
                continue;
            }
            let Some(id) = self.get_or_connect(context, index) else {
                continue;
            };
            match context.connections.queue(id, frame) {
                Outcome::KeepOpen => {
                    context.metrics.record_sent_to_peer(frame.len());
                    self.unflushed.insert(id);
                }
                Outcome::Close => self.close(context, id),
            }
        }
    }

    /// Writes the messages queued since the last flush.
    pub(super) fn flush_all(&mut self, context: &mut Context) {
        for id in std::mem::take(&mut self.unflushed) {
            match context.connections.flush(id) {
                // A connection that is established at once accepts the whole first message, so the
                // poller never reports it as writable. Without this check, the controller kept
                // treating a peer as permanently disconnected after the peer's restart.
                Outcome::KeepOpen => self.check_progress(context, id),
                Outcome::Close => self.close(context, id),
            }
        }
    }

    /// Lets the next message to a peer initiate a connection without waiting for the delay.
    pub(super) fn skip_reconnect_delay(&mut self, peer: &ControllerId) {
        self.retry_at.remove(peer);
    }

    /// Records whether a connection to a peer is established or refused, and notifies the
    /// controller once it is established.
    pub(super) fn check_progress(&mut self, context: &mut Context, id: ConnectionId) {
        let Some(link) = self.outgoing.get_mut(&id) else {
            return;
        };
        if link.is_established {
            return;
        }
        match context.connections.connect_progress(id) {
            ConnectProgress::Established => {
                link.is_established = true;
                let input = Input::Link(link.peer.clone(), LinkEvent::Up);
                context.inputs.push_back(input);
            }
            ConnectProgress::Refused => link.is_refused = true,
            ConnectProgress::Failed => link.is_refused = false,
            ConnectProgress::Pending => {}
        }
    }

    /// Closes a connection. The controller is notified if this process initiated the connection.
    pub(super) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        // The socket closes at the end of this function.
        let Some(_socket) = context.connections.remove(id) else {
            return;
        };
        self.incoming.remove(id);
        let Some(link) = self.outgoing.remove(&id) else {
            return;
        };
        self.outgoing_by_peer.remove(&link.peer);
        let event = disconnect_event(link.is_refused);
        context.inputs.push_back(Input::Link(link.peer, event));
    }

    /// Returns the connection to a peer, or initiates one. `None` if the last attempt was too
    /// recent or this one fails.
    fn get_or_connect(&mut self, context: &mut Context, index: usize) -> Option<ConnectionId> {
        let peer = &self.peers[index];
        let controller_id = &peer.controller_id;
        if let Some(id) = self.outgoing_by_peer.get(controller_id) {
            return Some(*id);
        }
        let now = context.clock.now();
        if self.retry_at.get(controller_id).is_some_and(|at| now < *at) {
            return None;
        }
        let retry_at = now.after(RECONNECT_DELAY_S);
        self.retry_at.insert(controller_id.clone(), retry_at);
        let stream = match begin_connect(peer.endpoint) {
            Ok(stream) => stream,
            Err(error) => {
                let event = disconnect_event(error.kind() == ErrorKind::ConnectionRefused);
                let input = Input::Link(controller_id.clone(), event);
                context.inputs.push_back(input);
                return None;
            }
        };
        let id = context.add_connection(stream, Protocol::ToPeer, self.unsent_bytes_max)?;
        let link = OutgoingLink {
            peer: controller_id.clone(),
            is_established: false,
            is_refused: false,
        };
        self.outgoing.insert(id, link);
        self.outgoing_by_peer.insert(controller_id.clone(), id);
        Some(id)
    }
}

fn disconnect_event(is_refused: bool) -> LinkEvent {
    match is_refused {
        true => LinkEvent::Refused,
        false => LinkEvent::Lost,
    }
}
