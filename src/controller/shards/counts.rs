//! The counts that the owner of each shard reports to the leader, and which of them the leader
//! uses.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::pool::Pool;
use crate::controller::shard::ShardOwner;
use crate::controller::shards::machine_assignment::DELETED_MACHINE_KEPT_S;
use crate::peer::{Message, ShardCounts, TeamCount};
use std::collections::BTreeMap;

/// Maximum number of empty machines, and of deleted machines, that one message lists.
pub(crate) const MACHINES_LISTED_MAX: usize = 100;

/// Age from which counts are no longer used, in ticks of the autoscaler.
pub(crate) const COUNTS_STALE_TICKS: f64 = 3.0;

impl Controller {
    /// Reports the counts of all shards that this controller owns to the leader.
    pub(crate) fn send_counts(&mut self) {
        for shard in self.shards.values() {
            shard.report_counts(&mut self.context);
        }
    }
}

impl Context {
    /// Stores the counts of a shard, and remembers the deleted machines that they list, if this
    /// controller is the leader.
    pub(crate) fn on_shard_counts(&mut self, shard_counts: ShardCounts) {
        let now = self.now;
        if let Some(leadership) = &mut self.leadership {
            leadership
                .deleted_machines
                .retain(|_, at| now.since(*at) < DELETED_MACHINE_KEPT_S);
            leadership.deleted_machines.extend(
                shard_counts
                    .deleted_machines
                    .iter()
                    .map(|id| (id.clone(), now)),
            );
            leadership
                .shard_counts
                .insert(shard_counts.shard, (shard_counts, now));
        }
    }

    /// The latest counts of each shard that the shard's current owner reported and that aren't
    /// stale.
    pub(crate) fn valid_counts(&self) -> Vec<&ShardCounts> {
        let stale_s = self.settings.tuning.tick_s * COUNTS_STALE_TICKS;
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let latest = leadership.shard_counts.values();
        let valid = latest.filter(|(counts, at)| {
            let record = self
                .store
                .mirror
                .shards
                .get(&counts.shard)
                .and_then(|slot| slot.record.as_ref());
            record.is_some_and(|record| record.token == counts.token)
                && self.now.since(*at) < stale_s
        });
        valid.map(|(counts, _)| counts).collect()
    }
}

impl ShardOwner {
    /// Counts the shard's machines, demand and use for the leader.
    pub(crate) fn shard_counts(&self, context: &Context) -> ShardCounts {
        let catalog = &context.cloud.catalog;
        let exhausted = context.store.mirror.exhausted_pools();
        let type_name = |pool: Pool| pool.type_in(catalog).map(|found| found.name.clone());
        let pools = self
            .count_pools(catalog, &context.settings, exhausted, context.now)
            .into_iter();
        let pools =
            pools.filter_map(|(pool, count)| Some((type_name(pool)?, pool.is_spot(), count)));
        let mut machines_by_zone: BTreeMap<(String, bool, String), u32> = BTreeMap::new();
        let mut empty = Vec::new();
        for (id, machine) in self.machines.iter() {
            let key = (
                machine.type_name.to_string(),
                machine.spot,
                machine.zone.to_string(),
            );
            *machines_by_zone.entry(key).or_default() += 1;
            if machine.ready_since.is_some()
                && machine.tasks.is_empty()
                && machine.decommission_at.is_none()
            {
                let type_name = machine.type_name.to_string();
                empty.push((machine.images.len(), (type_name, machine.spot, id.clone())));
            }
        }
        let zone_shortfalls = self.zone_shortfalls(catalog, exhausted).into_iter();
        let zone_shortfalls = zone_shortfalls.filter_map(|((pool, zone), count)| {
            Some((type_name(pool)?, pool.is_spot(), zone, count))
        });
        // The machines with the fewest cached images come first, as they are the least useful.
        empty.sort();
        let empty = empty
            .into_iter()
            .map(|(_, entry)| entry)
            .take(MACHINES_LISTED_MAX);
        let machines_by_zone = machines_by_zone
            .into_iter()
            .map(|((type_name, spot, zone), count)| (type_name, spot, zone, count));
        ShardCounts {
            from: context.settings.platform.controller_id.clone(),
            shard: self.shard,
            token: self.token,
            revision: self.shard_revision,
            pools: pools.collect(),
            machines_by_zone: machines_by_zone.collect(),
            zone_shortfalls: zone_shortfalls.collect(),
            empty_machines: empty.collect(),
            deleted_machines: self
                .deleted_machines
                .keys()
                .rev()
                .take(MACHINES_LISTED_MAX)
                .cloned()
                .collect(),
            teams: self.counts_by_team(),
        }
    }

    /// CPUs and GPUs that each team uses, and those that it would use if all its queued tasks ran.
    pub(crate) fn counts_by_team(&self) -> Vec<(String, TeamCount)> {
        let mut counts: BTreeMap<&str, TeamCount> = BTreeMap::new();
        for (team, used) in &self.usage_by_team {
            let count = counts.entry(team).or_default();
            (count.cpus, count.gpus) = (used.cpus, used.gpus);
            (count.cpus_wanted, count.gpus_wanted) = (used.cpus, used.gpus);
        }
        for job_state in self
            .jobs_with_queued_tasks
            .iter()
            .filter_map(|id| self.jobs.get(id))
        {
            let count = counts.entry(&job_state.record.team).or_default();
            count.cpus_wanted += f64::from(job_state.queued()) * job_state.record.resources.cpus;
            count.gpus_wanted += f64::from(job_state.queued()) * job_state.record.resources.gpus;
        }
        let counts = counts.into_iter();
        counts
            .map(|(team, count)| (team.to_string(), count))
            .collect()
    }
}

impl ShardOwner {
    /// Reports the shard's counts to the leader, which may be this process.
    pub(crate) fn report_counts(&self, context: &mut Context) {
        let shard_counts = self.shard_counts(context);
        if context.leadership.is_some() {
            return context.on_shard_counts(shard_counts);
        }
        let leader = context.store.mirror.leader_id().cloned();
        if leader.is_some() {
            let message = Message::ShardCounts(Box::new(shard_counts));
            context.outbox.send_to_peer(leader, message);
        }
    }
}
