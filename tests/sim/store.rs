//! The store, as PROTOCOL describes it.

use super::event::Process;
use super::store_conditions::{misnamed_parts, unconditional};
use salttrestle::controller::store::records::{Key, PREFIX, Record};
use salttrestle::ids::CallId;
use salttrestle::settings::NextStateLimits;
use salttrestle::wire::{Change, StoreRequest, StoreResponse, Write, record_value};
use salttrestle_fakes::commands::CommandChecker;
use salttrestle_fakes::rate::RateLimit;
use salttrestle_fakes::store::{self, CommitOutcome, Store};

/// Changes that the store keeps for watches.
const CHANGES_KEPT: usize = 10_000;
/// Entries in one page of a list.
const PAGE: usize = 50;

/// A watch that waits for changes.
pub(crate) struct PendingWatch {
    pub process: Process,
    pub call: CallId,
    /// The revision after which it wants them.
    pub after: u64,
    pub until: u64,
}

/// The store as controllers reach it: its records, limits, outages and pending watches.
pub(crate) struct StoreService {
    pub records: Store<Record>,
    pub watches: Vec<PendingWatch>,
    pub outage: bool,
    value_kb: f64,
    transaction_writes: usize,
    /// Changes a second, once limits have fallen.
    write_limit: Option<RateLimit>,
    /// Transactions beyond a size that has fallen.
    pub rejected: usize,
    /// Transactions beyond the changes a second.
    pub limited: usize,
    /// Requests that went beyond a limit of size, or that lack a condition on what they rest on.
    pub defects: Vec<String>,
    /// Judges orders by what was committed before.
    pub orders: CommandChecker,
}

impl StoreService {
    /// An empty store with these limits on a value's size and on the writes of a transaction.
    pub(crate) fn new(value_kb: f64, transaction_writes: usize) -> Self {
        Self {
            records: Store::new(CHANGES_KEPT),
            watches: Vec::new(),
            outage: false,
            value_kb,
            transaction_writes,
            write_limit: None,
            rejected: 0,
            limited: 0,
            defects: Vec::new(),
            orders: CommandChecker::default(),
        }
    }

    /// Ends leases whose time is over.
    pub(crate) fn expire(&mut self, now: u64) {
        if !self.outage {
            self.records.revoke_expired_leases(now);
        }
    }

    /// The limits fall. What is stored stays readable.
    pub(crate) fn lower_limits(&mut self, now: u64, limits: NextStateLimits) {
        self.value_kb = limits.value_kb.unwrap_or(self.value_kb);
        self.transaction_writes = limits.txn_ops.unwrap_or(self.transaction_writes);
        self.write_limit = limits.write_rps.map(|rate| RateLimit::new(now, rate));
    }

    /// The store answers again, and all leases have their full time.
    pub(crate) fn end_outage(&mut self, now: u64) {
        self.outage = false;
        self.records.renew_all_leases(now);
    }

    /// The changes after a revision, if there are any.
    pub(crate) fn news(&self, after: u64) -> Option<StoreResponse> {
        let Some(changes) = self.records.changes_after(after) else {
            return Some(StoreResponse::Compacted);
        };
        let news: Vec<Change> = changes.iter().filter_map(watched_change).collect();
        let revision = self.records.revision;
        (!news.is_empty()).then_some(StoreResponse::Changes { revision, news })
    }

    /// Executes a request; `None` for a watch that has to wait.
    pub(crate) fn execute(&mut self, now: u64, request: &StoreRequest) -> Option<StoreResponse> {
        if self.outage {
            return match request {
                StoreRequest::Watch { .. } => None,
                _ => Some(StoreResponse::Refused),
            };
        }
        self.expire(now);
        let response = match request {
            StoreRequest::Watch { after } => return self.news(*after),
            StoreRequest::ReadRevision => StoreResponse::Missing {
                revision: self.records.revision,
            },
            StoreRequest::Get(key) => self.get(key),
            StoreRequest::List { after } => self.list(after),
            StoreRequest::Transaction { writes, .. } if self.is_limited(now, writes.len()) => {
                StoreResponse::Refused
            }
            StoreRequest::Transaction {
                preconditions,
                writes,
            } => self.commit(preconditions, writes),
            StoreRequest::GrantLease { ttl_ms } => {
                StoreResponse::LeaseGranted(self.records.grant_lease(now, *ttl_ms))
            }
            StoreRequest::RenewLease(id) => lease_response(self.records.renew_lease(now, *id)),
            StoreRequest::RevokeLease(id) => lease_response(self.records.revoke_lease(*id)),
        };
        Some(response)
    }

