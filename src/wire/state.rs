//! Calls to the store and its answers.

use crate::controller::store::records::{Key, LimitsByTeam, LimitsRecord, PREFIX, Record};
use crate::wire::{Call, Num, decode, encode, get};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    Put {
        key: Key,
        record: Record,
        lease_id: Option<u64>,
    },
    Delete {
        key: Key,
    },
}

impl Write {
    pub fn put(key: Key, record: Record) -> Self {
        Self::Put {
            key,
            record,
            lease_id: None,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads a key that never exists: the answer is the present revision.
    ReadRevision,
    Get(Key),
    List {
        after: String,
    },
    Transaction {
        preconditions: Vec<(Key, u64)>,
        writes: Vec<Write>,
    },
    GrantLease {
        ttl_ms: u64,
    },
    RenewLease(u64),
    /// Ends a lease now, and with it the keys that hang on it.
    RevokeLease(u64),
    Watch {
        after: u64,
    },
}

/// One entry or change, with what could be read of it.
pub type Change = (Key, u64, Option<Record>);

#[derive(Clone, Debug, PartialEq)]
pub enum StoreResponse {
    Found {
        record: Record,
        revision: u64,
    },
    Missing {
        revision: u64,
    },
    Page {
        entries: Vec<Change>,
        last: Option<String>,
        more: bool,
        revision: u64,
    },
    Committed {
        revision: u64,
    },
    Conflict {
        failed: Vec<Key>,
    },
    LeaseGranted(u64),
    LeaseRenewed,
    Changes {
        revision: u64,
        news: Vec<Change>,
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

/// How long the store lets a watch wait, and a page's size.
pub const WATCH_MS: u64 = 10_000;
const PAGE: usize = 500;

#[derive(Serialize)]
struct CommitBody {
    #[serde(rename = "when")]
    preconditions: Vec<WhenBody>,
    writes: Vec<WriteBody>,
}

#[derive(Serialize)]
struct WhenBody {
    path: String,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum WriteBody {
    Put {
        write: String,
        data: Value,
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    Delete {
        delete: String,
    },
}

#[derive(Serialize)]
struct GrantBody {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

/// A record as the store keeps it.
pub fn record_value(record: &Record) -> Value {
    let value = match record {
        Record::Leader(r) => Value::serialized(r),
        Record::FencingToken(r) => Value::serialized(r),
        Record::Plan(r) => Value::serialized(r),
        Record::Shard(r) => Value::serialized(r),
        Record::Limits(LimitsRecord::Teams(teams)) => Value::serialized(&LimitsBody {
            teams: teams.clone(),
        }),
        Record::Limits(LimitsRecord::Unreadable(_)) => Ok(Value::Null),
        Record::Cell(r) => Value::serialized(r),
        Record::CellLink(r) => Value::serialized(r),
        Record::Job(r) => Value::serialized(r),
        Record::Placements(r) => Value::serialized(r),
        Record::End(r) => Value::serialized(r),
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
        Key::Cell => data.deserialized().ok().map(|r| Record::Cell(Box::new(r))),
        Key::CellLink(_) => data.deserialized().ok().map(Record::CellLink),
        // Operators write it: what can't be read has to be seen, and told.
        Key::Limits => Some(Record::Limits(read_limits(&data))),
        Key::Job(_) => data.deserialized().ok().map(|r| Record::Job(Box::new(r))),
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
            LimitsRecord::Teams(teams.map(|(team, (c, g))| (team, (c.0, g.0))).collect())
        }
        Err(e) => LimitsRecord::Unreadable(e.to_string()),
    }
}

impl StoreRequest {
    pub fn call(&self) -> Call {
        let post = |path: String, body| Call {
            method: "POST",
            path,
            body: Some(body),
        };
        match self {
            Self::ReadRevision => get(format!("/keys/{PREFIX}none")),
            Self::Get(key) => get(format!("/keys/{key}")),
            Self::List { after } => {
                get(format!("/keys?prefix={PREFIX}&after={after}&limit={PAGE}"))
            }
            Self::Transaction {
                preconditions,
                writes,
            } => post("/commit".into(), commit_body(preconditions, writes)),
            Self::GrantLease { ttl_ms } => {
                post("/grants".into(), encode(&GrantBody { ttl_ms: *ttl_ms }))
            }
            Self::RenewLease(lease_id) => post(format!("/grants/{lease_id}/extend"), Vec::new()),
            Self::RevokeLease(lease_id) => Call {
                method: "DELETE",
                path: format!("/grants/{lease_id}"),
                body: None,
            },
            Self::Watch { after } => get(format!(
                "/follow?prefix={PREFIX}&after={after}&blockMs={WATCH_MS}"
            )),
        }
    }

    /// Makes sense of the answer to this request.
    pub fn reply(&self, status: u16, body: &[u8]) -> StoreResponse {
        if status == 429 || status == 503 {
            return StoreResponse::Refused;
        }
        let read = match (self, status) {
            (Self::ReadRevision | Self::Get(_), 404) => {
                decode::<RevisionBody>(body).map(|b| StoreResponse::Missing {
                    revision: b.revision,
                })
            }
            (Self::Get(key), 200) => decode::<EntryBody>(body).and_then(|b| {
                let record = record_from(key, b.data)?;
                Some(StoreResponse::Found {
                    record,
                    revision: b.revision,
                })
            }),
            (Self::List { .. }, 200) => decode::<PageBody>(body).map(page),
            (Self::Transaction { .. }, 200) => {
                decode::<RevisionBody>(body).map(|b| StoreResponse::Committed {
                    revision: b.revision,
                })
            }
            (Self::Transaction { .. }, 409) => {
                decode::<ConflictBody>(body).map(|b| StoreResponse::Conflict {
                    failed: b.failed.iter().filter_map(|p| Key::parse(p)).collect(),
                })
            }
            (Self::Transaction { .. }, 400) => Some(rejected(body)),
            (Self::GrantLease { .. }, 200) => {
                decode::<HoldBody>(body).map(|b| StoreResponse::LeaseGranted(b.lease_id))
            }
            (Self::RenewLease(_) | Self::RevokeLease(_), 200..=204) => {
                Some(StoreResponse::LeaseRenewed)
            }
            (Self::RenewLease(_) | Self::RevokeLease(_), 404) => Some(StoreResponse::LeaseNotFound),
            (Self::Watch { .. }, 200) => decode::<NewsBody>(body).map(news),
            (Self::Watch { .. }, 410) => Some(StoreResponse::Compacted),
            _ => None,
        };
        read.unwrap_or(StoreResponse::Malformed)
    }
}

fn commit_body(preconditions: &[(Key, u64)], writes: &[Write]) -> Vec<u8> {
    let preconditions = preconditions.iter().map(|(key, revision)| WhenBody {
        path: key.to_string(),
        revision: *revision,
    });
    let writes = writes.iter().map(|w| match w {
        Write::Put {
            key,
            record,
            lease_id,
        } => WriteBody::Put {
            write: key.to_string(),
            data: record_value(record),
            lease_id: *lease_id,
        },
        Write::Delete { key } => WriteBody::Delete {
            delete: key.to_string(),
        },
    });
    encode(&CommitBody {
        preconditions: preconditions.collect(),
        writes: writes.collect(),
    })
}

/// What a 400 to a transaction says: a lease is over, or a limit of size is passed.
fn rejected(body: &[u8]) -> StoreResponse {
    match decode::<ErrorBody>(body) {
        Some(body) if body.error == NO_LEASE => StoreResponse::LeaseNotFound,
        _ => StoreResponse::Rejected,
    }
}

/// The error of a transaction that attaches a key to a lease which is over.
const NO_LEASE: &str = "no such lease";

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
struct HoldBody {
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
struct NewsEntry {
    #[serde(default)]
    write: Option<String>,
    #[serde(default)]
    delete: Option<String>,
    #[serde(default)]
    data: Option<Value>,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Deserialize)]
struct NewsBody {
    #[serde(rename = "ledger")]
    revision: u64,
    #[serde(default)]
    news: Vec<NewsEntry>,
}

fn page(body: PageBody) -> StoreResponse {
    let last = body.entries.last().map(|e| e.path.clone());
    let entries = body.entries.into_iter().filter_map(|e| {
        let key = Key::parse(&e.path)?;
        let record = record_from(&key, e.data)?;
        Some((key, e.revision, Some(record)))
    });
    StoreResponse::Page {
        entries: entries.collect(),
        last,
        more: body.has_next,
        revision: body.revision,
    }
}

fn news(body: NewsBody) -> StoreResponse {
    let news = body
        .news
        .into_iter()
        .filter_map(|e| match (e.write, e.delete) {
            (Some(path), _) => {
                let key = Key::parse(&path)?;
                let record = record_from(&key, e.data?)?;
                Some((key, e.revision, Some(record)))
            }
            (None, Some(path)) => Some((Key::parse(&path)?, e.revision, None)),
            (None, None) => None,
        });
    StoreResponse::Changes {
        revision: body.revision,
        news: news.collect(),
    }
}
