//! The store over HTTP: the shared store behind the protocol's requests and limits.

use crate::experiment::Service;
use ciborium::Value;
use salttrestle::controller::store::records::LimitsByTeam;
use salttrestle::http::Message;
use salttrestle::wire;
use salttrestle_fakes::rate::RateLimit;
use salttrestle_fakes::store::{CommitOutcome, Store, Write};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Changes that are kept for those who follow.
const KEPT: usize = 10_000;
/// Most entries of one page.
const PAGE_MAX: usize = 1_000;
/// Longest wait of a watch, in milliseconds.
const FOLLOW_MAX_MS: u64 = 60_000;

/// What the store was asked, and what it carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateCounts {
    /// Requests of every kind.
    pub requests: u64,
    /// Follows among them.
    pub follows: u64,
    /// Transactions carried out.
    pub commits: u64,
    /// Puts and deletes carried out.
    pub changes: u64,
    /// Transactions whose conditions failed.
    pub conflicts: u64,
    /// Requests refused for a rate or a size.
    pub refused: u64,
}

impl StateCounts {
    /// What was added since an earlier count.
    pub fn since(self, earlier: StateCounts) -> StateCounts {
        StateCounts {
            requests: self.requests - earlier.requests,
            follows: self.follows - earlier.follows,
            commits: self.commits - earlier.commits,
            changes: self.changes - earlier.changes,
            conflicts: self.conflicts - earlier.conflicts,
            refused: self.refused - earlier.refused,
        }
    }
}

/// A status and a body.
pub type Answer = (u16, Vec<u8>);

struct Waiter {
    connection: usize,
    prefix: String,
    after: u64,
    until_ms: u64,
}

/// The store of one cell.
pub struct StateService {
    store: Store<Rc<Value>>,
    requests: RateLimit,
    changes: RateLimit,
    value_bytes: usize,
    txn_ops: usize,
    waiters: Vec<Waiter>,
    outage: bool,
    /// What it has done so far.
    pub counts: StateCounts,
    /// The records that are watched and were written since they were last taken.
    written: Vec<(String, Rc<Value>)>,
}

/// Records that say what teams may use.
pub const BLOCK: &str = "s/own/block/0";
pub const CELL: &str = "s/own/cell";
pub const LEADER: &str = "s/own/leader";
pub const RUNS: &str = "s/run/";

fn watched(path: &str) -> bool {
    [BLOCK, CELL, LEADER].contains(&path) || path.starts_with(RUNS)
}
/// What operators write of limits.
const LIMITS: &str = "s/own/limits";

#[derive(Serialize)]
struct LimitsBody<'a> {
    teams: &'a LimitsByTeam,
}

#[derive(Deserialize)]
struct CommitBody {
    #[serde(default)]
    when: Vec<ConditionBody>,
    #[serde(default)]
    writes: Vec<WriteBody>,
}

#[derive(Deserialize)]
struct ConditionBody {
    path: String,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Deserialize)]
struct WriteBody {
    write: Option<String>,
    data: Option<Value>,
    #[serde(rename = "hold")]
    lease: Option<u64>,
    delete: Option<String>,
}

#[derive(Deserialize)]
struct GrantBody {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

#[derive(Serialize)]
struct RevisionBody {
    #[serde(rename = "ledger")]
    revision: u64,
}

#[derive(Serialize)]
struct ConflictBody {
    failed: Vec<String>,
    #[serde(rename = "ledger")]
    revision: u64,
}

#[derive(Serialize)]
struct LeaseBody {
    #[serde(rename = "hold")]
    lease: u64,
}

#[derive(Serialize)]
struct EntryBody<'a> {
    path: &'a str,
    data: &'a Value,
    #[serde(rename = "mark")]
    revision: u64,
}

#[derive(Serialize)]
struct PageBody<'a> {
    entries: Vec<EntryBody<'a>>,
    #[serde(rename = "hasNext")]
    has_next: bool,
    #[serde(rename = "ledger")]
    revision: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum ChangeBody<'a> {
    Write {
        write: &'a str,
        data: &'a Value,
        #[serde(rename = "mark")]
        revision: u64,
    },
    Delete {
        delete: &'a str,
        #[serde(rename = "mark")]
        revision: u64,
    },
}

#[derive(Serialize)]
struct NewsBody<'a> {
    #[serde(rename = "ledger")]
    revision: u64,
    news: Vec<ChangeBody<'a>>,
}

fn error(status: u16, why: &str) -> Answer {
    (status, wire::error_body(why))
}

/// One of the parameters behind a path's question mark.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&');
    pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn number(query: &str, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}

