//! Jobs that have to be done before others start, and what follows for those others.
//!
//! A job may start once each job that it depends on has ended as done, which a committed `end/ID` says
//! and nothing else does. A job that needs a cancelled one is cancelled with it: from the moment
//! at which the cancelled one can't end as done any more, that is, once its record is marked or
//! its end is committed. All of this is derived from the records whenever they change, so nobody
//! has to remember what is left to do when a controller ends.

use crate::controller::store::mirror::{MirroredJob, StoreMirror};
use crate::controller::store::records::{Ending, JobRecord, PriorityClass};
use crate::ids::JobId;
use std::collections::{BTreeSet, HashMap, HashSet};

/// What is known of the jobs that a job needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DependencyState {
    /// All are done: the job may start.
    Met,
    /// Some aren't over yet.
    Open,
    /// Of some it isn't known whether and how they ended.
    Unknown,
    /// One is cancelled: the job is cancelled with it.
    Cancelled,
}

/// Who needs whom among the jobs that aren't over.
#[derive(Debug, Default)]
pub(crate) struct Dependencies {
    /// For each job that is needed: those that depend on it.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Jobs that are cancelled with one that they depend on.
    cancelled: HashSet<JobId>,
    /// Dependencies of which neither a live record nor an end is known: their ends are to be read.
    unread: BTreeSet<JobId>,
    /// Jobs for which something changed through a job that they depend on or that needs them.
    affected: BTreeSet<JobId>,
}

impl StoreMirror {
    /// What is known of the jobs that this one needs.
    pub(crate) fn dependency_state(&self, record: &JobRecord) -> DependencyState {
        let mut needs = DependencyState::Met;
        for id in &record.dependencies {
            match self.ending(id).map(|(ending, _)| ending) {
                Some(Ending::Done) => {}
                Some(Ending::Cancelled) => return DependencyState::Cancelled,
                None if self.is_cancelled(id) => return DependencyState::Cancelled,
                None if !self.jobs.contains_key(id) => needs = DependencyState::Unknown,
                None if needs == DependencyState::Met => needs = DependencyState::Open,
                None => {}
            }
        }
        needs
    }

    /// Whether a job that isn't over needs this one.
    pub(crate) fn has_dependents(&self, id: &JobId) -> bool {
        self.dependencies.dependents.contains_key(id)
    }

