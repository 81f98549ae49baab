//! Who leads. The leader's key hangs on a lease of a few seconds; whoever commits it
//! next leads from then on, and takes over the shards of those who are gone under
//! higher tokens in the same commit.
//!
//! A leader that a majority has lost is replaced before its lease's end (package `standby`). The
//! commit is conditional on its record, as any other; only calls to the cloud, which carry no
//! condition, rest on the lease, and wait for as long as the old leader's may go out
//! (`may_use_cloud`).

use crate::controller::Controller;
use crate::controller::context::{CLOCK_DRIFT_FRACTION, Context};
use crate::controller::leadership::GiveUpReason;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{FencingTokenRecord, Key, LeaderRecord, Record};
use crate::controller::store::staleness::STALENESS_BOUND_S;
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{FencingToken, Time};
use crate::wire::{StoreRequest, StoreResponse, Write};
use log::warn;
use salttrestle_standby::fence::Predecessors;
use std::collections::VecDeque;

/// A lease granted to a candidate.
#[derive(Clone, Copy, Debug)]
struct CandidateLease {
    lease_id: u64,
    /// When it was asked for.
    asked: Time,
}

/// How far this controller has come with being elected, or with staying so.
#[derive(Debug, Default)]
pub(crate) struct Election {
    /// The lease that the leader's key hangs on, while this controller leads.
    lease_id: Option<u64>,
    /// Leases granted to this candidate, the latest last.
    leases: VecDeque<CandidateLease>,
    /// The revision at which this controller won. Until the watch shows it, standing
    /// again would only lose to itself.
    won_revision: u64,
    /// When the latest request that renewed the lease was sent.
    renewed: Time,
    busy: bool,
    renew_at: Time,
    /// Since when there has been no leader, or it may be replaced.
    vacant_since: Option<Time>,
    /// It is no candidate, and owns no shard, before this.
    not_before: Time,
}

impl Election {
    /// Whether leadership and shards may be acquired.
    pub(crate) fn may_acquire(&self, now: Time) -> bool {
        now >= self.not_before
    }

    /// Renews the lease from now on.
    pub(crate) fn begin_renewing(&mut self, now: Time) {
        self.renew_at = now;
    }

    /// Acquires nothing for some lives of a lease. Returns the leader's lease, if it has one.
    pub(crate) fn rest(&mut self, now: Time, lease_s: f64) -> Option<u64> {
        self.not_before = now.after(lease_s * REST_LEASES);
        self.lease_id
    }
}

/// Pause between two candidates, so that one is usually enough.
const CANDIDATE_GAP_S: f64 = 0.1;
/// Share of a lease's life after which it is renewed.
const RENEW_SHARE: f64 = 0.3;
/// A lease that was granted beforehand is used within this share of its life.
const PREPARED_SHARE: f64 = 0.3;
/// Leases remembered: attempts that may still turn out to have won.
const LEASES_MAX: usize = 8;
/// Rest after giving up leadership, in lives of a lease.
const REST_LEASES: f64 = 4.0;
/// For late timers, on top of the time for which a predecessor may call the cloud, in seconds.
const FENCE_MARGIN_S: f64 = 0.2;

impl Controller {
    pub(crate) fn on_lease_renewed(&mut self, reply: StoreResponse, sent: Time) {
        self.context.election.busy = false;
        match reply {
            StoreResponse::LeaseRenewed => self.context.election.renewed = sent,
            StoreResponse::LeaseNotFound => self.step_down(GiveUpReason::LeaseExpired),
            _ => {}
        }
    }

    pub(crate) fn step_down(&mut self, reason: GiveUpReason) {
        if self.context.leadership.take().is_some() {
            warn!("stepped down, reason={reason}");
        }
        self.context.election.lease_id = None;
        self.context.election.busy = false;
        self.update_rate_limits();
    }
}

impl Context {
    pub(crate) fn election_housekeeping(&mut self) {
        if self.leadership.is_some() {
            self.renew_lease();
        } else if !self.shutting_down() {
            self.stand_for_election();
        }
    }

