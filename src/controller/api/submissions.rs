//! Submissions: whether a job can be taken, the jobs that it names, and the commit.

use crate::controller::api::status_queries::PRESENT_S;
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

/// Most submissions in one transaction.
const SUBMISSIONS_MOST: usize = 8;
/// Submissions that wait are at most what the change budget clears in this time.
const SUBMIT_BACKLOG_S: f64 = 1.5;

impl Context {
    /// A known job's user is told its state whatever the repeated body is like; being
    /// refused, it would take the job for one that was never accepted.
    pub(crate) fn on_malformed(&mut self, request_id: RequestId, bad: InvalidSubmission) {
        info!("submission refused, reason={}", bad.why);
        match bad.id {
            Some(id) => self.on_status_query(request_id, id, Intent::Refuse(400, bad.why)),
            None => self.answer(request_id, Reply::ok(400, error_body(&bad.why))),
        }
    }

    pub(crate) fn on_submit(&mut self, request_id: RequestId, id: JobId, mut record: JobRecord) {
        if self.store.mirror.accepted(&id) {
            return self.on_status_query(request_id, id, Intent::Again);
        }
        if self.is_stale() {
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
        if let Some(why) = self.never_runs(&record) {
            return self.on_status_query(request_id, id, Intent::Refuse(422, why));
        }
        let limits = self.settings.state_limits();
        record.chunk = chunk_size(limits.value_bytes);
        record.shard = self.shard_for(&id);
        if let Some(why) = self.too_large(&record) {
            return self.on_status_query(request_id, id, Intent::Refuse(422, why));
        }
        let resources = (limits.write_rps * SUBMIT_BACKLOG_S) as usize;
        if self.api.submissions.len() + self.api.awaiting_dependencies.len()
            >= resources.min(self.waiting_max()).max(8)
        {
            return self.answer(request_id, Reply::later(429, 2, "too many submissions"));
        }
        let asked = self.now;
        let submission = Submission {
            request_id,
            id,
            record,
            asked,
        };
        if submission.record.dependencies.is_empty() {
            self.api.submissions.push_back(submission);
        } else {
            self.check_needs(submission);
        }
    }

    /// Why a job's record can't be kept, if so.
    pub(crate) fn too_large(&self, record: &JobRecord) -> Option<String> {
        let most = self.settings.state_limits().value_bytes;
        let bytes = json_bytes(record);
        let why = || format!("the job's description takes {bytes} bytes, of at most {most}");
        (bytes > most).then(why)
    }

    /// Why a job can never run, if so.
    fn never_runs(&self, record: &JobRecord) -> Option<String> {
        let facts = &self.settings.platform.facts;
        let Some(team) = facts.teams.iter().find(|t| t.name == record.team) else {
            return Some("unknown team".into());
        };
        let fits = self.cloud.catalog.iter().any(|c| {
            let zoned = record.zone.as_ref().is_none_or(|z| c.zones.contains(z));
            record.allows(&c.name) && zoned && c.resources.holds(record.resources)
        });
        if !fits {
            return Some("a task fits no allowed machine type".into());
        }
        let times = match record.kind {
            JobKind::Batch => 1.0,
            JobKind::Service => f64::from(record.count),
        };
        let over = |need: f64, max: f64| max > 0.0 && need * times > max + 1e-6;
        let (cpus_max, gpus_max) = self.team_limit(team);
        if over(record.resources.cpus, cpus_max) || over(record.resources.gpus, gpus_max) {
            return Some("the job needs more than its team's limit".into());
        }
        None
    }

    /// Takes a submission whose dependencies are all known to be accepted, and looks the others up.
    fn check_needs(&mut self, submission: Submission) {
        let needs = &submission.record.dependencies;
        let mut job_state = needs.iter().filter_map(|n| self.store.mirror.jobs.get(n));
        let why = if needs.contains(&submission.id) {
            Some("a job can't need itself")
        } else if job_state.any(|j| j.record.kind == JobKind::Service) {
            Some("a service is never done, so no job can need one")
        } else {
            None
        };
        if let Some(why) = why {
            let refuse = Intent::Refuse(422, why.into());
            return self.on_status_query(submission.request_id, submission.id, refuse);
        }
        if needs.iter().all(|need| self.store.mirror.accepted(need)) {
            return self.api.submissions.push_back(submission);
        }
        let after = self.last_call();
        self.api.urgent = Some(after);
        let awaiting_dependencies = DependentSubmission { submission, after };
        self.api
            .awaiting_dependencies
            .push_back(awaiting_dependencies);
    }

    /// Goes on with submissions whose dependencies are known by now, or of which an end has to be
    /// read.
    pub(crate) fn check_named_dependencies(&mut self) {
        let fresh = self.store.linearized_call();
        for awaiting_dependencies in std::mem::take(&mut self.api.awaiting_dependencies) {
            if awaiting_dependencies.after >= fresh {
                self.api
                    .awaiting_dependencies
                    .push_back(awaiting_dependencies);
                continue;
            }
            let needs = &awaiting_dependencies.submission.record.dependencies;
            let Some(need) = needs
                .iter()
                .find(|need| !self.store.mirror.accepted(need))
                .cloned()
            else {
                self.check_needs(awaiting_dependencies.submission);
                continue;
            };
            let op = StoreRequest::Get(Key::End(need.clone()));
            let purpose =
                RequestPurpose::ReadSubmissionDependency(Box::new(awaiting_dependencies), need);
            if let Err(RequestPurpose::ReadSubmissionDependency(awaiting_dependencies, _)) =
                self.send_store_request(op, purpose, Priority::Usual)
            {
                self.api
                    .awaiting_dependencies
                    .push_back(*awaiting_dependencies);
            }
        }
    }

    /// The end of a job that a submission names was read.
    pub(crate) fn on_submission_dependency_read(
        &mut self,
        awaiting_dependencies: DependentSubmission,
        need: JobId,
        reply: StoreResponse,
    ) {
        let Submission { request_id, id, .. } = &awaiting_dependencies.submission;
        let (request_id, id) = (*request_id, id.clone());
        let ended = self.learn_ending(&need, &reply).is_some();
        match reply {
            _ if ended => self
                .api
                .awaiting_dependencies
                .push_back(awaiting_dependencies),
            StoreResponse::Missing { .. } if self.store.mirror.accepted(&need) => {
                self.api
                    .awaiting_dependencies
                    .push_back(awaiting_dependencies);
            }
            StoreResponse::Missing { .. } => {
                let why = format!("{need} was never accepted");
                self.on_status_query(request_id, id, Intent::Refuse(422, why));
            }
            _ => self.answer(
                request_id,
                Reply::later(503, 1, "the needed jobs aren't known"),
            ),
        }
    }

    /// Commits waiting submissions, several to a transaction.
    pub(crate) fn write_submissions(&mut self) {
        // What a commit of two jobs says of one applies to both, so a conflict
        // makes its jobs ask one by one. Conflicts are rare: only retries make them.
        let most = self.settings.state_limits().txn_ops;
        let most = most.min(SUBMISSIONS_MOST);
        while !self.api.submissions.is_empty() {
            // A key can be written once in a transaction, and the second of two equal
            // submissions finds the first one's job.
            let mut ids = BTreeSet::new();
            let waiting = self.api.submissions.iter().take(most);
            let n = waiting.take_while(|s| ids.insert(&s.id)).count();
            let list: Vec<Submission> = self.api.submissions.drain(..n).collect();
            let mut preconditions = Vec::with_capacity(2 * n);
            let mut writes = Vec::with_capacity(n);
            for s in &list {
                preconditions.push((Key::Job(s.id.clone()), 0));
                preconditions.push((Key::End(s.id.clone()), 0));
                let record = Record::Job(Box::new(s.record.clone()));
                writes.push(Write::put(Key::Job(s.id.clone()), record));
            }
            let op = StoreRequest::Transaction {
                preconditions,
                writes,
            };
            if let Err(RequestPurpose::Submit(list)) =
                self.send_store_request(op, RequestPurpose::Submit(list), Priority::Usual)
            {
                for s in list.into_iter().rev() {
                    self.api.submissions.push_front(s);
                }
                break;
            }
        }
    }

    pub(crate) fn on_submitted(&mut self, list: Vec<Submission>, reply: StoreResponse, sent: Time) {
        let late = self.now.since(sent) > PRESENT_S;
        for s in list {
            match &reply {
                // Its user may have asked elsewhere meanwhile, and been told more.
                StoreResponse::Committed { .. } if late => {
                    self.on_status_query(s.request_id, s.id, Intent::Again)
                }
                // It is accepted, and cancelled with a job that it depends on.
                StoreResponse::Committed { .. }
                    if self.store.mirror.dependency_state(&s.record)
                        == DependencyState::Cancelled =>
                {
                    info!("job accepted and cancelled with a dependency, job={}", s.id);
                    self.on_status_query(s.request_id, s.id, Intent::Again);
                }
                StoreResponse::Committed { .. } => {
                    info!(
                        "job accepted, job={} tasks={} class={}",
                        s.id, s.record.count, s.record.class
                    );
                    let body = job_status_body(&s.id, JobStatus::Queued, 0, 0);
                    self.answer(s.request_id, Reply::ok(201, body));
                }
                StoreResponse::Conflict { failed } => {
                    let key =
                        |k: &Key| *k == Key::Job(s.id.clone()) || *k == Key::End(s.id.clone());
                    if failed.iter().any(key) || failed.is_empty() {
                        self.on_status_query(s.request_id, s.id, Intent::Again);
                    } else {
                        self.api.submissions.push_back(s);
                    }
                }
                StoreResponse::Refused => {
                    self.answer(
                        s.request_id,
                        Reply::later(503, 1, "the state service refused"),
                    );
                }
                // It may stand or may yet come to stand: a retry finds out.
                _ => self.answer(
                    s.request_id,
                    Reply::later(503, 1, "the state service didn't answer"),
                ),
            }
        }
    }
}
