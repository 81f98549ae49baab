//! The cloud as this controller uses it: the catalog of machine types, pending calls and the rate
//! limit. `P` is what a call is for, which only the caller understands.

use crate::controller::outbox::Outbox;
use crate::controller::rate_limits::token_bucket::{Priority, TokenBucket};
use crate::ids::{CallId, Time};
use crate::wire::{CloudRequest, CloudResponse, ListedMachine, MachineType};
use std::collections::HashMap;

/// The cloud as one controller sees it.
pub(crate) struct CloudClient<P> {
    /// Machine types; empty until they are known.
    pub(crate) catalog: Vec<MachineType>,
    /// When the catalog is asked for again, until it is known.
    pub(crate) catalog_retry: Time,
    /// Calls a second.
    pub(crate) rate_limit: TokenBucket,
    /// The list of machines.
    pub(crate) listing: MachineListing,
    pending: HashMap<CallId, P>,
}

/// How far a list of the cloud's machines has come.
#[derive(Debug)]
pub(crate) struct MachineListing {
    /// Whether a page is asked for, or waits for the rate limit.
    pub(crate) under_way: bool,
    /// The pages so far, of a list whose next page waits for the rate limit.
    pub(crate) waiting_pages: Option<Vec<ListedMachine>>,
    /// When the next list begins.
    pub(crate) next_at: Time,
}

impl<P> CloudClient<P> {
    /// Nothing is known yet.
    pub(crate) fn new(rate_limit: TokenBucket) -> Self {
        Self {
            catalog: Vec::new(),
            catalog_retry: Time(0),
            rate_limit,
            listing: MachineListing {
                under_way: false,
                waiting_pages: None,
                next_at: Time(0),
            },
            pending: HashMap::new(),
        }
    }

    /// Calls the cloud, if the rate limit allows it.
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

    /// Takes a response in: what its call was for, if the call is still pending.
    pub(crate) fn on_response(&mut self, call: CallId, response: &CloudResponse) -> Option<P> {
        let purpose = self.pending.remove(&call)?;
        if *response == CloudResponse::Unavailable {
            self.rate_limit.drain();
        }
        Some(purpose)
    }

    /// Whether a call is pending that `matches` picks.
    pub(crate) fn is_pending(&self, matches: impl Fn(&P) -> bool) -> bool {
        self.pending.values().any(matches)
    }
}
