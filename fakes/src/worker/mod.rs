//! Test double of a worker: its heartbeats, lease, agent epoch, fencing token and tasks. It has no
//! clock and no network: the caller passes in the time and delivers heartbeats and responses.

mod messages;
mod task;

pub use task::{TaskEvent, TaskSpec, TaskSpecs, TaskState, WorkerTask};

use messages::{CommandsBody, HeartbeatBody, HeartbeatTask, RedirectBody};
use salttrestle::ids::{Attempt, TaskId};
use salttrestle::wire::{self, Cause};
use std::collections::BTreeMap;

/// Timeout of a heartbeat request, in milliseconds.
pub const ANSWER_TIMEOUT_MS: u64 = 4000;
/// Delay before the heartbeat to the next controller after a failed one, in milliseconds.
const NEXT_CONTROLLER_DELAY_MS: u64 = 1000;
/// Shortest time between two heartbeats, and before the first one of a new agent epoch, in
/// milliseconds.
const HEARTBEAT_GAP_MIN_MS: u64 = 500;
/// Run time of a service's task, in milliseconds: it never ends before it is stopped.
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
    /// The highest fencing token that the worker has received.
    pub token: u64,
    /// Incremented whenever the worker's lease expires.
    pub agent_epoch: u64,
    /// Incremented with each heartbeat.
    pub sequence: u64,
    /// When the latest heartbeat that a controller answered was sent; the lease runs from then.
    pub lease_renewed_at: u64,
    /// The worker's tasks; those that have ended stay until a command clears them.
    pub tasks: BTreeMap<TaskId, WorkerTask>,
    /// Index of the controller to which the worker sends its heartbeats.
    pub controller_index: usize,
    /// The number of the request in flight, and when it was sent.
    pub request_in_flight: Option<(u64, u64)>,
    /// When the worker sent its last heartbeat.
    pub last_heartbeat_at: u64,
    /// When the worker sends its next heartbeat if nothing changes before.
    pub next_heartbeat_at: u64,
    /// Whether the worker's status has changed since its last heartbeat.
    pub status_changed: bool,
    /// Names of the images that the worker has fetched.
    pub cached_images: Vec<String>,
    /// The worker is paused until this time.
    pub paused_until: u64,
    /// The worker is partitioned from all controllers, in both directions, until this time.
    pub partitioned_until: u64,
    /// Responses to the worker are lost until this time; its heartbeats still arrive.
    pub answers_lost_until: u64,
    /// The worker's heartbeats to all controllers are lost until this time.
    pub heartbeats_lost_until: u64,
    /// Whether the machine is faulty, so that every task fails on it.
    pub is_faulty: bool,
    /// When the cloud preempts the machine, once it has given notice.
    pub preempted_at: Option<u64>,
}

impl Worker {
    /// Creates the worker of a machine that has just come up. It sends its first heartbeat to the
    /// controller with index `controller_index`.
    pub fn new(now: u64, class: &str, zone: &str, spot: bool, controller_index: usize) -> Self {
        Self {
            class: class.into(),
            zone: zone.into(),
            spot,
            agent_epoch: 1,
            lease_renewed_at: now,
            controller_index,
            next_heartbeat_at: now,
            ..Self::default()
        }
    }

    /// Pauses the worker until a time; its tasks make no progress until then.
    pub fn pause(&mut self, now: u64, until: u64) {
        self.paused_until = until;
        for task in self.tasks.values_mut() {
            task.state_ends_at = task.state_ends_at.saturating_add(until - now);
        }
    }

    /// If the worker's lease of `lease_ms` has expired, kills all tasks, begins a new agent epoch
    /// and returns the killed tasks.
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

    /// Changes the state of each task that is due by `now`.
    pub fn run_tasks(&mut self, now: u64, specs: &impl TaskSpecs) -> Vec<TaskEvent> {
        let due = self
            .tasks
            .iter()
            .filter(|(_, worker_task)| worker_task.is_state_over(now));
        let due = due.map(|(task, worker_task)| (task.clone(), worker_task.state));
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
        if let Some(worker_task) = self.tasks.get_mut(&task) {
            worker_task.state = TaskState::Running;
            worker_task.state_ends_at = now + run_ms;
        }
        events.push(TaskEvent::Started(task));
    }

    fn end_task(&mut self, task: TaskId, cause: Cause, events: &mut Vec<TaskEvent>) {
        self.status_changed = true;
        if let Some(worker_task) = self.tasks.get_mut(&task) {
            worker_task.state = TaskState::Ended(cause);
        }
        events.push(TaskEvent::Ended(task, cause));
    }

