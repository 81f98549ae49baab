//! What this controller knows of the store, and its requests to it.
//!
//! `StoreClient` is a state machine of its own: it lists the store once, watches every change
//! from then on and keeps a `mirror` of the records (`watch`); it reads the store's revision to
//! know how old the mirror may be (`staleness`); and it keeps to the rate limits. It depends on no
//! other duty of the controller: `P` is what a response is for, which only the caller understands.

pub mod chunks;
pub(crate) mod mirror;
pub mod records;
pub(crate) mod staleness;
mod watch;

use crate::controller::outbox::Outbox;
use crate::controller::rate_limits::token_bucket::{Priority, TokenBucket};
use crate::controller::rate_limits::write_rate::WriteRateMeter;
use crate::controller::store::mirror::{MirrorEvent, StoreMirror};
pub(crate) use crate::controller::store::staleness::RevisionDemand;
use crate::controller::store::staleness::Staleness;
use crate::controller::store::watch::WatchState;
use crate::ids::{CallId, Time};
use crate::wire::{StoreRequest, StoreResponse};
use std::collections::HashMap;

/// Pause before a refused or failed list, watch or read of the revision is tried again.
const RETRY_S: f64 = 0.3;

/// What a pending request is for.
#[derive(Debug)]
enum Purpose<P> {
    /// A page of the initial list.
    List,
    /// The changes behind the mirror's revision.
    Watch,
    /// The present revision.
    ReadRevision,
    /// Something of the caller's.
    Caller(P),
}

/// A request whose response hasn't come yet.
#[derive(Debug)]
struct PendingRequest<P> {
    purpose: Purpose<P>,
    sent: Time,
    /// Puts and deletes that it makes, if it is carried out.
    changes: f64,
}

/// What a response means to the rest of the controller.
#[derive(Debug)]
pub(crate) enum StoreEvent<P> {
    /// Nothing that it has to act on.
    None,
    /// The initial list is done, and these records differ from what was known.
    ListedMachine(Vec<MirrorEvent>),
    /// The watch brought changes. It waits to be continued.
    Changed(Vec<MirrorEvent>),
    /// The watch fell behind: what was missed can't be told apart from what never was.
    FellBehind,
    /// The response to a request of the caller's.
    Response {
        /// What the request was for.
        purpose: P,
        /// The response.
        response: StoreResponse,
        /// When the request was sent.
        sent: Time,
    },
}

/// The store as one controller sees and uses it.
pub(crate) struct StoreClient<P> {
    /// The records as far as they are known.
    pub(crate) mirror: StoreMirror,
    /// Requests a second.
    pub(crate) request_limit: TokenBucket,
    /// Puts and deletes a second.
    pub(crate) change_limit: TokenBucket,
    /// How many changes the other controllers make.
    pub(crate) write_rate: WriteRateMeter,
    /// Whether the store has refused a value for its size: the limits that were announced are in
    /// force.
    pub(crate) announced_limits_in_force: bool,
    watch: WatchState,
    initial_list_done: bool,
    staleness: Staleness,
    pending: HashMap<CallId, PendingRequest<P>>,
}

impl<P> Default for StoreClient<P> {
    fn default() -> Self {
        Self {
            mirror: StoreMirror::default(),
            request_limit: TokenBucket::new(1.0, 1.0),
            change_limit: TokenBucket::new(1.0, 1.0),
            write_rate: WriteRateMeter::default(),
            announced_limits_in_force: false,
            watch: WatchState::default(),
            initial_list_done: false,
            staleness: Staleness::default(),
            pending: HashMap::new(),
        }
    }
}

impl<P> StoreClient<P> {
    /// Sends a request if the rate limits allow it; hands the purpose back if they don't.
    pub(crate) fn send(
        &mut self,
        now: Time,
        outbox: &mut Outbox,
        request: StoreRequest,
        purpose: P,
        priority: Priority,
    ) -> Result<CallId, P> {
        let sent = self.send_for(now, outbox, request, Purpose::Caller(purpose), priority);
        sent.map_err(|purpose| match purpose {
            Purpose::Caller(purpose) => purpose,
            _ => unreachable!("the purpose that was given comes back"),
        })
    }

    fn send_for(
        &mut self,
        now: Time,
        outbox: &mut Outbox,
        request: StoreRequest,
        purpose: Purpose<P>,
        priority: Priority,
    ) -> Result<CallId, Purpose<P>> {
        let changes = change_count(&request);
        if !self.request_limit.has(now, 1.0, priority)
            || (changes > 0.0 && !self.change_limit.has(now, changes, priority))
        {
            return Err(purpose);
        }
        self.request_limit.take(1.0);
        self.change_limit.take(changes);
        let call = outbox.call_store(request);
        let pending = PendingRequest {
            purpose,
            sent: now,
            changes,
        };
        self.pending.insert(call, pending);
        Ok(call)
    }

    /// Takes a response in. Calls that aren't pending any more are passed over.
    pub(crate) fn on_response(
        &mut self,
        now: Time,
        outbox: &mut Outbox,
        call: CallId,
        response: StoreResponse,
    ) -> Option<StoreEvent<P>> {
        let PendingRequest {
            purpose,
            sent,
            changes,
        } = self.pending.remove(&call)?;
        if matches!(response, StoreResponse::Committed { .. }) {
            self.write_rate.count_own(changes);
        }
        if let StoreResponse::Missing { revision } | StoreResponse::Committed { revision } =
            &response
        {
            self.staleness.add_read(call, sent, *revision, now);
        }
        Some(match purpose {
            Purpose::List => self.on_list(now, outbox, response),
            Purpose::Watch => self.on_watch(now, response, sent),
            Purpose::ReadRevision => {
                let read = matches!(response, StoreResponse::Missing { .. });
                self.staleness.on_revision_read(now, read);
                StoreEvent::None
            }
            Purpose::Caller(purpose) => StoreEvent::Response {
                purpose,
                response,
                sent,
            },
        })
    }

    /// Whether a request of the caller's is pending that `matches` picks.
    pub(crate) fn is_pending(&self, matches: impl Fn(&P) -> bool) -> bool {
        self.pending.values().any(|request| match &request.purpose {
            Purpose::Caller(purpose) => matches(purpose),
            _ => false,
        })
    }
}

/// Puts and deletes that a request makes.
fn change_count(request: &StoreRequest) -> f64 {
    match request {
        StoreRequest::Transaction { writes, .. } => writes.len() as f64,
        _ => 0.0,
    }
}
