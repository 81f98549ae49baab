//! The store of one cell: serves a fake store over the protocol of the real one, and enforces its
//! limits on rates and sizes.

mod bodies;
mod watches;

use super::request::{Query, Response, StartLine};
use crate::experiment::ServiceSettings;
use bodies::{
    CommitBody, ConflictBody, EntryBody, LeaseBody, LeaseRequestBody, LimitsBody, PageBody,
    RevisionBody, WriteBody,
};
use ciborium::Value;
use salttrestle::controller::store::records::LimitsByTeam;
use salttrestle::http::Message;
use salttrestle::wire;
use salttrestle_fakes::rate::RateLimit;
use salttrestle_fakes::store::{CommitOutcome, Store, Write};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use thiserror::Error;
use watches::{PendingWatch, WatchRequest};

/// Number of latest changes that are kept for watches. A watch of an older revision gets status
/// 410.
const WATCH_HISTORY_CHANGES_MAX: usize = 10_000;
/// Maximum number of entries in one page of a list.
const PAGE_ENTRIES_MAX: usize = 1_000;
/// Maximum number of preconditions of a transaction, as a multiple of the maximum number of writes.
const PRECONDITIONS_PER_WRITE_MAX: usize = 4;

/// Key of the first shard's record.
pub(super) const SHARD_KEY: &str = "s/own/block/0";
/// Key of the cell's own record, which holds the team limits that the cell sets as a home cell.
pub(super) const CELL_KEY: &str = "s/own/cell";
/// Key of the leader's record.
pub(super) const LEADER_KEY: &str = "s/own/leader";
/// Key prefix of the placement records.
const PLACEMENT_PREFIX: &str = "s/run/";
/// Key of the team limits that operators set.
const LIMITS_KEY: &str = "s/own/limits";

/// Whether writes of a key are passed to the observers.
fn is_observed(path: &str) -> bool {
    [SHARD_KEY, CELL_KEY, LEADER_KEY].contains(&path) || path.starts_with(PLACEMENT_PREFIX)
}

/// Counters of one store since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Requests of every kind.
    pub requests: u64,
    /// Requests that are watches.
    #[serde(rename = "follows")]
    pub watches: u64,
    /// Committed transactions.
    pub commits: u64,
    /// Committed puts and deletes.
    pub changes: u64,
    /// Transactions whose preconditions failed.
    pub conflicts: u64,
    /// Requests rejected because they exceeded a limit on rates or sizes, or held a malformed
    /// write.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl StoreCounts {
    /// Returns the counts since an earlier reading of the counters.
    pub fn since(self, earlier: StoreCounts) -> StoreCounts {
        StoreCounts {
            requests: self.requests - earlier.requests,
            watches: self.watches - earlier.watches,
            commits: self.commits - earlier.commits,
            changes: self.changes - earlier.changes,
            conflicts: self.conflicts - earlier.conflicts,
            rejected: self.rejected - earlier.rejected,
        }
    }
}

/// Why a transaction is rejected before its preconditions are evaluated.
#[derive(Clone, Copy, Debug, Error)]
enum CommitError {
    #[error("malformed")]
    Malformed,
    #[error("too many operations")]
    TooManyOperations,
    #[error("too many changes")]
    TooManyChanges,
    #[error("value too large")]
    ValueTooLarge,
}

impl CommitError {
    fn status(self) -> u16 {
        match self {
            Self::TooManyChanges => 429,
            _ => 400,
        }
    }
}

/// A transaction that has passed the check of the store's limits.
struct Transaction {
    preconditions: Vec<(String, u64)>,
    writes: Vec<Write<Rc<Value>>>,
}

impl Transaction {
    /// Returns the writes of observed keys. Deletes aren't observed.
    fn observed_writes(&self) -> Vec<WrittenRecord> {
        let writes = self.writes.iter();
        let observed = writes.filter_map(|write| match write {
            Write::Put { path, value, .. } if is_observed(path) => Some(WrittenRecord {
                path: path.clone(),
                value: value.clone(),
            }),
            _ => None,
        });
        observed.collect()
    }
}

/// An observed record that was written.
pub(super) struct WrittenRecord {
    pub(super) path: String,
    pub(super) value: Rc<Value>,
}

/// The response to a pending watch, and the connection that it is sent over.
pub(super) struct WatchResponse {
    pub(super) connection: usize,
    pub(super) response: Response,
}

/// The store of one cell, with its limits, pending watches and counters.
pub(super) struct StoreService {
    store: Store<Rc<Value>>,
    request_limit: RateLimit,
    write_limit: RateLimit,
    value_bytes_max: usize,
    writes_max: usize,
    pending_watches: Vec<PendingWatch>,
    is_down: bool,
    /// Counters since the start.
    pub(super) counts: StoreCounts,
    /// Observed records that were written since the last call of `take_observed_writes`.
    observed_writes: Vec<WrittenRecord>,
}

