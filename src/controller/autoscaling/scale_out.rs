//! Scale-out requests: planned, written to the store with the plan, sent to the cloud, and repeated
//! under the same name until the cloud answers.

use crate::controller::Controller;
use crate::controller::autoscaling::plan::{
    ExhaustedZone, ScaleOutRequest, ScaleOutStep, ScalingState,
};
use crate::controller::autoscaling::{CloudPurpose, PoolZoneCounts, RETRY_DELAY_S};
use crate::controller::context::Context;
use crate::controller::machines::inventory::Machine;
use crate::controller::pool::Pool;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{ExhaustedPool, ScaleOutRecord};
use crate::ids::{FencingToken, MachineId, Time};
use crate::wire::{CloudRequest, CloudResponse, MachineType};
use log::{info, warn};
use std::collections::BTreeMap;

/// Delay before a zone that refused a request is asked again. It doubles with each consecutive
/// refusal, up to `REFUSAL_DELAY_MAX_S`.
const REFUSAL_DELAY_S: f64 = 10.0;
/// Maximum delay before a zone that refused a request is asked again.
const REFUSAL_DELAY_MAX_S: f64 = 80.0;
/// Maximum number of consecutive refusals that double the delay.
const REFUSAL_DOUBLINGS_MAX: u32 = 6;
/// Maximum number of machines in one scale-out request. The cloud accepts no more.
const SCALE_OUT_MACHINES_MAX: u32 = 50;

/// Machines to add in one zone of a pool.
struct ZoneScaleOut<'a> {
    /// The zone.
    zone: &'a String,
    /// Existing machines of the pool in the zone.
    existing_machines: u32,
    /// Machines to request.
    added_machines: u32,
}

/// Machines to scale out of one pool.
pub(crate) struct ScaleOutDemand<'a> {
    /// The pool.
    pub(crate) pool: Pool,
    /// Number of machines to add.
    pub(crate) gap: u32,
    /// How many of these machines must be in each zone.
    pub(crate) shortfall_by_zone: &'a BTreeMap<&'a String, u32>,
    /// Existing machines of all pools.
    pub(crate) existing_machines: &'a PoolZoneCounts,
}

