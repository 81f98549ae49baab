//! A controller that is told to terminate hands over first: it takes no new work and, if it leads, gives
//! its lease up once its last call to the cloud is over, so that nobody waits for the lease's end.

use crate::controller::Controller;
use crate::controller::autoscaling::CloudPurpose;
use crate::controller::context::Context;
use crate::controller::leadership::GiveUpReason;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store_requests::RequestPurpose;
use crate::ids::Time;
use crate::wire::StoreRequest;
use log::info;

/// Calls to the cloud are given up as in doubt after so long.
const CLOUD_REQUESTS_S: f64 = 1.0;
/// After its leadership is over a controller forwards heartbeats for so long, until its workers'
/// answers are out and the others know the next leader.
const LAST_HEARTBEATS_S: f64 = 0.5;
/// It ends at the latest after so many lives of a lease: by then a successor needs no word of it.
const LONGEST_LEASES: f64 = 1.5;

/// What is left to be done before the end.
#[derive(Debug)]
pub(crate) struct Shutdown {
    since: Time,
    /// When this controller was first seen to have nothing left to hand over.
    idle_since: Option<Time>,
}

/// A lease that is to be given up once no call to the cloud rests on it.
#[derive(Debug)]
pub(crate) struct LeaseRevocation {
    lease_id: u64,
    since: Time,
}

impl Controller {
    /// Begins to hand over; nothing is taken back.
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
    /// Whether this controller is about to end.
    pub(crate) fn shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether there is nothing left to hand over.
    pub(crate) fn shutdown_complete(&self) -> bool {
        let Some(shutdown) = &self.shutdown else {
            return false;
        };
        let most_s = LONGEST_LEASES * self.settings.tuning.leader_lease_s;
        let quiet = |at: Time| self.now.since(at) > LAST_HEARTBEATS_S;
        shutdown.idle_since.is_some_and(quiet) || self.now.since(shutdown.since) > most_s
    }

    pub(crate) fn shutdown_housekeeping(&mut self) {
        self.release_lease();
        let releasing = self.lease_revocation.is_some() || self.store.is_pending(is_revocation);
        let me = &self.settings.platform.controller_id;
        let leader = self.store.mirror.leader.record.as_ref();
        let led_by_another = leader.is_some_and(|l| l.controller_id != *me);
        let alone = self.settings.platform.peers.is_empty();
        let (now, idle) = (self.now, !releasing && (led_by_another || alone));
        if let Some(shutdown) = &mut self.shutdown
            && idle
        {
            shutdown.idle_since.get_or_insert(now);
        }
    }

    /// A lease is to be given up. The successor may call the cloud as soon as it is over, so it
    /// stands until the last call of this controller was answered or is given up as in doubt.
    pub(crate) fn revoke_when_quiet(&mut self, lease_id: u64) {
        self.lease_revocation = Some(LeaseRevocation {
            lease_id,
            since: self.now,
        });
        self.release_lease();
    }

    fn release_lease(&mut self) {
        let Some(lease_revocation) = &self.lease_revocation else {
            return;
        };
        let under_way = self.cloud.is_pending(CloudPurpose::is_mutating);
        if under_way && self.now.since(lease_revocation.since) < CLOUD_REQUESTS_S {
            return;
        }
        let op = StoreRequest::RevokeLease(lease_revocation.lease_id);
        let sent = self.send_store_request(op, RequestPurpose::RevokeLease, Priority::First);
        if sent.is_ok() {
            self.lease_revocation = None;
        }
    }
}
/// Whether a request gives the leader's lease up.
fn is_revocation(purpose: &RequestPurpose) -> bool {
    matches!(purpose, RequestPurpose::RevokeLease)
}