    /// Whether the leader's lease surely lives, and it has read its own record as lately: whoever
    /// replaced that record counts on both.
    pub(crate) fn lease_valid(&self) -> bool {
        let ttl = self.settings.tuning.leader_lease_s;
        let renewed = self.now.since(self.election.renewed) < ttl;
        self.leadership.is_some() && renewed && self.staleness_s() < ttl
    }

    /// Whether this leader may scale out and delete. Calls to the cloud have no condition that an
    /// outdated leader would fail.
    pub(crate) fn may_use_cloud(&self) -> bool {
        self.lease_valid() && !self.fenced()
    }

    /// Whether a leader before this one may still call the cloud.
    pub(crate) fn fenced(&self) -> bool {
        let leadership = self.leadership.as_ref();
        leadership.is_some_and(|leadership| self.now < leadership.cloud_from)
    }

    /// Within how long after a read of its own record a leader of this release calls the cloud.
    fn fenced_ms(&self) -> u64 {
        (self.settings.tuning.leader_lease_s.max(STALENESS_BOUND_S) * 1000.0) as u64
    }

    /// From when a leader that has just been elected may call the cloud.
    pub(crate) fn cloud_from(&self, token: FencingToken) -> Time {
        let record = self.store.mirror.token.record.as_ref();
        let fence = record.and_then(|n| n.fence).filter(|f| f.token == token.0);
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
        if self.election.busy || self.now < self.election.renew_at {
            return;
        }
        let op = StoreRequest::RenewLease(lease_id);
        if self
            .send_store_request(op, RequestPurpose::RenewLease, Priority::First)
            .is_ok()
        {
            self.election.busy = true;
            let ttl = self.settings.tuning.leader_lease_s;
            self.election.renew_at = self.now.after(ttl * RENEW_SHARE);
        }
    }

    /// Whether somebody leads, as far as is known.
    fn has_leader(&self) -> bool {
        let me = &self.settings.platform.controller_id;
        // Our own name under another boot is an earlier process of ours: gone.
        let is_leader =
            |l: &LeaderRecord| l.controller_id != *me || l.incarnation == self.incarnation;
        self.store
            .mirror
            .leader
            .record
            .as_ref()
            .is_some_and(is_leader)
    }

    /// Whether the leader's record may be written: there is none, or its leader is lost.
    fn may_be_elected(&self) -> bool {
        !self.has_leader() || self.may_replace_leader()
    }

    fn stand_for_election(&mut self) {
        if !self.may_be_elected() || self.is_stale() || self.election.busy {
            self.election.vacant_since = None;
            return self.prepare_candidacy();
        }
        if self.now < self.election.not_before
            || self.store.mirror.revision < self.election.won_revision
        {
            return;
        }
        let vacant_since = *self.election.vacant_since.get_or_insert(self.now);
        if self.now.since(vacant_since) < CANDIDATE_GAP_S * self.candidates_before() as f64 {
            return;
        }
        match self.prepared_lease() {
            Some(lease) => self.commit_leadership(lease.lease_id),
            None => self.request_lease(),
        }
    }

    /// How many others stand before this controller. A lost leader doesn't stand, nor does, as
    /// far as can be told, one that isn't heard: after an outage the first one back waited for
    /// those that weren't.
    fn candidates_before(&self) -> usize {
        let me = &self.settings.platform.controller_id;
        let lost = self.store.mirror.leader_id();
        let heard = self.recent_heartbeats().map(|h| &h.from);
        heard
            .filter(|candidate| *candidate < me && Some(*candidate) != lost)
            .count()
    }

    /// Gets a lease as soon as the leader is suspected, so that only the commit is left when a
    /// majority has lost it. One that isn't used runs out.
    fn prepare_candidacy(&mut self) {
        let suspects = self.suspects_leader().is_some() && !self.is_stale();
        if suspects && !self.election.busy && self.prepared_lease().is_none() {
            self.request_lease();
        }
    }

    fn prepared_lease(&self) -> Option<CandidateLease> {
        let most_s = self.settings.tuning.leader_lease_s * PREPARED_SHARE;
        let young = |lease: &CandidateLease| self.now.since(lease.asked) < most_s;
        self.election.leases.back().copied().filter(young)
    }

