//! Heartbeats between controllers, and what follows from them: which peers run, which controller
//! owns a shard, and whether this controller is partitioned.

use crate::controller::Controller;
use crate::controller::context::{Context, RECENT_HEARTBEAT_S};
use crate::controller::events::Output;
use crate::controller::leadership::GiveUpReason;
use crate::controller::store::staleness::STALENESS_BOUND_S;
use crate::ids::{ControllerId, MachineId, Time};
use crate::peer::{Message, PeerHeartbeat};

/// A peer is assumed to be down if no heartbeat has arrived from it for this time, in seconds.
/// Peers send a heartbeat every second, so that two are missing by then.
const HEARTBEAT_TIMEOUT_S: f64 = 2.2;
/// Maximum number of overdue machines named in one message. If more machines are silent,
/// cancellations that depend on the others aren't refused early but wait for their full timeout.
const OVERDUE_MACHINES_MAX: usize = 256;

impl Controller {
    /// Sends this controller's state to all peers.
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
                .any(|owner| owner.workers_unreachable(self.context.now)),
            can_forward: self.context.can_forward(),
            at_ms: self.context.now.0,
            echoes: self.context.echoes(),
            since_keepalive_ms: self.context.since_keepalive_ms(),
            overdue_machines: self.overdue_machines(),
        }
    }

    /// Reconnects to a peer whose process has just started, and sends it a heartbeat at once. A
    /// controller forwards no workers' heartbeats to an owner that it hasn't heard. When the peer
    /// had to wait for the next regular heartbeat, after an outage of all controllers, workers'
    /// heartbeats were held for up to a second each time a controller came back, and the workers'
    /// leases expired.
    fn send_heartbeat_to_new_process(&mut self, peer: &ControllerId) {
        let heartbeat = Message::PeerHeartbeat(self.heartbeat());
        self.context.outbox.push(Output::Reconnect(peer.clone()));
        self.context
            .outbox
            .push(Output::Peer(Some(peer.clone()), heartbeat));
    }

    /// Machines of this controller's shards that have tasks and whose heartbeat is overdue, up to
    /// [`OVERDUE_MACHINES_MAX`]. They aren't expected to confirm soon that a task has ended.
    pub(crate) fn overdue_machines(&self) -> Vec<MachineId> {
        let overdue_s = self.context.settings.overdue_s();
        let owners = self.shards.values();
        let machines = owners.flat_map(|owner| {
            owner
                .machines
                .iter()
                .map(move |(id, machine)| (owner.owned_since, id, machine))
        });
        let overdue = machines.filter(|(since, _, machine)| {
            !machine.tasks.is_empty()
                && machine.long_poll.is_none()
                && self.context.now.since(machine.last_heartbeat.max(*since)) > overdue_s
        });
        overdue
            .map(|(_, id, _)| id.clone())
            .take(OVERDUE_MACHINES_MAX)
            .collect()
    }

    /// Stores a peer's heartbeat, and releases the shards for which it shows a higher token.
    pub(crate) fn on_peer_heartbeat(&mut self, heartbeat: PeerHeartbeat) {
        if !self.context.is_peer(&heartbeat.from) {
            return;
        }
        // An owner that is partitioned from the store learns from peers that it has been replaced,
        // and stops responding to its workers.
        for (shard, token, _) in &heartbeat.shards {
            let is_replaced = self
                .shards
                .get(shard)
                .is_some_and(|owner| *token > owner.token);
            if is_replaced {
                self.release_shard(*shard, GiveUpReason::HigherTokenKnown);
            }
        }
        let (from, incarnation, received_at) = (
            heartbeat.from.clone(),
            heartbeat.incarnation,
            self.context.now,
        );
        let previous = self
            .context
            .peers
            .heartbeats
            .insert(from.clone(), (heartbeat, received_at));
        if previous.is_none_or(|(previous, _)| previous.incarnation != incarnation) {
            self.send_heartbeat_to_new_process(&from);
        }
    }
}

impl Context {
    /// The sender, incarnation and send time of the latest heartbeat from each peer. The peer
    /// checks by them, in [`Self::no_keepalive_by_peers`], which of its heartbeats this controller
    /// had received.
    pub(crate) fn echoes(&self) -> Vec<(ControllerId, u64, u64)> {
        let heartbeats = self.peers.heartbeats.values();
        heartbeats
            .map(|(heartbeat, _)| {
                (
                    heartbeat.from.clone(),
                    heartbeat.incarnation,
                    heartbeat.at_ms,
                )
            })
            .collect()
    }

