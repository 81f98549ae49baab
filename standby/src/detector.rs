//! A failure detector for the leader, from its heartbeats and the state of the connection to it. It
//! may be wrong: only the time at which a takeover is tried depends on it.

use crate::{Config, Millis};

/// Time without a heartbeat after which a disconnected leader is suspected, in percent of the
/// heartbeat interval. It is more than one interval because a heartbeat that was in flight when the
/// connection broke may still arrive.
const DISCONNECTED_SILENCE_PERCENT: Millis = 125;

/// Why the leader is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// More heartbeats are missing than a delay explains: [`Config::missed_heartbeats`] in a row.
    Silent,
    /// The connection to the leader is lost or refused, and its next heartbeat hasn't arrived.
    Disconnected,
}

/// One controller's observations of the current leader's process.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    last_heartbeat_at: Option<Millis>,
    disconnected_at: Option<Millis>,
}

impl Detector {
    /// Records the arrival of a heartbeat of the leader.
    pub fn record_heartbeat(&mut self, now: Millis) {
        self.last_heartbeat_at = Some(now);
        self.disconnected_at = None;
    }

    /// Records that the connection to the leader is lost or refused.
    pub fn record_disconnect(&mut self, now: Millis) {
        self.disconnected_at.get_or_insert(now);
    }

    /// The time since the leader's last heartbeat, in milliseconds; `None` before the first one. A
    /// leader that has sent none is never suspected, since its release may not send heartbeats.
    pub fn silent_ms(&self, now: Millis) -> Option<Millis> {
        self.last_heartbeat_at.map(|at| now.saturating_sub(at))
    }

    /// Why the leader is suspected; `None` if it isn't.
    pub fn suspicion(&self, config: &Config, now: Millis) -> Option<Suspicion> {
        let silent_ms = self.silent_ms(now)?;
        let disconnected_silence_ms = config.heartbeat_ms * DISCONNECTED_SILENCE_PERCENT / 100;
        if silent_ms > config.silence_ms() {
            return Some(Suspicion::Silent);
        }
        let is_disconnected = self.disconnected_at.is_some() && silent_ms > disconnected_silence_ms;
        is_disconnected.then_some(Suspicion::Disconnected)
    }
}
