//! The leader's scaling plan: the machines wanted of each pool and the scale-out requests in
//! progress. The plan is written to the store before any of its requests is sent.

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

/// Fraction of the store's value size limit that the plan may fill.
const PLAN_VALUE_FRACTION: f64 = 0.9;
/// How long an answered scale-out request stays in the plan, in list lags of the cloud. After this
/// time and `ANSWERED_MARGIN_S`, lists must show its machines.
const ANSWERED_LIST_LAGS: f64 = 3.0;
/// Margin that is added to the time that `ANSWERED_LIST_LAGS` gives.
const ANSWERED_MARGIN_S: f64 = 5.0;

/// A scale-out request and its progress.
#[derive(Debug)]
pub(crate) struct ScaleOutRequest {
    /// The request as stored in the plan.
    pub(crate) record: ScaleOutRecord,
    /// The current step.
    pub(crate) step: ScaleOutStep,
    /// When the request reached this step; for a request to be repeated, when it is due.
    pub(crate) step_at: Time,
}

/// Progress of a scale-out request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ScaleOutStep {
    /// Not yet in the plan in the store.
    Planned,
    /// In the plan in the store; may be sent.
    Written,
    /// Sent to the cloud; not answered yet.
    Sent,
    /// Answered by the cloud; kept in the plan until its machines must appear in lists.
    Answered,
}

/// Backoff state of one zone of a pool that had no capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExhaustedZone {
    /// When the zone may be asked for machines again.
    pub(crate) retry_at: Time,
    /// Number of consecutive refusals; an answer with fewer machines than requested counts as one.
    pub(crate) consecutive_refusals: u32,
}

/// Machines wanted of a pool in one pass of the reconcile loop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WantedSample {
    /// Time of the pass.
    at: Time,
    /// Number of machines wanted.
    machines: u32,
}

/// The leader's autoscaling state.
#[derive(Debug, Default)]
pub(crate) struct ScalingState {
    /// When the counts were complete after this leader's election. Scaling starts only then.
    pub(crate) counts_complete_at: Option<Time>,
    /// Whether this leader has received a complete list of machines.
    pub(crate) has_machine_list: bool,
    /// When the next pass of the reconcile loop is due.
    pub(crate) next_reconcile_at: Time,
    /// Machines wanted of each pool during the stabilization window, latest last.
    pub(crate) wanted_history: BTreeMap<Pool, VecDeque<WantedSample>>,
    /// Scale-out requests in progress.
    pub(crate) scale_out_requests: Vec<ScaleOutRequest>,
    /// Number of scale-out requests planned so far, used to give each a unique name.
    pub(crate) planned_request_count: u64,
    /// Zones of pools that had no capacity when they were last asked, with their backoff state.
    pub(crate) exhausted_zones: HashMap<(Pool, String), ExhaustedZone>,
    /// Shards and their shares of new jobs, as last sent with the plan.
    pub(crate) sent_shares: Vec<(u32, u32)>,
    /// Exhausted pools, as last sent with the plan.
    pub(crate) sent_exhausted_pools: Vec<ExhaustedPool>,
    /// Machines to scale in with the next plan.
    pub(crate) scale_in: Vec<MachineId>,
    /// Whether a write of the plan is pending.
    pub(crate) is_plan_write_pending: bool,
    /// Whether the plan has changed since it was last sent to the store.
    pub(crate) has_plan_changed: bool,
}

impl Context {
    /// Loads the scale-out requests from the plan in the store, after this controller became
    /// leader.
    ///
    /// A new leader first repeats these requests under the same names, and lists machines. It
    /// scales out only once it knows which machines exist.
    pub(crate) fn rebuild_scaling_state(&mut self) {
        let now = self.now;
        let plan = self.store.mirror.plan.record.clone().unwrap_or_default();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let as_written = |record| ScaleOutRequest {
            record,
            step: ScaleOutStep::Written,
            step_at: now,
        };
        leadership.scale.scale_out_requests = plan
            .scale_out_requests
            .into_iter()
            .map(as_written)
            .collect();
        leadership.scale.next_reconcile_at = now;
    }

