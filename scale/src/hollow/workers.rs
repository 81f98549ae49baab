//! The hollow workers of one cell: the shared worker behind real connections.

use super::cell::{CellPlan, Shared};
use super::connections::{Connections, Role};
use super::users::{Jobs, URGENT};
use crate::observers::WorkerStart;
use rand::RngExt;
use rand::rngs::StdRng;
use salttrestle::http::{self, Message};
use salttrestle::wire::Cause;
use salttrestle_fakes::checker::Place;
use salttrestle_fakes::worker::{ANSWER_MS, TaskEvent, TaskState, Worker};
use std::collections::HashMap;
use std::sync::Arc;

/// Each worker is looked at once in this time, in milliseconds.
pub const ROUND_MS: u64 = 100;
/// The address that workers name for direct commands; none are sent by this service.
const ENDPOINT: &str = "127.0.0.1:9";

struct HollowWorker {
    id: String,
    worker: Worker,
    connection: Option<usize>,
    /// The machine has stopped: nothing comes from it any more.
    stopped: bool,
}

/// The hollow workers of one cell.
pub struct Inventory {
    plan: Arc<CellPlan>,
    shared: Arc<Shared>,
    workers: Vec<HollowWorker>,
    by_id: HashMap<String, usize>,
    cursor: usize,
    reports: u64,
    /// Tasks killed since their worker's lease was over.
    pub killed: u64,
}

impl Inventory {
    /// A cell without workers.
    pub fn new(plan: Arc<CellPlan>, shared: Arc<Shared>) -> Self {
        Self {
            plan,
            shared,
            workers: Vec::new(),
            by_id: HashMap::new(),
            cursor: 0,
            reports: 0,
            killed: 0,
        }
    }

    /// A machine has come up.
    pub fn boot(&mut self, now: u64, id: &str, class: &str, zone: &str, spot: bool) {
        let index = self.workers.len();
        let controller = index % self.plan.addresses.controllers.len();
        self.by_id.insert(id.into(), index);
        self.workers.push(HollowWorker {
            id: id.into(),
            worker: Worker::new(now, class, zone, spot, controller),
            connection: None,
            stopped: false,
        });
    }

    /// Workers whose machines run.
    pub fn running(&self) -> usize {
        self.workers.iter().filter(|w| !w.stopped).count()
    }

    /// Workers that have been answered under a token.
    pub fn joined(&self) -> usize {
        let joined = |w: &&HollowWorker| !w.stopped && w.worker.token > 0;
        self.workers.iter().filter(joined).count()
    }

    /// Tasks that run.
    pub fn tasks(&self) -> usize {
        let live = self.workers.iter().filter(|w| !w.stopped);
        let tasks = live.flat_map(|w| w.worker.tasks.values());
        tasks.filter(|t| t.state == TaskState::Running).count()
    }

    /// Machines that run, of one zone or of all: their names.
    pub fn machines(&self, zone: Option<&str>) -> Vec<String> {
        let here = |w: &&HollowWorker| !w.stopped && zone.is_none_or(|z| z == w.worker.zone);
        let found = self.workers.iter().filter(here);
        found.map(|w| w.id.clone()).collect()
    }

    /// A machine stops, with all that is on it. Its connection stays open and silent unless it
    /// was deleted.
    pub fn stop(&mut self, connections: &mut Connections, id: &str, deleted: bool) {
        let Some(index) = self.by_id.get(id).copied() else {
            return;
        };
        let stopped = &mut self.workers[index];
        if let Some(key) = stopped.connection {
            match deleted {
                true => connections.close(key),
                false => connections.silence(key),
            }
        }
        if std::mem::replace(&mut stopped.stopped, true) {
            return;
        }
        let mut checker = self.shared.checker();
        for task in stopped.worker.tasks.keys() {
            checker.stops(task, id);
        }
    }

