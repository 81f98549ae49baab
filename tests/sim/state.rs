//! The state service, as PROTOCOL describes it.

use salttrestle::core::CallId;
use salttrestle::core::chunks::ChunkLayout;
use salttrestle::core::records::{Key, PREFIX, Record};
use salttrestle::settings::NextStateLimits;
use salttrestle::wire::{Change, StateOp, StateReply, Write, record_value};
use std::collections::BTreeMap;

/// A follow that waits for news.
pub struct Waiter {
    pub node: usize,
    pub boot: u64,
    pub call: CallId,
    pub after: u64,
    pub until: u64,
}

#[derive(Default)]
pub struct StateService {
    pub revision: u64,
    pub keys: BTreeMap<String, (Record, u64, Option<u64>)>,
    pub log: Vec<Change>,
    /// Grants: end and length.
    pub grants: BTreeMap<u64, (u64, u64)>,
    pub next_grant: u64,
    pub waiters: Vec<Waiter>,
    pub outage: bool,
    pub kept: usize,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Changes a second, once limits have fallen, and how many more it takes just now.
    pub write_rps: Option<f64>,
    pub write_tokens: f64,
    pub write_at: u64,
    /// Transactions beyond a limit that has fallen: of size, of changes a second.
    pub rejected: usize,
    pub limited: usize,
    /// Requests that went beyond a limit of size, or that lack a condition on what they rest on.
    pub defects: Vec<String>,
}

impl StateService {
    fn change(&mut self, path: &str, record: Option<(Record, Option<u64>)>, revision: u64) {
        let Some(key) = Key::parse(path) else {
            self.defects.push(format!("strange key {path}"));
            return;
        };
        let rec = record.as_ref().map(|(r, _)| r.clone());
        match record {
            Some((r, hold)) => {
                self.keys.insert(path.into(), (r, revision, hold));
            }
            None => {
                self.keys.remove(path);
            }
        }
        self.log.push((key, revision, rec));
    }

