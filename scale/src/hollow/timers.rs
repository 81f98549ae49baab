//! Values that become due at a time.

use std::collections::BTreeMap;

/// Values by the time at which they are due, in milliseconds, and among those of the same time by
/// key.
pub(super) struct Timers<K, V> {
    entries: BTreeMap<(u64, K), V>,
}

impl<K: Ord, V> Timers<K, V> {
    /// No timers.
    pub(super) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
        }
    }

    /// Adds a value that is due at `at_ms`.
    pub(super) fn insert(&mut self, at_ms: u64, key: K, value: V) {
        self.entries.insert((at_ms, key), value);
    }

    /// When the next value is due.
    pub(super) fn next_ms(&self) -> Option<u64> {
        self.entries.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the next value, if it is due.
    pub(super) fn pop_due(&mut self, now: u64) -> Option<(K, V)> {
        let entry = self.entries.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        let ((_, key), value) = entry.remove_entry();
        Some((key, value))
    }
}