    /// Whether a job is known to have been accepted.
    pub(crate) fn accepted(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id) || self.ending(id).is_some()
    }

    /// Whether a job that isn't over can't end as done any more: it is cancelled, or one that it
    /// needs is.
    pub(crate) fn is_cancelled(&self, id: &JobId) -> bool {
        let marked = self.jobs.get(id).is_some_and(|j| j.cancelled.is_some());
        marked || self.is_cancelled_by_dependency(id)
    }

    /// Whether a job that isn't over is cancelled with one that it depends on.
    pub(crate) fn is_cancelled_by_dependency(&self, id: &JobId) -> bool {
        self.dependencies.cancelled.contains(id)
    }

    /// Whether a job may be cancelled with one that it depends on, directly or through others, of which
    /// too little is known here.
    pub(crate) fn may_be_cancelled(&self, id: &JobId) -> bool {
        if self.dependencies.unread.is_empty() {
            return false;
        }
        let (mut left, mut seen) = (vec![id], HashSet::new());
        while let Some(id) = left.pop() {
            if self.dependencies.unread.contains(id) {
                return true;
            }
            if let Some(job) = self.jobs.get(id).filter(|_| seen.insert(id)) {
                left.extend(&job.record.dependencies);
            }
        }
        false
    }

    /// Dependencies whose ends are to be read.
    pub(crate) fn unread_dependencies(&self) -> &BTreeSet<JobId> {
        &self.dependencies.unread
    }

    /// Jobs for which something changed, since this was last asked, through a job that they depend on
    /// or that needs them.
    pub(crate) fn take_affected(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.dependencies.affected)
    }

    /// Takes note of a job that is new here.
    pub(crate) fn link(&mut self, id: &JobId) {
        let Some(record) = self.jobs.get(id).map(|j| j.record.clone()) else {
            return;
        };
        self.dependencies.unread.remove(id);
        for need in &record.dependencies {
            let dependents = &mut self.dependencies.dependents;
            dependents
                .entry(need.clone())
                .or_default()
                .insert(id.clone());
            self.look_for_end(need);
        }
        if self.dependency_state(&record) == DependencyState::Cancelled {
            self.cancel(id);
        }
        let needs = record.dependencies.iter().cloned();
        self.update_ranks(needs.chain([id.clone()]).collect());
    }

    /// Takes note of a job that is over, of which an end may be known.
    pub(crate) fn unlink(&mut self, id: &JobId, job: &MirroredJob) {
        self.dependencies.cancelled.remove(id);
        for need in &job.record.dependencies {
            if let Some(dependents) = self.dependencies.dependents.get_mut(need) {
                dependents.remove(id);
                if dependents.is_empty() {
                    self.dependencies.dependents.remove(need);
                    self.dependencies.unread.remove(need);
                }
            }
        }
        self.update_ranks(job.record.dependencies.clone());
        self.look_for_end(id);
    }

    /// Takes note of how a job ended.
    pub(crate) fn note_end(&mut self, id: &JobId, ending: Ending) {
        self.dependencies.unread.remove(id);
        match ending {
            Ending::Done => {
                let dependents = self.dependents(id);
                self.dependencies.affected.extend(dependents);
            }
            Ending::Cancelled => self.cancel_dependents(id),
        }
    }

    /// Takes note that a job's record was marked as cancelled.
    pub(crate) fn note_mark(&mut self, id: &JobId) {
        self.cancel_dependents(id);
        self.update_ranks(self.dependencies_of(id));
    }

    fn dependents(&self, id: &JobId) -> Vec<JobId> {
        let dependents = self.dependencies.dependents.get(id);
        dependents.into_iter().flatten().cloned().collect()
    }

    /// Has the end of a job read that is needed and of which nothing is known.
    pub(crate) fn look_for_end(&mut self, id: &JobId) {
        let needed = self.dependencies.dependents.contains_key(id);
        if needed && !self.jobs.contains_key(id) && self.ending(id).is_none() {
            self.dependencies.unread.insert(id.clone());
        }
    }

    /// Cancels a job, and all that depend on it, directly or through others.
    fn cancel(&mut self, id: &JobId) {
        let mut left = vec![id.clone()];
        while let Some(id) = left.pop() {
            if self.jobs.contains_key(&id) && self.dependencies.cancelled.insert(id.clone()) {
                left.extend(self.dependents(&id));
                self.update_ranks(self.dependencies_of(&id));
                self.dependencies.affected.insert(id);
            }
        }
    }

    fn cancel_dependents(&mut self, id: &JobId) {
        for dependent in self.dependents(id) {
            self.cancel(&dependent);
        }
    }

    fn dependencies_of(&self, id: &JobId) -> Vec<JobId> {
        let job = self.jobs.get(id);
        job.map_or(Vec::new(), |j| j.record.dependencies.clone())
    }

    /// Finds the highest rank of each of these jobs and of the open ones that depend on it, and tells
    /// it on to those that they depend on themselves.
    fn update_ranks(&mut self, mut left: Vec<JobId>) {
        while let Some(id) = left.pop() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let dependents = self.dependencies.dependents.get(&id);
            let open = dependents.into_iter().flatten();
            let open = open.filter(|d| !self.is_cancelled(d));
            let ranks = open.filter_map(|d| self.jobs.get(d).map(|j| j.priority_class));
            let priority_class = ranks.fold(job.record.priority_class, PriorityClass::max);
            if priority_class != job.priority_class {
                left.extend(self.dependencies_of(&id));
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.priority_class = priority_class;
                }
                self.dependencies.affected.insert(id);
            }
        }
    }
}
