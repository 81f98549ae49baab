//! The bound on the age of the mirror: reads of the store's current revision, and the age above
//! which a controller counts as stale.
//!
//! Once the mirror has reached the revision that a read returned, it contains every change that the
//! store had committed before that read was *sent*.

use crate::controller::outbox::Outbox;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::read_times::{ReadTimer, ReadTimes};
use crate::controller::store::{Purpose, RETRY_S, STORE_TIMEOUT_S, StoreClient};
use crate::ids::{CallId, Time};
use crate::wire::StoreRequest;
use std::collections::VecDeque;

/// Upper bound on the age of a usable mirror, in seconds. A controller whose mirror may be older
/// starts no tasks and takes on no new work, such as submissions or leadership.
pub(crate) const STALENESS_BOUND_S: f64 = 2.5;
/// Shortest pause between two reads of the current revision, in seconds.
const REVISION_READ_GAP_S: f64 = 0.06;
/// Upper bound on the share of a controller's requests that read the revision for status queries.
/// Together with the share of the watch, it leaves requests for submissions and cancellations
/// however often users query the status of jobs.
const STATUS_QUERY_REQUEST_FRACTION: f64 = 0.35;
/// Longest interval between two reads of the current revision, in seconds.
const REVISION_READ_INTERVAL_S: f64 = 1.0;
/// Shortest pause between two reads of the current revision while an earlier one is pending, in
/// seconds.
const CONCURRENT_READ_GAP_S: f64 = 0.5;

/// A watch counts as stuck if it hasn't delivered a revision that is known to exist for longer than
/// this, in seconds, and for longer than two responses of the store take.
const WATCH_STUCK_S: f64 = 1.5;

/// A completed read or commit whose revision the mirror hasn't reached yet.
#[derive(Debug)]
struct RevisionRead {
    call: CallId,
    sent_at: Time,
    revision: u64,
    answered_at: Time,
}

/// The newest user requests that wait for a read of the revision sent after they arrived. Each is
/// identified by the last call that was sent before it arrived.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RevisionDemand {
    /// Call before the newest status query.
    pub(crate) status_query: Option<CallId>,
    /// Call before the newest cancellation, or the newest submission whose dependencies have to be
    /// looked up.
    pub(crate) urgent: Option<CallId>,
}

/// What this controller knows about the age of the mirror.
#[derive(Debug)]
pub(super) struct Staleness {
    /// Time at which the latest read was sent whose revision the mirror has reached.
    linearized_at: Time,
    /// The call of the latest read whose revision the mirror has reached.
    linearized_call: CallId,
    /// Time at which the latest read or watch was sent whose changes the mirror contains.
    changes_known_at: Time,
    /// Number of pending reads of the current revision.
    pending_reads: usize,
    /// Time at which the latest read of the current revision was sent. After a failed read, this is
    /// a time in the future, which delays the retry.
    last_read_at: Time,
    /// The call of the latest read of the current revision.
    last_read_call: CallId,
    /// Completed reads whose revision the mirror hasn't reached yet, oldest first.
    reads: VecDeque<RevisionRead>,
    read_timer: ReadTimer,
}

impl Default for Staleness {
    fn default() -> Self {
        Self {
            linearized_at: Time(0),
            linearized_call: CallId(0),
            changes_known_at: Time(0),
            pending_reads: 0,
            last_read_at: Time(0),
            last_read_call: CallId(0),
            reads: VecDeque::new(),
            read_timer: ReadTimer::default(),
        }
    }
}

impl Staleness {
    pub(super) fn add_read(&mut self, call: CallId, sent_at: Time, revision: u64, now: Time) {
        self.read_timer.record_response(now, sent_at);
        self.reads.push_back(RevisionRead {
            call,
            sent_at,
            revision,
            answered_at: now,
        });
    }

    /// Whether the open watch should have delivered a revision that is known to exist. A slow store
    /// may first respond to the open watch, and deliver the revision with the next one.
    pub(super) fn is_watch_stuck(&self, now: Time) -> bool {
        self.reads.front().is_some_and(|oldest| {
            let response_time_s = oldest.answered_at.since(oldest.sent_at);
            let two_responses_s = 2.0 * response_time_s.min(STORE_TIMEOUT_S);
            now.since(oldest.answered_at) > two_responses_s.max(WATCH_STUCK_S)
        })
    }

    pub(super) fn clear_reads(&mut self) {
        self.reads.clear();
    }

