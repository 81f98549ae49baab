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
        let stuck = leaving.filter(|query| {
            self.context.is_stale() || self.context.departs_late(&query.id, &overdue)
        });
        stuck.map(|query| query.request_id).collect()
    }
}

impl Context {
    pub(crate) fn write_cancellations(&mut self) {
        while let Some(query) = self.api.cancellations.pop_front() {
            let Some(job) = self.store.mirror.jobs.get(&query.id) else {
                self.api.unknown.push_back(query);
                continue;
            };
            let mut record = (*job.record).clone();
            record.cancelled = true;
            if self.too_large(&record).is_some() {
                // Accepted under a larger limit. A cancelled job starts nothing, so nobody needs
                // to know any more where it may run.
                record.types = None;
            }
            let key = Key::Job(query.id.clone());
            let op = StoreRequest::Transaction {
                preconditions: vec![(key.clone(), job.revision)],
                writes: vec![Write::put(key, Record::Job(Box::new(record)))],
            };
            if let Err(RequestPurpose::Cancel(query)) =
                self.send_store_request(op, RequestPurpose::Cancel(query), Priority::First)
            {
                self.api.cancellations.push_front(query);
                break;
            }
        }
    }

    pub(crate) fn on_cancelled(&mut self, query: StatusQuery, reply: StoreResponse) {
        match reply {
            StoreResponse::Committed { .. } => {
                info!("job cancelled by its user, job={}", query.id);
                self.api.leaving.push_back(query);
                self.answer_cancelled();
            }
            StoreResponse::Refused => self.api.cancellations.push_back(query),
            // Somebody changed the job, or the commit may stand: look again.
            _ => {
                let (asked, after) = (self.now, self.last_call());
                let again = StatusQuery {
                    asked,
                    after,
                    ..query
                };
                self.api.status_queries.push_back(again);
            }
        }
    }

    /// Tells users whose jobs have gone. A cancellation is told only now, when every task
    /// is proven gone: then nothing that fails later can let one run on past the bound.
    pub(crate) fn answer_cancelled(&mut self) {
        for query in std::mem::take(&mut self.api.leaving) {
            match self.store.mirror.ending(&query.id) {
                Some(ending) => self.answer_ending(query.request_id, &query.id, ending),
                None if self.store.mirror.jobs.contains_key(&query.id) => {
                    self.api.leaving.push_back(query);
                }
                None => self.api.unknown.push_back(query),
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
