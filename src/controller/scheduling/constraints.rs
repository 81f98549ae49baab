//! What teams, jobs and machine types allow: limits, guarantees, zones and kinds.

use crate::controller::pool::Pool;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::job::JobState;
use crate::controller::store::records::JobRecord;
use crate::settings::{Settings, Team};
use crate::wire::MachineType;

/// Whether one more task stays within its team's limit. Every task that isn't proven
/// gone counts.
pub(crate) fn within_limit(shard: &ShardOwner, settings: &Settings, record: &JobRecord) -> bool {
    let teams = &settings.platform.facts.teams;
    let Some(team) = teams.iter().find(|t| t.name == record.team) else {
        return false;
    };
    let used = shard.teams.get(&record.team).copied().unwrap_or_default();
    let (cpus, gpus) = shard.quota_share(team);
    let fits = |used: f64, need: f64, max: f64| used + need <= max + 1e-6;
    fits(used.cpus, record.resources.cpus, cpus) && fits(used.gpus, record.resources.gpus, gpus)
}

impl ShardOwner {
    /// How many CPUs and GPUs a team may use in this shard.
    pub(crate) fn quota_share(&self, team: &Team) -> (f64, f64) {
        let given = self
            .quota_shares
            .as_ref()
            .map(|a| a.get(&team.name).copied());
        let (cpus, gpus) = match given {
            None => (team.cpus_max, team.gpus_max),
            Some(given) => given.unwrap_or((0.0, 0.0)),
        };
        let limit = |max: f64, here: f64| if max > 0.0 { here } else { f64::MAX };
        (limit(team.cpus_max, cpus), limit(team.gpus_max, gpus))
    }
}

/// Whether a task fits into what its team is guaranteed.
pub(crate) fn within_guarantee(
    shard: &ShardOwner,
    settings: &Settings,
    job_state: &JobState,
) -> bool {
    let teams = &settings.platform.facts.teams;
    let Some(team) = teams.iter().find(|t| t.name == job_state.record.team) else {
        return false;
    };
    if team.gpus <= 0.0 && team.cpus <= 0.0 {
        return false;
    }
    let used = shard
        .teams
        .get(&job_state.record.team)
        .copied()
        .unwrap_or_default();
    let need = job_state.record.resources;
    let fits = |used: f64, need: f64, sure: f64| sure <= 0.0 || used + need <= sure + 1e-6;
    fits(used.cpus, need.cpus, team.cpus) && fits(used.gpus, need.gpus, team.gpus)
}

/// The other teams that use more than they are guaranteed, while they do.
pub(crate) fn teams_over_guarantee<'a>(
    shard: &ShardOwner,
    settings: &'a Settings,
    team: &str,
) -> Vec<&'a str> {
    let teams = settings.platform.facts.teams.iter();
    let over = teams.filter(|t| {
        let used = shard.teams.get(&t.name).copied().unwrap_or_default();
        let guaranteed = t.cpus > 0.0 || t.gpus > 0.0;
        let above = |used: f64, sure: f64| sure > 0.0 && used > sure + 1e-6;
        t.name != team && (!guaranteed || above(used.cpus, t.cpus) || above(used.gpus, t.gpus))
    });
    over.map(|t| t.name.as_str()).collect()
}

/// Whether a job's tasks may run on a type and kind of machine.
pub(crate) fn suits(record: &JobRecord, catalog: &[MachineType], pool: Pool) -> bool {
    let market = record.spot || !pool.is_spot();
    market
        && pool
            .type_in(catalog)
            .is_some_and(|c| record.allows(&c.name))
}

/// Whether a zone may take this job's next task.
pub(crate) fn zone_allowed(job_state: &JobState, zone: &str) -> bool {
    let record = &job_state.record;
    if record.zone.as_ref().is_some_and(|z| z != zone) {
        return false;
    }
    // Tasks in doubt count: they may be there.
    if record.zone_affinity && job_state.placed.values().any(|p| *p.zone != *zone) {
        return false;
    }
    if record.zone_spread {
        let most = record.count.div_ceil(2) as usize;
        let there = job_state
            .placed
            .values()
            .filter(|p| *p.zone == *zone)
            .count();
        if there >= most {
            return false;
        }
    }
    true
}
