//! What the owner of each shard counts for the leader, and which counts the leader believes.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::pool::Pool;
use crate::controller::shard::ShardOwner;
use crate::controller::shards::machine_assignment::GONE_S;
use crate::peer::{Message, ShardCounts, TeamCount};
use std::collections::BTreeMap;

/// Longest list of empty or deleted machines in one message.
pub(crate) const NAMES_MAX: usize = 100;

/// Counts older than this are no longer believed, in reconcile turns.
pub(crate) const STALE_TICKS: f64 = 3.0;

impl Controller {
    pub(crate) fn send_counts(&mut self) {
        for shard in self.shards.values() {
            shard.report_counts(&mut self.context);
        }
    }
}

impl Context {
    pub(crate) fn on_shard_counts(&mut self, shard_counts: ShardCounts) {
        let now = self.now;
        if let Some(leadership) = &mut self.leadership {
            leadership
                .deleted_machines
                .retain(|_, at| now.since(*at) < GONE_S);
            leadership
                .deleted_machines
                .extend(shard_counts.gone.iter().map(|id| (id.clone(), now)));
            leadership
                .shard_counts
                .insert(shard_counts.shard, (shard_counts, now));
        }
    }

    /// Counts that are believed: of the present owner, and not too old.
    pub(crate) fn believed_counts(&self) -> Vec<&ShardCounts> {
        let stale = self.settings.tuning.tick_s * STALE_TICKS;
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let all = leadership.shard_counts.values();
        let good = all.filter(|(t, at)| {
            let record = self
                .store
                .mirror
                .shards
                .get(&t.shard)
                .and_then(|b| b.record.as_ref());
            record.is_some_and(|b| b.token == t.token) && self.now.since(*at) < stale
        });
        good.map(|(t, _)| t).collect()
    }
}

impl ShardOwner {
    pub(crate) fn shard_counts(&self, context: &Context) -> ShardCounts {
        let catalog = &context.cloud.catalog;
        let closed = context.store.mirror.exhausted_pools();
        let named = |pool: Pool| pool.type_in(catalog).map(|found| found.name.clone());
        let pools = self
            .count_pools(catalog, &context.settings, closed, context.now)
            .into_iter();
        let pools = pools.filter_map(|(pool, c)| Some((named(pool)?, pool.is_spot(), c)));
        let mut zones: BTreeMap<(String, bool, String), u32> = BTreeMap::new();
        let mut empty = Vec::new();
        for (id, machine) in self.machines.iter() {
            let key = (
                machine.type_name.to_string(),
                machine.spot,
                machine.zone.to_string(),
            );
            *zones.entry(key).or_default() += 1;
            if machine.ready_since.is_some()
                && machine.tasks.is_empty()
                && machine.decommission_at.is_none()
            {
                let name = machine.type_name.to_string();
                empty.push((machine.images.len(), (name, machine.spot, id.clone())));
            }
        }
        let pins = self.zone_shortfalls(catalog, closed).into_iter();
        let pins =
            pins.filter_map(|((pool, zone), n)| Some((named(pool)?, pool.is_spot(), zone, n)));
        // Those with the fewest images are missed least.
        empty.sort();
        let empty = empty.into_iter().map(|(_, e)| e).take(NAMES_MAX);
        let zones = zones.into_iter().map(|((c, s, z), n)| (c, s, z, n));
        ShardCounts {
            from: context.settings.platform.controller_id.clone(),
            shard: self.shard,
            token: self.token,
            revision: self.shard_revision,
            pools: pools.collect(),
            zones: zones.collect(),
            pins: pins.collect(),
            empty: empty.collect(),
            gone: self
                .deleted_machines
                .keys()
                .rev()
                .take(NAMES_MAX)
                .cloned()
                .collect(),
            teams: self.team_counts(),
        }
    }

    pub(crate) fn team_counts(&self) -> Vec<(String, TeamCount)> {
        let mut counts: BTreeMap<&str, TeamCount> = BTreeMap::new();
        for (team, used) in &self.teams {
            let c = counts.entry(team).or_default();
            (c.cpus, c.gpus) = (used.cpus, used.gpus);
            (c.cpus_wanted, c.gpus_wanted) = (used.cpus, used.gpus);
        }
        for job_state in self.waiting.iter().filter_map(|id| self.jobs.get(id)) {
            let c = counts.entry(&job_state.record.team).or_default();
            c.cpus_wanted += f64::from(job_state.queued()) * job_state.record.resources.cpus;
            c.gpus_wanted += f64::from(job_state.queued()) * job_state.record.resources.gpus;
        }
        let counts = counts.into_iter();
        counts.map(|(team, c)| (team.to_string(), c)).collect()
    }
}

impl ShardOwner {
    /// Tells the leader what the shard given counts.
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