impl StateService {
    /// An empty store.
    pub fn new(service: &Service) -> Self {
        Self {
            store: Store::new(KEPT),
            requests: RateLimit::new(0, service.store_rps),
            changes: RateLimit::new(0, service.store_write_rps),
            value_bytes: (service.store_value_kb * 1024.0) as usize,
            txn_ops: service.store_txn_ops,
            waiters: Vec::new(),
            outage: false,
            counts: StateCounts::default(),
            written: Vec::new(),
        }
    }

    /// Operators set limits.
    pub fn set_limits(&mut self, teams: &LimitsByTeam) {
        let value = Value::serialized(&LimitsBody { teams }).unwrap_or(Value::Null);
        let write = Write::Put {
            path: LIMITS.into(),
            value: Rc::new(value),
            lease: None,
        };
        self.store.commit(&[], vec![write]);
    }

    /// The records that are watched and were written since they were last taken.
    pub fn take_written(&mut self) -> Vec<(String, Rc<Value>)> {
        std::mem::take(&mut self.written)
    }

    /// Begins or ends an outage.
    pub fn set_outage(&mut self, now: u64, outage: bool) {
        if self.outage && !outage {
            self.store.renew_all(now);
        }
        self.outage = outage;
    }

    /// Executes a request; `None` for a watch that has to wait.
    pub fn execute(&mut self, now: u64, connection: usize, request: &Message) -> Option<Answer> {
        self.counts.requests += 1;
        let (path, query) = match request.start[1].split_once('?') {
            Some((path, query)) => (path, query),
            None => (request.start[1].as_str(), ""),
        };
        if path == "/follow" {
            return self.follow(now, connection, query);
        }
        if self.outage {
            return Some(error(503, "trouble"));
        }
        if !self.requests.take(now, 1.0) {
            self.counts.refused += 1;
            return Some(error(429, "too many requests"));
        }
        self.store.expire(now);
        let answer = match (request.start[0].as_str(), path) {
            ("GET", "/keys") => self.list(query),
            ("GET", path) => self.get(path.strip_prefix("/keys/").unwrap_or("")),
            ("POST", "/commit") => self.commit(now, &request.body),
            ("POST", "/grants") => self.grant(now, &request.body),
            (method, path) => self.lease(now, method, path),
        };
        Some(answer)
    }

    fn get(&self, key: &str) -> Answer {
        let revision = self.store.revision;
        match self.store.entries.get(key) {
            Some(entry) => {
                let body = EntryBody {
                    path: key,
                    data: &entry.value,
                    revision: entry.revision,
                };
                (200, wire::encode(&body))
            }
            None => (404, wire::encode(&RevisionBody { revision })),
        }
    }

    fn list(&self, query: &str) -> Answer {
        let prefix = parameter(query, "prefix").unwrap_or("");
        let after = parameter(query, "after").unwrap_or("");
        let limit = number(query, "limit").map_or(PAGE_MAX, |n| (n as usize).min(PAGE_MAX));
        let (page, has_next) = self.store.list(prefix, after, limit);
        let entries = page.iter().map(|(path, entry)| EntryBody {
            path,
            data: &entry.value,
            revision: entry.revision,
        });
        let body = PageBody {
            entries: entries.collect(),
            has_next,
            revision: self.store.revision,
        };
        (200, wire::encode(&body))
    }

    fn commit(&mut self, now: u64, body: &[u8]) -> Answer {
        let Some(body) = wire::decode::<CommitBody>(body) else {
            return error(400, "malformed");
        };
        let operations = body.writes.len();
        if operations > self.txn_ops || body.when.len() > 4 * self.txn_ops {
            self.counts.refused += 1;
            return error(400, "too many operations");
        }
        if !self.changes.take(now, operations as f64) {
            self.counts.refused += 1;
            return error(429, "too many changes");
        }
        let mut writes = Vec::with_capacity(operations);
        for write in body.writes {
            match self.read_write(write) {
                Ok(write) => writes.push(write),
                Err(why) => {
                    self.counts.refused += 1;
                    return error(400, why);
                }
            }
        }
        let conditions = body.when.into_iter().map(|c| (c.path, c.revision));
        let conditions: Vec<(String, u64)> = conditions.collect();
        let noted = writes.iter().filter_map(|write| match write {
            Write::Put { path, value, .. } if watched(path) => Some((path.clone(), value.clone())),
            _ => None,
        });
        let noted: Vec<(String, Rc<Value>)> = noted.collect();
        match self.store.commit(&conditions, writes) {
            CommitOutcome::Committed(revision) => {
                self.written.extend(noted);
                self.counts.commits += 1;
                self.counts.changes += operations as u64;
                self.store.compact();
                (200, wire::encode(&RevisionBody { revision }))
            }
            CommitOutcome::Conflict(failed) => {
                self.counts.conflicts += 1;
                let revision = self.store.revision;
                (409, wire::encode(&ConflictBody { failed, revision }))
            }
            CommitOutcome::NoSuchLease => error(400, "no such lease"),
        }
    }

