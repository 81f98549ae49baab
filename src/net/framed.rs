//! Accepted connections on which other controllers send framed messages to this one.

use crate::net::connections::{ConnectionId, Protocol, UNSENT_BYTES_MAX};
use crate::net::context::Context;
use std::collections::HashMap;
use std::net::TcpStream;

/// The accepted connections of one protocol.
pub(super) struct FramedConnections {
    protocol: Protocol,
    /// Bytes of the next, incomplete message on each connection.
    received: HashMap<ConnectionId, Vec<u8>>,
}

impl FramedConnections {
    pub(super) fn new(protocol: Protocol) -> Self {
        Self {
            protocol,
            received: HashMap::new(),
        }
    }

    pub(super) fn count(&self) -> usize {
        self.received.len()
    }

    /// Adds an accepted connection.
    pub(super) fn add(&mut self, context: &mut Context, stream: TcpStream) {
        if let Some(id) = context.add_connection(stream, self.protocol, UNSENT_BYTES_MAX) {
            self.received.insert(id, Vec::new());
        }
    }

    pub(super) fn remove(&mut self, id: ConnectionId) {
        self.received.remove(&id);
    }

    /// Handles bytes received on a connection and passes each message that they complete to
    /// `deliver`. `unframe` removes the next complete message from a buffer; if it fails, the
    /// connection must be closed.
    pub(super) fn on_bytes<Message, Error>(
        &mut self,
        id: ConnectionId,
        bytes: &[u8],
        unframe: impl Fn(&mut Vec<u8>) -> Result<Option<Message>, Error>,
        mut deliver: impl FnMut(Message),
    ) -> Result<(), Error> {
        let Some(received) = self.received.get_mut(&id) else {
            return Ok(());
        };
        received.extend_from_slice(bytes);
        while let Some(message) = unframe(received)? {
            deliver(message);
        }
        Ok(())
    }
}
