//! Nodes: how they are started and killed, and what reaches them over links that can be cut.

use super::world::{Cut, Ev, Far, Origin, World};
use salttrestle::controller::Core;
use salttrestle::controller::events::{Input, Link, Output, Reply};
use salttrestle::ids::Time;
use salttrestle::settings::{Platform, Settings, Tuning};
use salttrestle::wire::{CloudReply, StateOp, StateReply};

impl World {
    pub(super) fn restart(&mut self, n: usize) {
        let siblings: Vec<_> = (0..self.members.len())
            .filter(|m| *m != n)
            .map(|m| {
                serde_json::json!({"member": self.members[m], "site": self.zones[m % self.zones.len()],
                    "endpoint": format!("10.0.0.{}:8081", m + 1)})
            })
            .collect();
        let mut p = self.platform.clone();
        p["member"] = self.members[n].clone().into();
        p["site"] = self.zones[n % self.zones.len()].clone().into();
        p["listen"] = format!("10.0.0.{}:8080", n + 1).into();
        p["peer_listen"] = format!("10.0.0.{}:8081", n + 1).into();
        p["siblings"] = siblings.into();
        if let Some(next) = self.next.filter(|_| self.nodes[n].announced) {
            p["facts"]["state"]["next"] = serde_json::json!({"write_rps": next.write_rps,
                "value_kb": next.value_kb, "txn_ops": next.txn_ops});
        }
        let platform = Platform::parse(&p.to_string(), "scenario").expect("good settings");
        let tuning = Tuning::parse(Some(("scenario", &self.tuning))).expect("good tuning");
        self.nodes[n].boot += 1;
        (self.nodes[n].woken_for, self.nodes[n].frozen_until) = (u64::MAX, 0);
        let boot = self.nodes[n].boot * 10 + n as u64;
        self.nodes[n].core = Some(Core::new(
            Settings {
                platform,
                tuning,
                cells: None,
            },
            boot,
        ));
        self.feed(n, Input::Tick);
    }

    /// Tells the leader how busy it is, while the scenario says so.
    pub(super) fn measure_busy(&mut self) {
        let (share, until) = self.busy;
        if self.now < until
            && let Some(n) = self.leader()
        {
            self.feed(n, Input::Busy(share));
        }
    }

    pub(super) fn kill(&mut self, n: usize, down: u64) {
        if self.nodes[n].core.take().is_none() {
            return;
        }
        self.nodes[n].boot += 1;
        // Its host closes its connections.
        for m in (0..self.nodes.len()).filter(|m| *m != n) {
            self.link(m, n, Link::Lost);
            self.refused_links.insert((m, n));
        }
        let boot = self.nodes[n].boot;
        self.state.waiters.retain(|w| w.node != n || w.boot == boot);
        for req in std::mem::take(&mut self.nodes[n].requests) {
            self.deliver(req, None);
        }
        self.after(down, Ev::Restart(n));
    }

    pub(super) fn feed(&mut self, n: usize, input: Input) {
        if let Input::Request(req, _) = &input {
            if self.nodes[n].core.is_none() {
                let req = req.0;
                return self.deliver(req, None);
            }
            self.nodes[n].requests.push(req.0);
        }
        let node = &mut self.nodes[n];
        let Some(core) = &mut node.core else {
            return;
        };
        let local = node.offset + (self.now as f64 * (1.0 + node.drift)) as u64;
        let out = core.step(Time(local), input);
        let wake = core.wake_at().0.saturating_sub(local).max(1);
        let taken = core.holds().is_some_and(|n| self.numbers.insert(n.0));
        let boot = node.boot;
        let at = self.now + wake;
        if at < self.nodes[n].woken_for {
            self.nodes[n].woken_for = at;
            self.at(at, Ev::Wake(n, boot));
        }
        for o in out {
            self.digest.add(self.now, n, boot, &o);
            self.output(n, boot, o);
        }
        if taken {
            self.note_takeover();
        }
        let drained = |core: &Core| core.drained();
        if self.nodes[n].core.as_ref().is_some_and(drained)
            && let Some(down) = self.nodes[n].drain_down.take()
        {
            self.kill(n, down);
        }
    }

    pub(super) fn output(&mut self, n: usize, boot: u64, output: Output) {
        match output {
            Output::Answer(req, reply) => self.node_answers(n, req.0, reply),
            Output::State(call, op) => {
                let patience = if matches!(op, StateOp::Follow { .. }) {
                    12_000
                } else {
                    2000
                };
                let none = Input::State(call, StateReply::NoAnswer);
                self.after(patience, Ev::Node(n, boot, none));
                if matches!(op, StateOp::Commit { .. }) && self.strikes(|t| t.late_writes) {
                    let delay = 2000 + self.random(10_000);
                    return self.after(delay, Ev::LateCommit(op));
                }
                let delay = 2 + self.random(4);
                self.cross(n, Far::State, delay, Ev::State(n, boot, call, op));
            }
            // Links here need no connection.
            Output::Reconnect(_) => {}
            Output::Forget(call) => self.state.waiters.retain(|w| w.call != call || w.node != n),
            Output::Cloud(call, op) => {
                self.note_duty(n, &op);
                let none = Input::Cloud(call, CloudReply::NoAnswer);
                self.after(6000, Ev::Node(n, boot, none));
                self.cross(n, Far::Cloud, 50, Ev::Cloud(n, boot, call, op));
            }
            Output::Cell(to, _) => {
                let what = format!("a message to cell {to}, though no limits are shared");
                self.checker.broken.push(what);
            }
            Output::Peer(to, message) => {
                for m in 0..self.nodes.len() {
                    let other = self.nodes[m].boot;
                    let cut = self.cut(m, Far::Peers).is_some();
                    let meant = to.as_ref().is_none_or(|t| t.as_str() == self.members[m]);
                    let ended = self.nodes[m].core.is_none();
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
        let input = Input::Link(self.members[to].as_str().into(), link);
        let boot = self.nodes[n].boot;
        self.after(1, Ev::Node(n, boot, input));
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
        let boot = self.nodes[n].boot;
        if let Input::Request(req, _) = &input
            && let Some(o) = self.origins.get_mut(&req.0)
        {
            o.1 = n;
        }
        // A late message reaches whichever process is there by then.
        if delay > 1000 {
            let restarts = self.nodes[n].boot;
            self.after(delay, Ev::Node(n, restarts, input));
        } else {
            self.after(delay, Ev::Node(n, boot, input));
        }
    }

    pub fn worker_to_node(&mut self, id: &str, n: usize, input: Input) {
        if self.parted(n, id) {
            return;
        }
        if self.nodes[n].core.is_none() {
            if let Input::Request(req, _) = input {
                self.after(1, Ev::ToWorker(id.into(), req.0, None));
            }
            return;
        }
        self.send(n, input);
    }

    pub(super) fn node_answers(&mut self, n: usize, req: u64, reply: Reply) {
        self.nodes[n].requests.retain(|r| *r != req);
        if let Some((Origin::Worker(id), _)) = self.origins.get(&req)
            && self.parted(n, id)
        {
            return;
        }
        self.deliver(req, Some(reply));
    }

    pub(super) fn deliver(&mut self, req: u64, reply: Option<Reply>) {
        match self.origins.remove(&req) {
            Some((Origin::Worker(id), _)) => self.after(1, Ev::ToWorker(id, req, reply)),
            Some((Origin::User(id, intent), _)) => {
                self.note_refusal(req, &id, intent, reply.as_ref());
                self.user_answer(id, intent, reply);
            }
            _ => {}
        }
    }
}
