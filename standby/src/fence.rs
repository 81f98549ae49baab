//! The time during which a new leader must not call the cloud.
//!
//! A late commit of a former leader fails because its preconditions don't hold any more. A call to
//! the cloud has no preconditions. A leader therefore rents and deletes machines only while both
//! its latest read of its own record and its latest renewal of its lease were sent less than the
//! duration of the lease ago.
//!
//! A successor may replace the leader's record before the lease expires, by a commit carried out at
//! time T. Every read that still returned the old record was sent before T, so the former leader's
//! last call to the cloud is sent before T plus the duration of its lease. The successor waits for
//! that duration, starting when it sees its own commit, which is later than T. The caller adds an
//! allowance for clock drift.
//!
//! The successor may fail during this wait. If its own lease was requested before the commit, that
//! lease can expire before the wait ends, and the next leader then finds no leader record. The wait
//! is therefore stored with the highest token, which outlives leases. It applies until a leader has
//! written a scaling plan, because a leader writes the plan only after its wait.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// The wait that an election requires, stored with the highest token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// The token of the leader that has to wait.
    #[serde(rename = "number")]
    pub token: u64,
    /// Duration of the wait from the election, in milliseconds.
    pub ms: Millis,
}

/// What the records say about earlier leaders. They are read before the election's commit, which is
/// conditional on the records of the leader and of the highest token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Predecessors {
    /// Duration of the lease of the leader whose record is replaced, in milliseconds. `None` if
    /// there is no record, or if the record is of an earlier process of the same controller.
    pub replaced_lease_ms: Option<Millis>,
    /// The stored wait of the latest election.
    pub fence: Option<Fence>,
    /// The token of the leader that wrote the scaling plan.
    pub plan_token: u64,
}

impl Predecessors {
    /// How long the leader that is elected now has to wait, in milliseconds.
    pub fn wait_ms(&self) -> Millis {
        let active_fence = self.fence.filter(|fence| fence.token > self.plan_token);
        let earlier_ms = active_fence.map_or(0, |fence| fence.ms);
        self.replaced_lease_ms.unwrap_or(0).max(earlier_ms)
    }

    /// The wait to store in the election's commit; `None` if the leader needn't wait.
    pub fn fence(&self, token: u64) -> Option<Fence> {
        let ms = self.wait_ms();
        (ms > 0).then_some(Fence { token, ms })
    }
}
