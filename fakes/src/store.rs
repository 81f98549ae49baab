//! The store: keys with revisions, transactions with preconditions, leases, and a
//! history that can be watched.

use std::collections::BTreeMap;

/// What a key has.
#[derive(Clone, Debug)]
pub struct Entry<V> {
    /// The value.
    pub value: V,
    /// The revision of the key's last change.
    pub revision: u64,
    /// The lease that the key is attached to.
    pub lease: Option<u64>,
}

/// One change of one key; without a value it is a deletion.
#[derive(Clone, Debug)]
pub struct Change<V> {
    /// The key.
    pub path: String,
    /// The revision of the transaction.
    pub revision: u64,
    /// What was written.
    pub value: Option<V>,
}

/// One operation of a transaction.
#[derive(Clone, Debug)]
pub enum Write<V> {
    /// Writes a value, and attaches the key to a lease or detaches it.
    Put {
        /// The key.
        path: String,
        /// Its new value.
        value: V,
        /// The lease to attach it to.
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        path: String,
    },
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It was carried out under this revision.
    Committed(u64),
    /// These keys didn't have the revisions that it asked for.
    Conflict(Vec<String>),
    /// It names a lease that has expired.
    NoSuchLease,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    expires_at_ms: u64,
    ttl_ms: u64,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store<V> {
    /// The revision of the latest change.
    pub revision: u64,
    /// All keys.
    pub entries: BTreeMap<String, Entry<V>>,
    /// All changes that are remembered, the oldest first.
    pub history: Vec<Change<V>>,
    /// How many of the latest changes can be watched.
    pub watchable_changes_max: usize,
    /// The highest revision whose changes have been compacted.
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
}

impl<V: Clone> Store<V> {
    /// An empty store of which so many of the latest changes can be watched.
    pub fn new(kept: usize) -> Self {
        Self {
            revision: 0,
            entries: BTreeMap::new(),
            history: Vec::new(),
            watchable_changes_max: kept,
            compacted_revision: 0,
            leases: BTreeMap::new(),
            last_lease_id: 0,
        }
    }

    /// The revision of a key, 0 if it doesn't exist.
    pub fn revision_of(&self, path: &str) -> u64 {
        self.entries.get(path).map_or(0, |entry| entry.revision)
    }

    /// Carries a transaction out if each key has the revision that it asks for.
    pub fn commit(&mut self, conditions: &[(String, u64)], writes: Vec<Write<V>>) -> CommitOutcome {
        let expired = |write: &Write<V>| match write {
            Write::Put { lease, .. } => lease.is_some_and(|id| !self.leases.contains_key(&id)),
            Write::Delete { .. } => false,
        };
        if writes.iter().any(expired) {
            return CommitOutcome::NoSuchLease;
        }
        let failed = conditions
            .iter()
            .filter(|(path, revision)| self.revision_of(path) != *revision);
        let failed: Vec<String> = failed.map(|(path, _)| path.clone()).collect();
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed);
        }
        if writes.is_empty() {
            return CommitOutcome::Committed(self.revision);
        }
        self.revision += 1;
        for write in writes {
            self.apply(write);
        }
        CommitOutcome::Committed(self.revision)
    }

    fn apply(&mut self, write: Write<V>) {
        let revision = self.revision;
        let (path, value) = match write {
            Write::Put { path, value, lease } => {
                let entry = Entry {
                    value: value.clone(),
                    revision,
                    lease,
                };
                self.entries.insert(path.clone(), entry);
                (path, Some(value))
            }
            Write::Delete { path } => {
                self.entries.remove(&path);
                (path, None)
            }
        };
        self.history.push(Change {
            path,
            revision,
            value,
        });
    }

    /// The entries with a prefix behind a key, in key order: at most `limit` of them, and whether
    /// there are more.
    pub fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> (Vec<(&String, &Entry<V>)>, bool) {
        use std::ops::Bound;
        let start = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        let range = self.entries.range::<str, _>((start, Bound::Unbounded));
        let mut found = range.take_while(|(path, _)| path.starts_with(prefix));
        let page: Vec<_> = found.by_ref().take(limit).collect();
        let more = found.next().is_some();
        (page, more)
    }

    /// The changes after a revision; `None` if some of them aren't kept any more.
    pub fn changes_after(&self, revision: u64) -> Option<&[Change<V>]> {
        let oldest = self
            .history
            .len()
            .saturating_sub(self.watchable_changes_max);
        let dropped = match oldest {
            0 => self.compacted_revision,
            n => self.history[n - 1].revision,
        };
        if dropped > revision {
            return None;
        }
        let from = self
            .history
            .partition_point(|change| change.revision <= revision);
        Some(&self.history[from..])
    }

    /// Frees the memory of changes that can't be watched any more.
    pub fn compact(&mut self) {
        if self.history.len() < 2 * self.watchable_changes_max {
            return;
        }
        let drop = self.history.len() - self.watchable_changes_max;
        self.compacted_revision = self.history[drop - 1].revision;
        self.history.drain(..drop);
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, now_ms: u64, ttl_ms: u64) -> u64 {
        self.last_lease_id += 1;
        let lease = Lease {
            expires_at_ms: now_ms + ttl_ms,
            ttl_ms,
        };
        self.leases.insert(self.last_lease_id, lease);
        self.last_lease_id
    }

    /// Renews a lease; false if it has expired.
    pub fn renew_lease(&mut self, now_ms: u64, id: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires_at_ms = now_ms + lease.ttl_ms;
        true
    }

    /// Ends a lease now, with the keys attached to it; false if it had expired.
    pub fn revoke_lease(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        if known {
            self.delete_attached_keys(id);
        }
        known
    }

    /// Ends the leases that have expired.
    pub fn revoke_expired_leases(&mut self, now_ms: u64) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| now_ms > lease.expires_at_ms);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    fn delete_attached_keys(&mut self, id: u64) {
        let attached = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(id));
        let attached: Vec<String> = attached.map(|(path, _)| path.clone()).collect();
        for path in attached {
            self.revision += 1;
            self.apply(Write::Delete { path });
        }
    }

    /// After an outage, all leases have their full time again.
    pub fn renew_all_leases(&mut self, now_ms: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_at_ms = now_ms + lease.ttl_ms;
        }
    }
}
