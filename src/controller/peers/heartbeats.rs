//! Heartbeats between controllers, and what they tell of who runs and who holds what.

use crate::controller::events::Output;
use crate::controller::{BLIND_S, Core, HEARD_S};
use crate::ids::{MachineId, Member, Time};
use crate::peer::{Hello, Message};

/// Siblings say hello every second; one that has missed two is taken to be down.
const HEARTBEAT_LOST_S: f64 = 2.2;
/// Most overdue machines named in one message. With more of them silent, cancellations
/// merely wait for their full time.
const OVERDUE_MAX: usize = 256;

impl Core {
    /// Tells all siblings how this controller stands.
    pub(crate) fn say_hello(&mut self) {
        let hello = Message::Hello(self.hello());
        self.out.push(Output::Peer(None, hello));
    }

    fn hello(&self) -> Hello {
        let blocks = self.cache.blocks.iter().filter_map(|(k, b)| {
            let rec = b.rec.as_ref()?;
            Some((*k, rec.number, rec.holder.clone()))
        });
        Hello {
            from: self.settings.platform.member.clone(),
            boot: self.boot,
            leader: self.cache.leader.rec.as_ref().map(|l| l.member.clone()),
            blocks: blocks.collect(),
            sighted: !self.blind(),
            blind_ms: (self.blind_s() * 1000.0) as u64,
            heard: self.now.since(self.worker_heard) < HEARD_S,
            deaf: self.parked.values().any(|h| h.deaf(self.now)),
            relays: self.relays(),
            at_ms: self.now.0,
            echoes: self.echoes(),
            sheltered_ms: self.sheltered_ms(),
            overdue: self.overdue(),
        }
    }

    /// Answers a sibling that has just begun at once. It hands no report on to a holder that it
    /// hasn't heard: after an outage of all controllers that kept reports waiting for up to a
    /// second each time one came back, and their workers' leases ran out.
    fn greet(&mut self, sibling: &Member) {
        let hello = Message::Hello(self.hello());
        self.out.push(Output::Reconnect(sibling.clone()));
        self.out.push(Output::Peer(Some(sibling.clone()), hello));
    }

    /// Machines of this controller's blocks that can't be counted on to confirm anything.
    pub(crate) fn overdue(&self) -> Vec<MachineId> {
        let patience = self.settings.overdue_s();
        let held = self.parked.values();
        let late = held.flat_map(|h| h.machines.iter().map(move |(id, m)| (h.since, id, m)));
        let late = late.filter(|(since, _, m)| {
            !m.tasks.is_empty() && m.held.is_none() && self.now.since(m.seen.max(*since)) > patience
        });
        late.map(|(_, id, _)| id.clone())
            .take(OVERDUE_MAX)
            .collect()
    }

    /// Which message of each sibling came last, for `nobody_sheltered` there.
    pub(crate) fn echoes(&self) -> Vec<(Member, u64, u64)> {
        let all = self.siblings.values();
        all.map(|(h, _)| (h.from.clone(), h.boot, h.at_ms))
            .collect()
    }

    pub(crate) fn is_sibling(&self, member: &Member) -> bool {
        let mut siblings = self.settings.platform.siblings.iter();
        siblings.any(|s| s.member == *member)
    }

    pub(crate) fn on_hello(&mut self, hello: Hello) {
        if !self.is_sibling(&hello.from) {
            return;
        }
        // Cut off from the state service, a holder learns here that it has been
        // replaced, and stops answering for its workers.
        for (block, number, _) in &hello.blocks {
            let replaced = self.parked.get(block).is_some_and(|h| *number > h.number);
            if replaced {
                self.in_block(*block, |core| {
                    core.drop_block("a sibling knows a higher number");
                });
            }
        }
        let (from, boot, at) = (hello.from.clone(), hello.boot, self.now);
        let before = self.siblings.insert(from.clone(), (hello, at));
        if before.is_none_or(|(h, _)| h.boot != boot) {
            self.greet(&from);
        }
    }

    /// Who holds the block that a machine belongs to, as far as can be told: by the
    /// state service or, when this controller is blind, by what siblings said lately.
    pub(crate) fn holder_of(&self, machine: &MachineId) -> Option<Member> {
        let recs = self.cache.blocks.iter();
        let mut recs = recs.filter_map(|(k, b)| Some((*k, b.rec.as_ref()?)));
        let found = recs.find(|(_, b)| b.has(machine));
        let me = &self.settings.platform.member;
        let Some((block, rec)) = found else {
            // In no block yet: the leader will see to it.
            let leader = self.cache.leader.rec.as_ref().map(|l| l.member.clone());
            return leader.filter(|l| l != me);
        };
        let said = self.lately().filter(|h| h.sighted);
        let said = said
            .flat_map(|h| &h.blocks)
            .filter(|(k, n, _)| *k == block && *n > rec.number);
        let newest = said
            .max_by_key(|(_, n, _)| *n)
            .map(|(_, _, holder)| holder.clone());
        Some(newest.unwrap_or(rec.holder.clone())).filter(|holder| holder != me)
    }

    /// Whether a sibling has seen the state service for clearly longer than this
    /// controller: the trouble is then here, and not an outage that all share.
    pub(crate) fn singled_out(&self) -> bool {
        let behind = |(h, at): &&(Hello, Time)| {
            let theirs = h.blind_ms as f64 / 1000.0 + self.now.since(*at);
            theirs + BLIND_S < self.blind_s()
        };
        self.siblings.values().any(|s| behind(&s))
    }

    /// Whether workers can be sent to a sibling: it runs and hasn't lost its workers. A
    /// holder that they can't reach says hello all the same, and a worker sent back to
    /// it loses 5 s of its lease. A new holder has none to lose yet.
    pub(crate) fn reachable(&self, member: &Member) -> bool {
        let deaf = self.siblings.get(member).is_some_and(|(h, _)| h.deaf);
        !deaf && self.heartbeat_fresh(member)
    }

    /// Whether a sibling was heard of so lately that it surely runs.
    pub(crate) fn heartbeat_fresh(&self, member: &Member) -> bool {
        let heard = self.siblings.get(member).map(|(_, at)| *at);
        heard.is_some_and(|at| self.now.since(at) < HEARTBEAT_LOST_S)
    }

    /// Whether workers report to a sibling that could lead.
    pub(crate) fn sibling_hears(&self) -> bool {
        self.lately().any(|h| h.sighted && h.heard)
    }

    /// Whether there are siblings and none is heard.
    pub(crate) fn unheard(&self) -> bool {
        !self.settings.platform.siblings.is_empty() && self.lately().next().is_none()
    }

    pub(crate) fn lately(&self) -> impl Iterator<Item = &Hello> {
        let recent = |at: &Time| self.now.since(*at) < HEARD_S;
        let all = self.siblings.values();
        all.filter(move |(_, at)| recent(at)).map(|(h, _)| h)
    }
}
