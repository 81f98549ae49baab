//! The graph of dependencies between jobs that haven't ended.
//!
//! A job may start once all its dependencies have ended as done. Only a committed `end/ID` record
//! proves this. A job that depends on a cancelled job is cancelled too, as soon as the cancelled
//! job can't end as done any more: once its record is marked as cancelled, or once its end is
//! committed as cancelled. The graph is derived from the store's records whenever they change, so
//! that no state is lost when a controller terminates.

use crate::controller::store::mirror::{MirroredJob, StoreMirror};
use crate::controller::store::records::{Ending, JobRecord, PriorityClass};
use crate::ids::JobId;
use std::collections::{BTreeSet, HashMap, HashSet};

/// The combined state of a job's dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DependencyState {
    /// All dependencies are done: the job may start.
    Met,
    /// Some dependencies haven't ended yet.
    Open,
    /// Some dependencies may have ended: neither their job record nor their end is known.
    Unknown,
    /// A dependency is cancelled: the job is cancelled too.
    Cancelled,
}

/// The dependencies between jobs that haven't ended, and the state that is derived from them.
#[derive(Debug, Default)]
pub(crate) struct Dependencies {
    /// The jobs that depend on each dependency.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Jobs that are cancelled because a job that they depend on is cancelled.
    cancelled: HashSet<JobId>,
    /// Dependencies of which neither the job record nor the end is known. Their ends have to be
    /// read from the store.
    unread: BTreeSet<JobId>,
    /// Jobs whose state or priority class changed because of a dependency or a dependent.
    affected: BTreeSet<JobId>,
}

impl StoreMirror {
    /// Returns the combined state of a job's dependencies.
    pub(crate) fn dependency_state(&self, record: &JobRecord) -> DependencyState {
        let mut state = DependencyState::Met;
        for id in &record.dependencies {
            match self.ending(id).map(|known| known.ending) {
                Some(Ending::Done) => {}
                Some(Ending::Cancelled) => return DependencyState::Cancelled,
                None if self.is_cancelled(id) => return DependencyState::Cancelled,
                None if !self.jobs.contains_key(id) => state = DependencyState::Unknown,
                None if state == DependencyState::Met => state = DependencyState::Open,
                None => {}
            }
        }
        state
    }

    /// Whether a job that hasn't ended depends on this job.
    pub(crate) fn has_dependents(&self, id: &JobId) -> bool {
        self.dependencies.dependents.contains_key(id)
    }

