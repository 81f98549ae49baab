//! Rentals: planned, written, sent, and repeated under their names until they are answered.

use crate::controller::Core;
use crate::controller::autoscaling::plan::Scale;
use crate::controller::autoscaling::{CloudPurpose, Pool, REPEAT_S, Zones};
use crate::controller::machines::inventory::Machine;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{Closed, RentalRec};
use crate::ids::{MachineId, Number, Time};
use crate::wire::{ClassInfo, CloudOp, CloudReply};
use log::{info, warn};
use std::collections::BTreeMap;

/// Pauses after a refusal, in boot times of nothing: plain seconds.
const REFUSED_S: f64 = 10.0;
const REFUSED_MAX_S: f64 = 80.0;
/// Most machines that one rental may ask for.
const RENT_MAX: u32 = 50;

/// A request to rent.
#[derive(Debug)]
pub(crate) struct Rental {
    pub(crate) rec: RentalRec,
    pub(crate) step: RentalStep,
    pub(crate) at: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RentalStep {
    /// Not yet in the written plan.
    Planned,
    /// Written: may be sent.
    Written,
    Sent,
    /// Answered; kept in the plan until lists surely show its machines.
    Answered,
}

impl Core {
    pub(crate) fn send_rentals(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_ref().filter(|_| self.may_use_cloud()) else {
            return;
        };
        let due: Vec<RentalRec> = lead
            .scale
            .rentals
            .iter()
            .filter(|rental| rental.step == RentalStep::Written && now >= rental.at)
            .map(|rental| rental.rec.clone())
            .collect();
        for rec in due {
            let name = rec.name.clone();
            let purpose = CloudPurpose::Rent(name.clone());
            if !self.cloud_call(CloudOp::Rent(rec), purpose, Priority::Usual) {
                return;
            }
            if let Some(lead) = &mut self.lead {
                lead.scale.step(&name, RentalStep::Sent, now);
            }
        }
    }

    pub(crate) fn on_rented(&mut self, name: &str, reply: CloudReply) {
        let now = self.now;
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(rec) = lead
            .scale
            .rentals
            .iter()
            .find(|rental| rental.rec.name == name)
        else {
            return;
        };
        let rec = rec.rec.clone();
        let class = self.catalog.iter().position(|c| c.name == rec.class);
        let Some(class) = class else {
            return;
        };
        let place = (class, rec.zone.clone(), rec.spot);
        match reply {
            CloudReply::Rented(rigs) => {
                info!(
                    "rented {} of {} {} in {}{}",
                    rigs.len(),
                    rec.count,
                    rec.class,
                    rec.zone,
                    if rec.spot { ", spot" } else { "" }
                );
                if (rigs.len() as u32) < rec.count {
                    lead.scale.refuse(place, now);
                } else {
                    lead.scale.refused.remove(&place);
                }
                lead.scale.step(name, RentalStep::Answered, now);
                self.take_rented(&rec, rigs);
            }
            CloudReply::Refused => {
                warn!("no capacity for {} in {}", rec.class, rec.zone);
                lead.scale.refuse(place, now);
                lead.scale.rentals.retain(|rental| rental.rec.name != name);
                lead.scale.plan_dirty = true;
            }
            _ => lead
                .scale
                .step(name, RentalStep::Written, now.after(REPEAT_S)),
        }
    }

    /// New machines join the only block at once, or a block's list.
    fn take_rented(&mut self, rec: &RentalRec, rigs: Vec<MachineId>) {
        let now = self.now;
        let whole = self.parked.values_mut().find(|h| h.whole);
        if let Some(h) = whole {
            for id in rigs {
                if !h.machines.contains_key(&id) && !h.gone.contains_key(&id) {
                    let m = Machine::new(&self.catalog, &rec.class, &rec.zone, rec.spot, now);
                    h.machines.insert(id, m);
                }
            }
            return;
        }
        for id in rigs {
            self.add_stray((id, rec.class.clone(), rec.zone.clone(), rec.spot));
        }
        self.lease_housekeeping();
    }
}

impl Scale {
    /// Plans rentals, each machine to the open zone with fewest such machines.
    pub(crate) fn rent(
        &mut self,
        catalog: &[ClassInfo],
        pool: Pool,
        gap: u32,
        (there, pins): (&Zones, &BTreeMap<&String, u32>),
        term: Number,
        now: Time,
    ) {
        let info = &catalog[pool.0];
        let mut zones: Vec<(u32, &String, u32)> = Vec::new();
        for zone in &info.zones {
            if self.open(&pool, zone, now) {
                let have = there.get(&(pool, zone.clone())).copied().unwrap_or(0);
                zones.push((have, zone, 0));
            }
        }
        let mut left = gap;
        for (_, zone, new) in &mut zones {
            *new = pins.get(*zone).copied().unwrap_or(0).min(left);
            left -= *new;
        }
        for _ in 0..left {
            let Some(least) = zones.iter_mut().min_by_key(|(have, _, new)| have + new) else {
                return;
            };
            least.2 += 1;
        }
        for (_, zone, mut count) in zones {
            // One request holds no more than the cloud takes.
            while count > 0 {
                let part = count.min(RENT_MAX);
                count -= part;
                self.rental_count += 1;
                let rec = RentalRec {
                    name: format!("r-{}-{}", term.0, self.rental_count),
                    class: info.name.clone(),
                    zone: zone.clone(),
                    spot: pool.1,
                    count: part,
                };
                self.rentals.push(Rental {
                    rec,
                    step: RentalStep::Planned,
                    at: now,
                });
                self.plan_dirty = true;
            }
        }
    }

    /// What the cloud has nothing left of, for the plan.
    pub(crate) fn closed(&self, catalog: &[ClassInfo], now: Time) -> Vec<Closed> {
        let shut = self.refused.iter().filter(|(_, (until, _))| now < *until);
        let shut = shut.filter_map(|((class, zone, spot), _)| {
            Some((catalog.get(*class)?.name.clone(), zone.clone(), *spot))
        });
        let mut shut: Vec<Closed> = shut.collect();
        shut.sort();
        shut
    }

    fn open(&self, pool: &Pool, zone: &str, now: Time) -> bool {
        let key = (pool.0, zone.to_string(), pool.1);
        self.refused
            .get(&key)
            .is_none_or(|(until, _)| now >= *until)
    }

    fn refuse(&mut self, place: (usize, String, bool), now: Time) {
        let entry = self.refused.entry(place).or_insert((now, 0));
        let pause = (REFUSED_S * 2f64.powi(entry.1.min(6) as i32)).min(REFUSED_MAX_S);
        *entry = (now.after(pause), entry.1 + 1);
    }

    fn step(&mut self, name: &str, step: RentalStep, at: Time) {
        for rental in self
            .rentals
            .iter_mut()
            .filter(|rental| rental.rec.name == name)
        {
            (rental.step, rental.at) = (step, at);
        }
    }
}
