//! Requests to the store and its responses.

use crate::controller::store::records::{Key, LimitsByTeam, LimitsRecord, PREFIX, Record};
use crate::wire::{Call, Num, decode, encode};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One change that a transaction makes.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Write a record.
    Put {
        /// Where.
        key: Key,
        /// What.
        record: Record,
        /// The lease with which the record ends, if it ends with one.
        lease_id: Option<u64>,
    },
    /// Delete a record.
    Delete {
        /// Which.
        key: Key,
    },
}

impl Write {
    /// Writes a record that ends with no lease.
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
    /// Reads a key that never exists: the answer is the present revision.
    ReadRevision,
    /// Reads one record.
    Get(Key),
    /// Reads a page of all records.
    List {
        /// The last path of the page before; empty for the first page.
        after: String,
    },
    /// Makes all writes at once, if all preconditions hold.
    Transaction {
        /// Records, and the revision that each must have; 0 for one that must not exist.
        preconditions: Vec<(Key, u64)>,
        /// The changes.
        writes: Vec<Write>,
    },
    /// Begins a lease.
    GrantLease {
        /// Its life, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    RenewLease(u64),
    /// Ends a lease now, and with it the records that hang on it.
    RevokeLease(u64),
    /// Waits for changes.
    Watch {
        /// The revision after which changes are wanted.
        after: u64,
    },
}

/// One entry or change: its key, its revision, and the record unless it was deleted.
pub type Change = (Key, u64, Option<Record>);

/// What the store answered.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreResponse {
    /// A record.
    Found {
        /// The record.
        record: Record,
        /// The revision at which it was written.
        revision: u64,
    },
    /// There is no such record.
    Missing {
        /// The present revision.
        revision: u64,
    },
    /// A page of all records.
    Page {
        /// The records on it that could be read.
        entries: Vec<Change>,
        /// The path of the last one; nothing on an empty page.
        last: Option<String>,
        /// Whether there is another page.
        has_next: bool,
        /// The revision that the page shows.
        revision: u64,
    },
    /// A transaction was made.
    Committed {
        /// Its revision.
        revision: u64,
    },
    /// A transaction wasn't made: preconditions don't hold.
    Conflict {
        /// The records whose preconditions don't hold.
        failed: Vec<Key>,
    },
    /// A lease began.
    LeaseGranted(u64),
    /// A lease was renewed or revoked.
    LeaseRenewed,
    /// Changes, possibly none.
    Changes {
        /// The revision up to which these are all.
        revision: u64,
        /// The changes that could be read.
        changes: Vec<Change>,
    },
    /// 410: too old to follow from.
    Compacted,
    /// A lease that is over.
    LeaseNotFound,
    /// 400: not executed, and never will be as it is: beyond a limit of size.
    Rejected,
    /// 429 or 503: not executed.
    Refused,
    /// No answer: may have been executed, or may be yet.
    NoResponse,
    /// An answer that makes no sense.
    Malformed,
}

/// How long the store lets a watch wait.
pub const WATCH_MS: u64 = 10_000;
/// Most records on one page.
const PAGE_LIMIT: usize = 500;
/// The error of a transaction that attaches a record to a lease which is over.
const NO_LEASE: &str = "no such lease";

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

/// A record as the store keeps it.
pub fn record_value(record: &Record) -> Value {
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
        Record::Job(record) => Value::serialized(record),
        Record::Placements(record) => Value::serialized(record),
        Record::End(record) => Value::serialized(record),
    };
    value.unwrap_or(Value::Null)
}

/// Reads a record back; the key says what it is.
fn record_from(key: &Key, data: Value) -> Option<Record> {
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
        // Operators write it: what can't be read has to show.
        Key::Limits => Some(Record::Limits(read_limits(&data))),
        Key::Job(_) => data
            .deserialized()
            .ok()
            .map(|record| Record::Job(Box::new(record))),
        Key::Placements(..) => data.deserialized().ok().map(Record::Placements),
        Key::End(_) => data.deserialized().ok().map(Record::End),
    }
}

/// Team limits as operators write them: CPUs and GPUs of each team.
#[derive(Serialize)]
struct LimitsBody {
    teams: LimitsByTeam,
}

