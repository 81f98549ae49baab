//! Requests to the store, and the responses.

use crate::controller::store::records::{Key, LimitsByTeam, LimitsRecord, PREFIX, Record};
use crate::wire::{Call, Num, decode, encode};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Writes a record.
    Put {
        /// Key of the record.
        key: Key,
        /// The new record.
        record: Record,
        /// The lease that the record is attached to, if any. The store deletes the record when the
        /// lease ends.
        lease_id: Option<u64>,
    },
    /// Deletes a record.
    Delete {
        /// Key of the record.
        key: Key,
    },
}

impl Write {
    /// Returns the write of a record that isn't attached to a lease.
    pub fn put(key: Key, record: Record) -> Self {
        Self::Put {
            key,
            record,
            lease_id: None,
        }
    }
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads a key that never exists, to get the store's current revision.
    ReadRevision,
    /// Reads one record.
    Get(Key),
    /// Reads a page of the list of all records.
    List {
        /// The last path of the previous page, or empty for the first page.
        after: String,
    },
    /// Applies all writes atomically if all preconditions hold.
    Transaction {
        /// Keys, each with the revision that its record must have; 0 if there must be no record.
        preconditions: Vec<(Key, u64)>,
        /// The writes to apply.
        writes: Vec<Write>,
    },
    /// Creates a lease.
    GrantLease {
        /// Duration of the lease, in milliseconds.
        ttl_ms: u64,
    },
    /// Extends a lease by its duration.
    RenewLease(u64),
    /// Ends a lease at once. The store deletes the records that are attached to it.
    RevokeLease(u64),
    /// Waits for changes of any record, for at most [`WATCH_WAIT_MS`].
    Watch {
        /// The revision after which changes are requested.
        after: u64,
    },
}

/// An entry of a page or a change: key, revision, and the record, or `None` if it was deleted.
pub type Change = (Key, u64, Option<Record>);

/// The outcome of a request to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreResponse {
    /// The requested record exists.
    Found {
        /// The record.
        record: Record,
        /// The revision at which the record was written.
        revision: u64,
    },
    /// The requested record doesn't exist.
    Missing {
        /// The store's current revision.
        revision: u64,
    },
    /// A page of the list of all records.
    Page {
        /// The entries of the page. Entries that can't be parsed are left out.
        entries: Vec<Change>,
        /// The path of the last entry on the page, parsed or not; `None` if the page is empty.
        last: Option<String>,
        /// Whether there is another page.
        has_next: bool,
        /// The store's revision when it read the page.
        revision: u64,
    },
    /// The transaction was committed.
    Committed {
        /// The revision of the transaction.
        revision: u64,
    },
    /// The transaction wasn't committed, since preconditions don't hold.
    Conflict {
        /// The keys whose preconditions don't hold.
        failed: Vec<Key>,
    },
    /// The lease with this id was created.
    LeaseGranted(u64),
    /// The lease was renewed or revoked.
    LeaseRenewed,
    /// The changes since the requested revision, possibly none.
    Changes {
        /// The revision up to which the changes are complete.
        revision: u64,
        /// The changes in order. Changes that can't be parsed are left out.
        changes: Vec<Change>,
    },
    /// 410: the store no longer keeps the changes since the requested revision.
    Compacted,
    /// The lease has ended.
    LeaseNotFound,
    /// 400: the transaction wasn't executed, since it exceeds a size limit. A retry of the same
    /// transaction would fail again.
    Rejected,
    /// 429 or 503: the request wasn't executed.
    Refused,
    /// No response arrived. The request may have been executed, or may still be executed.
    NoResponse,
    /// The response has an unexpected status, or a body that can't be read.
    Malformed,
}

/// Maximum time that the store holds a watch without changes, in milliseconds.
pub const WATCH_WAIT_MS: u64 = 10_000;
/// Maximum number of records on one page.
const PAGE_RECORDS_MAX: usize = 500;
/// The `error` in the body of a 400 to a transaction that attaches a record to an ended lease.
const NO_LEASE_ERROR: &str = "no such lease";

#[derive(Serialize)]
struct TransactionBody {
    #[serde(rename = "when")]
    preconditions: Vec<PreconditionBody>,
    writes: Vec<WriteBody>,
}

