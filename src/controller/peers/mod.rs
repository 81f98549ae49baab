//! What this controller knows of its peers: their heartbeats, and the links to them.

pub(crate) mod heartbeats;
pub(crate) mod links;

use crate::ids::{ControllerId, Time};
use crate::peer::PeerHeartbeat;
use std::collections::BTreeMap;

/// What is known of the peers.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    /// The latest heartbeat of each, and when it came.
    pub(crate) heartbeats: BTreeMap<ControllerId, (PeerHeartbeat, Time)>,
    /// Peers to whom no connection can be made, and since when they refuse it, if they do.
    pub(crate) links_down: BTreeMap<ControllerId, Option<Time>>,
    /// When this controller sends its next heartbeat.
    pub(crate) next_heartbeat_at: Time,
}
