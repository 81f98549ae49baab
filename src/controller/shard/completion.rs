//! How the ends of jobs are committed, and how what is left of their records is cleared away.

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
    /// Writes the ends of jobs: first of cancelled ones, for which users wait, while the budget
    /// lasts.
    pub(crate) fn write_job_ends(&mut self, context: &mut Context) {
        for id in self.ready_to_end(context) {
            if !self.write_job_end(context, &id) {
                return;
            }
        }
        self.delete_leftover_placements(context);
    }

    /// Jobs whose end can be committed now.
    fn ready_to_end(&self, context: &Context) -> Vec<JobId> {
        let (mut cancelled, mut done) = (Vec::new(), Vec::new());
        let jobs = self.ready_to_end_jobs.iter();
        for (id, job_state) in jobs.filter_map(|id| Some((id, self.jobs.get(id)?))) {
            if job_state.is_finishing || job_state.chunks.values().any(|c| c.busy) {
                continue;
            }
            // The user of a cancelled job is told with its end. By then no task of it is left, and
            // no job is open that depends on it: none can be called queued when that isn't true any
            // more, whatever fails from then on.
            let settled = job_state.placed.is_empty() && !context.store.mirror.has_dependents(id);
            match job_state.cancelled {
                Some(_) if settled => cancelled.push(id.clone()),
                Some(_) => {}
                None => done.push(id.clone()),
            }
        }
        cancelled.append(&mut done);
        cancelled
    }

    /// Commits a job's end, and with it the deletion of its record; chunks that don't fit into the
    /// transaction go later. False if there is no budget for it.
    fn write_job_end(&mut self, context: &mut Context, id: &JobId) -> bool {
        let ops = context.settings.state_limits().txn_ops;
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
        let written = job_state.chunks.iter().filter(|(_, c)| c.revision > 0);
        let resources = ops - writes.len();
        writes.extend(written.take(resources).map(|(chunk, _)| Write::Delete {
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

    /// Deletes chunks of jobs that are over.
    fn delete_leftover_placements(&mut self, context: &mut Context) {
        let ops = context.settings.state_limits().txn_ops;
        if self.deleting_placements || self.leftover_placements.is_empty() {
            return;
        }
        let n = self.leftover_placements.len().min(ops);
        let list: Vec<_> = self.leftover_placements.drain(..n).collect();
        let writes = list.iter().map(|(job, chunk)| Write::Delete {
            key: Key::Placements(job.clone(), *chunk),
        });
        let op = StoreRequest::Transaction {
            preconditions: vec![(Key::Shard(self.shard), self.shard_revision)],
            writes: writes.collect(),
        };
        self.deleting_placements = true;
        let request = ShardRequest::DeletePlacements(list);
        let purpose = RequestPurpose::Shard(self.ownership(), request);
        if let Err(RequestPurpose::Shard(_, ShardRequest::DeletePlacements(list))) =
            context.send_store_request(op, purpose, Priority::Last)
        {
            self.on_placements_deleted(list, StoreResponse::Refused);
        }
    }

    pub(crate) fn on_placements_deleted(&mut self, list: Vec<(JobId, u32)>, reply: StoreResponse) {
        self.deleting_placements = false;
        if !matches!(reply, StoreResponse::Committed { .. }) {
            self.leftover_placements.extend(list);
        }
    }

    pub(crate) fn on_job_end_written(&mut self, id: JobId, reply: StoreResponse) {
        let Some(job_state) = self.jobs.get_mut(&id) else {
            return;
        };
        job_state.is_finishing = false;
        // The watch brings the end; a conflict means that a cancellation came first,
        // and anything else is tried again.
        if let StoreResponse::Committed { .. } = reply {
            job_state.is_finishing = true;
        } else if let StoreResponse::Conflict { failed } = reply {
            warn!(
                "job end not written, job={id} reason={} records changed",
                failed.len()
            );
        }
    }
}
