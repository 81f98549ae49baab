//! Links to peers: which peers are connected, which of them receive heartbeats of workers, and
//! which have sent keepalives to workers on an owner's behalf.

use crate::controller::context::Context;
use crate::controller::events::LinkEvent;
use crate::controller::forwarding::TAKEOVER_MARGIN_S;
use crate::ids::{ControllerId, Time};
use crate::settings::Peer;

impl Context {
    /// Records that the connection to a peer was made, lost or refused.
    pub(crate) fn on_link(&mut self, controller_id: ControllerId, link: LinkEvent) {
        if link != LinkEvent::Up {
            self.standby
                .on_disconnected(self.now.0, controller_id.as_str());
        }
        match link {
            LinkEvent::Up => {
                self.peers.links_down.remove(&controller_id);
            }
            LinkEvent::Lost => {
                self.peers.links_down.entry(controller_id).or_insert(None);
            }
            LinkEvent::Refused => {
                let since = self.peers.links_down.entry(controller_id).or_insert(None);
                since.get_or_insert(self.now);
            }
        }
    }

    /// Whether messages reach a peer, as far as this controller knows: the peer sends heartbeats,
    /// and the connection to it isn't down.
    pub(crate) fn is_linked(&self, controller_id: &ControllerId) -> bool {
        self.has_recent_heartbeat(controller_id)
            && !self.peers.links_down.contains_key(controller_id)
    }

    /// Whether an owner has refused this controller's connections for longer than a takeover takes
    /// and still is the owner. It then runs, and something between the controllers, such as a
    /// firewall, rejects the connections; workers may still be able to reach it.
    pub(crate) fn refuses_connections(&self, owner: &ControllerId) -> bool {
        let takeover_s = self.settings.tuning.leader_lease_s + TAKEOVER_MARGIN_S;
        let refused_since = self.peers.links_down.get(owner).copied().flatten();
        !self.is_stale() && refused_since.is_some_and(|since| self.now.since(since) > takeover_s)
    }

    /// Whether this controller can forward workers' heartbeats: it leads, or messages reach the
    /// leader.
    pub(crate) fn can_forward(&self) -> bool {
        let leader = self.store.mirror.leader_id().cloned();
        let is_leader = leader.as_ref() == Some(&self.settings.platform.controller_id);
        is_leader || leader.is_some_and(|leader| self.is_linked(&leader))
    }

    /// Time since this process last sent a keepalive on an owner's behalf, in milliseconds. If it
    /// has sent none, the time since it started: an earlier process of this controller may have
    /// sent one until then.
    pub(crate) fn since_keepalive_ms(&self) -> u64 {
        let last = self.forwarding.last_keepalive.unwrap_or(self.now);
        self.now.0.saturating_sub(last.0)
    }

    /// Records the time of the first input, at which this process counts as started. Until it sends
    /// a keepalive, [`Self::since_keepalive_ms`] counts from then as well.
    pub(crate) fn record_start(&mut self) {
        let now = self.now;
        self.forwarding.last_keepalive.get_or_insert(now);
        self.started_at.get_or_insert(now);
    }

    /// Time since this process started, in seconds.
    pub(crate) fn process_age_s(&self) -> f64 {
        self.started_at
            .map_or(0.0, |started_at| self.now.since(started_at))
    }

    /// Whether every other controller of a zone has reported that it sent no keepalive to a worker
    /// for a whole lease, in a heartbeat that it sent after `expires_at`, when the lease in
    /// question expired. Later keepalives don't matter, since they can't revive an expired lease.
    ///
    /// A peer's heartbeat is known to be sent after `expires_at` if it echoes a heartbeat that this
    /// process sent no earlier than that.
    pub(crate) fn no_keepalive_by_peers(&self, zone: &str, expires_at: Time, lease_s: f64) -> bool {
        let peers = self.settings.platform.peers.iter();
        // A peer whose zone is unknown may belong to any zone.
        let mut zone_peers = peers.filter(|peer| peer.zone == zone || peer.zone.is_empty());
        zone_peers.all(|peer| {
            let Some((heartbeat, _)) = self.peers.heartbeats.get(&peer.controller_id) else {
                return false;
            };
            let me = &self.settings.platform.controller_id;
            let mut echoes = heartbeat.echoes.iter();
            let echo = echoes.find(|(controller_id, incarnation, _)| {
                controller_id == me && *incarnation == self.incarnation
            });
            let is_after_expiry = echo.is_some_and(|(_, _, at_ms)| Time(*at_ms) >= expires_at);
            is_after_expiry && heartbeat.since_keepalive_ms as f64 / 1000.0 >= lease_s
        })
    }

    /// Whether messages reach a peer, and it receives heartbeats of workers.
    pub(crate) fn hears_workers(&self, controller_id: &ControllerId) -> bool {
        let latest = self
            .peers
            .heartbeats
            .get(controller_id)
            .map(|(heartbeat, _)| heartbeat);
        self.is_linked(controller_id) && latest.is_some_and(|heartbeat| heartbeat.hears_workers)
    }

    /// Whether a zone has controllers besides this one, messages reach all of them, and each
    /// receives heartbeats of workers.
    pub(crate) fn zone_peers_hear_workers(&self, zone: &str) -> bool {
        let mut zone_peers = self.peers_in_zone(zone).peekable();
        zone_peers.peek().is_some()
            && zone_peers.all(|peer| self.hears_workers(&peer.controller_id))
    }

    /// Whether a zone has a controller besides this one, which may send keepalives to the zone's
    /// workers.
    pub(crate) fn zone_has_peer(&self, zone: &str) -> bool {
        self.peers_in_zone(zone).next().is_some()
    }

    /// The controllers of a zone besides this one.
    pub(crate) fn peers_in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Peer> {
        let peers = self.settings.platform.peers.iter();
        peers.filter(move |peer| peer.zone == zone)
    }
}
