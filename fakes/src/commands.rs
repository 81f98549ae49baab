//! CommandChecker, judged by what the store, the workers and the cloud saw of them: no start that wasn't
//! committed for that machine before, none under a token that wasn't the worker's newest, no
//! attempt that falls, and calls to the cloud by one leader after the other ([`CloudCallChecker`]).

use crate::cloud_calls::CloudCallChecker;
use salttrestle::controller::store::records::PlacementRecord;
use salttrestle::ids::{Attempt, JobId, MachineId, TaskId};
use std::collections::{HashMap, HashSet};

/// Judges orders. Times are in milliseconds.
#[derive(Debug, Default)]
pub struct CommandChecker {
    /// Calls to the cloud.
    pub cloud_calls: CloudCallChecker,
    /// Tokens under which a shard's record was written.
    owner_tokens: HashSet<u64>,
    /// Where each attempt was committed to run.
    committed_machines: HashMap<(TaskId, Attempt), MachineId>,
    /// The latest attempt of each task that reached a worker.
    latest_attempts: HashMap<TaskId, Attempt>,
    /// Starts of tasks that had been started before: when, of what, and the attempts.
    pub restarts: Vec<String>,
    /// Violations.
    pub violations: Vec<String>,
}

impl CommandChecker {
    fn add_violation(&mut self, now: u64, what: String) {
        self.violations
            .push(format!("{:.3} start: {what}", now as f64 / 1e3));
    }

    /// A shard's record was written under a token.
    pub fn record_owner_token(&mut self, token: u64) {
        self.owner_tokens.insert(token);
    }

    /// A chunk of a job's placements was written.
    pub fn record_placements(&mut self, job: &JobId, run: &PlacementRecord) {
        for (index, attempt, machine, ..) in &run.placed {
            let task = TaskId {
                job: job.clone(),
                index: *index,
            };
            self.committed_machines
                .insert((task, *attempt), machine.clone());
        }
    }

    /// A start has reached a worker that knows this token as the newest.
    pub fn record_start(
        &mut self,
        now: u64,
        machine: &str,
        newest: u64,
        task: &TaskId,
        it: Attempt,
    ) {
        self.check_token(now, newest, task, it);
        let committed = self.committed_machines.get(&(task.clone(), it));
        if committed.is_none_or(|id| id.as_str() != machine) {
            let what = format!("{task} on {machine}, committed for {committed:?}");
            self.add_violation(now, what);
        }
        match self.latest_attempts.insert(task.clone(), it) {
            Some(before) if before > it => {
                self.add_violation(now, format!("{task} falls to an earlier attempt"));
            }
            Some(before) => {
                let at_s = now as f64 / 1e3;
                self.restarts.push(format!(
                    "{at_s:.3} {task} on {machine}: {:#x}, before {:#x}",
                    it.0, before.0
                ));
            }
            None => {}
        }
    }

    /// An attempt must be under a token that an owner had, and that its worker knows as the newest.
    fn check_token(&mut self, now: u64, newest: u64, task: &TaskId, attempt: Attempt) {
        let token = attempt.token().0;
        if !self.owner_tokens.contains(&token) {
            self.add_violation(now, format!("{task} under {token}, never held"));
        }
        if token != newest {
            let what = format!("{task} under {token} on a worker that knows {newest}");
            self.add_violation(now, what);
        }
    }
}
