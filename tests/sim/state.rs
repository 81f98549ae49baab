//! The store, as PROTOCOL describes it.

use salttrestle::controller::store::chunks::ChunkLayout;
use salttrestle::controller::store::records::{Key, PREFIX, Record};
use salttrestle::ids::CallId;
use salttrestle::settings::NextStateLimits;
use salttrestle::wire::{Change, StoreRequest, StoreResponse, Write, record_value};
use salttrestle_fakes::orders::Orders;
use salttrestle_fakes::rate::RateLimit;
use salttrestle_fakes::store::{self, CommitOutcome, Store};

/// A watch that waits for news.
pub struct Waiter {
    pub node: usize,
    pub incarnation: u64,
    pub call: CallId,
    pub after: u64,
    pub until: u64,
}

pub struct StateService {
    pub store: Store<Record>,
    pub waiters: Vec<Waiter>,
    pub outage: bool,
    value_kb: f64,
    txn_ops: usize,
    /// Changes a second, once limits have fallen.
    write_limit: Option<RateLimit>,
    /// Transactions beyond a limit that has fallen: of size, of changes a second.
    pub rejected: usize,
    pub limited: usize,
    /// Requests that went beyond a limit of size, or that lack a condition on what they rest on.
    pub defects: Vec<String>,
    /// Judges orders by what was committed before.
    pub orders: Orders,
}

/// Changes that the store keeps for followers.
const KEPT: usize = 10_000;
/// Entries in one page of a listing.
const PAGE: usize = 50;

impl StateService {
    pub fn new(value_kb: f64, txn_ops: usize) -> Self {
        Self {
            store: Store::new(KEPT),
            waiters: Vec::new(),
            outage: false,
            value_kb,
            txn_ops,
            write_limit: None,
            rejected: 0,
            limited: 0,
            defects: Vec::new(),
            orders: Orders::default(),
        }
    }

    /// Ends leases whose time is over.
    pub fn expire(&mut self, now: u64) {
        if !self.outage {
            self.store.expire(now);
        }
    }

    /// The limits fall. What is stored stays readable.
    pub fn lower_limits(&mut self, now: u64, limits: NextStateLimits) {
        self.value_kb = limits.value_kb.unwrap_or(self.value_kb);
        self.txn_ops = limits.txn_ops.unwrap_or(self.txn_ops);
        self.write_limit = limits.write_rps.map(|rate| RateLimit::new(now, rate));
    }

    pub fn end_outage(&mut self, now: u64) {
        self.outage = false;
        self.store.renew_all(now);
    }

    /// The news after a revision, if there are any.
    pub fn news(&self, after: u64) -> Option<StoreResponse> {
        let Some(changes) = self.store.changes_after(after) else {
            return Some(StoreResponse::Compacted);
        };
        let news: Vec<Change> = changes.iter().filter_map(change).collect();
        let revision = self.store.revision;
        (!news.is_empty()).then_some(StoreResponse::Changes { revision, news })
    }

    /// Executes a request; `None` for a watch that has to wait.
    pub fn execute(&mut self, now: u64, op: &StoreRequest) -> Option<StoreResponse> {
        if self.outage {
            return match op {
                StoreRequest::Watch { .. } => None,
                _ => Some(StoreResponse::Refused),
            };
        }
        self.expire(now);
        if let StoreRequest::Transaction { writes, .. } = op
            && let Some(limit) = &mut self.write_limit
            && !limit.take(now, writes.len() as f64)
        {
            self.limited += 1;
            return Some(StoreResponse::Refused);
        }
        let lives = |known: bool| match known {
            true => StoreResponse::LeaseRenewed,
            false => StoreResponse::LeaseNotFound,
        };
        let revision = self.store.revision;
        Some(match op {
            StoreRequest::ReadRevision => StoreResponse::Missing { revision },
            StoreRequest::Get(key) => match self.store.entries.get(&key.to_string()) {
                Some(entry) => StoreResponse::Found {
                    record: entry.value.clone(),
                    revision: entry.revision,
                },
                None => StoreResponse::Missing { revision },
            },
            StoreRequest::List { after } => self.list(after),
            StoreRequest::Transaction {
                preconditions,
                writes,
            } => self.commit(preconditions, writes),
            StoreRequest::GrantLease { ttl_ms } => {
                StoreResponse::LeaseGranted(self.store.grant(now, *ttl_ms))
            }
            StoreRequest::RenewLease(id) => lives(self.store.extend(now, *id)),
            StoreRequest::RevokeLease(id) => lives(self.store.release(*id)),
            StoreRequest::Watch { after } => return self.news(*after),
        })
    }

