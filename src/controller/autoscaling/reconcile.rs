//! The reconcile loop: turns the counts of all shards into scale-out requests and machines to scale
//! in.

use crate::controller::Controller;
use crate::controller::autoscaling::PoolZoneCounts;
use crate::controller::autoscaling::plan::ScaleOutStep;
use crate::controller::autoscaling::scale_out::ScaleOutDemand;
use crate::controller::context::Context;
use crate::controller::pool::Pool;
use crate::ids::{MachineId, Time};
use crate::peer::PoolCount;
use log::{debug, info, warn};
use std::collections::BTreeMap;

/// Counts of all shards, merged.
#[derive(Default)]
struct FleetCounts {
    /// Counts by pool and shard.
    pool_counts: BTreeMap<Pool, BTreeMap<u32, PoolCount>>,
    /// Existing machines, booting ones included, by pool and zone.
    existing_machines: PoolZoneCounts,
    /// Machines missing in particular zones, for tasks restricted to them.
    zone_shortfalls: PoolZoneCounts,
    /// Machines without tasks. Within a shard, those with the fewest cached images come first.
    empty_machines: BTreeMap<Pool, Vec<MachineId>>,
    /// Machines in scale-out requests that are not answered yet.
    requested_machines: BTreeMap<Pool, u32>,
}

/// Demand and supply of one pool over all shards, in machines.
#[derive(Clone, Copy, Debug, Default)]
struct PoolDemand {
    /// Machines wanted.
    wanted: u32,
    /// Existing machines, booting ones included.
    provisioned: u32,
    /// Machines missing: the sum of the gaps of the shards. A machine serves only its own shard, so
    /// a surplus in one shard doesn't reduce the gap of another.
    gap: u32,
}

impl Controller {
    /// Runs one pass of the reconcile loop if it is due: plans scale-out requests and machines to
    /// scale in for each pool.
    pub(crate) fn reconcile(&mut self) {
        let Some(counts_complete_at) = self.context.start_reconcile_if_due() else {
            return;
        };
        self.send_counts();
        let fleet = self.context.count_fleet();
        if let Some(leadership) = &mut self.context.leadership {
            leadership.machine_shortfall.clear();
        }
        for (pool, shards) in &fleet.pool_counts {
            let demand = self.context.count_demand(*pool, shards);
            self.context
                .scale_pool(&fleet, *pool, demand, counts_complete_at);
        }
    }
}

impl Context {
    /// Returns since when the counts are complete, if they are and the next pass is due. Schedules
    /// the pass after that.
    ///
    /// Counts of a new leader are complete once the list of machines is, each shard has reported,
    /// and no scale-out request is unanswered.
    fn start_reconcile_if_due(&mut self) -> Option<Time> {
        let now = self.now;
        let shards = self.store.mirror.shards.len();
        let leadership = self.leadership.as_mut()?;
        let has_all_counts = leadership.shard_counts.len() >= shards;
        let scale = &mut leadership.scale;
        let mut requests = scale.scale_out_requests.iter();
        let has_unanswered = requests.any(|request| request.step != ScaleOutStep::Answered);
        if scale.counts_complete_at.is_none()
            && scale.has_machine_list
            && !has_unanswered
            && has_all_counts
        {
            scale.counts_complete_at = Some(now);
            scale.next_reconcile_at = now;
            info!("counts rebuilt, scaling begins");
        }
        let counts_complete_at = scale
            .counts_complete_at
            .filter(|_| now >= scale.next_reconcile_at)?;
        scale.next_reconcile_at = now.after(self.settings.tuning.tick_s);
        Some(counts_complete_at)
    }

