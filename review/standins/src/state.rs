//! The state service: a consistent key-value store with leases, watches and its limits.

use crate::cbor::V;
use crate::http::{serve, Handler, Request, Response};
use crate::map;
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Entry {
    data: V,
    mark: u64,
    hold: Option<u64>,
}

struct Change {
    mark: u64,
    path: String,
    data: Option<V>,
}

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            at: Instant::now(),
        }
    }
    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        let gained = self.rate * now.duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.rate);
        self.at = now;
        if self.tokens < n {
            return false;
        }
        self.tokens -= n;
        true
    }
}

struct Inner {
    keys: BTreeMap<String, Entry>,
    ledger: u64,
    changes: VecDeque<Change>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    requests: Bucket,
    writes: Bucket,
}

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    limits: Limits,
}

/// Changes that the service keeps for watches.
const CHANGES_KEPT: usize = 10_000;
const OK: u16 = 200;

impl State {
    /// Starts the service.
    pub fn start(limits: Limits) -> (Arc<Self>, SocketAddr) {
        let inner = Inner {
            keys: BTreeMap::new(),
            ledger: 1,
            changes: VecDeque::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
        };
        let state = Arc::new(Self {
            inner: Mutex::new(inner),
            changed: Condvar::new(),
            limits,
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let service = state.clone();
        let handler: Handler = Arc::new(move |request| Some(service.answer(request)));
        serve(listener, handler);
        let service = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            service.end_leases();
        });
        (state, address)
    }

    /// The controller that the leader's record names.
    pub fn leader(&self) -> Option<String> {
        let inner = self.inner.lock().unwrap();
        inner.keys.get("s/own/leader")?.data.text("member")
    }

    fn end_leases(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let ended = inner.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.drop_lease(&mut inner, id);
        }
    }

    fn drop_lease(&self, inner: &mut Inner, id: u64) {
        inner.leases.remove(&id);
        let held = inner.keys.iter().filter(|(_, e)| e.hold == Some(id));
        let held: Vec<String> = held.map(|(k, _)| k.clone()).collect();
        if held.is_empty() {
            return;
        }
        inner.ledger += 1;
        for path in held {
            inner.keys.remove(&path);
            push(inner, path, None);
        }
        self.changed.notify_all();
    }

    fn answer(&self, request: Request) -> Response {
        let mut inner = self.inner.lock().unwrap();
        if !inner.requests.take(1.0) {
            return reply(429, map! {"error" => "too many requests"});
        }
        let path = request.path.clone();
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/keys") => list(&inner, &request),
            ("GET", "/follow") => {
                drop(inner);
                self.follow(&request)
            }
            ("GET", _) if path.starts_with("/keys/") => get(&inner, &path[6..]),
            ("POST", "/commit") => {
                let done = self.commit(&mut inner, &request.body);
                self.changed.notify_all();
                done
            }
            ("POST", "/grants") => {
                let ttl = V::decode(&request.body).and_then(|v| v.num("ttlMs"));
                let Some(ttl) = ttl.filter(|t| (100.0..=600_000.0).contains(t)) else {
                    return reply(400, map! {"error" => "malformed"});
                };
                let ttl = Duration::from_millis(ttl as u64);
                let id = inner.next_lease;
                inner.next_lease += 1;
                inner.leases.insert(id, (Instant::now() + ttl, ttl));
                reply(OK, map! {"hold" => id})
            }
            (method, _) if path.starts_with("/grants/") => {
                let rest = &path[8..];
                let id = rest.trim_end_matches("/extend").parse().unwrap_or(0);
                let Some((end, ttl)) = inner.leases.get_mut(&id) else {
                    return reply(404, map! {"error" => "no such lease"});
                };
                if method == "DELETE" {
                    self.drop_lease(&mut inner, id);
                } else {
                    *end = Instant::now() + *ttl;
                }
                reply(OK, map! {})
            }
            _ => reply(400, map! {"error" => "malformed"}),
        }
    }

    fn commit(&self, inner: &mut Inner, body: &[u8]) -> Response {
        let Some(body) = V::decode(body) else {
            return reply(400, map! {"error" => "malformed"});
        };
        let (when, writes) = (body.list("when"), body.list("writes"));
        let too_large = |v: &V| v.json_len() as f64 > self.limits.value_kb * 1024.0;
        if writes.len() > self.limits.txn_ops
            || when.len() > 4 * self.limits.txn_ops
            || body.json_len() > 64 * 1024
            || writes.iter().filter_map(|w| w.get("data")).any(too_large)
        {
            return reply(400, map! {"error" => "too large"});
        }
        if !inner.writes.take(writes.len() as f64) {
            return reply(429, map! {"error" => "too many changes"});
        }
        for w in writes {
            if let Some(hold) = w.uint("hold") {
                if !inner.leases.contains_key(&hold) {
                    return reply(400, map! {"error" => "no such lease"});
                }
            }
        }
        let mut failed = Vec::new();
        for c in when {
            let path = c.text("path").unwrap_or_default();
            let mark = inner.keys.get(&path).map_or(0, |e| e.mark);
            if c.uint("mark") != Some(mark) {
                failed.push(V::T(path));
            }
        }
        if !failed.is_empty() {
            return reply(409, map! {"failed" => failed, "ledger" => inner.ledger});
        }
        if !writes.is_empty() {
            inner.ledger += 1;
        }
        let mark = inner.ledger;
        for w in writes {
            if let Some(path) = w.text("write") {
                let data = w.get("data").cloned().unwrap_or(V::Null);
                let hold = w.uint("hold");
                let entry = Entry {
                    data: data.clone(),
                    mark,
                    hold,
                };
                inner.keys.insert(path.clone(), entry);
                push(inner, path, Some(data));
            } else if let Some(path) = w.text("delete") {
                if inner.keys.remove(&path).is_some() {
                    push(inner, path, None);
                }
            }
        }
        reply(OK, map! {"ledger" => mark})
    }

    fn follow(&self, request: &Request) -> Response {
        let prefix = request.param("prefix").unwrap_or("").to_string();
        let after: u64 = request
            .param("after")
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        let block = request
            .param("blockMs")
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(block);
        let mut inner = self.inner.lock().unwrap();
        loop {
            let first = inner.changes.front().map_or(inner.ledger + 1, |c| c.mark);
            if after + 1 < first && inner.changes.len() == CHANGES_KEPT {
                return reply(410, map! {"error" => "too old"});
            }
            let from = inner.changes.partition_point(|c| c.mark <= after);
            let has_news = inner
                .changes
                .range(from..)
                .any(|c| c.path.starts_with(&prefix));
            if has_news || Instant::now() >= end {
                let news = inner.changes.range(from..);
                let news = news.filter(|c| c.path.starts_with(&prefix));
                let list: Vec<V> = news.map(change_body).collect();
                let ledger = inner.ledger;
                drop(inner);
                return reply(OK, map! {"ledger" => ledger, "news" => list});
            }
            let wait = Duration::from_millis(50);
            inner = self.changed.wait_timeout(inner, wait).unwrap().0;
        }
    }
}

