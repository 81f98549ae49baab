//! The client of the cloud: the catalog of machine types, pending calls and the rate limit.

use crate::controller::outbox::Outbox;
use crate::controller::rate_limits::token_bucket::{Priority, TokenBucket};
use crate::ids::{CallId, Time};
use crate::wire::{CloudRequest, CloudResponse, ListedMachine, MachineType};
use std::collections::HashMap;

/// The client of the cloud. `P` is what a call is for, which only the caller interprets.
pub(crate) struct CloudClient<P> {
    /// Machine types; empty until they are known.
    pub(crate) catalog: Vec<MachineType>,
    /// When the catalog is requested again, until it is known.
    pub(crate) catalog_retry_at: Time,
    /// Limits the calls per second.
    pub(crate) rate_limit: TokenBucket,
    /// Progress of the list of machines.
    pub(crate) listing: MachineListing,
    /// What each pending call is for.
    pending: HashMap<CallId, P>,
}

/// Progress of a list of the cloud's machines.
#[derive(Debug)]
pub(crate) struct MachineListing {
    /// Whether a page is requested, or waits for the rate limit.
    pub(crate) under_way: bool,
    /// The earlier pages of a list whose next page waits for the rate limit.
    pub(crate) waiting_pages: Option<Vec<ListedMachine>>,
    /// When the next list begins.
    pub(crate) next_at: Time,
}

impl<P> CloudClient<P> {
    /// A client that knows neither catalog nor machines yet.
    pub(crate) fn new(rate_limit: TokenBucket) -> Self {
        Self {
            catalog: Vec::new(),
            catalog_retry_at: Time(0),
            rate_limit,
            listing: MachineListing {
                under_way: false,
                waiting_pages: None,
                next_at: Time(0),
            },
            pending: HashMap::new(),
        }
    }

    /// Calls the cloud if the rate limit allows it; says whether it did.
    pub(crate) fn send(
        &mut self,
        now: Time,
        outbox: &mut Outbox,
        request: CloudRequest,
        purpose: P,
        priority: Priority,
    ) -> bool {
        if !self.rate_limit.has(now, 1.0, priority) {
            return false;
        }
        self.rate_limit.take(1.0);
        let call = outbox.call_cloud(request);
        self.pending.insert(call, purpose);
        true
    }

    /// Completes a call: returns what it was for, if it was still pending.
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
