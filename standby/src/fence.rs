//! For how long a new leader leaves the cloud alone.
//!
//! A commit of an outdated leader fails by its conditions, whenever it is carried out. A call to the
//! cloud has none. So a leader rents and returns machines only while a read of its own record, and a
//! renewal of its lease, were both sent no longer ago than the life of that lease. Whoever replaces
//! its record before the lease's end, by a commit carried out at T, knows that every read which
//! still showed the old record was sent before T, and that the old leader's last call is sent before
//! T plus that life. It waits for as long from the moment at which it sees its own commit, which is
//! later than T; the clocks' drift is added by the caller.
//!
//! A successor may be gone before that time is over. Its own lease, if it was asked for before the
//! commit, can end sooner than the time that it had to wait, and the next one then finds no record.
//! So the wait stands beside the highest number, which outlives leases, until a leader has written
//! a plan: that is written only when its wait is over.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// The wait that an election left, kept beside the highest number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The number of the leadership that has to wait.
    #[serde(rename = "number")]
    pub token: u64,
    /// For how long from its election.
    pub ms: Millis,
}

/// What the records say of earlier leaders, read no later than the election's commit: that commit
/// is conditional on the records of the leader and of the highest number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Predecessors {
    /// The life of the lease of the leader whose record is replaced, if one stands that isn't of
    /// an earlier process of the same controller.
    pub replaced_grant_ms: Option<Millis>,
    /// The wait that the latest election left.
    pub fence: Option<Fence>,
    /// The number of the leadership that wrote the plan.
    pub plan_token: u64,
}

impl Predecessors {
    /// How long the leader that is elected now has to wait.
    pub fn wait_ms(&self) -> Millis {
        let open = self.fence.filter(|fence| fence.token > self.plan_token);
        let earlier_ms = open.map_or(0, |fence| fence.ms);
        self.replaced_grant_ms.unwrap_or(0).max(earlier_ms)
    }

    /// The wait to be kept with the election's commit.
    pub fn fence(&self, token: u64) -> Option<Fence> {
        let ms = self.wait_ms();
        (ms > 0).then_some(Fence { token, ms })
    }
}
