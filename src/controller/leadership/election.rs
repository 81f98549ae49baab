//! Leader election.
//!
//! The leader's record is attached to a lease of a few seconds, and the store deletes the record
//! when the lease expires. The controller that commits the next record becomes the leader.
//! The same commit takes over, under higher fencing tokens, the shards of owners that are down.
//!
//! When a majority of the controllers suspects the leader, its record is replaced before the lease
//! expires (package `standby`). That is safe for commits, since each is conditional on the records
//! that it rests on. Calls to the cloud have no preconditions: a leader makes them only while its
//! lease is valid, and a new leader waits until its predecessor can't make any more
//! ([`Context::may_use_cloud`]).

use crate::controller::Controller;
use crate::controller::context::{CLOCK_DRIFT_FRACTION, Context};
use crate::controller::leadership::GiveUpReason;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::STORE_TIMEOUT_S;
use crate::controller::store::records::{FencingTokenRecord, Key, LeaderRecord, Record};
use crate::controller::store::staleness::STALENESS_BOUND_S;
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{FencingToken, Time};
use crate::wire::{StoreRequest, StoreResponse, Write};
use log::warn;
use salttrestle_standby::fence::Predecessors;
use std::collections::VecDeque;

/// A lease granted to this controller as a candidate.
#[derive(Clone, Copy, Debug)]
struct CandidateLease {
    lease_id: u64,
    /// When the lease was requested.
    requested_at: Time,
    /// Duration of the lease, in seconds.
    duration_s: f64,
}

/// The state of this controller as a candidate and, once elected, as the holder of the leader's
/// lease.
#[derive(Debug, Default)]
pub(crate) struct Election {
    /// The lease to which the leader's record is attached, while this controller leads.
    lease_id: Option<u64>,
    /// Leases granted to this controller as a candidate, the latest last.
    candidate_leases: VecDeque<CandidateLease>,
    /// The revision at which this controller won its latest election. Until the watch has
    /// delivered it, another candidacy would compete with this controller's own record.
    won_revision: u64,
    /// When the latest successful request to grant or renew the lease was sent.
    renewal_sent_at: Time,
    /// Whether a lease request or an election commit is pending at the store.
    request_pending: bool,
    /// Duration of the lease that was requested last, in seconds.
    requested_duration_s: f64,
    /// When the next renewal is due.
    renew_at: Time,
    /// Since when there has been no leader, or a leader that may be replaced.
    vacant_since: Option<Time>,
    /// Until this time the controller neither stands for election nor acquires shards.
    back_off_until: Time,
}

impl Election {
    /// Whether this controller may acquire leadership and shards: it isn't backing off.
    pub(crate) fn may_acquire(&self, now: Time) -> bool {
        now >= self.back_off_until
    }

    /// Makes the next renewal of the lease due at once.
    pub(crate) fn begin_renewing(&mut self, now: Time) {
        self.renew_at = now;
    }

    /// Backs off from leadership and shards for [`BACK_OFF_LEASES`] lease durations. Returns the
    /// leader's lease if this controller holds it, so that the caller can revoke it.
    pub(crate) fn back_off(&mut self, now: Time, lease_s: f64) -> Option<u64> {
        self.back_off_until = now.after(lease_s * BACK_OFF_LEASES);
        self.lease_id
    }
}

/// Delay between the candidacies of successive controllers, so that usually only one of them
/// commits.
const CANDIDATE_STAGGER_S: f64 = 0.1;
/// Interval between renewals of the leader's lease, as a fraction of its duration.
const RENEWAL_INTERVAL_FRACTION: f64 = 0.3;
/// Maximum age of a lease that was requested in advance, as a fraction of its duration. An older
/// one isn't used for a candidacy.
const PREPARED_LEASE_AGE_MAX_FRACTION: f64 = 0.3;
/// Number of responses of the store from the request of a lease to its first renewal: the grant, the
/// election's commit, two responses to watches, and the renewal itself.
const RESPONSES_BEFORE_RENEWAL: f64 = 5.0;
/// Maximum number of candidate leases kept. Earlier ones are kept since an election commit without
/// a response may turn out to have succeeded.
const CANDIDATE_LEASES_MAX: usize = 8;
/// Back-off after this controller gives up its leadership and its shards, in durations of the
/// leader's lease.
const BACK_OFF_LEASES: f64 = 4.0;
/// Margin for late timers, added to the time for which a predecessor may still call the cloud, in
/// seconds.
const FENCE_MARGIN_S: f64 = 0.2;

