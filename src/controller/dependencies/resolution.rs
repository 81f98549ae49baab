//! Resolution of dependencies: reads unknown ends of jobs from the store, and notifies the owners
//! of jobs that are released or cancelled, or whose priority class changed.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::mirror::KnownEnding;
use crate::controller::store::records::{Key, Record};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{JobId, Time};
use crate::wire::{StoreRequest, StoreResponse};
use std::collections::BTreeSet;

/// Upper bound on the concurrent reads of ends of dependencies.
const PENDING_READS_MAX: usize = 4;
/// Pause before the next reads of ends after a read has found none, in seconds. The job may still
/// be running, and the watch may not have delivered its record yet.
const MISSING_END_RETRY_S: f64 = 0.2;

/// The state of the reads of dependencies' ends.
#[derive(Debug, Default)]
pub(crate) struct DependencyReads {
    /// Jobs whose ends are being read.
    pending: BTreeSet<JobId>,
    /// Time before which no read is sent.
    not_before: Time,
}

impl Controller {
    /// Notifies the owned shards of jobs whose state or priority class changed because of other
    /// jobs.
    pub(crate) fn on_affected_jobs(&mut self) {
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
    /// Reads the ends of dependencies of which neither the job record nor the end is known.
    pub(crate) fn read_dependencies(&mut self) {
        if !self.store.is_initial_list_done() || self.now < self.dependency_reads.not_before {
            return;
        }
        let unread = self.store.mirror.unread_dependencies().iter();
        let pending = &self.dependency_reads.pending;
        let reads_left = PENDING_READS_MAX.saturating_sub(pending.len());
        let next = unread.filter(|id| !pending.contains(*id)).take(reads_left);
        let next: Vec<JobId> = next.cloned().collect();
        for dependency in next {
            let request = StoreRequest::Get(Key::End(dependency.clone()));
            let purpose = RequestPurpose::ReadDependency(dependency.clone());
            if self
                .send_store_request(request, purpose, Priority::Usual)
                .is_err()
            {
                return;
            }
            self.dependency_reads.pending.insert(dependency);
        }
    }

    /// Handles the response to a read of a dependency's end.
    pub(crate) fn on_dependency_read(&mut self, dependency: JobId, response: StoreResponse) {
        self.dependency_reads.pending.remove(&dependency);
        if self.learn_ending(&dependency, &response).is_none() {
            self.dependency_reads.not_before = self.now.after(MISSING_END_RETRY_S);
        }
    }

    /// Records how a job ended if the response to a read of its end contains one that the mirror
    /// has reached. Returns the ending, or `None` if there is none or the read failed. A newer
    /// ending is left to the watch, which first delivers what the delay of the ending depends on.
    pub(crate) fn learn_ending(
        &mut self,
        id: &JobId,
        response: &StoreResponse,
    ) -> Option<KnownEnding> {
        let StoreResponse::Found {
            record: Record::End(ending),
            revision,
        } = response
        else {
            return None;
        };
        if *revision <= self.store.mirror.revision {
            let id = id.clone();
            self.store.mirror.record_ending(self.now, id, *ending);
        }
        self.store.mirror.ending(id)
    }
}
