//! What requests to the store are for, and which duty takes the response to each.

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

/// What a request to the store is for.
#[derive(Debug)]
pub(crate) enum RequestPurpose {
    /// A lease to be elected with.
    GrantLease,
    /// The transaction that makes this controller the leader.
    Elect,
    /// The leader's lease is kept alive.
    RenewLease,
    /// The leader's lease is given up.
    RevokeLease,
    /// Jobs are accepted.
    Submit(Vec<Submission>),
    /// A job's record is marked as cancelled.
    Cancel(StatusQuery),
    /// The end of a job that a user asks about.
    ReadEnd(StatusQuery),
    /// The end of a job that a submission names.
    ReadSubmissionDependency(Box<DependentSubmission>, JobId),
    /// The end of a job that one in the mirror depends on.
    ReadDependency(JobId),
    /// What the owner of a shard asks for it.
    Shard(ShardOwnership, ShardRequest),
    /// The leader's scaling plan.
    WritePlan,
    /// Owners, machines or quota shares of shards change.
    UpdateShards,
    /// Limits shared with other cells change.
    CellChange,
}

/// What a shard's owner asks of the store.
#[derive(Debug)]
pub(crate) enum ShardRequest {
    /// Chunks of placements are written.
    WritePlacements(Vec<PlacementWrite>),
    /// A chunk is read whose revision isn't the expected one.
    RereadPlacements(JobId, u32),
    /// The end of a job is written.
    WriteEnd(JobId),
    /// Chunks of jobs that are over are deleted.
    DeletePlacements(Vec<(JobId, u32)>),
}

impl Controller {
    /// The store answered a request.
    pub(crate) fn on_store_response(&mut self, call: CallId, response: StoreResponse) {
        let context = &mut self.context;
        let store = &mut context.store;
        let Some(event) = store.on_response(context.now, &mut context.outbox, call, response)
        else {
            return;
        };
        match event {
            StoreEvent::None => {}
            StoreEvent::ListedMachine(events) => self.on_mirror_events(events),
            StoreEvent::Changed(events) => {
                self.continue_watch();
                self.on_mirror_events(events);
            }
            StoreEvent::FellBehind => self.give_up(GiveUpReason::WatchFellBehind),
            StoreEvent::Response {
                purpose,
                response,
                sent,
            } => self.on_response_for(purpose, response, sent),
        }
        self.context.store.advance_linearization();
        self.context.answer_status_queries();
    }

    /// Opens the next watch, at once where tasks are scheduled or this controller takes over.
    fn continue_watch(&mut self) {
        let takes_over = self.context.suspects_leader().is_some() || self.context.has_won();
        let acts = !self.shards.is_empty() || self.context.is_leader();
        let Context {
            store, outbox, now, ..
        } = &mut self.context;
        store.continue_watch(*now, outbox, acts || takes_over);
    }

    fn on_response_for(&mut self, purpose: RequestPurpose, response: StoreResponse, sent: Time) {
        let context = &mut self.context;
        match purpose {
            RequestPurpose::GrantLease => context.on_lease_granted(response, sent),
            RequestPurpose::Elect => context.on_elected(response),
            RequestPurpose::RenewLease => self.on_lease_renewed(response, sent),
            RequestPurpose::RevokeLease => {}
            RequestPurpose::Submit(submissions) => {
                context.on_submitted(submissions, response, sent);
            }
            RequestPurpose::Cancel(query) => context.on_cancelled(query, response),
            RequestPurpose::ReadEnd(query) => context.on_end_read(query, response),
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
        }
    }

    /// The response to what the owner of a shard asked, if the same ownership still lasts.
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
            ShardRequest::WritePlacements(items) => {
                shard.on_placements_written(context, items, response);
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

    /// Records of the store changed.
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
    /// Sends a request if the rate limits allow it; hands the purpose back if they don't.
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

    /// The latest call that was made.
    pub(crate) fn last_call(&self) -> CallId {
        self.outbox.last_call()
    }

    /// Whether this controller can't know what the store holds now.
    pub(crate) fn is_stale(&self) -> bool {
        self.store.is_stale(self.now)
    }

    /// Seconds since it last knew all that stood at the store.
    pub(crate) fn staleness_s(&self) -> f64 {
        self.store.staleness_s(self.now)
    }
}