impl Controller {
    /// Handles the response to a renewal of the leader's lease that was sent at `sent_at`.
    pub(crate) fn on_lease_renewed(&mut self, response: StoreResponse, sent_at: Time) {
        self.context.election.request_pending = false;
        match response {
            StoreResponse::LeaseRenewed => self.context.election.renewal_sent_at = sent_at,
            StoreResponse::LeaseNotFound => self.step_down(GiveUpReason::LeaseExpired),
            _ => {}
        }
    }

    /// Stops leading. The shards that this controller owns stay with it.
    pub(crate) fn step_down(&mut self, reason: GiveUpReason) {
        if self.context.leadership.take().is_some() {
            warn!("stepped down, reason={reason}");
        }
        self.context.election.lease_id = None;
        self.context.election.request_pending = false;
        self.update_rate_limits();
    }
}

impl Context {
    /// Renews the lease of the leader; other controllers stand for election if there is a vacancy.
    pub(crate) fn election_housekeeping(&mut self) {
        if self.leadership.is_some() {
            self.renew_lease();
        } else if !self.is_shutting_down() {
            self.stand_for_election();
        }
    }

    /// Whether this controller leads, its lease can't have expired, and it has read its own record
    /// within one lease duration. A successor that replaces the record before the lease expires
    /// relies on the last two.
    pub(crate) fn has_valid_lease(&self) -> bool {
        let ttl_s = self.settings.tuning.leader_lease_s;
        let is_renewed = self.now.since(self.election.renewal_sent_at) < ttl_s;
        self.leadership.is_some() && is_renewed && self.staleness_s() < ttl_s
    }

    /// Whether this leader may rent and delete machines at the cloud. Calls to the cloud have no
    /// precondition that would fail for an outdated leader.
    pub(crate) fn may_use_cloud(&self) -> bool {
        self.has_valid_lease() && !self.predecessor_may_use_cloud()
    }

    /// Whether a predecessor of this leader may still call the cloud.
    pub(crate) fn predecessor_may_use_cloud(&self) -> bool {
        let leadership = self.leadership.as_ref();
        leadership.is_some_and(|leadership| self.now < leadership.cloud_allowed_from)
    }

    /// For how long after a read of its own record a leader of this release may call the cloud, in
    /// milliseconds.
    fn fenced_ms(&self) -> u64 {
        (self.settings.tuning.leader_lease_s.max(STALENESS_BOUND_S) * 1000.0) as u64
    }

    /// When the leader that was just elected under `token` may first call the cloud.
    pub(crate) fn cloud_allowed_from(&self, token: FencingToken) -> Time {
        let record = self.store.mirror.token.record.as_ref();
        let fence = record
            .and_then(|record| record.fence)
            .filter(|fence| fence.token == token.0);
        match fence {
            None => self.now,
            Some(fence) => {
                let wait_s = fence.ms as f64 / 1000.0;
                self.now
                    .after(wait_s * (1.0 + CLOCK_DRIFT_FRACTION) + FENCE_MARGIN_S)
            }
        }
    }

    fn renew_lease(&mut self) {
        let Some(lease_id) = self.election.lease_id else {
            return;
        };
        if self.election.request_pending || self.now < self.election.renew_at {
            return;
        }
        let request = StoreRequest::RenewLease(lease_id);
        if self
            .send_store_request(request, RequestPurpose::RenewLease, Priority::First)
            .is_ok()
        {
            self.election.request_pending = true;
            let ttl_s = self.settings.tuning.leader_lease_s;
            self.election.renew_at = self.now.after(ttl_s * RENEWAL_INTERVAL_FRACTION);
        }
    }

    /// Whether the mirror has a leader's record that isn't from an earlier process of this
    /// controller.
    fn has_leader(&self) -> bool {
        let me = &self.settings.platform.controller_id;
        // This controller's own ID with another incarnation belongs to an earlier process, which
        // has ended.
        let is_leader = |leader: &LeaderRecord| {
            leader.controller_id != *me || leader.incarnation == self.incarnation
        };
        self.store
            .mirror
            .leader
            .record
            .as_ref()
            .is_some_and(is_leader)
    }

