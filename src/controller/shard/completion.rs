//! How the ends of jobs are committed, and how what is left of their records is cleared away.

use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::commits::rank_priority;
use crate::controller::store::records::{Ending, Key, Record};
use crate::controller::{Controller, RequestPurpose};
use crate::ids::JobId;
use crate::wire::{StoreRequest, StoreResponse, Write};
use log::warn;

impl Controller {
    /// Writes the ends of jobs: first of cancelled ones, for which users wait, while the budget
    /// lasts.
    pub(crate) fn pump_endings(&mut self) {
        for id in self.ready_to_end() {
            if !self.commit_end(&id) {
                return;
            }
        }
        self.pump_cleanup();
    }

    /// Jobs whose end can be committed now.
    fn ready_to_end(&self) -> Vec<JobId> {
        let Some(h) = &self.owner else {
            return Vec::new();
        };
        let (mut cancelled, mut done) = (Vec::new(), Vec::new());
        let jobs = h.to_finish.iter();
        for (id, live) in jobs.filter_map(|id| Some((id, h.jobs.get(id)?))) {
            if live.finishing || live.chunks.values().any(|c| c.busy) {
                continue;
            }
            // The user of a cancelled job is told with its end. By then no task of it is left, and
            // no job is open that needs it: none can be called queued when that isn't true any
            // more, whatever fails from then on.
            let settled = live.placed.is_empty() && !self.mirror.is_needed(id);
            match live.cancelled {
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
    fn commit_end(&mut self, id: &JobId) -> bool {
        let ops = self.settings.state_limits().txn_ops;
        let Some(h) = &mut self.owner else {
            return false;
        };
        let Some(live) = h.jobs.get_mut(id) else {
            return true;
        };
        let (job, end) = (Key::Job(id.clone()), Key::End(id.clone()));
        let preconditions = vec![
            (Key::Shard(h.shard), h.shard_revision),
            (job.clone(), live.revision),
            (end.clone(), 0),
        ];
        let (ending, priority) = match live.cancelled {
            None => (Ending::Done, rank_priority(live.record.priority_class)),
            Some(_) => (Ending::Cancelled, Priority::First),
        };
        let mut writes = vec![
            Write::put(end, Record::End(ending)),
            Write::Delete { key: job },
        ];
        let written = live.chunks.iter().filter(|(_, c)| c.revision > 0);
        let resources = ops - writes.len();
        writes.extend(written.take(resources).map(|(chunk, _)| Write::Delete {
            key: Key::Run(id.clone(), *chunk),
        }));
        let op = StoreRequest::Transaction {
            preconditions,
            writes,
        };
        let purpose = RequestPurpose::WriteEnd(id.clone());
        let sent = self.send_store_request(op, purpose, priority).is_ok();
        if let Some(live) = self.owner.as_mut().and_then(|h| h.jobs.get_mut(id)) {
            live.finishing = sent;
        }
        sent
    }

    /// Deletes chunks of jobs that are over.
    fn pump_cleanup(&mut self) {
        let ops = self.settings.state_limits().txn_ops;
        let Some(h) = &mut self.owner else {
            return;
        };
        if h.cleaning || h.leftover_chunks.is_empty() {
            return;
        }
        let n = h.leftover_chunks.len().min(ops);
        let list: Vec<_> = h.leftover_chunks.drain(..n).collect();
        let writes = list.iter().map(|(job, chunk)| Write::Delete {
            key: Key::Run(job.clone(), *chunk),
        });
        let op = StoreRequest::Transaction {
            preconditions: vec![(Key::Shard(h.shard), h.shard_revision)],
            writes: writes.collect(),
        };
        h.cleaning = true;
        if let Err(RequestPurpose::DeletePlacements(list)) =
            self.send_store_request(op, RequestPurpose::DeletePlacements(list), Priority::Last)
        {
            self.on_cleaned(list, StoreResponse::Refused);
        }
    }

    pub(crate) fn on_cleaned(&mut self, list: Vec<(JobId, u32)>, reply: StoreResponse) {
        if let Some(h) = &mut self.owner {
            h.cleaning = false;
            if !matches!(reply, StoreResponse::Committed { .. }) {
                h.leftover_chunks.extend(list);
            }
        }
    }

    pub(crate) fn on_finished(&mut self, id: JobId, reply: StoreResponse) {
        let Some(live) = self.owner.as_mut().and_then(|h| h.jobs.get_mut(&id)) else {
            return;
        };
        live.finishing = false;
        // The follow brings the end; a conflict means that a withdrawal came first,
        // and anything else is tried again.
        if let StoreResponse::Committed { .. } = reply {
            live.finishing = true;
        } else if let StoreResponse::Conflict { failed } = reply {
            warn!("job {id} didn't end: {} changed", failed.len());
        }
    }
}