fn change_body(c: &Change) -> V {
    match &c.data {
        Some(data) => map! {"write" => c.path.clone(), "data" => data.clone(), "mark" => c.mark},
        None => map! {"delete" => c.path.clone(), "mark" => c.mark},
    }
}

fn push(inner: &mut Inner, path: String, data: Option<V>) {
    let mark = inner.ledger;
    inner.changes.push_back(Change { mark, path, data });
    while inner.changes.len() > CHANGES_KEPT {
        inner.changes.pop_front();
    }
}

fn get(inner: &Inner, key: &str) -> Response {
    match inner.keys.get(key) {
        Some(e) => {
            let mut body = vec![
                ("path".to_string(), V::from(key)),
                ("data".to_string(), e.data.clone()),
                ("mark".to_string(), V::U(e.mark)),
            ];
            if let Some(hold) = e.hold {
                body.push(("hold".into(), V::U(hold)));
            }
            reply(OK, V::M(body))
        }
        None => reply(404, map! {"ledger" => inner.ledger}),
    }
}

fn list(inner: &Inner, request: &Request) -> Response {
    let prefix = request.param("prefix").unwrap_or("");
    let after = request.param("after").unwrap_or("");
    let limit = request
        .param("limit")
        .and_then(|t| t.parse().ok())
        .unwrap_or(1000);
    let limit: usize = std::cmp::min(limit, 1000);
    let (mut entries, mut bytes, mut more) = (Vec::new(), 0, false);
    for (path, e) in inner.keys.range(prefix.to_string()..) {
        if !path.starts_with(prefix) {
            break;
        }
        if path.as_str() <= after {
            continue;
        }
        let entry = map! {"path" => path.clone(), "data" => e.data.clone(), "mark" => e.mark};
        bytes += entry.json_len();
        if entries.len() >= limit || bytes > 512 * 1024 {
            more = true;
            break;
        }
        entries.push(entry);
    }
    reply(
        OK,
        map! {"entries" => entries, "hasNext" => more, "ledger" => inner.ledger},
    )
}

fn reply(status: u16, body: V) -> Response {
    Response {
        status,
        retry_after: None,
        body: body.encode(),
    }
}
