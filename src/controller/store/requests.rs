//! Calls to the store: their budgets, and whose answer is whose.

use crate::controller::Controller;
use crate::controller::DependentSubmission;
use crate::controller::PlacementWrite;
use crate::controller::StatusQuery;
use crate::controller::Submission;
use crate::controller::context::Context;
use crate::controller::events::Output;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::ShardOwnership;
use crate::controller::store::staleness::RevisionRead;
use crate::ids::CallId;
use crate::ids::JobId;
use crate::ids::Time;
use crate::wire::{StoreRequest, StoreResponse};

/// What a call to the store is for.
#[derive(Debug)]
pub(crate) enum RequestPurpose {
    List,
    Watch,
    ReadRevision,
    GrantLease,
    Elect,
    RenewLease,
    Submit(Vec<Submission>),
    Cancel(StatusQuery),
    ReadEnd(StatusQuery),
    /// The end of a job that a submission names.
    ReadSubmissionDependency(Box<DependentSubmission>, JobId),
    /// The end of a job that one in the cache needs.
    ReadDependency(JobId),
    /// What the owner of a shard asks for it.
    Shard(ShardOwnership, ShardRequest),
    WritePlan,
    UpdateShards,
    RevokeLease,
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

pub(crate) struct PendingRequest {
    pub(crate) purpose: RequestPurpose,
    pub(crate) sent: Time,
    /// Changes that it makes, if it is carried out.
    pub(crate) changes: f64,
}

/// Share of what the other controllers may write that the owner leaves to them at least.
const OTHERS_SHARE_MIN: f64 = 0.35;
/// How much more than they wrote of late the others may write before the owner knows.
const USED_MARGIN: f64 = 1.5;

impl Controller {
    /// Splits the limits that all controllers use together. A single shard's owner
    /// places for all and gets more, the others share the rest; with several shards
    /// the shares are even.
    pub(crate) fn update_rate_limits(&mut self) {
        let f = &self.context.settings.platform.facts;
        let (t, others) = (&self.context.settings.tuning, f.count.saturating_sub(1));
        let single = self.context.mirror.shards.len() <= 1;
        let sole_owner = others > 0 && single && !self.shards.is_empty();
        let part = match others {
            0 => 1.0,
            n if !single => 1.0 / f64::from(n + 1),
            _ if sole_owner => t.budget_owner,
            n => (1.0 - t.budget_owner) / f64::from(n),
        };
        let limits = self.context.settings.state_limits();
        let rps = limits.rps * part * t.budget_share;
        let all = limits.write_rps * t.budget_share;
        let mut wps = all * part;
        if sole_owner {
            // Placements, results and ends are written here alone, and the others seldom use all
            // of their share: with many short tasks that kept ends waiting for seconds.
            let theirs = all - wps;
            let used = self.context.write_rate.others() * USED_MARGIN;
            wps = all - used.clamp(theirs * OTHERS_SHARE_MIN, theirs);
        }
        // Those who don't lead ask the cloud for its catalog and delete machines.
        let cloud = f.cloud.rps * t.budget_share;
        let cloud = match (others, single, self.context.leadership.is_some()) {
            (0, _, _) | (_, true, _) => cloud,
            (_, _, true) => cloud * 0.6,
            (n, _, false) => cloud * 0.4 / f64::from(n),
        };
        self.context.requests.set(self.context.now, rps, rps);
        self.context.changes.set(self.context.now, wps, wps);
        self.context
            .cloud_rate_limit
            .set(self.context.now, cloud, cloud * 1.5);
    }

    pub(crate) fn on_store_response(&mut self, id: CallId, reply: StoreResponse) {
        let Some(call) = self.context.pending_requests.remove(&id) else {
            return;
        };
        let PendingRequest {
            purpose,
            sent,
            changes,
        } = call;
        if matches!(reply, StoreResponse::Committed { .. }) {
            self.context.write_rate.note_own(changes);
        }
        match &reply {
            StoreResponse::Refused | StoreResponse::NoAnswer | StoreResponse::Malformed => {}
            _ => self.context.store_heard_at = self.context.now,
        }
        match &reply {
            StoreResponse::Missing { revision } | StoreResponse::Committed { revision } => {
                self.context.revision_reads.push_back(RevisionRead {
                    call: id,
                    sent,
                    revision: *revision,
                    answered: self.context.now,
                });
            }
            _ => {}
        }
        match purpose {
            RequestPurpose::List => self.on_list(reply),
            RequestPurpose::Watch => self.on_watch_response(reply, sent),
            RequestPurpose::ReadRevision => self.context.on_revision_read(&reply),
            RequestPurpose::GrantLease => self.context.on_lease_granted(reply, sent),
            RequestPurpose::Elect => self.context.on_elected(reply),
            RequestPurpose::RenewLease => self.on_lease_renewed(reply, sent),
            RequestPurpose::Submit(list) => self.context.on_submitted(list, reply, sent),
            RequestPurpose::Cancel(q) => self.context.on_cancelled(q, reply),
            RequestPurpose::ReadEnd(q) => self.context.on_end_read(q, reply),
            RequestPurpose::ReadSubmissionDependency(awaiting_dependencies, need) => self
                .context
                .on_submission_dependency_read(*awaiting_dependencies, need, reply),
            RequestPurpose::ReadDependency(need) => self.context.on_dependency_read(need, reply),
            RequestPurpose::WritePlan => self.context.on_plan_written(reply),
            RequestPurpose::UpdateShards => self.context.on_leased(reply),
            RequestPurpose::RevokeLease => {}
            RequestPurpose::CellChange => self.context.on_cell_changed(reply),
            RequestPurpose::Shard(ownership, request) => {
                self.on_shard_response(ownership, request, reply)
            }
        }
        self.context.advance_linearization();
    }

    pub(crate) fn on_shard_response(
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
                shard.on_placements_written(context, items, response)
            }
            ShardRequest::RereadPlacements(job, chunk) => {
                shard.on_placements_reread(context, job, chunk, response)
            }
            ShardRequest::WriteEnd(job) => shard.on_job_end_written(job, response),
            ShardRequest::DeletePlacements(list) => shard.on_placements_deleted(list, response),
        }
    }
}

impl Context {
    pub(crate) fn write_cost(op: &StoreRequest) -> f64 {
        match op {
            StoreRequest::Transaction { writes, .. } => writes.len() as f64,
            _ => 0.0,
        }
    }

    /// Sends a call if the budget allows; hands the purpose back if it doesn't.
    pub(crate) fn send_store_request(
        &mut self,
        op: StoreRequest,
        purpose: RequestPurpose,
        priority: Priority,
    ) -> Result<CallId, RequestPurpose> {
        let cost = Self::write_cost(&op);
        if !self.requests.has(self.now, 1.0, priority)
            || (cost > 0.0 && !self.changes.has(self.now, cost, priority))
        {
            return Err(purpose);
        }
        self.requests.take(1.0);
        self.changes.take(cost);
        let id = self.call_id();
        let sent = self.now;
        let call = PendingRequest {
            purpose,
            sent,
            changes: cost,
        };
        self.pending_requests.insert(id, call);
        self.out.push(Output::Store(id, op));
        Ok(id)
    }

    pub(crate) fn call_id(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    pub(crate) fn last_call(&self) -> CallId {
        CallId(self.next_call)
    }
}