    pub(super) fn record_changes_known(&mut self, sent_at: Time) {
        self.changes_known_at = self.changes_known_at.max(sent_at);
    }

    pub(super) fn on_revision_read(&mut self, now: Time, succeeded: bool) {
        self.pending_reads = self.pending_reads.saturating_sub(1);
        if !succeeded {
            self.last_read_at = now.after(RETRY_S);
        }
    }

    /// Advances the bounds on the age of the mirror, which has reached `revision`: applies and
    /// drops all completed reads up to this revision.
    fn advance_to(&mut self, now: Time, revision: u64) {
        let (linearized_at, call) = (&mut self.linearized_at, &mut self.linearized_call);
        let changes_known_at = &mut self.changes_known_at;
        let read_timer = &mut self.read_timer;
        self.reads.retain(|read| {
            if read.revision <= revision {
                read_timer.record_caught_up(now, read.sent_at);
                *linearized_at = (*linearized_at).max(read.sent_at);
                *changes_known_at = (*changes_known_at).max(read.sent_at);
                *call = (*call).max(read.call);
            }
            read.revision > revision
        });
    }
}

impl<P> StoreClient<P> {
    /// Reads the current revision if a user request waits for it, or if the last read is
    /// [`REVISION_READ_INTERVAL_S`] old.
    pub(crate) fn read_revision(&mut self, now: Time, outbox: &mut Outbox, demand: RevisionDemand) {
        let since_last_read_s = now.since(self.staleness.last_read_at);
        let waits_for_pending =
            self.staleness.pending_reads > 0 && since_last_read_s < CONCURRENT_READ_GAP_S;
        if waits_for_pending || !self.is_initial_list_done {
            return;
        }
        let last_call = self.staleness.last_read_call;
        let is_waiting = |after: Option<CallId>| after.is_some_and(|after| after >= last_call);
        let is_urgent = is_waiting(demand.urgent) && since_last_read_s >= REVISION_READ_GAP_S;
        let is_due = is_urgent || since_last_read_s >= REVISION_READ_INTERVAL_S;
        let status_query_gap_s =
            1.0 / (self.request_limit.rate() * STATUS_QUERY_REQUEST_FRACTION).max(1.0);
        let is_queried = is_waiting(demand.status_query)
            && since_last_read_s >= status_query_gap_s.max(REVISION_READ_GAP_S);
        if !(is_due || is_queried) {
            return;
        }
        // Reads that scheduling, cancellations and submissions depend on have priority over reads
        // for status queries.
        let priority = if is_due {
            Priority::First
        } else {
            Priority::Usual
        };
        let request = StoreRequest::ReadRevision;
        if let Ok(call) = self.send_for(now, outbox, request, Purpose::ReadRevision, priority) {
            self.staleness.pending_reads += 1;
            self.staleness.last_read_at = now;
            self.staleness.last_read_call = call;
        }
    }

    /// Advances the bounds on the age of the mirror to the revision that the mirror has reached.
    pub(crate) fn advance_linearization(&mut self, now: Time) {
        self.staleness.advance_to(now, self.mirror.revision);
    }

    /// Returns how long reads and commits recently took.
    pub(crate) fn read_times(&self, now: Time) -> ReadTimes {
        self.staleness.read_timer.times(now)
    }

    /// Returns the time at which the latest read was sent whose revision the mirror has reached.
    /// The mirror contains everything that the store had committed before that time.
    pub(crate) fn linearized_at(&self) -> Time {
        self.staleness.linearized_at
    }

    /// Returns the call of the latest read whose revision the mirror has reached. The mirror is
    /// newer than any request that arrived before this call was sent.
    pub(crate) fn linearized_call(&self) -> CallId {
        self.staleness.linearized_call
    }

    /// Returns the time at which the latest read or watch was sent whose changes the mirror
    /// contains.
    pub(crate) fn changes_known_at(&self) -> Time {
        self.staleness.changes_known_at
    }

    /// Returns an upper bound on the age of the mirror, in seconds.
    pub(crate) fn staleness_s(&self, now: Time) -> f64 {
        now.since(self.staleness.changes_known_at)
    }

    /// Whether the mirror is incomplete or may be older than [`STALENESS_BOUND_S`].
    pub(crate) fn is_stale(&self, now: Time) -> bool {
        !self.is_initial_list_done || self.staleness_s(now) > STALENESS_BOUND_S
    }
}
