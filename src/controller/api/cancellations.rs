//! Writes cancellations to the records of jobs, and confirms each to its user once no task of the
//! job is left.

use crate::controller::Controller;
use crate::controller::api::StatusQuery;
use crate::controller::context::Context;
use crate::controller::events::Reply;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{Key, Record};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{JobId, MachineId, RequestId};
use crate::wire::{StoreRequest, StoreResponse, Write};
use log::info;
use std::collections::BTreeSet;

impl Controller {
    /// Requests that wait for the end of a job while no controller can confirm that end. Most of
    /// them are cancellations. Their users are asked to retry without having to wait for the full
    /// timeout.
    pub(crate) fn blocked_cancellations(&self) -> Vec<RequestId> {
        let mut awaiting_end = self.context.api.awaiting_end.iter().peekable();
        if awaiting_end.peek().is_none() {
            return Vec::new();
        }
        let overdue_at_peers = self
            .context
            .recent_heartbeats()
            .flat_map(|heartbeat| heartbeat.overdue_machines.iter().cloned());
        let overdue: BTreeSet<MachineId> =
            overdue_at_peers.chain(self.overdue_machines()).collect();
        let blocked = awaiting_end.filter(|query| {
            self.context.is_stale() || self.context.end_is_blocked(&query.id, &overdue)
        });
        blocked.map(|query| query.request_id).collect()
    }
}

impl Context {
    /// Queues the cancellation of a job that is live in the mirror. No read of the store is needed
    /// first: the write is conditional on the record's revision, and fails if the job has ended.
    pub(crate) fn cancel_live_job(&mut self, query: StatusQuery) {
        if self.store.mirror.is_cancelled(&query.id) {
            self.api.awaiting_end.push_back(query);
        } else {
            self.api.cancellations.push_back(query);
        }
    }

    /// Marks jobs as cancelled in their records.
    pub(crate) fn write_cancellations(&mut self) {
        while let Some(query) = self.api.cancellations.pop_front() {
            let Some(job) = self.store.mirror.jobs.get(&query.id) else {
                self.api.awaiting_end_read.push_back(query);
                continue;
            };
            let mut record = (*job.record).clone();
            record.cancelled = true;
            if self.oversize_reason(&record).is_some() {
                // The job was accepted when the store's size limit was larger. The machine types on
                // which it may run can be dropped, since a cancelled job starts no more tasks.
                record.types = None;
            }
            let key = Key::Job(query.id.clone());
            let request = StoreRequest::Transaction {
                preconditions: vec![(key.clone(), job.revision)],
                writes: vec![Write::put(key, Record::Job(Box::new(record)))],
            };
            if let Err(RequestPurpose::Cancel(query)) =
                self.send_store_request(request, RequestPurpose::Cancel(query), Priority::First)
            {
                self.api.cancellations.push_front(query);
                break;
            }
        }
    }

    /// Handles the response to the write of a cancellation.
    pub(crate) fn on_cancelled(&mut self, query: StatusQuery, response: StoreResponse) {
        match response {
            StoreResponse::Committed { .. } => {
                info!("job cancelled by its user, job={}", query.id);
                self.api.awaiting_end.push_back(query);
                self.answer_cancelled();
            }
            // The store may refuse this controller alone, so that another one can write it.
            StoreResponse::Refused => self.answer(
                query.request_id,
                Reply::later(503, 1, "the state service refused"),
            ),
            // The job has changed, or the outcome of the commit is unknown, so its state is read
            // again.
            _ => {
                let retry = StatusQuery {
                    received_at: self.now,
                    preceding_call: self.last_call(),
                    ..query
                };
                self.api.status_queries.push_back(retry);
            }
        }
    }

    /// Answers the queries whose jobs have ended. A cancellation is confirmed only when every task
    /// of the job is proven gone, so that no later failure can let a task run past the time limit
    /// for cancellations.
    pub(crate) fn answer_cancelled(&mut self) {
        for query in std::mem::take(&mut self.api.awaiting_end) {
            match self.store.mirror.ending(&query.id) {
                Some(ending) => self.answer_ending(query.request_id, &query.id, ending),
                None if self.store.mirror.jobs.contains_key(&query.id) => {
                    self.api.awaiting_end.push_back(query);
                }
                None => self.api.awaiting_end_read.push_back(query),
            }
        }
    }

    /// Whether the end of a job can't be confirmed at present: the owner of its shard is down or
    /// unreachable, or one of its tasks is on a machine whose heartbeat is overdue.
    fn end_is_blocked(&self, id: &JobId, overdue: &BTreeSet<MachineId>) -> bool {
        let job = self.store.mirror.jobs.get(id);
        let shard = job.and_then(|job| self.store.mirror.shards.get(&job.record.shard));
        let shard_record = shard.and_then(|shard| shard.record.as_ref());
        let Some(owner) = shard_record.map(|record| &record.owner) else {
            return false;
        };
        let is_owned_here = *owner == self.settings.platform.controller_id;
        let placements = job.map(|job| {
            let (placements, _) = self.store.mirror.effective_placements(id, &job.record);
            placements
        });
        let mut placed = placements
            .iter()
            .flatten()
            .flat_map(|(_, _, record)| &record.placed);
        !(is_owned_here || self.has_recent_heartbeat(owner))
            || placed.any(|(_, _, machine, _)| overdue.contains(machine))
    }
}
