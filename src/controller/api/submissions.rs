//! Submissions: the checks whether a job can be accepted, the lookup of its dependencies, and the
//! commit.

use crate::controller::api::{DependentSubmission, Intent, Submission};
use crate::controller::context::Context;
use crate::controller::dependencies::graph::DependencyState;
use crate::controller::events::Reply;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::chunks::chunk_size;
use crate::controller::store::records::{JobKind, JobRecord, Key, Record, json_bytes};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{JobId, RequestId, Time};
use crate::wire::{
    InvalidSubmission, JobStatus, StoreRequest, StoreResponse, Write, error_body, job_status_body,
};
use log::info;
use std::collections::BTreeSet;

/// Maximum number of submissions in one transaction.
const TRANSACTION_SUBMISSIONS_MAX: usize = 8;
/// Limits the number of waiting submissions to those that the write rate limit allows to be written
/// within this time, in seconds.
const BACKLOG_MAX_S: f64 = 1.5;
/// Lower bound of the maximum number of waiting submissions, whatever the rate limit is.
const BACKLOG_MAX_LOWER_BOUND: usize = 8;

impl Context {
    /// Refuses a malformed submission. If it names a known job, the reply is the job's status,
    /// since a refusal would say that the job was never accepted.
    pub(crate) fn on_malformed(&mut self, request_id: RequestId, error: InvalidSubmission) {
        info!("submission refused, reason={}", error.reason);
        match error.id {
            Some(id) => {
                let intent = Intent::Refuse {
                    status: 400,
                    reason: error.reason,
                };
                self.on_status_query(request_id, id, intent);
            }
            None => self.answer(request_id, Reply::ok(400, error_body(&error.reason))),
        }
    }

    /// Checks a submission, and queues it for its commit if the job can be accepted.
    pub(crate) fn on_submit(&mut self, request_id: RequestId, id: JobId, mut record: JobRecord) {
        if self.store.mirror.is_accepted(&id) {
            return self.on_status_query(request_id, id, Intent::Resubmission);
        }
        if self.is_out_of_touch() {
            return self.answer(
                request_id,
                Reply::later(503, 2, "the state service doesn't answer"),
            );
        }
        if self.cloud.catalog.is_empty() {
            return self.answer(
                request_id,
                Reply::later(503, 2, "machine types aren't known yet"),
            );
        }
        if let Some(reason) = self.unschedulable_reason(&record) {
            return self.refuse_submission(request_id, id, reason);
        }
        let limits = self.settings.store_limits();
        record.chunk_size = chunk_size(limits.value_bytes);
        record.shard = self.shard_for(&id);
        if let Some(reason) = self.oversize_reason(&record) {
            return self.refuse_submission(request_id, id, reason);
        }
        let backlog_max = (limits.write_rps * BACKLOG_MAX_S) as usize;
        let waiting = self.api.submissions.len() + self.api.dependent_submissions.len();
        if waiting
            >= backlog_max
                .min(self.waiting_requests_max())
                .max(BACKLOG_MAX_LOWER_BOUND)
        {
            return self.answer(request_id, Reply::later(429, 2, "too many submissions"));
        }
        let submission = Submission {
            request_id,
            id,
            record,
            received_at: self.now,
        };
        if submission.record.dependencies.is_empty() {
            self.api.submissions.push_back(submission);
        } else {
            self.check_dependencies(submission);
        }
    }

    /// Refuses a submission, unless its job turns out to be known.
    fn refuse_submission(&mut self, request_id: RequestId, id: JobId, reason: String) {
        let status = 422;
        self.on_status_query(request_id, id, Intent::Refuse { status, reason });
    }

    /// Why a job's record is too large for the store; `None` if it isn't.
    pub(crate) fn oversize_reason(&self, record: &JobRecord) -> Option<String> {
        let bytes_max = self.settings.store_limits().value_bytes;
        let bytes = json_bytes(record);
        let reason =
            || format!("the job's description takes {bytes} bytes, of at most {bytes_max}");
        (bytes > bytes_max).then(reason)
    }

