//! The simulated store: serves the requests of controllers from the store double, as the protocol
//! specifies, and enforces its limits.

use super::event::Process;
use super::store_conditions::{misnamed_parts, unconditional_writes};
use salttrestle::controller::store::records::{Key, PREFIX, Record, StatusAgeRecord};
use salttrestle::ids::CallId;
use salttrestle::settings::NextStoreLimits;
use salttrestle::wire::{Change, StoreRequest, StoreResponse, Write, record_to_value};
use salttrestle_fakes::commands::CommandChecker;
use salttrestle_fakes::rate::RateLimit;
use salttrestle_fakes::store::{self, CommitOutcome, Store};

/// The number of latest changes that the store keeps for watches.
const WATCH_HISTORY_CHANGES_MAX: usize = 10_000;
/// The largest number of entries in one page of a list.
const PAGE_ENTRIES_MAX: usize = 50;
/// The maximum age of statuses while the store is fast, in milliseconds.
const STATUS_AGE_MAX_MS: u64 = 100;
/// The maximum number of preconditions of a transaction, as a multiple of the maximum number of
/// writes.
const PRECONDITIONS_PER_WRITE_MAX: usize = 4;

/// A watch that waits for changes.
pub(crate) struct PendingWatch {
    pub process: Process,
    pub call: CallId,
    /// The watch waits for changes after this revision.
    pub after: u64,
    /// When the store ends the watch without changes, in milliseconds.
    pub until: u64,
}

/// The store service: records, limits, outages and pending watches.
pub(crate) struct StoreService {
    pub records: Store<Record>,
    pub watches: Vec<PendingWatch>,
    pub has_outage: bool,
    value_max_kib: f64,
    transaction_writes_max: usize,
    /// The limit on writes per second, once the limits have been lowered.
    write_limit: Option<RateLimit>,
    /// Transactions rejected because a value exceeds the lowered size limit.
    pub rejected_transactions: usize,
    /// Transactions refused because of the limit on writes per second.
    pub rate_limited_transactions: usize,
    /// Violations of transactions: too many writes or preconditions, a value beyond the size limit,
    /// a missing precondition, or a placement record under the wrong kind of key.
    pub violations: Vec<String>,
    /// Checks start commands against the committed placements and fencing tokens, and which
    /// controller calls the cloud.
    pub command_checker: CommandChecker,
}

impl StoreService {
    /// Creates an empty store with these limits on a value's size and on a transaction's writes.
    pub(crate) fn new(value_max_kib: f64, transaction_writes_max: usize) -> Self {
        Self {
            records: Store::new(WATCH_HISTORY_CHANGES_MAX),
            watches: Vec::new(),
            has_outage: false,
            value_max_kib,
            transaction_writes_max,
            write_limit: None,
            rejected_transactions: 0,
            rate_limited_transactions: 0,
            violations: Vec::new(),
            command_checker: CommandChecker::default(),
        }
    }

    /// Adds the records that controllers keep from their first start on: how old the statuses may be
    /// that they send.
    pub(crate) fn add_status_ages(&mut self, controller_ids: &[String]) {
        for id in controller_ids {
            let record = StatusAgeRecord {
                age_max_ms: STATUS_AGE_MAX_MS,
                honored_ms: STATUS_AGE_MAX_MS,
            };
            let write = Write::put(
                Key::StatusAge(id.as_str().into()),
                Record::StatusAge(record),
            );
            self.records.commit(&[], vec![stored_write(&write)]);
        }
    }

    /// Expires leases. During an outage, leases don't expire.
    pub(crate) fn expire(&mut self, now: u64) {
        if !self.has_outage {
            self.records.revoke_expired_leases(now);
        }
    }

    /// Lowers the limits. Stored values beyond the new limits stay readable.
    pub(crate) fn lower_limits(&mut self, now: u64, limits: NextStoreLimits) {
        self.value_max_kib = limits.value_kb.unwrap_or(self.value_max_kib);
        self.transaction_writes_max = limits.txn_ops.unwrap_or(self.transaction_writes_max);
        self.write_limit = limits.write_rps.map(|rate| RateLimit::new(now, rate));
    }

    /// Ends an outage. All leases are renewed for their full time to live.
    pub(crate) fn end_outage(&mut self, now: u64) {
        self.has_outage = false;
        self.records.renew_all_leases(now);
    }

    /// The answer to a watch: the changes after a revision, or that the revision is compacted.
    /// `None` if there are no changes.
    pub(crate) fn watch_response(&self, after: u64) -> Option<StoreResponse> {
        let Some(changes) = self.records.changes_after(after) else {
            return Some(StoreResponse::Compacted);
        };
        let watched_changes: Vec<Change> = changes.iter().filter_map(watched_change).collect();
        let revision = self.records.revision;
        (!watched_changes.is_empty()).then_some(StoreResponse::Changes {
            revision,
            changes: watched_changes,
        })
    }

