//! The hollow workers of one cell: fake workers that heartbeat over real connections.

use super::connections::{Connections, Role};
use super::jobs::{Jobs, URGENT};
use super::plan::CellPlan;
use super::shared::SharedState;
use crate::observers::WorkerStart;
use rand::RngExt;
use rand::rngs::StdRng;
use salttrestle::http::{self, Message};
use salttrestle::ids::TaskId;
use salttrestle::wire::Cause;
use salttrestle_fakes::checker::Place;
use salttrestle_fakes::worker::{ANSWER_TIMEOUT_MS, TaskEvent, TaskState, Worker};
use std::collections::HashMap;
use std::sync::Arc;
use thiserror::Error;

/// Each worker is visited once in this time, in milliseconds.
pub(super) const ROUND_MS: u64 = 100;
/// The address that workers give for direct commands, which the service doesn't send.
const ENDPOINT: &str = "127.0.0.1:9";

/// A machine that a worker runs on.
pub(super) struct Machine<'a> {
    pub(super) id: &'a str,
    pub(super) machine_type: &'a str,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

/// How a machine stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MachineStop {
    /// It was deleted: its connection is closed.
    Deleted,
    /// It failed: its connection stays open and silent.
    Failed,
}

/// A response to a heartbeat that no worker could interpret.
#[derive(Debug, Error)]
#[error("{0}")]
pub(super) struct InvalidResponse(String);

struct HollowWorker {
    /// Id of its machine.
    id: String,
    worker: Worker,
    connection: Option<usize>,
    /// Its machine has stopped and sends nothing any more.
    stopped: bool,
}

/// The hollow workers of one cell.
pub(super) struct Workers {
    plan: Arc<CellPlan>,
    shared: Arc<SharedState>,
    workers: Vec<HollowWorker>,
    by_id: HashMap<String, usize>,
    /// The worker that was visited last.
    cursor: usize,
    heartbeats: u64,
    /// Tasks killed by the expiry of their worker's lease.
    pub(super) lease_kills: u64,
}

impl Workers {
    /// A cell without workers.
    pub(super) fn new(plan: Arc<CellPlan>, shared: Arc<SharedState>) -> Self {
        Self {
            plan,
            shared,
            workers: Vec::new(),
            by_id: HashMap::new(),
            cursor: 0,
            heartbeats: 0,
            lease_kills: 0,
        }
    }

    /// A machine has booted. Workers begin with one controller after another.
    pub(super) fn boot(&mut self, now: u64, machine: &Machine) {
        let index = self.workers.len();
        let controller = index % self.controllers();
        self.by_id.insert(machine.id.into(), index);
        let Machine {
            machine_type, zone, ..
        } = machine;
        self.workers.push(HollowWorker {
            id: machine.id.into(),
            worker: Worker::new(now, machine_type, zone, machine.spot, controller),
            connection: None,
            stopped: false,
        });
    }

    fn controllers(&self) -> usize {
        self.plan.addresses.controllers.len()
    }

    /// The workers whose machines run.
    fn live(&self) -> impl Iterator<Item = &HollowWorker> {
        self.workers.iter().filter(|worker| !worker.stopped)
    }

    /// Number of workers whose machines run.
    pub(super) fn running(&self) -> usize {
        self.live().count()
    }

    /// Number of workers that have been answered under a fencing token.
    pub(super) fn joined(&self) -> usize {
        let joined = |live: &&HollowWorker| live.worker.token > 0;
        self.live().filter(joined).count()
    }

    /// Number of running tasks.
    pub(super) fn tasks(&self) -> usize {
        let tasks = self.live().flat_map(|live| live.worker.tasks.values());
        tasks
            .filter(|task| task.state == TaskState::Running)
            .count()
    }

    /// Ids of the machines that run, of one zone or of all.
    pub(super) fn machines(&self, zone: Option<&str>) -> Vec<String> {
        self.live()
            .filter(|live| zone.is_none_or(|zone| zone == live.worker.zone))
            .map(|live| live.id.clone())
            .collect()
    }

    /// A machine stops, with all tasks on it.
    pub(super) fn stop(&mut self, connections: &mut Connections, id: &str, stop: MachineStop) {
        let Some(index) = self.by_id.get(id).copied() else {
            return;
        };
        let worker = &mut self.workers[index];
        if let Some(key) = worker.connection {
            match stop {
                MachineStop::Deleted => connections.close(key),
                MachineStop::Failed => connections.silence(key),
            }
        }
        if std::mem::replace(&mut worker.stopped, true) {
            return;
        }
        let mut checker = self.shared.checker();
        for task in worker.worker.tasks.keys() {
            checker.record_stop(task, id);
        }
    }

    /// Visits this share of the workers, one after another.
    pub(super) fn tick(
        &mut self,
        now: u64,
        share: f64,
        connections: &mut Connections,
        jobs: &Jobs,
        rng: &mut StdRng,
    ) {
        let count = (self.workers.len() as f64 * share).ceil() as usize;
        for _ in 0..count.min(self.workers.len()) {
            self.cursor = (self.cursor + 1) % self.workers.len();
            if !self.workers[self.cursor].stopped {
                self.visit(now, self.cursor, connections, jobs, rng);
            }
        }
    }