    /// Gives up a heartbeat that has timed out, and returns whether the next one is due.
    pub fn check_heartbeat_due(&mut self, now: u64, controller_count: usize) -> bool {
        if let Some((_, sent_at)) = self.request_in_flight {
            if now < sent_at + ANSWER_TIMEOUT_MS {
                return false;
            }
            self.request_in_flight = None;
            self.try_next_controller(now, controller_count);
        }
        let gap_over = now >= self.last_heartbeat_at + HEARTBEAT_GAP_MIN_MS;
        gap_over && (self.status_changed || now >= self.next_heartbeat_at)
    }

    /// Begins a heartbeat; the next one is due after `interval_ms` if nothing changes.
    pub fn begin_heartbeat(&mut self, now: u64, interval_ms: u64) {
        self.next_heartbeat_at = now + interval_ms;
        self.last_heartbeat_at = now;
        self.status_changed = false;
        self.sequence += 1;
    }

    /// The encoded body of the heartbeat.
    pub fn heartbeat_body(&self, machine: &str, endpoint: &str, now: u64) -> Vec<u8> {
        let tasks = self.tasks.iter().map(|(task, worker_task)| {
            let (status, cause) = worker_task.status();
            HeartbeatTask {
                task: task.to_string(),
                attempt: worker_task.attempt,
                status,
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

    fn try_next_controller(&mut self, now: u64, controller_count: usize) {
        self.controller_index = (self.controller_index + 1) % controller_count;
        self.next_heartbeat_at = now + NEXT_CONTROLLER_DELAY_MS;
    }

    /// Drops the heartbeat in flight after its connection failed, and selects the next controller.
    pub fn on_connection_failed(&mut self, now: u64, controller_count: usize) {
        self.request_in_flight = None;
        self.try_next_controller(now, controller_count);
    }

    /// Handles the response to the heartbeat that was sent at `sent_at`.
    ///
    /// # Errors
    ///
    /// Returns a description of the part of the response that doesn't follow the protocol.
    pub fn on_answer(
        &mut self,
        now: u64,
        sent_at: u64,
        (status, body): (u16, &[u8]),
        controller_ids: &[String],
        specs: &impl TaskSpecs,
    ) -> Result<Vec<TaskEvent>, String> {
        self.request_in_flight = None;
        match status {
            200 => return self.execute_commands(now, sent_at, body, specs),
            421 => self.follow_redirect(now, body, controller_ids),
            _ => self.try_next_controller(now, controller_ids.len()),
        }
        Ok(Vec::new())
    }

    /// Switches to the controller that a redirect names, or to the next one if the redirect names
    /// none, an unknown one, or the one that sent it.
    fn follow_redirect(&mut self, now: u64, body: &[u8], controller_ids: &[String]) {
        let redirect: Option<RedirectBody> = wire::decode(body);
        let named = redirect.and_then(|redirect| redirect.controller_id);
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

    /// Renews the lease and executes the commands of a response, unless the response's token is
    /// missing or lower than one that the worker has received before.
    fn execute_commands(
        &mut self,
        now: u64,
        sent_at: u64,
        body: &[u8],
        specs: &impl TaskSpecs,
    ) -> Result<Vec<TaskEvent>, String> {
        let Some(response) = wire::decode::<CommandsBody>(body) else {
            return Err("heartbeat response is malformed".into());
        };
        let mut events = Vec::new();
        let token = response.token.unwrap_or(0);
        if token < self.token || token == 0 {
            return Ok(events);
        }
        if token > self.token {
            self.token = token;
            self.status_changed = true;
        }
        self.lease_renewed_at = self.lease_renewed_at.max(sent_at);
        for command in response.commands {
            let task = TaskId::parse(&command.task).ok_or("command has a malformed task id")?;
            let attempt = Attempt(command.attempt);
            match command.kind.as_str() {
                "start" => self.start_task(now, task, attempt, specs, &mut events),
                "halt" => {
                    let grace_ms = (command.grace_s.unwrap_or(0.0) * 1000.0) as u64;
                    self.stop_task(now, task, attempt, grace_ms, specs, &mut events);
                }
                "clear" => self.clear_task(&task, attempt),
                other => return Err(format!("unknown command kind {other}")),
            }
        }
        Ok(events)
    }

    fn clear_task(&mut self, task: &TaskId, attempt: Attempt) {
        let worker_task = self.tasks.get(task);
        if worker_task.is_some_and(|found| found.attempt == attempt && found.has_ended()) {
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
        let has_other_attempt = match self.tasks.get(&task) {
            Some(found) if found.attempt == attempt => return,
            Some(found) => !found.has_ended(),
            None => false,
        };
        self.status_changed = true;
        if has_other_attempt {
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
        let can_save = save_ms > 0 && grace_ms >= save_ms;
        match found.state {
            TaskState::Running if can_save => {
                found.state = TaskState::Saving;
                found.state_ends_at = now + save_ms;
                self.status_changed = true;
            }
            TaskState::Saving if can_save => {}
            TaskState::Ended(_) => {}
            _ => self.end_task(task, Cause::Stopped, events),
        }
    }
}