#[derive(Serialize)]
struct PreconditionBody {
    path: String,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum WriteBody {
    Put {
        #[serde(rename = "write")]
        path: String,
        data: Value,
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        path: String,
    },
}

#[derive(Serialize)]
struct GrantLeaseBody {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

/// Returns the stored form of a record.
pub fn record_to_value(record: &Record) -> Value {
    let value = match record {
        Record::Leader(record) => Value::serialized(record),
        Record::FencingToken(record) => Value::serialized(record),
        Record::Plan(record) => Value::serialized(record),
        Record::Shard(record) => Value::serialized(record),
        Record::Limits(LimitsRecord::Teams(teams)) => Value::serialized(&LimitsBody {
            teams: teams.clone(),
        }),
        Record::Limits(LimitsRecord::Unreadable(_)) => Ok(Value::Null),
        Record::Cell(record) => Value::serialized(record),
        Record::CellLink(record) => Value::serialized(record),
        Record::StatusAge(record) => Value::serialized(record),
        Record::Job(record) => Value::serialized(record),
        Record::Placements(record) => Value::serialized(record),
        Record::End(record) => Value::serialized(record),
    };
    value.unwrap_or(Value::Null)
}

/// Parses the stored form of a record. The key determines the type of the record.
fn parse_record(key: &Key, data: Value) -> Option<Record> {
    match key {
        Key::Leader => data.deserialized().ok().map(Record::Leader),
        Key::FencingToken => data.deserialized().ok().map(Record::FencingToken),
        Key::Plan => data.deserialized().ok().map(Record::Plan),
        Key::Shard(_) => data.deserialized().ok().map(Record::Shard),
        Key::Cell => data
            .deserialized()
            .ok()
            .map(|record| Record::Cell(Box::new(record))),
        Key::CellLink(_) => data.deserialized().ok().map(Record::CellLink),
        Key::StatusAge(_) => data.deserialized().ok().map(Record::StatusAge),
        // Operators write this record, so a form that can't be parsed has to be reported.
        Key::Limits => Some(Record::Limits(parse_limits(&data))),
        Key::Job(_) => data
            .deserialized()
            .ok()
            .map(|record| Record::Job(Box::new(record))),
        Key::Placements(..) => data.deserialized().ok().map(Record::Placements),
        Key::End(_) => data.deserialized().ok().map(Record::End),
    }
}

/// The team limits that operators write: CPUs and GPUs by team.
#[derive(Serialize)]
struct LimitsBody {
    teams: LimitsByTeam,
}

#[derive(Deserialize)]
struct ParsedLimitsBody {
    teams: BTreeMap<String, (Num, Num)>,
}

fn parse_limits(data: &Value) -> LimitsRecord {
    match data.deserialized::<ParsedLimitsBody>() {
        Ok(body) => {
            let teams = body.teams.into_iter();
            let teams = teams.map(|(team, (cpus, gpus))| (team, (cpus.0, gpus.0)));
            LimitsRecord::Teams(teams.collect())
        }
        Err(error) => LimitsRecord::Unreadable(error.to_string()),
    }
}

impl StoreRequest {
    /// Returns the HTTP request.
    pub fn to_call(&self) -> Call {
        match self {
            Self::ReadRevision => Call::get(format!("/keys/{PREFIX}none")),
            Self::Get(key) => Call::get(format!("/keys/{key}")),
            Self::List { after } => Call::get(format!(
                "/keys?prefix={PREFIX}&after={after}&limit={PAGE_RECORDS_MAX}"
            )),
            Self::Transaction {
                preconditions,
                writes,
            } => Call::post("/commit", transaction_body(preconditions, writes)),
            Self::GrantLease { ttl_ms } => {
                Call::post("/grants", encode(&GrantLeaseBody { ttl_ms: *ttl_ms }))
            }
            Self::RenewLease(lease_id) => {
                Call::post(format!("/grants/{lease_id}/extend"), Vec::new())
            }
            Self::RevokeLease(lease_id) => Call::delete(format!("/grants/{lease_id}")),
            Self::Watch { after } => Call::get(format!(
                "/follow?prefix={PREFIX}&after={after}&blockMs={WATCH_WAIT_MS}"
            )),
        }
    }

