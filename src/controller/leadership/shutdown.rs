//! Graceful shutdown.
//!
//! A controller that is told to terminate hands over first. It accepts no new work and, if it
//! leads, revokes its lease once its last call to the cloud is over, so that no successor has to
//! wait until the lease expires.

use crate::controller::Controller;
use crate::controller::autoscaling::CloudPurpose;
use crate::controller::context::Context;
use crate::controller::leadership::GiveUpReason;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store_requests::RequestPurpose;
use crate::ids::Time;
use crate::wire::StoreRequest;
use log::info;

/// Maximum wait for pending calls to the cloud before the lease is revoked, in seconds. The outcome
/// of a call that is still pending then is unknown.
const CLOUD_CALLS_WAIT_MAX_S: f64 = 1.0;
/// Time for which a controller goes on forwarding heartbeats after it has handed over, in seconds.
/// By then the responses to its workers are sent, and its peers know the next leader.
const FINAL_FORWARDING_S: f64 = 0.5;
/// Maximum duration of a shutdown, in durations of the leader's lease. By then the lease has
/// expired, and a successor doesn't depend on its revocation.
const SHUTDOWN_MAX_LEASES: f64 = 1.5;

/// The state of a shutdown.
#[derive(Debug)]
pub(crate) struct Shutdown {
    since: Time,
    /// When this controller first had nothing left to hand over.
    idle_since: Option<Time>,
}

/// A lease to be revoked once no call to the cloud that depends on it is pending.
#[derive(Debug)]
pub(crate) struct LeaseRevocation {
    lease_id: u64,
    since: Time,
}

impl Controller {
    /// Begins the shutdown, which can't be cancelled.
    pub(crate) fn on_shutdown(&mut self) {
        if self.context.shutdown.is_some() {
            return;
        }
        info!("shutting down, handing over");
        self.context.shutdown = Some(Shutdown {
            since: self.context.now,
            idle_since: None,
        });
        self.resign(GiveUpReason::ShuttingDown);
    }
}

impl Context {
    /// Whether this controller has been told to terminate.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether the process may end: it handed over more than [`FINAL_FORWARDING_S`] ago, or the
    /// shutdown has taken longer than [`SHUTDOWN_MAX_LEASES`] allows.
    pub(crate) fn shutdown_complete(&self) -> bool {
        let Some(shutdown) = &self.shutdown else {
            return false;
        };
        let duration_max_s = SHUTDOWN_MAX_LEASES * self.settings.tuning.leader_lease_s;
        let is_forwarding_over = |idle_since: Time| self.now.since(idle_since) > FINAL_FORWARDING_S;
        shutdown.idle_since.is_some_and(is_forwarding_over)
            || self.now.since(shutdown.since) > duration_max_s
    }

    /// Revokes the lease when that is due, and records when there is nothing left to hand over.
    pub(crate) fn shutdown_housekeeping(&mut self) {
        self.revoke_lease_if_due();
        let is_revoking = self.lease_revocation.is_some() || self.store.is_pending(is_revocation);
        let me = &self.settings.platform.controller_id;
        let leader = self.store.mirror.leader.record.as_ref();
        let is_led_by_another = leader.is_some_and(|leader| leader.controller_id != *me);
        let has_no_peers = self.settings.platform.peers.is_empty();
        let (now, is_idle) = (
            self.now,
            !is_revoking && (is_led_by_another || has_no_peers),
        );
        if let Some(shutdown) = &mut self.shutdown
            && is_idle
        {
            shutdown.idle_since.get_or_insert(now);
        }
    }

    /// Revokes a lease once this controller's pending calls to the cloud are answered, or after
    /// [`CLOUD_CALLS_WAIT_MAX_S`]. A successor may call the cloud as soon as the lease is gone.
    pub(crate) fn revoke_after_cloud_calls(&mut self, lease_id: u64) {
        self.lease_revocation = Some(LeaseRevocation {
            lease_id,
            since: self.now,
        });
        self.revoke_lease_if_due();
    }

    fn revoke_lease_if_due(&mut self) {
        let Some(revocation) = &self.lease_revocation else {
            return;
        };
        let has_pending_calls = self.cloud.is_pending(CloudPurpose::is_mutating);
        if has_pending_calls && self.now.since(revocation.since) < CLOUD_CALLS_WAIT_MAX_S {
            return;
        }
        let request = StoreRequest::RevokeLease(revocation.lease_id);
        let sent = self.send_store_request(request, RequestPurpose::RevokeLease, Priority::First);
        if sent.is_ok() {
            self.lease_revocation = None;
        }
    }
}

/// Whether a request revokes a lease: the leader's, or one that a candidate didn't use.
fn is_revocation(purpose: &RequestPurpose) -> bool {
    matches!(purpose, RequestPurpose::RevokeLease)
}
