//! Messages between the controllers of this cell. Each keeps one connection to every peer for
//! what it sends, and reads what comes on those that the peers made.

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

/// Pause between two attempts to connect to a peer.
const RECONNECT_PAUSE_S: f64 = 1.0;

/// A connection that this process began to a peer.
struct OutgoingLink {
    peer: ControllerId,
    is_established: bool,
    is_refused: bool,
}

/// The connections from and to the peers.
pub(super) struct PeerLinks {
    peers: Vec<Peer>,
    /// Most bytes that wait to be written to one peer.
    unsent_max: usize,
    incoming: FramedConnections,
    outgoing: HashMap<ConnectionId, OutgoingLink>,
    by_peer: HashMap<ControllerId, ConnectionId>,
    /// When the next connection to a peer may be tried.
    retry_at: HashMap<ControllerId, Time>,
    /// Connections with messages of this turn.
    unflushed: BTreeSet<ConnectionId>,
}

impl PeerLinks {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            peers: settings.platform.peers.clone(),
            unsent_max: settings.peer_out_bytes(),
            incoming: FramedConnections::new(Protocol::FromPeer),
            outgoing: HashMap::new(),
            by_peer: HashMap::new(),
            retry_at: HashMap::new(),
            unflushed: BTreeSet::new(),
        }
    }

    /// How many connections peers have made.
    pub(super) fn incoming_count(&self) -> usize {
        self.incoming.count()
    }

    /// Takes over a connection that was accepted.
    pub(super) fn add_incoming(&mut self, context: &mut Context, stream: TcpStream) {
        self.incoming.add(context, stream);
    }

    /// Takes the bytes that came from a peer.
    pub(super) fn on_bytes(
        &mut self,
        context: &mut Context,
        id: ConnectionId,
        bytes: &[u8],
    ) -> Outcome {
        let inputs = &mut context.inputs;
        let read = self.incoming.on_bytes(id, bytes, peer::unframe, |message| {
            inputs.push_back(Input::Peer(message));
        });
        match read {
            Ok(()) => Outcome::KeepOpen,
            Err(error) => {
                warn!("peer connection closed: connection={} reason={error}", id.0);
                Outcome::Close
            }
        }
    }

    /// Queues a message to one peer, or to all. It is written at the end of the turn, so that all
    /// that goes to a peer then is one write.
    pub(super) fn send(
        &mut self,
        context: &mut Context,
        to: Option<&ControllerId>,
        message: &Message,
    ) {
        match peer::frame(message) {
            Ok(frame) => self.queue(context, to, &frame),
            // Peers do without it, as if it had been lost.
            Err(size) => warn!("message to peers isn't sent: bytes={size} reason=too large"),
        }
    }

    fn queue(&mut self, context: &mut Context, to: Option<&ControllerId>, frame: &[u8]) {
        for index in 0..self.peers.len() {
            let peer = &self.peers[index].controller_id;
            if to.is_some_and(|to| to != peer) {
                continue;
            }
            let Some(id) = self.link(context, index) else {
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

    /// Writes what was queued in this turn.
    pub(super) fn flush_all(&mut self, context: &mut Context) {
        for id in std::mem::take(&mut self.unflushed) {
            match context.connections.flush(id) {
                // A connection that was made at once takes all of the first message, and never
                // becomes writable again: its peer stayed down for good after a restart.
                Outcome::KeepOpen => self.check_progress(context, id),
                Outcome::Close => self.close(context, id),
            }
        }
    }

    /// Lets the next message to a peer begin a connection without a pause.
    pub(super) fn skip_pause(&mut self, peer: &ControllerId) {
        self.retry_at.remove(peer);
    }

    /// Notes whether a connection to a peer was made or refused.
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

    /// Closes a connection. The controller is notified if this process had begun it.
    pub(super) fn close(&mut self, context: &mut Context, id: ConnectionId) {
        // The socket closes at the end of this function.
        let Some(_socket) = context.connections.remove(id) else {
            return;
        };
        self.incoming.remove(id);
        let Some(link) = self.outgoing.remove(&id) else {
            return;
        };
        self.by_peer.remove(&link.peer);
        let state = lost_or_refused(link.is_refused);
        context.inputs.push_back(Input::Link(link.peer, state));
    }

    /// The connection to a peer; begins one if there is none and none was tried just now.
    fn link(&mut self, context: &mut Context, index: usize) -> Option<ConnectionId> {
        let peer = &self.peers[index];
        let controller = &peer.controller_id;
        if let Some(id) = self.by_peer.get(controller) {
            return Some(*id);
        }
        let now = context.clock.now();
        if self.retry_at.get(controller).is_some_and(|at| now < *at) {
            return None;
        }
        let retry_at = now.after(RECONNECT_PAUSE_S);
        self.retry_at.insert(controller.clone(), retry_at);
        let stream = match begin_connect(peer.endpoint) {
            Ok(stream) => stream,
            Err(error) => {
                let state = lost_or_refused(error.kind() == ErrorKind::ConnectionRefused);
                let input = Input::Link(controller.clone(), state);
                context.inputs.push_back(input);
                return None;
            }
        };
        let id = context.add(stream, Protocol::ToPeer, self.unsent_max)?;
        let link = OutgoingLink {
            peer: controller.clone(),
            is_established: false,
            is_refused: false,
        };
        self.outgoing.insert(id, link);
        self.by_peer.insert(controller.clone(), id);
        Some(id)
    }
}

fn lost_or_refused(is_refused: bool) -> LinkEvent {
    match is_refused {
        true => LinkEvent::Refused,
        false => LinkEvent::Lost,
    }
}