    /// Writes the plan to the store if it has changed. Each scale-out request is sent to the cloud
    /// only after the plan that contains it is stored.
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
        scale.has_plan_changed |=
            scale.sent_shares != shares || scale.sent_exhausted_pools != exhausted;
        if scale.is_plan_write_pending || !scale.has_plan_changed {
            return;
        }
        let mut plan = ScalingPlanRecord {
            token: leadership.token,
            wanted: scale.wanted_by_type(catalog),
            shares,
            exhausted_pools: exhausted,
            ..ScalingPlanRecord::default()
        };
        let value_bytes = self.settings.store_limits().value_bytes;
        scale.fill_plan(
            &mut plan,
            (value_bytes as f64 * PLAN_VALUE_FRACTION) as usize,
        );
        // The plan is too large if it contains requests of an earlier leader from when the value
        // size limit was larger. The write waits until enough of them are answered and removed.
        if json_bytes(&plan) <= value_bytes {
            self.send_plan(plan);
        }
    }

    /// Sends the plan to the store, on the condition that this controller still holds the leader
    /// record.
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
            scale.is_plan_write_pending = true;
            scale.has_plan_changed = false;
            scale.sent_shares = shares;
            scale.sent_exhausted_pools = exhausted;
            scale.scale_in.clear();
        }
    }

    /// Handles the response to a write of the plan: sends its scale-out requests if it was stored,
    /// and otherwise schedules another write.
    pub(crate) fn on_plan_written(&mut self, response: StoreResponse) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let scale = &mut leadership.scale;
        scale.is_plan_write_pending = false;
        if let StoreResponse::Committed { .. } = response {
            // If the plan changed while the write was pending, some planned requests are not in
            // the stored plan. All planned requests then wait for the next write.
            if !scale.has_plan_changed {
                for request in &mut scale.scale_out_requests {
                    if request.step == ScaleOutStep::Planned {
                        (request.step, request.step_at) = (ScaleOutStep::Written, now);
                    }
                }
            }
            self.send_scale_out_requests();
        } else {
            scale.has_plan_changed = true;
        }
    }
}

impl ScalingState {
    /// Removes the scale-out requests that were answered at least `kept_s` seconds ago, whose
    /// machines must be listed by now.
    fn remove_listed_requests(&mut self, now: Time, kept_s: f64) {
        let count_before = self.scale_out_requests.len();
        self.scale_out_requests.retain(|request| {
            request.step != ScaleOutStep::Answered || now.since(request.step_at) < kept_s
        });
        self.has_plan_changed |= self.scale_out_requests.len() != count_before;
    }

    /// Returns the latest number of machines wanted of each pool, in the format of the plan.
    fn wanted_by_type(&self, catalog: &[MachineType]) -> Vec<(String, bool, u32)> {
        let wanted = self.wanted_history.iter().filter_map(|(pool, window)| {
            let name = pool.type_in(catalog)?.name.clone();
            Some((name, pool.is_spot(), window.back()?.machines))
        });
        wanted.collect()
    }

    /// Adds scale-out requests and machines to scale in to the plan, as many as fit into
    /// `plan_bytes`. Without this limit, with many pools and zones, a plan exceeded the store's
    /// value size limit, and nothing was scaled out.
    ///
    /// Answered requests are dropped first, oldest first: they only help a new leader before its
    /// list of machines is complete. Next are requests that are not written yet, latest first: they
    /// are planned again. Requests that are written or sent always stay.
    fn fill_plan(&mut self, plan: &mut ScalingPlanRecord, plan_bytes: usize) {
        let available_bytes = plan_bytes.saturating_sub(json_bytes(plan));
        let mut used_bytes: usize = self
            .scale_out_requests
            .iter()
            .map(|request| json_bytes(&request.record))
            .sum();
        while used_bytes > available_bytes {
            let is_answered = |request: &ScaleOutRequest| request.step == ScaleOutStep::Answered;
            let is_planned = |request: &ScaleOutRequest| request.step == ScaleOutStep::Planned;
            let oldest = self.scale_out_requests.iter().position(is_answered);
            let Some(dropped) =
                oldest.or_else(|| self.scale_out_requests.iter().rposition(is_planned))
            else {
                break;
            };
            used_bytes -= json_bytes(&self.scale_out_requests.remove(dropped).record);
        }
        let requests = self.scale_out_requests.iter();
        plan.scale_out_requests = requests.map(|request| request.record.clone()).collect();
        let mut left_bytes = available_bytes.saturating_sub(used_bytes);
        let fits = |id: &&MachineId| {
            let entry_bytes = json_bytes(*id);
            let fits = entry_bytes <= left_bytes;
            left_bytes = left_bytes.saturating_sub(entry_bytes);
            fits
        };
        plan.scale_in = self.scale_in.iter().take_while(fits).cloned().collect();
    }

    /// Plans to scale in up to `surplus` of a pool's empty machines.
    pub(crate) fn plan_scale_in<'a>(
        &mut self,
        empty: impl Iterator<Item = &'a MachineId>,
        surplus: usize,
    ) {
        let count_before = self.scale_in.len();
        self.scale_in.extend(empty.take(surplus).cloned());
        self.has_plan_changed |= self.scale_in.len() > count_before;
    }

    /// Records the number of machines wanted of a pool, and drops samples older than the
    /// stabilization window of `window_s`.
    pub(crate) fn record_wanted(&mut self, pool: Pool, now: Time, machines: u32, window_s: f64) {
        let window = self.wanted_history.entry(pool).or_default();
        if window.back().map(|latest| latest.machines) != Some(machines) {
            self.has_plan_changed = true;
        }
        window.push_back(WantedSample { at: now, machines });
        while window
            .front()
            .is_some_and(|oldest| now.since(oldest.at) > window_s)
        {
            window.pop_front();
        }
    }

    /// Returns the highest number of machines wanted of a pool during the stabilization window.
    pub(crate) fn highest_wanted(&self, pool: Pool) -> u32 {
        let window = self.wanted_history.get(&pool);
        window
            .and_then(|window| window.iter().map(|wanted| wanted.machines).max())
            .unwrap_or(0)
    }
}
