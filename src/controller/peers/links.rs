//! Links to siblings: which of them can be reached, which hear workers, and who has kept workers
//! alive in a holder's place.

use crate::controller::Core;
use crate::controller::events::Link;
use crate::controller::forwarding::TAKEOVER_S;
use crate::ids::{Member, Time};
use crate::settings::Sibling;

impl Core {
    /// Whether a connection to a sibling could be made, or was refused.
    pub(crate) fn on_link(&mut self, member: Member, link: Link) {
        if link != Link::Up {
            self.standby.on_disconnected(self.now.0, member.as_str());
        }
        match link {
            Link::Up => {
                self.relays.down.remove(&member);
            }
            Link::Lost => {
                self.relays.down.entry(member).or_insert(None);
            }
            Link::Refused => {
                let since = self.relays.down.entry(member).or_insert(None);
                since.get_or_insert(self.now);
            }
        }
    }

    /// Whether messages reach a sibling, as far as is known.
    pub(crate) fn linked(&self, member: &Member) -> bool {
        self.heartbeat_fresh(member) && !self.relays.down.contains_key(member)
    }

    /// Whether a holder runs, since its record stands, while it refuses connections
    /// from here: a filter between the controllers, which its workers may pass.
    pub(crate) fn shut_off(&self, holder: &Member) -> bool {
        let patience = self.settings.tuning.grant_s + TAKEOVER_S;
        let refused = self.relays.down.get(holder).copied().flatten();
        !self.blind() && refused.is_some_and(|since| self.now.since(since) > patience)
    }

    /// Whether this controller can hand reports on: to itself, or to who leads.
    pub(crate) fn relays(&self) -> bool {
        let leader = self.cache.leader.rec.as_ref().map(|l| l.member.clone());
        let here = leader.as_ref() == Some(&self.settings.platform.member);
        here || leader.is_some_and(|l| self.linked(&l))
    }

    /// How long ago this process last answered in a holder's place or, if it never
    /// did, began: an earlier process may have.
    pub(crate) fn sheltered_ms(&self) -> u64 {
        let last = self.relays.sheltered.unwrap_or(self.now);
        self.now.0.saturating_sub(last.0)
    }

    pub(crate) fn note_start(&mut self) {
        let now = self.now;
        self.relays.sheltered.get_or_insert(now);
        self.began.get_or_insert(now);
    }

    /// How long this process has run, in seconds.
    pub(crate) fn age_s(&self) -> f64 {
        self.began.map_or(0.0, |began| self.now.since(began))
    }

    /// Whether every other controller of a zone has said, after `over`, that it had
    /// kept no worker alive for a whole lease. What it did since doesn't matter: by
    /// then the lease that ended at `over` had ended, and nothing revives it.
    pub(crate) fn nobody_sheltered(&self, zone: &str, over: Time, lease_s: f64) -> bool {
        let siblings = self.settings.platform.siblings.iter();
        // One whose zone isn't known may be of any.
        let mut local = siblings.filter(|s| s.site == zone || s.site.is_empty());
        local.all(|s| {
            let Some((hello, _)) = self.siblings.get(&s.member) else {
                return false;
            };
            let me = &self.settings.platform.member;
            let mut echoes = hello.echoes.iter();
            let echo = echoes.find(|(m, boot, _)| m == me && *boot == self.boot);
            let after = echo.is_some_and(|(_, _, at)| Time(*at) >= over);
            after && hello.sheltered_ms as f64 / 1000.0 >= lease_s
        })
    }

    /// Whether a sibling is heard of, and hears workers.
    pub(crate) fn hears(&self, member: &Member) -> bool {
        let hello = self.siblings.get(member).map(|(h, _)| h);
        self.linked(member) && hello.is_some_and(|h| h.heard)
    }

    /// Whether a zone's controllers besides this one are all heard of, and hear workers.
    pub(crate) fn zone_heard(&self, zone: &str) -> bool {
        let mut local = self.siblings_in(zone).peekable();
        local.peek().is_some() && local.all(|s| self.hears(&s.member))
    }

    /// Whether a zone has a controller besides this one, which may shelter its workers.
    pub(crate) fn has_shelter(&self, zone: &str) -> bool {
        self.siblings_in(zone).next().is_some()
    }

    pub(crate) fn siblings_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Sibling> {
        let siblings = self.settings.platform.siblings.iter();
        siblings.filter(move |s| s.site == zone)
    }
}
