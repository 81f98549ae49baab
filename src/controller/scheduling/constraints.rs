//! Constraints on where a task may run: the quota limit and the guaranteed quota of its team, its
//! machine types, markets and zones, and whether a machine accepts tasks now.

use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::JobState;
use crate::controller::store::records::JobRecord;
use crate::ids::Time;
use crate::settings::{Settings, Team};
use crate::wire::MachineType;

/// Age of a machine's latest heartbeat, in heartbeat intervals, from which on it gets no tasks.
const HEARTBEAT_AGE_MAX_INTERVALS: f64 = 3.5;
/// Tolerance for rounding errors in sums of CPUs or GPUs.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Whether one more task of the job stays within its team's quota limit in this shard. Each task
/// that may still run counts as used. Returns false for an unknown team.
pub(crate) fn is_within_quota_limit(
    shard: &ShardOwner,
    settings: &Settings,
    record: &JobRecord,
) -> bool {
    let teams = &settings.platform.facts.teams;
    let Some(team) = teams.iter().find(|team| team.name == record.team) else {
        return false;
    };
    let used = shard
        .usage_by_team
        .get(&record.team)
        .copied()
        .unwrap_or_default();
    let (cpus, gpus) = shard.quota_share(team);
    let fits = |used: f64, need: f64, limit: f64| used + need <= limit + ROUNDING_TOLERANCE;
    fits(used.cpus, record.resources.cpus, cpus) && fits(used.gpus, record.resources.gpus, gpus)
}

impl ShardOwner {
    /// Returns how many CPUs and GPUs a team may use in this shard; `f64::MAX` for a resource
    /// without a limit.
    pub(crate) fn quota_share(&self, team: &Team) -> (f64, f64) {
        let (cpus, gpus) = match &self.quota_shares {
            None => (team.cpus_max, team.gpus_max),
            Some(shares) => shares.get(&team.name).copied().unwrap_or((0.0, 0.0)),
        };
        let limit = |team_limit: f64, share: f64| if team_limit > 0.0 { share } else { f64::MAX };
        (limit(team.cpus_max, cpus), limit(team.gpus_max, gpus))
    }
}

/// Whether one more task of the job stays within its team's guaranteed quota. A resource without a
/// guarantee is not checked, but a team with no guarantee at all gets false.
pub(crate) fn is_within_guaranteed_quota(
    shard: &ShardOwner,
    settings: &Settings,
    job_state: &JobState,
) -> bool {
    let teams = &settings.platform.facts.teams;
    let Some(team) = teams.iter().find(|team| team.name == job_state.record.team) else {
        return false;
    };
    if team.gpus <= 0.0 && team.cpus <= 0.0 {
        return false;
    }
    let used = shard
        .usage_by_team
        .get(&job_state.record.team)
        .copied()
        .unwrap_or_default();
    let need = job_state.record.resources;
    let fits = |used: f64, need: f64, guaranteed: f64| {
        guaranteed <= 0.0 || used + need <= guaranteed + ROUNDING_TOLERANCE
    };
    fits(used.cpus, need.cpus, team.cpus) && fits(used.gpus, need.gpus, team.gpus)
}

/// Returns the teams other than `team` that use more than their guaranteed quota, or that have
/// none.
pub(crate) fn teams_above_guarantee<'a>(
    shard: &ShardOwner,
    settings: &'a Settings,
    team: &str,
) -> Vec<&'a str> {
    let is_above =
        |used: f64, guaranteed: f64| guaranteed > 0.0 && used > guaranteed + ROUNDING_TOLERANCE;
    let teams = settings.platform.facts.teams.iter();
    let above = teams.filter(|other| {
        let used = shard
            .usage_by_team
            .get(&other.name)
            .copied()
            .unwrap_or_default();
        let has_guarantee = other.cpus > 0.0 || other.gpus > 0.0;
        let is_any_above = is_above(used.cpus, other.cpus) || is_above(used.gpus, other.gpus);
        other.name != team && (!has_guarantee || is_any_above)
    });
    above.map(|other| other.name.as_str()).collect()
}

/// Whether the job's tasks may run on the pool's machine type and market.
pub(crate) fn allows_pool(record: &JobRecord, catalog: &[MachineType], pool: Pool) -> bool {
    let is_market_allowed = record.spot || !pool.is_spot();
    let is_type_allowed = |machine_type: &MachineType| record.allows(&machine_type.name);
    is_market_allowed && pool.type_in(catalog).is_some_and(is_type_allowed)
}

/// Whether the job's next task may run in a zone, given its required zone, its zone affinity and
/// its zone spread. With zone spread, a zone holds at most half of the job's tasks, rounded up.
pub(crate) fn is_zone_allowed(job_state: &JobState, zone: &str) -> bool {
    let record = &job_state.record;
    if record
        .zone
        .as_ref()
        .is_some_and(|required| required != zone)
    {
        return false;
    }
    // Tasks that aren't proven to have stopped count, since they may still run in their zone.
    let mut placements = job_state.placed.values();
    if record.zone_affinity && placements.any(|placement| *placement.zone != *zone) {
        return false;
    }
    if record.zone_spread {
        let tasks_per_zone_max = record.count.div_ceil(2) as usize;
        let placements = job_state.placed.values();
        let in_zone = placements.filter(|placement| *placement.zone == *zone);
        if in_zone.count() >= tasks_per_zone_max {
            return false;
        }
    }
    true
}

/// Whether the machine accepts tasks now: it is ready, stays in the fleet, and has a recent
/// heartbeat or a waiting long poll.
pub(crate) fn is_schedulable(machine: &Machine, settings: &Settings, now: Time) -> bool {
    let heartbeat_age_max_s =
        settings.platform.facts.workers.heartbeat_s * HEARTBEAT_AGE_MAX_INTERVALS;
    machine.ready_since.is_some()
        && machine.decommission_at.is_none()
        && machine.preemption_at.is_none()
        && machine.agent_epoch > 0
        && (machine.long_poll.is_some() || now.since(machine.last_heartbeat) < heartbeat_age_max_s)
        && now >= machine.full_until
}