    /// Executes a request. Returns `None` for a watch that has to wait, for changes or for the end
    /// of an outage.
    pub(crate) fn execute(&mut self, now: u64, request: &StoreRequest) -> Option<StoreResponse> {
        if self.has_outage {
            return match request {
                StoreRequest::Watch { .. } => None,
                _ => Some(StoreResponse::Refused),
            };
        }
        self.expire(now);
        let response = match request {
            StoreRequest::Watch { after } => return self.watch_response(*after),
            StoreRequest::ReadRevision => StoreResponse::Missing {
                revision: self.records.revision,
            },
            StoreRequest::Get(key) => self.get(key),
            StoreRequest::List { after } => self.list(after),
            StoreRequest::Transaction { writes, .. }
                if self.is_write_rate_exceeded(now, writes.len()) =>
            {
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

    /// Counts writes against the lowered write limit and returns whether they exceed it.
    fn is_write_rate_exceeded(&mut self, now: u64, writes: usize) -> bool {
        let limit = self.write_limit.as_mut();
        let is_exceeded = limit.is_some_and(|limit| !limit.try_take(now, writes as f64));
        self.rate_limited_transactions += usize::from(is_exceeded);
        is_exceeded
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
        let (page, has_next) = self.records.list(PREFIX, after, PAGE_ENTRIES_MAX);
        let entries = page.iter().filter_map(|(path, entry)| {
            Some((Key::parse(path)?, entry.revision, Some(entry.value.clone())))
        });
        StoreResponse::Page {
            entries: entries.collect(),
            last: page.last().map(|(path, _)| (*path).clone()),
            has_next,
            revision: self.records.revision,
        }
    }

    fn commit(&mut self, preconditions: &[(Key, u64)], writes: &[Write]) -> StoreResponse {
        if writes.len() > self.transaction_writes_max
            || preconditions.len() > PRECONDITIONS_PER_WRITE_MAX * self.transaction_writes_max
        {
            self.violations.push(format!(
                "transaction exceeds its limits: writes={} preconditions={}",
                writes.len(),
                preconditions.len()
            ));
        }
        self.violations
            .extend(unconditional_writes(preconditions, writes));
        self.violations.extend(misnamed_parts(writes));
        if self.exceeds_lowered_size_limit(writes) {
            self.rejected_transactions += 1;
            return StoreResponse::Rejected;
        }
        let conditions = preconditions.iter();
        let conditions: Vec<(String, u64)> = conditions
            .map(|(key, revision)| (key.to_string(), *revision))
            .collect();
        let stored_writes = writes.iter().map(stored_write).collect();
        match self.records.commit(&conditions, stored_writes) {
            CommitOutcome::Committed(revision) => {
                self.record_committed(writes);
                StoreResponse::Committed { revision }
            }
            CommitOutcome::NoSuchLease => StoreResponse::LeaseNotFound,
            CommitOutcome::Conflict(failed) => StoreResponse::Conflict {
                failed: failed.iter().filter_map(|path| Key::parse(path)).collect(),
            },
        }
    }

    /// Whether a value exceeds the size limit after the limits were lowered. Before that, a value
    /// beyond the limit is recorded as a violation instead, and the transaction is executed.
    fn exceeds_lowered_size_limit(&mut self, writes: &[Write]) -> bool {
        for write in writes {
            let Write::Put { key, record, .. } = write else {
                continue;
            };
            let size = serde_json::to_string(&record_to_value(record)).map_or(0, |text| text.len());
            if size as f64 <= self.value_max_kib * 1024.0 {
                continue;
            }
            if self.write_limit.is_some() {
                return true;
            }
            self.violations.push(format!(
                "value exceeds the size limit: key={key} bytes={size}"
            ));
        }
        false
    }

    /// Tells the command checker which shard tokens and placements were committed.
    fn record_committed(&mut self, writes: &[Write]) {
        for write in writes {
            match write {
                Write::Put {
                    record: Record::Shard(shard),
                    ..
                } => self.command_checker.record_owner_token(shard.token.0),
                Write::Put {
                    key: Key::Placements(job, _),
                    record: Record::Placements(run),
                    ..
                } => self.command_checker.record_placements(job, run),
                _ => {}
            }
        }
    }
}

fn lease_response(is_known: bool) -> StoreResponse {
    match is_known {
        true => StoreResponse::LeaseRenewed,
        false => StoreResponse::LeaseNotFound,
    }
}

/// Converts a change to the form in which a watch gets it.
fn watched_change(change: &store::Change<Record>) -> Option<Change> {
    let key = Key::parse(&change.path)?;
    Some((key, change.revision, change.value.clone()))
}

/// Converts a write to the form of the store double.
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
