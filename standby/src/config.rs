//! What operators set.

use crate::Millis;
use thiserror::Error;

/// Times and bounds of the standby.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Between two heartbeats of the leader; 0 switches the standby off.
    pub heartbeat_ms: Millis,
    /// So many heartbeats missed in a row speak against the leader.
    pub missed: u32,
    /// Most changes of leadership in a minute before the next one waits for the lease's end.
    pub takeovers_per_minute: u32,
    /// Between two hints of the leader; 0 for none.
    pub hints_ms: Millis,
    /// Life of the leader's lease.
    pub lease_ms: Millis,
}

/// Settings that contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The lease is over before the heartbeats tell anything.
    #[error("{silence_ms} ms without a heartbeat are no less than the grant's {lease_ms} ms")]
    SilenceOutlastsGrant {
        /// Silence after which a leader is suspected.
        silence_ms: Millis,
        /// Life of the lease.
        lease_ms: Millis,
    },
    /// Hints go with heartbeats.
    #[error("hints are sent only with heartbeats, and these are switched off")]
    HintsWithoutHeartbeats,
}

impl Config {
    /// Whether leaders are replaced before their lease's end at all.
    pub fn enabled(&self) -> bool {
        self.heartbeat_ms > 0
    }

    /// The silence after which a leader is suspected.
    pub fn silence_ms(&self) -> Millis {
        self.heartbeat_ms * Millis::from(self.missed)
    }

    /// Refuses settings that contradict each other.
    pub fn check(&self) -> Result<(), ConfigError> {
        if !self.enabled() {
            return match self.hints_ms {
                0 => Ok(()),
                _ => Err(ConfigError::HintsWithoutHeartbeats),
            };
        }
        let (silence_ms, lease_ms) = (self.silence_ms(), self.lease_ms);
        if silence_ms >= lease_ms {
            return Err(ConfigError::SilenceOutlastsGrant {
                silence_ms,
                lease_ms,
            });
        }
        Ok(())
    }
}
