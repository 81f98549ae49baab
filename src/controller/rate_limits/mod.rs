//! How this controller keeps to the rate limits of the store and the cloud.
//!
//! The limits hold for all controllers together, and shares aren't assigned: each controller takes
//! the share that follows from its role. [`token_bucket`] keeps to a share, [`write_rate`] measures
//! what the others leave of theirs.

pub(crate) mod token_bucket;
pub(crate) mod write_rate;

use crate::settings::Settings;

/// Share of what the other controllers may write that a sole owner leaves to them at least.
const OTHERS_SHARE_MIN: f64 = 0.35;
/// Factor by which the others may write more than was measured before the owner's share falls.
const OTHERS_USE_MARGIN: f64 = 1.5;
/// The leader's share of the cloud's limit, with several shards.
const CLOUD_SHARE_LEADER: f64 = 0.6;
/// The share of all others together.
const CLOUD_SHARE_OTHERS: f64 = 0.4;
/// The burst of calls to the cloud: what the rate lets through in this time, in seconds.
pub(crate) const CLOUD_BURST_S: f64 = 1.5;

/// What decides a controller's shares of the limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Role {
    /// Number of shards.
    pub(crate) shards: usize,
    /// Whether it owns a shard.
    pub(crate) owns_shard: bool,
    /// Whether it is the leader.
    pub(crate) is_leader: bool,
    /// Puts and deletes a second by the others, as measured.
    pub(crate) others_write_rate: f64,
}

/// A controller's shares of the limits, per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateShares {
    /// Requests to the store.
    pub(crate) requests: f64,
    /// Puts and deletes at the store.
    pub(crate) changes: f64,
    /// Calls to the cloud.
    pub(crate) cloud: f64,
}

impl RateShares {
    /// The shares of a controller. The owner of the only shard schedules for all and gets more, and
    /// the others share the rest; with several shards the shares are even.
    pub(crate) fn of(settings: &Settings, role: Role) -> Self {
        let facts = &settings.platform.facts;
        let tuning = &settings.tuning;
        let others = facts.count.saturating_sub(1);
        let single = role.shards <= 1;
        let sole_owner = others > 0 && single && role.owns_shard;
        let part = match others {
            0 => 1.0,
            _ if !single => 1.0 / f64::from(others + 1),
            _ if sole_owner => tuning.budget_owner,
            _ => (1.0 - tuning.budget_owner) / f64::from(others),
        };
        let limits = settings.state_limits();
        let all_changes = limits.write_rps * tuning.budget_share;
        let mut changes = all_changes * part;
        if sole_owner {
            // Placements, results and ends are written here alone, and the others seldom use all
            // of their share: with many short tasks that kept ends waiting for seconds.
            let others_share = all_changes - changes;
            let used = role.others_write_rate * OTHERS_USE_MARGIN;
            changes = all_changes - used.clamp(others_share * OTHERS_SHARE_MIN, others_share);
        }
        // Controllers that don't lead still read the cloud's catalog and delete machines.
        let all_calls = facts.cloud.rps * tuning.budget_share;
        let cloud = if others == 0 || single {
            all_calls
        } else if role.is_leader {
            all_calls * CLOUD_SHARE_LEADER
        } else {
            all_calls * CLOUD_SHARE_OTHERS / f64::from(others)
        };
        Self {
            requests: limits.rps * part * tuning.budget_share,
            changes,
            cloud,
        }
    }
}