    /// Runs a worker's tasks, and sends its heartbeat if it is due.
    fn visit(
        &mut self,
        now: u64,
        index: usize,
        connections: &mut Connections,
        jobs: &Jobs,
        rng: &mut StdRng,
    ) {
        let controllers = self.controllers();
        let HollowWorker {
            worker, connection, ..
        } = &mut self.workers[index];
        let killed = worker.check_lease(now, self.plan.lease_ms);
        let events = worker.run_tasks(now, jobs);
        let timed_out = worker
            .request_in_flight
            .is_some_and(|(_, sent_ms)| now >= sent_ms + ANSWER_TIMEOUT_MS);
        if timed_out && let Some(key) = connection.take() {
            connections.close(key);
        }
        let heartbeat_due = worker.check_heartbeat_due(now, controllers);
        self.lease_expired(index, &killed);
        self.check(now, index, events);
        if heartbeat_due {
            let interval_ms = self.plan.heartbeat_ms;
            let jitter_ms = rng.random_range(0..interval_ms / 2);
            let interval_ms = interval_ms * 3 / 4 + jitter_ms;
            self.send_heartbeat(now, index, interval_ms, connections);
        }
    }

    fn lease_expired(&mut self, index: usize, killed: &[TaskId]) {
        if killed.is_empty() {
            return;
        }
        self.lease_kills += killed.len() as u64;
        let mut checker = self.shared.checker();
        for task in killed {
            checker.record_stop(task, &self.workers[index].id);
        }
    }

    fn send_heartbeat(
        &mut self,
        now: u64,
        index: usize,
        interval_ms: u64,
        connections: &mut Connections,
    ) {
        let controllers = self.controllers();
        let HollowWorker {
            id,
            worker,
            connection,
            ..
        } = &mut self.workers[index];
        worker.begin_heartbeat(now, interval_ms);
        let address = self.plan.addresses.controllers[worker.controller_index];
        let opened = match *connection {
            Some(key) => Ok(key),
            None => connections.connect(address, Role::Worker(index)),
        };
        let Ok(key) = opened else {
            return worker.on_connection_failed(now, controllers);
        };
        *connection = Some(key);
        self.heartbeats += 1;
        worker.request_in_flight = Some((self.heartbeats, now));
        let body = worker.heartbeat_body(id, ENDPOINT, now);
        let host = address.to_string();
        connections.send(
            key,
            &http::request("POST", "/agent/beat", &host, Some(&body)),
        );
    }

    /// A response to a worker's heartbeat was received.
    pub(super) fn responded(
        &mut self,
        now: u64,
        index: usize,
        response: &Message,
        connections: &mut Connections,
        jobs: &Jobs,
    ) -> Result<(), InvalidResponse> {
        let HollowWorker {
            worker,
            connection,
            stopped,
            ..
        } = &mut self.workers[index];
        let Some((_, sent_ms)) = worker.request_in_flight.filter(|_| !*stopped) else {
            return Ok(());
        };
        let (controller, token) = (worker.controller_index, worker.token);
        let status = response.status().unwrap_or(0);
        let response = (status, response.body.as_slice());
        let controller_ids = &self.plan.controller_ids;
        let events = worker
            .on_answer(now, sent_ms, response, controller_ids, jobs)
            .map_err(|error| InvalidResponse(error.to_string()))?;
        if self.plan.single && worker.token > token {
            let mut takeovers = self.shared.takeovers();
            takeovers.token_acknowledged(now, worker.token);
        }
        if worker.controller_index != controller
            && let Some(key) = connection.take()
        {
            connections.close(key);
        }
        self.check(now, index, events);
        Ok(())
    }

    /// A worker's connection is closed.
    pub(super) fn closed(&mut self, now: u64, index: usize, key: usize) {
        let controllers = self.controllers();
        let HollowWorker {
            worker, connection, ..
        } = &mut self.workers[index];
        if *connection != Some(key) {
            return;
        }
        *connection = None;
        if worker.request_in_flight.is_some() {
            worker.on_connection_failed(now, controllers);
        }
    }

    /// Passes the events of a worker's tasks to the checker.
    fn check(&self, now: u64, index: usize, events: Vec<TaskEvent>) {
        if events.is_empty() {
            return;
        }
        let HollowWorker { id, worker, .. } = &self.workers[index];
        let mut checker = self.shared.checker();
        for event in events {
            match event {
                TaskEvent::Accepted(task, attempt) => {
                    let job = checker.jobs.get(&task.job);
                    let start = WorkerStart {
                        machine: id,
                        newest_token: worker.token,
                        task: &task,
                        attempt,
                        urgent: job.is_some_and(|job| job.record.class == URGENT),
                    };
                    if self.plan.single {
                        self.shared.takeovers().started(now, &start);
                    }
                }
                TaskEvent::Started(task) => checker.record_start(now, &task, place(id, worker)),
                TaskEvent::Ended(task, cause) => {
                    if cause == Cause::Done {
                        checker.record_completion(now, &task);
                    }
                    checker.record_stop(&task, id);
                }
            }
        }
    }
}

fn place(machine: &str, worker: &Worker) -> Place {
    Place {
        machine: machine.into(),
        class: worker.class.clone(),
        zone: worker.zone.clone(),
        spot: worker.spot,
    }
}
