//! What changes in jobs that others need comes to those: ends are read where they aren't known,
//! waiting jobs are released or cancelled, and priority classes rise and fall.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{Ending, Key, Record};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{JobId, Time};
use crate::wire::{StoreRequest, StoreResponse};
use std::collections::BTreeSet;

/// Ends of dependencies that are read at once.
const READS_MOST: usize = 4;
/// Pause before an end that wasn't there is looked for again: the job's record may not have come
/// here yet.
const READ_AGAIN_S: f64 = 0.2;

/// Reads of the ends of dependencies.
#[derive(Debug, Default)]
pub(crate) struct DependencyReads {
    /// Under way.
    reading: BTreeSet<JobId>,
    /// No read before then.
    not_before: Time,
}

impl Controller {
    /// Tells the owners of jobs what changed for these through others.
    pub(crate) fn on_affected(&mut self) {
        for id in self.context.store.mirror.take_affected() {
            let job = self.context.store.mirror.jobs.get(&id);
            let owned = job.and_then(|job| self.shards.get_mut(&job.record.shard));
            if let Some(shard) = owned {
                shard.on_dependencies_changed(&mut self.context, &id);
            }
        }
    }
}

impl Context {
    /// Reads the ends of dependencies of which nothing is known here.
    pub(crate) fn read_dependencies(&mut self) {
        if !self.store.initial_list_done() || self.now < self.dependency_reads.not_before {
            return;
        }
        let unread = self.store.mirror.unread_dependencies().iter();
        let reading = &self.dependency_reads.reading;
        let resources = READS_MOST.saturating_sub(reading.len());
        let next = unread.filter(|id| !reading.contains(*id)).take(resources);
        let next: Vec<JobId> = next.cloned().collect();
        for need in next {
            let op = StoreRequest::Get(Key::End(need.clone()));
            let purpose = RequestPurpose::ReadDependency(need.clone());
            if self
                .send_store_request(op, purpose, Priority::Usual)
                .is_err()
            {
                return;
            }
            self.dependency_reads.reading.insert(need);
        }
    }

    pub(crate) fn on_dependency_read(&mut self, need: JobId, reply: StoreResponse) {
        self.dependency_reads.reading.remove(&need);
        if self.learn_ending(&need, &reply).is_none() {
            self.dependency_reads.not_before = self.now.after(READ_AGAIN_S);
        }
    }

    /// Remembers how a job ended, if the answer to a read of its end says so.
    pub(crate) fn learn_ending(&mut self, id: &JobId, reply: &StoreResponse) -> Option<Ending> {
        let StoreResponse::Found {
            record: Record::End(ending),
            ..
        } = reply
        else {
            return None;
        };
        self.store.mirror.remember(self.now, id.clone(), *ending);
        Some(*ending)
    }
}