    /// Whether this controller may write the leader's record: there is no leader, or a majority
    /// suspects it.
    fn may_be_elected(&self) -> bool {
        !self.has_leader() || self.may_replace_leader()
    }

    /// Commits the leader's record if there is a vacancy and it is this controller's turn.
    fn stand_for_election(&mut self) {
        if !self.may_be_elected() || self.is_stale() || self.election.request_pending {
            self.election.vacant_since = None;
            return self.prepare_candidacy();
        }
        if self.now < self.election.back_off_until
            || self.store.mirror.revision < self.election.won_revision
        {
            return;
        }
        let vacant_since = *self.election.vacant_since.get_or_insert(self.now);
        if self.now.since(vacant_since) < CANDIDATE_STAGGER_S * self.candidates_before() as f64 {
            return;
        }
        match self.prepared_lease() {
            Some(lease) => self.commit_leadership(lease.lease_id),
            None => self.request_lease(),
        }
    }

    /// Number of candidates that stand before this controller: the peers with lower IDs that sent a
    /// heartbeat lately. The suspected leader isn't a candidate. Peers that aren't heard don't
    /// count either: when they did, the first controller back after an outage waited for those that
    /// were still down.
    fn candidates_before(&self) -> usize {
        let me = &self.settings.platform.controller_id;
        let leader = self.store.mirror.leader_id();
        let heard_peers = self.recent_heartbeats().map(|heartbeat| &heartbeat.from);
        heard_peers
            .filter(|candidate| *candidate < me && Some(*candidate) != leader)
            .count()
    }

    /// Requests a lease as soon as this controller suspects the leader, so that only the commit
    /// remains to be made once a majority does. A lease that isn't used expires.
    fn prepare_candidacy(&mut self) {
        let suspects = self.leader_suspicion().is_some() && !self.is_stale();
        if suspects && !self.election.request_pending && self.prepared_lease().is_none() {
            self.request_lease();
        }
    }

    /// The latest candidate lease, if it is recent enough for a candidacy.
    fn prepared_lease(&self) -> Option<CandidateLease> {
        let is_recent = |lease: &CandidateLease| {
            let age_max_s = lease.duration_s * PREPARED_LEASE_AGE_MAX_FRACTION;
            self.now.since(lease.requested_at) < age_max_s
        };
        self.election
            .candidate_leases
            .back()
            .copied()
            .filter(is_recent)
    }

    /// The duration of a candidate's lease, in seconds. The lease must last until the elected leader
    /// renews it, however slow the store is. The leader itself relies on a lease for no longer than
    /// `leader_lease_s`, see [`Self::has_valid_lease`].
    fn candidate_lease_s(&self) -> f64 {
        let read_s = self.store.read_times(self.now).sustained_s;
        let until_renewal_s = RESPONSES_BEFORE_RENEWAL * read_s.min(STORE_TIMEOUT_S);
        self.settings.tuning.leader_lease_s.max(until_renewal_s)
    }

    fn request_lease(&mut self) {
        let duration_s = self.candidate_lease_s();
        let ttl_ms = (duration_s * 1000.0) as u64;
        let request = StoreRequest::GrantLease { ttl_ms };
        if self
            .send_store_request(request, RequestPurpose::GrantLease, Priority::First)
            .is_ok()
        {
            self.election.request_pending = true;
            self.election.requested_duration_s = duration_s;
        }
    }

    /// Handles the response to a request for a candidate lease that was sent at `sent_at`.
    pub(crate) fn on_lease_granted(&mut self, response: StoreResponse, sent_at: Time) {
        self.election.request_pending = false;
        let StoreResponse::LeaseGranted(lease_id) = response else {
            return;
        };
        // Another candidate won while the lease was being requested. The commit would be
        // conditional on the winner's record, so it would succeed and cause a second takeover.
        if !self.may_be_elected() && self.leader_suspicion().is_none() {
            let _ = self.send_store_request(
                StoreRequest::RevokeLease(lease_id),
                RequestPurpose::RevokeLease,
                Priority::Last,
            );
            return;
        }
        self.election.candidate_leases.push_back(CandidateLease {
            lease_id,
            requested_at: sent_at,
            duration_s: self.election.requested_duration_s,
        });
        if self.election.candidate_leases.len() > CANDIDATE_LEASES_MAX {
            self.election.candidate_leases.pop_front();
        }
        if self.election.vacant_since.is_some() && self.may_be_elected() {
            self.commit_leadership(lease_id);
        }
    }

