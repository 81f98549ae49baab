//! Traffic between a hollow cell and its controllers, by kind of connection.

use serde::{Deserialize, Serialize};

/// Messages and bytes over connections of one kind, counted by the hollow cell as it reads and
/// writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages from controllers.
    pub messages_in: u64,
    /// Messages to controllers.
    pub messages_out: u64,
    /// Bytes from controllers.
    pub bytes_in: u64,
    /// Bytes to controllers.
    pub bytes_out: u64,
}

impl Traffic {
    /// Returns the traffic since an earlier count.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            messages_in: self.messages_in - earlier.messages_in,
            messages_out: self.messages_out - earlier.messages_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
        }
    }
}

/// Kinds of connections whose traffic is counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Requests of controllers to the store.
    Store,
    /// Requests of controllers to the cloud.
    Cloud,
    /// Heartbeats of workers to controllers.
    Worker,
    /// Requests of users to controllers.
    User,
    /// Health probes of the load balancer to controllers.
    Probe,
}

impl ConnectionKind {
    /// All kinds, in the order of the results.
    pub(super) const ALL: [Self; 5] = [
        Self::Store,
        Self::Cloud,
        Self::Worker,
        Self::User,
        Self::Probe,
    ];

    /// Returns the name of the kind in the results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "state",
            Self::Cloud => "cloud",
            Self::Worker => "worker",
            Self::User => "user",
            Self::Probe => "probe",
        }
    }
}

/// Traffic over the connections of one kind.
#[derive(Clone, Copy, Debug)]
pub struct KindTraffic {
    /// Kind of the connections.
    pub kind: ConnectionKind,
    /// Traffic over them.
    pub traffic: Traffic,
}
