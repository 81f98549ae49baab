//! Test double of the store: keys with revisions, transactions with preconditions, leases, and a
//! history of changes that can be watched.

use std::collections::BTreeMap;

/// A key's value, revision and lease.
#[derive(Clone, Debug)]
pub struct Entry<V> {
    /// The value.
    pub value: V,
    /// The revision of the key's last change.
    pub revision: u64,
    /// The id of the lease that the key is attached to.
    pub lease: Option<u64>,
}

/// A change of one key.
#[derive(Clone, Debug)]
pub struct Change<V> {
    /// The key.
    pub path: String,
    /// The revision of the transaction.
    pub revision: u64,
    /// The value that was written; `None` if the key was deleted.
    pub value: Option<V>,
}

/// One operation of a transaction.
#[derive(Clone, Debug)]
pub enum Write<V> {
    /// Writes a value, and attaches the key to a lease or detaches it from one.
    Put {
        /// The key.
        path: String,
        /// The key's new value.
        value: V,
        /// The id of the lease to attach the key to; `None` detaches it.
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        path: String,
    },
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction was committed at this revision.
    Committed(u64),
    /// Preconditions failed: these keys have other revisions.
    Conflict(Vec<String>),
    /// A write names a lease that doesn't exist or has expired.
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
    /// All existing keys.
    pub entries: BTreeMap<String, Entry<V>>,
    /// The changes that haven't been compacted, oldest first.
    pub history: Vec<Change<V>>,
    /// How many of the latest changes a watch can read.
    pub watchable_changes_max: usize,
    /// The highest revision whose changes have been compacted.
    compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
}

impl<V: Clone> Store<V> {
    /// Creates an empty store; see [`Store::watchable_changes_max`].
    pub fn new(watchable_changes_max: usize) -> Self {
        Self {
            revision: 0,
            entries: BTreeMap::new(),
            history: Vec::new(),
            watchable_changes_max,
            compacted_revision: 0,
            leases: BTreeMap::new(),
            last_lease_id: 0,
        }
    }

    /// The revision of a key, 0 if it doesn't exist.
    pub fn revision_of(&self, path: &str) -> u64 {
        self.entries.get(path).map_or(0, |entry| entry.revision)
    }

    /// Commits a transaction if each key in `preconditions` has the given revision, where 0 stands
    /// for a key that doesn't exist. A transaction without writes changes no revision.
    pub fn commit(
        &mut self,
        preconditions: &[(String, u64)],
        writes: Vec<Write<V>>,
    ) -> CommitOutcome {
        let names_missing_lease = |write: &Write<V>| match write {
            Write::Put { lease, .. } => lease.is_some_and(|id| !self.leases.contains_key(&id)),
            Write::Delete { .. } => false,
        };
        if writes.iter().any(names_missing_lease) {
            return CommitOutcome::NoSuchLease;
        }
        let failed = preconditions
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

    /// The entries that have a prefix and come after a key, in key order: at most `limit` of them,
    /// and whether there are more.
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

    /// The changes after a revision; `None` if a watch can no longer read some of them.
    pub fn changes_after(&self, revision: u64) -> Option<&[Change<V>]> {
        let oldest_watchable = self
            .history
            .len()
            .saturating_sub(self.watchable_changes_max);
        let unwatchable_revision = match oldest_watchable {
            0 => self.compacted_revision,
            n => self.history[n - 1].revision,
        };
        if unwatchable_revision > revision {
            return None;
        }
        let start = self
            .history
            .partition_point(|change| change.revision <= revision);
        Some(&self.history[start..])
    }

    /// Frees the memory of changes that a watch can no longer read, once there are at least as many
    /// of them as of changes that it can read.
    pub fn compact(&mut self) {
        if self.history.len() < 2 * self.watchable_changes_max {
            return;
        }
        let compacted = self.history.len() - self.watchable_changes_max;
        self.compacted_revision = self.history[compacted - 1].revision;
        self.history.drain(..compacted);
    }

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, now_ms: u64, ttl_ms: u64) -> u64 {
        self.last_lease_id += 1;
        let lease = Lease {
            expires_at_ms: now_ms + ttl_ms,
            ttl_ms,
        };
        self.leases.insert(self.last_lease_id, lease);
        self.last_lease_id
    }

    /// Renews a lease. Returns false if the lease doesn't exist or has been revoked.
    pub fn renew_lease(&mut self, now_ms: u64, id: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires_at_ms = now_ms + lease.ttl_ms;
        true
    }

    /// Revokes a lease and deletes the keys attached to it. Returns false if the lease doesn't
    /// exist.
    pub fn revoke_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        if existed {
            self.delete_attached_keys(id);
        }
        existed
    }

    /// Revokes the leases that have expired.
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

    /// Renews all leases, as the store does after an outage.
    pub fn renew_all_leases(&mut self, now_ms: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_at_ms = now_ms + lease.ttl_ms;
        }
    }
}
