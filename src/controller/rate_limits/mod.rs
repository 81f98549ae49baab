//! How this controller keeps to the rate limits of the store and the cloud.
//!
//! The limits hold for all controllers together, and nobody hands out shares: each takes the share
//! that follows from its role. [`token_bucket`] keeps to a share, `write_rate` measures what the
//! others leave of theirs.

pub(crate) mod token_bucket;
pub(crate) mod write_rate;

use crate::settings::Settings;

/// Share of what the other controllers may write that a sole owner leaves to them at least.
const OTHERS_SHARE_MIN: f64 = 0.35;
/// How much more than they wrote lately the others may write before the owner knows.
const OTHERS_USE_MARGIN: f64 = 1.5;
/// Of the cloud's limit, with several shards: the leader's share, and that of all others.
const CLOUD_SHARE_LEADER: f64 = 0.6;
const CLOUD_SHARE_OTHERS: f64 = 0.4;
/// Bursts of calls to the cloud, in seconds' worth.
pub(crate) const CLOUD_BURST_S: f64 = 1.5;

/// What decides a controller's shares of the limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Role {
    /// Shards that there are.
    pub(crate) shards: usize,
    /// Whether it owns one.
    pub(crate) owns_shard: bool,
    /// Whether it leads.
    pub(crate) is_leader: bool,
    /// Puts and deletes a second that the others made lately.
    pub(crate) others_write_rate: f64,
}

/// A controller's shares of the limits, a second.
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
    /// The owner of the only shard schedules for all and gets more, the others share the rest; with
    /// several shards the shares are even.
    pub(crate) fn of(settings: &Settings, role: Role) -> Self {
        let facts = &settings.platform.facts;
        let tuning = &settings.tuning;
        let others = facts.count.saturating_sub(1);
        let single = role.shards <= 1;
        let sole_owner = others > 0 && single && role.owns_shard;
        let part = match others {
            0 => 1.0,
            n if !single => 1.0 / f64::from(n + 1),
            _ if sole_owner => tuning.budget_owner,
            n => (1.0 - tuning.budget_owner) / f64::from(n),
        };
        let limits = settings.state_limits();
        let all_changes = limits.write_rps * tuning.budget_share;
        let mut changes = all_changes * part;
        if sole_owner {
            // Placements, results and ends are written here alone, and the others seldom use all
            // of their share: with many short tasks that kept ends waiting for seconds.
            let theirs = all_changes - changes;
            let used = role.others_write_rate * OTHERS_USE_MARGIN;
            changes = all_changes - used.clamp(theirs * OTHERS_SHARE_MIN, theirs);
        }
        // Those who don't lead ask the cloud for its catalog and delete machines.
        let cloud = facts.cloud.rps * tuning.budget_share;
        let cloud = match (others, single, role.is_leader) {
            (0, _, _) | (_, true, _) => cloud,
            (_, _, true) => cloud * CLOUD_SHARE_LEADER,
            (n, _, false) => cloud * CLOUD_SHARE_OTHERS / f64::from(n),
        };
        Self {
            requests: limits.rps * part * tuning.budget_share,
            changes,
            cloud,
        }
    }
}
