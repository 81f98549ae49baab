//! For how long a new leader must not call the cloud.
//!
//! A commit of a former leader fails by its preconditions, whenever it is carried out. A call to the
//! cloud has none. So a leader rents and deletes machines only while a read of its own record, and a
//! renewal of its lease, were both sent no longer ago than the duration of that lease. A successor
//! that replaces the record before the lease expires, by a commit carried out at T, knows that every
//! read which still showed the old record was sent before T, and that the former leader's last call
//! is sent before T plus that duration. It waits for as long from the moment at which it sees its
//! own commit, which is later than T; the caller adds the drift of the clocks.
//!
//! A successor may fail during that wait. Its own lease, if it was requested before the commit, can
//! expire before the wait ends, and the next leader then finds no record. So the wait is stored
//! beside the highest token, which outlives leases, until a leader has written a scaling plan: that
//! is written only after its wait.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// The wait that an election requires, stored beside the highest token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The token of the leadership that has to wait.
    #[serde(rename = "number")]
    pub token: u64,
    /// How long it waits from its election.
    pub ms: Millis,
}

/// What the records say of earlier leaders, read no later than the election's commit: that commit
/// is conditional on the records of the leader and of the highest token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Predecessors {
    /// The duration of the lease of the leader whose record is replaced, if there is one that isn't
    /// of an earlier process of the same controller.
    pub replaced_lease_ms: Option<Millis>,
    /// The wait that the latest election requires.
    pub fence: Option<Fence>,
    /// The token of the leadership that wrote the scaling plan.
    pub plan_token: u64,
}

impl Predecessors {
    /// How long the leader that is elected now has to wait.
    pub fn wait_ms(&self) -> Millis {
        let open = self.fence.filter(|fence| fence.token > self.plan_token);
        let earlier_ms = open.map_or(0, |fence| fence.ms);
        self.replaced_lease_ms.unwrap_or(0).max(earlier_ms)
    }

    /// The wait to be stored with the election's commit.
    pub fn fence(&self, token: u64) -> Option<Fence> {
        let ms = self.wait_ms();
        (ms > 0).then_some(Fence { token, ms })
    }
}
