//! The records in the store, and the commits that change them.

use salttrestle_standby::fence::Fence;
use salttrestle_standby::standby::Term;

/// Number of low bits of an attempt that distinguish the attempts under one token. The high bits
/// are the token.
const ATTEMPT_BITS: u32 = 8;

/// A record with the store's revision at its last change.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versioned<T> {
    pub(crate) revision: u64,
    pub(crate) value: T,
}

/// The leader's record, which is attached to a lease.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LeaderRecord {
    pub(crate) term: Term,
    /// The index of the lease in the store.
    pub(crate) lease: usize,
}

/// The record of the highest token that was issued, and of the time that the leader elected last
/// has to wait before it calls the cloud.
#[derive(Clone, Debug, Default)]
pub(crate) struct HighestToken {
    pub(crate) token: u64,
    pub(crate) fence: Option<Fence>,
}

/// The machine on which an attempt of the task has to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    pub(crate) machine: usize,
    pub(crate) attempt: u64,
}

impl Placement {
    /// The first attempt under a token.
    pub(crate) fn first_attempt(token: u64) -> u64 {
        token << ATTEMPT_BITS
    }

    /// The token under which the task was placed.
    pub(crate) fn token(&self) -> u64 {
        self.attempt >> ATTEMPT_BITS
    }
}

/// All records of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    pub(crate) revision: u64,
    pub(crate) leader: Versioned<Option<LeaderRecord>>,
    pub(crate) highest: Versioned<HighestToken>,
    /// The token under which the only shard is owned.
    pub(crate) shard_token: Versioned<u64>,
    /// The task's placement.
    pub(crate) placement: Versioned<Option<Placement>>,
    /// The token under which the scaling plan was written.
    pub(crate) plan_token: u64,
}

impl Records {
    /// Deletes the leader's record because its lease has expired.
    pub(crate) fn remove_leader(&mut self) {
        self.revision += 1;
        self.leader = self.next(None);
    }

    fn next<T>(&self, value: T) -> Versioned<T> {
        let revision = self.revision;
        Versioned { revision, value }
    }

    /// Applies a change whose conditions hold.
    pub(crate) fn apply(&mut self, change: Change) {
        self.revision += 1;
        match change {
            Change::Elect { leader, fence } => {
                // The shard owner's token follows the leader's token.
                let token = leader.term.token + 1;
                self.leader = self.next(Some(leader));
                self.highest = self.next(HighestToken { token, fence });
                self.shard_token = self.next(token);
            }
            Change::Place(placement) => self.placement = self.next(Some(placement)),
            Change::TaskGone => self.placement = self.next(None),
            Change::Plan(token) => self.plan_token = token,
        }
    }
}

/// The change that a commit makes.
#[derive(Clone, Debug)]
pub(crate) enum Change {
    /// A leader is elected, and owns the shard.
    Elect {
        leader: LeaderRecord,
        fence: Option<Fence>,
    },
    /// The task is placed.
    Place(Placement),
    /// The task is proven not to run any more.
    TaskGone,
    /// The scaling plan is written under a token.
    Plan(u64),
}

/// A commit in transit. It may be executed at any time, or never.
#[derive(Clone, Debug)]
pub(crate) struct Commit {
    /// The records that the sender had read.
    pub(crate) conditions: Records,
    /// Whether the commit is conditional on the placement in addition to the shard's token.
    pub(crate) requires_unchanged_placement: bool,
    pub(crate) change: Change,
}

impl Commit {
    /// Whether the records on which the commit is conditional are unchanged.
    pub(crate) fn conditions_hold(&self, records: &Records, leases: &[u64], now: u64) -> bool {
        let known = &self.conditions;
        let leader = known.leader.revision == records.leader.revision;
        let shard = known.shard_token.revision == records.shard_token.revision;
        let placement = !self.requires_unchanged_placement
            || known.placement.revision == records.placement.revision;
        match &self.change {
            Change::Elect {
                leader: elected, ..
            } => {
                let is_lease_valid = leases[elected.lease] >= now;
                let highest = known.highest.revision == records.highest.revision;
                leader && is_lease_valid && shard && highest
            }
            Change::Place(_) | Change::TaskGone => shard && placement,
            Change::Plan(_) => leader,
        }
    }

    /// The token of an election, if it isn't higher than all tokens issued before.
    pub(crate) fn reused_token(&self, records: &Records) -> Option<u64> {
        match &self.change {
            Change::Elect { leader, .. } => {
                let token = leader.term.token;
                (token <= records.highest.value.token).then_some(token)
            }
            _ => None,
        }
    }

    /// The placement that the commit makes, if any.
    pub(crate) fn placement(&self) -> Option<Placement> {
        match self.change {
            Change::Place(placement) => Some(placement),
            _ => None,
        }
    }
}
