//! How fresh the knowledge of the store is: reads of the present revision, and whether
//! a controller is stale.

use crate::controller::context::Context;
use crate::controller::context::RETRY_S;
use crate::controller::context::STALENESS_BOUND_S;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::requests::RequestPurpose;
use crate::ids::CallId;
use crate::ids::Time;
use crate::wire::{StoreRequest, StoreResponse};

/// A read whose answer named a revision.
pub(crate) struct RevisionRead {
    pub(crate) call: CallId,
    pub(crate) sent: Time,
    pub(crate) revision: u64,
    pub(crate) answered: Time,
}

/// Shortest pause between two reads of the present revision, and the share of its requests
/// that a controller reads it with for users who ask. With that and the watch's share, some
/// are left for submissions and cancellations however often users ask.
const REVISION_READ_GAP_S: f64 = 0.06;
const QUESTION_SHARE: f64 = 0.35;
/// A controller reads the present revision at least this often.
const REVISION_READ_INTERVAL_S: f64 = 1.0;

impl Context {
    /// Asks for the present revision when somebody waits for it, or when it was
    /// last read too long ago.
    pub(crate) fn read_revision(&mut self) {
        if self.revision_read_sent.is_some() || !self.initial_list_done {
            return;
        }
        let since = self.now.since(self.revision_read_last);
        let news =
            |after: Option<CallId>| after.is_some_and(|after| after >= self.revision_read_call);
        let asked = news(self.api.newest_status_query());
        let urgent = news(self.api.newest_urgent()) && since >= REVISION_READ_GAP_S;
        let gap_s = 1.0 / (self.requests.rate() * QUESTION_SHARE).max(1.0);
        let due = urgent || since >= REVISION_READ_INTERVAL_S;
        let wanted = asked && since >= gap_s.max(REVISION_READ_GAP_S);
        if !(due || wanted) {
            return;
        }
        // What it has to know to act, to cancel and to accept goes first, what users merely
        // ask behind that.
        let priority = if due {
            Priority::First
        } else {
            Priority::Usual
        };
        if let Ok(call) = self.send_store_request(
            StoreRequest::ReadRevision,
            RequestPurpose::ReadRevision,
            priority,
        ) {
            self.revision_read_sent = Some(self.now);
            self.revision_read_last = self.now;
            self.revision_read_call = call;
        }
    }

    pub(crate) fn on_revision_read(&mut self, reply: &StoreResponse) {
        self.revision_read_sent = None;
        if !matches!(reply, StoreResponse::Missing { .. }) {
            self.revision_read_last = self.now.after(RETRY_S);
        }
    }

    pub(crate) fn advance_linearization(&mut self) {
        let revision = self.mirror.revision;
        let (fresh, call) = (&mut self.linearized_at, &mut self.linearized_call);
        let known = &mut self.changes_known_at;
        self.revision_reads.retain(|r| {
            if r.revision <= revision {
                *fresh = (*fresh).max(r.sent);
                *known = (*known).max(r.sent);
                *call = (*call).max(r.call);
            }
            r.revision > revision
        });
        self.answer_status_queries();
    }

    /// Seconds since this controller last knew all that stood at the store.
    pub(crate) fn staleness_s(&self) -> f64 {
        self.now.since(self.linearized_at)
    }

    /// Whether it can't know what the store holds now.
    pub(crate) fn is_stale(&self) -> bool {
        !self.initial_list_done || self.staleness_s() > STALENESS_BOUND_S
    }
}
