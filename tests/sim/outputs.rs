//! What becomes of everything that a controller sends.

use super::event::{Event, Process};
use super::links::{LinkEnd, PeerConnection};
use super::world::World;
use salttrestle::controller::events::{Input, LinkEvent, Output};
use salttrestle::ids::{CallId, ControllerId};
use salttrestle::peer::Message;
use salttrestle::wire::{CloudRequest, CloudResponse, StoreRequest, StoreResponse};

/// How long a controller waits for the answer to a watch, to another request to the store, and to
/// one to the cloud.
const WATCH_TIMEOUT_MS: u64 = 12_000;
const STORE_TIMEOUT_MS: u64 = 2000;
const CLOUD_TIMEOUT_MS: u64 = 6000;
/// How long a message is on its way to the cloud, and to a peer.
pub(super) const CLOUD_DELAY_MS: u64 = 50;
const PEER_DELAY_MS: u64 = 2;

impl World {
    /// Carries an output of a controller's process to where it goes.
    pub(super) fn send(&mut self, process: Process, output: Output) {
        match output {
            Output::Answer(request, reply) => {
                self.controller_answers(process.controller, request.0, reply);
            }
            Output::Store(call, request) => self.send_to_store(process, call, request),
            Output::Cloud(call, request) => self.send_to_cloud(process, call, request),
            Output::Peer(to, message) => self.send_to_peers(process.controller, to, &message),
            // Links here need no connection.
            Output::Reconnect(_) => {}
            Output::CancelCall(call) => {
                self.store.watches.retain(|watch| {
                    watch.call != call || watch.process.controller != process.controller
                });
            }
            Output::Cell(to, _) => {
                let what = format!("a message to cell {to}, though no limits are shared");
                self.checker.violations.push(what);
            }
        }
    }

    fn send_to_store(&mut self, process: Process, call: CallId, request: StoreRequest) {
        let timeout_ms = match request {
            StoreRequest::Watch { .. } => WATCH_TIMEOUT_MS,
            _ => STORE_TIMEOUT_MS,
        };
        let input = Input::Store(call, StoreResponse::NoResponse);
        self.after(timeout_ms, Event::Input { process, input });
        let transaction = matches!(request, StoreRequest::Transaction { .. });
        if transaction && self.strikes(|faults| faults.late_transactions) {
            let delay = 2000 + self.random(10_000);
            return self.after(delay, Event::LateTransaction(request));
        }
        let delay = 2 + self.random(4);
        let event = Event::StoreRequest {
            process,
            call,
            request,
        };
        self.cross(process.controller, LinkEnd::Store, delay, event);
    }

    fn send_to_cloud(&mut self, process: Process, call: CallId, request: CloudRequest) {
        self.note_cloud_call(process.controller, &request);
        let input = Input::Cloud(call, CloudResponse::NoResponse);
        self.after(CLOUD_TIMEOUT_MS, Event::Input { process, input });
        let event = Event::CloudRequest {
            process,
            call,
            request,
        };
        self.cross(process.controller, LinkEnd::Cloud, CLOUD_DELAY_MS, event);
    }

    /// Sends a message to one peer, or to all.
    fn send_to_peers(&mut self, from: usize, to: Option<ControllerId>, message: &Message) {
        for peer in (0..self.hosts.len()).filter(|peer| *peer != from) {
            let named = |to: &ControllerId| to.as_str() == self.controller_ids[peer];
            if to.as_ref().is_none_or(named) {
                self.send_to_peer(from, peer, message);
            }
        }
    }

    fn send_to_peer(&mut self, from: usize, to: usize, message: &Message) {
        let connection = PeerConnection { from, to };
        let ended = self.hosts[to].controller.is_none();
        if ended || self.now < self.peers_refuse_until {
            self.refused_links.insert(connection);
            return self.set_link(from, to, LinkEvent::Refused);
        }
        if self.partition_of(to, LinkEnd::Peers).is_some() {
            return;
        }
        if self.refused_links.remove(&connection) {
            self.set_link(from, to, LinkEvent::Up);
        }
        let process = self.process(to);
        let input = Input::Peer(message.clone());
        let event = Event::Input { process, input };
        self.cross(from, LinkEnd::Peers, PEER_DELAY_MS, event);
    }
}
