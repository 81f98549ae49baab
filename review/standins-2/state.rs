//! Stand-in of the state service. Each controller has an address of its own, by which it is known.

use crate::cbor::{V, decode, encode};
use crate::http::serve;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The service keeps the last 10,000 changes.
const HISTORY_MAX: usize = 10_000;

struct Entry {
    data: V,
    mark: u64,
    hold: Option<u64>,
}

struct Lease {
    ends: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct Bucket {
    tokens: f64,
    at: Option<Instant>,
}

impl Bucket {
    /// Takes tokens of a limit of `rate` a second, which allows bursts of one second's worth.
    fn take(&mut self, rate: f64, count: f64) -> bool {
        let now = Instant::now();
        let elapsed = self
            .at
            .map_or(1.0, |at| now.duration_since(at).as_secs_f64());
        self.at = Some(now);
        self.tokens = (self.tokens + elapsed * rate).min(rate);
        let ok = self.tokens >= count;
        if ok {
            self.tokens -= count;
        }
        ok
    }
}

#[derive(Default)]
struct Data {
    ledger: u64,
    forgotten: u64,
    entries: BTreeMap<String, Entry>,
    history: VecDeque<(u64, String, Option<V>)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    requests: Bucket,
    changes: Bucket,
}

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

pub struct State {
    limits: Limits,
    data: Mutex<Data>,
    changed: Condvar,
    /// Time that each answer takes, in milliseconds.
    pub latency_ms: AtomicU64,
    /// Whether all requests are refused with 503 (an outage).
    pub outage: AtomicBool,
    /// Controllers whose requests are refused with 503, while the others are served.
    pub refused: Vec<AtomicBool>,
    /// Largest answers to a watch so far, in bytes.
    pub largest_watch: AtomicU64,
    /// Requests that got 400, 429.
    pub rejected: AtomicU64,
    pub limited: AtomicU64,
    /// Share of transactions, in thousandths, that get no answer and are carried out later.
    pub late_share: AtomicU64,
    /// Share of transactions, in thousandths, that are carried out at once and get no answer.
    pub lost_share: AtomicU64,
}

type Answer = Option<(u16, Vec<u8>)>;

fn answer(status: u16, value: V) -> Answer {
    Some((status, encode(&value)))
}

fn error(status: u16, text: &str) -> Answer {
    answer(status, V::map(vec![("error", V::s(text))]))
}

fn parameters(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(key, value)| (key.to_string(), value.to_string()))
        .collect()
}

/// A number from 0 to 999.
fn dice() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let nanos = now.map_or(0, |now| u64::from(now.subsec_nanos()));
    (nanos.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) % 1000
}

