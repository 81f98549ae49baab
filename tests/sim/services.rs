//! How the store and the cloud are asked, and what becomes of their answers.

use super::state::Waiter;
use super::world::{Ev, Far, World};
use salttrestle::controller::events::Input;
use salttrestle::controller::store::records::Record;
use salttrestle::ids::CallId;
use salttrestle::wire::{CloudOp, StoreRequest, StoreResponse};

impl World {
    pub(super) fn state_executes(
        &mut self,
        n: usize,
        incarnation: u64,
        call: CallId,
        op: StoreRequest,
    ) {
        let now = self.now;
        let refused = self.nodes[n].refused_until > now || self.throttled();
        let waits = matches!(op, StoreRequest::Watch { .. });
        let reply = if refused && !waits {
            Some(StoreResponse::Refused)
        } else if refused {
            None
        } else {
            self.state.execute(now, &op)
        };
        match reply {
            None => {
                let StoreRequest::Watch { after } = op else {
                    return;
                };
                let until = now + 10_000;
                let w = Waiter {
                    node: n,
                    incarnation,
                    call,
                    after,
                    until,
                };
                self.state.waiters.push(w);
                self.after(10_000, Ev::FollowEnd(n, incarnation, call));
            }
            Some(reply) => {
                let carried_out = matches!(op, StoreRequest::Transaction { .. })
                    && matches!(reply, StoreResponse::Committed { .. });
                let counted = carried_out && self.lose_commits > 0;
                if counted || carried_out && self.strikes(|t| t.lost_answers) {
                    self.lose_commits = self.lose_commits.saturating_sub(1);
                    self.met.answers_lost += 1;
                } else {
                    let slow = if self.strikes(|t| t.slow_state) {
                        400
                    } else {
                        0
                    };
                    let delay = 2 + self.random(slow);
                    let input = Input::Store(call, reply);
                    self.cross(n, Far::State, delay, Ev::Node(n, incarnation, input));
                }
            }
        }
        self.note_leader();
        self.wake_followers();
    }

    /// Notes whose record says that it leads. With several shards each owner deletes machines of
    /// its own.
    pub(super) fn note_leader(&mut self) {
        let entry = self.state.store.entries.get("s/own/leader");
        let leader = entry.and_then(|entry| match &entry.value {
            Record::Leader(leader) => Some((leader.token.0, leader.controller_id.to_string())),
            _ => None,
        });
        let leader = leader
            .as_ref()
            .map(|(n, controller_id)| (*n, controller_id.as_str()));
        self.state.orders.duties.leader_is(leader);
    }

    pub(super) fn note_duty(&mut self, n: usize, op: &CloudOp) {
        let several = self.state.store.entries.contains_key("s/own/block/1");
        if !several && matches!(op, CloudOp::Rent(_) | CloudOp::Delete(_)) {
            let duties = &mut self.state.orders.duties;
            duties.cloud_changed(self.now, &self.controller_ids[n]);
        }
    }

    /// Whether the store answers 429: more was asked of it this second than it takes.
    pub(super) fn throttled(&mut self) -> bool {
        let (most, until) = self.throttle;
        let second = self.now / 1000;
        if self.taken.0 != second {
            self.taken = (second, 0);
        }
        self.taken.1 += 1;
        self.now < until && self.taken.1 > most
    }

    pub fn wake_followers(&mut self) {
        if self.state.outage {
            return;
        }
        let waiters = std::mem::take(&mut self.state.waiters);
        for w in waiters {
            let open = self.nodes[w.node].refused_until <= self.now;
            match self.state.news(w.after).filter(|_| open) {
                Some(reply) => {
                    let input = Input::Store(w.call, reply);
                    self.cross(
                        w.node,
                        Far::State,
                        2,
                        Ev::Node(w.node, w.incarnation, input),
                    );
                }
                None => self.state.waiters.push(w),
            }
        }
    }

    pub(super) fn follow_end(&mut self, n: usize, incarnation: u64, call: CallId) {
        let before = self.state.waiters.len();
        let now = self.now;
        self.state.waiters.retain(|w| {
            !(w.node == n && w.incarnation == incarnation && w.call == call && w.until <= now)
        });
        // A watch whose time is over while its node is refused waits as in an outage: an
        // empty answer would say that nothing has changed.
        let waits = self.state.outage || self.nodes[n].refused_until > now;
        if self.state.waiters.len() < before && !waits {
            let reply = StoreResponse::Changes {
                revision: self.state.store.revision,
                news: Vec::new(),
            };
            let input = Input::Store(call, reply);
            self.cross(n, Far::State, 2, Ev::Node(n, incarnation, input));
        }
    }

    pub(super) fn cloud_executes(&mut self, n: usize, incarnation: u64, call: CallId, op: CloudOp) {
        let now = self.now;
        let before = self.cloud.rigs.len();
        let (reply, gone) = self.cloud.execute(now, &op);
        for id in gone {
            let tasks = self.workers.get(&id).map_or(0, |w| w.tasks.len());
            self.deleted_tasks += tasks;
            self.end_worker(&id);
        }
        let fresh: Vec<(String, u64)> = self
            .cloud
            .rigs
            .iter()
            .skip(before)
            .filter_map(|(id, r)| Some((id.clone(), r.boots?)))
            .collect();
        for (id, at) in fresh {
            self.at(at, Ev::Boot(id));
        }
        let input = Input::Cloud(call, reply);
        self.cross(n, Far::Cloud, 50, Ev::Node(n, incarnation, input));
    }
}
