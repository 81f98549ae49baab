//! Routes the outputs of controllers to the store, the cloud, peers, workers and users.

use super::event::{Event, Process};
use super::links::{LinkEnd, PeerConnection};
use super::world::World;
use salttrestle::controller::events::{Input, LinkEvent, Output};
use salttrestle::ids::{CallId, ControllerId};
use salttrestle::peer::Message;
use salttrestle::wire::{CloudRequest, CloudResponse, StoreRequest, StoreResponse};

/// A controller's timeout for a watch.
const WATCH_TIMEOUT_MS: u64 = 12_000;
/// A controller's timeout for every other request to the store.
const STORE_TIMEOUT_MS: u64 = 2000;
/// A controller's timeout for a request to the cloud.
const CLOUD_TIMEOUT_MS: u64 = 6000;
/// The one-way delay of a message to or from the cloud.
pub(super) const CLOUD_DELAY_MS: u64 = 50;
/// The one-way delay of a message to a peer.
const PEER_DELAY_MS: u64 = 2;

impl World {
    /// Routes an output of a controller process to its destination.
    pub(super) fn route_output(&mut self, process: Process, output: Output) {
        match output {
            Output::Answer(request, reply) => {
                self.handle_controller_answer(process.controller, request.0, reply);
            }
            Output::Store(call, request) => self.send_to_store(process, call, request),
            Output::Cloud(call, request) => self.send_to_cloud(process, call, request),
            Output::Peer(to, message) => self.send_to_peers(process.controller, to, &message),
            // Simulated links have no connections to re-establish.
            Output::Reconnect(_) => {}
            Output::CancelCall(call) => {
                self.observed.cancelled_watches.push(self.now);
                self.store.watches.retain(|watch| {
                    watch.call != call || watch.process.controller != process.controller
                });
            }
            Output::Cell(to, _) => {
                let violation = format!(
                    "unexpected message: cell={to} reason=no limits are shared between cells"
                );
                self.checker.violations.push(violation);
            }
        }
    }

    fn send_to_store(&mut self, process: Process, call: CallId, request: StoreRequest) {
        let timeout_ms = match request {
            StoreRequest::Watch { .. } => WATCH_TIMEOUT_MS,
            _ => STORE_TIMEOUT_MS,
        };
        let input = Input::Store(call, StoreResponse::NoResponse);
        self.schedule_after(timeout_ms, Event::Input { process, input });
        let is_transaction = matches!(request, StoreRequest::Transaction { .. });
        if is_transaction && self.is_hit_by_fault(|faults| faults.late_transactions) {
            let delay = 2000 + self.random_below(10_000);
            return self.schedule_after(delay, Event::LateTransaction(request));
        }
        let delay = 2 + self.random_below(4) + self.store_delay(process, call).until_executed_ms;
        let event = Event::StoreRequest {
            process,
            call,
            request,
        };
        self.send_over_link(process.controller, LinkEnd::Store, delay, event);
    }

    fn send_to_cloud(&mut self, process: Process, call: CallId, request: CloudRequest) {
        self.record_cloud_call(process.controller, &request);
        let input = Input::Cloud(call, CloudResponse::NoResponse);
        self.schedule_after(CLOUD_TIMEOUT_MS, Event::Input { process, input });
        let event = Event::CloudRequest {
            process,
            call,
            request,
        };
        self.send_over_link(process.controller, LinkEnd::Cloud, CLOUD_DELAY_MS, event);
    }

    /// Sends a message to one peer, or to all peers if `to` is `None`.
    fn send_to_peers(&mut self, from: usize, to: Option<ControllerId>, message: &Message) {
        for peer in (0..self.hosts.len()).filter(|peer| *peer != from) {
            let is_addressed = |to: &ControllerId| to.as_str() == self.controller_ids[peer];
            if to.as_ref().is_none_or(is_addressed) {
                self.send_to_peer(from, peer, message);
            }
        }
    }

    fn send_to_peer(&mut self, from: usize, to: usize, message: &Message) {
        let connection = PeerConnection { from, to };
        let is_down = self.hosts[to].controller.is_none();
        if is_down || self.now < self.peers_refuse_until {
            self.refused_links.insert(connection);
            return self.report_link_event(from, to, LinkEvent::Refused);
        }
        if self.partition_of(to, LinkEnd::Peers).is_some() {
            return;
        }
        if self.refused_links.remove(&connection) {
            self.report_link_event(from, to, LinkEvent::Up);
        }
        let process = self.current_process(to);
        let input = Input::Peer(message.clone());
        let event = Event::Input { process, input };
        self.send_over_link(from, LinkEnd::Peers, PEER_DELAY_MS, event);
    }
}