    /// Why a job can never run; `None` if it can.
    fn unschedulable_reason(&self, record: &JobRecord) -> Option<String> {
        let facts = &self.settings.platform.facts;
        let Some(team) = facts.teams.iter().find(|team| team.name == record.team) else {
            return Some("unknown team".into());
        };
        let fits = self.cloud.catalog.iter().any(|machine_type| {
            let zone = record.zone.as_ref();
            let in_zone = zone.is_none_or(|zone| machine_type.zones.contains(zone));
            record.allows(&machine_type.name)
                && in_zone
                && machine_type.resources.holds(record.resources)
        });
        if !fits {
            return Some("a task fits no allowed machine type".into());
        }
        // A batch job may run its tasks one after another, while a service needs all its tasks at
        // the same time.
        let concurrent_tasks = match record.kind {
            JobKind::Batch => 1.0,
            JobKind::Service => f64::from(record.count),
        };
        // A maximum of 0 means no limit. The tolerance absorbs rounding errors of the product.
        let exceeds = |task: f64, max: f64| max > 0.0 && task * concurrent_tasks > max + 1e-6;
        let (cpus_max, gpus_max) = self.team_limit(team);
        if exceeds(record.resources.cpus, cpus_max) || exceeds(record.resources.gpus, gpus_max) {
            return Some("the job needs more than its team's limit".into());
        }
        None
    }

    /// Queues a submission for its commit if all its dependencies are known to be accepted, and
    /// otherwise until they are looked up.
    fn check_dependencies(&mut self, submission: Submission) {
        if let Some(reason) = self.invalid_dependency_reason(&submission) {
            return self.refuse_submission(submission.request_id, submission.id, reason.into());
        }
        let mut dependencies = submission.record.dependencies.iter();
        if dependencies.all(|dependency| self.store.mirror.is_accepted(dependency)) {
            return self.api.submissions.push_back(submission);
        }
        let preceding_call = self.last_call();
        self.api.urgent_preceding_call = Some(preceding_call);
        self.api
            .dependent_submissions
            .push_back(DependentSubmission {
                submission,
                preceding_call,
            });
    }

