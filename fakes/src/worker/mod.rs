//! A worker: its heartbeats, lease, agent epoch, token and tasks. It has no clock and no network: the
//! caller hands in the time and carries heartbeats and answers.

mod messages;
mod task;

pub use task::{TaskEvent, TaskSpec, TaskSpecs, TaskState, WorkerTask};

use messages::{AnswerBody, HeartbeatBody, HeartbeatTask, RedirectBody};
use salttrestle::ids::{Attempt, TaskId};
use salttrestle::wire::{self, Cause};
use std::collections::BTreeMap;

/// How long the answer to a heartbeat is waited for, in milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 4000;
/// Pause before the next controller is tried, in milliseconds.
const NEXT_CONTROLLER_DELAY_MS: u64 = 1000;
/// Shortest time between two heartbeats, and before the first one of a new agent epoch, in milliseconds.
const HEARTBEAT_GAP_MIN_MS: u64 = 500;
/// A task of a service runs until it is stopped.
const SERVICE_RUN_MS: u64 = u64::MAX / 2;

/// One worker. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// The machine's type.
    pub class: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The highest token that it has seen.
    pub token: u64,
    /// Rises whenever its lease expires.
    pub agent_epoch: u64,
    /// Rises with every heartbeat.
    pub sequence: u64,
    /// When the last answered heartbeat was sent.
    pub lease_renewed_at: u64,
    /// Its tasks, including those that have exited, until they are cleared.
    pub tasks: BTreeMap<TaskId, WorkerTask>,
    /// The controller that it sends heartbeats to.
    pub controller_index: usize,
    /// The request in flight, and when it was sent.
    pub request_in_flight: Option<(u64, u64)>,
    /// When it sent its last heartbeat.
    pub last_heartbeat_at: u64,
    /// When it sends its next heartbeat, if nothing changes.
    pub next_heartbeat_at: u64,
    /// Whether something has changed since the last heartbeat.
    pub status_changed: bool,
    /// The images that it has.
    pub cached_images: Vec<String>,
    /// It is paused until then.
    pub paused_until: u64,
    /// It is partitioned from all controllers, in both directions, until then.
    pub partitioned_until: u64,
    /// It is unreachable for answers until then; its heartbeats arrive.
    pub answers_lost_until: u64,
    /// It can reach no controller until then: its heartbeats are lost.
    pub heartbeats_lost_until: u64,
    /// The machine is faulty: every task fails on it.
    pub is_faulty: bool,
    /// When the cloud preempts the machine.
    pub preempted_at: Option<u64>,
}

impl Worker {
    /// The worker of a machine that has just come up.
    pub fn new(now: u64, class: &str, zone: &str, spot: bool, controller: usize) -> Self {
        Self {
            class: class.into(),
            zone: zone.into(),
            spot,
            agent_epoch: 1,
            lease_renewed_at: now,
            controller_index: controller,
            next_heartbeat_at: now,
            ..Self::default()
        }
    }

    /// Pauses until then; what its tasks still have to run isn't run meanwhile.
    pub fn pause(&mut self, now: u64, until: u64) {
        self.paused_until = until;
        for task in self.tasks.values_mut() {
            task.state_ends_at = task.state_ends_at.saturating_add(until - now);
        }
    }

    /// Kills and forgets all tasks if the lease has expired; these were the tasks.
    pub fn check_lease(&mut self, now: u64, lease_ms: u64) -> Vec<TaskId> {
        if now <= self.lease_renewed_at + lease_ms {
            return Vec::new();
        }
        self.agent_epoch += 1;
        self.lease_renewed_at = now;
        self.request_in_flight = None;
        self.next_heartbeat_at = now + HEARTBEAT_GAP_MIN_MS;
        self.status_changed = true;
        std::mem::take(&mut self.tasks).into_keys().collect()
    }

