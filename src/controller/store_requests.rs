//! The purposes of requests to the store, and the dispatch of responses by purpose.

use crate::controller::Controller;
use crate::controller::api::{DependentSubmission, StatusQuery, Submission};
use crate::controller::context::Context;
use crate::controller::leadership::GiveUpReason;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::ShardOwnership;
use crate::controller::shard::commits::PlacementWrite;
use crate::controller::store::StoreEvent;
use crate::controller::store::mirror::MirrorEvent;
use crate::ids::{CallId, JobId, Time};
use crate::wire::{StoreRequest, StoreResponse};

/// The purpose of a request to the store.
#[derive(Debug)]
pub(crate) enum RequestPurpose {
    /// Grants the lease with which this controller stands for election.
    GrantLease,
    /// Commits the transaction that makes this controller the leader.
    Elect,
    /// Renews the leader's lease.
    RenewLease,
    /// Revokes a lease that this controller doesn't need any more.
    RevokeLease,
    /// Commits the records of new jobs.
    Submit(Vec<Submission>),
    /// Marks a job's record as cancelled.
    Cancel(StatusQuery),
    /// Reads the end of a job whose status a user requested.
    ReadEnd(StatusQuery),
    /// Reads the end of a job, for later queries of its status.
    LearnEnd(JobId),
    /// Reads the end of a job that a submission names as a dependency.
    ReadSubmissionDependency(Box<DependentSubmission>, JobId),
    /// Reads the end of a job that a job in the mirror depends on.
    ReadDependency(JobId),
    /// A request of a shard's owner, valid for this ownership only.
    Shard(ShardOwnership, ShardRequest),
    /// Writes the leader's scaling plan.
    WritePlan,
    /// Changes owners, machines or quota shares of shards.
    UpdateShards,
    /// Changes the records of limits that are shared with other cells.
    CellChange,
    /// Announces the maximum age of statuses.
    AnnounceStatusAge,
}

/// The purpose of a request that the owner of a shard sends.
#[derive(Debug)]
pub(crate) enum ShardRequest {
    /// Writes placement records.
    WritePlacements(Vec<PlacementWrite>),
    /// Reads a placement record again after a write conflict: its revision wasn't the expected one.
    RereadPlacements(JobId, u32),
    /// Writes the end of a job.
    WriteEnd(JobId),
    /// Deletes placement records of jobs that have ended.
    DeletePlacements(Vec<(JobId, u32)>),
}

impl Controller {
    /// Handles a response of the store.
    pub(crate) fn on_store_response(&mut self, call: CallId, response: StoreResponse) {
        let context = &mut self.context;
        let store = &mut context.store;
        let Some(event) = store.on_response(context.now, &mut context.outbox, call, response)
        else {
            return;
        };
        match event {
            StoreEvent::None => {}
            StoreEvent::Listed(events) => self.on_mirror_events(events),
            StoreEvent::Changed(events) => {
                self.continue_watch();
                self.on_mirror_events(events);
            }
            StoreEvent::FellBehind => self.give_up(GiveUpReason::WatchFellBehind),
            StoreEvent::Response {
                purpose,
                response,
                sent_at,
            } => self.on_response_for(purpose, response, sent_at),
        }
        let now = self.context.now;
        self.context.store.advance_linearization(now);
        self.context.answer_status_queries();
    }

    /// Opens the next watch: without a pause if this controller owns shards, leads, suspects the
    /// leader or has won an election.
    fn continue_watch(&mut self) {
        let is_taking_over =
            self.context.leader_suspicion().is_some() || self.context.has_won_election();
        let is_active = !self.shards.is_empty() || self.context.is_leader();
        let Context {
            store, outbox, now, ..
        } = &mut self.context;
        store.continue_watch(*now, outbox, is_active || is_taking_over);
    }

