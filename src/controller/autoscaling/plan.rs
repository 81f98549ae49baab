//! The leader's scaling plan: wanted counts and the scale-out requests under way, written before
//! these are sent.

use crate::controller::context::Context;
use crate::controller::pool::Pool;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{
    ExhaustedPool, Key, Record, ScaleOutRecord, ScalingPlanRecord, json_bytes,
};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{MachineId, Time};
use crate::wire::{MachineType, StoreRequest, StoreResponse, Write};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Share of the store's value limit that the plan may fill.
const PLAN_VALUE_SHARE: f64 = 0.9;
/// An answered scale-out request is kept for so many list lags, and so many seconds more.
const ANSWERED_LIST_LAGS: f64 = 3.0;
/// Seconds beyond the list lags.
const ANSWERED_MARGIN_S: f64 = 5.0;

/// A request to scale out.
#[derive(Debug)]
pub(crate) struct ScaleOutRequest {
    /// What it asks for, as it is written.
    pub(crate) record: ScaleOutRecord,
    /// How far it has come.
    pub(crate) step: ScaleOutStep,
    /// When it came to this step; for a repeated one, when it is due.
    pub(crate) at: Time,
}

/// How far a request to scale out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ScaleOutStep {
    /// Not yet in the written plan.
    Planned,
    /// Written: may be sent.
    Written,
    /// Sent, and not answered yet.
    Sent,
    /// Answered; kept in the plan until lists surely show its machines.
    Answered,
}

/// How long a zone of a pool isn't asked again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exhausted {
    /// When it may be asked again.
    pub(crate) until: Time,
    /// How often it has refused in a row.
    pub(crate) refusals: u32,
}

/// What was wanted of a pool at one turn of the reconcile loop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WantedAt {
    /// When.
    at: Time,
    /// How many machines.
    machines: u32,
}

/// What the leader knows and plans of scaling.
#[derive(Debug, Default)]
pub(crate) struct ScalingState {
    /// Since when counts are rebuilt, so that scaling out may begin.
    pub(crate) ready: Option<Time>,
    /// Whether a whole list of the machines has come.
    pub(crate) listed: bool,
    /// When the next turn of the reconcile loop is due.
    pub(crate) reconcile_at: Time,
    /// Wanted counts within the stabilization window, the latest last.
    pub(crate) wanted: BTreeMap<Pool, VecDeque<WantedAt>>,
    /// Scale-out requests under way.
    pub(crate) scale_out_requests: Vec<ScaleOutRequest>,
    /// How many were planned; part of their names.
    pub(crate) scale_out_count: u64,
    /// Zones of pools that had no capacity when they were last asked.
    pub(crate) exhausted: HashMap<(Pool, String), Exhausted>,
    /// Shares of new jobs that the written plan gives each shard.
    pub(crate) written_shares: Vec<(u32, u32)>,
    /// Exhausted pools that the written plan names.
    pub(crate) written_exhausted: Vec<ExhaustedPool>,
    /// Machines to give back, for the next plan.
    pub(crate) scale_in: Vec<MachineId>,
    /// Whether a plan is being written.
    pub(crate) plan_write_pending: bool,
    /// Whether the written plan is out of date.
    pub(crate) plan_changed: bool,
}

impl Context {
    /// A new leader first repeats the scale-out requests in the plan, under their
    /// names, and lists machines: it scales out only once it knows which there are.
    pub(crate) fn rebuild_scaling_state(&mut self) {
        let now = self.now;
        let plan = self.store.mirror.plan.record.clone().unwrap_or_default();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let written = |record| ScaleOutRequest {
            record,
            step: ScaleOutStep::Written,
            at: now,
        };
        leadership.scale.scale_out_requests =
            plan.scale_out_requests.into_iter().map(written).collect();
        leadership.scale.reconcile_at = now;
    }

    /// Writes the plan if it changed. A scale-out request is sent only once it is written.
    pub(crate) fn write_plan(&mut self) {
        let lag_s = self.settings.platform.facts.cloud.list_lag_s;
        let now = self.now;
        let shares = self.job_shares();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let catalog = &self.cloud.catalog;
        let scale = &mut leadership.scale;
        scale.remove_listed_requests(now, ANSWERED_LIST_LAGS * lag_s + ANSWERED_MARGIN_S);
        let exhausted = scale.exhausted_pools(catalog, now);
        scale.plan_changed |=
            scale.written_shares != shares || scale.written_exhausted != exhausted;
        if scale.plan_write_pending || !scale.plan_changed {
            return;
        }
        let mut plan = ScalingPlanRecord {
            token: leadership.token,
            wanted: scale.wanted_by_type(catalog),
            shares,
            exhausted_pools: exhausted,
            ..ScalingPlanRecord::default()
        };
        let value_bytes = self.settings.state_limits().value_bytes;
        scale.fill_plan(&mut plan, (value_bytes as f64 * PLAN_VALUE_SHARE) as usize);
        // An earlier leader's scale-out requests, from a time of a larger value limit, wait for
        // their answers. Once enough are answered, the rest fits.
        if json_bytes(&plan) <= value_bytes {
            self.send_plan(plan);
        }
    }

