//! Takeovers: what each end of a leader costs, as seen by the store, the workers and the users.

use crate::experiment::LeaderFault;
use crate::results::{LatencyRow, Row, TakeoverRow};
use salttrestle::controller::store::records::{LeaderRecord, PlacementRecord, ShardRecord};
use salttrestle::ids::{Attempt, JobId, TaskId};
use salttrestle_fakes::orders::Orders;

/// A task start that has reached a worker.
pub struct WorkerStart<'a> {
    /// The worker's machine.
    pub machine: &'a str,
    /// The newest fencing token that the worker knows.
    pub newest_token: u64,
    /// The task.
    pub task: &'a TaskId,
    /// The attempt of the task, with the token under which it was started.
    pub attempt: Attempt,
    /// The task belongs to an urgent job.
    pub urgent: bool,
}

/// Observes takeovers, and checks all commands for their fencing tokens.
#[derive(Default)]
pub struct TakeoverObserver {
    /// The ends of leaders so far.
    pub rows: Vec<TakeoverRow>,
    /// Checks all commands to workers and the cloud.
    pub orders: Orders,
    /// The fencing token of the first shard's owner.
    shard_token: u64,
}

impl TakeoverObserver {
    /// The leader was just ended.
    pub fn leader_ended(&mut self, now: u64, kind: LeaderFault) {
        self.rows.push(TakeoverRow {
            kind,
            at_ms: now,
            token: self.shard_token,
            elected_ms: None,
            token_acknowledged_ms: None,
            started_ms: None,
            urgent_started_ms: None,
        });
    }

    /// Records the first time that an event took place under a newer token than that of the latest
    /// leader that ended.
    fn record_first(
        &mut self,
        now: u64,
        token: u64,
        event: impl Fn(&mut TakeoverRow) -> &mut Option<u64>,
    ) {
        if let Some(row) = self.rows.last_mut()
            && token > row.token
        {
            let since_ms = now.saturating_sub(row.at_ms);
            event(row).get_or_insert(since_ms);
        }
    }

    /// The leader's record was written, or is gone.
    pub fn leader_written(&mut self, leader: Option<&LeaderRecord>) {
        let leader = leader.map(|leader| (leader.token.0, leader.controller_id.as_str()));
        self.orders.duties.leader_is(leader);
    }

    /// The first shard's record was written.
    pub fn shard_written(&mut self, now: u64, shard: &ShardRecord) {
        self.shard_token = shard.token.0;
        self.orders.held(shard.token.0);
        self.record_first(now, shard.token.0, |row| &mut row.elected_ms);
    }

    /// A placement record of a job was written.
    pub fn placement_written(&mut self, job: &JobId, placement: &PlacementRecord) {
        self.orders.committed(job, placement);
    }

    /// The cloud was changed by a controller.
    pub fn cloud_changed(&mut self, now: u64, controller_id: &str) {
        self.orders.duties.cloud_changed(now, controller_id);
    }

    /// A worker has learned a newer token from a response.
    pub fn token_acknowledged(&mut self, now: u64, token: u64) {
        self.record_first(now, token, |row| &mut row.token_acknowledged_ms);
    }

    /// A start has reached a worker.
    pub fn started(&mut self, now: u64, start: &WorkerStart) {
        let WorkerStart {
            machine,
            newest_token,
            task,
            attempt,
            urgent,
        } = *start;
        self.orders
            .started(now, machine, newest_token, task, attempt);
        let token = attempt.token().0;
        self.record_first(now, token, |row| &mut row.started_ms);
        if urgent {
            self.record_first(now, token, |row| &mut row.urgent_started_ms);
        }
    }

    /// The rows of the results: each takeover, and the latencies of its steps by kind.
    pub fn result_rows(&self) -> Vec<Row> {
        let mut kinds: Vec<LeaderFault> = self.rows.iter().map(|row| row.kind).collect();
        kinds.sort();
        kinds.dedup();
        let mut rows: Vec<Row> = self.rows.iter().cloned().map(Row::Takeover).collect();
        for kind in kinds {
            let of_kind: Vec<&TakeoverRow> =
                self.rows.iter().filter(|row| row.kind == kind).collect();
            rows.extend(STEPS.map(|(step, latency)| {
                let what = format!("{kind:?}: {step}").to_lowercase();
                let latencies = of_kind.iter().filter_map(|row| latency(row));
                Row::Latency(LatencyRow::new(&what, latencies))
            }));
        }
        rows
    }

    /// Number of takeovers that took longer than this until the first start, or had none.
    pub fn late(&self, within_s: f64) -> usize {
        let in_time = |row: &&TakeoverRow| {
            let started = row.started_ms;
            started.is_some_and(|ms| ms as f64 <= within_s * 1000.0)
        };
        self.rows.len() - self.rows.iter().filter(in_time).count()
    }
}

type StepLatency = fn(&TakeoverRow) -> Option<u64>;

/// The steps of a takeover, by their names in the results.
const STEPS: [(&str, StepLatency); 4] = [
    ("elected", |row| row.elected_ms),
    ("number shown", |row| row.token_acknowledged_ms),
    ("first start", |row| row.started_ms),
    ("first urgent", |row| row.urgent_started_ms),
];
