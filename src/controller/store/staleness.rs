//! How old the mirror may be: reads of the store's present revision, and from when on a controller
//! counts as stale.
//!
//! A read proves that the mirror is linearizable up to the moment at which the read was *sent*, as
//! soon as the mirror has reached the revision that the read named.

use crate::controller::outbox::Outbox;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::{Purpose, RETRY_S, StoreClient};
use crate::ids::{CallId, Time};
use crate::wire::StoreRequest;
use std::collections::VecDeque;

/// A controller whose mirror may be older than this starts nothing and takes nothing.
pub(crate) const STALENESS_BOUND_S: f64 = 2.5;
/// Shortest pause between two reads of the present revision.
const REVISION_READ_GAP_S: f64 = 0.06;
/// Share of its requests that a controller reads the revision with for status queries. With that
/// and the watch's share, some are left for submissions and cancellations however often users ask.
const STATUS_QUERY_SHARE: f64 = 0.35;
/// A controller reads the present revision at least this often.
const REVISION_READ_INTERVAL_S: f64 = 1.0;

/// A read whose response named a revision that the mirror hasn't reached yet.
#[derive(Debug)]
struct RevisionRead {
    call: CallId,
    sent: Time,
    revision: u64,
    answered: Time,
}

/// Requests of users that wait for a read sent after them, each named by the last call that was
/// sent before it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RevisionDemand {
    /// The newest status query.
    pub(crate) status_query: Option<CallId>,
    /// The newest cancellation, or submission whose dependencies have to be looked up.
    pub(crate) urgent: Option<CallId>,
}

/// What is known of the mirror's age.
#[derive(Debug)]
pub(super) struct Staleness {
    /// When the latest read was sent whose revision the mirror has reached.
    linearized_at: Time,
    /// That read.
    linearized_call: CallId,
    /// When the latest read or watch was sent whose changes are known.
    changes_known_at: Time,
    /// Whether a read of the present revision is pending.
    reading: bool,
    /// When the latest such read was sent; later than now, if it failed.
    last_read: Time,
    /// The latest such read.
    last_read_call: CallId,
    /// Reads that were answered, while the mirror hasn't come as far yet.
    reads: VecDeque<RevisionRead>,
}

impl Default for Staleness {
    fn default() -> Self {
        Self {
            linearized_at: Time(0),
            linearized_call: CallId(0),
            changes_known_at: Time(0),
            reading: false,
            last_read: Time(0),
            last_read_call: CallId(0),
            reads: VecDeque::new(),
        }
    }
}

impl Staleness {
    pub(super) fn add_read(&mut self, call: CallId, sent: Time, revision: u64, now: Time) {
        self.reads.push_back(RevisionRead {
            call,
            sent,
            revision,
            answered: now,
        });
    }

    /// Whether the mirror has failed to reach a read's revision for so long.
    pub(super) fn waits_longer_than(&self, now: Time, most_s: f64) -> bool {
        let oldest = self.reads.front();
        oldest.is_some_and(|read| now.since(read.answered) > most_s)
    }

    pub(super) fn forget_reads(&mut self) {
        self.reads.clear();
    }

    pub(super) fn changes_known(&mut self, sent: Time) {
        self.changes_known_at = self.changes_known_at.max(sent);
    }

    pub(super) fn on_revision_read(&mut self, now: Time, succeeded: bool) {
        self.reading = false;
        if !succeeded {
            self.last_read = now.after(RETRY_S);
        }
    }

    /// The mirror has reached a revision: reads of it and of earlier ones prove what they can.
    fn reached(&mut self, revision: u64) {
        let (linearized_at, call) = (&mut self.linearized_at, &mut self.linearized_call);
        let known = &mut self.changes_known_at;
        self.reads.retain(|read| {
            if read.revision <= revision {
                *linearized_at = (*linearized_at).max(read.sent);
                *known = (*known).max(read.sent);
                *call = (*call).max(read.call);
            }
            read.revision > revision
        });
    }
}

impl<P> StoreClient<P> {
    /// Reads the present revision when a request waits for it, or when it was last read too long
    /// ago.
    pub(crate) fn read_revision(&mut self, now: Time, outbox: &mut Outbox, demand: RevisionDemand) {
        if self.staleness.reading || !self.initial_list_done {
            return;
        }
        let since_s = now.since(self.staleness.last_read);
        let last_call = self.staleness.last_read_call;
        let waits = |after: Option<CallId>| after.is_some_and(|after| after >= last_call);
        let urgent = waits(demand.urgent) && since_s >= REVISION_READ_GAP_S;
        let due = urgent || since_s >= REVISION_READ_INTERVAL_S;
        let gap_s = 1.0 / (self.request_limit.rate() * STATUS_QUERY_SHARE).max(1.0);
        let queried = waits(demand.status_query) && since_s >= gap_s.max(REVISION_READ_GAP_S);
        if !(due || queried) {
            return;
        }
        // What it has to know to act, to cancel and to accept goes first, status queries behind
        // that.
        let priority = if due {
            Priority::First
        } else {
            Priority::Usual
        };
        let request = StoreRequest::ReadRevision;
        if let Ok(call) = self.send_for(now, outbox, request, Purpose::ReadRevision, priority) {
            self.staleness.reading = true;
            self.staleness.last_read = now;
            self.staleness.last_read_call = call;
        }
    }

    /// Takes note of how far the mirror has come.
    pub(crate) fn advance_linearization(&mut self) {
        self.staleness.reached(self.mirror.revision);
    }

    /// When the latest read was sent whose revision is known here: whatever stood at the store
    /// then is known.
    pub(crate) fn linearized_at(&self) -> Time {
        self.staleness.linearized_at
    }

    /// The latest such read. What came before it was sent is older than what is known.
    pub(crate) fn linearized_call(&self) -> CallId {
        self.staleness.linearized_call
    }

    /// When the latest read or watch was sent whose changes are known here.
    pub(crate) fn changes_known_at(&self) -> Time {
        self.staleness.changes_known_at
    }

    /// Seconds since this controller last knew all that stood at the store.
    pub(crate) fn staleness_s(&self, now: Time) -> f64 {
        now.since(self.staleness.linearized_at)
    }

    /// Whether it can't know what the store holds now.
    pub(crate) fn is_stale(&self, now: Time) -> bool {
        !self.initial_list_done || self.staleness_s(now) > STALENESS_BOUND_S
    }
}
