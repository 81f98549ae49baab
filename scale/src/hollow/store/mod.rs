//! The store of one cell: the fake store behind the protocol's requests and limits.

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

/// Changes that are kept for watches.
const HISTORY: usize = 10_000;
/// Most entries of one page of a list.
const PAGE_MAX: usize = 1_000;
/// Most preconditions of a transaction, as a multiple of its writes.
const PRECONDITIONS_PER_WRITE: usize = 4;

/// The key of the first shard's record.
pub(super) const SHARD: &str = "s/own/block/0";
/// The key of the cell's own record, with the limits that it sets.
pub(super) const CELL: &str = "s/own/cell";
/// The key of the leader's record.
pub(super) const LEADER: &str = "s/own/leader";
/// The prefix of the placement records.
const PLACEMENTS: &str = "s/run/";
/// The key of the limits that operators set.
const LIMITS: &str = "s/own/limits";

/// Whether writes of a key are observed.
fn is_observed(path: &str) -> bool {
    [SHARD, CELL, LEADER].contains(&path) || path.starts_with(PLACEMENTS)
}

/// Counters of one store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Requests of every kind.
    pub requests: u64,
    /// Watches among them.
    #[serde(rename = "follows")]
    pub watches: u64,
    /// Committed transactions.
    pub commits: u64,
    /// Committed puts and deletes.
    pub changes: u64,
    /// Transactions whose preconditions failed.
    pub conflicts: u64,
    /// Requests rejected for a rate or a size.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl StoreCounts {
    /// The difference to earlier counters.
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

/// Why a transaction is rejected before it is tried.
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

/// A transaction that keeps to the limits.
struct Transaction {
    preconditions: Vec<(String, u64)>,
    writes: Vec<Write<Rc<Value>>>,
}

