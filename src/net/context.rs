//! State shared by the modules of all protocols.

use crate::controller::events::Input;
use crate::metrics::Metrics;
use crate::net::clock::Clock;
use crate::net::connections::{ConnectionId, Connections, Protocol};
use std::collections::VecDeque;
use std::net::TcpStream;

/// The clock, the connections, the inputs queued for the controller, and the metrics.
pub(super) struct Context {
    pub(super) clock: Clock,
    pub(super) connections: Connections,
    /// Inputs for the controller, oldest first.
    pub(super) inputs: VecDeque<Input>,
    pub(super) metrics: Metrics,
}

impl Context {
    /// Adds a connection and starts polling it; `None` if the poller fails. At most
    /// `unsent_bytes_max` bytes wait to be written to it.
    pub(super) fn add_connection(
        &mut self,
        stream: TcpStream,
        protocol: Protocol,
        unsent_bytes_max: usize,
    ) -> Option<ConnectionId> {
        let clock = self.clock;
        self.connections
            .add(stream, protocol, unsent_bytes_max, clock)
    }
}
