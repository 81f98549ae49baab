//! What the store has, and the commits that change it.

use salttrestle_standby::fence::Fence;
use salttrestle_standby::standby::Term;

/// The bits of an attempt that count the attempts under one token.
const COUNT_BITS: u32 = 8;

/// A record with the revision of its last change.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versioned<T> {
    pub(crate) revision: u64,
    pub(crate) value: T,
}

/// The record of the leader, which is attached to a lease.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Leader {
    pub(crate) term: Term,
    pub(crate) lease: usize,
}

/// The highest token that was given, and the wait that goes with it.
#[derive(Clone, Debug, Default)]
pub(crate) struct HighestToken {
    pub(crate) token: u64,
    pub(crate) fence: Option<Fence>,
}

/// Where the task is to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Placed {
    pub(crate) machine: usize,
    pub(crate) attempt: u64,
}

impl Placed {
    /// The first attempt under a token.
    pub(crate) fn first_attempt(token: u64) -> u64 {
        token << COUNT_BITS
    }

    /// The token under which it was placed.
    pub(crate) fn token(&self) -> u64 {
        self.attempt >> COUNT_BITS
    }
}

/// All records of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    pub(crate) revision: u64,
    pub(crate) leader: Versioned<Option<Leader>>,
    pub(crate) highest: Versioned<HighestToken>,
    /// The token under which the only shard is owned.
    pub(crate) shard_token: Versioned<u64>,
    /// Where the task is placed.
    pub(crate) run: Versioned<Option<Placed>>,
    /// The token under which the scaling plan was written.
    pub(crate) plan_token: u64,
}

impl Records {
    /// The leader's lease has expired, and its record with it.
    pub(crate) fn remove_leader(&mut self) {
        self.revision += 1;
        self.leader = self.next(None);
    }

    fn next<T>(&self, value: T) -> Versioned<T> {
        let revision = self.revision;
        Versioned { revision, value }
    }

    /// Carries out a change whose conditions hold.
    pub(crate) fn apply(&mut self, change: Change) {
        self.revision += 1;
        match change {
            Change::Elect { leader, fence } => {
                // The owner's token is the next one after the leader's.
                let token = leader.term.token + 1;
                self.leader = self.next(Some(leader));
                self.highest = self.next(HighestToken { token, fence });
                self.shard_token = self.next(token);
            }
            Change::Place(placed) => self.run = self.next(Some(placed)),
            Change::Gone => self.run = self.next(None),
            Change::Plan(token) => self.plan_token = token,
        }
    }
}

/// What a commit changes.
#[derive(Clone, Debug)]
pub(crate) enum Change {
    /// A leader is elected, and owns the shard.
    Elect {
        leader: Leader,
        fence: Option<Fence>,
    },
    /// The task is placed.
    Place(Placed),
    /// The task is proven gone.
    Gone,
    /// The scaling plan is written under a token.
    Plan(u64),
}

/// A commit on its way: carried out at any moment, or never.
#[derive(Clone, Debug)]
pub(crate) struct Commit {
    /// The records that it was made on.
    pub(crate) conditions: Records,
    /// Whether the placement is a condition besides the shard.
    pub(crate) on_run: bool,
    pub(crate) change: Change,
}

impl Commit {
    /// Whether the records that it rests on are as they were.
    pub(crate) fn holds(&self, records: &Records, leases: &[u64], now: u64) -> bool {
        let known = &self.conditions;
        let leader = known.leader.revision == records.leader.revision;
        let shard = known.shard_token.revision == records.shard_token.revision;
        let run = !self.on_run || known.run.revision == records.run.revision;
        match &self.change {
            Change::Elect {
                leader: elected, ..
            } => {
                let lives = leases[elected.lease] >= now;
                let highest = known.highest.revision == records.highest.revision;
                leader && lives && shard && highest
            }
            Change::Place(_) | Change::Gone => shard && run,
            Change::Plan(_) => leader,
        }
    }

    /// The token of an election that isn't above all earlier ones.
    pub(crate) fn token_given_again(&self, records: &Records) -> Option<u64> {
        match &self.change {
            Change::Elect { leader, .. } => {
                let token = leader.term.token;
                (token <= records.highest.value.token).then_some(token)
            }
            _ => None,
        }
    }

    /// The placement that it commits.
    pub(crate) fn placement(&self) -> Option<Placed> {
        match self.change {
            Change::Place(placed) => Some(placed),
            _ => None,
        }
    }
}
