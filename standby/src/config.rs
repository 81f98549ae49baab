//! The settings of the standby.

use crate::Millis;
use thiserror::Error;

/// Intervals and limits of the standby.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Interval between two heartbeats of the leader, in milliseconds; 0 disables the standby.
    pub heartbeat_ms: Millis,
    /// Number of consecutive missed heartbeats after which the leader is suspected.
    pub missed_heartbeats: u32,
    /// Maximum number of leadership changes in a minute. After that many a takeover waits until the
    /// leader's lease expires.
    pub takeovers_per_minute: u32,
    /// Interval between two hint messages of the leader, in milliseconds; 0 if it sends no hints.
    pub hints_ms: Millis,
    /// Duration of the leader's lease, in milliseconds.
    pub lease_ms: Millis,
}

/// Why the settings contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The leader's lease expires before, or just when, missed heartbeats lead to a suspicion.
    #[error("{silence_ms} ms of missed heartbeats must be less than the lease of {lease_ms} ms")]
    SilenceOutlastsLease {
        /// Time without a heartbeat after which the leader is suspected, in milliseconds.
        silence_ms: Millis,
        /// Duration of the lease, in milliseconds.
        lease_ms: Millis,
    },
    /// Hints are enabled and heartbeats are disabled, but hints are sent only with heartbeats.
    #[error("hints are sent only with heartbeats, and heartbeats are disabled")]
    HintsWithoutHeartbeats,
}

impl Config {
    /// Whether a leader may be replaced before its lease expires.
    pub fn is_enabled(&self) -> bool {
        self.heartbeat_ms > 0
    }

    /// Time without a heartbeat after which the leader is suspected, in milliseconds.
    pub fn silence_ms(&self) -> Millis {
        self.heartbeat_ms * Millis::from(self.missed_heartbeats)
    }

    /// Returns an error if the settings contradict each other.
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
