//! Calls to the store: their budgets, and whose answer is whose.

use crate::controller::events::Output;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::{Controller, PendingRequest, RequestPurpose, RevisionRead, ShardOwnership};
use crate::ids::CallId;
use crate::wire::{StoreRequest, StoreResponse};

/// Share of what the other controllers may write that the owner leaves to them at least.
const OTHERS_SHARE_MIN: f64 = 0.35;
/// How much more than they wrote of late the others may write before the owner knows.
const USED_MARGIN: f64 = 1.5;

impl Controller {
    /// Splits the limits that all controllers use together. A single shard's owner
    /// places for all and gets more, the others share the rest; with several shards
    /// the shares are even.
    pub(crate) fn update_rate_limits(&mut self) {
        let f = &self.settings.platform.facts;
        let (t, others) = (&self.settings.tuning, f.count.saturating_sub(1));
        let single = self.mirror.shards.len() <= 1;
        let sole_owner = others > 0 && single && !self.shards.is_empty();
        let part = match others {
            0 => 1.0,
            n if !single => 1.0 / f64::from(n + 1),
            _ if sole_owner => t.budget_owner,
            n => (1.0 - t.budget_owner) / f64::from(n),
        };
        let limits = self.settings.state_limits();
        let rps = limits.rps * part * t.budget_share;
        let all = limits.write_rps * t.budget_share;
        let mut wps = all * part;
        if sole_owner {
            // Placements, results and ends are written here alone, and the others seldom use all
            // of their share: with many short tasks that kept ends waiting for seconds.
            let theirs = all - wps;
            let used = self.write_rate.others() * USED_MARGIN;
            wps = all - used.clamp(theirs * OTHERS_SHARE_MIN, theirs);
        }
        // Those who don't lead ask the cloud for its catalog and delete machines.
        let cloud = f.cloud.rps * t.budget_share;
        let cloud = match (others, single, self.leadership.is_some()) {
            (0, _, _) | (_, true, _) => cloud,
            (_, _, true) => cloud * 0.6,
            (n, _, false) => cloud * 0.4 / f64::from(n),
        };
        self.requests.set(self.now, rps, rps);
        self.changes.set(self.now, wps, wps);
        self.cloud_rate_limit.set(self.now, cloud, cloud * 1.5);
    }

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
        let ownership = self.ownership();
        let call = PendingRequest {
            purpose,
            sent,
            changes: cost,
            ownership,
        };
        self.pending_requests.insert(id, call);
        self.out.push(Output::Store(id, op));
        Ok(id)
    }

    pub(crate) fn ownership(&self) -> ShardOwnership {
        self.owner.as_ref().map(|h| (h.shard, h.token))
    }

    pub(crate) fn call_id(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    pub(crate) fn last_call(&self) -> CallId {
        CallId(self.next_call)
    }

    pub(crate) fn on_store_response(&mut self, id: CallId, reply: StoreResponse) {
        let Some(call) = self.pending_requests.remove(&id) else {
            return;
        };
        let PendingRequest {
            purpose,
            sent,
            changes,
            ownership,
        } = call;
        if matches!(reply, StoreResponse::Committed { .. }) {
            self.write_rate.note_own(changes);
        }
        match &reply {
            StoreResponse::Refused | StoreResponse::NoAnswer | StoreResponse::Malformed => {}
            _ => self.store_heard_at = self.now,
        }
        match &reply {
            StoreResponse::Missing { revision } | StoreResponse::Committed { revision } => {
                self.revision_reads.push_back(RevisionRead {
                    call: id,
                    sent,
                    revision: *revision,
                    answered: self.now,
                });
            }
            _ => {}
        }
        match purpose {
            RequestPurpose::List => self.on_list(reply),
            RequestPurpose::Watch => self.on_watch_response(reply, sent),
            RequestPurpose::ReadRevision => self.on_revision_read(&reply),
            RequestPurpose::GrantLease => self.on_lease_granted(reply, sent),
            RequestPurpose::Elect => self.on_elected(reply),
            RequestPurpose::RenewLease => self.on_lease_renewed(reply, sent),
            RequestPurpose::Submit(list) => self.on_submitted(list, reply, sent),
            RequestPurpose::Cancel(q) => self.on_cancelled(q, reply),
            RequestPurpose::ReadEnd(q) => self.on_end_read(q, reply),
            RequestPurpose::ReadSubmissionDependency(awaiting_dependencies, need) => {
                self.on_submission_dependency_read(*awaiting_dependencies, need, reply)
            }
            RequestPurpose::ReadDependency(need) => self.on_dependency_read(need, reply),
            RequestPurpose::WritePlan => self.on_plan_written(reply),
            RequestPurpose::UpdateShards => self.on_leased(reply),
            RequestPurpose::RevokeLease => {}
            RequestPurpose::CellChange => self.on_cell_changed(reply),
            of_shard => self.on_shard_response(of_shard, ownership, reply),
        }
        self.advance_linearization();
    }

    pub(crate) fn on_shard_response(
        &mut self,
        purpose: RequestPurpose,
        ownership: ShardOwnership,
        reply: StoreResponse,
    ) {
        let Some((shard, token)) = ownership else {
            return;
        };
        self.in_shard(shard, |controller| {
            if controller.ownership() != Some((shard, token)) {
                return;
            }
            match purpose {
                RequestPurpose::WritePlacements(items) => {
                    controller.on_placements_written(items, reply)
                }
                RequestPurpose::RereadPlacements(job, chunk) => {
                    controller.on_placements_reread(job, chunk, reply)
                }
                RequestPurpose::WriteEnd(job) => controller.on_job_end_written(job, reply),
                RequestPurpose::DeletePlacements(list) => {
                    controller.on_placements_deleted(list, reply)
                }
                _ => {}
            }
        });
    }
}
