//! Limits of the store, now and later.

use crate::settings::{Reason, SettingsError};
use serde::Deserialize;

/// Limits of the store, as they are now and as they are announced to become.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// KiB of a value, counted as JSON.
    pub value_kb: f64,
    /// Puts and deletes in one transaction.
    pub txn_ops: usize,
    /// What these limits change to at some moment, without notice.
    #[serde(default)]
    pub next: Option<NextStoreLimits>,
}

/// Limits that the store will have later. Those that are left out stay as they are.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct NextStoreLimits {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Puts and deletes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// KiB of a value, counted as JSON.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Puts and deletes in one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// The stricter of the present and the announced limits: what fits into these is taken
    /// before and after the change.
    pub fn strictest(&self) -> StrictestLimits {
        let next = self.next.unwrap_or_default();
        let least = |now: f64, later: Option<f64>| later.map_or(now, |later| later.min(now));
        let value_kb = least(self.value_kb, next.value_kb);
        let txn_ops = next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops));
        StrictestLimits {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            value_bytes: kib(value_kb),
            txn_ops,
        }
    }

    /// The limit on a value before any change, in bytes.
    pub fn current_value_bytes(&self) -> usize {
        kib(self.value_kb)
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

/// Limits by which values, transactions and rates are planned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StrictestLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Bytes of a value as JSON.
    pub value_bytes: usize,
    /// Puts and deletes in one transaction.
    pub txn_ops: usize,
}

/// An election writes the leader's and the number's records and leases a shard, and a job's end
/// is written with the deletion of its record and of chunks.
const TXN_OPS_MIN: usize = 4;

fn kib(amount: f64) -> usize {
    (amount * 1024.0) as usize
}
