//! The reconcile turn: from the shards' counts to scale-out requests and returns.

use crate::controller::Controller;
use crate::controller::autoscaling::Zones;
use crate::controller::autoscaling::scale_out::ScaleOutStep;
use crate::controller::context::Context;
use crate::controller::pool::Pool;
use crate::ids::{MachineId, Time};
use crate::peer::PoolCount;
use log::{debug, info, warn};
use std::collections::BTreeMap;

/// What the shards' owners count, put together.
#[derive(Default)]
struct FleetCounts {
    counts: BTreeMap<Pool, BTreeMap<u32, PoolCount>>,
    zones: Zones,
    pins: Zones,
    empty: BTreeMap<Pool, Vec<MachineId>>,
    /// Machines asked for, without an answer yet.
    asked: BTreeMap<Pool, u32>,
}

/// What is wanted of one pool, over all shards.
#[derive(Clone, Copy, Debug, Default)]
struct PoolDemand {
    wanted: u32,
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
    /// Since when counts are rebuilt, if it is time for the next turn.
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

    /// Adds up what the shards want of a pool, and takes note of what each of them lacks.
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
            if let (Some(leadership), Some(found)) =
                (&mut self.leadership, pool.type_in(&self.cloud.catalog))
            {
                let key = (found.name.clone(), pool.is_spot(), *shard);
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

    /// Plans what to scale out, and what to give back, of one pool.
    fn scale_pool(&mut self, fleet: &FleetCounts, pool: Pool, demand: PoolDemand, ready: Time) {
        let now = self.now;
        let (Some(leadership), Some(machine_type)) =
            (&mut self.leadership, pool.type_in(&self.cloud.catalog))
        else {
            return;
        };
        let scale = &mut leadership.scale;
        let PoolDemand {
            wanted,
            provisioned,
            gap,
        } = demand;
        let window_s = self.settings.tuning.window * machine_type.ready_s;
        scale.record_wanted(pool, now, wanted, window_s);
        let asked = fleet.asked.get(&pool).copied().unwrap_or(0);
        // A machine in the wrong zone is no help to tasks that may not go there.
        let pins = fleet.pins.iter().filter(|((of, _), _)| *of == pool);
        let pins: BTreeMap<&String, u32> = pins.map(|((_, zone), n)| (zone, *n)).collect();
        let below_ceiling = self.settings.ceiling().saturating_sub(provisioned);
        let gap = gap.max(pins.values().sum());
        let gap = gap.min(below_ceiling).saturating_sub(asked);
        let gap = gap.min(self.settings.rise(gap));
        if gap > 0 {
            let zones = (&fleet.zones, &pins);
            scale.plan_scale_out(&self.cloud.catalog, pool, gap, zones, leadership.token, now);
        }
        // A new leader hasn't seen how high the count stood before its time.
        if now.since(ready) < window_s {
            return;
        }
        let keep = scale.highest(pool).max(wanted);
        let surplus = (provisioned + asked).saturating_sub(keep) as usize;
        let idle = fleet.empty.get(&pool).into_iter().flatten();
        let before = scale.scale_in.len();
        scale.scale_in.extend(idle.take(surplus).cloned());
        scale.plan_changed |= scale.scale_in.len() > before;
    }
}

impl Context {
    /// Adds up what the shards' owners count.
    fn count_fleet(&self) -> FleetCounts {
        let mut fleet = FleetCounts::default();
        let class = |name: &str| self.cloud.catalog.iter().position(|c| c.name == name);
        for t in self.believed() {
            for (name, spot, c) in &t.pools {
                if let Some(class) = class(name) {
                    let pool = fleet.counts.entry(Pool::of(class, *spot)).or_default();
                    pool.insert(t.shard, *c);
                }
            }
            for (name, spot, zone, n) in &t.zones {
                if let Some(class) = class(name) {
                    let key = (Pool::of(class, *spot), zone.clone());
                    *fleet.zones.entry(key).or_default() += n;
                }
            }
            for (name, spot, zone, n) in &t.pins {
                if let Some(class) = class(name) {
                    let key = (Pool::of(class, *spot), zone.clone());
                    *fleet.pins.entry(key).or_default() += n;
                }
            }
            for (name, spot, id) in &t.empty {
                if let Some(class) = class(name) {
                    let pool = fleet.empty.entry(Pool::of(class, *spot)).or_default();
                    pool.push(id.clone());
                }
            }
        }
        let scale_out_requests = self
            .leadership
            .iter()
            .flat_map(|l| &l.scale.scale_out_requests);
        for request in scale_out_requests.filter(|request| request.step != ScaleOutStep::Answered) {
            if let Some(class) = class(&request.record.class) {
                *fleet
                    .asked
                    .entry(Pool::of(class, request.record.spot))
                    .or_default() += request.record.count;
            }
        }
        fleet
    }
}
