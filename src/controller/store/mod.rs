//! The client of the store: a local mirror of the records, and requests within the rate limits.
//!
//! `StoreClient` is a self-contained state machine. It lists the store once, watches all changes
//! after that, and applies them to a `mirror` of the records (`watch`). It reads the store's
//! current revision to bound the age of the mirror (`staleness`). It sends requests only as far as
//! the rate limits allow. It depends on no other component of the controller: the type parameter
//! `P` is the purpose of a request, which only the caller interprets.

pub mod chunks;
pub(crate) mod mirror;
pub mod read_times;
mod recent_maximum;
pub mod records;
pub(crate) mod staleness;
pub(crate) mod status_ages;
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

/// How long the store may take to respond to a request, except to a watch, in seconds.
pub(crate) const STORE_TIMEOUT_S: f64 = 2.0;
/// Pause before a refused or failed list, watch or read of the revision is retried, in seconds.
const RETRY_S: f64 = 0.3;

/// What a pending request is for.
#[derive(Debug)]
enum Purpose<P> {
    /// Reads a page of the initial list.
    List,
    /// Waits for changes after the mirror's revision.
    Watch,
    /// Reads the store's current revision.
    ReadRevision,
    /// A purpose that the caller named.
    Caller(P),
}

/// A request without a response so far.
#[derive(Debug)]
struct PendingRequest<P> {
    purpose: Purpose<P>,
    sent_at: Time,
    /// Number of puts and deletes that the request makes if the store commits it.
    changes: f64,
}

/// The effect of a response that other components of the controller react to.
#[derive(Debug)]
pub(crate) enum StoreEvent<P> {
    /// No reaction is needed.
    None,
    /// The initial list is complete, and these records differ from the previous mirror.
    Listed(Vec<MirrorEvent>),
    /// The watch delivered these changes. The caller has to call `continue_watch`.
    Changed(Vec<MirrorEvent>),
    /// The store has compacted changes that the watch had not delivered yet, so that deletions may
    /// have been missed. The records are listed again.
    FellBehind,
    /// The store answered a request that the caller had sent.
    Response {
        /// The purpose of the request.
        purpose: P,
        /// The response.
        response: StoreResponse,
        /// Time at which the request was sent.
        sent_at: Time,
    },
}

/// The client of the store. `P` is the purpose of a request, which only the caller interprets.
pub(crate) struct StoreClient<P> {
    /// The store's records as this controller knows them.
    pub(crate) mirror: StoreMirror,
    /// Limits the requests per second.
    pub(crate) request_limit: TokenBucket,
    /// Limits the puts and deletes per second.
    pub(crate) change_limit: TokenBucket,
    /// Measures the rate of changes that other controllers make.
    pub(crate) write_rate: WriteRateMeter,
    /// Whether the store has refused a value because of its size, which shows that the lower limits
    /// announced in the settings are in force.
    pub(crate) announced_limits_in_force: bool,
    /// Progress of the initial list and the watch.
    watch: WatchState,
    is_initial_list_done: bool,
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
            is_initial_list_done: false,
            staleness: Staleness::default(),
            pending: HashMap::new(),
        }
    }
}

impl<P> StoreClient<P> {
    /// Sends a request if the rate limits allow it; returns the purpose as the error otherwise.
    pub(crate) fn send(
        &mut self,
        now: Time,
        outbox: &mut Outbox,
        request: StoreRequest,
        purpose: P,
        priority: Priority,
    ) -> Result<CallId, P> {
        let result = self.send_for(now, outbox, request, Purpose::Caller(purpose), priority);
        result.map_err(|purpose| match purpose {
            Purpose::Caller(purpose) => purpose,
            _ => unreachable!("`send_for` returns the purpose it was given"),
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
        if !self.request_limit.can_take(now, 1.0, priority)
            || (changes > 0.0 && !self.change_limit.can_take(now, changes, priority))
        {
            return Err(purpose);
        }
        self.request_limit.take(1.0);
        self.change_limit.take(changes);
        let call = outbox.call_store(request);
        let pending = PendingRequest {
            purpose,
            sent_at: now,
            changes,
        };
        self.pending.insert(call, pending);
        Ok(call)
    }

    /// Handles a response. Returns `None` for calls that aren't pending any more.
    pub(crate) fn on_response(
        &mut self,
        now: Time,
        outbox: &mut Outbox,
        call: CallId,
        response: StoreResponse,
    ) -> Option<StoreEvent<P>> {
        let PendingRequest {
            purpose,
            sent_at,
            changes,
        } = self.pending.remove(&call)?;
        if matches!(response, StoreResponse::Committed { .. }) {
            self.write_rate.count_own(changes);
        }
        if let StoreResponse::Missing { revision } | StoreResponse::Committed { revision } =
            &response
        {
            self.staleness.add_read(call, sent_at, *revision, now);
        }
        Some(match purpose {
            Purpose::List => self.on_list(now, outbox, response),
            Purpose::Watch => self.on_watch(now, response, sent_at),
            Purpose::ReadRevision => {
                let succeeded = matches!(response, StoreResponse::Missing { .. });
                self.staleness.on_revision_read(now, succeeded);
                StoreEvent::None
            }
            Purpose::Caller(purpose) => StoreEvent::Response {
                purpose,
                response,
                sent_at,
            },
        })
    }

    /// Whether a request of the caller is pending whose purpose `matches` accepts.
    pub(crate) fn is_pending(&self, matches: impl Fn(&P) -> bool) -> bool {
        self.pending.values().any(|request| match &request.purpose {
            Purpose::Caller(purpose) => matches(purpose),
            _ => false,
        })
    }
}

/// Returns the number of puts and deletes that a request makes.
fn change_count(request: &StoreRequest) -> f64 {
    match request {
        StoreRequest::Transaction { writes, .. } => writes.len() as f64,
        _ => 0.0,
    }
}
