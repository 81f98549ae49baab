//! Whether one controller has lost the leader: a failure detector over heartbeats and the state of
//! the connection. What it says may be wrong, and nothing but the moment of a try rests on it.

use crate::{Config, Millis};

/// After a lost connection so many heartbeat intervals without a heartbeat are enough, in
/// hundredths: one that was on its way when the connection broke may still come.
const DISCONNECTED_PERCENT: Millis = 125;

/// Why a leader is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// So many heartbeats are missed that a late one doesn't explain it.
    Silent,
    /// The connection to it is lost, and the next heartbeat didn't come either.
    Disconnected,
}

/// What one controller sees of the present leader's process.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    heard_at: Option<Millis>,
    lost_at: Option<Millis>,
}

impl Detector {
    /// A heartbeat of the leader's came.
    pub fn heard(&mut self, now: Millis) {
        self.heard_at = Some(now);
        self.lost_at = None;
    }

    /// The connection to the leader is lost, or refused.
    pub fn disconnected(&mut self, now: Millis) {
        self.lost_at.get_or_insert(now);
    }

    /// How long ago the leader was heard; `None` if it never was. One that was never heard may
    /// run a release that sends no heartbeats, and is never suspected.
    pub fn silent_ms(&self, now: Millis) -> Option<Millis> {
        self.heard_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the leader is suspected, and why.
    pub fn suspicion(&self, config: &Config, now: Millis) -> Option<Suspicion> {
        let silent_ms = self.silent_ms(now)?;
        let one_missed = config.heartbeat_ms * DISCONNECTED_PERCENT / 100;
        if silent_ms > config.silence_ms() {
            return Some(Suspicion::Silent);
        }
        let disconnected = self.lost_at.is_some() && silent_ms > one_missed;
        disconnected.then_some(Suspicion::Disconnected)
    }
}
