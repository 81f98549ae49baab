//! The tick: from the blocks' counts to rentals and returns.

use super::rentals::{Rental, RentalStep};
use super::{Pool, Zones};
use crate::core::*;
use crate::peer::PoolCount;
use log::{debug, info, warn};

/// What the blocks' holders count, put together.
#[derive(Default)]
struct FleetCounts {
    counts: BTreeMap<Pool, BTreeMap<u32, PoolCount>>,
    zones: Zones,
    pins: Zones,
    empty: BTreeMap<Pool, Vec<MachineId>>,
    /// Machines asked for, without an answer yet.
    asked: BTreeMap<Pool, u32>,
}

impl FleetCounts {
    /// Machines of a pool that were asked for, without an answer yet.
    fn asked_of(&self, pool: Pool) -> u32 {
        self.asked.get(&pool).copied().unwrap_or(0)
    }
}

/// What the blocks want of one pool together, in machines.
#[derive(Default)]
struct PoolDemand {
    wanted: u32,
    gap: u32,
    provisioned: u32,
}

impl Core {
    pub(super) fn tick(&mut self) {
        let Some(ready) = self.tick_due() else {
            return;
        };
        self.send_counts();
        let fleet = self.count_fleet();
        if let Some(lead) = &mut self.lead {
            lead.needs.clear();
        }
        for (pool, blocks) in &fleet.counts {
            let demand = self.pool_demand(*pool, blocks);
            self.rent_missing(*pool, &demand, &fleet);
            // A new leader hasn't seen how high the count stood before its time.
            if self.now.since(ready) >= self.window_s(*pool) {
                self.return_surplus(*pool, &demand, &fleet);
            }
        }
    }

    /// Since when this leader has known enough to rent, if a tick is due.
    fn tick_due(&mut self) -> Option<Time> {
        let now = self.now;
        let blocks = self.cache.blocks.len();
        let lead = self.lead.as_mut()?;
        let s = &mut lead.scale;
        let answered = |rental: &Rental| rental.step == RentalStep::Answered;
        let unanswered = !s.rentals.iter().all(answered);
        if s.ready.is_none() && s.listed && !unanswered && lead.block_counts.len() >= blocks {
            s.ready = Some(now);
            s.tick_at = now;
            info!("counts are rebuilt");
        }
        let ready = s.ready.filter(|_| now >= s.tick_at)?;
        s.tick_at = now.after(self.settings.tuning.tick_s);
        Some(ready)
    }

    /// How long a lower count of a pool has to hold before machines go back, in seconds.
    fn window_s(&self, pool: Pool) -> f64 {
        self.settings.tuning.window * self.catalog[pool.0].ready_s
    }

    /// What a pool's blocks want together, and what each of them lacks.
    fn pool_demand(&mut self, pool: Pool, blocks: &BTreeMap<u32, PoolCount>) -> PoolDemand {
        let (now, window_s, ceiling) = (self.now, self.window_s(pool), self.settings.ceiling());
        let mut demand = PoolDemand::default();
        let Some(lead) = &mut self.lead else {
            return demand;
        };
        // A machine serves its own block only, so each block's gap is its own.
        for (block, count) in blocks {
            let wanted = count.wanted(ceiling);
            debug!("pool {pool:?} of block {block}: {count:?}, wanted {wanted}");
            let need = wanted.saturating_sub(count.provisioned);
            demand.wanted += wanted;
            demand.gap += need;
            demand.provisioned += count.provisioned;
            let name = self.catalog[pool.0].name.clone();
            lead.needs.insert((name, pool.1, *block), need);
        }
        lead.scale.remember(pool, now, demand.wanted, window_s);
        demand
    }

    /// Plans to rent what a pool lacks, below its ceiling and a few at a time.
    fn rent_missing(&mut self, pool: Pool, demand: &PoolDemand, fleet: &FleetCounts) {
        let (now, ceiling) = (self.now, self.settings.ceiling());
        let wanted = demand.wanted;
        if wanted >= ceiling {
            warn!("pool {pool:?} wants {wanted} machines, as many as its ceiling allows");
        }
        // A machine in the wrong zone is no help to tasks that may not go there.
        let pins = fleet.pins.iter().filter(|((p, _), _)| *p == pool);
        let pins: BTreeMap<&String, u32> = pins.map(|((_, z), n)| (z, *n)).collect();
        let room = ceiling.saturating_sub(demand.provisioned);
        let gap = demand.gap.max(pins.values().sum()).min(room);
        let gap = gap.saturating_sub(fleet.asked_of(pool));
        let gap = gap.min(self.settings.rise(gap));
        let Some(lead) = self.lead.as_mut().filter(|_| gap > 0) else {
            return;
        };
        let zones = (&fleet.zones, &pins);
        lead.scale
            .rent(&self.catalog, pool, gap, zones, lead.number, now);
    }

    /// Plans to return empty machines beyond what a pool has wanted of late.
    fn return_surplus(&mut self, pool: Pool, demand: &PoolDemand, fleet: &FleetCounts) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let keep = lead.scale.highest(pool).max(demand.wanted);
        let there = demand.provisioned + fleet.asked_of(pool);
        let surplus = there.saturating_sub(keep) as usize;
        let idle = fleet.empty.get(&pool).into_iter().flatten();
        let before = lead.scale.returns.len();
        lead.scale.returns.extend(idle.take(surplus).cloned());
        lead.scale.plan_dirty |= lead.scale.returns.len() > before;
    }

    /// Adds up what the blocks' holders count.
    fn count_fleet(&self) -> FleetCounts {
        let mut fleet = FleetCounts::default();
        let class = |name: &str| self.catalog.iter().position(|c| c.name == name);
        for t in self.believed() {
            for (name, spot, c) in &t.pools {
                if let Some(class) = class(name) {
                    let pool = fleet.counts.entry((class, *spot)).or_default();
                    pool.insert(t.block, *c);
                }
            }
            for (name, spot, zone, n) in &t.zones {
                if let Some(class) = class(name) {
                    let key = ((class, *spot), zone.clone());
                    *fleet.zones.entry(key).or_default() += n;
                }
            }
            for (name, spot, zone, n) in &t.pins {
                if let Some(class) = class(name) {
                    let key = ((class, *spot), zone.clone());
                    *fleet.pins.entry(key).or_default() += n;
                }
            }
            for (name, spot, id) in &t.empty {
                if let Some(class) = class(name) {
                    let pool = fleet.empty.entry((class, *spot)).or_default();
                    pool.push(id.clone());
                }
            }
        }
        let rentals = self.lead.iter().flat_map(|l| &l.scale.rentals);
        for rental in rentals.filter(|rental| rental.step != RentalStep::Answered) {
            if let Some(class) = class(&rental.rec.class) {
                *fleet.asked.entry((class, rental.rec.spot)).or_default() += rental.rec.count;
            }
        }
        fleet
    }
}
