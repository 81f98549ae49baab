//! The outputs of the current step, in the order in which they are produced, and the numbering of
//! calls to the store and the cloud.

use crate::controller::events::Output;
use crate::ids::{CallId, ControllerId};
use crate::peer::Message;
use crate::wire::{CloudRequest, StoreRequest};

/// The outputs of the current step, and the number of the latest call.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    outputs: Vec<Output>,
    last_call: u64,
}

impl Outbox {
    /// Adds an output.
    pub(crate) fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Adds a message to one peer, or to all peers if `to` is `None`.
    pub(crate) fn send_to_peer(&mut self, to: Option<ControllerId>, message: Message) {
        self.push(Output::Peer(to, message));
    }

    /// Adds a request to the store. Returns the call by which its response is identified.
    pub(crate) fn call_store(&mut self, request: StoreRequest) -> CallId {
        let call = self.next_call();
        self.push(Output::Store(call, request));
        call
    }

    /// Adds a request to the cloud. Returns the call by which its response is identified.
    pub(crate) fn call_cloud(&mut self, request: CloudRequest) -> CallId {
        let call = self.next_call();
        self.push(Output::Cloud(call, request));
        call
    }

    /// Returns the latest call. Calls are numbered in ascending order, so that an event which
    /// arrives now precedes every call with a higher number.
    pub(crate) fn last_call(&self) -> CallId {
        CallId(self.last_call)
    }

    /// Removes and returns all outputs, at the end of a step.
    pub(crate) fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }
}
