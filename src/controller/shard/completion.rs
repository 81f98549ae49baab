//! Commits the ends of jobs, and deletes their leftover placement records.

use crate::controller::ShardOwner;
use crate::controller::context::Context;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::commits::write_priority;
use crate::controller::store::records::{Ending, Key, Record};
use crate::controller::store_requests::{RequestPurpose, ShardRequest};
use crate::ids::JobId;
use crate::wire::{StoreRequest, StoreResponse, Write};
use log::warn;

impl ShardOwner {
    /// Commits the ends of jobs while the budget lasts. Cancelled jobs go first, because their
    /// users wait for a response.
    pub(crate) fn write_job_ends(&mut self, context: &mut Context) {
        for id in self.ready_to_end(context) {
            if !self.write_job_end(context, &id) {
                return;
            }
        }
        self.delete_leftover_placements(context);
    }

    /// Jobs whose end can be committed now, the cancelled ones first.
    fn ready_to_end(&self, context: &Context) -> Vec<JobId> {
        let (mut cancelled, mut done) = (Vec::new(), Vec::new());
        let jobs = self.ready_to_end_jobs.iter();
        for (id, job_state) in jobs.filter_map(|id| Some((id, self.jobs.get(id)?))) {
            if job_state.is_finishing || job_state.chunks.values().any(|c| c.is_request_in_flight) {
                continue;
            }
            // The cancellation is confirmed to the user once the end is committed. At that point no
            // task of the job may be left, and no job that depends on it may still be open.
            // Otherwise a dependent job could still be reported as queued after a later failure,
            // although it can never start.
            let can_end_cancelled =
                job_state.placed.is_empty() && !context.store.mirror.has_dependents(id);
            match job_state.cancelled {
                Some(_) if can_end_cancelled => cancelled.push(id.clone()),
                Some(_) => {}
                None => done.push(id.clone()),
            }
        }
        cancelled.append(&mut done);
        cancelled
    }

    /// Commits a job's end and deletes the job's record in the same transaction. Chunks whose
    /// deletion doesn't fit into the transaction are deleted later. Returns false if there is no
    /// budget for the transaction.
    fn write_job_end(&mut self, context: &mut Context, id: &JobId) -> bool {
        let ops = context.settings.store_limits().txn_ops;
        let Some(job_state) = self.jobs.get_mut(id) else {
            return true;
        };
        let (job, end) = (Key::Job(id.clone()), Key::End(id.clone()));
        let preconditions = vec![
            (Key::Shard(self.shard), self.shard_revision),
            (job.clone(), job_state.revision),
            (end.clone(), 0),
        ];
        let (ending, priority) = match job_state.cancelled {
            None => (
                Ending::Done,
                write_priority(job_state.record.priority_class),
            ),
            Some(_) => (Ending::Cancelled, Priority::First),
        };
        let mut writes = vec![
            Write::put(end, Record::End(ending)),
            Write::Delete { key: job },
        ];
        let written = job_state
            .chunks
            .iter()
            .filter(|(_, chunk)| chunk.revision > 0);
        let ops_left = ops - writes.len();
        writes.extend(written.take(ops_left).map(|(chunk, _)| Write::Delete {
            key: Key::Placements(id.clone(), *chunk),
        }));
        let op = StoreRequest::Transaction {
            preconditions,
            writes,
        };
        let request = ShardRequest::WriteEnd(id.clone());
        let purpose = RequestPurpose::Shard(self.ownership(), request);
        let sent = context.send_store_request(op, purpose, priority).is_ok();
        if let Some(job_state) = self.jobs.get_mut(id) {
            job_state.is_finishing = sent;
        }
        sent
    }

    /// Deletes chunks of ended jobs, as many as fit into one transaction.
    fn delete_leftover_placements(&mut self, context: &mut Context) {
        let ops = context.settings.store_limits().txn_ops;
        if self.is_deleting_placements || self.leftover_placements.is_empty() {
            return;
        }
        let count = self.leftover_placements.len().min(ops);
        let chunks: Vec<_> = self.leftover_placements.drain(..count).collect();
        let writes = chunks.iter().map(|(job, chunk)| Write::Delete {
            key: Key::Placements(job.clone(), *chunk),
        });
        let op = StoreRequest::Transaction {
            preconditions: vec![(Key::Shard(self.shard), self.shard_revision)],
            writes: writes.collect(),
        };
        self.is_deleting_placements = true;
        let request = ShardRequest::DeletePlacements(chunks);
        let purpose = RequestPurpose::Shard(self.ownership(), request);
        if let Err(RequestPurpose::Shard(_, ShardRequest::DeletePlacements(chunks))) =
            context.send_store_request(op, purpose, Priority::Last)
        {
            self.on_placements_deleted(chunks, StoreResponse::Refused);
        }
    }

    /// Handles the response to a deletion of chunks. Those that weren't deleted are tried again.
    pub(crate) fn on_placements_deleted(
        &mut self,
        chunks: Vec<(JobId, u32)>,
        response: StoreResponse,
    ) {
        self.is_deleting_placements = false;
        if !matches!(response, StoreResponse::Committed { .. }) {
            self.leftover_placements.extend(chunks);
        }
    }

    /// Handles the response to the commit of a job's end.
    pub(crate) fn on_job_end_written(&mut self, id: JobId, response: StoreResponse) {
        let Some(job_state) = self.jobs.get_mut(&id) else {
            return;
        };
        job_state.is_finishing = false;
        // After a successful commit the watch reports the deletion of the job's record, which
        // removes the job here. A conflict means that the record of the shard or the job has
        // changed, for example by a cancellation, or that an earlier commit of the end succeeded
        // and its response was lost. After any response other than success the commit is retried.
        if let StoreResponse::Committed { .. } = response {
            job_state.is_finishing = true;
        } else if let StoreResponse::Conflict { failed } = response {
            warn!(
                "job end not written, job={id} records_changed={} reason=conflict",
                failed.len()
            );
        }
    }
}
