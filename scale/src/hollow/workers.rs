//! The hollow workers of one cell: simulated workers that send heartbeats over TCP connections.

use super::connections::{Connections, Role};
use super::jobs::{Jobs, URGENT_CLASS};
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

/// Interval at which each worker's state is advanced, in milliseconds. The workers take turns, so
/// that the work is spread evenly over the interval.
pub(super) const VISIT_INTERVAL_MS: u64 = 100;
/// Address that workers report for direct commands. Controllers don't connect to it: they send
/// commands only in their responses to heartbeats.
const ENDPOINT: &str = "127.0.0.1:9";

/// A machine that has booted, on which a worker runs.
pub(super) struct Machine<'a> {
    pub(super) id: &'a str,
    pub(super) machine_type: &'a str,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

/// Why a machine stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MachineStop {
    /// The cloud deleted the machine, which closes its connection.
    Deleted,
    /// The machine failed: its connection stays open, but nothing is sent or read any more.
    Failed,
}

/// A response to a heartbeat that doesn't follow the protocol.
#[derive(Debug, Error)]
#[error("{0}")]
pub(super) struct InvalidResponse(String);

struct HollowWorker {
    /// Id of the machine that the worker runs on.
    id: String,
    worker: Worker,
    connection: Option<usize>,
    /// Whether the machine has stopped. A stopped machine sends nothing.
    is_stopped: bool,
}

/// The hollow workers of one cell.
pub(super) struct Workers {
    plan: Arc<CellPlan>,
    shared: Arc<SharedState>,
    workers: Vec<HollowWorker>,
    index_by_machine: HashMap<String, usize>,
    /// Index of the worker whose turn came last. The turns of stopped workers are skipped.
    last_visited: usize,
    heartbeats_sent: u64,
    /// Number of tasks killed because their worker's lease expired.
    pub(super) lease_kills: u64,
}

impl Workers {
    /// Returns an empty set of workers.
    pub(super) fn new(plan: Arc<CellPlan>, shared: Arc<SharedState>) -> Self {
        Self {
            plan,
            shared,
            workers: Vec::new(),
            index_by_machine: HashMap::new(),
            last_visited: 0,
            heartbeats_sent: 0,
            lease_kills: 0,
        }
    }

    /// Adds a worker on a machine that has booted. The first controllers of successive workers are
    /// assigned in round-robin order.
    pub(super) fn add(&mut self, now: u64, machine: &Machine) {
        let index = self.workers.len();
        let controller = index % self.controller_count();
        self.index_by_machine.insert(machine.id.into(), index);
        let Machine {
            machine_type, zone, ..
        } = machine;
        self.workers.push(HollowWorker {
            id: machine.id.into(),
            worker: Worker::new(now, machine_type, zone, machine.spot, controller),
            connection: None,
            is_stopped: false,
        });
    }

    fn controller_count(&self) -> usize {
        self.plan.addresses.controllers.len()
    }

    /// Iterates over the workers whose machines are running.
    fn running_workers(&self) -> impl Iterator<Item = &HollowWorker> {
        self.workers.iter().filter(|worker| !worker.is_stopped)
    }

    /// Returns the number of workers whose machines are running.
    pub(super) fn running_count(&self) -> usize {
        self.running_workers().count()
    }

    /// Returns the number of running workers that have received a response with a fencing token.
    pub(super) fn joined_count(&self) -> usize {
        let has_joined = |running: &&HollowWorker| running.worker.token > 0;
        self.running_workers().filter(has_joined).count()
    }

    /// Returns the number of running tasks.
    pub(super) fn running_task_count(&self) -> usize {
        let tasks = self
            .running_workers()
            .flat_map(|running| running.worker.tasks.values());
        tasks
            .filter(|task| task.state == TaskState::Running)
            .count()
    }

    /// Returns the ids of running machines in one zone, or in all zones if `None`.
    pub(super) fn running_machines(&self, zone: Option<&str>) -> Vec<String> {
        self.running_workers()
            .filter(|running| zone.is_none_or(|zone| zone == running.worker.zone))
            .map(|running| running.id.clone())
            .collect()
    }

    /// Stops a machine and all tasks on it. Does nothing if the machine has no worker.
    pub(super) fn stop_machine(
        &mut self,
        connections: &mut Connections,
        id: &str,
        stop: MachineStop,
    ) {
        let Some(index) = self.index_by_machine.get(id).copied() else {
            return;
        };
        let worker = &mut self.workers[index];
        if let Some(key) = worker.connection {
            match stop {
                MachineStop::Deleted => connections.close(key),
                MachineStop::Failed => connections.stop_reading(key),
            }
        }
        if std::mem::replace(&mut worker.is_stopped, true) {
            return;
        }
        let mut checker = self.shared.checker();
        for task in worker.worker.tasks.keys() {
            checker.record_stop(task, id);
        }
    }

