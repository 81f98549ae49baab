//! The leader's plan: what it wants, and the scale-out requests under way, written before they are sent.

use crate::controller::autoscaling::scale_out::{ScaleOutRequest, ScaleOutStep};
use crate::controller::context::Context;
use crate::controller::pool::Pool;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{
    ExhaustedPool, Key, Record, ScaleOutRecord, ScalingPlanRecord, json_bytes,
};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{MachineId, Time};
use crate::wire::{StoreRequest, StoreResponse, Write};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Share of the value limit that the plan may fill.
const PLAN_SHARE: f64 = 0.9;

/// How long a zone of a pool isn't asked again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exhausted {
    /// When it may be asked again.
    pub(crate) until: Time,
    /// How often it has refused in a row.
    pub(crate) refusals: u32,
}

#[derive(Debug, Default)]
pub(crate) struct ScalingState {
    /// Whether counts are rebuilt, so that scaling out may begin.
    pub(crate) ready: Option<Time>,
    pub(crate) listed: bool,
    pub(crate) reconcile_at: Time,
    pub(crate) wanted: BTreeMap<Pool, VecDeque<(Time, u32)>>,
    pub(crate) scale_out_requests: Vec<ScaleOutRequest>,
    pub(crate) scale_out_count: u64,
    /// Zones of pools that had no capacity when they were last asked.
    pub(crate) exhausted: HashMap<(Pool, String), Exhausted>,
    pub(crate) shares: Vec<(u32, u32)>,
    pub(crate) closed: Vec<ExhaustedPool>,
    /// Machines to return, for the next plan.
    pub(crate) scale_in: Vec<MachineId>,
    pub(crate) plan_write_pending: bool,
    pub(crate) plan_changed: bool,
}

impl Context {
    /// A new leader first repeats the scale-out requests that the plan speaks of, under their
    /// names, and lists: it scales out only once it knows what is there.
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

    /// Writes wanted counts and scale-out requests. A scale-out request is sent only once it stands here.
    pub(crate) fn write_plan(&mut self) {
        let lag = self.settings.platform.facts.cloud.list_lag_s;
        let now = self.now;
        let shares = self.job_shares();
        let preconditions = vec![(Key::Leader, self.store.mirror.leader.version())];
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let s = &mut leadership.scale;
        let before = s.scale_out_requests.len();
        let kept_s = 3.0 * lag + 5.0;
        s.scale_out_requests.retain(|request| {
            request.step != ScaleOutStep::Answered || now.since(request.at) < kept_s
        });
        let closed = s.closed(&self.cloud.catalog, now);
        s.plan_changed |=
            s.scale_out_requests.len() != before || s.shares != shares || s.closed != closed;
        if s.plan_write_pending || !s.plan_changed {
            return;
        }
        let wanted = s.wanted.iter().filter_map(|(pool, w)| {
            let name = pool.type_in(&self.cloud.catalog)?.name.clone();
            Some((name, pool.is_spot(), w.back()?.1))
        });
        let mut plan = ScalingPlanRecord {
            token: leadership.token,
            wanted: wanted.collect(),
            shares: shares.clone(),
            closed: closed.clone(),
            ..ScalingPlanRecord::default()
        };
        let value_bytes = self.settings.state_limits().value_bytes;
        let most = (value_bytes as f64 * PLAN_SHARE) as usize;
        let left = most.saturating_sub(json_bytes(&plan));
        (plan.scale_out_requests, plan.scale_in) = s.fit(left);
        if json_bytes(&plan) > value_bytes {
            // An earlier leader's scale-out requests, from a time of larger values, wait for their answers.
            // Once enough are answered, the rest fits.
            return;
        }
        let op = StoreRequest::Transaction {
            preconditions,
            writes: vec![Write::put(Key::Plan, Record::Plan(plan))],
        };
        if self
            .send_store_request(op, RequestPurpose::WritePlan, Priority::First)
            .is_ok()
            && let Some(leadership) = &mut self.leadership
        {
            leadership.scale.plan_write_pending = true;
            leadership.scale.plan_changed = false;
            leadership.scale.shares = shares;
            leadership.scale.closed = closed;
            leadership.scale.scale_in.clear();
        }
    }

    pub(crate) fn on_plan_written(&mut self, reply: StoreResponse) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let s = &mut leadership.scale;
        s.plan_write_pending = false;
        if let StoreResponse::Committed { .. } = reply {
            // Scale-out requests planned while the commit was under way made the plan dirty
            // again, and wait for the next one.
            if !s.plan_changed {
                for request in &mut s.scale_out_requests {
                    if request.step == ScaleOutStep::Planned {
                        (request.step, request.at) = (ScaleOutStep::Written, now);
                    }
                }
            }
            self.send_scale_out_requests();
        } else {
            s.plan_changed = true;
        }
    }
}

impl ScalingState {
    /// The requests to scale out and the machines to return that fit into so many bytes. With
    /// many pools and zones a plan outgrew its value, and then nothing was scaled out. Requests
    /// that are answered go first: they only help a new leader before its list does; those
    /// that nobody has sent are planned again.
    fn fit(&mut self, bytes: usize) -> (Vec<ScaleOutRecord>, Vec<MachineId>) {
        let mut used: usize = self
            .scale_out_requests
            .iter()
            .map(|request| json_bytes(&request.record))
            .sum();
        while used > bytes {
            let answered = |request: &ScaleOutRequest| request.step == ScaleOutStep::Answered;
            let planned = |request: &ScaleOutRequest| request.step == ScaleOutStep::Planned;
            let oldest = self.scale_out_requests.iter().position(answered);
            let Some(at) = oldest.or_else(|| self.scale_out_requests.iter().rposition(planned))
            else {
                break;
            };
            used -= json_bytes(&self.scale_out_requests.remove(at).record);
        }
        let scale_out_requests = self
            .scale_out_requests
            .iter()
            .map(|request| request.record.clone())
            .collect();
        let mut left = bytes.saturating_sub(used);
        let fits = |id: &&MachineId| {
            let size = json_bytes(*id);
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        };
        (
            scale_out_requests,
            self.scale_in.iter().take_while(fits).cloned().collect(),
        )
    }

    /// Keeps the counts of the stabilization window.
    pub(crate) fn record_wanted(&mut self, pool: Pool, now: Time, wanted: u32, window_s: f64) {
        let w = self.wanted.entry(pool).or_default();
        if w.back().map(|(_, n)| *n) != Some(wanted) {
            self.plan_changed = true;
        }
        w.push_back((now, wanted));
        while w.front().is_some_and(|(at, _)| now.since(*at) > window_s) {
            w.pop_front();
        }
    }

    pub(crate) fn highest(&self, pool: Pool) -> u32 {
        let window = self.wanted.get(&pool);
        window
            .and_then(|w| w.iter().map(|(_, n)| *n).max())
            .unwrap_or(0)
    }
}