    /// Whether so many writes are more than the store takes just now, since its limits have fallen.
    fn is_limited(&mut self, now: u64, writes: usize) -> bool {
        let limit = self.write_limit.as_mut();
        let limited = limit.is_some_and(|limit| !limit.try_take(now, writes as f64));
        self.limited += usize::from(limited);
        limited
    }

    fn get(&self, key: &Key) -> StoreResponse {
        match self.records.entries.get(&key.to_string()) {
            Some(entry) => StoreResponse::Found {
                record: entry.value.clone(),
                revision: entry.revision,
            },
            None => StoreResponse::Missing {
                revision: self.records.revision,
            },
        }
    }

    fn list(&self, after: &str) -> StoreResponse {
        let (page, more) = self.records.list(PREFIX, after, PAGE);
        let entries = page.iter().filter_map(|(path, entry)| {
            Some((Key::parse(path)?, entry.revision, Some(entry.value.clone())))
        });
        StoreResponse::Page {
            entries: entries.collect(),
            last: page.last().map(|(path, _)| (*path).clone()),
            more,
            revision: self.records.revision,
        }
    }

    fn commit(&mut self, preconditions: &[(Key, u64)], writes: &[Write]) -> StoreResponse {
        if writes.len() > self.transaction_writes
            || preconditions.len() > 4 * self.transaction_writes
        {
            self.defects.push(format!(
                "{} writes, {} conditions",
                writes.len(),
                preconditions.len()
            ));
        }
        self.defects.extend(unconditional(preconditions, writes));
        self.defects.extend(misnamed_parts(writes));
        if self.rejects_size(writes) {
            self.rejected += 1;
            return StoreResponse::Rejected;
        }
        let conditions = preconditions.iter();
        let conditions: Vec<(String, u64)> = conditions
            .map(|(key, revision)| (key.to_string(), *revision))
            .collect();
        let writes_of_store = writes.iter().map(stored_write).collect();
        match self.records.commit(&conditions, writes_of_store) {
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

    /// Whether a value is too large for a limit that has fallen. Beyond the limit that held from
    /// the start, a value is a defect.
    fn rejects_size(&mut self, writes: &[Write]) -> bool {
        for write in writes {
            let Write::Put { key, record, .. } = write else {
                continue;
            };
            let size = serde_json::to_string(&record_value(record)).map_or(0, |text| text.len());
            if size as f64 <= self.value_kb * 1024.0 {
                continue;
            }
            if self.write_limit.is_some() {
                return true;
            }
            self.defects.push(format!("{key} has {size} bytes"));
        }
        false
    }

    /// The judge of orders learns what was committed.
    fn note_committed(&mut self, writes: &[Write]) {
        for write in writes {
            match write {
                Write::Put {
                    record: Record::Shard(shard),
                    ..
                } => self.orders.record_owner_token(shard.token.0),
                Write::Put {
                    key: Key::Placements(job, _),
                    record: Record::Placements(run),
                    ..
                } => self.orders.record_placements(job, run),
                _ => {}
            }
        }
    }
}

fn lease_response(known: bool) -> StoreResponse {
    match known {
        true => StoreResponse::LeaseRenewed,
        false => StoreResponse::LeaseNotFound,
    }
}

/// A change as a watch gets it.
fn watched_change(change: &store::Change<Record>) -> Option<Change> {
    let key = Key::parse(&change.path)?;
    Some((key, change.revision, change.value.clone()))
}

/// A write as the store takes it.
fn stored_write(write: &Write) -> store::Write<Record> {
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
