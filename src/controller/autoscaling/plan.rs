//! The leader's plan: what it wants, and the rentals under way, written before they are sent.

use crate::controller::autoscaling::Pool;
use crate::controller::autoscaling::scale_out::{Rental, RentalStep};
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{Closed, Key, PlanRec, Record, RentalRec, json_bytes};
use crate::controller::{Core, Purpose};
use crate::ids::{MachineId, Time};
use crate::wire::{StateOp, StateReply, Write};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Share of the value limit that the plan may fill.
const PLAN_SHARE: f64 = 0.9;

#[derive(Debug, Default)]
pub(crate) struct Scale {
    /// Whether counts are rebuilt, so that renting may begin.
    pub(crate) ready: Option<Time>,
    pub(crate) listed: bool,
    pub(crate) tick_at: Time,
    pub(crate) wanted: BTreeMap<Pool, VecDeque<(Time, u32)>>,
    pub(crate) rentals: Vec<Rental>,
    pub(crate) rental_count: u64,
    /// Until when a pool's zone isn't asked again, and how often it refused.
    pub(crate) refused: HashMap<(usize, String, bool), (Time, u32)>,
    pub(crate) shares: Vec<(u32, u32)>,
    pub(crate) closed: Vec<Closed>,
    /// Machines to return, for the next plan.
    pub(crate) returns: Vec<MachineId>,
    pub(crate) plan_busy: bool,
    pub(crate) plan_dirty: bool,
}

impl Core {
    /// A new leader first repeats the rentals that the plan speaks of, under their
    /// names, and lists: it rents only once it knows what is there.
    pub(crate) fn rebuild_scale(&mut self) {
        let now = self.now;
        let plan = self.cache.plan.rec.clone().unwrap_or_default();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let written = |rec| Rental {
            rec,
            step: RentalStep::Written,
            at: now,
        };
        lead.scale.rentals = plan.rentals.into_iter().map(written).collect();
        lead.scale.tick_at = now;
    }

    /// Writes wanted counts and rentals. A rental is sent only once it stands here.
    pub(crate) fn write_plan(&mut self) {
        let lag = self.settings.platform.facts.cloud.list_lag_s;
        let now = self.now;
        let shares = self.job_shares();
        let when = vec![(Key::Leader, self.cache.leader.version())];
        let Some(lead) = &mut self.lead else {
            return;
        };
        let s = &mut lead.scale;
        let before = s.rentals.len();
        let kept_s = 3.0 * lag + 5.0;
        s.rentals
            .retain(|rental| rental.step != RentalStep::Answered || now.since(rental.at) < kept_s);
        let closed = s.closed(&self.catalog, now);
        s.plan_dirty |= s.rentals.len() != before || s.shares != shares || s.closed != closed;
        if s.plan_busy || !s.plan_dirty {
            return;
        }
        let wanted = s.wanted.iter().filter_map(|((class, spot), w)| {
            let name = self.catalog.get(*class)?.name.clone();
            Some((name, *spot, w.back()?.1))
        });
        let mut plan = PlanRec {
            number: lead.number,
            wanted: wanted.collect(),
            shares: shares.clone(),
            closed: closed.clone(),
            ..PlanRec::default()
        };
        let value_bytes = self.settings.state_limits().value_bytes;
        let most = (value_bytes as f64 * PLAN_SHARE) as usize;
        let left = most.saturating_sub(json_bytes(&plan));
        (plan.rentals, plan.returns) = s.fit(left);
        if json_bytes(&plan) > value_bytes {
            // An earlier leader's rentals, from a time of larger values, wait for their answers.
            // Once enough are answered, the rest fits.
            return;
        }
        let op = StateOp::Commit {
            when,
            writes: vec![Write::put(Key::Plan, Record::Plan(plan))],
        };
        if self.state_call(op, Purpose::Plan, Priority::First).is_ok()
            && let Some(lead) = &mut self.lead
        {
            lead.scale.plan_busy = true;
            lead.scale.plan_dirty = false;
            lead.scale.shares = shares;
            lead.scale.closed = closed;
            lead.scale.returns.clear();
        }
    }

    pub(crate) fn on_planned(&mut self, reply: StateReply) {
        let now = self.now;
        let Some(lead) = &mut self.lead else {
            return;
        };
        let s = &mut lead.scale;
        s.plan_busy = false;
        if let StateReply::Committed { .. } = reply {
            // Rentals planned while the commit was under way made the plan dirty
            // again, and wait for the next one.
            if !s.plan_dirty {
                for rental in &mut s.rentals {
                    if rental.step == RentalStep::Planned {
                        (rental.step, rental.at) = (RentalStep::Written, now);
                    }
                }
            }
            self.send_rentals();
        } else {
            s.plan_dirty = true;
        }
    }
}

impl Scale {
    /// The requests to rent and the machines to return that fit into so many bytes. With
    /// many pools and zones a plan outgrew its value, and then nothing was rented. Requests
    /// that are answered go first: they only help a new leader before its list does; those
    /// that nobody has sent are planned again.
    fn fit(&mut self, bytes: usize) -> (Vec<RentalRec>, Vec<MachineId>) {
        let mut used: usize = self
            .rentals
            .iter()
            .map(|rental| json_bytes(&rental.rec))
            .sum();
        while used > bytes {
            let answered = |rental: &Rental| rental.step == RentalStep::Answered;
            let planned = |rental: &Rental| rental.step == RentalStep::Planned;
            let oldest = self.rentals.iter().position(answered);
            let Some(at) = oldest.or_else(|| self.rentals.iter().rposition(planned)) else {
                break;
            };
            used -= json_bytes(&self.rentals.remove(at).rec);
        }
        let rentals = self
            .rentals
            .iter()
            .map(|rental| rental.rec.clone())
            .collect();
        let mut left = bytes.saturating_sub(used);
        let fits = |id: &&MachineId| {
            let size = json_bytes(*id);
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        };
        (
            rentals,
            self.returns.iter().take_while(fits).cloned().collect(),
        )
    }

    /// Keeps the counts of the stabilization window.
    pub(crate) fn remember(&mut self, pool: Pool, now: Time, wanted: u32, window_s: f64) {
        let w = self.wanted.entry(pool).or_default();
        if w.back().map(|(_, n)| *n) != Some(wanted) {
            self.plan_dirty = true;
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