    /// Ends grants whose time is over.
    pub fn expire(&mut self, now: u64) {
        if self.outage {
            return;
        }
        let over: Vec<u64> = self
            .grants
            .iter()
            .filter(|(_, (end, _))| now > *end)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.grants.remove(&id);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, v)| v.2 == Some(id))
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                self.revision += 1;
                let revision = self.revision;
                self.change(&key, None, revision);
            }
        }
    }

    /// The limits fall. What is stored stays readable.
    pub fn lower_limits(&mut self, now: u64, limits: NextStateLimits) {
        self.value_kb = limits.value_kb.unwrap_or(self.value_kb);
        self.txn_ops = limits.txn_ops.unwrap_or(self.txn_ops);
        self.write_rps = limits.write_rps;
        self.write_tokens = limits.write_rps.unwrap_or(0.0);
        self.write_at = now;
    }

    /// Whether so many changes are beyond the lowered rate, of which a second's worth may come
    /// at once.
    fn over_rate(&mut self, now: u64, changes: usize) -> bool {
        let Some(rate) = self.write_rps else {
            return false;
        };
        let gained = (now - self.write_at) as f64 / 1e3 * rate;
        self.write_tokens = (self.write_tokens + gained).min(rate);
        self.write_at = now;
        if self.write_tokens < changes as f64 {
            return true;
        }
        self.write_tokens -= changes as f64;
        false
    }

    pub fn end_outage(&mut self, now: u64) {
        self.outage = false;
        for (end, ttl) in self.grants.values_mut() {
            *end = now + *ttl;
        }
    }

    /// The news after a revision, if there are any.
    pub fn news(&self, after: u64) -> Option<StateReply> {
        let oldest = self.log.len().saturating_sub(self.kept);
        if oldest > 0 && self.log[oldest - 1].1 > after {
            return Some(StateReply::TooOld);
        }
        let news: Vec<Change> = self.log.iter().filter(|c| c.1 > after).cloned().collect();
        let revision = self.revision;
        (!news.is_empty()).then_some(StateReply::News { revision, news })
    }

    /// Executes a request; `None` for a follow that has to wait.
    pub fn execute(&mut self, now: u64, op: &StateOp) -> Option<StateReply> {
        if self.outage {
            return match op {
                StateOp::Follow { .. } => None,
                _ => Some(StateReply::Refused),
            };
        }
        self.expire(now);
        if let StateOp::Commit { writes, .. } = op
            && self.over_rate(now, writes.len())
        {
            self.limited += 1;
            return Some(StateReply::Refused);
        }
        Some(match op {
            StateOp::Fresh => StateReply::Missing {
                revision: self.revision,
            },
            StateOp::Get(key) => match self.keys.get(&key.to_string()) {
                Some((record, revision, _)) => StateReply::Found {
                    record: record.clone(),
                    revision: *revision,
                },
                None => StateReply::Missing {
                    revision: self.revision,
                },
            },
            StateOp::List { after } => self.list(after),
            StateOp::Commit { when, writes } => self.commit(when, writes),
            StateOp::Grant { ttl_ms } => {
                self.next_grant += 1;
                self.grants.insert(self.next_grant, (now + ttl_ms, *ttl_ms));
                StateReply::Granted(self.next_grant)
            }
            StateOp::Extend(id) => match self.grants.get_mut(id) {
                Some((end, ttl)) => {
                    *end = now + *ttl;
                    StateReply::Extended
                }
                None => StateReply::NoGrant,
            },
            StateOp::Release(id) => match self.grants.get_mut(id) {
                Some((end, _)) => {
                    *end = 0;
                    self.expire(now);
                    StateReply::Extended
                }
                None => StateReply::NoGrant,
            },
            StateOp::Follow { after } => return self.news(*after),
        })
    }

    fn list(&self, after: &str) -> StateReply {
        const PAGE: usize = 50;
        let behind = self
            .keys
            .iter()
            .filter(|(k, _)| k.as_str() > after && k.starts_with(PREFIX));
        let mut entries = Vec::new();
        let mut last = None;
        let mut more = false;
        for (path, (record, revision, _)) in behind {
            if entries.len() == PAGE {
                more = true;
                break;
            }
            last = Some(path.clone());
            if let Some(key) = Key::parse(path) {
                entries.push((key, *revision, Some(record.clone())));
            }
        }
        StateReply::Page {
            entries,
            last,
            more,
            revision: self.revision,
        }
    }

    fn commit(&mut self, when: &[(Key, u64)], writes: &[Write]) -> StateReply {
        if writes.len() > self.txn_ops || when.len() > 4 * self.txn_ops {
            self.defects.push(format!(
                "{} writes, {} conditions",
                writes.len(),
                when.len()
            ));
        }
        self.defects.extend(unconditional(when, writes));
        self.defects.extend(misnamed_parts(writes));
        for w in writes {
            if let Write::Put { key, record, .. } = w {
                let size = serde_json::to_string(&record_value(record)).map_or(0, |s| s.len());
                let too_large = size as f64 > self.value_kb * 1024.0;
                if too_large && self.write_rps.is_some() {
                    self.rejected += 1;
                    return StateReply::Rejected;
                }
                if too_large {
                    self.defects.push(format!("{key} has {size} bytes"));
                }
            }
            if let Write::Put { hold: Some(id), .. } = w
                && !self.grants.contains_key(id)
            {
                return StateReply::NoGrant;
            }
        }
        let failed: Vec<Key> = when
            .iter()
            .filter(|(key, revision)| {
                self.keys.get(&key.to_string()).map_or(0, |v| v.1) != *revision
            })
            .map(|(key, _)| key.clone())
            .collect();
        if !failed.is_empty() {
            return StateReply::Conflict { failed };
        }
        self.revision += 1;
        let revision = self.revision;
        for w in writes {
            match w {
                Write::Put { key, record, hold } => {
                    self.change(&key.to_string(), Some((record.clone(), *hold)), revision);
                }
                Write::Delete { key } => self.change(&key.to_string(), None, revision),
            }
        }
        StateReply::Committed { revision }
    }
}

/// Records that say of themselves that they are parts under the number of a chunk, or the reverse.
fn misnamed_parts(writes: &[Write]) -> Vec<String> {
    let misnamed = writes.iter().filter_map(|w| match w {
        Write::Put {
            key: Key::Run(id, chunk),
            record: Record::Run(run),
            ..
        } if run.part.is_some() != ChunkLayout::is_part(*chunk) => {
            Some(format!("chunk {chunk} of {id} has part {:?}", run.part))
        }
        _ => None,
    });
    misnamed.collect()
}

/// What a transaction changes without a condition on what that rests on. Some of these
/// conditions overlap, so that no meeting shows that one of them is missing.
fn unconditional(when: &[(Key, u64)], writes: &[Write]) -> Vec<String> {
    let on = |wanted: &dyn Fn(&Key) -> bool| when.iter().any(|(key, _)| wanted(key));
    let block = on(&|key| matches!(key, Key::Block(_)));
    let leader = on(&|key| *key == Key::Leader);
    let mut lacking = Vec::new();
    for w in writes {
        let (key, put) = match w {
            Write::Put { key, .. } => (key, true),
            Write::Delete { key } => (key, false),
        };
        let itself = on(&|k| k == key);
        let good = match (key, put) {
            (Key::Run(id, _), true) => itself && block && on(&|k| *k == Key::Job(id.clone())),
            (Key::Run(..), false) => block,
            (Key::Job(_), true) => itself,
            (Key::Job(id), false) => itself && block && on(&|k| *k == Key::End(id.clone())),
            (Key::End(id), true) => itself && block && on(&|k| *k == Key::Job(id.clone())),
            (Key::Block(_) | Key::Number, true) => itself && leader,
            (Key::Leader, true) => itself,
            (Key::Plan, true) => leader,
            _ => false,
        };
        if !good {
            lacking.push(format!(
                "{key} is written without a condition that it rests on"
            ));
        }
    }
    lacking
}