impl Controller {
    /// Handles the response to a scale-out request. New machines are added to the inventory, and a
    /// refusal marks the zone as exhausted. After any other response the request is repeated under
    /// the same name.
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
            _ => scale.set_step(name, ScaleOutStep::Written, now.after(RETRY_DELAY_S)),
        }
    }

    /// Adds new machines to the only shard or, if there are several shards, to the machines that
    /// wait for assignment to a shard.
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
    /// Sends the scale-out requests that are in the stored plan and due, as far as the rate limit
    /// allows.
    pub(crate) fn send_scale_out_requests(&mut self) {
        let now = self.now;
        let Some(leadership) = self.leadership.as_ref().filter(|_| self.may_use_cloud()) else {
            return;
        };
        let due: Vec<ScaleOutRecord> = leadership
            .scale
            .scale_out_requests
            .iter()
            .filter(|request| request.step == ScaleOutStep::Written && now >= request.step_at)
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
    /// Plans scale-out requests for a pool's missing machines. Zones with a shortfall are served
    /// first. Each remaining machine goes to the zone with capacity that has the fewest machines of
    /// the pool.
    pub(crate) fn plan_scale_out(
        &mut self,
        catalog: &[MachineType],
        demand: &ScaleOutDemand,
        token: FencingToken,
        now: Time,
    ) {
        let machine_type = &catalog[demand.pool.machine_type];
        for ZoneScaleOut {
            zone,
            added_machines,
            ..
        } in self.plan_zones(machine_type, demand, now)
        {
            let mut machines_left = added_machines;
            while machines_left > 0 {
                let count = machines_left.min(SCALE_OUT_MACHINES_MAX);
                machines_left -= count;
                self.planned_request_count += 1;
                let record = ScaleOutRecord {
                    name: format!("r-{}-{}", token.0, self.planned_request_count),
                    class: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot: demand.pool.is_spot(),
                    count,
                };
                self.scale_out_requests.push(ScaleOutRequest {
                    record,
                    step: ScaleOutStep::Planned,
                    step_at: now,
                });
                self.has_plan_changed = true;
            }
        }
    }

    /// Computes how many machines to request in each zone with capacity. Assigns first the machines
    /// that must be in the zone, and then each remaining machine to the zone with the fewest.
    fn plan_zones<'a>(
        &self,
        machine_type: &'a MachineType,
        demand: &ScaleOutDemand,
        now: Time,
    ) -> Vec<ZoneScaleOut<'a>> {
        let pool = demand.pool;
        let zones = machine_type.zones.iter();
        let zones = zones.filter(|zone| self.has_capacity(pool, zone, now));
        let mut plans: Vec<ZoneScaleOut> = zones
            .map(|zone| {
                let existing = demand.existing_machines.get(&(pool, zone.clone()));
                ZoneScaleOut {
                    zone,
                    existing_machines: existing.copied().unwrap_or(0),
                    added_machines: 0,
                }
            })
            .collect();
        let mut machines_left = demand.gap;
        for plan in &mut plans {
            let required_machines = demand.shortfall_by_zone.get(plan.zone).copied();
            plan.added_machines = required_machines.unwrap_or(0).min(machines_left);
            machines_left -= plan.added_machines;
        }
        for _ in 0..machines_left {
            let fewest = plans.iter_mut();
            let Some(fewest) =
                fewest.min_by_key(|plan| plan.existing_machines + plan.added_machines)
            else {
                break;
            };
            fewest.added_machines += 1;
        }
        plans
    }

    /// Returns the currently exhausted zones of all pools, sorted, in the format of the plan.
    pub(crate) fn exhausted_pools(&self, catalog: &[MachineType], now: Time) -> Vec<ExhaustedPool> {
        let exhausted = self.exhausted_zones.iter();
        let exhausted = exhausted.filter(|(_, exhausted)| now < exhausted.retry_at);
        let exhausted = exhausted.filter_map(|((pool, zone), _)| {
            let machine_type = pool.type_in(catalog)?;
            Some((machine_type.name.clone(), zone.clone(), pool.is_spot()))
        });
        let mut exhausted: Vec<ExhaustedPool> = exhausted.collect();
        exhausted.sort();
        exhausted
    }

    /// Whether a zone of a pool may be asked for machines now.
    fn has_capacity(&self, pool: Pool, zone: &str, now: Time) -> bool {
        let exhausted = self.exhausted_zones.get(&(pool, zone.to_string()));
        exhausted.is_none_or(|exhausted| now >= exhausted.retry_at)
    }

    /// Handles machines created for a scale-out request. Fewer machines than requested mean that
    /// the zone has no more capacity.
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
        let pool_zone = (pool, record.zone.clone());
        if (machines.len() as u32) < record.count {
            self.mark_exhausted(pool_zone, now);
        } else {
            self.exhausted_zones.remove(&pool_zone);
        }
        self.set_step(&record.name, ScaleOutStep::Answered, now);
    }

    /// Handles a refusal for lack of capacity: marks the zone as exhausted and removes the request.
    fn on_refused(&mut self, pool: Pool, record: &ScaleOutRecord, now: Time) {
        warn!(
            "pool exhausted, type={} zone={} spot={}",
            record.class, record.zone, record.spot
        );
        self.mark_exhausted((pool, record.zone.clone()), now);
        self.scale_out_requests
            .retain(|request| request.record.name != record.name);
        self.has_plan_changed = true;
    }

    /// Marks a zone of a pool as exhausted, so that it is not asked again until its delay has
    /// passed.
    fn mark_exhausted(&mut self, pool_zone: (Pool, String), now: Time) {
        let previous = self.exhausted_zones.get(&pool_zone);
        let consecutive_refusals = previous.map_or(0, |exhausted| exhausted.consecutive_refusals);
        let doublings = consecutive_refusals.min(REFUSAL_DOUBLINGS_MAX);
        let delay_s = (REFUSAL_DELAY_S * 2f64.powi(doublings as i32)).min(REFUSAL_DELAY_MAX_S);
        let exhausted = ExhaustedZone {
            retry_at: now.after(delay_s),
            consecutive_refusals: consecutive_refusals + 1,
        };
        self.exhausted_zones.insert(pool_zone, exhausted);
    }

    /// Sets the step of the request with the given name.
    fn set_step(&mut self, name: &str, step: ScaleOutStep, at: Time) {
        for request in self
            .scale_out_requests
            .iter_mut()
            .filter(|request| request.record.name == name)
        {
            (request.step, request.step_at) = (step, at);
        }
    }
}
