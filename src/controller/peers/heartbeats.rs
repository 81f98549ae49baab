//! Heartbeats between controllers, and what they tell of who runs and who holds what.

use crate::controller::Controller;
use crate::controller::context::{Context, RECENT_HEARTBEAT_S};
use crate::controller::events::Output;
use crate::controller::leadership::GiveUpReason;
use crate::controller::store::staleness::STALENESS_BOUND_S;
use crate::ids::{ControllerId, MachineId, Time};
use crate::peer::{Message, PeerHeartbeat};

/// Peers send heartbeats every second; one that has missed two is taken to be down.
const HEARTBEAT_LOST_S: f64 = 2.2;
/// Most overdue machines named in one message. With more of them silent, cancellations
/// merely wait for their full time.
const OVERDUE_MAX: usize = 256;

impl Controller {
    /// Tells all peers how this controller stands.
    pub(crate) fn send_heartbeat(&mut self) {
        let heartbeat = Message::PeerHeartbeat(self.heartbeat());
        self.context.outbox.send_to_peer(None, heartbeat);
    }

    fn heartbeat(&self) -> PeerHeartbeat {
        let shards = self.context.store.mirror.shard_records();
        let shards = shards.map(|(shard, record)| (shard, record.token, record.owner.clone()));
        PeerHeartbeat {
            from: self.context.settings.platform.controller_id.clone(),
            incarnation: self.context.incarnation,
            leader: self.context.store.mirror.leader_id().cloned(),
            shards: shards.collect(),
            is_fresh: !self.context.is_stale(),
            staleness_ms: (self.context.staleness_s() * 1000.0) as u64,
            hears_workers: self.context.now.since(self.context.last_worker_heartbeat)
                < RECENT_HEARTBEAT_S,
            workers_unreachable: self
                .shards
                .values()
                .any(|h| h.workers_unreachable(self.context.now)),
            can_forward: self.context.can_forward(),
            at_ms: self.context.now.0,
            echoes: self.context.echoes(),
            since_keepalive_ms: self.context.since_keepalive_ms(),
            overdue: self.overdue(),
        }
    }

    /// Answers a peer that has just begun at once. It forwards no heartbeat to an owner that it
    /// hasn't heard: after an outage of all controllers that kept heartbeats waiting for up to a
    /// second each time one came back, and their workers' leases ran out.
    fn greet(&mut self, peer: &ControllerId) {
        let heartbeat = Message::PeerHeartbeat(self.heartbeat());
        self.context.outbox.push(Output::Reconnect(peer.clone()));
        self.context
            .outbox
            .push(Output::Peer(Some(peer.clone()), heartbeat));
    }

    /// Machines of this controller's shards that can't be counted on to confirm anything.
    pub(crate) fn overdue(&self) -> Vec<MachineId> {
        let patience = self.context.settings.overdue_s();
        let held = self.shards.values();
        let late = held.flat_map(|h| {
            h.machines
                .iter()
                .map(move |(id, machine)| (h.owned_since, id, machine))
        });
        let late = late.filter(|(since, _, machine)| {
            !machine.tasks.is_empty()
                && machine.long_poll.is_none()
                && self.context.now.since(machine.last_heartbeat.max(*since)) > patience
        });
        late.map(|(_, id, _)| id.clone())
            .take(OVERDUE_MAX)
            .collect()
    }

    pub(crate) fn on_peer_heartbeat(&mut self, heartbeat: PeerHeartbeat) {
        if !self.context.is_peer(&heartbeat.from) {
            return;
        }
        // Partitioned from the store, an owner learns here that it has been
        // replaced, and stops answering for its workers.
        for (shard, token, _) in &heartbeat.shards {
            let replaced = self.shards.get(shard).is_some_and(|h| *token > h.token);
            if replaced {
                self.release_shard(*shard, GiveUpReason::HigherTokenKnown);
            }
        }
        let (from, incarnation, at) = (
            heartbeat.from.clone(),
            heartbeat.incarnation,
            self.context.now,
        );
        let before = self
            .context
            .peers
            .heartbeats
            .insert(from.clone(), (heartbeat, at));
        if before.is_none_or(|(h, _)| h.incarnation != incarnation) {
            self.greet(&from);
        }
    }
}

