//! Where a task may run: quota limits and guarantees of its team, machine types, markets and zones,
//! and whether a machine takes tasks now.

use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::JobState;
use crate::controller::store::records::JobRecord;
use crate::ids::Time;
use crate::settings::{Settings, Team};
use crate::wire::MachineType;

/// A machine without a heartbeat for this many heartbeat intervals gets no tasks.
const FRESH_HEARTBEAT_INTERVALS: f64 = 3.5;
/// Tolerance for rounding in sums of what tasks need.
const ROUNDING: f64 = 1e-6;

/// Whether one more task stays within its team's quota limit. Each task that isn't proven
/// gone counts.
pub(crate) fn within_limit(shard: &ShardOwner, settings: &Settings, record: &JobRecord) -> bool {
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
    let fits = |used: f64, need: f64, limit: f64| used + need <= limit + ROUNDING;
    fits(used.cpus, record.resources.cpus, cpus) && fits(used.gpus, record.resources.gpus, gpus)
}

impl ShardOwner {
    /// How many CPUs and GPUs a team may use in this shard; `f64::MAX` without a limit.
    pub(crate) fn quota_share(&self, team: &Team) -> (f64, f64) {
        let (cpus, gpus) = match &self.quota_shares {
            None => (team.cpus_max, team.gpus_max),
            Some(shares) => shares.get(&team.name).copied().unwrap_or((0.0, 0.0)),
        };
        let limit = |team_limit: f64, share: f64| if team_limit > 0.0 { share } else { f64::MAX };
        (limit(team.cpus_max, cpus), limit(team.gpus_max, gpus))
    }
}

/// Whether one more task of a job stays within its team's guaranteed quota.
pub(crate) fn within_guarantee(
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
        guaranteed <= 0.0 || used + need <= guaranteed + ROUNDING
    };
    fits(used.cpus, need.cpus, team.cpus) && fits(used.gpus, need.gpus, team.gpus)
}

/// The other teams that use more than their guaranteed quota now.
pub(crate) fn teams_over_guarantee<'a>(
    shard: &ShardOwner,
    settings: &'a Settings,
    team: &str,
) -> Vec<&'a str> {
    let above = |used: f64, guaranteed: f64| guaranteed > 0.0 && used > guaranteed + ROUNDING;
    let teams = settings.platform.facts.teams.iter();
    let over = teams.filter(|other| {
        let used = shard
            .usage_by_team
            .get(&other.name)
            .copied()
            .unwrap_or_default();
        let guaranteed = other.cpus > 0.0 || other.gpus > 0.0;
        let over = above(used.cpus, other.cpus) || above(used.gpus, other.gpus);
        other.name != team && (!guaranteed || over)
    });
    over.map(|other| other.name.as_str()).collect()
}

/// Whether a job's tasks may run on a pool's machine type and market.
pub(crate) fn suits(record: &JobRecord, catalog: &[MachineType], pool: Pool) -> bool {
    let market_allowed = record.spot || !pool.is_spot();
    let type_allowed = |machine_type: &MachineType| record.allows(&machine_type.name);
    market_allowed && pool.type_in(catalog).is_some_and(type_allowed)
}

/// Whether a job's next task may go to a zone.
pub(crate) fn zone_allowed(job_state: &JobState, zone: &str) -> bool {
    let record = &job_state.record;
    if record
        .zone
        .as_ref()
        .is_some_and(|required| required != zone)
    {
        return false;
    }
    // Tasks that aren't proven gone count: they may still run there.
    let mut placements = job_state.placed.values();
    if record.zone_affinity && placements.any(|placement| *placement.zone != *zone) {
        return false;
    }
    if record.zone_spread {
        let zone_max = record.count.div_ceil(2) as usize;
        let placements = job_state.placed.values();
        let in_zone = placements.filter(|placement| *placement.zone == *zone);
        if in_zone.count() >= zone_max {
            return false;
        }
    }
    true
}

/// Whether a machine may be given tasks at all now.
pub(crate) fn usable(machine: &Machine, settings: &Settings, now: Time) -> bool {
    let fresh_s = settings.platform.facts.workers.report_s * FRESH_HEARTBEAT_INTERVALS;
    machine.ready_since.is_some()
        && machine.decommission_at.is_none()
        && machine.preemption_at.is_none()
        && machine.agent_epoch > 0
        && (machine.long_poll.is_some() || now.since(machine.last_heartbeat) < fresh_s)
        && now >= machine.full_until
}