    /// Why a dependency of a job can never be done; `None` if no such reason is known.
    fn invalid_dependency_reason(&self, submission: &Submission) -> Option<&'static str> {
        let dependencies = &submission.record.dependencies;
        let mut known_jobs = dependencies
            .iter()
            .filter_map(|dependency| self.store.mirror.jobs.get(dependency));
        if dependencies.contains(&submission.id) {
            Some("a job can't need itself")
        } else if known_jobs.any(|job| job.record.kind == JobKind::Service) {
            Some("a service is never done, so no job can need one")
        } else {
            None
        }
    }

    /// Checks again the submissions that arrived before the latest linearizable read was sent. By
    /// now their dependencies are known, or the end record of one has to be read.
    pub(crate) fn check_dependent_submissions(&mut self) {
        let linearized_call = self.store.linearized_call();
        for dependent in std::mem::take(&mut self.api.dependent_submissions) {
            if dependent.preceding_call >= linearized_call {
                self.api.dependent_submissions.push_back(dependent);
                continue;
            }
            let mut dependencies = dependent.submission.record.dependencies.iter();
            let Some(unknown) = dependencies
                .find(|dependency| !self.store.mirror.is_accepted(dependency))
                .cloned()
            else {
                self.check_dependencies(dependent.submission);
                continue;
            };
            let request = StoreRequest::Get(Key::End(unknown.clone()));
            let purpose = RequestPurpose::ReadSubmissionDependency(Box::new(dependent), unknown);
            if let Err(RequestPurpose::ReadSubmissionDependency(dependent, _)) =
                self.send_store_request(request, purpose, Priority::Usual)
            {
                self.api.dependent_submissions.push_back(*dependent);
            }
        }
    }

    /// Handles the response to the read of the end record of a dependency.
    pub(crate) fn on_submission_dependency_read(
        &mut self,
        dependent: DependentSubmission,
        dependency: JobId,
        response: StoreResponse,
    ) {
        let ended = self.learn_ending(&dependency, &response).is_some();
        match response {
            _ if ended => self.api.dependent_submissions.push_back(dependent),
            StoreResponse::Missing { .. } if self.store.mirror.is_accepted(&dependency) => {
                self.api.dependent_submissions.push_back(dependent);
            }
            // The dependency has just ended, and the watch is about to deliver that.
            StoreResponse::Found { .. } => self.api.dependent_submissions.push_back(dependent),
            StoreResponse::Missing { .. } => {
                let Submission { request_id, id, .. } = dependent.submission;
                let reason = format!("{dependency} was never accepted");
                self.refuse_submission(request_id, id, reason);
            }
            _ => self.answer(
                dependent.submission.request_id,
                Reply::later(503, 1, "the needed jobs aren't known"),
            ),
        }
    }

    /// Commits waiting submissions, several to a transaction.
    pub(crate) fn write_submissions(&mut self) {
        // A transaction commits or fails for all its jobs together, so after a conflict each job is
        // handled separately. Conflicts are rare, since only retries cause them.
        let operations_max = self.settings.store_limits().txn_ops;
        let batch_max = operations_max.min(TRANSACTION_SUBMISSIONS_MAX);
        while !self.api.submissions.is_empty() {
            // A transaction can write a key only once, so a job ID that is submitted twice starts
            // another batch, in which the second submission conflicts with the first one's job.
            let mut ids = BTreeSet::new();
            let candidates = self.api.submissions.iter().take(batch_max);
            let batch_size = candidates
                .take_while(|submission| ids.insert(&submission.id))
                .count();
            let batch: Vec<Submission> = self.api.submissions.drain(..batch_size).collect();
            let request = submissions_transaction(&batch);
            if let Err(RequestPurpose::Submit(batch)) =
                self.send_store_request(request, RequestPurpose::Submit(batch), Priority::Usual)
            {
                for submission in batch.into_iter().rev() {
                    self.api.submissions.push_front(submission);
                }
                break;
            }
        }
    }

    /// Handles the response to the commit of a batch of submissions that was sent at `sent_at`.
    pub(crate) fn on_submitted(
        &mut self,
        batch: Vec<Submission>,
        response: StoreResponse,
        sent_at: Time,
    ) {
        let is_slow = !self.may_send_committed(sent_at);
        for submission in batch {
            match &response {
                StoreResponse::Committed { .. } => self.on_accepted(submission, is_slow),
                StoreResponse::Conflict { failed } => self.on_conflict(submission, failed),
                StoreResponse::Refused => {
                    self.answer(
                        submission.request_id,
                        Reply::later(503, 1, "the state service refused"),
                    );
                }
                // The outcome is unknown: the job may be committed now or later. The user's retry
                // finds out.
                _ => self.answer(
                    submission.request_id,
                    Reply::later(503, 1, "the state service didn't answer"),
                ),
            }
        }
    }

    /// Replies that a job is accepted, or queries its status if that may have changed since: when
    /// the commit was slow, or the job is cancelled with a dependency.
    fn on_accepted(&mut self, submission: Submission, is_slow: bool) {
        let Submission {
            request_id,
            id,
            record,
            ..
        } = submission;
        if is_slow || self.store.mirror.ending(&id).is_some() {
            // The user may meanwhile have queried another controller and received a newer status.
            return self.on_status_query(request_id, id, Intent::Resubmission);
        }
        if self.store.mirror.dependency_state(&record) == DependencyState::Cancelled {
            info!("job accepted and cancelled with a dependency, job={id}");
            return self.on_status_query(request_id, id, Intent::Resubmission);
        }
        info!(
            "job accepted, job={id} tasks={} class={}",
            record.count, record.class
        );
        let body = job_status_body(&id, JobStatus::Queued, 0, 0);
        self.answer(request_id, Reply::ok(201, body));
    }

    /// Queries the status of a job that exists already. A submission that failed only because
    /// another one in its transaction did is queued again.
    fn on_conflict(&mut self, submission: Submission, failed: &[Key]) {
        let is_own = |key: &Key| {
            *key == Key::Job(submission.id.clone()) || *key == Key::End(submission.id.clone())
        };
        if failed.iter().any(is_own) || failed.is_empty() {
            self.on_status_query(submission.request_id, submission.id, Intent::Resubmission);
        } else {
            self.api.submissions.push_back(submission);
        }
    }
}

/// The transaction that creates the records of jobs, on the condition that none of them has a
/// record or an end record.
fn submissions_transaction(batch: &[Submission]) -> StoreRequest {
    let mut preconditions = Vec::with_capacity(2 * batch.len());
    let mut writes = Vec::with_capacity(batch.len());
    for submission in batch {
        preconditions.push((Key::Job(submission.id.clone()), 0));
        preconditions.push((Key::End(submission.id.clone()), 0));
        let record = Record::Job(Box::new(submission.record.clone()));
        writes.push(Write::put(Key::Job(submission.id.clone()), record));
    }
    StoreRequest::Transaction {
        preconditions,
        writes,
    }
}