    pub(crate) fn is_peer(&self, controller_id: &ControllerId) -> bool {
        let mut peers = self.settings.platform.peers.iter();
        peers.any(|peer| peer.controller_id == *controller_id)
    }

    /// The owner of the shard that a machine belongs to, as far as this controller knows: the owner
    /// in the mirror or, if a peer with a fresh mirror has lately named one under a higher token,
    /// that one. For a machine in no shard it is the leader. `None` if it is this controller, or
    /// unknown.
    pub(crate) fn owner_of(&self, machine: &MachineId) -> Option<ControllerId> {
        let found = self.store.mirror.shard_of_machine(machine);
        let me = &self.settings.platform.controller_id;
        let Some((shard, record)) = found else {
            // The leader assigns the machine to a shard.
            let leader = self.store.mirror.leader_id().cloned();
            return leader.filter(|leader| leader != me);
        };
        let fresh_heartbeats = self
            .recent_heartbeats()
            .filter(|heartbeat| heartbeat.is_fresh);
        let newer_owners = fresh_heartbeats
            .flat_map(|heartbeat| &heartbeat.shards)
            .filter(|(number, token, _)| *number == shard && *token > record.token);
        let newest = newer_owners
            .max_by_key(|(_, token, _)| *token)
            .map(|(_, _, owner)| owner.clone());
        Some(newest.unwrap_or(record.owner.clone())).filter(|owner| owner != me)
    }

    /// Whether a peer's mirror is more recent than this controller's by over [`STALENESS_BOUND_S`].
    /// In that case the store isn't down for all controllers, but this one is partitioned from it.
    pub(crate) fn is_isolated_from_store(&self) -> bool {
        let is_more_recent = |(heartbeat, received_at): &&(PeerHeartbeat, Time)| {
            let peer_staleness_s =
                heartbeat.staleness_ms as f64 / 1000.0 + self.now.since(*received_at);
            peer_staleness_s + STALENESS_BOUND_S < self.staleness_s()
        };
        self.peers
            .heartbeats
            .values()
            .any(|entry| is_more_recent(&entry))
    }

    /// Whether workers may be redirected to a peer: it sends heartbeats, and doesn't report that
    /// its workers' heartbeats have stopped. An owner that its workers can't reach still sends
    /// heartbeats to its peers, and a worker redirected to it loses 5 s of its lease. A new owner
    /// has no workers yet whose heartbeats could have stopped, so it counts as reachable.
    pub(crate) fn is_reachable_by_workers(&self, controller_id: &ControllerId) -> bool {
        let workers_unreachable = self
            .peers
            .heartbeats
            .get(controller_id)
            .is_some_and(|(heartbeat, _)| heartbeat.workers_unreachable);
        !workers_unreachable && self.has_recent_heartbeat(controller_id)
    }

    /// Whether a peer's last heartbeat arrived within [`HEARTBEAT_TIMEOUT_S`], so that it is
    /// assumed to run.
    pub(crate) fn has_recent_heartbeat(&self, controller_id: &ControllerId) -> bool {
        let received_at = self.peers.heartbeats.get(controller_id).map(|(_, at)| *at);
        received_at.is_some_and(|at| self.now.since(at) < HEARTBEAT_TIMEOUT_S)
    }

    /// Whether a peer with a fresh mirror, which could therefore lead, receives heartbeats of
    /// workers.
    pub(crate) fn any_peer_hears_workers(&self) -> bool {
        self.recent_heartbeats()
            .any(|heartbeat| heartbeat.is_fresh && heartbeat.hears_workers)
    }

    /// Whether there are peers and none of them has sent a heartbeat lately.
    pub(crate) fn all_peers_unreachable(&self) -> bool {
        !self.settings.platform.peers.is_empty() && self.recent_heartbeats().next().is_none()
    }

    /// The peers' heartbeats that arrived within [`RECENT_HEARTBEAT_S`].
    pub(crate) fn recent_heartbeats(&self) -> impl Iterator<Item = &PeerHeartbeat> {
        let is_recent = |received_at: &Time| self.now.since(*received_at) < RECENT_HEARTBEAT_S;
        let heartbeats = self.peers.heartbeats.values();
        heartbeats
            .filter(move |(_, received_at)| is_recent(received_at))
            .map(|(heartbeat, _)| heartbeat)
    }
}