    /// What the records show of earlier leaders. The election's commit is conditional on the
    /// records of the leader and of the highest token. The scaling plan isn't a precondition: an
    /// outdated one only makes the new leader wait longer before it calls the cloud.
    fn predecessors(&self) -> Predecessors {
        let leader = self.store.mirror.leader.record.as_ref();
        let replaced = leader.filter(|_| self.has_leader());
        Predecessors {
            replaced_lease_ms: replaced.and_then(|leader| leader.fenced_ms),
            fence: self
                .store
                .mirror
                .token
                .record
                .as_ref()
                .and_then(|record| record.fence),
            plan_token: self
                .store
                .mirror
                .plan
                .record
                .as_ref()
                .map_or(0, |plan| plan.token.0),
        }
    }

    /// Sends the commit that makes this controller the leader and takes over the shards of owners
    /// that are down.
    fn commit_leadership(&mut self, lease_id: u64) {
        // The leadership gets a token of its own, below those of the shards. The names of scale-out
        // requests contain it, so no other leadership may use it.
        let token = FencingToken(self.store.mirror.highest_token().0 + 1);
        let mut highest = token;
        let mut preconditions = vec![
            (Key::Leader, self.store.mirror.leader.expected_revision()),
            (
                Key::FencingToken,
                self.store.mirror.token.expected_revision(),
            ),
        ];
        let mut writes = Vec::new();
        // Two operations of the transaction are reserved for the records of the leader and of the
        // highest token.
        let shards_max = self.settings.store_limits().txn_ops - 2;
        for shard in self.shards_to_take().into_iter().take(shards_max) {
            highest.0 += 1;
            let (version, record) = self.lease_to_self(shard, highest);
            preconditions.push((Key::Shard(shard), version));
            writes.push(Write::put(Key::Shard(shard), Record::Shard(record)));
        }
        let standby_enabled = self.settings.standby().is_enabled();
        let leader = LeaderRecord {
            controller_id: self.settings.platform.controller_id.clone(),
            incarnation: self.incarnation,
            token,
            lease_id,
            fenced_ms: standby_enabled.then_some(self.fenced_ms()),
        };
        writes.push(Write::Put {
            key: Key::Leader,
            record: Record::Leader(leader),
            lease_id: Some(lease_id),
        });
        let fence = self.predecessors().fence(token.0);
        writes.push(Write::put(
            Key::FencingToken,
            Record::FencingToken(FencingTokenRecord { highest, fence }),
        ));
        let request = StoreRequest::Transaction {
            preconditions,
            writes,
        };
        if self
            .send_store_request(request, RequestPurpose::Elect, Priority::First)
            .is_ok()
        {
            self.election.request_pending = true;
        }
    }

    /// Handles the response to the election's commit. A successful commit alone doesn't make this
    /// controller act as the leader: it waits until the watch delivers the record, since the mirror
    /// then has everything that the previous leader committed as well.
    pub(crate) fn on_elected(&mut self, response: StoreResponse) {
        self.election.request_pending = false;
        self.election.vacant_since = None;
        if let StoreResponse::Committed { revision } = response {
            self.election.won_revision = revision;
            self.store.resume_watch(self.now, &mut self.outbox);
        }
    }

    /// Whether this controller has won an election whose record the watch hasn't delivered yet.
    pub(crate) fn has_won_election(&self) -> bool {
        self.store.mirror.revision < self.election.won_revision
    }

    /// Adopts the candidate lease that the leader's record names, which needn't be the latest one.
    /// When the lease of a later attempt was renewed instead, the lease of the record expired, and
    /// the leadership ended after 3 s.
    pub(crate) fn adopt_lease(&mut self) {
        let record = self.store.mirror.leader.record.as_ref();
        let record_lease_id = record.map_or(0, |leader| leader.lease_id);
        let mut candidate_leases = self.election.candidate_leases.drain(..);
        let found = candidate_leases.find(|lease| lease.lease_id == record_lease_id);
        drop(candidate_leases);
        self.election.lease_id = found.map(|lease| lease.lease_id);
        self.election.renewal_sent_at = found.map_or(Time(0), |lease| lease.requested_at);
    }
}