    fn request_lease(&mut self) {
        let ttl_ms = (self.settings.tuning.leader_lease_s * 1000.0) as u64;
        let op = StoreRequest::GrantLease { ttl_ms };
        if self
            .send_store_request(op, RequestPurpose::GrantLease, Priority::First)
            .is_ok()
        {
            self.election.busy = true;
        }
    }

    pub(crate) fn on_lease_granted(&mut self, reply: StoreResponse, sent: Time) {
        self.election.busy = false;
        let StoreResponse::LeaseGranted(lease_id) = reply else {
            return;
        };
        // Somebody else won while the lease was asked for. The commit would be on condition
        // of that record, and take the leadership away again, with a second takeover.
        if !self.may_be_elected() && self.suspects_leader().is_none() {
            let _ = self.send_store_request(
                StoreRequest::RevokeLease(lease_id),
                RequestPurpose::RevokeLease,
                Priority::Last,
            );
            return;
        }
        self.election.leases.push_back(CandidateLease {
            lease_id,
            asked: sent,
        });
        if self.election.leases.len() > LEASES_MAX {
            self.election.leases.pop_front();
        }
        if self.election.vacant_since.is_some() && self.may_be_elected() {
            self.commit_leadership(lease_id);
        }
    }

    /// What the records say of earlier leaders. The commit is conditional on the records of the
    /// leader and of the highest token; an older plan only makes the wait longer.
    fn predecessors(&self) -> Predecessors {
        let leader = self.store.mirror.leader.record.as_ref();
        let replaced = leader.filter(|_| self.has_leader());
        Predecessors {
            replaced_grant_ms: replaced.and_then(|l| l.fenced_ms),
            fence: self
                .store
                .mirror
                .token
                .record
                .as_ref()
                .and_then(|n| n.fence),
            plan_token: self
                .store
                .mirror
                .plan
                .record
                .as_ref()
                .map_or(0, |plan| plan.token.0),
        }
    }

    fn commit_leadership(&mut self, lease_id: u64) {
        // The leadership's own token comes first: scale-out requests are named after it.
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
        // Two changes are kept for the leader's and the token's records.
        let most = self.settings.state_limits().txn_ops - 2;
        for shard in self.shards_to_take().into_iter().take(most) {
            highest.0 += 1;
            let (version, record) = self.lease_to_self(shard, highest);
            preconditions.push((Key::Shard(shard), version));
            writes.push(Write::put(Key::Shard(shard), Record::Shard(record)));
        }
        let heartbeats = self.settings.standby().enabled();
        let leader = LeaderRecord {
            controller_id: self.settings.platform.controller_id.clone(),
            incarnation: self.incarnation,
            token,
            lease_id,
            fenced_ms: heartbeats.then_some(self.fenced_ms()),
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
        let op = StoreRequest::Transaction {
            preconditions,
            writes,
        };
        if self
            .send_store_request(op, RequestPurpose::Elect, Priority::First)
            .is_ok()
        {
            self.election.busy = true;
        }
    }

    /// Whatever the answer is, only the watch makes a leader: by then everything
    /// that the one before committed is known here as well.
    pub(crate) fn on_elected(&mut self, reply: StoreResponse) {
        self.election.busy = false;
        self.election.vacant_since = None;
        if let StoreResponse::Committed { revision } = reply {
            self.election.won_revision = revision;
            self.store.resume_watch(self.now, &mut self.outbox);
        }
    }

    /// Whether this controller has won, and only the watch doesn't show it yet.
    pub(crate) fn has_won(&self) -> bool {
        self.store.mirror.revision < self.election.won_revision
    }

    /// Takes the lease that the leader's record names. A later attempt's lease stood in its
    /// place: the one that counted ran out unrenewed, and with it the leadership, after 3 s.
    pub(crate) fn adopt_lease(&mut self) {
        let record = self.store.mirror.leader.record.as_ref();
        let named = record.map_or(0, |l| l.lease_id);
        let mut leases = self.election.leases.drain(..);
        let found = leases.find(|lease| lease.lease_id == named);
        drop(leases);
        self.election.lease_id = found.map(|lease| lease.lease_id);
        self.election.renewed = found.map_or(Time(0), |lease| lease.asked);
    }
}