    fn on_response_for(&mut self, purpose: RequestPurpose, response: StoreResponse, sent_at: Time) {
        let context = &mut self.context;
        match purpose {
            RequestPurpose::GrantLease => context.on_lease_granted(response, sent_at),
            RequestPurpose::Elect => context.on_elected(response),
            RequestPurpose::RenewLease => self.on_lease_renewed(response, sent_at),
            RequestPurpose::RevokeLease => {}
            RequestPurpose::Submit(submissions) => {
                context.on_submitted(submissions, response, sent_at);
            }
            RequestPurpose::Cancel(query) => context.on_cancelled(query, response),
            RequestPurpose::ReadEnd(query) => context.on_end_read(query, response),
            RequestPurpose::LearnEnd(job) => {
                context.learn_ending(&job, &response);
            }
            RequestPurpose::ReadSubmissionDependency(submission, dependency) => {
                context.on_submission_dependency_read(*submission, dependency, response);
            }
            RequestPurpose::ReadDependency(dependency) => {
                context.on_dependency_read(dependency, response);
            }
            RequestPurpose::Shard(ownership, request) => {
                self.on_shard_response(ownership, request, response);
            }
            RequestPurpose::WritePlan => context.on_plan_written(response),
            RequestPurpose::UpdateShards => context.on_shard_records_written(response),
            RequestPurpose::CellChange => context.on_cell_changed(response),
            RequestPurpose::AnnounceStatusAge => context.on_status_age_announced(&response),
        }
    }

    /// Handles the response to a request of a shard's owner. The response is ignored if the
    /// ownership under which the request was sent has ended.
    fn on_shard_response(
        &mut self,
        ownership: ShardOwnership,
        request: ShardRequest,
        response: StoreResponse,
    ) {
        let owned = self.shards.get_mut(&ownership.shard);
        let Some(shard) = owned.filter(|shard| shard.ownership() == ownership) else {
            return;
        };
        let context = &mut self.context;
        match request {
            ShardRequest::WritePlacements(writes) => {
                shard.on_placements_written(context, writes, response);
            }
            ShardRequest::RereadPlacements(job, chunk) => {
                shard.on_placements_reread(context, job, chunk, response);
            }
            ShardRequest::WriteEnd(job) => shard.on_job_end_written(job, response),
            ShardRequest::DeletePlacements(chunks) => {
                shard.on_placements_deleted(chunks, response);
            }
        }
    }

    /// Handles changes of the mirror.
    fn on_mirror_events(&mut self, events: Vec<MirrorEvent>) {
        let mut control_records_changed = false;
        for event in events {
            match event {
                MirrorEvent::JobChanged(id) => {
                    let job = self.context.store.mirror.jobs.get(&id);
                    let owned = job.and_then(|job| self.shards.get_mut(&job.record.shard));
                    if let Some(shard) = owned {
                        shard.on_job_changed(&mut self.context, &id);
                    }
                }
                MirrorEvent::JobRemoved(id) => {
                    let mut owned = self.shards.values_mut();
                    if let Some(shard) = owned.find(|shard| shard.jobs.contains_key(&id)) {
                        shard.on_job_removed(&self.context, &id);
                    }
                }
                MirrorEvent::ControlRecordsChanged => control_records_changed = true,
            }
        }
        if control_records_changed {
            self.on_control_records_changed();
        }
        self.context.answer_cancelled();
    }
}

impl Context {
    /// Sends a request if the rate limits allow it; returns the purpose as the error otherwise.
    pub(crate) fn send_store_request(
        &mut self,
        request: StoreRequest,
        purpose: RequestPurpose,
        priority: Priority,
    ) -> Result<CallId, RequestPurpose> {
        let outbox = &mut self.outbox;
        self.store
            .send(self.now, outbox, request, purpose, priority)
    }

    /// Returns the latest call to the store or the cloud.
    pub(crate) fn last_call(&self) -> CallId {
        self.outbox.last_call()
    }

    /// Whether the mirror is incomplete or too old to act on.
    pub(crate) fn is_stale(&self) -> bool {
        self.store.is_stale(self.now)
    }

    /// Returns the upper bound on the age of the mirror, in seconds.
    pub(crate) fn staleness_s(&self) -> f64 {
        self.store.staleness_s(self.now)
    }
}
