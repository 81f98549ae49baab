//! Connections on which other controllers send framed messages to this one.

use crate::net::connections::{ConnectionId, Protocol, UNSENT_MAX};
use crate::net::context::Context;
use std::collections::HashMap;
use std::net::TcpStream;

/// The accepted connections of one protocol.
pub(super) struct FramedConnections {
    protocol: Protocol,
    /// What has come of the next message on each connection.
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

    /// Takes over a connection that was accepted.
    pub(super) fn add(&mut self, context: &mut Context, stream: TcpStream) {
        if let Some(id) = context.add(stream, self.protocol, UNSENT_MAX) {
            self.received.insert(id, Vec::new());
        }
    }

    pub(super) fn remove(&mut self, id: ConnectionId) {
        self.received.remove(&id);
    }

    /// Takes the bytes that came on a connection, and gives each message that they complete to
    /// `deliver`. `unframe` removes the next whole message from a buffer; after its error the
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