    /// Whether the mirror shows that a job was accepted.
    pub(crate) fn is_accepted(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id) || self.ending(id).is_some()
    }

    /// Whether a job that hasn't ended can't end as done any more, since it is cancelled or depends
    /// on a cancelled job.
    pub(crate) fn is_cancelled(&self, id: &JobId) -> bool {
        let is_marked = self
            .jobs
            .get(id)
            .is_some_and(|job| job.cancelled_at.is_some());
        is_marked || self.is_cancelled_by_dependency(id)
    }

    /// Whether a job that hasn't ended is cancelled because a job that it depends on is cancelled.
    pub(crate) fn is_cancelled_by_dependency(&self, id: &JobId) -> bool {
        self.dependencies.cancelled.contains(id)
    }

    /// Whether a direct or transitive dependency of a job may have been cancelled, since its end
    /// hasn't been read yet.
    pub(crate) fn may_be_cancelled(&self, id: &JobId) -> bool {
        if self.dependencies.unread.is_empty() {
            return false;
        }
        let (mut to_visit, mut visited) = (vec![id], HashSet::new());
        while let Some(id) = to_visit.pop() {
            if self.dependencies.unread.contains(id) {
                return true;
            }
            if let Some(job) = self.jobs.get(id).filter(|_| visited.insert(id)) {
                to_visit.extend(&job.record.dependencies);
            }
        }
        false
    }

    /// Returns the dependencies whose ends have to be read from the store.
    pub(crate) fn unread_dependencies(&self) -> &BTreeSet<JobId> {
        &self.dependencies.unread
    }

    /// Returns the jobs whose state or priority class changed because of a dependency or a
    /// dependent since the last call.
    pub(crate) fn take_affected(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.dependencies.affected)
    }

    /// Adds a job that is new in the mirror to the graph.
    pub(crate) fn link_job(&mut self, id: &JobId) {
        let Some(record) = self.jobs.get(id).map(|job| job.record.clone()) else {
            return;
        };
        self.dependencies.unread.remove(id);
        for dependency in &record.dependencies {
            let dependents = &mut self.dependencies.dependents;
            dependents
                .entry(dependency.clone())
                .or_default()
                .insert(id.clone());
            self.request_end_read(dependency);
        }
        if self.dependency_state(&record) == DependencyState::Cancelled {
            self.cancel_with_dependents(id);
        }
        let dependencies = record.dependencies.iter().cloned();
        self.update_priority_classes(dependencies.chain([id.clone()]).collect());
    }

    /// Removes a job that has ended from the graph. If other jobs depend on it and its end isn't
    /// known, its end is read.
    pub(crate) fn unlink_job(&mut self, id: &JobId, job: &MirroredJob) {
        self.dependencies.cancelled.remove(id);
        for dependency in &job.record.dependencies {
            if let Some(dependents) = self.dependencies.dependents.get_mut(dependency) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.dependencies.dependents.remove(dependency);
                    self.dependencies.unread.remove(dependency);
                }
            }
        }
        self.update_priority_classes(job.record.dependencies.clone());
        self.request_end_read(id);
    }

    /// Marks the dependents of a job that is done as affected, or cancels those of a cancelled job.
    pub(crate) fn on_job_ended(&mut self, id: &JobId, ending: Ending) {
        self.dependencies.unread.remove(id);
        match ending {
            Ending::Done => {
                let dependents = self.dependents(id);
                self.dependencies.affected.extend(dependents);
            }
            Ending::Cancelled => self.cancel_dependents(id),
        }
    }

    /// Cancels the dependents of a job whose record was marked as cancelled, and updates the
    /// priority classes of its dependencies.
    pub(crate) fn on_marked_cancelled(&mut self, id: &JobId) {
        self.cancel_dependents(id);
        self.update_priority_classes(self.dependencies_of(id));
    }

    /// Returns the jobs that depend directly on a job.
    fn dependents(&self, id: &JobId) -> Vec<JobId> {
        let dependents = self.dependencies.dependents.get(id);
        dependents.into_iter().flatten().cloned().collect()
    }

    /// Requests a read of a job's end if other jobs depend on it and neither its job record nor its
    /// end is known.
    pub(crate) fn request_end_read(&mut self, id: &JobId) {
        let is_dependency = self.dependencies.dependents.contains_key(id);
        if is_dependency && !self.jobs.contains_key(id) && self.ending(id).is_none() {
            self.dependencies.unread.insert(id.clone());
        }
    }

    /// Cancels a job and all its direct and transitive dependents.
    fn cancel_with_dependents(&mut self, id: &JobId) {
        let mut to_cancel = vec![id.clone()];
        while let Some(id) = to_cancel.pop() {
            if self.jobs.contains_key(&id) && self.dependencies.cancelled.insert(id.clone()) {
                to_cancel.extend(self.dependents(&id));
                self.update_priority_classes(self.dependencies_of(&id));
                self.dependencies.affected.insert(id);
            }
        }
    }

    /// Cancels all direct and transitive dependents of a job.
    fn cancel_dependents(&mut self, id: &JobId) {
        for dependent in self.dependents(id) {
            self.cancel_with_dependents(&dependent);
        }
    }

    /// Returns the jobs that a job depends on directly.
    fn dependencies_of(&self, id: &JobId) -> Vec<JobId> {
        let job = self.jobs.get(id);
        job.map_or(Vec::new(), |job| job.record.dependencies.clone())
    }

    /// Sets the priority class of each job in `to_update` to the highest of its own class and the
    /// classes of its dependents that aren't cancelled. Continues with the dependencies of each job
    /// whose class changed.
    fn update_priority_classes(&mut self, mut to_update: Vec<JobId>) {
        while let Some(id) = to_update.pop() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let dependents = self.dependencies.dependents.get(&id);
            let priority_class = dependents
                .into_iter()
                .flatten()
                .filter(|dependent| !self.is_cancelled(dependent))
                .filter_map(|dependent| self.jobs.get(dependent))
                .map(|dependent| dependent.priority_class)
                .fold(job.record.priority_class, PriorityClass::max);
            if priority_class != job.priority_class {
                to_update.extend(self.dependencies_of(&id));
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.priority_class = priority_class;
                }
                self.dependencies.affected.insert(id);
            }
        }
    }
}