    fn read_write(&self, body: WriteBody) -> Result<Write<Rc<Value>>, &'static str> {
        match (body.write, body.data, body.delete) {
            (Some(path), Some(data), None) => {
                let bytes = serde_json::to_vec(&data).map_or(0, |json| json.len());
                if bytes > self.value_bytes {
                    return Err("value too large");
                }
                Ok(Write::Put {
                    path,
                    value: Rc::new(data),
                    lease: body.lease,
                })
            }
            (None, None, Some(path)) => Ok(Write::Delete { path }),
            _ => Err("malformed"),
        }
    }

    fn grant(&mut self, now: u64, body: &[u8]) -> Answer {
        let Some(body) = wire::decode::<GrantBody>(body) else {
            return error(400, "malformed");
        };
        let lease = self.store.grant(now, body.ttl_ms);
        (200, wire::encode(&LeaseBody { lease }))
    }

    fn lease(&mut self, now: u64, method: &str, path: &str) -> Answer {
        let Some(rest) = path.strip_prefix("/grants/") else {
            return error(400, "malformed");
        };
        let (id, extend) = match rest.strip_suffix("/extend") {
            Some(id) => (id, true),
            None => (rest, false),
        };
        let known = match (method, extend, id.parse()) {
            ("POST", true, Ok(id)) => self.store.extend(now, id),
            ("DELETE", false, Ok(id)) => self.store.release(id),
            _ => return error(400, "malformed"),
        };
        match known {
            true => (200, Vec::new()),
            false => error(404, "no such lease"),
        }
    }

    fn follow(&mut self, now: u64, connection: usize, query: &str) -> Option<Answer> {
        self.counts.follows += 1;
        let prefix = parameter(query, "prefix").unwrap_or("");
        let after = number(query, "after").unwrap_or(0);
        let block_ms = number(query, "blockMs").unwrap_or(0).min(FOLLOW_MAX_MS);
        if !self.outage {
            if let Some(answer) = self.news(prefix, after) {
                return Some(answer);
            }
            if block_ms == 0 {
                return Some(self.no_news());
            }
        }
        self.waiters.push(Waiter {
            connection,
            prefix: prefix.into(),
            after,
            until_ms: now + block_ms,
        });
        None
    }

    fn no_news(&self) -> Answer {
        let body = NewsBody {
            revision: self.store.revision,
            news: Vec::new(),
        };
        (200, wire::encode(&body))
    }

    /// The changes after a revision, if there are any.
    fn news(&self, prefix: &str, after: u64) -> Option<Answer> {
        let Some(changes) = self.store.changes_after(after) else {
            return Some(error(410, "too old"));
        };
        let followed = changes.iter().filter(|c| c.path.starts_with(prefix));
        let news: Vec<ChangeBody> = followed
            .map(|change| match &change.value {
                Some(value) => ChangeBody::Write {
                    write: &change.path,
                    data: value,
                    revision: change.revision,
                },
                None => ChangeBody::Delete {
                    delete: &change.path,
                    revision: change.revision,
                },
            })
            .collect();
        if news.is_empty() {
            return None;
        }
        let revision = self.store.revision;
        Some((200, wire::encode(&NewsBody { revision, news })))
    }

    /// Ends leases, and answers the follows that have news or whose time is over.
    pub fn wake_followers(&mut self, now: u64) -> Vec<(usize, Answer)> {
        if self.outage {
            return Vec::new();
        }
        self.store.expire(now);
        let mut answers = Vec::new();
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            let answer = self.news(&waiter.prefix, waiter.after);
            match answer {
                Some(answer) => answers.push((waiter.connection, answer)),
                None if now >= waiter.until_ms => answers.push((waiter.connection, self.no_news())),
                None => self.waiters.push(waiter),
            }
        }
        answers
    }

    /// Nobody waits for this connection's follow any more.
    pub fn disconnected(&mut self, connection: usize) {
        self.waiters.retain(|w| w.connection != connection);
    }

    /// A text field of a record, such as who leads.
    pub fn text_field(&self, key: &str, field: &str) -> Option<String> {
        let entry = self.store.entries.get(key)?;
        let fields = entry.value.as_map()?;
        let found = fields
            .iter()
            .find(|(name, _)| name.as_text() == Some(field));
        found?.1.as_text().map(String::from)
    }

    /// Keys and values that are stored.
    pub fn size(&self) -> usize {
        self.store.entries.len()
    }
}
