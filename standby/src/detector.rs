//! Whether one controller has lost the leader: a failure detector over heartbeats and the state of
//! the connection. It may be wrong; only the moment at which a takeover is tried depends on it.

use crate::{Config, Millis};

/// After a lost connection this many percent of a heartbeat interval without a heartbeat are enough:
/// a heartbeat that was in flight when the connection broke may still arrive.
const DISCONNECTED_PERCENT: Millis = 125;

/// Why a leader is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// More heartbeats are missed than a late one explains.
    Silent,
    /// The connection to it is lost, and the next heartbeat hasn't arrived either.
    Disconnected,
}

/// What one controller observes of the present leader's process.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    last_heartbeat: Option<Millis>,
    disconnected_at: Option<Millis>,
}

impl Detector {
    /// A heartbeat of the leader has arrived.
    pub fn heard(&mut self, now: Millis) {
        self.last_heartbeat = Some(now);
        self.disconnected_at = None;
    }

    /// The connection to the leader is lost, or refused.
    pub fn disconnected(&mut self, now: Millis) {
        self.disconnected_at.get_or_insert(now);
    }

    /// The time since the leader's last heartbeat; `None` before the first one. A leader without any
    /// may run a release that sends no heartbeats, and is never suspected.
    pub fn silent_ms(&self, now: Millis) -> Option<Millis> {
        self.last_heartbeat.map(|at| now.saturating_sub(at))
    }

    /// Whether the leader is suspected, and why.
    pub fn suspicion(&self, config: &Config, now: Millis) -> Option<Suspicion> {
        let silent_ms = self.silent_ms(now)?;
        let one_missed = config.heartbeat_ms * DISCONNECTED_PERCENT / 100;
        if silent_ms > config.silence_ms() {
            return Some(Suspicion::Silent);
        }
        let disconnected = self.disconnected_at.is_some() && silent_ms > one_missed;
        disconnected.then_some(Suspicion::Disconnected)
    }
}