    /// Lets each task come as far as it has by now.
    pub fn run_tasks(&mut self, now: u64, specs: &impl TaskSpecs) -> Vec<TaskEvent> {
        let due = self
            .tasks
            .iter()
            .filter(|(_, on_worker)| on_worker.is_state_over(now));
        let due = due.map(|(task, on_worker)| (task.clone(), on_worker.state));
        let due: Vec<(TaskId, TaskState)> = due.collect();
        let mut events = Vec::new();
        for (task, state) in due {
            match state {
                TaskState::Fetching => self.on_image_ready(now, task, specs, &mut events),
                TaskState::Running => self.end_task(task, Cause::Done, &mut events),
                TaskState::Saving => self.end_task(task, Cause::Stopped, &mut events),
                TaskState::Ended(_) => {}
            }
        }
        events
    }

    fn on_image_ready(
        &mut self,
        now: u64,
        task: TaskId,
        specs: &impl TaskSpecs,
        events: &mut Vec<TaskEvent>,
    ) {
        let Some(spec) = specs.spec(&task) else {
            return;
        };
        if !self.cached_images.contains(&spec.image) {
            self.cached_images.push(spec.image.clone());
        }
        self.status_changed = true;
        if self.is_faulty || spec.crash_loops {
            return self.end_task(task, Cause::Error, events);
        }
        let run_ms = if spec.is_service {
            SERVICE_RUN_MS
        } else {
            spec.run_ms
        };
        if let Some(on_worker) = self.tasks.get_mut(&task) {
            on_worker.state = TaskState::Running;
            on_worker.state_ends_at = now + run_ms;
        }
        events.push(TaskEvent::Started(task));
    }

    fn end_task(&mut self, task: TaskId, cause: Cause, events: &mut Vec<TaskEvent>) {
        self.status_changed = true;
        if let Some(on_worker) = self.tasks.get_mut(&task) {
            on_worker.state = TaskState::Ended(cause);
        }
        events.push(TaskEvent::Ended(task, cause));
    }

    /// Gives up on a heartbeat without an answer, and says whether the next one is due.
    pub fn check_heartbeat_due(&mut self, now: u64, controllers: usize) -> bool {
        if let Some((_, sent)) = self.request_in_flight {
            if now < sent + ANSWER_TIMEOUT_MS {
                return false;
            }
            self.request_in_flight = None;
            self.try_next_controller(now, controllers);
        }
        let rested = now >= self.last_heartbeat_at + HEARTBEAT_GAP_MIN_MS;
        rested && (self.status_changed || now >= self.next_heartbeat_at)
    }

    /// Begins a heartbeat; the next one is due after `interval` if nothing changes.
    pub fn begin_heartbeat(&mut self, now: u64, interval: u64) {
        self.next_heartbeat_at = now + interval;
        self.last_heartbeat_at = now;
        self.status_changed = false;
        self.sequence += 1;
    }

    /// The heartbeat as it goes onto the wire.
    pub fn heartbeat_body(&self, machine: &str, endpoint: &str, now: u64) -> Vec<u8> {
        let tasks = self.tasks.iter().map(|(task, on_worker)| {
            let (state, cause) = on_worker.status();
            HeartbeatTask {
                task: task.to_string(),
                attempt: on_worker.attempt,
                state,
                cause,
            }
        });
        wire::encode(&HeartbeatBody {
            machine,
            endpoint,
            class: &self.class,
            zone: &self.zone,
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            notice_s: self
                .preempted_at
                .map(|at| at.saturating_sub(now) as f64 / 1000.0),
            tasks: tasks.collect(),
        })
    }

    fn try_next_controller(&mut self, now: u64, controllers: usize) {
        self.controller_index = (self.controller_index + 1) % controllers;
        self.next_heartbeat_at = now + NEXT_CONTROLLER_DELAY_MS;
    }

    /// The heartbeat in flight got no answer: the connection failed.
    pub fn on_connection_failed(&mut self, now: u64, controllers: usize) {
        self.request_in_flight = None;
        self.try_next_controller(now, controllers);
    }

    /// The answer to the heartbeat that was sent at `sent` has come. `Err` says what no worker would
    /// understand of it.
    pub fn on_answer(
        &mut self,
        now: u64,
        sent: u64,
        (status, body): (u16, &[u8]),
        controller_ids: &[String],
        specs: &impl TaskSpecs,
    ) -> Result<Vec<TaskEvent>, String> {
        self.request_in_flight = None;
        match status {
            200 => return self.execute_commands(now, sent, body, specs),
            421 => self.follow_redirect(now, body, controller_ids),
            _ => self.try_next_controller(now, controller_ids.len()),
        }
        Ok(Vec::new())
    }

