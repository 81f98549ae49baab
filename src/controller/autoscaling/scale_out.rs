//! Scale-out requests: planned, written, sent, and repeated under their names until they are answered.

use crate::controller::Controller;
use crate::controller::autoscaling::plan::{Exhausted, ScalingState};
use crate::controller::autoscaling::{CloudPurpose, REPEAT_S, Zones};
use crate::controller::context::Context;
use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{ExhaustedPool, ScaleOutRecord};
use crate::ids::{FencingToken, MachineId, Time};
use crate::wire::{CloudRequest, CloudResponse, MachineType};
use log::{info, warn};
use std::collections::BTreeMap;

/// Pauses after a refusal, in boot times of nothing: plain seconds.
const REFUSED_S: f64 = 10.0;
const REFUSED_MAX_S: f64 = 80.0;
/// Most machines that one scale-out request may ask for.
const SCALE_OUT_MAX: u32 = 50;

/// A request to scale out.
#[derive(Debug)]
pub(crate) struct ScaleOutRequest {
    pub(crate) record: ScaleOutRecord,
    pub(crate) step: ScaleOutStep,
    pub(crate) at: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ScaleOutStep {
    /// Not yet in the written plan.
    Planned,
    /// Written: may be sent.
    Written,
    Sent,
    /// Answered; kept in the plan until lists surely show its machines.
    Answered,
}

impl Controller {
    pub(crate) fn on_scaled_out(&mut self, name: &str, reply: CloudResponse) {
        let now = self.context.now;
        let Some(leadership) = &mut self.context.leadership else {
            return;
        };
        let Some(record) = leadership
            .scale
            .scale_out_requests
            .iter()
            .find(|request| request.record.name == name)
        else {
            return;
        };
        let record = record.record.clone();
        let class = self
            .context
            .cloud
            .catalog
            .iter()
            .position(|c| c.name == record.class);
        let Some(class) = class else {
            return;
        };
        let place = (Pool::of(class, record.spot), record.zone.clone());
        match reply {
            CloudResponse::Rented(machines) => {
                info!(
                    "scaled out, type={} zone={} spot={} machines={} asked={}",
                    record.class,
                    record.zone,
                    record.spot,
                    machines.len(),
                    record.count
                );
                if (machines.len() as u32) < record.count {
                    leadership.scale.mark_exhausted(place, now);
                } else {
                    leadership.scale.exhausted.remove(&place);
                }
                leadership.scale.step(name, ScaleOutStep::Answered, now);
                self.add_machines(&record, machines);
            }
            CloudResponse::PoolExhausted => {
                warn!(
                    "pool exhausted, type={} zone={} spot={}",
                    record.class, record.zone, record.spot
                );
                leadership.scale.mark_exhausted(place, now);
                leadership
                    .scale
                    .scale_out_requests
                    .retain(|request| request.record.name != name);
                leadership.scale.plan_changed = true;
            }
            _ => leadership
                .scale
                .step(name, ScaleOutStep::Written, now.after(REPEAT_S)),
        }
    }

    /// New machines join the only shard at once, or a shard's list.
    fn add_machines(&mut self, record: &ScaleOutRecord, machines: Vec<MachineId>) {
        let now = self.context.now;
        let whole = self.shards.values_mut().find(|h| h.whole);
        if let Some(h) = whole {
            for id in machines {
                if !h.machines.contains_key(&id) && !h.deleted_machines.contains_key(&id) {
                    let machine = Machine::new(
                        &self.context.cloud.catalog,
                        &record.class,
                        &record.zone,
                        record.spot,
                        now,
                    );
                    h.machines.insert(id, machine);
                }
            }
            return;
        }
        for id in machines {
            self.context.add_unassigned((
                id,
                record.class.clone(),
                record.zone.clone(),
                record.spot,
            ));
        }
        self.lease_housekeeping();
    }
}

impl Context {
    pub(crate) fn send_scale_out_requests(&mut self) {
        let now = self.now;
        let Some(leadership) = self.leadership.as_ref().filter(|_| self.may_use_cloud()) else {
            return;
        };
        let due: Vec<ScaleOutRecord> = leadership
            .scale
            .scale_out_requests
            .iter()
            .filter(|request| request.step == ScaleOutStep::Written && now >= request.at)
            .map(|request| request.record.clone())
            .collect();
        for record in due {
            let name = record.name.clone();
            let purpose = CloudPurpose::Rent(name.clone());
            if !self.cloud_call(CloudRequest::Rent(record), purpose, Priority::Usual) {
                return;
            }
            if let Some(leadership) = &mut self.leadership {
                leadership.scale.step(&name, ScaleOutStep::Sent, now);
            }
        }
    }
}

impl ScalingState {
    /// Plans scale-out requests, each machine to the open zone with fewest such machines.
    pub(crate) fn plan_scale_out(
        &mut self,
        catalog: &[MachineType],
        pool: Pool,
        gap: u32,
        (there, pins): (&Zones, &BTreeMap<&String, u32>),
        term: FencingToken,
        now: Time,
    ) {
        let info = &catalog[pool.machine_type];
        let mut zones: Vec<(u32, &String, u32)> = Vec::new();
        for zone in &info.zones {
            if self.has_capacity(pool, zone, now) {
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
                let part = count.min(SCALE_OUT_MAX);
                count -= part;
                self.scale_out_count += 1;
                let record = ScaleOutRecord {
                    name: format!("r-{}-{}", term.0, self.scale_out_count),
                    class: info.name.clone(),
                    zone: zone.clone(),
                    spot: pool.is_spot(),
                    count: part,
                };
                self.scale_out_requests.push(ScaleOutRequest {
                    record,
                    step: ScaleOutStep::Planned,
                    at: now,
                });
                self.plan_changed = true;
            }
        }
    }

    /// What the cloud has nothing left of, for the plan.
    pub(crate) fn closed(&self, catalog: &[MachineType], now: Time) -> Vec<ExhaustedPool> {
        let pools = self.exhausted.iter().filter(|(_, e)| now < e.until);
        let pools = pools.filter_map(|((pool, zone), _)| {
            let machine_type = pool.type_in(catalog)?;
            Some((machine_type.name.clone(), zone.clone(), pool.is_spot()))
        });
        let mut pools: Vec<ExhaustedPool> = pools.collect();
        pools.sort();
        pools
    }

    /// Whether a zone of a pool may be asked.
    fn has_capacity(&self, pool: Pool, zone: &str, now: Time) -> bool {
        let exhausted = self.exhausted.get(&(pool, zone.to_string()));
        exhausted.is_none_or(|exhausted| now >= exhausted.until)
    }

    fn mark_exhausted(&mut self, place: (Pool, String), now: Time) {
        let known = self.exhausted.get(&place);
        let refusals = known.map_or(0, |exhausted| exhausted.refusals);
        let pause_s = (REFUSED_S * 2f64.powi(refusals.min(6) as i32)).min(REFUSED_MAX_S);
        let exhausted = Exhausted {
            until: now.after(pause_s),
            refusals: refusals + 1,
        };
        self.exhausted.insert(place, exhausted);
    }

    fn step(&mut self, name: &str, step: ScaleOutStep, at: Time) {
        for request in self
            .scale_out_requests
            .iter_mut()
            .filter(|request| request.record.name == name)
        {
            (request.step, request.at) = (step, at);
        }
    }
}
