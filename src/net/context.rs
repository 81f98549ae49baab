//! What the modules of all protocols work with.

use crate::controller::events::Input;
use crate::metrics::Metrics;
use crate::net::clock::Clock;
use crate::net::connections::{ConnectionId, Connections, Protocol};
use std::collections::VecDeque;
use std::net::TcpStream;

/// The clock, the connections, the inputs that wait for the controller, and the metrics.
pub(super) struct Context {
    pub(super) clock: Clock,
    pub(super) connections: Connections,
    /// Inputs for the controller, oldest first.
    pub(super) inputs: VecDeque<Input>,
    pub(super) metrics: Metrics,
}

impl Context {
    /// Takes a connection over; nothing if it can't be watched.
    pub(super) fn add(
        &mut self,
        stream: TcpStream,
        protocol: Protocol,
        unsent_max: usize,
    ) -> Option<ConnectionId> {
        let clock = self.clock;
        self.connections.add(stream, protocol, unsent_max, clock)
    }
}
