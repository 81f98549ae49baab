//! Nodes: how they are started and killed, and what reaches them over links that can be cut.

use super::world::{Cut, Ev, Far, Origin, World};
use salttrestle::controller::Controller;
use salttrestle::controller::events::{Input, Link, Output, Reply};
use salttrestle::ids::Time;
use salttrestle::settings::{Platform, Settings, Tuning};
use salttrestle::wire::{CloudReply, StoreRequest, StoreResponse};

impl World {
    pub(super) fn restart(&mut self, n: usize) {
        let peers: Vec<_> = (0..self.controller_ids.len())
            .filter(|m| *m != n)
            .map(|m| {
                serde_json::json!({"member": self.controller_ids[m], "site": self.zones[m % self.zones.len()],
                    "endpoint": format!("10.0.0.{}:8081", m + 1)})
            })
            .collect();
        let mut p = self.platform.clone();
        p["member"] = self.controller_ids[n].clone().into();
        p["site"] = self.zones[n % self.zones.len()].clone().into();
        p["listen"] = format!("10.0.0.{}:8080", n + 1).into();
        p["peer_listen"] = format!("10.0.0.{}:8081", n + 1).into();
        p["siblings"] = peers.into();
        if let Some(next) = self.next.filter(|_| self.nodes[n].announced) {
            p["facts"]["state"]["next"] = serde_json::json!({"write_rps": next.write_rps,
                "value_kb": next.value_kb, "txn_ops": next.txn_ops});
        }
        let platform = Platform::parse(&p.to_string(), "scenario").expect("good settings");
        let tuning = Tuning::parse(Some(("scenario", &self.tuning))).expect("good tuning");
        self.nodes[n].incarnation += 1;
        (self.nodes[n].woken_for, self.nodes[n].frozen_until) = (u64::MAX, 0);
        let incarnation = self.nodes[n].incarnation * 10 + n as u64;
        self.nodes[n].controller = Some(Controller::new(
            Settings {
                platform,
                tuning,
                cells: None,
            },
            incarnation,
        ));
        self.feed(n, Input::Tick);
    }

    /// Tells the leader how busy it is, while the scenario says so.
    pub(super) fn measure_busy(&mut self) {
        let (share, until) = self.busy;
        if self.now < until
            && let Some(n) = self.leader()
        {
            self.feed(n, Input::ProcessorUtilization(share));
        }
    }

    pub(super) fn kill(&mut self, n: usize, down: u64) {
        if self.nodes[n].controller.take().is_none() {
            return;
        }
        self.nodes[n].incarnation += 1;
        // Its host closes its connections.
        for m in (0..self.nodes.len()).filter(|m| *m != n) {
            self.link(m, n, Link::Lost);
            self.refused_links.insert((m, n));
        }
        let incarnation = self.nodes[n].incarnation;
        self.state
            .waiters
            .retain(|w| w.node != n || w.incarnation == incarnation);
        for request_id in std::mem::take(&mut self.nodes[n].requests) {
            self.deliver(request_id, None);
        }
        self.after(down, Ev::Restart(n));
    }

    pub(super) fn feed(&mut self, n: usize, input: Input) {
        if let Input::Request(request_id, _) = &input {
            if self.nodes[n].controller.is_none() {
                let request_id = request_id.0;
                return self.deliver(request_id, None);
            }
            self.nodes[n].requests.push(request_id.0);
        }
        let node = &mut self.nodes[n];
        let Some(controller) = &mut node.controller else {
            return;
        };
        let local = node.offset + (self.now as f64 * (1.0 + node.drift)) as u64;
        let out = controller.step(Time(local), input);
        let wake = controller.wake_at().0.saturating_sub(local).max(1);
        let taken = controller.holds().is_some_and(|n| self.tokens.insert(n.0));
        let incarnation = node.incarnation;
        let at = self.now + wake;
        if at < self.nodes[n].woken_for {
            self.nodes[n].woken_for = at;
            self.at(at, Ev::Wake(n, incarnation));
        }
        for o in out {
            self.digest.add(self.now, n, incarnation, &o);
            self.output(n, incarnation, o);
        }
        if taken {
            self.note_takeover();
        }
        let shutdown_complete = |controller: &Controller| controller.shutdown_complete();
        if self.nodes[n]
            .controller
            .as_ref()
            .is_some_and(shutdown_complete)
            && let Some(down) = self.nodes[n].drain_down.take()
        {
            self.kill(n, down);
        }
    }

