//! Limits of the store: the current ones, and announced ones that may replace them.

use crate::settings::{Reason, SettingsError};
use serde::Deserialize;

/// Limits of the store: the current ones, and the announced ones.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value as JSON, in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in one transaction.
    pub txn_ops: usize,
    /// Limits that will replace the current ones at some time, without further notice.
    #[serde(default)]
    pub next: Option<NextStoreLimits>,
}

/// Announced limits of the store. A limit that is `None` doesn't change.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct NextStoreLimits {
    /// Maximum number of requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum number of puts and deletes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value as JSON, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of puts and deletes in one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// Returns the stricter of the current and the announced limits. The store accepts whatever is
    /// within these limits, both before and after the change.
    pub fn strictest(&self) -> StrictestLimits {
        let next = self.next.unwrap_or_default();
        let least = |current: f64, announced: Option<f64>| {
            announced.map_or(current, |announced| announced.min(current))
        };
        let value_kb = least(self.value_kb, next.value_kb);
        let txn_ops = next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops));
        StrictestLimits {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            value_bytes: kib_to_bytes(value_kb),
            txn_ops,
        }
    }

    /// Returns the current limit on the size of a value, in bytes.
    pub fn current_value_bytes(&self) -> usize {
        kib_to_bytes(self.value_kb)
    }

    pub(super) fn check(&self, file: &str) -> Result<(), SettingsError> {
        let next = self.next.unwrap_or_default();
        let rates = [
            ("facts.state.rps", Some(self.rps)),
            ("facts.state.write_rps", Some(self.write_rps)),
            ("facts.state.value_kb", Some(self.value_kb)),
            ("facts.state.next.rps", next.rps),
            ("facts.state.next.write_rps", next.write_rps),
            ("facts.state.next.value_kb", next.value_kb),
        ];
        for (key, value) in rates {
            if value.is_some_and(|v| !(v.is_finite() && v > 0.0)) {
                return Err(SettingsError::new(file, key, Reason::NotPositive));
            }
        }
        let operations = [
            ("facts.state.txn_ops", Some(self.txn_ops)),
            ("facts.state.next.txn_ops", next.txn_ops),
        ];
        for (key, value) in operations {
            if value.is_some_and(|n| n < TXN_OPS_MIN) {
                let reason = Reason::BelowMinimum(TXN_OPS_MIN);
                return Err(SettingsError::new(file, key, reason));
            }
        }
        Ok(())
    }
}

/// Limits that the controllers observe, whether the announced limits are in force or not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StrictestLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of puts and deletes per second.
    pub write_rps: f64,
    /// Maximum size of a value as JSON, in bytes.
    pub value_bytes: usize,
    /// Maximum number of puts and deletes in one transaction.
    pub txn_ops: usize,
}

/// Smallest accepted limit on the operations of a transaction. An election writes the records of
/// the leader and of the highest fencing token, and leases a shard. A job's end is written together
/// with the deletion of the job's record and of chunks of its placements.
const TXN_OPS_MIN: usize = 4;

fn kib_to_bytes(kib: f64) -> usize {
    (kib * 1024.0) as usize
}
