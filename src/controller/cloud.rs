//! The client of the cloud provider: the catalog of machine types, pending calls and the rate
//! limit.

use crate::controller::outbox::Outbox;
use crate::controller::rate_limits::token_bucket::{Priority, TokenBucket};
use crate::ids::{CallId, Time};
use crate::wire::{CloudRequest, CloudResponse, ListedMachine, MachineType};
use std::collections::HashMap;

/// The client of the cloud provider. `P` is the purpose of a call, which only the caller
/// interprets.
pub(crate) struct CloudClient<P> {
    /// Machine types; empty until the catalog has been received.
    pub(crate) catalog: Vec<MachineType>,
    /// Time at which the catalog is requested again while it is empty.
    pub(crate) catalog_retry_at: Time,
    /// Limits the calls per second.
    pub(crate) rate_limit: TokenBucket,
    /// Progress of the periodic list of all machines.
    pub(crate) listing: MachineListing,
    /// The purpose of each pending call.
    pending: HashMap<CallId, P>,
}

/// Progress of the periodic list of all machines.
#[derive(Debug)]
pub(crate) struct MachineListing {
    /// Whether a list is in progress: a page is requested or waits for the rate limit.
    pub(crate) is_in_progress: bool,
    /// Machines of the pages received so far, if the next page waits for the rate limit.
    pub(crate) waiting_pages: Option<Vec<ListedMachine>>,
    /// Time at which the next list starts.
    pub(crate) next_at: Time,
}

impl<P> CloudClient<P> {
    /// Creates a client without a catalog.
    pub(crate) fn new(rate_limit: TokenBucket) -> Self {
        Self {
            catalog: Vec::new(),
            catalog_retry_at: Time(0),
            rate_limit,
            listing: MachineListing {
                is_in_progress: false,
                waiting_pages: None,
                next_at: Time(0),
            },
            pending: HashMap::new(),
        }
    }

    /// Sends a call if the rate limit allows it; returns whether it was sent.
    pub(crate) fn send(
        &mut self,
        now: Time,
        outbox: &mut Outbox,
        request: CloudRequest,
        purpose: P,
        priority: Priority,
    ) -> bool {
        if !self.rate_limit.can_take(now, 1.0, priority) {
            return false;
        }
        self.rate_limit.take(1.0);
        let call = outbox.call_cloud(request);
        self.pending.insert(call, purpose);
        true
    }

    /// Completes a call and returns its purpose, or `None` if it wasn't pending. An `Unavailable`
    /// response drains the rate limit, which delays further calls.
    pub(crate) fn on_response(&mut self, call: CallId, response: &CloudResponse) -> Option<P> {
        let purpose = self.pending.remove(&call)?;
        if *response == CloudResponse::Unavailable {
            self.rate_limit.drain();
        }
        Some(purpose)
    }

    /// Whether a call is pending whose purpose `matches` accepts.
    pub(crate) fn is_pending(&self, matches: impl Fn(&P) -> bool) -> bool {
        self.pending.values().any(matches)
    }
}
