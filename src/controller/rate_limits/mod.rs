//! This controller's shares of the rate limits of the store and the cloud.
//!
//! The limits apply to all controllers together. No component assigns the shares: each controller
//! derives its own from its role. [`token_bucket`] enforces a share, and [`write_rate`] measures
//! how much the other controllers write, so that the owner of the only shard can use what they
//! leave of their share.

pub(crate) mod token_bucket;
pub(crate) mod write_rate;

use crate::settings::Settings;

/// Minimum fraction of the other controllers' share of the write rate that the owner of the only
/// shard leaves to them.
const OTHERS_WRITE_FRACTION_MIN: f64 = 0.35;
/// The owner of the only shard leaves the other controllers this multiple of their measured write
/// rate, so that they can write more before the owner's share is reduced.
const OTHERS_WRITE_MARGIN_FACTOR: f64 = 1.5;
/// The leader's fraction of the cloud's rate limit if there are several shards.
const LEADER_CLOUD_FRACTION: f64 = 0.6;
/// The fraction of the cloud's rate limit that all other controllers have together if there are
/// several shards.
const OTHERS_CLOUD_FRACTION: f64 = 0.4;
/// Burst size for calls to the cloud, in seconds: a burst has as many calls as the rate allows
/// within this time.
pub(crate) const CLOUD_BURST_S: f64 = 1.5;

/// The inputs that determine a controller's shares of the limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Role {
    /// Number of shards of the whole fleet.
    pub(crate) shards: usize,
    /// Whether the controller owns a shard.
    pub(crate) owns_shard: bool,
    /// Whether the controller is the leader.
    pub(crate) is_leader: bool,
    /// Measured puts and deletes per second by the other controllers.
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
    /// Computes the shares of a controller. With a single shard, its owner schedules all tasks and
    /// gets the larger share, and the others divide the rest evenly. With several shards all shares
    /// of the store are equal.
    pub(crate) fn of(settings: &Settings, role: Role) -> Self {
        let facts = &settings.platform.facts;
        let tuning = &settings.tuning;
        let others = facts.controller_count.saturating_sub(1);
        let is_single_shard = role.shards <= 1;
        let is_sole_owner = others > 0 && is_single_shard && role.owns_shard;
        let fraction = match others {
            0 => 1.0,
            _ if !is_single_shard => 1.0 / f64::from(others + 1),
            _ if is_sole_owner => tuning.budget_owner_fraction,
            _ => (1.0 - tuning.budget_owner_fraction) / f64::from(others),
        };
        let limits = settings.store_limits();
        let all_changes = limits.write_rps * tuning.budget_fraction;
        let mut changes = all_changes * fraction;
        if is_sole_owner {
            // Only this controller writes placements, results and ends, and the others seldom use
            // all of their share. With a fixed share and many short tasks, ends waited for seconds.
            let others_share = all_changes - changes;
            let reserved = role.others_write_rate * OTHERS_WRITE_MARGIN_FACTOR;
            changes = all_changes
                - reserved.clamp(others_share * OTHERS_WRITE_FRACTION_MIN, others_share);
        }
        // Controllers that don't lead still read the cloud's catalog and delete machines, so they
        // get a share of the cloud's limit.
        let all_calls = facts.cloud.rps * tuning.budget_fraction;
        let cloud = if others == 0 || is_single_shard {
            all_calls
        } else if role.is_leader {
            all_calls * LEADER_CLOUD_FRACTION
        } else {
            all_calls * OTHERS_CLOUD_FRACTION / f64::from(others)
        };
        Self {
            requests: limits.rps * fraction * tuning.budget_fraction,
            changes,
            cloud,
        }
    }
}
