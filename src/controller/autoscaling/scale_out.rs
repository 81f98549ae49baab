//! Scale-out requests: planned, written, sent, and repeated under their names until they are
//! answered.

use crate::controller::Controller;
use crate::controller::autoscaling::plan::{
    Exhausted, ScaleOutRequest, ScaleOutStep, ScalingState,
};
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

/// Pause before a zone that refused is asked again; doubled by each further refusal, up to the
/// longest.
const REFUSAL_PAUSE_S: f64 = 10.0;
/// Longest pause before a zone that refused is asked again.
const REFUSAL_PAUSE_MAX_S: f64 = 80.0;
/// Most refusals in a row that double the pause.
const REFUSAL_DOUBLINGS_MAX: u32 = 6;
/// Most machines that one scale-out request may ask for.
const SCALE_OUT_MAX: u32 = 50;

/// A zone of a pool, as the planning of a scale-out sees it.
struct ZonePlan<'a> {
    /// The zone.
    zone: &'a String,
    /// Machines of the pool that are there.
    existing: u32,
    /// Machines to ask for.
    added: u32,
}

/// What to scale out of one pool.
pub(crate) struct ScaleOutDemand<'a> {
    /// The pool.
    pub(crate) pool: Pool,
    /// How many machines are lacking.
    pub(crate) gap: u32,
    /// How many of them must be in particular zones.
    pub(crate) by_zone: &'a BTreeMap<&'a String, u32>,
    /// Machines that there are, of all pools.
    pub(crate) existing: &'a Zones,
}

impl Controller {
    /// Takes the response to a scale-out request: new machines, a refusal, or none that says
    /// anything, so that the request is repeated.
    pub(crate) fn on_scale_out_response(&mut self, name: &str, response: CloudResponse) {
        let now = self.context.now;
        let catalog = &self.context.cloud.catalog;
        let Some(leadership) = &mut self.context.leadership else {
            return;
        };
        let scale = &mut leadership.scale;
        let mut requests = scale.scale_out_requests.iter();
        let Some(request) = requests.find(|request| request.record.name == name) else {
            return;
        };
        let record = request.record.clone();
        let mut types = catalog.iter();
        let Some(index) = types.position(|machine_type| machine_type.name == record.class) else {
            return;
        };
        let pool = Pool::of(index, record.spot);
        match response {
            CloudResponse::ScaledOut(machines) => {
                scale.on_scaled_out(pool, &record, &machines, now);
                self.add_machines(&record, machines);
            }
            CloudResponse::PoolExhausted => scale.on_refused(pool, &record, now),
            _ => scale.set_step(name, ScaleOutStep::Written, now.after(REPEAT_S)),
        }
    }