impl StoreService {
    /// Builds an empty store with the limits of the experiment.
    pub(super) fn new(service: &ServiceSettings) -> Self {
        Self {
            store: Store::new(WATCH_HISTORY_CHANGES_MAX),
            request_limit: RateLimit::new(0, service.store_rps),
            write_limit: RateLimit::new(0, service.store_write_rps),
            value_bytes_max: (service.store_value_max_kib * 1024.0) as usize,
            writes_max: service.store_txn_ops_max,
            pending_watches: Vec::new(),
            is_down: false,
            counts: StoreCounts::default(),
            observed_writes: Vec::new(),
        }
    }

    /// Writes the team limits, as operators do.
    pub(super) fn set_limits(&mut self, teams: &LimitsByTeam) {
        let value = Value::serialized(&LimitsBody { teams }).unwrap_or(Value::Null);
        let write = Write::Put {
            path: LIMITS_KEY.into(),
            value: Rc::new(value),
            lease: None,
        };
        self.store.commit(&[], vec![write]);
    }

    /// Takes the observed records that were written since the last call.
    pub(super) fn take_observed_writes(&mut self) -> Vec<WrittenRecord> {
        std::mem::take(&mut self.observed_writes)
    }

    /// Starts an outage.
    pub(super) fn begin_outage(&mut self) {
        self.is_down = true;
    }

    /// Ends an outage, and renews all leases: during the outage no client could renew them.
    pub(super) fn end_outage(&mut self, now: u64) {
        if std::mem::replace(&mut self.is_down, false) {
            self.store.renew_all_leases(now);
        }
    }

    /// Handles a request. Returns `None` for a watch that waits for changes.
    pub(super) fn handle_request(
        &mut self,
        now: u64,
        connection: usize,
        request: &Message,
    ) -> Option<Response> {
        self.counts.requests += 1;
        let start = StartLine::parse(request);
        if start.path == "/follow" {
            return self.handle_watch(now, connection, &WatchRequest::parse(start.query));
        }
        if self.is_down {
            return Some(Response::error(503, "trouble"));
        }
        if !self.request_limit.try_take(now, 1.0) {
            self.counts.rejected += 1;
            return Some(Response::error(429, "too many requests"));
        }
        self.store.revoke_expired_leases(now);
        Some(match (start.method, start.path) {
            ("GET", "/keys") => self.list(start.query),
            ("GET", path) => self.get(path.strip_prefix("/keys/").unwrap_or("")),
            ("POST", "/commit") => self.commit(now, &request.body),
            ("POST", "/grants") => self.grant_lease(now, &request.body),
            (method, path) => self.renew_or_revoke_lease(now, method, path),
        })
    }

    fn get(&self, key: &str) -> Response {
        match self.store.entries.get(key) {
            Some(entry) => Response::ok(wire::encode(&EntryBody {
                path: key,
                data: &entry.value,
                revision: entry.revision,
            })),
            None => Response {
                status: 404,
                body: wire::encode(&RevisionBody {
                    revision: self.store.revision,
                }),
            },
        }
    }

    fn list(&self, query: Query) -> Response {
        let prefix = query.text("prefix").unwrap_or("");
        let after = query.text("after").unwrap_or("");
        let limit = query.number("limit").map_or(PAGE_ENTRIES_MAX, |limit| {
            (limit as usize).min(PAGE_ENTRIES_MAX)
        });
        let (page, has_next) = self.store.list(prefix, after, limit);
        let entries = page.iter().map(|(path, entry)| EntryBody {
            path,
            data: &entry.value,
            revision: entry.revision,
        });
        Response::ok(wire::encode(&PageBody {
            entries: entries.collect(),
            has_next,
            revision: self.store.revision,
        }))
    }

    fn commit(&mut self, now: u64, body: &[u8]) -> Response {
        let Some(body) = wire::decode::<CommitBody>(body) else {
            // This request isn't counted as rejected, because it exceeded no limit.
            return Response::error(400, "malformed");
        };
        match self.validate_commit(now, body) {
            Ok(transaction) => self.commit_transaction(transaction),
            Err(error) => {
                self.counts.rejected += 1;
                Response::error(error.status(), &error.to_string())
            }
        }
    }

    /// Parses a transaction and checks it against the store's limits. The write rate is charged
    /// even if a later check fails.
    fn validate_commit(&mut self, now: u64, body: CommitBody) -> Result<Transaction, CommitError> {
        let preconditions_max = PRECONDITIONS_PER_WRITE_MAX * self.writes_max;
        if body.writes.len() > self.writes_max || body.preconditions.len() > preconditions_max {
            return Err(CommitError::TooManyOperations);
        }
        if !self.write_limit.try_take(now, body.writes.len() as f64) {
            return Err(CommitError::TooManyChanges);
        }
        let writes = body.writes.into_iter().map(|write| self.parse_write(write));
        let writes = writes.collect::<Result<_, _>>()?;
        let preconditions = body.preconditions.into_iter();
        Ok(Transaction {
            preconditions: preconditions
                .map(|condition| (condition.path, condition.revision))
                .collect(),
            writes,
        })
    }