#[derive(Deserialize)]
struct LimitsRead {
    teams: BTreeMap<String, (Num, Num)>,
}

fn read_limits(data: &Value) -> LimitsRecord {
    match data.deserialized::<LimitsRead>() {
        Ok(body) => {
            let teams = body.teams.into_iter();
            let teams = teams.map(|(team, (cpus, gpus))| (team, (cpus.0, gpus.0)));
            LimitsRecord::Teams(teams.collect())
        }
        Err(error) => LimitsRecord::Unreadable(error.to_string()),
    }
}

impl StoreRequest {
    /// The request as it goes onto the wire.
    pub fn to_call(&self) -> Call {
        match self {
            Self::ReadRevision => Call::get(format!("/keys/{PREFIX}none")),
            Self::Get(key) => Call::get(format!("/keys/{key}")),
            Self::List { after } => Call::get(format!(
                "/keys?prefix={PREFIX}&after={after}&limit={PAGE_LIMIT}"
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
                "/follow?prefix={PREFIX}&after={after}&blockMs={WATCH_MS}"
            )),
        }
    }

    /// Makes sense of the answer to this request.
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
            (Self::Get(key), 200) => read_entry(key, body),
            (Self::List { .. }, 200) => read_page(body),
            (Self::Transaction { .. }, 200) => {
                decode(body).map(|body: RevisionBody| StoreResponse::Committed {
                    revision: body.revision,
                })
            }
            (Self::Transaction { .. }, 409) => read_conflict(body),
            (Self::Transaction { .. }, 400) => Some(read_rejection(body)),
            (Self::GrantLease { .. }, 200) => {
                decode(body).map(|body: LeaseBody| StoreResponse::LeaseGranted(body.lease_id))
            }
            (Self::RenewLease(_) | Self::RevokeLease(_), 200..=204) => {
                Some(StoreResponse::LeaseRenewed)
            }
            (Self::RenewLease(_) | Self::RevokeLease(_), 404) => Some(StoreResponse::LeaseNotFound),
            (Self::Watch { .. }, 200) => read_changes(body),
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
                data: record_value(record),
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

fn read_entry(key: &Key, body: &[u8]) -> Option<StoreResponse> {
    let body: EntryBody = decode(body)?;
    Some(StoreResponse::Found {
        record: record_from(key, body.data)?,
        revision: body.revision,
    })
}

fn read_conflict(body: &[u8]) -> Option<StoreResponse> {
    let body: ConflictBody = decode(body)?;
    let failed = body.failed.iter().filter_map(|path| Key::parse(path));
    Some(StoreResponse::Conflict {
        failed: failed.collect(),
    })
}

/// What a 400 to a transaction says: a lease is over, or a limit of size is passed.
fn read_rejection(body: &[u8]) -> StoreResponse {
    match decode(body) {
        Some(ErrorBody { error }) if error == NO_LEASE => StoreResponse::LeaseNotFound,
        _ => StoreResponse::Rejected,
    }
}

fn read_page(body: &[u8]) -> Option<StoreResponse> {
    let body: PageBody = decode(body)?;
    let last = body.entries.last().map(|entry| entry.path.clone());
    let entries = body.entries.into_iter().filter_map(|entry| {
        let key = Key::parse(&entry.path)?;
        let record = record_from(&key, entry.data)?;
        Some((key, entry.revision, Some(record)))
    });
    Some(StoreResponse::Page {
        entries: entries.collect(),
        last,
        has_next: body.has_next,
        revision: body.revision,
    })
}

fn read_changes(body: &[u8]) -> Option<StoreResponse> {
    let body: ChangesBody = decode(body)?;
    let changes = body.changes.into_iter().filter_map(ChangeEntry::read);
    Some(StoreResponse::Changes {
        revision: body.revision,
        changes: changes.collect(),
    })
}

impl ChangeEntry {
    /// The change; nothing if it can't be read.
    fn read(self) -> Option<Change> {
        if let Some(path) = self.written {
            let key = Key::parse(&path)?;
            let record = record_from(&key, self.data?)?;
            return Some((key, self.revision, Some(record)));
        }
        let key = Key::parse(&self.deleted?)?;
        Some((key, self.revision, None))
    }
}
