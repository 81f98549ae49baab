//! Calls to the state service: their budgets, and whose answer is whose.

use crate::controller::events::Output;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::{Call, Core, FreshRead, Purpose, Tenure};
use crate::ids::CallId;
use crate::wire::{StateOp, StateReply};

/// Share of what the other controllers may write that the holder leaves to them at least.
const KEPT_FOR_OTHERS: f64 = 0.35;
/// How much more than they wrote of late the others may write before the holder knows.
const USED_MARGIN: f64 = 1.5;

impl Core {
    /// Splits the limits that all controllers use together. A single block's holder
    /// places for all and gets more, the others share the rest; with several blocks
    /// the shares are even.
    pub(crate) fn share_budgets(&mut self) {
        let f = &self.settings.platform.facts;
        let (t, others) = (&self.settings.tuning, f.count.saturating_sub(1));
        let single = self.cache.blocks.len() <= 1;
        let sole_holder = others > 0 && single && !self.parked.is_empty();
        let part = match others {
            0 => 1.0,
            n if !single => 1.0 / f64::from(n + 1),
            _ if sole_holder => t.budget_holder,
            n => (1.0 - t.budget_holder) / f64::from(n),
        };
        let limits = self.settings.state_limits();
        let rps = limits.rps * part * t.budget_share;
        let all = limits.write_rps * t.budget_share;
        let mut wps = all * part;
        if sole_holder {
            // Placements, results and ends are written here alone, and the others seldom use all
            // of their share: with many short tasks that kept ends waiting for seconds.
            let theirs = all - wps;
            let used = self.change_meter.others() * USED_MARGIN;
            wps = all - used.clamp(theirs * KEPT_FOR_OTHERS, theirs);
        }
        // Those who don't lead ask the cloud for its catalogue and delete machines.
        let cloud = f.cloud.rps * t.budget_share;
        let cloud = match (others, single, self.lead.is_some()) {
            (0, _, _) | (_, true, _) => cloud,
            (_, _, true) => cloud * 0.6,
            (n, _, false) => cloud * 0.4 / f64::from(n),
        };
        self.requests.set(self.now, rps, rps);
        self.changes.set(self.now, wps, wps);
        self.cloud_budget.set(self.now, cloud, cloud * 1.5);
    }

    pub(crate) fn write_cost(op: &StateOp) -> f64 {
        match op {
            StateOp::Commit { writes, .. } => writes.len() as f64,
            _ => 0.0,
        }
    }

    /// Sends a call if the budget allows; hands the purpose back if it doesn't.
    pub(crate) fn state_call(
        &mut self,
        op: StateOp,
        purpose: Purpose,
        priority: Priority,
    ) -> Result<CallId, Purpose> {
        let cost = Self::write_cost(&op);
        if !self.requests.has(self.now, 1.0, priority)
            || (cost > 0.0 && !self.changes.has(self.now, cost, priority))
        {
            return Err(purpose);
        }
        self.requests.take(1.0);
        self.changes.take(cost);
        let id = self.call_id();
        let sent = self.now;
        let tenure = self.tenure();
        let call = Call {
            purpose,
            sent,
            changes: cost,
            tenure,
        };
        self.calls.insert(id, call);
        self.out.push(Output::State(id, op));
        Ok(id)
    }

    pub(crate) fn tenure(&self) -> Tenure {
        self.holder.as_ref().map(|h| (h.block, h.number))
    }

    pub(crate) fn call_id(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    pub(crate) fn last_call(&self) -> CallId {
        CallId(self.next_call)
    }

    pub(crate) fn on_state(&mut self, id: CallId, reply: StateReply) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let Call {
            purpose,
            sent,
            changes,
            tenure,
        } = call;
        if matches!(reply, StateReply::Committed { .. }) {
            self.change_meter.note_own(changes);
        }
        match &reply {
            StateReply::Refused | StateReply::NoAnswer | StateReply::Strange => {}
            _ => self.heard_at = self.now,
        }
        match &reply {
            StateReply::Missing { revision } | StateReply::Committed { revision } => {
                self.fresh_waiting.push_back(FreshRead {
                    call: id,
                    sent,
                    revision: *revision,
                    answered: self.now,
                });
            }
            _ => {}
        }
        match purpose {
            Purpose::List => self.on_list(reply),
            Purpose::Follow => self.on_follow(reply, sent),
            Purpose::Fresh => self.on_fresh(&reply),
            Purpose::Grant => self.on_grant(reply, sent),
            Purpose::Elect => self.on_elected(reply),
            Purpose::Extend => self.on_extended(reply, sent),
            Purpose::Submit(list) => self.on_submitted(list, reply, sent),
            Purpose::Cancel(q) => self.on_cancelled(q, reply),
            Purpose::ReadEnd(q) => self.on_end_read(q, reply),
            Purpose::ReadNamed(naming, need) => self.on_named_read(*naming, need, reply),
            Purpose::ReadNeed(need) => self.on_need_read(need, reply),
            Purpose::Plan => self.on_planned(reply),
            Purpose::Lease => self.on_leased(reply),
            Purpose::Release => {}
            Purpose::CellChange => self.on_cell_changed(reply),
            of_block => self.on_block_reply(of_block, tenure, reply),
        }
        self.catch_up();
    }

    pub(crate) fn on_block_reply(&mut self, purpose: Purpose, tenure: Tenure, reply: StateReply) {
        let Some((block, number)) = tenure else {
            return;
        };
        self.in_block(block, |core| {
            if core.tenure() != Some((block, number)) {
                return;
            }
            match purpose {
                Purpose::Flush(items) => core.on_flushed(items, reply),
                Purpose::Reread(job, chunk) => core.on_reread(job, chunk, reply),
                Purpose::Finish(job) => core.on_finished(job, reply),
                Purpose::Cleanup(list) => core.on_cleaned(list, reply),
                _ => {}
            }
        });
    }
}