    /// New machines join the only shard at once, or the machines to be assigned to one.
    fn add_machines(&mut self, record: &ScaleOutRecord, machines: Vec<MachineId>) {
        let now = self.context.now;
        let only_shard = self.shards.values_mut().find(|shard| shard.is_only_shard);
        if let Some(shard) = only_shard {
            for id in machines {
                if !shard.machines.contains_key(&id) && !shard.deleted_machines.contains_key(&id) {
                    let machine = Machine::new(
                        &self.context.cloud.catalog,
                        &record.class,
                        &record.zone,
                        record.spot,
                        now,
                    );
                    shard.machines.insert(id, machine);
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
        self.update_shard_records();
    }
}

impl Context {
    /// Sends the scale-out requests that are written and due.
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
            let purpose = CloudPurpose::ScaleOut(name.clone());
            if !self.cloud_call(CloudRequest::ScaleOut(record), purpose, Priority::Usual) {
                return;
            }
            if let Some(leadership) = &mut self.leadership {
                leadership.scale.set_step(&name, ScaleOutStep::Sent, now);
            }
        }
    }
}

impl ScalingState {
    /// Plans scale-out requests, each machine to the zone with capacity that has fewest such
    /// machines.
    pub(crate) fn plan_scale_out(
        &mut self,
        catalog: &[MachineType],
        demand: &ScaleOutDemand,
        token: FencingToken,
        now: Time,
    ) {
        let machine_type = &catalog[demand.pool.machine_type];
        for ZonePlan { zone, added, .. } in self.zone_plans(machine_type, demand, now) {
            let mut left = added;
            // One request asks for no more than the cloud accepts.
            while left > 0 {
                let count = left.min(SCALE_OUT_MAX);
                left -= count;
                self.scale_out_count += 1;
                let record = ScaleOutRecord {
                    name: format!("r-{}-{}", token.0, self.scale_out_count),
                    class: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot: demand.pool.is_spot(),
                    count,
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

    /// How many machines to ask for in each zone with capacity: first those that must be there,
    /// then one by one where the fewest are.
    fn zone_plans<'a>(
        &self,
        machine_type: &'a MachineType,
        demand: &ScaleOutDemand,
        now: Time,
    ) -> Vec<ZonePlan<'a>> {
        let pool = demand.pool;
        let zones = machine_type.zones.iter();
        let zones = zones.filter(|zone| self.has_capacity(pool, zone, now));
        let mut plans: Vec<ZonePlan> = zones
            .map(|zone| {
                let existing = demand.existing.get(&(pool, zone.clone()));
                ZonePlan {
                    zone,
                    existing: existing.copied().unwrap_or(0),
                    added: 0,
                }
            })
            .collect();
        let mut left = demand.gap;
        for plan in &mut plans {
            let required = demand.by_zone.get(plan.zone).copied();
            plan.added = required.unwrap_or(0).min(left);
            left -= plan.added;
        }
        for _ in 0..left {
            let fewest = plans.iter_mut();
            let Some(fewest) = fewest.min_by_key(|plan| plan.existing + plan.added) else {
                break;
            };
            fewest.added += 1;
        }
        plans
    }

    /// The exhausted zones of pools, in the plan's form.
    pub(crate) fn exhausted_pools(&self, catalog: &[MachineType], now: Time) -> Vec<ExhaustedPool> {
        let exhausted = self.exhausted.iter();
        let exhausted = exhausted.filter(|(_, exhausted)| now < exhausted.until);
        let exhausted = exhausted.filter_map(|((pool, zone), _)| {
            let machine_type = pool.type_in(catalog)?;
            Some((machine_type.name.clone(), zone.clone(), pool.is_spot()))
        });
        let mut exhausted: Vec<ExhaustedPool> = exhausted.collect();
        exhausted.sort();
        exhausted
    }

    /// Whether a zone of a pool may be asked.
    fn has_capacity(&self, pool: Pool, zone: &str, now: Time) -> bool {
        let exhausted = self.exhausted.get(&(pool, zone.to_string()));
        exhausted.is_none_or(|exhausted| now >= exhausted.until)
    }

    /// A request was answered with machines. Fewer than it asked for mean that there are no more.
    fn on_scaled_out(
        &mut self,
        pool: Pool,
        record: &ScaleOutRecord,
        machines: &[MachineId],
        now: Time,
    ) {
        info!(
            "scaled out, type={} zone={} spot={} machines={} asked={}",
            record.class,
            record.zone,
            record.spot,
            machines.len(),
            record.count
        );
        let place = (pool, record.zone.clone());
        if (machines.len() as u32) < record.count {
            self.mark_exhausted(place, now);
        } else {
            self.exhausted.remove(&place);
        }
        self.set_step(&record.name, ScaleOutStep::Answered, now);
    }

    /// A request was refused for want of capacity.
    fn on_refused(&mut self, pool: Pool, record: &ScaleOutRecord, now: Time) {
        warn!(
            "pool exhausted, type={} zone={} spot={}",
            record.class, record.zone, record.spot
        );
        self.mark_exhausted((pool, record.zone.clone()), now);
        self.scale_out_requests
            .retain(|request| request.record.name != record.name);
        self.plan_changed = true;
    }

    /// Records that a zone of a pool has no capacity: it isn't asked again for a while.
    fn mark_exhausted(&mut self, place: (Pool, String), now: Time) {
        let known = self.exhausted.get(&place);
        let refusals = known.map_or(0, |exhausted| exhausted.refusals);
        let doublings = refusals.min(REFUSAL_DOUBLINGS_MAX);
        let pause_s = (REFUSAL_PAUSE_S * 2f64.powi(doublings as i32)).min(REFUSAL_PAUSE_MAX_S);
        let exhausted = Exhausted {
            until: now.after(pause_s),
            refusals: refusals + 1,
        };
        self.exhausted.insert(place, exhausted);
    }

    /// Records how far the request of a name has come.
    fn set_step(&mut self, name: &str, step: ScaleOutStep, at: Time) {
        for request in self
            .scale_out_requests
            .iter_mut()
            .filter(|request| request.record.name == name)
        {
            (request.step, request.at) = (step, at);
        }
    }
}
