//! The reconcile loop: from the shards' counts to scale-out requests and machines to give back.

use crate::controller::Controller;
use crate::controller::autoscaling::Zones;
use crate::controller::autoscaling::plan::ScaleOutStep;
use crate::controller::autoscaling::scale_out::ScaleOutDemand;
use crate::controller::context::Context;
use crate::controller::pool::Pool;
use crate::ids::{MachineId, Time};
use crate::peer::PoolCount;
use log::{debug, info, warn};
use std::collections::BTreeMap;

/// What the shards' owners count, put together.
#[derive(Default)]
struct FleetCounts {
    /// Each shard's count of each pool.
    counts: BTreeMap<Pool, BTreeMap<u32, PoolCount>>,
    /// Machines that there are.
    machines: Zones,
    /// Machines lacking in particular zones.
    lacking: Zones,
    /// Machines without tasks, those that are missed least first.
    empty: BTreeMap<Pool, Vec<MachineId>>,
    /// Machines in scale-out requests without an answer yet.
    requested: BTreeMap<Pool, u32>,
}

/// What is wanted of one pool, over all shards.
#[derive(Clone, Copy, Debug, Default)]
struct PoolDemand {
    /// Machines wanted.
    wanted: u32,
    /// Machines that there are, booting ones included.
    provisioned: u32,
    /// Machines lacking. A machine serves its own shard only, so each shard's gap is its own.
    gap: u32,
}

impl Controller {
    /// One turn of the reconcile loop: from counts to scale-out requests and machines to give back.
    pub(crate) fn reconcile(&mut self) {
        let Some(ready) = self.context.reconcile_due() else {
            return;
        };
        self.send_counts();
        let fleet = self.context.count_fleet();
        if let Some(leadership) = &mut self.context.leadership {
            leadership.lacking_machines.clear();
        }
        for (pool, shards) in &fleet.counts {
            let demand = self.context.count_demand(*pool, shards);
            self.context.scale_pool(&fleet, *pool, demand, ready);
        }
    }
}

impl Context {
    /// Since when counts are rebuilt, if the next turn is due.
    fn reconcile_due(&mut self) -> Option<Time> {
        let now = self.now;
        let shards = self.store.mirror.shards.len();
        let leadership = self.leadership.as_mut()?;
        let counted = leadership.shard_counts.len() >= shards;
        let scale = &mut leadership.scale;
        let mut requests = scale.scale_out_requests.iter();
        let unanswered = requests.any(|request| request.step != ScaleOutStep::Answered);
        if scale.ready.is_none() && scale.listed && !unanswered && counted {
            scale.ready = Some(now);
            scale.reconcile_at = now;
            info!("counts rebuilt, scaling begins");
        }
        let ready = scale.ready.filter(|_| now >= scale.reconcile_at)?;
        scale.reconcile_at = now.after(self.settings.tuning.tick_s);
        Some(ready)
    }

    /// Adds up what the shards want of a pool, and records what each of them lacks.
    fn count_demand(&mut self, pool: Pool, shards: &BTreeMap<u32, PoolCount>) -> PoolDemand {
        let ceiling = self.settings.ceiling();
        let mut demand = PoolDemand::default();
        for (shard, count) in shards {
            let wanted = count.wanted(ceiling);
            debug!("pool counted, shard={shard} pool={pool:?} wanted={wanted} count={count:?}");
            let gap = wanted.saturating_sub(count.provisioned);
            demand.wanted += wanted;
            demand.provisioned += count.provisioned;
            demand.gap += gap;
            if let (Some(leadership), Some(machine_type)) =
                (&mut self.leadership, pool.type_in(&self.cloud.catalog))
            {
                let key = (machine_type.name.clone(), pool.is_spot(), *shard);
                leadership.lacking_machines.insert(key, gap);
            }
        }
        if demand.wanted >= ceiling {
            warn!(
                "pool at its ceiling, pool={pool:?} wanted={}",
                demand.wanted
            );
        }
        demand
    }

    /// Plans what to scale out and what to scale in of one pool.
    fn scale_pool(&mut self, fleet: &FleetCounts, pool: Pool, demand: PoolDemand, ready: Time) {
        let now = self.now;
        let (Some(leadership), Some(machine_type)) =
            (&mut self.leadership, pool.type_in(&self.cloud.catalog))
        else {
            return;
        };
        let scale = &mut leadership.scale;
        let window_s = self.settings.tuning.window * machine_type.ready_s;
        scale.record_wanted(pool, now, demand.wanted, window_s);
        // A machine in the wrong zone is no help to tasks that may not go there.
        let lacking = fleet.lacking.iter().filter(|((of, _), _)| *of == pool);
        let by_zone: BTreeMap<&String, u32> =
            lacking.map(|((_, zone), count)| (zone, *count)).collect();
        let requested = fleet.requested.get(&pool).copied().unwrap_or(0);
        let below_ceiling = self.settings.ceiling().saturating_sub(demand.provisioned);
        let gap = demand.gap.max(by_zone.values().sum());
        let gap = gap.min(below_ceiling).saturating_sub(requested);
        let gap = gap.min(self.settings.rise(gap));
        if gap > 0 {
            let demand = ScaleOutDemand {
                pool,
                gap,
                by_zone: &by_zone,
                existing: &fleet.machines,
            };
            scale.plan_scale_out(&self.cloud.catalog, &demand, leadership.token, now);
        }
        // A new leader doesn't know the highest count before it was elected.
        if now.since(ready) >= window_s {
            let kept = scale.highest_wanted(pool).max(demand.wanted);
            let surplus = (demand.provisioned + requested).saturating_sub(kept);
            let empty = fleet.empty.get(&pool).into_iter().flatten();
            scale.plan_scale_in(empty, surplus as usize);
        }
    }

    /// Adds up what the shards' owners count. Types that the catalog doesn't have are left out.
    fn count_fleet(&self) -> FleetCounts {
        let mut fleet = FleetCounts::default();
        for shard_counts in self.valid_counts() {
            for (type_name, spot, count) in &shard_counts.pools {
                if let Some(pool) = self.pool_named(type_name, *spot) {
                    let by_shard = fleet.counts.entry(pool).or_default();
                    by_shard.insert(shard_counts.shard, *count);
                }
            }
            for (type_name, spot, zone, count) in &shard_counts.zones {
                if let Some(pool) = self.pool_named(type_name, *spot) {
                    *fleet.machines.entry((pool, zone.clone())).or_default() += count;
                }
            }
            for (type_name, spot, zone, count) in &shard_counts.pins {
                if let Some(pool) = self.pool_named(type_name, *spot) {
                    *fleet.lacking.entry((pool, zone.clone())).or_default() += count;
                }
            }
            for (type_name, spot, id) in &shard_counts.empty {
                if let Some(pool) = self.pool_named(type_name, *spot) {
                    fleet.empty.entry(pool).or_default().push(id.clone());
                }
            }
        }
        let leadership = self.leadership.iter();
        let requests = leadership.flat_map(|leadership| &leadership.scale.scale_out_requests);
        for request in requests.filter(|request| request.step != ScaleOutStep::Answered) {
            let record = &request.record;
            if let Some(pool) = self.pool_named(&record.class, record.spot) {
                *fleet.requested.entry(pool).or_default() += record.count;
            }
        }
        fleet
    }

    /// The pool of a type by its name, if the catalog has it.
    fn pool_named(&self, type_name: &str, spot: bool) -> Option<Pool> {
        let mut types = self.cloud.catalog.iter();
        let index = types.position(|machine_type| machine_type.name == type_name)?;
        Some(Pool::of(index, spot))
    }
}
