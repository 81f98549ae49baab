//! A queue of values that become due at given times.

use std::collections::BTreeMap;

/// Values in the order of their due times, in milliseconds; values of the same time are in the
/// order of their keys.
pub(super) struct Timers<K, V> {
    entries: BTreeMap<(u64, K), V>,
}

impl<K: Ord, V> Timers<K, V> {
    /// Returns an empty queue.
    pub(super) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
        }
    }

    /// Adds a value that is due at `at_ms`.
    pub(super) fn insert(&mut self, at_ms: u64, key: K, value: V) {
        self.entries.insert((at_ms, key), value);
    }

    /// Returns the due time of the next value.
    pub(super) fn next_ms(&self) -> Option<u64> {
        self.entries.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next value with its key, if it is due.
    pub(super) fn pop_due(&mut self, now: u64) -> Option<(K, V)> {
        let entry = self.entries.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        let ((_, key), value) = entry.remove_entry();
        Some((key, value))
    }
}