impl Context {
    /// Which message of each peer came last, for `no_keepalive_by_peers` there.
    pub(crate) fn echoes(&self) -> Vec<(ControllerId, u64, u64)> {
        let all = self.peers.heartbeats.values();
        all.map(|(h, _)| (h.from.clone(), h.incarnation, h.at_ms))
            .collect()
    }

    pub(crate) fn is_peer(&self, controller_id: &ControllerId) -> bool {
        let mut peers = self.settings.platform.peers.iter();
        peers.any(|s| s.controller_id == *controller_id)
    }

    /// Who holds the shard that a machine belongs to, as far as can be told: by the
    /// store or, when this controller is stale, by what peers said lately.
    pub(crate) fn owner_of(&self, machine: &MachineId) -> Option<ControllerId> {
        let found = self.store.mirror.shard_of_machine(machine);
        let me = &self.settings.platform.controller_id;
        let Some((shard, record)) = found else {
            // In no shard yet: the leader will see to it.
            let leader = self.store.mirror.leader_id().cloned();
            return leader.filter(|l| l != me);
        };
        let said = self.recent_heartbeats().filter(|h| h.is_fresh);
        let said = said
            .flat_map(|h| &h.shards)
            .filter(|(k, n, _)| *k == shard && *n > record.token);
        let newest = said
            .max_by_key(|(_, n, _)| *n)
            .map(|(_, _, owner)| owner.clone());
        Some(newest.unwrap_or(record.owner.clone())).filter(|owner| owner != me)
    }

    /// Whether a peer has seen the store for clearly longer than this
    /// controller: the trouble is then here, and not an outage that all share.
    pub(crate) fn isolated_from_store(&self) -> bool {
        let behind = |(h, at): &&(PeerHeartbeat, Time)| {
            let theirs = h.staleness_ms as f64 / 1000.0 + self.now.since(*at);
            theirs + STALENESS_BOUND_S < self.staleness_s()
        };
        self.peers.heartbeats.values().any(|s| behind(&s))
    }

    /// Whether workers can be sent to a peer: it runs and hasn't lost its workers. A
    /// owner that they can't reach says heartbeat all the same, and a worker sent back to
    /// it loses 5 s of its lease. A new owner has none to lose yet.
    pub(crate) fn reachable(&self, controller_id: &ControllerId) -> bool {
        let workers_unreachable = self
            .peers
            .heartbeats
            .get(controller_id)
            .is_some_and(|(h, _)| h.workers_unreachable);
        !workers_unreachable && self.heartbeat_fresh(controller_id)
    }

    /// Whether a peer was heard of so lately that it surely runs.
    pub(crate) fn heartbeat_fresh(&self, controller_id: &ControllerId) -> bool {
        let heard = self.peers.heartbeats.get(controller_id).map(|(_, at)| *at);
        heard.is_some_and(|at| self.now.since(at) < HEARTBEAT_LOST_S)
    }

    /// Whether workers heartbeat to a peer that could lead.
    pub(crate) fn peer_hears_workers(&self) -> bool {
        self.recent_heartbeats()
            .any(|h| h.is_fresh && h.hears_workers)
    }

    /// Whether there are peers and none is heard.
    pub(crate) fn peers_unreachable(&self) -> bool {
        !self.settings.platform.peers.is_empty() && self.recent_heartbeats().next().is_none()
    }

    pub(crate) fn recent_heartbeats(&self) -> impl Iterator<Item = &PeerHeartbeat> {
        let recent = |at: &Time| self.now.since(*at) < RECENT_HEARTBEAT_S;
        let all = self.peers.heartbeats.values();
        all.filter(move |(_, at)| recent(at)).map(|(h, _)| h)
    }
}