    /// Goes on to the controller that an answer names, or to the next one if that makes no sense.
    fn follow_redirect(&mut self, now: u64, body: &[u8], controller_ids: &[String]) {
        let redirect: Option<RedirectBody> = wire::decode(body);
        let named = redirect.and_then(|redirect| redirect.to);
        let named = named.and_then(|name| controller_ids.iter().position(|id| *id == name));
        match named.filter(|controller| *controller != self.controller_index) {
            Some(controller) => {
                self.controller_index = controller;
                self.next_heartbeat_at = now;
                self.status_changed = true;
            }
            None => self.try_next_controller(now, controller_ids.len()),
        }
    }

    /// Carries out the commands of an answer, unless they are under an outdated token.
    fn execute_commands(
        &mut self,
        now: u64,
        sent: u64,
        body: &[u8],
        specs: &impl TaskSpecs,
    ) -> Result<Vec<TaskEvent>, String> {
        let Some(answer) = wire::decode::<AnswerBody>(body) else {
            return Err("an answer can't be read".into());
        };
        let mut events = Vec::new();
        let token = answer.token.unwrap_or(0);
        if token < self.token || token == 0 {
            return Ok(events);
        }
        if token > self.token {
            self.token = token;
            self.status_changed = true;
        }
        self.lease_renewed_at = self.lease_renewed_at.max(sent);
        for command in answer.commands {
            let task = TaskId::parse(&command.task).ok_or("a task's name can't be read")?;
            let attempt = Attempt(command.attempt);
            match command.kind.as_str() {
                "start" => self.start_task(now, task, attempt, specs, &mut events),
                "halt" => {
                    let grace_ms = (command.grace_s.unwrap_or(0.0) * 1000.0) as u64;
                    self.stop_task(now, task, attempt, grace_ms, specs, &mut events);
                }
                "clear" => self.clear_task(&task, attempt),
                other => return Err(format!("strange command {other}")),
            }
        }
        Ok(events)
    }

    fn clear_task(&mut self, task: &TaskId, attempt: Attempt) {
        let on_worker = self.tasks.get(task);
        if on_worker.is_some_and(|found| found.attempt == attempt && found.has_ended()) {
            self.tasks.remove(task);
        }
    }

    fn start_task(
        &mut self,
        now: u64,
        task: TaskId,
        attempt: Attempt,
        specs: &impl TaskSpecs,
        events: &mut Vec<TaskEvent>,
    ) {
        let Some(spec) = specs.spec(&task) else {
            return;
        };
        let busy = match self.tasks.get(&task) {
            Some(found) if found.attempt == attempt => return,
            Some(found) => !found.has_ended(),
            None => false,
        };
        self.status_changed = true;
        if busy {
            return;
        }
        let fetch_ms = match self.cached_images.contains(&spec.image) {
            true => 0,
            false => spec.fetch_ms,
        };
        let started = WorkerTask {
            attempt,
            state: TaskState::Fetching,
            state_ends_at: now + fetch_ms,
        };
        self.tasks.insert(task.clone(), started);
        events.push(TaskEvent::Accepted(task.clone(), attempt));
        if fetch_ms == 0 {
            self.on_image_ready(now, task, specs, events);
        }
    }

    fn stop_task(
        &mut self,
        now: u64,
        task: TaskId,
        attempt: Attempt,
        grace_ms: u64,
        specs: &impl TaskSpecs,
        events: &mut Vec<TaskEvent>,
    ) {
        let Some(save_ms) = specs.spec(&task).map(|spec| spec.save_ms) else {
            return;
        };
        let found = self.tasks.get_mut(&task);
        let Some(found) = found.filter(|found| found.attempt == attempt) else {
            return;
        };
        let saves = save_ms > 0 && grace_ms >= save_ms;
        match found.state {
            TaskState::Running if saves => {
                found.state = TaskState::Saving;
                found.state_ends_at = now + save_ms;
                self.status_changed = true;
            }
            TaskState::Saving if saves => {}
            TaskState::Ended(_) => {}
            _ => self.end_task(task, Cause::Stopped, events),
        }
    }
}