    /// Sums up the demand of the shards for a pool, and records the gap of each shard.
    fn count_demand(&mut self, pool: Pool, shards: &BTreeMap<u32, PoolCount>) -> PoolDemand {
        let ceiling = self.settings.ceiling();
        let mut demand = PoolDemand::default();
        for (shard, count) in shards {
            let wanted = count.machines_wanted(ceiling);
            debug!("pool counted, shard={shard} pool={pool:?} wanted={wanted} count={count:?}");
            let gap = wanted.saturating_sub(count.provisioned);
            demand.wanted += wanted;
            demand.provisioned += count.provisioned;
            demand.gap += gap;
            if let (Some(leadership), Some(machine_type)) =
                (&mut self.leadership, pool.type_in(&self.cloud.catalog))
            {
                let key = (machine_type.name.clone(), pool.is_spot(), *shard);
                leadership.machine_shortfall.insert(key, gap);
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

    /// Plans the scale-out and the scale-in of one pool.
    fn scale_pool(
        &mut self,
        fleet: &FleetCounts,
        pool: Pool,
        demand: PoolDemand,
        counts_complete_at: Time,
    ) {
        let now = self.now;
        let (Some(leadership), Some(machine_type)) =
            (&mut self.leadership, pool.type_in(&self.cloud.catalog))
        else {
            return;
        };
        let scale = &mut leadership.scale;
        let window_s = self.settings.tuning.scale_in_delay_boots * machine_type.ready_s;
        scale.record_wanted(pool, now, demand.wanted, window_s);
        // Shortfalls in particular zones count separately, since tasks restricted to a zone can't
        // use machines in other zones.
        let shortfalls = fleet
            .zone_shortfalls
            .iter()
            .filter(|((shortfall_pool, _), _)| *shortfall_pool == pool);
        let shortfall_by_zone: BTreeMap<&String, u32> = shortfalls
            .map(|((_, zone), count)| (zone, *count))
            .collect();
        let requested = fleet.requested_machines.get(&pool).copied().unwrap_or(0);
        let below_ceiling = self.settings.ceiling().saturating_sub(demand.provisioned);
        let gap = demand.gap.max(shortfall_by_zone.values().sum());
        let gap = gap.min(below_ceiling).saturating_sub(requested);
        let gap = gap.min(self.settings.scale_out_step_max(gap));
        if gap > 0 {
            let demand = ScaleOutDemand {
                pool,
                gap,
                shortfall_by_zone: &shortfall_by_zone,
                existing_machines: &fleet.existing_machines,
            };
            scale.plan_scale_out(&self.cloud.catalog, &demand, leadership.token, now);
        }
        // A new leader scales in only after a full stabilization window, because it doesn't know
        // the demand before its election.
        if now.since(counts_complete_at) >= window_s {
            let kept = scale.highest_wanted(pool).max(demand.wanted);
            let surplus = (demand.provisioned + requested).saturating_sub(kept);
            let empty = fleet.empty_machines.get(&pool).into_iter().flatten();
            scale.plan_scale_in(empty, surplus as usize);
        }
    }

    /// Merges the current counts of all shards. Machine types that the catalog doesn't have are
    /// left out.
    fn count_fleet(&self) -> FleetCounts {
        let mut fleet = FleetCounts::default();
        for shard_counts in self.valid_counts() {
            for (type_name, spot, count) in &shard_counts.pools {
                if let Some(pool) = self.pool_by_type_name(type_name, *spot) {
                    let by_shard = fleet.pool_counts.entry(pool).or_default();
                    by_shard.insert(shard_counts.shard, *count);
                }
            }
            for (type_name, spot, zone, count) in &shard_counts.machines_by_zone {
                if let Some(pool) = self.pool_by_type_name(type_name, *spot) {
                    *fleet
                        .existing_machines
                        .entry((pool, zone.clone()))
                        .or_default() += count;
                }
            }
            for (type_name, spot, zone, count) in &shard_counts.zone_shortfalls {
                if let Some(pool) = self.pool_by_type_name(type_name, *spot) {
                    *fleet
                        .zone_shortfalls
                        .entry((pool, zone.clone()))
                        .or_default() += count;
                }
            }
            for (type_name, spot, id) in &shard_counts.empty_machines {
                if let Some(pool) = self.pool_by_type_name(type_name, *spot) {
                    fleet
                        .empty_machines
                        .entry(pool)
                        .or_default()
                        .push(id.clone());
                }
            }
        }
        let leadership = self.leadership.iter();
        let requests = leadership.flat_map(|leadership| &leadership.scale.scale_out_requests);
        for request in requests.filter(|request| request.step != ScaleOutStep::Answered) {
            let record = &request.record;
            if let Some(pool) = self.pool_by_type_name(&record.class, record.spot) {
                *fleet.requested_machines.entry(pool).or_default() += record.count;
            }
        }
        fleet
    }

    /// Returns the pool of a machine type by its name, if the catalog has the type.
    fn pool_by_type_name(&self, type_name: &str, spot: bool) -> Option<Pool> {
        let mut types = self.cloud.catalog.iter();
        let index = types.position(|machine_type| machine_type.name == type_name)?;
        Some(Pool::of(index, spot))
    }
}
