//! Who leads: the election, the standby that shortens a takeover, and the hand-over of a controller
//! that shuts down.

pub(crate) mod election;
pub(crate) mod shutdown;
pub(crate) mod standby;

use crate::controller::Controller;
use crate::controller::autoscaling::plan::ScalingState;
use crate::controller::store::records::MachineEntry;
use crate::ids::{FencingToken, MachineId, Time};
use crate::peer::ShardCounts;
use std::collections::BTreeMap;
use std::fmt;

/// What a leader knows besides what it holds itself.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    pub(crate) scale: ScalingState,
    /// The latest counts of each shard, and when they came.
    pub(crate) shard_counts: BTreeMap<u32, (ShardCounts, Time)>,
    /// Machines that each shard lacks, by type and kind.
    pub(crate) lacking_machines: BTreeMap<(String, bool, u32), u32>,
    /// Machines that belong to no shard yet.
    pub(crate) unassigned: BTreeMap<MachineId, MachineEntry>,
    /// Machines that owners deleted, and when that was heard: lists show them still.
    pub(crate) deleted_machines: BTreeMap<MachineId, Time>,
    /// Since when more shards are needed than there are.
    pub(crate) short_of_shards_since: Option<Time>,
    /// A change of leases is being committed.
    pub(crate) busy: bool,
    /// There are machines that no shard's record has room for.
    pub(crate) crowded: bool,
    pub(crate) since: Time,
    /// This leadership's own token: no other one has it.
    pub(crate) token: FencingToken,
    /// From when it may scale out and delete: before, a leader that it replaced might.
    pub(crate) cloud_from: Time,
}

impl Controller {
    pub(crate) fn become_leader(&mut self) {
        let record = self.context.store.mirror.leader.record.as_ref();
        let token = record.map_or(FencingToken(0), |l| l.token);
        self.context.leadership = Some(Leadership {
            since: self.context.now,
            token,
            cloud_from: self.context.cloud_from(token),
            ..Leadership::default()
        });
        self.update_rate_limits();
        self.context.rebuild_scaling_state();
    }
}

/// Why a controller gives up its leadership or a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GiveUpReason {
    /// The leader's lease has expired at the store.
    LeaseExpired,
    /// The leader's record is gone, or names another controller.
    RecordReplaced,
    /// The shard's record names another owner.
    OwnedByAnother,
    /// A peer knows a higher token for the shard.
    HigherTokenKnown,
    /// No worker reaches this controller, while workers may reach others.
    WorkersUnreachable,
    /// The store forgot changes that weren't seen yet.
    WatchFellBehind,
    /// The process was told to terminate.
    ShuttingDown,
}

impl fmt::Display for GiveUpReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LeaseExpired => "lease expired",
            Self::RecordReplaced => "leader record replaced",
            Self::OwnedByAnother => "owned by another controller",
            Self::HigherTokenKnown => "a peer knows a higher token",
            Self::WorkersUnreachable => "workers unreachable",
            Self::WatchFellBehind => "watch fell behind",
            Self::ShuttingDown => "shutting down",
        })
    }
}
