//! Calls to the state service and its answers.

use crate::controller::store::records::{Key, LimitsByTeam, LimitsRec, PREFIX, Record};
use crate::wire::{Call, Num, decode, encode, get};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    Put {
        key: Key,
        record: Record,
        hold: Option<u64>,
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
            hold: None,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum StateOp {
    /// Reads a key that never exists: the answer is the present revision.
    Fresh,
    Get(Key),
    List {
        after: String,
    },
    Commit {
        when: Vec<(Key, u64)>,
        writes: Vec<Write>,
    },
    Grant {
        ttl_ms: u64,
    },
    Extend(u64),
    /// Ends a grant now, and with it the keys that hang on it.
    Release(u64),
    Follow {
        after: u64,
    },
}

/// One entry or change, with what could be read of it.
pub type Change = (Key, u64, Option<Record>);

#[derive(Clone, Debug, PartialEq)]
pub enum StateReply {
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
    Granted(u64),
    Extended,
    News {
        revision: u64,
        news: Vec<Change>,
    },
    /// 410: too old to follow from.
    TooOld,
    /// A grant that is over.
    NoGrant,
    /// 400: not executed, and never will be as it is: beyond a limit of size.
    Rejected,
    /// 429 or 503: not executed.
    Refused,
    /// No answer: may have been executed, or may be yet.
    NoAnswer,
    /// An answer that makes no sense.
    Strange,
}

/// How long the state service lets a follow wait, and a page's size.
pub const FOLLOW_MS: u64 = 10_000;
const PAGE: usize = 500;

#[derive(Serialize)]
struct CommitBody {
    when: Vec<WhenBody>,
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
        #[serde(skip_serializing_if = "Option::is_none")]
        hold: Option<u64>,
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

/// A record as the state service keeps it.
pub fn record_value(record: &Record) -> Value {
    let value = match record {
        Record::Leader(r) => Value::serialized(r),
        Record::Number(r) => Value::serialized(r),
        Record::Plan(r) => Value::serialized(r),
        Record::Block(r) => Value::serialized(r),
        Record::Limits(LimitsRec::Teams(teams)) => Value::serialized(&LimitsBody {
            teams: teams.clone(),
        }),
        Record::Limits(LimitsRec::Unreadable(_)) => Ok(Value::Null),
        Record::Cell(r) => Value::serialized(r),
        Record::CellLink(r) => Value::serialized(r),
        Record::Job(r) => Value::serialized(r),
        Record::Run(r) => Value::serialized(r),
        Record::End(r) => Value::serialized(r),
    };
    value.unwrap_or(Value::Null)
}

/// Reads a record back; the key says what it is.
fn record_from(key: &Key, data: Value) -> Option<Record> {
    match key {
        Key::Leader => data.deserialized().ok().map(Record::Leader),
        Key::Number => data.deserialized().ok().map(Record::Number),
        Key::Plan => data.deserialized().ok().map(Record::Plan),
        Key::Block(_) => data.deserialized().ok().map(Record::Block),
        Key::Cell => data.deserialized().ok().map(|r| Record::Cell(Box::new(r))),
        Key::CellLink(_) => data.deserialized().ok().map(Record::CellLink),
        // Operators write it: what can't be read has to be seen, and told.
        Key::Limits => Some(Record::Limits(read_limits(&data))),
        Key::Job(_) => data.deserialized().ok().map(|r| Record::Job(Box::new(r))),
        Key::Run(..) => data.deserialized().ok().map(Record::Run),
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

fn read_limits(data: &Value) -> LimitsRec {
    match data.deserialized::<LimitsRead>() {
        Ok(body) => {
            let teams = body.teams.into_iter();
            LimitsRec::Teams(teams.map(|(team, (c, g))| (team, (c.0, g.0))).collect())
        }
        Err(e) => LimitsRec::Unreadable(e.to_string()),
    }
}

impl StateOp {
    pub fn call(&self) -> Call {
        let post = |path: String, body| Call {
            method: "POST",
            path,
            body: Some(body),
        };
        match self {
            Self::Fresh => get(format!("/keys/{PREFIX}none")),
            Self::Get(key) => get(format!("/keys/{key}")),
            Self::List { after } => {
                get(format!("/keys?prefix={PREFIX}&after={after}&limit={PAGE}"))
            }
            Self::Commit { when, writes } => post("/commit".into(), commit_body(when, writes)),
            Self::Grant { ttl_ms } => {
                post("/grants".into(), encode(&GrantBody { ttl_ms: *ttl_ms }))
            }
            Self::Extend(hold) => post(format!("/grants/{hold}/extend"), Vec::new()),
            Self::Release(hold) => Call {
                method: "DELETE",
                path: format!("/grants/{hold}"),
                body: None,
            },
            Self::Follow { after } => get(format!(
                "/follow?prefix={PREFIX}&after={after}&blockMs={FOLLOW_MS}"
            )),
        }
    }

    /// Makes sense of the answer to this request.
    pub fn reply(&self, status: u16, body: &[u8]) -> StateReply {
        if status == 429 || status == 503 {
            return StateReply::Refused;
        }
        let read = match (self, status) {
            (Self::Fresh | Self::Get(_), 404) => {
                decode::<RevisionBody>(body).map(|b| StateReply::Missing {
                    revision: b.revision,
                })
            }
            (Self::Get(key), 200) => decode::<EntryBody>(body).and_then(|b| {
                let record = record_from(key, b.data)?;
                Some(StateReply::Found {
                    record,
                    revision: b.revision,
                })
            }),
            (Self::List { .. }, 200) => decode::<PageBody>(body).map(page),
            (Self::Commit { .. }, 200) => {
                decode::<RevisionBody>(body).map(|b| StateReply::Committed {
                    revision: b.revision,
                })
            }
            (Self::Commit { .. }, 409) => {
                decode::<ConflictBody>(body).map(|b| StateReply::Conflict {
                    failed: b.failed.iter().filter_map(|p| Key::parse(p)).collect(),
                })
            }
            (Self::Commit { .. }, 400) => Some(rejected(body)),
            (Self::Grant { .. }, 200) => {
                decode::<HoldBody>(body).map(|b| StateReply::Granted(b.hold))
            }
            (Self::Extend(_) | Self::Release(_), 200..=204) => Some(StateReply::Extended),
            (Self::Extend(_) | Self::Release(_), 404) => Some(StateReply::NoGrant),
            (Self::Follow { .. }, 200) => decode::<NewsBody>(body).map(news),
            (Self::Follow { .. }, 410) => Some(StateReply::TooOld),
            _ => None,
        };
        read.unwrap_or(StateReply::Strange)
    }
}

fn commit_body(when: &[(Key, u64)], writes: &[Write]) -> Vec<u8> {
    let when = when.iter().map(|(key, revision)| WhenBody {
        path: key.to_string(),
        revision: *revision,
    });
    let writes = writes.iter().map(|w| match w {
        Write::Put { key, record, hold } => WriteBody::Put {
            write: key.to_string(),
            data: record_value(record),
            hold: *hold,
        },
        Write::Delete { key } => WriteBody::Delete {
            delete: key.to_string(),
        },
    });
    encode(&CommitBody {
        when: when.collect(),
        writes: writes.collect(),
    })
}

/// What a 400 to a transaction says: a lease is over, or a limit of size is passed.
fn rejected(body: &[u8]) -> StateReply {
    match decode::<ErrorBody>(body) {
        Some(body) if body.error == NO_LEASE => StateReply::NoGrant,
        _ => StateReply::Rejected,
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
    hold: u64,
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

fn page(body: PageBody) -> StateReply {
    let last = body.entries.last().map(|e| e.path.clone());
    let entries = body.entries.into_iter().filter_map(|e| {
        let key = Key::parse(&e.path)?;
        let record = record_from(&key, e.data)?;
        Some((key, e.revision, Some(record)))
    });
    StateReply::Page {
        entries: entries.collect(),
        last,
        more: body.has_next,
        revision: body.revision,
    }
}

fn news(body: NewsBody) -> StateReply {
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
    StateReply::News {
        revision: body.revision,
        news: news.collect(),
    }
}
