//! The graph of dependencies between jobs that aren't over.
//!
//! A job may start once each job that it depends on has ended as done, which only a committed
//! `end/ID` proves. A job that depends on a cancelled one is cancelled with it, from the moment at
//! which the cancelled one can't end as done any more: once its record is marked or its end is
//! committed. All of this is derived from the records whenever they change, so nothing is lost when
//! a controller terminates.

use crate::controller::store::mirror::{MirroredJob, StoreMirror};
use crate::controller::store::records::{Ending, JobRecord, PriorityClass};
use crate::ids::JobId;
use std::collections::{BTreeSet, HashMap, HashSet};

/// What is known of a job's dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DependencyState {
    /// All are done: the job may start.
    Met,
    /// Some aren't over yet.
    Open,
    /// Some may be over: neither a live record nor an end is known.
    Unknown,
    /// One is cancelled: the job is cancelled with it.
    Cancelled,
}

/// The dependencies between jobs that aren't over, and what follows from them.
#[derive(Debug, Default)]
pub(crate) struct Dependencies {
    /// For each dependency: the jobs that depend on it.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Jobs that are cancelled with one that they depend on.
    cancelled: HashSet<JobId>,
    /// Dependencies of which neither a live record nor an end is known: their ends are to be read.
    unread: BTreeSet<JobId>,
    /// Jobs whose state changed through a dependency or a dependent.
    affected: BTreeSet<JobId>,
}

impl StoreMirror {
    /// What is known of the dependencies of a job.
    pub(crate) fn dependency_state(&self, record: &JobRecord) -> DependencyState {
        let mut state = DependencyState::Met;
        for id in &record.dependencies {
            match self.ending(id).map(|(ending, _)| ending) {
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

    /// Whether a job that isn't over depends on this one.
    pub(crate) fn has_dependents(&self, id: &JobId) -> bool {
        self.dependencies.dependents.contains_key(id)
    }

    /// Whether a job is known to have been accepted.
    pub(crate) fn is_accepted(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id) || self.ending(id).is_some()
    }

    /// Whether a job that isn't over can't end as done any more: it is cancelled, or one that it
    /// depends on is.
    pub(crate) fn is_cancelled(&self, id: &JobId) -> bool {
        let marked = self
            .jobs
            .get(id)
            .is_some_and(|job| job.cancelled_at.is_some());
        marked || self.is_cancelled_by_dependency(id)
    }

    /// Whether a job that isn't over is cancelled with one that it depends on.
    pub(crate) fn is_cancelled_by_dependency(&self, id: &JobId) -> bool {
        self.dependencies.cancelled.contains(id)
    }

    /// Whether a job may be cancelled with one that it depends on, directly or through others,
    /// since the end of one of these is still to be read.
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

    /// Dependencies whose ends are to be read.
    pub(crate) fn unread_dependencies(&self) -> &BTreeSet<JobId> {
        &self.dependencies.unread
    }

    /// Jobs whose state changed through a dependency or a dependent since the last call.
    pub(crate) fn take_affected(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.dependencies.affected)
    }

    /// Adds a job that is new in the mirror.
    pub(crate) fn link(&mut self, id: &JobId) {
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
            self.cancel(id);
        }
        let dependencies = record.dependencies.iter().cloned();
        self.update_priority_classes(dependencies.chain([id.clone()]).collect());
    }

    /// Removes a job that is over, of which an end may be known.
    pub(crate) fn unlink(&mut self, id: &JobId, job: &MirroredJob) {
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

    /// Releases or cancels the dependents of a job that ended.
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

    /// Cancels the dependents of a job whose record was marked as cancelled.
    pub(crate) fn on_marked_cancelled(&mut self, id: &JobId) {
        self.cancel_dependents(id);
        self.update_priority_classes(self.dependencies_of(id));
    }

    /// The jobs that depend on this one.
    fn dependents(&self, id: &JobId) -> Vec<JobId> {
        let dependents = self.dependencies.dependents.get(id);
        dependents.into_iter().flatten().cloned().collect()
    }

    /// Has the end of a dependency read of which neither a live record nor an end is known.
    pub(crate) fn request_end_read(&mut self, id: &JobId) {
        let is_dependency = self.dependencies.dependents.contains_key(id);
        if is_dependency && !self.jobs.contains_key(id) && self.ending(id).is_none() {
            self.dependencies.unread.insert(id.clone());
        }
    }

    /// Cancels a job, and all that depend on it, directly or through others.
    fn cancel(&mut self, id: &JobId) {
        let mut to_cancel = vec![id.clone()];
        while let Some(id) = to_cancel.pop() {
            if self.jobs.contains_key(&id) && self.dependencies.cancelled.insert(id.clone()) {
                to_cancel.extend(self.dependents(&id));
                self.update_priority_classes(self.dependencies_of(&id));
                self.dependencies.affected.insert(id);
            }
        }
    }

    /// Cancels the jobs that depend on this one.
    fn cancel_dependents(&mut self, id: &JobId) {
        for dependent in self.dependents(id) {
            self.cancel(&dependent);
        }
    }

    /// The jobs that this one depends on.
    fn dependencies_of(&self, id: &JobId) -> Vec<JobId> {
        let job = self.jobs.get(id);
        job.map_or(Vec::new(), |job| job.record.dependencies.clone())
    }

    /// Raises or lowers each of these jobs to the highest priority class of its own and of the jobs
    /// that depend on it and aren't cancelled, and does the same for their dependencies.
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