    fn list(&self, after: &str) -> StoreResponse {
        let (page, more) = self.store.list(PREFIX, after, PAGE);
        let entries = page.iter().filter_map(|(path, entry)| {
            Some((Key::parse(path)?, entry.revision, Some(entry.value.clone())))
        });
        StoreResponse::Page {
            entries: entries.collect(),
            last: page.last().map(|(path, _)| (*path).clone()),
            more,
            revision: self.store.revision,
        }
    }

    fn commit(&mut self, preconditions: &[(Key, u64)], writes: &[Write]) -> StoreResponse {
        if writes.len() > self.txn_ops || preconditions.len() > 4 * self.txn_ops {
            self.defects.push(format!(
                "{} writes, {} conditions",
                writes.len(),
                preconditions.len()
            ));
        }
        self.defects.extend(unconditional(preconditions, writes));
        self.defects.extend(misnamed_parts(writes));
        for w in writes {
            let Write::Put { key, record, .. } = w else {
                continue;
            };
            let size = serde_json::to_string(&record_value(record)).map_or(0, |s| s.len());
            let too_large = size as f64 > self.value_kb * 1024.0;
            if too_large && self.write_limit.is_some() {
                self.rejected += 1;
                return StoreResponse::Rejected;
            }
            if too_large {
                self.defects.push(format!("{key} has {size} bytes"));
            }
        }
        let conditions: Vec<(String, u64)> = preconditions
            .iter()
            .map(|(key, revision)| (key.to_string(), *revision))
            .collect();
        match self
            .store
            .commit(&conditions, writes.iter().map(stored).collect())
        {
            CommitOutcome::Committed(revision) => {
                self.note_committed(writes);
                StoreResponse::Committed { revision }
            }
            CommitOutcome::NoSuchLease => StoreResponse::LeaseNotFound,
            CommitOutcome::Conflict(failed) => StoreResponse::Conflict {
                failed: failed.iter().filter_map(|path| Key::parse(path)).collect(),
            },
        }
    }
}

impl StateService {
    fn note_committed(&mut self, writes: &[Write]) {
        for write in writes {
            match write {
                Write::Put {
                    record: Record::Shard(shard),
                    ..
                } => self.orders.held(shard.token.0),
                Write::Put {
                    key: Key::Run(job, _),
                    record: Record::Run(run),
                    ..
                } => self.orders.committed(job, run),
                _ => {}
            }
        }
    }
}

/// A change as a follower gets it.
fn change(change: &store::Change<Record>) -> Option<Change> {
    let key = Key::parse(&change.path)?;
    Some((key, change.revision, change.value.clone()))
}

/// A write as the store takes it.
fn stored(write: &Write) -> store::Write<Record> {
    match write {
        Write::Put {
            key,
            record,
            lease_id,
        } => store::Write::Put {
            path: key.to_string(),
            value: record.clone(),
            lease: *lease_id,
        },
        Write::Delete { key } => store::Write::Delete {
            path: key.to_string(),
        },
    }
}

/// Records that say of themselves that they are parts under the number of a chunk, or the reverse.
fn misnamed_parts(writes: &[Write]) -> Vec<String> {
    let misnamed = writes.iter().filter_map(|w| match w {
        Write::Put {
            key: Key::Run(id, chunk),
            record: Record::Run(run),
            ..
        } if run.part.is_some() != ChunkLayout::is_part(*chunk) => {
            Some(format!("chunk {chunk} of {id} has part {:?}", run.part))
        }
        _ => None,
    });
    misnamed.collect()
}

/// What a transaction changes without a condition on what that rests on. Some of these
/// conditions overlap, so that no meeting shows that one of them is missing.
fn unconditional(preconditions: &[(Key, u64)], writes: &[Write]) -> Vec<String> {
    let on = |wanted: &dyn Fn(&Key) -> bool| preconditions.iter().any(|(key, _)| wanted(key));
    let shard = on(&|key| matches!(key, Key::Shard(_)));
    let leader = on(&|key| *key == Key::Leader);
    let mut lacking = Vec::new();
    for w in writes {
        let (key, put) = match w {
            Write::Put { key, .. } => (key, true),
            Write::Delete { key } => (key, false),
        };
        let itself = on(&|k| k == key);
        let good = match (key, put) {
            (Key::Run(id, _), true) => itself && shard && on(&|k| *k == Key::Job(id.clone())),
            (Key::Run(..), false) => shard,
            (Key::Job(_), true) => itself,
            (Key::Job(id), false) => itself && shard && on(&|k| *k == Key::End(id.clone())),
            (Key::End(id), true) => itself && shard && on(&|k| *k == Key::Job(id.clone())),
            (Key::Shard(_) | Key::FencingToken, true) => itself && leader,
            (Key::Leader, true) => itself,
            (Key::Plan, true) => leader,
            _ => false,
        };
        if !good {
            lacking.push(format!(
                "{key} is written without a condition that it rests on"
            ));
        }
    }
    lacking
}