    /// Interprets the HTTP response to this request. A response with an unexpected status or body
    /// gives [`StoreResponse::Malformed`].
    pub fn parse_response(&self, status: u16, body: &[u8]) -> StoreResponse {
        if status == 429 || status == 503 {
            return StoreResponse::Refused;
        }
        let response = match (self, status) {
            (Self::ReadRevision | Self::Get(_), 404) => {
                decode(body).map(|body: RevisionBody| StoreResponse::Missing {
                    revision: body.revision,
                })
            }
            (Self::Get(key), 200) => parse_entry(key, body),
            (Self::List { .. }, 200) => parse_page(body),
            (Self::Transaction { .. }, 200) => {
                decode(body).map(|body: RevisionBody| StoreResponse::Committed {
                    revision: body.revision,
                })
            }
            (Self::Transaction { .. }, 409) => parse_conflict(body),
            (Self::Transaction { .. }, 400) => Some(parse_rejection(body)),
            (Self::GrantLease { .. }, 200) => {
                decode(body).map(|body: LeaseBody| StoreResponse::LeaseGranted(body.lease_id))
            }
            (Self::RenewLease(_) | Self::RevokeLease(_), 200..=204) => {
                Some(StoreResponse::LeaseRenewed)
            }
            (Self::RenewLease(_) | Self::RevokeLease(_), 404) => Some(StoreResponse::LeaseNotFound),
            (Self::Watch { .. }, 200) => parse_changes(body),
            (Self::Watch { .. }, 410) => Some(StoreResponse::Compacted),
            _ => None,
        };
        response.unwrap_or(StoreResponse::Malformed)
    }
}

fn transaction_body(preconditions: &[(Key, u64)], writes: &[Write]) -> Vec<u8> {
    let preconditions = preconditions
        .iter()
        .map(|(key, revision)| PreconditionBody {
            path: key.to_string(),
            revision: *revision,
        });
    encode(&TransactionBody {
        preconditions: preconditions.collect(),
        writes: writes.iter().map(WriteBody::from).collect(),
    })
}

impl From<&Write> for WriteBody {
    fn from(write: &Write) -> Self {
        match write {
            Write::Put {
                key,
                record,
                lease_id,
            } => Self::Put {
                path: key.to_string(),
                data: record_to_value(record),
                lease_id: *lease_id,
            },
            Write::Delete { key } => Self::Delete {
                path: key.to_string(),
            },
        }
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: String,
}

#[derive(Deserialize)]
struct RevisionBody {
    #[serde(rename = "ledger")]
    revision: u64,
}

#[derive(Deserialize)]
struct LeaseBody {
    #[serde(rename = "hold")]
    lease_id: u64,
}

#[derive(Deserialize)]
struct ConflictBody {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct EntryBody {
    data: Value,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Deserialize)]
struct PageEntry {
    path: String,
    data: Value,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Deserialize)]
struct PageBody {
    entries: Vec<PageEntry>,
    #[serde(rename = "hasNext", default)]
    has_next: bool,
    #[serde(rename = "ledger")]
    revision: u64,
}

#[derive(Deserialize)]
struct ChangeEntry {
    #[serde(rename = "write", default)]
    written: Option<String>,
    #[serde(rename = "delete", default)]
    deleted: Option<String>,
    #[serde(default)]
    data: Option<Value>,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Deserialize)]
struct ChangesBody {
    #[serde(rename = "ledger")]
    revision: u64,
    #[serde(rename = "news", default)]
    changes: Vec<ChangeEntry>,
}

fn parse_entry(key: &Key, body: &[u8]) -> Option<StoreResponse> {
    let body: EntryBody = decode(body)?;
    Some(StoreResponse::Found {
        record: parse_record(key, body.data)?,
        revision: body.revision,
    })
}

fn parse_conflict(body: &[u8]) -> Option<StoreResponse> {
    let body: ConflictBody = decode(body)?;
    let failed = body.failed.iter().filter_map(|path| Key::parse(path));
    Some(StoreResponse::Conflict {
        failed: failed.collect(),
    })
}

/// Returns the reason for a 400 to a transaction: an ended lease, or otherwise an exceeded size
/// limit.
fn parse_rejection(body: &[u8]) -> StoreResponse {
    match decode(body) {
        Some(ErrorBody { error }) if error == NO_LEASE_ERROR => StoreResponse::LeaseNotFound,
        _ => StoreResponse::Rejected,
    }
}

fn parse_page(body: &[u8]) -> Option<StoreResponse> {
    let body: PageBody = decode(body)?;
    let last = body.entries.last().map(|entry| entry.path.clone());
    let entries = body.entries.into_iter().filter_map(|entry| {
        let key = Key::parse(&entry.path)?;
        let record = parse_record(&key, entry.data)?;
        Some((key, entry.revision, Some(record)))
    });
    Some(StoreResponse::Page {
        entries: entries.collect(),
        last,
        has_next: body.has_next,
        revision: body.revision,
    })
}

fn parse_changes(body: &[u8]) -> Option<StoreResponse> {
    let body: ChangesBody = decode(body)?;
    let changes = body.changes.into_iter().filter_map(ChangeEntry::parse);
    Some(StoreResponse::Changes {
        revision: body.revision,
        changes: changes.collect(),
    })
}

impl ChangeEntry {
    /// Returns the change, or `None` if its key or record can't be parsed.
    fn parse(self) -> Option<Change> {
        if let Some(path) = self.written {
            let key = Key::parse(&path)?;
            let record = parse_record(&key, self.data?)?;
            return Some((key, self.revision, Some(record)));
        }
        let key = Key::parse(&self.deleted?)?;
        Some((key, self.revision, None))
    }
}
