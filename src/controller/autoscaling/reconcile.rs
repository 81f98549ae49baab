//! The tick: from the shards' counts to scale-out requests and returns.

use crate::controller::Controller;
use crate::controller::autoscaling::Zones;
use crate::controller::autoscaling::scale_out::ScaleOutStep;
use crate::controller::context::Context;
use crate::controller::pool::Pool;
use crate::ids::MachineId;
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

impl Controller {
    pub(crate) fn reconcile(&mut self) {
        let now = self.context.now;
        let Some(leadership) = &mut self.context.leadership else {
            return;
        };
        let s = &mut leadership.scale;
        let unanswered = s
            .scale_out_requests
            .iter()
            .any(|request| request.step != ScaleOutStep::Answered);
        let shards = self.context.store.mirror.shards.len();
        if s.ready.is_none() && s.listed && !unanswered && leadership.shard_counts.len() >= shards {
            s.ready = Some(now);
            s.reconcile_at = now;
            info!("counts rebuilt, scaling begins");
        }
        let Some(ready) = leadership
            .scale
            .ready
            .filter(|_| now >= leadership.scale.reconcile_at)
        else {
            return;
        };
        leadership.scale.reconcile_at = now.after(self.context.settings.tuning.tick_s);
        self.send_counts();
        let fleet = self.context.count_fleet();
        let Some(leadership) = &mut self.context.leadership else {
            return;
        };
        leadership.needs.clear();
        let ceiling = self.context.settings.ceiling();
        for (pool, shards) in fleet.counts {
            // A machine serves its own shard only, so each shard's gap is its own.
            let (mut wanted, mut gap, mut provisioned) = (0, 0, 0);
            for (shard, count) in &shards {
                let w = count.wanted(ceiling);
                debug!("pool counted, shard={shard} pool={pool:?} wanted={w} count={count:?}");
                let need = w.saturating_sub(count.provisioned);
                (wanted, gap, provisioned) =
                    (wanted + w, gap + need, provisioned + count.provisioned);
                let name = self.context.catalog[pool.machine_type].name.clone();
                leadership
                    .needs
                    .insert((name, pool.is_spot(), *shard), need);
            }
            let window_s = self.context.settings.tuning.window
                * self.context.catalog[pool.machine_type].ready_s;
            leadership.scale.record_wanted(pool, now, wanted, window_s);
            let resources = ceiling.saturating_sub(provisioned);
            if wanted >= ceiling {
                warn!("pool at its ceiling, pool={pool:?} wanted={wanted}");
            }
            let asked = fleet.asked.get(&pool).copied().unwrap_or(0);
            // A machine in the wrong zone is no help to tasks that may not go there.
            let pins = fleet
                .pins
                .iter()
                .filter(|((placement, _), _)| *placement == pool);
            let pins: BTreeMap<&String, u32> = pins.map(|((_, z), n)| (z, *n)).collect();
            let gap = gap.max(pins.values().sum());
            let gap = gap.min(resources).saturating_sub(asked);
            let gap = gap.min(self.context.settings.rise(gap));
            if gap > 0 {
                leadership.scale.plan_scale_out(
                    &self.context.catalog,
                    pool,
                    gap,
                    (&fleet.zones, &pins),
                    leadership.token,
                    now,
                );
            }
            // A new leader hasn't seen how high the count stood before its time.
            if now.since(ready) < window_s {
                continue;
            }
            let keep = leadership.scale.highest(pool).max(wanted);
            let surplus = (provisioned + asked).saturating_sub(keep) as usize;
            let idle = fleet.empty.get(&pool).into_iter().flatten();
            let before = leadership.scale.scale_in.len();
            leadership
                .scale
                .scale_in
                .extend(idle.take(surplus).cloned());
            leadership.scale.plan_changed |= leadership.scale.scale_in.len() > before;
        }
    }
}

impl Context {
    /// Adds up what the shards' owners count.
    fn count_fleet(&self) -> FleetCounts {
        let mut fleet = FleetCounts::default();
        let class = |name: &str| self.catalog.iter().position(|c| c.name == name);
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