impl Transaction {
    /// The observed records that it writes.
    fn observed(&self) -> Vec<WrittenRecord> {
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

/// A record that was written.
pub(super) struct WrittenRecord {
    pub(super) path: String,
    pub(super) value: Rc<Value>,
}

/// A response to a request that came over this connection.
pub(super) struct DelayedResponse {
    pub(super) connection: usize,
    pub(super) response: Response,
}

/// The store of one cell.
pub(super) struct StoreService {
    store: Store<Rc<Value>>,
    request_limit: RateLimit,
    write_limit: RateLimit,
    value_bytes_max: usize,
    writes_max: usize,
    watches: Vec<PendingWatch>,
    outage: bool,
    /// Its counters.
    pub(super) counts: StoreCounts,
    /// Observed records that were written since they were last taken.
    written: Vec<WrittenRecord>,
}

impl StoreService {
    /// An empty store.
    pub(super) fn new(service: &ServiceSettings) -> Self {
        Self {
            store: Store::new(HISTORY),
            request_limit: RateLimit::new(0, service.store_rps),
            write_limit: RateLimit::new(0, service.store_write_rps),
            value_bytes_max: (service.store_value_max_kib * 1024.0) as usize,
            writes_max: service.store_txn_ops_max,
            watches: Vec::new(),
            outage: false,
            counts: StoreCounts::default(),
            written: Vec::new(),
        }
    }

    /// Operators set limits.
    pub(super) fn set_limits(&mut self, teams: &LimitsByTeam) {
        let value = Value::serialized(&LimitsBody { teams }).unwrap_or(Value::Null);
        let write = Write::Put {
            path: LIMITS.into(),
            value: Rc::new(value),
            lease: None,
        };
        self.store.commit(&[], vec![write]);
    }

    /// Takes the observed records that were written since the last call.
    pub(super) fn take_written(&mut self) -> Vec<WrittenRecord> {
        std::mem::take(&mut self.written)
    }

    /// Begins an outage.
    pub(super) fn begin_outage(&mut self) {
        self.outage = true;
    }

    /// Ends an outage. Leases are renewed, since nobody could renew them meanwhile.
    pub(super) fn end_outage(&mut self, now: u64) {
        if std::mem::replace(&mut self.outage, false) {
            self.store.renew_all(now);
        }
    }

    /// Executes a request; `None` for a watch that has to wait.
    pub(super) fn execute(
        &mut self,
        now: u64,
        connection: usize,
        request: &Message,
    ) -> Option<Response> {
        self.counts.requests += 1;
        let start = StartLine::of(request);
        if start.path == "/follow" {
            return self.watch(now, connection, &WatchRequest::parse(start.query));
        }
        if self.outage {
            return Some(Response::error(503, "trouble"));
        }
        if !self.request_limit.take(now, 1.0) {
            self.counts.rejected += 1;
            return Some(Response::error(429, "too many requests"));
        }
        self.store.expire(now);
        Some(match (start.method, start.path) {
            ("GET", "/keys") => self.list(start.query),
            ("GET", path) => self.get(path.strip_prefix("/keys/").unwrap_or("")),
            ("POST", "/commit") => self.commit(now, &request.body),
            ("POST", "/grants") => self.grant_lease(now, &request.body),
            (method, path) => self.change_lease(now, method, path),
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
        let limit = query
            .number("limit")
            .map_or(PAGE_MAX, |limit| (limit as usize).min(PAGE_MAX));
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
            // Not counted as rejected: no limit was exceeded.
            return Response::error(400, "malformed");
        };
        match self.admit(now, body) {
            Ok(transaction) => self.apply(transaction),
            Err(error) => {
                self.counts.rejected += 1;
                Response::error(error.status(), &error.to_string())
            }
        }
    }

    /// Checks a transaction against the limits.
    fn admit(&mut self, now: u64, body: CommitBody) -> Result<Transaction, CommitError> {
        let preconditions_max = PRECONDITIONS_PER_WRITE * self.writes_max;
        if body.writes.len() > self.writes_max || body.preconditions.len() > preconditions_max {
            return Err(CommitError::TooManyOperations);
        }
        if !self.write_limit.take(now, body.writes.len() as f64) {
            return Err(CommitError::TooManyChanges);
        }
        let writes = body.writes.into_iter().map(|write| self.read_write(write));
        let writes = writes.collect::<Result<_, _>>()?;
        let preconditions = body.preconditions.into_iter();
        Ok(Transaction {
            preconditions: preconditions
                .map(|condition| (condition.path, condition.revision))
                .collect(),
            writes,
        })
    }

    fn read_write(&self, body: WriteBody) -> Result<Write<Rc<Value>>, CommitError> {
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

    fn apply(&mut self, transaction: Transaction) -> Response {
        let observed = transaction.observed();
        let changes = transaction.writes.len() as u64;
        let outcome = self
            .store
            .commit(&transaction.preconditions, transaction.writes);
        match outcome {
            CommitOutcome::Committed(revision) => {
                self.written.extend(observed);
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
        let lease = self.store.grant(now, body.ttl_ms);
        Response::ok(wire::encode(&LeaseBody { lease }))
    }

    /// Extends or releases a lease.
    fn change_lease(&mut self, now: u64, method: &str, path: &str) -> Response {
        let Some(rest) = path.strip_prefix("/grants/") else {
            return Response::error(400, "malformed");
        };
        let (id, extend) = match rest.strip_suffix("/extend") {
            Some(id) => (id, true),
            None => (rest, false),
        };
        let known = match (method, extend, id.parse()) {
            ("POST", true, Ok(id)) => self.store.extend(now, id),
            ("DELETE", false, Ok(id)) => self.store.release(id),
            _ => return Response::error(400, "malformed"),
        };
        match known {
            true => Response::ok(Vec::new()),
            false => Response::error(404, "no such lease"),
        }
    }

    /// Answers a watch, or registers it. During an outage it waits without an answer.
    fn watch(&mut self, now: u64, connection: usize, request: &WatchRequest) -> Option<Response> {
        self.counts.watches += 1;
        if !self.outage {
            if let Some(response) = watches::events(&self.store, request.prefix, request.after) {
                return Some(response);
            }
            if request.wait_ms == 0 {
                return Some(watches::no_events(&self.store));
            }
        }
        self.watches.push(PendingWatch {
            connection,
            prefix: request.prefix.into(),
            after: request.after,
            deadline_ms: now + request.wait_ms,
        });
        None
    }

    /// Expires leases, and answers the watches that have events or whose deadline has passed.
    pub(super) fn answer_watches(&mut self, now: u64) -> Vec<DelayedResponse> {
        if self.outage {
            return Vec::new();
        }
        self.store.expire(now);
        let mut responses = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let events = watches::events(&self.store, &watch.prefix, watch.after);
            let expired = now >= watch.deadline_ms;
            match events.or_else(|| expired.then(|| watches::no_events(&self.store))) {
                Some(response) => responses.push(DelayedResponse {
                    connection: watch.connection,
                    response,
                }),
                None => self.watches.push(watch),
            }
        }
        responses
    }

    /// Drops the watches of a connection that is closed.
    pub(super) fn disconnected(&mut self, connection: usize) {
        self.watches.retain(|watch| watch.connection != connection);
    }

    /// A text field of a record.
    pub(super) fn text_field(&self, key: &str, field: &str) -> Option<String> {
        let entry = self.store.entries.get(key)?;
        let fields = entry.value.as_map()?;
        let (_, value) = fields
            .iter()
            .find(|(name, _)| name.as_text() == Some(field))?;
        value.as_text().map(String::from)
    }

    /// Number of keys that are stored.
    pub(super) fn keys(&self) -> usize {
        self.store.entries.len()
    }
}
