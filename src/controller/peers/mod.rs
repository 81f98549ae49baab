//! This controller's view of its peers: their [`heartbeats`], and the [`links`] to them.

pub(crate) mod heartbeats;
pub(crate) mod links;

use crate::ids::{ControllerId, Time};
use crate::peer::PeerHeartbeat;
use std::collections::BTreeMap;

/// The state that this controller keeps about its peers.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    /// The latest heartbeat of each peer, and when it arrived.
    pub(crate) heartbeats: BTreeMap<ControllerId, (PeerHeartbeat, Time)>,
    /// Peers to which there is no connection, and since when they have refused connections, if they
    /// do.
    pub(crate) links_down: BTreeMap<ControllerId, Option<Time>>,
    /// When this controller sends its next heartbeat.
    pub(crate) next_heartbeat_at: Time,
}
