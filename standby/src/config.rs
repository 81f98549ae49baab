//! The settings of the standby.

use crate::Millis;
use thiserror::Error;

/// Intervals and limits of the standby.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Interval between two heartbeats of the leader; 0 disables the standby.
    pub heartbeat_ms: Millis,
    /// The leader is suspected after so many missed heartbeats in a row.
    pub missed: u32,
    /// Most changes of leadership in a minute; beyond that a takeover waits for the lease to expire.
    pub takeovers_per_minute: u32,
    /// Interval between two messages with hints of the leader; 0 for none.
    pub hints_ms: Millis,
    /// Duration of the leader's lease.
    pub lease_ms: Millis,
}

/// Settings that contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The lease expires before missed heartbeats make the leader suspected.
    #[error("{silence_ms} ms without a heartbeat are no less than the grant's {lease_ms} ms")]
    SilenceOutlastsLease {
        /// Silence after which a leader is suspected.
        silence_ms: Millis,
        /// Duration of the lease.
        lease_ms: Millis,
    },
    /// Hints are sent only with heartbeats.
    #[error("hints are sent only with heartbeats, and these are switched off")]
    HintsWithoutHeartbeats,
}

impl Config {
    /// Whether leaders are ever replaced before their lease expires.
    pub fn is_enabled(&self) -> bool {
        self.heartbeat_ms > 0
    }

    /// The silence after which a leader is suspected.
    pub fn silence_ms(&self) -> Millis {
        self.heartbeat_ms * Millis::from(self.missed)
    }

    /// Refuses settings that contradict each other.
    pub fn check(&self) -> Result<(), ConfigError> {
        if !self.is_enabled() {
            return match self.hints_ms {
                0 => Ok(()),
                _ => Err(ConfigError::HintsWithoutHeartbeats),
            };
        }
        let (silence_ms, lease_ms) = (self.silence_ms(), self.lease_ms);
        if silence_ms >= lease_ms {
            return Err(ConfigError::SilenceOutlastsLease {
                silence_ms,
                lease_ms,
            });
        }
        Ok(())
    }
}