    /// Writes a plan under the leader's lease.
    fn send_plan(&mut self, plan: ScalingPlanRecord) {
        let (shares, exhausted) = (plan.shares.clone(), plan.exhausted_pools.clone());
        let request = StoreRequest::Transaction {
            preconditions: vec![(Key::Leader, self.store.mirror.leader.expected_revision())],
            writes: vec![Write::put(Key::Plan, Record::Plan(plan))],
        };
        if self
            .send_store_request(request, RequestPurpose::WritePlan, Priority::First)
            .is_ok()
            && let Some(leadership) = &mut self.leadership
        {
            let scale = &mut leadership.scale;
            scale.plan_write_pending = true;
            scale.plan_changed = false;
            scale.written_shares = shares;
            scale.written_exhausted = exhausted;
            scale.scale_in.clear();
        }
    }

    /// Sends the scale-out requests of a plan that is written, or has it written again.
    pub(crate) fn on_plan_written(&mut self, response: StoreResponse) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let scale = &mut leadership.scale;
        scale.plan_write_pending = false;
        if let StoreResponse::Committed { .. } = response {
            // Scale-out requests planned while the transaction was under way made the plan out of
            // date again, and wait for the next one.
            if !scale.plan_changed {
                for request in &mut scale.scale_out_requests {
                    if request.step == ScaleOutStep::Planned {
                        (request.step, request.at) = (ScaleOutStep::Written, now);
                    }
                }
            }
            self.send_scale_out_requests();
        } else {
            scale.plan_changed = true;
        }
    }
}

impl ScalingState {
    /// Removes the scale-out requests whose machines are surely listed by now.
    fn remove_listed_requests(&mut self, now: Time, kept_s: f64) {
        let before = self.scale_out_requests.len();
        self.scale_out_requests.retain(|request| {
            request.step != ScaleOutStep::Answered || now.since(request.at) < kept_s
        });
        self.plan_changed |= self.scale_out_requests.len() != before;
    }

    /// The latest wanted counts, in the plan's form.
    fn wanted_by_type(&self, catalog: &[MachineType]) -> Vec<(String, bool, u32)> {
        let wanted = self.wanted.iter().filter_map(|(pool, window)| {
            let name = pool.type_in(catalog)?.name.clone();
            Some((name, pool.is_spot(), window.back()?.machines))
        });
        wanted.collect()
    }

    /// Adds the scale-out requests and the machines to give back that fit into a plan of so many
    /// bytes. With many pools and zones a plan outgrew its value, and then nothing was scaled out.
    /// Answered requests are dropped first: they only help a new leader before its list is
    /// complete; those that haven't been sent are planned again.
    fn fill_plan(&mut self, plan: &mut ScalingPlanRecord, plan_bytes: usize) {
        let bytes = plan_bytes.saturating_sub(json_bytes(plan));
        let mut used: usize = self
            .scale_out_requests
            .iter()
            .map(|request| json_bytes(&request.record))
            .sum();
        while used > bytes {
            let answered = |request: &ScaleOutRequest| request.step == ScaleOutStep::Answered;
            let planned = |request: &ScaleOutRequest| request.step == ScaleOutStep::Planned;
            let oldest = self.scale_out_requests.iter().position(answered);
            let Some(dropped) =
                oldest.or_else(|| self.scale_out_requests.iter().rposition(planned))
            else {
                break;
            };
            used -= json_bytes(&self.scale_out_requests.remove(dropped).record);
        }
        let requests = self.scale_out_requests.iter();
        plan.scale_out_requests = requests.map(|request| request.record.clone()).collect();
        let mut left = bytes.saturating_sub(used);
        let fits = |id: &&MachineId| {
            let size = json_bytes(*id);
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        };
        plan.scale_in = self.scale_in.iter().take_while(fits).cloned().collect();
    }

    /// Plans to give back up to `surplus` of a pool's empty machines.
    pub(crate) fn plan_scale_in<'a>(
        &mut self,
        empty: impl Iterator<Item = &'a MachineId>,
        surplus: usize,
    ) {
        let before = self.scale_in.len();
        self.scale_in.extend(empty.take(surplus).cloned());
        self.plan_changed |= self.scale_in.len() > before;
    }

    /// Records what is wanted of a pool, for as long as the stabilization window.
    pub(crate) fn record_wanted(&mut self, pool: Pool, now: Time, machines: u32, window_s: f64) {
        let window = self.wanted.entry(pool).or_default();
        if window.back().map(|latest| latest.machines) != Some(machines) {
            self.plan_changed = true;
        }
        window.push_back(WantedAt { at: now, machines });
        while window
            .front()
            .is_some_and(|oldest| now.since(oldest.at) > window_s)
        {
            window.pop_front();
        }
    }

    /// The highest count wanted of a pool within the stabilization window.
    pub(crate) fn highest_wanted(&self, pool: Pool) -> u32 {
        let window = self.wanted.get(&pool);
        window
            .and_then(|window| window.iter().map(|wanted| wanted.machines).max())
            .unwrap_or(0)
    }
}
