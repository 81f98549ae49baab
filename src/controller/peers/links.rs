//! Links to peers: which of them can be reached, which hear workers, and who has kept workers
//! alive in an owner's place.

use crate::controller::context::Context;
use crate::controller::events::LinkEvent;
use crate::controller::forwarding::TAKEOVER_MARGIN_S;
use crate::ids::{ControllerId, Time};
use crate::settings::Peer;

impl Context {
    /// Whether a connection to a peer could be made, or was refused.
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

    /// Whether messages reach a peer, as far as is known.
    pub(crate) fn linked(&self, controller_id: &ControllerId) -> bool {
        self.heartbeat_fresh(controller_id) && !self.peers.links_down.contains_key(controller_id)
    }

    /// Whether an owner runs, since its record stands, while it refuses connections
    /// from here: a filter between the controllers, which its workers may pass.
    pub(crate) fn refuses_connections(&self, owner: &ControllerId) -> bool {
        let patience = self.settings.tuning.leader_lease_s + TAKEOVER_MARGIN_S;
        let refused = self.peers.links_down.get(owner).copied().flatten();
        !self.is_stale() && refused.is_some_and(|since| self.now.since(since) > patience)
    }

    /// Whether this controller can forward heartbeats: to itself, or to who leads.
    pub(crate) fn can_forward(&self) -> bool {
        let leader = self.store.mirror.leader_id().cloned();
        let here = leader.as_ref() == Some(&self.settings.platform.controller_id);
        here || leader.is_some_and(|l| self.linked(&l))
    }

    /// How long ago this process last answered in an owner's place or, if it never
    /// did, began: an earlier process may have.
    pub(crate) fn since_keepalive_ms(&self) -> u64 {
        let last = self.forwarding.last_keepalive.unwrap_or(self.now);
        self.now.0.saturating_sub(last.0)
    }

    pub(crate) fn record_start(&mut self) {
        let now = self.now;
        self.forwarding.last_keepalive.get_or_insert(now);
        self.started_at.get_or_insert(now);
    }

    /// How long this process has run, in seconds.
    pub(crate) fn age_s(&self) -> f64 {
        self.started_at.map_or(0.0, |began| self.now.since(began))
    }

    /// Whether every other controller of a zone has said, after `over`, that it had
    /// kept no worker alive for a whole lease. What it did since doesn't matter: by
    /// then the lease that ended at `over` had ended, and nothing revives it.
    pub(crate) fn no_keepalive_by_peers(&self, zone: &str, over: Time, lease_s: f64) -> bool {
        let peers = self.settings.platform.peers.iter();
        // One whose zone isn't known may be of any.
        let mut local = peers.filter(|s| s.site == zone || s.site.is_empty());
        local.all(|s| {
            let Some((heartbeat, _)) = self.peers.heartbeats.get(&s.controller_id) else {
                return false;
            };
            let me = &self.settings.platform.controller_id;
            let mut echoes = heartbeat.echoes.iter();
            let echo = echoes.find(|(machine, incarnation, _)| {
                machine == me && *incarnation == self.incarnation
            });
            let after = echo.is_some_and(|(_, _, at)| Time(*at) >= over);
            after && heartbeat.since_keepalive_ms as f64 / 1000.0 >= lease_s
        })
    }

    /// Whether a peer is heard of, and hears workers.
    pub(crate) fn hears_workers(&self, controller_id: &ControllerId) -> bool {
        let heartbeat = self.peers.heartbeats.get(controller_id).map(|(h, _)| h);
        self.linked(controller_id) && heartbeat.is_some_and(|h| h.hears_workers)
    }

    /// Whether a zone's controllers besides this one are all heard of, and hear workers.
    pub(crate) fn zone_hears_workers(&self, zone: &str) -> bool {
        let mut local = self.peers_in(zone).peekable();
        local.peek().is_some() && local.all(|s| self.hears_workers(&s.controller_id))
    }

    /// Whether a zone has a controller besides this one, which may keep alive its workers.
    pub(crate) fn zone_has_peer(&self, zone: &str) -> bool {
        self.peers_in(zone).next().is_some()
    }

    pub(crate) fn peers_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Peer> {
        let peers = self.settings.platform.peers.iter();
        peers.filter(move |s| s.site == zone)
    }
}
