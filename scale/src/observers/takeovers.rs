//! Measures takeovers: the latency from a leader fault (kill, pause or termination) to each step of
//! the replacement of the leader, as seen by the store and the workers.

use crate::experiment::LeaderFault;
use crate::results::{LatencyRow, Row, TakeoverRow};
use salttrestle::controller::store::records::{LeaderRecord, PlacementRecord, ShardRecord};
use salttrestle::ids::{Attempt, JobId, TaskId};
use salttrestle_fakes::commands::CommandChecker;

/// A command to start a task that has reached a worker.
pub struct WorkerStart<'a> {
    /// Id of the worker's machine.
    pub machine: &'a str,
    /// Highest fencing token that the worker has received.
    pub newest_token: u64,
    /// Id of the task.
    pub task: &'a TaskId,
    /// Attempt of the task, which holds the fencing token of the command.
    pub attempt: Attempt,
    /// Whether the task belongs to an urgent job.
    pub is_urgent: bool,
}

/// Measures takeovers, and checks all start commands and cloud calls.
#[derive(Default)]
pub struct TakeoverObserver {
    /// One row for each leader fault so far.
    pub rows: Vec<TakeoverRow>,
    /// Checker of start commands to workers and of calls to the cloud.
    pub command_checker: CommandChecker,
    /// Latest fencing token in the first shard's record.
    shard_token: u64,
}

impl TakeoverObserver {
    /// Records that a fault is injected into the leader now.
    pub fn record_leader_fault(&mut self, now: u64, kind: LeaderFault) {
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

    /// Records the latency of an event since the latest leader fault, unless it is recorded
    /// already. Events whose fencing token isn't higher than the token at the fault don't count.
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

    /// Records a write of the leader's record, or its removal (`None`).
    pub fn record_leader_write(&mut self, leader: Option<&LeaderRecord>) {
        let leader = leader.map(|leader| (leader.token.0, leader.controller_id.as_str()));
        self.command_checker.cloud_calls.record_leader(leader);
    }

    /// Records a write of the first shard's record.
    pub fn record_shard_write(&mut self, now: u64, shard: &ShardRecord) {
        self.shard_token = shard.token.0;
        self.command_checker.record_owner_token(shard.token.0);
        self.record_first(now, shard.token.0, |row| &mut row.elected_ms);
    }

    /// Records a write of one of a job's placement records.
    pub fn record_placement_write(&mut self, job: &JobId, placement: &PlacementRecord) {
        self.command_checker.record_placements(job, placement);
    }

    /// Records that a controller has created or deleted machines at the cloud.
    pub fn record_cloud_change(&mut self, now: u64, controller_id: &str) {
        self.command_checker
            .cloud_calls
            .record_cloud_change(now, controller_id);
    }

    /// Records that a worker has received a higher fencing token in a response.
    pub fn record_token_acknowledgement(&mut self, now: u64, token: u64) {
        self.record_first(now, token, |row| &mut row.token_acknowledged_ms);
    }

    /// Records a command to start a task that has reached a worker.
    pub fn record_start(&mut self, now: u64, start: &WorkerStart) {
        let WorkerStart {
            machine,
            newest_token,
            task,
            attempt,
            is_urgent,
        } = *start;
        self.command_checker
            .record_start(now, machine, newest_token, task, attempt);
        let token = attempt.token().0;
        self.record_first(now, token, |row| &mut row.started_ms);
        if is_urgent {
            self.record_first(now, token, |row| &mut row.urgent_started_ms);
        }
    }

    /// Returns the rows of the results: one for each takeover, and the latencies of each step by
    /// the kind of the leader fault.
    pub fn result_rows(&self) -> Vec<Row> {
        let mut kinds: Vec<LeaderFault> = self.rows.iter().map(|row| row.kind).collect();
        kinds.sort();
        kinds.dedup();
        let mut rows: Vec<Row> = self.rows.iter().cloned().map(Row::Takeover).collect();
        for kind in kinds {
            let of_kind: Vec<&TakeoverRow> =
                self.rows.iter().filter(|row| row.kind == kind).collect();
            rows.extend(TAKEOVER_STEPS.map(|(step, latency)| {
                let name = format!("{kind:?}: {step}").to_lowercase();
                let latencies = of_kind.iter().filter_map(|row| latency(row));
                Row::Latency(LatencyRow::new(&name, latencies))
            }));
        }
        rows
    }

    /// Returns the number of takeovers whose first task start came later than `within_s` seconds
    /// after the leader fault, or never.
    pub fn count_late(&self, within_s: f64) -> usize {
        let in_time = |row: &&TakeoverRow| {
            let started = row.started_ms;
            started.is_some_and(|ms| ms as f64 <= within_s * 1000.0)
        };
        self.rows.len() - self.rows.iter().filter(in_time).count()
    }
}

type StepLatency = fn(&TakeoverRow) -> Option<u64>;

/// Steps of a takeover, with their names in the results.
const TAKEOVER_STEPS: [(&str, StepLatency); 4] = [
    ("elected", |row| row.elected_ms),
    ("number shown", |row| row.token_acknowledged_ms),
    ("first start", |row| row.started_ms),
    ("first urgent", |row| row.urgent_started_ms),
];