    /// Looks at the next few workers, so that each is looked at once in a round.
    pub fn tick(
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
                self.look_at(now, self.cursor, connections, jobs, rng);
            }
        }
    }

    fn look_at(
        &mut self,
        now: u64,
        index: usize,
        connections: &mut Connections,
        jobs: &Jobs,
        rng: &mut StdRng,
    ) {
        let controllers = self.plan.addresses.controllers.len();
        let found = &mut self.workers[index];
        let killed = found.worker.check_lease(now, self.plan.lease_ms);
        let events = found.worker.run_tasks(now, jobs);
        let late = |(_, sent): (u64, u64)| now >= sent + ANSWER_MS;
        let given_up = found.worker.flight.is_some_and(late);
        if given_up && let Some(key) = found.connection.take() {
            connections.close(key);
        }
        let due = found.worker.report_due(now, controllers);
        if !killed.is_empty() {
            self.killed += killed.len() as u64;
            let mut checker = self.shared.checker();
            for task in &killed {
                checker.stops(task, &found.id);
            }
        }
        self.note(now, index, events);
        if due {
            let interval = self.plan.report_ms;
            let jitter = rng.random_range(0..interval / 2);
            self.report(now, index, interval * 3 / 4 + jitter, connections);
        }
    }

    fn report(&mut self, now: u64, index: usize, interval: u64, connections: &mut Connections) {
        let found = &mut self.workers[index];
        found.worker.begin_report(now, interval);
        let to = self.plan.addresses.controllers[found.worker.controller];
        let key = match found.connection {
            Some(key) => key,
            None => match connections.connect(to, Role::Worker(index)) {
                Ok(key) => key,
                Err(_) => {
                    let controllers = self.plan.addresses.controllers.len();
                    return found.worker.unanswered(now, controllers);
                }
            },
        };
        found.connection = Some(key);
        self.reports += 1;
        found.worker.flight = Some((self.reports, now));
        let body = found.worker.report_body(&found.id, ENDPOINT, now);
        let bytes = http::request("POST", "/agent/beat", &to.to_string(), Some(&body));
        connections.send(key, &bytes);
    }

    /// An answer has reached a worker. `Err` says what no worker would understand.
    pub fn answered(
        &mut self,
        now: u64,
        index: usize,
        message: &Message,
        connections: &mut Connections,
        jobs: &Jobs,
    ) -> Result<(), String> {
        let found = &mut self.workers[index];
        let Some((_, sent)) = found.worker.flight.filter(|_| !found.stopped) else {
            return Ok(());
        };
        let before = found.worker.controller;
        let answer = (message.status().unwrap_or(0), message.body.as_slice());
        let members = &self.plan.members;
        let number = found.worker.token;
        let events = found.worker.answered(now, sent, answer, members, jobs)?;
        if self.plan.sole && found.worker.token > number {
            self.shared
                .takeovers()
                .token_acknowledged(now, found.worker.token);
        }
        if found.worker.controller != before
            && let Some(key) = found.connection.take()
        {
            connections.close(key);
        }
        self.note(now, index, events);
        Ok(())
    }

    /// A worker's connection is gone.
    pub fn closed(&mut self, now: u64, index: usize, key: usize) {
        let controllers = self.plan.addresses.controllers.len();
        let found = &mut self.workers[index];
        if found.connection != Some(key) {
            return;
        }
        found.connection = None;
        if found.worker.flight.is_some() {
            found.worker.unanswered(now, controllers);
        }
    }

    /// Tells the checker what happened to a worker's tasks.
    fn note(&self, now: u64, index: usize, events: Vec<TaskEvent>) {
        if events.is_empty() {
            return;
        }
        let found = &self.workers[index];
        let mut checker = self.shared.checker();
        for event in events {
            match event {
                TaskEvent::Accepted(task, attempt) if self.plan.sole => {
                    let job = checker.jobs.get(&task.job);
                    let urgent = job.is_some_and(|j| j.record.class == URGENT);
                    let start = WorkerStart {
                        machine: &found.id,
                        newest_token: found.worker.token,
                        task: &task,
                        attempt,
                        urgent,
                    };
                    self.shared.takeovers().started(now, &start);
                }
                TaskEvent::Accepted(..) => {}
                TaskEvent::Started(task) => {
                    let place = Place {
                        machine: found.id.clone(),
                        class: found.worker.class.clone(),
                        zone: found.worker.zone.clone(),
                        spot: found.worker.spot,
                    };
                    checker.starts(now, &task, place);
                }
                TaskEvent::Ended(task, cause) => {
                    if cause == Cause::Done {
                        checker.finishes(now, &task);
                    }
                    checker.stops(&task, &found.id);
                }
            }
        }
    }
}
