//! What this controller knows of its peers: their heartbeats, and the links to them.

pub(crate) mod heartbeats;
pub(crate) mod links;
