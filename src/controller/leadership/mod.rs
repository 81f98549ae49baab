//! Leadership: the [`election`], the [`standby`] that shortens a takeover, and the [`shutdown`] of
//! a controller, which hands its duties over first.

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

/// The state that a controller keeps only while it leads.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    pub(crate) scale: ScalingState,
    /// The latest counts of each shard, and when they arrived.
    pub(crate) shard_counts: BTreeMap<u32, (ShardCounts, Time)>,
    /// Number of machines that a shard needs and doesn't have, by machine type, whether they are
    /// spot, and shard.
    pub(crate) machine_shortfall: BTreeMap<(String, bool, u32), u32>,
    /// Machines that aren't assigned to a shard yet.
    pub(crate) unassigned: BTreeMap<MachineId, MachineEntry>,
    /// Machines that shard owners have deleted, and when this leader learned of it. The cloud's
    /// lists and the shards' records may still contain them.
    pub(crate) deleted_machines: BTreeMap<MachineId, Time>,
    /// Since when the fleet has needed more shards than exist.
    pub(crate) short_of_shards_since: Option<Time>,
    /// Whether a change of the shards' leases is being committed.
    pub(crate) lease_change_pending: bool,
    /// Whether there is an unassigned machine for which no shard's record has space.
    pub(crate) shard_records_full: bool,
    /// When this controller began to lead.
    pub(crate) since: Time,
    /// The fencing token of this leadership. No other leadership has the same one.
    pub(crate) token: FencingToken,
    /// When this leader may first rent and delete machines at the cloud. Before that, the leader
    /// that it replaced may still do so.
    pub(crate) cloud_allowed_from: Time,
}

impl Controller {
    /// Begins to lead, under the token in the leader's record.
    pub(crate) fn become_leader(&mut self) {
        let record = self.context.store.mirror.leader.record.as_ref();
        let token = record.map_or(FencingToken(0), |leader| leader.token);
        self.context.leadership = Some(Leadership {
            since: self.context.now,
            token,
            cloud_allowed_from: self.context.cloud_allowed_from(token),
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
    /// No worker's heartbeat reaches this controller, while workers may reach others.
    WorkersUnreachable,
    /// The store has discarded changes that the watch hadn't delivered yet.
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