    /// Advances the state of a fraction of the workers (0 to 1, rounded up). Successive calls take
    /// the workers in turn.
    pub(super) fn tick(
        &mut self,
        now: u64,
        fraction: f64,
        connections: &mut Connections,
        jobs: &Jobs,
        rng: &mut StdRng,
    ) {
        let count = (self.workers.len() as f64 * fraction).ceil() as usize;
        for _ in 0..count.min(self.workers.len()) {
            self.last_visited = (self.last_visited + 1) % self.workers.len();
            if !self.workers[self.last_visited].is_stopped {
                self.step_worker(now, self.last_visited, connections, jobs, rng);
            }
        }
    }

    /// Advances the state of a worker: checks its lease, runs its tasks, times out its request in
    /// flight, and sends a heartbeat if one is due.
    fn step_worker(
        &mut self,
        now: u64,
        index: usize,
        connections: &mut Connections,
        jobs: &Jobs,
        rng: &mut StdRng,
    ) {
        let controller_count = self.controller_count();
        let HollowWorker {
            worker, connection, ..
        } = &mut self.workers[index];
        let killed = worker.check_lease(now, self.plan.lease_ms);
        let events = worker.run_tasks(now, jobs);
        let has_timed_out = worker
            .request_in_flight
            .is_some_and(|(_, sent_ms)| now >= sent_ms + ANSWER_TIMEOUT_MS);
        if has_timed_out && let Some(key) = connection.take() {
            connections.close(key);
        }
        let is_heartbeat_due = worker.check_heartbeat_due(now, controller_count);
        self.record_lease_kills(index, &killed);
        self.report_events(now, index, events);
        if is_heartbeat_due {
            let interval_ms = self.plan.heartbeat_ms;
            let jitter_ms = rng.random_range(0..interval_ms / 2);
            let interval_ms = interval_ms * 3 / 4 + jitter_ms;
            self.send_heartbeat(now, index, interval_ms, connections);
        }
    }

    fn record_lease_kills(&mut self, index: usize, killed: &[TaskId]) {
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
        let controller_count = self.controller_count();
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
            return worker.on_connection_failed(now, controller_count);
        };
        *connection = Some(key);
        self.heartbeats_sent += 1;
        worker.request_in_flight = Some((self.heartbeats_sent, now));
        let body = worker.heartbeat_body(id, ENDPOINT, now);
        let host = address.to_string();
        connections.send(
            key,
            &http::request("POST", "/agent/beat", &host, Some(&body)),
        );
    }

    /// Handles the response to a worker's heartbeat.
    ///
    /// # Errors
    ///
    /// Fails if the body of a successful response doesn't follow the protocol.
    pub(super) fn handle_response(
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
            is_stopped,
            ..
        } = &mut self.workers[index];
        let Some((_, sent_ms)) = worker.request_in_flight.filter(|_| !*is_stopped) else {
            return Ok(());
        };
        let (controller, token) = (worker.controller_index, worker.token);
        let status = response.status().unwrap_or(0);
        let response = (status, response.body.as_slice());
        let controller_ids = &self.plan.controller_ids;
        let events = worker
            .on_answer(now, sent_ms, response, controller_ids, jobs)
            .map_err(|error| InvalidResponse(error.to_string()))?;
        if self.plan.is_only_cell && worker.token > token {
            let mut takeovers = self.shared.takeover_observer();
            takeovers.record_token_acknowledgement(now, worker.token);
        }
        if worker.controller_index != controller
            && let Some(key) = connection.take()
        {
            connections.close(key);
        }
        self.report_events(now, index, events);
        Ok(())
    }

    /// Handles the close of a worker's connection: a heartbeat in flight on it has failed.
    pub(super) fn handle_close(&mut self, now: u64, index: usize, key: usize) {
        let controller_count = self.controller_count();
        let HollowWorker {
            worker, connection, ..
        } = &mut self.workers[index];
        if *connection != Some(key) {
            return;
        }
        *connection = None;
        if worker.request_in_flight.is_some() {
            worker.on_connection_failed(now, controller_count);
        }
    }

    /// Reports the events of a worker's tasks to the checker and the takeover observer.
    fn report_events(&self, now: u64, index: usize, events: Vec<TaskEvent>) {
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
                        is_urgent: job.is_some_and(|job| job.record.class == URGENT_CLASS),
                    };
                    if self.plan.is_only_cell {
                        self.shared.takeover_observer().record_start(now, &start);
                    }
                }
                TaskEvent::Started(task) => checker.record_start(now, &task, place_of(id, worker)),
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

fn place_of(machine: &str, worker: &Worker) -> Place {
    Place {
        machine: machine.into(),
        class: worker.class.clone(),
        zone: worker.zone.clone(),
        spot: worker.spot,
    }
}
