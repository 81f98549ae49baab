//! Checks the commands that controllers send, based on what the store, the workers and the cloud
//! receive.
//!
//! A start must be committed for its machine before it reaches the worker, must be issued under the
//! worker's newest fencing token, and mustn't have a lower attempt than an earlier start of the
//! task. Once a leader has called the cloud, no earlier leader may ([`CloudCallChecker`]).

use crate::cloud_calls::CloudCallChecker;
use salttrestle::controller::store::records::PlacementRecord;
use salttrestle::ids::{Attempt, JobId, MachineId, TaskId};
use std::collections::{HashMap, HashSet};

/// Checks start commands and calls to the cloud. Times are in milliseconds.
#[derive(Debug, Default)]
pub struct CommandChecker {
    /// The checker of calls to the cloud.
    pub cloud_calls: CloudCallChecker,
    /// Fencing tokens under which a shard record was written.
    owner_tokens: HashSet<u64>,
    /// The machine for which each attempt of a task was committed.
    committed_machines: HashMap<(TaskId, Attempt), MachineId>,
    /// The latest attempt of each task that reached a worker.
    latest_attempts: HashMap<TaskId, Attempt>,
    /// One line for each start of a task that had been started before: the time in seconds, the
    /// task, the machine and both attempts.
    pub restarts: Vec<String>,
    /// One line for each violation by a start: the time in seconds and what was wrong.
    pub violations: Vec<String>,
}

impl CommandChecker {
    fn add_violation(&mut self, now: u64, what: String) {
        self.violations
            .push(format!("{:.3} start: {what}", now as f64 / 1e3));
    }

    /// Records that a shard record was written under a fencing token.
    pub fn record_owner_token(&mut self, token: u64) {
        self.owner_tokens.insert(token);
    }

    /// Records that a chunk of a job's placements was committed.
    pub fn record_placements(&mut self, job: &JobId, placements: &PlacementRecord) {
        for (index, attempt, machine, ..) in &placements.placed {
            let task = TaskId {
                job: job.clone(),
                index: *index,
            };
            self.committed_machines
                .insert((task, *attempt), machine.clone());
        }
    }

    /// Records that a start of `task` has reached the worker of `machine`, and checks it.
    /// `newest_token` is the highest fencing token that the worker knows.
    pub fn record_start(
        &mut self,
        now: u64,
        machine: &str,
        newest_token: u64,
        task: &TaskId,
        attempt: Attempt,
    ) {
        self.check_token(now, newest_token, task, attempt);
        let committed = self.committed_machines.get(&(task.clone(), attempt));
        if committed.is_none_or(|id| id.as_str() != machine) {
            let what = format!("{task} on {machine}, committed for {committed:?}");
            self.add_violation(now, what);
        }
        match self.latest_attempts.insert(task.clone(), attempt) {
            Some(before) if before > attempt => {
                self.add_violation(now, format!("{task} goes back to an earlier attempt"));
            }
            Some(before) => {
                let at_s = now as f64 / 1e3;
                self.restarts.push(format!(
                    "{at_s:.3} {task} on {machine}: {:#x}, before {:#x}",
                    attempt.0, before.0
                ));
            }
            None => {}
        }
    }

    /// Checks that an attempt's token is one under which a shard was owned, and the newest token
    /// that its worker knows.
    fn check_token(&mut self, now: u64, newest_token: u64, task: &TaskId, attempt: Attempt) {
        let token = attempt.token().0;
        if !self.owner_tokens.contains(&token) {
            self.add_violation(
                now,
                format!("{task} under token {token}, which never owned a shard"),
            );
        }
        if token != newest_token {
            let what =
                format!("{task} under token {token} on a worker that knows token {newest_token}");
            self.add_violation(now, what);
        }
    }
}
