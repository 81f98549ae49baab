//! Cancellations: the mark in a job's record, and the answer once no task of it is left.

use crate::controller::api::Question;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{Key, Record};
use crate::controller::{Core, Purpose};
use crate::ids::{JobId, MachineId, ReqId};
use crate::wire::{StateOp, StateReply, Write};
use log::info;
use std::collections::BTreeSet;

impl Core {
    pub(crate) fn pump_cancellations(&mut self) {
        while let Some(q) = self.front.cancellations.pop_front() {
            let Some(job) = self.cache.jobs.get(&q.id) else {
                self.front.unknown.push_back(q);
                continue;
            };
            let mut rec = (*job.rec).clone();
            rec.withdrawn = true;
            if self.too_large(&rec).is_some() {
                // Accepted under a larger limit. A cancelled job starts nothing, so nobody needs
                // to know any more where it may run.
                rec.types = None;
            }
            let key = Key::Job(q.id.clone());
            let op = StateOp::Commit {
                when: vec![(key.clone(), job.revision)],
                writes: vec![Write::put(key, Record::Job(Box::new(rec)))],
            };
            if let Err(Purpose::Cancel(q)) =
                self.state_call(op, Purpose::Cancel(q), Priority::First)
            {
                self.front.cancellations.push_front(q);
                break;
            }
        }
    }

    pub(crate) fn on_cancelled(&mut self, q: Question, reply: StateReply) {
        match reply {
            StateReply::Committed { .. } => {
                info!("job {} withdrawn by its user", q.id);
                self.front.leaving.push_back(q);
                self.answer_leaving();
            }
            StateReply::Refused => self.front.cancellations.push_back(q),
            // Somebody changed the job, or the commit may stand: look again.
            _ => {
                let (asked, after) = (self.now, self.last_call());
                let again = Question { asked, after, ..q };
                self.front.questions.push_back(again);
            }
        }
    }

    /// Tells users whose jobs have gone. A withdrawal is told only now, when every task
    /// is proven gone: then nothing that fails later can let one run on past the bound.
    pub(crate) fn answer_leaving(&mut self) {
        for q in std::mem::take(&mut self.front.leaving) {
            match self.cache.ending(&q.id) {
                Some(ending) => self.answer_ending(q.req, &q.id, ending),
                None if self.cache.jobs.contains_key(&q.id) => self.front.leaving.push_back(q),
                None => self.front.unknown.push_back(q),
            }
        }
    }

    /// Cancellations whose confirmation isn't in sight: their users are told to come back
    /// at once rather than after a wait for something that can't happen.
    pub(crate) fn stuck_departures(&self) -> Vec<ReqId> {
        let mut leaving = self.front.leaving.iter().peekable();
        if leaving.peek().is_none() {
            return Vec::new();
        }
        let told = self.lately().flat_map(|h| h.overdue.iter().cloned());
        let overdue: BTreeSet<MachineId> = told.chain(self.overdue()).collect();
        let stuck = leaving.filter(|q| self.blind() || self.departs_late(&q.id, &overdue));
        stuck.map(|q| q.req).collect()
    }

    /// Whether nobody is there to confirm that a job's tasks are gone, or one of them is
    /// on a machine that doesn't report.
    fn departs_late(&self, id: &JobId, overdue: &BTreeSet<MachineId>) -> bool {
        let job = self.cache.jobs.get(id);
        let block = job.and_then(|j| self.cache.blocks.get(&j.rec.block));
        let Some(holder) = block.and_then(|b| b.rec.as_ref()).map(|b| &b.holder) else {
            return false;
        };
        let here = *holder == self.settings.platform.member;
        let runs = job.map(|j| self.cache.effective_runs(id, &j.rec).0);
        let mut placed = runs.iter().flatten().flat_map(|(_, _, run)| &run.placed);
        !(here || self.heartbeat_fresh(holder))
            || placed.any(|(_, _, machine, _)| overdue.contains(machine))
    }
}