    pub(super) fn output(&mut self, n: usize, incarnation: u64, output: Output) {
        match output {
            Output::Answer(request_id, reply) => self.node_answers(n, request_id.0, reply),
            Output::Store(call, op) => {
                let patience = if matches!(op, StoreRequest::Watch { .. }) {
                    12_000
                } else {
                    2000
                };
                let none = Input::Store(call, StoreResponse::NoAnswer);
                self.after(patience, Ev::Node(n, incarnation, none));
                if matches!(op, StoreRequest::Transaction { .. }) && self.strikes(|t| t.late_writes)
                {
                    let delay = 2000 + self.random(10_000);
                    return self.after(delay, Ev::LateCommit(op));
                }
                let delay = 2 + self.random(4);
                self.cross(n, Far::State, delay, Ev::State(n, incarnation, call, op));
            }
            // Links here need no connection.
            Output::Reconnect(_) => {}
            Output::Forget(call) => self.state.waiters.retain(|w| w.call != call || w.node != n),
            Output::Cloud(call, op) => {
                self.note_duty(n, &op);
                let none = Input::Cloud(call, CloudReply::NoAnswer);
                self.after(6000, Ev::Node(n, incarnation, none));
                self.cross(n, Far::Cloud, 50, Ev::Cloud(n, incarnation, call, op));
            }
            Output::Cell(to, _) => {
                let what = format!("a message to cell {to}, though no limits are shared");
                self.checker.broken.push(what);
            }
            Output::Peer(to, message) => {
                for m in 0..self.nodes.len() {
                    let other = self.nodes[m].incarnation;
                    let cut = self.cut(m, Far::Peers).is_some();
                    let meant = to
                        .as_ref()
                        .is_none_or(|t| t.as_str() == self.controller_ids[m]);
                    let ended = self.nodes[m].controller.is_none();
                    if m != n && meant && (ended || self.now < self.peers_refuse_until) {
                        self.refused_links.insert((n, m));
                        self.link(n, m, Link::Refused);
                    } else if m != n && !cut && meant {
                        if self.refused_links.remove(&(n, m)) {
                            self.link(n, m, Link::Up);
                        }
                        let input = Input::Peer(message.clone());
                        self.cross(n, Far::Peers, 2, Ev::Node(m, other, input));
                    }
                }
            }
        }
    }

    pub(super) fn link(&mut self, n: usize, to: usize, link: Link) {
        let input = Input::Link(self.controller_ids[to].as_str().into(), link);
        let incarnation = self.nodes[n].incarnation;
        self.after(1, Ev::Node(n, incarnation, input));
    }

    /// Whether a worker and a node can't reach each other.
    pub(super) fn parted(&self, n: usize, id: &str) -> bool {
        let zone = self.workers.get(id).map(|w| &w.zone);
        let cuts = self.cuts.iter().filter(|c| c.far == Far::Workers);
        let mut cuts = cuts.filter(|c| c.node.is_none_or(|x| x == n));
        cuts.any(|c| c.zone.is_none() || c.zone.as_ref() == zone)
    }

    pub(super) fn cut(&self, n: usize, far: Far) -> Option<&Cut> {
        self.cuts
            .iter()
            .find(|c| c.far == far && c.node.is_none_or(|x| x == n))
    }

    /// Sends over a link, unless it is cut: then the message is lost, or kept until
    /// the cut is over.
    pub(super) fn cross(&mut self, n: usize, far: Far, delay: u64, ev: Ev) {
        match self.cut(n, far) {
            None => self.after(delay, ev),
            Some(Cut { hold: true, id, .. }) => {
                let id = *id;
                self.held.push((id, ev));
            }
            Some(_) => {}
        }
    }

    pub(super) fn heal(&mut self, id: u64) {
        self.cuts.retain(|c| c.id != id);
        let held = std::mem::take(&mut self.held);
        for (cut, ev) in held {
            if cut == id {
                self.after(5, ev);
            } else {
                self.held.push((cut, ev));
            }
        }
    }

    pub fn send(&mut self, n: usize, input: Input) {
        self.send_later(n, 1, input);
    }

    pub fn send_later(&mut self, n: usize, delay: u64, input: Input) {
        let incarnation = self.nodes[n].incarnation;
        if let Input::Request(request_id, _) = &input
            && let Some(o) = self.origins.get_mut(&request_id.0)
        {
            o.1 = n;
        }
        // A late message reaches whichever process is there by then.
        if delay > 1000 {
            let restarts = self.nodes[n].incarnation;
            self.after(delay, Ev::Node(n, restarts, input));
        } else {
            self.after(delay, Ev::Node(n, incarnation, input));
        }
    }

    pub fn worker_to_node(&mut self, id: &str, n: usize, input: Input) {
        if self.parted(n, id) {
            return;
        }
        if self.nodes[n].controller.is_none() {
            if let Input::Request(request_id, _) = input {
                self.after(1, Ev::ToWorker(id.into(), request_id.0, None));
            }
            return;
        }
        self.send(n, input);
    }

    pub(super) fn node_answers(&mut self, n: usize, request_id: u64, reply: Reply) {
        self.nodes[n].requests.retain(|r| *r != request_id);
        if let Some((Origin::Worker(id), _)) = self.origins.get(&request_id)
            && self.parted(n, id)
        {
            return;
        }
        self.deliver(request_id, Some(reply));
    }

    pub(super) fn deliver(&mut self, request_id: u64, reply: Option<Reply>) {
        match self.origins.remove(&request_id) {
            Some((Origin::Worker(id), _)) => self.after(1, Ev::ToWorker(id, request_id, reply)),
            Some((Origin::User(id, intent), _)) => {
                self.note_refusal(request_id, &id, intent, reply.as_ref());
                self.user_answer(id, intent, reply);
            }
            _ => {}
        }
    }
}
