//! Takeovers: the leader is ended again and again, and what each end costs is measured from what
//! the store, the workers and the users see.

use crate::experiment::{LeaderEnd, Takeovers};
use crate::results::{LatencyRow, Row};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use salttrestle::controller::store::records::{LeaderRecord, PlacementRecord, ShardRecord};
use salttrestle::ids::{Attempt, JobId, TaskId};
use salttrestle_fakes::orders::Orders;
use serde::{Deserialize, Serialize};

/// One end of a leader; times are since then, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakeoverRow {
    /// How it ended.
    pub kind: LeaderEnd,
    /// When, in milliseconds since the run began.
    pub at_ms: u64,
    /// The number of the shard that it held.
    pub number: u64,
    /// Its successor's record was written.
    pub elected_ms: Option<u64>,
    /// The first worker showed the successor's number.
    pub shown_ms: Option<u64>,
    /// The successor's first start reached a worker.
    pub started_ms: Option<u64>,
    /// Its first start of an urgent job did.
    pub urgent_ms: Option<u64>,
}

/// What is seen of takeovers and orders.
#[derive(Default)]
pub struct TakeoverWatch {
    /// The ends of leaders so far.
    pub rows: Vec<TakeoverRow>,
    /// Judges all orders.
    pub orders: Orders,
    /// The number of the first shard's owner.
    number: u64,
}

impl TakeoverWatch {
    /// A leader was ended just now.
    pub fn ended(&mut self, now: u64, kind: LeaderEnd) {
        self.rows.push(TakeoverRow {
            kind,
            at_ms: now,
            number: self.number,
            elected_ms: None,
            shown_ms: None,
            started_ms: None,
            urgent_ms: None,
        });
    }

    /// Notes the first time that something took place under a newer number than the latest end's.
    fn note(
        &mut self,
        now: u64,
        number: u64,
        first: impl Fn(&mut TakeoverRow) -> &mut Option<u64>,
    ) {
        if let Some(row) = self.rows.last_mut()
            && number > row.number
        {
            let since = now.saturating_sub(row.at_ms);
            first(row).get_or_insert(since);
        }
    }

    /// The leader's record was written, or is gone.
    pub fn leader_written(&mut self, leader: Option<&LeaderRecord>) {
        let leader = leader.map(|l| (l.token.0, l.controller_id.as_str()));
        self.orders.duties.leader_is(leader);
    }

    /// A shard's record was written.
    pub fn block_written(&mut self, now: u64, block: &ShardRecord) {
        self.number = block.token.0;
        self.orders.held(block.token.0);
        self.note(now, block.token.0, |row| &mut row.elected_ms);
    }

    /// A chunk of a job's placements was written.
    pub fn run_written(&mut self, job: &JobId, run: &PlacementRecord) {
        self.orders.committed(job, run);
    }

    /// A worker was answered under a number.
    pub fn shown(&mut self, now: u64, number: u64) {
        self.note(now, number, |row| &mut row.shown_ms);
    }

    /// A start has reached a worker.
    pub fn started(
        &mut self,
        now: u64,
        (machine, newest): (&str, u64),
        (task, attempt): (&TaskId, Attempt),
        urgent: bool,
    ) {
        self.orders.started(now, machine, newest, task, attempt);
        let number = attempt.token().0;
        self.note(now, number, |row| &mut row.started_ms);
        if urgent {
            self.note(now, number, |row| &mut row.urgent_ms);
        }
    }

    /// The rows of the results: each takeover, and its phases by kind.
    pub fn result_rows(&self) -> Vec<Row> {
        let mut kinds: Vec<LeaderEnd> = self.rows.iter().map(|row| row.kind).collect();
        kinds.sort();
        kinds.dedup();
        type Phase = fn(&TakeoverRow) -> Option<u64>;
        let phases: [(&str, Phase); 4] = [
            ("elected", |row| row.elected_ms),
            ("number shown", |row| row.shown_ms),
            ("first start", |row| row.started_ms),
            ("first urgent", |row| row.urgent_ms),
        ];
        let mut rows: Vec<Row> = self.rows.iter().cloned().map(Row::Takeover).collect();
        for kind in kinds {
            for (name, phase) in phases {
                let of_kind = self.rows.iter().filter(|row| row.kind == kind);
                let what = format!("{kind:?}: {name}").to_lowercase();
                rows.push(Row::Latency(LatencyRow::new(
                    &what,
                    of_kind.filter_map(phase),
                )));
            }
        }
        rows
    }

    /// Takeovers that took longer than this until the first start, or never came to one.
    pub fn late(&self, within_s: f64) -> usize {
        let in_time = |row: &&TakeoverRow| {
            let started = row.started_ms;
            started.is_some_and(|ms| ms as f64 <= within_s * 1000.0)
        };
        self.rows.len() - self.rows.iter().filter(in_time).count()
    }
}

/// When and how the next leader ends.
pub struct Schedule {
    plan: Takeovers,
    rng: StdRng,
    left: u32,
    next_s: f64,
}

impl Schedule {
    /// The first end comes one pause after the measured time has begun.
    pub fn new(plan: &Takeovers, seed: u64, from_s: f64) -> Self {
        Self {
            left: plan.count,
            next_s: from_s + plan.every_s,
            rng: StdRng::seed_from_u64(seed),
            plan: plan.clone(),
        }
    }

    /// The end that is due.
    pub fn due(&mut self, at_s: f64) -> Option<LeaderEnd> {
        if self.left == 0 || at_s < self.next_s {
            return None;
        }
        self.left -= 1;
        let spread = self.rng.random_range(0.8..1.2);
        self.next_s += self.plan.every_s * spread;
        let kind = self.rng.random_range(0..self.plan.kinds.len());
        Some(self.plan.kinds[kind])
    }
}