impl State {
    pub fn start(limits: Limits, listeners: Vec<TcpListener>) -> Arc<Self> {
        let state = Arc::new(Self {
            limits,
            data: Mutex::new(Data {
                last_lease: 100,
                ..Data::default()
            }),
            changed: Condvar::new(),
            latency_ms: AtomicU64::new(4),
            outage: AtomicBool::new(false),
            refused: listeners.iter().map(|_| AtomicBool::new(false)).collect(),
            largest_watch: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            limited: AtomicU64::new(0),
            late_share: AtomicU64::new(0),
            lost_share: AtomicU64::new(0),
        });
        for (controller, listener) in listeners.into_iter().enumerate() {
            let state = state.clone();
            serve(listener, move |method, path, body| {
                if path == "/commit" && !state.is_refused(controller) {
                    let roll = dice();
                    let late = state.late_share.load(Ordering::Relaxed);
                    if roll < late {
                        let (state, body) = (state.clone(), body.to_vec());
                        std::thread::spawn(move || {
                            std::thread::sleep(Duration::from_millis(2000 + dice() * 10));
                            let mut data = state.data.lock().unwrap();
                            state.commit(&mut data, &body);
                        });
                        std::thread::sleep(Duration::from_secs(3));
                        return None;
                    }
                    if roll < late + state.lost_share.load(Ordering::Relaxed) {
                        state.handle(controller, method, path, body);
                        std::thread::sleep(Duration::from_secs(3));
                        return None;
                    }
                }
                let result = state.handle(controller, method, path, body);
                if let Some((status, _)) = &result {
                    match status {
                        400 => state.rejected.fetch_add(1, Ordering::Relaxed),
                        429 => state.limited.fetch_add(1, Ordering::Relaxed),
                        _ => 0,
                    };
                }
                let latency = state.latency_ms.load(Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(latency));
                result
            });
        }
        let expiry = state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiry.expire_leases();
            }
        });
        state
    }

    pub fn begin_outage(&self) {
        self.outage.store(true, Ordering::Relaxed);
    }

    /// Ends an outage: all leases have their full time again.
    pub fn end_outage(&self) {
        let mut data = self.data.lock().unwrap();
        for lease in data.leases.values_mut() {
            lease.ends = Instant::now() + lease.ttl;
        }
        self.outage.store(false, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Data of a key, for the record of a run.
    pub fn read(&self, key: &str) -> Option<V> {
        let data = self.data.lock().unwrap();
        data.entries.get(key).map(|entry| entry.data.clone())
    }

    /// Number of finished tasks in the placement records of jobs whose names begin with `job`.
    pub fn results(&self, job: &str) -> u64 {
        let data = self.data.lock().unwrap();
        let prefix = format!("s/run/{job}");
        let records = data
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let ranges = records.flat_map(|(_, entry)| entry.data.get("done").map_or(&[][..], V::list));
        let bound =
            |range: &V, index: usize| range.list().get(index).and_then(V::uint).unwrap_or(0);
        ranges.map(|range| bound(range, 1) - bound(range, 0)).sum()
    }

    /// The member named in the leader's record.
    pub fn leader(&self) -> Option<String> {
        let record = self.read("s/own/leader")?;
        record.get("member").and_then(V::text).map(String::from)
    }

    pub fn ledger(&self) -> u64 {
        self.data.lock().unwrap().ledger
    }

    fn expire_leases(&self) {
        if self.outage.load(Ordering::Relaxed) {
            return;
        }
        let now = Instant::now();
        let mut data = self.data.lock().unwrap();
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, l)| l.ends < now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(&mut data, id);
        }
    }

    fn end_lease(&self, data: &mut Data, id: u64) -> bool {
        let known = data.leases.remove(&id).is_some();
        let keys: Vec<String> = data
            .entries
            .iter()
            .filter(|(_, entry)| entry.hold == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            data.ledger += 1;
            for key in keys {
                change(data, key, None, None);
            }
            self.changed.notify_all();
        }
        known
    }

    fn is_refused(&self, controller: usize) -> bool {
        self.outage.load(Ordering::Relaxed) || self.refused[controller].load(Ordering::Relaxed)
    }

    fn handle(&self, controller: usize, method: &str, path: &str, body: &[u8]) -> Answer {
        if self.is_refused(controller) {
            return error(503, "trouble");
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query = parameters(query);
        let mut data = self.data.lock().unwrap();
        if !data.requests.take(self.limits.rps, 1.0) {
            return error(429, "too many requests");
        }
        match (method, path) {
            ("GET", "/keys") => list(&data, &query),
            ("GET", "/follow") => {
                drop(data);
                self.follow(controller, &query)
            }
            ("POST", "/commit") => self.commit(&mut data, body),
            ("POST", "/grants") => {
                let ttl = decode(body).and_then(|v| v.get("ttlMs").and_then(V::uint));
                let Some(ttl) = ttl.filter(|ttl| (100..=600_000).contains(ttl)) else {
                    return error(400, "malformed");
                };
                data.last_lease += 1;
                let (id, ttl) = (data.last_lease, Duration::from_millis(ttl));
                data.leases.insert(
                    id,
                    Lease {
                        ends: Instant::now() + ttl,
                        ttl,
                    },
                );
                answer(200, V::map(vec![("hold", V::U(id))]))
            }
            _ if path.starts_with("/grants/") => self.lease_request(&mut data, method, path),
            ("GET", _) if path.starts_with("/keys/") => {
                match data.entries.get(&path["/keys/".len()..]) {
                    None => answer(404, V::map(vec![("ledger", V::U(data.ledger))])),
                    Some(entry) => {
                        let mut fields = vec![
                            ("path", V::s(&path["/keys/".len()..])),
                            ("data", entry.data.clone()),
                            ("mark", V::U(entry.mark)),
                        ];
                        if let Some(hold) = entry.hold {
                            fields.push(("hold", V::U(hold)));
                        }
                        answer(200, V::map(fields))
                    }
                }
            }
            _ => error(400, "malformed"),
        }
    }

    fn lease_request(&self, data: &mut Data, method: &str, path: &str) -> Answer {
        let rest = &path["/grants/".len()..];
        let (id, is_extension) = match rest.strip_suffix("/extend") {
            Some(id) => (id, true),
            None => (rest, false),
        };
        let Ok(id) = id.parse::<u64>() else {
            return error(400, "malformed");
        };
        let known = match (method, is_extension) {
            ("POST", true) => data
                .leases
                .get_mut(&id)
                .map(|l| l.ends = Instant::now() + l.ttl)
                .is_some(),
            ("DELETE", false) => self.end_lease(data, id),
            _ => return error(400, "malformed"),
        };
        match known {
            true => answer(200, V::map(vec![("hold", V::U(id))])),
            false => error(404, "no such lease"),
        }
    }

    fn commit(&self, data: &mut Data, body: &[u8]) -> Answer {
        let Some(request) = decode(body) else {
            return error(400, "malformed");
        };
        let (when, writes) = (request.get("when"), request.get("writes"));
        let when = when.map_or(&[][..], V::list);
        let writes = writes.map_or(&[][..], V::list);
        let too_large = writes.iter().any(|write| {
            let bytes = write.get("data").map_or(0, V::json_bytes);
            bytes as f64 > self.limits.value_kb * 1024.0
        });
        if writes.len() > self.limits.txn_ops
            || when.len() > 4 * self.limits.txn_ops
            || too_large
            || request.json_bytes() > 64 * 1024
        {
            return error(400, "too large");
        }
        if !data
            .changes
            .take(self.limits.write_rps, writes.len() as f64)
        {
            return error(429, "too many changes");
        }
        let ended = |write: &V| {
            write
                .get("hold")
                .and_then(V::uint)
                .is_some_and(|id| !data.leases.contains_key(&id))
        };
        if writes.iter().any(ended) {
            return error(400, "no such lease");
        }
        let mut failed = Vec::new();
        for condition in when {
            let key = condition.get("path").and_then(V::text).unwrap_or("");
            let mark = condition.get("mark").and_then(V::uint).unwrap_or(0);
            if data.entries.get(key).map_or(0, |entry| entry.mark) != mark {
                failed.push(V::s(key));
            }
        }
        if !failed.is_empty() {
            return answer(
                409,
                V::map(vec![
                    ("failed", V::A(failed)),
                    ("ledger", V::U(data.ledger)),
                ]),
            );
        }
        // A deletion of a key that does not exist changes nothing.
        let is_change = |write: &V| match write.get("delete").and_then(V::text) {
            Some(key) => data.entries.contains_key(key),
            None => true,
        };
        if writes.iter().any(is_change) {
            data.ledger += 1;
        }
        for write in writes {
            match (write.get("write"), write.get("delete")) {
                (Some(V::S(key)), _) => {
                    let value = write.get("data").cloned().unwrap_or(V::Null);
                    let hold = write.get("hold").and_then(V::uint);
                    change(data, key.clone(), Some(value), hold);
                }
                (_, Some(V::S(key))) => change(data, key.clone(), None, None),
                _ => return error(400, "malformed"),
            }
        }
        self.changed.notify_all();
        answer(200, V::map(vec![("ledger", V::U(data.ledger))]))
    }

    fn follow(&self, controller: usize, query: &BTreeMap<String, String>) -> Answer {
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after: u64 = query
            .get("after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let block: u64 = query
            .get("blockMs")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(block.min(60_000));
        let mut data = self.data.lock().unwrap();
        loop {
            if !self.is_refused(controller) {
                if after < data.forgotten {
                    return error(410, "too old");
                }
                let start = data.history.partition_point(|(mark, ..)| *mark <= after);
                let news: Vec<V> = data
                    .history
                    .range(start..)
                    .filter(|(_, key, _)| key.starts_with(&prefix))
                    .map(|(mark, key, value)| match value {
                        Some(value) => V::map(vec![
                            ("write", V::s(key)),
                            ("data", value.clone()),
                            ("mark", V::U(*mark)),
                        ]),
                        None => V::map(vec![("delete", V::s(key)), ("mark", V::U(*mark))]),
                    })
                    .collect();
                if !news.is_empty() || Instant::now() >= until {
                    let value = V::map(vec![("ledger", V::U(data.ledger)), ("news", V::A(news))]);
                    let body = encode(&value);
                    self.largest_watch
                        .fetch_max(body.len() as u64, Ordering::Relaxed);
                    return Some((200, body));
                }
            }
            let wait = until.saturating_duration_since(Instant::now());
            let wait = wait.clamp(Duration::from_millis(20), Duration::from_millis(200));
            data = self.changed.wait_timeout(data, wait).unwrap().0;
        }
    }
}

/// Applies one change at the present revision.
fn change(data: &mut Data, key: String, value: Option<V>, hold: Option<u64>) {
    let mark = data.ledger;
    match &value {
        Some(value) => {
            data.entries.insert(
                key.clone(),
                Entry {
                    data: value.clone(),
                    mark,
                    hold,
                },
            );
        }
        None => {
            if data.entries.remove(&key).is_none() {
                return;
            }
        }
    }
    data.history.push_back((mark, key, value));
    while data.history.len() > HISTORY_MAX {
        if let Some((mark, ..)) = data.history.pop_front() {
            data.forgotten = mark;
        }
    }
}

fn list(data: &Data, query: &BTreeMap<String, String>) -> Answer {
    let prefix = query.get("prefix").map_or("", String::as_str);
    let after = query.get("after").map_or("", String::as_str);
    let limit: usize = query
        .get("limit")
        .and_then(|text| text.parse().ok())
        .unwrap_or(1000);
    let (mut entries, mut has_next, mut bytes) = (Vec::new(), false, 0);
    for (key, entry) in &data.entries {
        if !key.starts_with(prefix) || key.as_str() <= after {
            continue;
        }
        bytes += key.len() + entry.data.json_bytes() + 40;
        if entries.len() >= limit.min(1000) || bytes > 512 * 1024 {
            has_next = true;
            break;
        }
        entries.push(V::map(vec![
            ("path", V::s(key)),
            ("data", entry.data.clone()),
            ("mark", V::U(entry.mark)),
        ]));
    }
    let fields = vec![
        ("entries", V::A(entries)),
        ("hasNext", V::B(has_next)),
        ("ledger", V::U(data.ledger)),
    ];
    answer(200, V::map(fields))
}