    /// Parses a put or a delete, and checks the size of the value as JSON.
    fn parse_write(&self, body: WriteBody) -> Result<Write<Rc<Value>>, CommitError> {
        match (body.put, body.data, body.delete) {
            (Some(path), Some(data), None) => {
                let bytes = serde_json::to_vec(&data).map_or(0, |json| json.len());
                if bytes > self.value_bytes_max {
                    return Err(CommitError::ValueTooLarge);
                }
                Ok(Write::Put {
                    path,
                    value: Rc::new(data),
                    lease: body.lease,
                })
            }
            (None, None, Some(path)) => Ok(Write::Delete { path }),
            _ => Err(CommitError::Malformed),
        }
    }

    fn commit_transaction(&mut self, transaction: Transaction) -> Response {
        let observed = transaction.observed_writes();
        let changes = transaction.writes.len() as u64;
        let outcome = self
            .store
            .commit(&transaction.preconditions, transaction.writes);
        match outcome {
            CommitOutcome::Committed(revision) => {
                self.observed_writes.extend(observed);
                self.counts.commits += 1;
                self.counts.changes += changes;
                self.store.compact();
                Response::ok(wire::encode(&RevisionBody { revision }))
            }
            CommitOutcome::Conflict(failed) => {
                self.counts.conflicts += 1;
                let revision = self.store.revision;
                Response {
                    status: 409,
                    body: wire::encode(&ConflictBody { failed, revision }),
                }
            }
            CommitOutcome::NoSuchLease => Response::error(400, "no such lease"),
        }
    }

    fn grant_lease(&mut self, now: u64, body: &[u8]) -> Response {
        let Some(body) = wire::decode::<LeaseRequestBody>(body) else {
            return Response::error(400, "malformed");
        };
        let lease = self.store.grant_lease(now, body.ttl_ms);
        Response::ok(wire::encode(&LeaseBody { lease }))
    }

    /// Renews a lease (`POST …/extend`) or revokes it (`DELETE`).
    fn renew_or_revoke_lease(&mut self, now: u64, method: &str, path: &str) -> Response {
        let Some(rest) = path.strip_prefix("/grants/") else {
            return Response::error(400, "malformed");
        };
        let (id, is_renewal) = match rest.strip_suffix("/extend") {
            Some(id) => (id, true),
            None => (rest, false),
        };
        let exists = match (method, is_renewal, id.parse()) {
            ("POST", true, Ok(id)) => self.store.renew_lease(now, id),
            ("DELETE", false, Ok(id)) => self.store.revoke_lease(id),
            _ => return Response::error(400, "malformed"),
        };
        match exists {
            true => Response::ok(Vec::new()),
            false => Response::error(404, "no such lease"),
        }
    }

    /// Answers a watch at once if there are changes or if it doesn't wait; otherwise registers it.
    /// During an outage every watch is registered and gets no answer.
    fn handle_watch(
        &mut self,
        now: u64,
        connection: usize,
        request: &WatchRequest,
    ) -> Option<Response> {
        self.counts.watches += 1;
        if !self.is_down {
            if let Some(response) =
                watches::changes_response(&self.store, request.prefix, request.after_revision)
            {
                return Some(response);
            }
            if request.wait_ms == 0 {
                return Some(watches::empty_response(&self.store));
            }
        }
        self.pending_watches.push(PendingWatch {
            connection,
            prefix: request.prefix.into(),
            after_revision: request.after_revision,
            deadline_ms: now + request.wait_ms,
        });
        None
    }

    /// Revokes expired leases, and returns the responses to watches that have changes or whose
    /// deadline has passed. Returns none during an outage.
    pub(super) fn answer_watches(&mut self, now: u64) -> Vec<WatchResponse> {
        if self.is_down {
            return Vec::new();
        }
        self.store.revoke_expired_leases(now);
        let mut responses = Vec::new();
        for watch in std::mem::take(&mut self.pending_watches) {
            let events =
                watches::changes_response(&self.store, &watch.prefix, watch.after_revision);
            let has_expired = now >= watch.deadline_ms;
            match events.or_else(|| has_expired.then(|| watches::empty_response(&self.store))) {
                Some(response) => responses.push(WatchResponse {
                    connection: watch.connection,
                    response,
                }),
                None => self.pending_watches.push(watch),
            }
        }
        responses
    }

    /// Drops the watches of a closed connection.
    pub(super) fn drop_watches(&mut self, connection: usize) {
        self.pending_watches
            .retain(|watch| watch.connection != connection);
    }

    /// Returns a text field of a record; `None` if the key or the field is missing, or if its value
    /// isn't text.
    pub(super) fn text_field(&self, key: &str, field: &str) -> Option<String> {
        let entry = self.store.entries.get(key)?;
        let fields = entry.value.as_map()?;
        let (_, value) = fields
            .iter()
            .find(|(name, _)| name.as_text() == Some(field))?;
        value.as_text().map(String::from)
    }

    /// Returns the number of keys in the store.
    pub(super) fn key_count(&self) -> usize {
        self.store.entries.len()
    }
}
