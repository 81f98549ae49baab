//! Cancellations: the mark in a job's record, and the answer once no task of it is left.

use crate::controller::Controller;
use crate::controller::api::StatusQuery;
use crate::controller::context::Context;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{Key, Record};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{JobId, MachineId, RequestId};
use crate::wire::{StoreRequest, StoreResponse, Write};
use log::info;
use std::collections::BTreeSet;

impl Controller {
    /// Cancellations whose confirmation isn't in sight: their users are told to come back
    /// at once rather than after a wait for something that can't happen.
    pub(crate) fn blocked_cancellations(&self) -> Vec<RequestId> {
        let mut leaving = self.context.api.leaving.iter().peekable();
        if leaving.peek().is_none() {
            return Vec::new();
        }
        let told = self
            .context
            .recent_heartbeats()
            .flat_map(|h| h.overdue.iter().cloned());
        let overdue: BTreeSet<MachineId> = told.chain(self.overdue()).collect();
        let stuck = leaving
            .filter(|q| self.context.is_stale() || self.context.departs_late(&q.id, &overdue));
        stuck.map(|q| q.request_id).collect()
    }
}

impl Context {
    pub(crate) fn write_cancellations(&mut self) {
        while let Some(q) = self.api.cancellations.pop_front() {
            let Some(job) = self.store.mirror.jobs.get(&q.id) else {
                self.api.unknown.push_back(q);
                continue;
            };
            let mut record = (*job.record).clone();
            record.cancelled = true;
            if self.too_large(&record).is_some() {
                // Accepted under a larger limit. A cancelled job starts nothing, so nobody needs
                // to know any more where it may run.
                record.types = None;
            }
            let key = Key::Job(q.id.clone());
            let op = StoreRequest::Transaction {
                preconditions: vec![(key.clone(), job.revision)],
                writes: vec![Write::put(key, Record::Job(Box::new(record)))],
            };
            if let Err(RequestPurpose::Cancel(q)) =
                self.send_store_request(op, RequestPurpose::Cancel(q), Priority::First)
            {
                self.api.cancellations.push_front(q);
                break;
            }
        }
    }

    pub(crate) fn on_cancelled(&mut self, q: StatusQuery, reply: StoreResponse) {
        match reply {
            StoreResponse::Committed { .. } => {
                info!("job cancelled by its user, job={}", q.id);
                self.api.leaving.push_back(q);
                self.answer_cancelled();
            }
            StoreResponse::Refused => self.api.cancellations.push_back(q),
            // Somebody changed the job, or the commit may stand: look again.
            _ => {
                let (asked, after) = (self.now, self.last_call());
                let again = StatusQuery { asked, after, ..q };
                self.api.status_queries.push_back(again);
            }
        }
    }

    /// Tells users whose jobs have gone. A cancellation is told only now, when every task
    /// is proven gone: then nothing that fails later can let one run on past the bound.
    pub(crate) fn answer_cancelled(&mut self) {
        for q in std::mem::take(&mut self.api.leaving) {
            match self.store.mirror.ending(&q.id) {
                Some(ending) => self.answer_ending(q.request_id, &q.id, ending),
                None if self.store.mirror.jobs.contains_key(&q.id) => self.api.leaving.push_back(q),
                None => self.api.unknown.push_back(q),
            }
        }
    }

    /// Whether nobody is there to confirm that a job's tasks are gone, or one of them is
    /// on a machine that doesn't heartbeat.
    fn departs_late(&self, id: &JobId, overdue: &BTreeSet<MachineId>) -> bool {
        let job = self.store.mirror.jobs.get(id);
        let shard = job.and_then(|j| self.store.mirror.shards.get(&j.record.shard));
        let Some(owner) = shard.and_then(|b| b.record.as_ref()).map(|b| &b.owner) else {
            return false;
        };
        let here = *owner == self.settings.platform.controller_id;
        let runs = job.map(|j| self.store.mirror.effective_placements(id, &j.record).0);
        let mut placed = runs.iter().flatten().flat_map(|(_, _, run)| &run.placed);
        !(here || self.heartbeat_fresh(owner))
            || placed.any(|(_, _, machine, _)| overdue.contains(machine))
    }
}
