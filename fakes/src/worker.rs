//! A worker: its heartbeats, lease, agent epoch, token and tasks. It has no clock and no network: the
//! caller hands in the time and carries heartbeats and answers.

use salttrestle::ids::{Attempt, TaskId};
use salttrestle::wire::{self, Cause, TaskStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long the answer to a heartbeat is waited for, in milliseconds.
pub const ANSWER_MS: u64 = 4000;
/// Pause before the next controller is tried, in milliseconds.
const NEXT_CONTROLLER_MS: u64 = 1000;
/// Shortest time between two heartbeats, and before the first one of a new agent epoch, in milliseconds.
const REPORT_GAP_MS: u64 = 500;
/// A task of a service runs until it is stopped.
const FOREVER_MS: u64 = u64::MAX / 2;

/// What a worker learns of a job from its user.
#[derive(Clone, Debug)]
pub struct TaskSpec {
    /// The image that its tasks need.
    pub image: String,
    /// How long a task runs, in milliseconds.
    pub run_ms: u64,
    /// How long the image is fetched, in milliseconds.
    pub fetch_ms: u64,
    /// How long a task that is stopped saves its progress, in milliseconds; 0: it never does.
    pub save_ms: u64,
    /// Its tasks run until they are stopped.
    pub service: bool,
    /// It was submitted with a mistake, and fails everywhere.
    pub broken: bool,
}

/// Where workers look up the jobs whose tasks they are to start.
pub trait TaskSpecs {
    /// What is known of the job that a task belongs to.
    fn spec(&self, task: &TaskId) -> Option<&TaskSpec>;
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Was told to stop, and saves.
    Saving,
    /// Has exited.
    Ended(Cause),
}

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct WorkerTask {
    /// Its attempt.
    pub attempt: Attempt,
    /// Where it stands.
    pub state: TaskState,
    /// When that passes by itself.
    pub until: u64,
}

/// What happened to a task, in the order in which it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    /// A start was carried out: it waits for its image, or has it.
    Accepted(TaskId, Attempt),
    /// It has its image and is on the machine from now on.
    Started(TaskId),
    /// It is no longer on the machine.
    Ended(TaskId, Cause),
}

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
    pub renewed: u64,
    /// Its tasks, exited ones included until they are cleared.
    pub tasks: BTreeMap<TaskId, WorkerTask>,
    /// The controller that it heartbeats to.
    pub controller: usize,
    /// The request in flight, and when it was sent.
    pub flight: Option<(u64, u64)>,
    /// When it reported last.
    pub last_sent: u64,
    /// When it heartbeats next, if nothing changes.
    pub next_at: u64,
    /// Whether something has changed since the last heartbeat.
    pub changed: bool,
    /// The images that it has.
    pub images: Vec<String>,
    /// It stands still until then.
    pub hung_until: u64,
    /// It reaches nobody until then.
    pub cut_until: u64,
    /// Answers don't reach it until then.
    pub deaf_until: u64,
    /// It reaches no controller until then.
    pub mute_until: u64,
    /// Every task fails on it.
    pub sick: bool,
    /// When the cloud takes the machine away.
    pub taken_at: Option<u64>,
}

#[derive(Serialize)]
struct ReportBody<'a> {
    #[serde(rename = "rig")]
    machine: &'a str,
    endpoint: &'a str,
    #[serde(rename = "build")]
    class: &'a str,
    #[serde(rename = "quarter")]
    zone: &'a str,
    #[serde(rename = "borrowed")]
    spot: bool,
    #[serde(rename = "shift")]
    agent_epoch: u64,
    #[serde(rename = "tally")]
    sequence: u64,
    #[serde(rename = "baton")]
    token: u64,
    #[serde(rename = "warningS")]
    notice_s: Option<f64>,
    #[serde(rename = "verses")]
    tasks: Vec<HeartbeatTask>,
}

#[derive(Serialize)]
struct HeartbeatTask {
    #[serde(rename = "verse")]
    task: String,
    #[serde(rename = "take")]
    attempt: Attempt,
    #[serde(rename = "stance")]
    state: TaskStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<Cause>,
}

#[derive(Deserialize)]
struct AnswerBody {
    #[serde(rename = "baton")]
    token: Option<u64>,
    #[serde(rename = "cues", default)]
    commands: Vec<CommandBody>,
}

#[derive(Deserialize)]
struct CommandBody {
    #[serde(rename = "cueKind")]
    kind: String,
    #[serde(rename = "verse")]
    task: String,
    #[serde(rename = "take")]
    attempt: u64,
    #[serde(rename = "bowS")]
    grace_s: Option<f64>,
}

#[derive(Deserialize)]
struct RedirectBody {
    #[serde(rename = "conductor")]
    to: Option<String>,
}

impl Worker {
    /// The worker of a machine that has just come up.
    pub fn new(now: u64, class: &str, zone: &str, spot: bool, controller: usize) -> Self {
        Self {
            class: class.into(),
            zone: zone.into(),
            spot,
            agent_epoch: 1,
            renewed: now,
            controller,
            next_at: now,
            ..Self::default()
        }
    }

    /// Stands still until then; what its tasks still have to run isn't run meanwhile.
    pub fn hang(&mut self, now: u64, until: u64) {
        self.hung_until = until;
        for task in self.tasks.values_mut() {
            task.until = task.until.saturating_add(until - now);
        }
    }

    /// Kills and forgets all tasks if the lease is over; these were the tasks.
    pub fn check_lease(&mut self, now: u64, lease_ms: u64) -> Vec<TaskId> {
        if now <= self.renewed + lease_ms {
            return Vec::new();
        }
        self.agent_epoch += 1;
        self.renewed = now;
        self.flight = None;
        self.next_at = now + REPORT_GAP_MS;
        self.changed = true;
        std::mem::take(&mut self.tasks).into_keys().collect()
    }

    /// Lets tasks come as far as they are by now.
    pub fn run_tasks(&mut self, now: u64, specs: &impl TaskSpecs) -> Vec<TaskEvent> {
        let live = |t: &WorkerTask| !matches!(t.state, TaskState::Ended(_));
        let due = self.tasks.iter().filter(|(_, t)| t.until <= now && live(t));
        let due: Vec<(TaskId, TaskState)> = due.map(|(task, t)| (task.clone(), t.state)).collect();
        let mut events = Vec::new();
        for (task, state) in due {
            match state {
                TaskState::Fetching => self.image_ready(now, task, specs, &mut events),
                TaskState::Running => self.end_task(task, Cause::Done, &mut events),
                TaskState::Saving => self.end_task(task, Cause::Halted, &mut events),
                TaskState::Ended(_) => {}
            }
        }
        events
    }

    fn image_ready(
        &mut self,
        now: u64,
        task: TaskId,
        specs: &impl TaskSpecs,
        events: &mut Vec<TaskEvent>,
    ) {
        let Some(spec) = specs.spec(&task) else {
            return;
        };
        if !self.images.contains(&spec.image) {
            self.images.push(spec.image.clone());
        }
        self.changed = true;
        if self.sick || spec.broken {
            return self.end_task(task, Cause::Error, events);
        }
        let run_ms = if spec.service {
            FOREVER_MS
        } else {
            spec.run_ms
        };
        if let Some(t) = self.tasks.get_mut(&task) {
            t.state = TaskState::Running;
            t.until = now + run_ms;
        }
        events.push(TaskEvent::Started(task));
    }

    fn end_task(&mut self, task: TaskId, cause: Cause, events: &mut Vec<TaskEvent>) {
        self.changed = true;
        if let Some(t) = self.tasks.get_mut(&task) {
            t.state = TaskState::Ended(cause);
        }
        events.push(TaskEvent::Ended(task, cause));
    }

    /// Gives up on a heartbeat without an answer, and says whether the next one is due.
    pub fn report_due(&mut self, now: u64, controllers: usize) -> bool {
        if let Some((_, sent)) = self.flight {
            if now < sent + ANSWER_MS {
                return false;
            }
            self.flight = None;
            self.try_next(now, controllers);
        }
        let rested = now >= self.last_sent + REPORT_GAP_MS;
        rested && (self.changed || now >= self.next_at)
    }

    /// Begins a heartbeat; the next one is due after `interval` if nothing changes.
    pub fn begin_report(&mut self, now: u64, interval: u64) {
        self.next_at = now + interval;
        self.last_sent = now;
        self.changed = false;
        self.sequence += 1;
    }

    /// The heartbeat as it goes onto the wire.
    pub fn report_body(&self, machine: &str, endpoint: &str, now: u64) -> Vec<u8> {
        let tasks = self.tasks.iter().map(|(task, t)| {
            let (state, cause) = match t.state {
                TaskState::Fetching => (TaskStatus::Fetching, None),
                TaskState::Running => (TaskStatus::Running, None),
                TaskState::Saving => (TaskStatus::Flushing, None),
                TaskState::Ended(cause) => (TaskStatus::Ended, Some(cause)),
            };
            HeartbeatTask {
                task: task.to_string(),
                attempt: t.attempt,
                state,
                cause,
            }
        });
        wire::encode(&ReportBody {
            machine,
            endpoint,
            class: &self.class,
            zone: &self.zone,
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            notice_s: self
                .taken_at
                .map(|at| at.saturating_sub(now) as f64 / 1000.0),
            tasks: tasks.collect(),
        })
    }

    fn try_next(&mut self, now: u64, controllers: usize) {
        self.controller = (self.controller + 1) % controllers;
        self.next_at = now + NEXT_CONTROLLER_MS;
    }

    /// The heartbeat in flight got no answer: the connection failed.
    pub fn unanswered(&mut self, now: u64, controllers: usize) {
        self.flight = None;
        self.try_next(now, controllers);
    }

    /// Takes the answer to the heartbeat that was sent at `sent`. `Err` says what no worker would
    /// understand.
    pub fn answered(
        &mut self,
        now: u64,
        sent: u64,
        (status, body): (u16, &[u8]),
        controller_ids: &[String],
        specs: &impl TaskSpecs,
    ) -> Result<Vec<TaskEvent>, String> {
        self.flight = None;
        match status {
            200 => return self.obey(now, sent, body, specs),
            421 => {
                let steer: Option<RedirectBody> = wire::decode(body);
                let to = steer.and_then(|s| s.to);
                let to = to.and_then(|name| controller_ids.iter().position(|m| *m == name));
                match to.filter(|controller| *controller != self.controller) {
                    Some(controller) => {
                        self.controller = controller;
                        self.next_at = now;
                        self.changed = true;
                    }
                    None => self.try_next(now, controller_ids.len()),
                }
            }
            _ => self.try_next(now, controller_ids.len()),
        }
        Ok(Vec::new())
    }

    fn obey(
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
            self.changed = true;
        }
        self.renewed = self.renewed.max(sent);
        for command in answer.commands {
            let task = TaskId::parse(&command.task).ok_or("a task's name can't be read")?;
            let attempt = Attempt(command.attempt);
            match command.kind.as_str() {
                "start" => self.start(now, task, attempt, specs, &mut events),
                "halt" => {
                    let grace_ms = (command.grace_s.unwrap_or(0.0) * 1000.0) as u64;
                    self.halt(now, task, attempt, grace_ms, specs, &mut events);
                }
                "clear" => self.clear(&task, attempt),
                other => return Err(format!("strange command {other}")),
            }
        }
        Ok(events)
    }

    fn clear(&mut self, task: &TaskId, attempt: Attempt) {
        let ended = self
            .tasks
            .get(task)
            .is_some_and(|t| t.attempt == attempt && matches!(t.state, TaskState::Ended(_)));
        if ended {
            self.tasks.remove(task);
        }
    }

    fn start(
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
            Some(t) if t.attempt == attempt => return,
            Some(t) => !matches!(t.state, TaskState::Ended(_)),
            None => false,
        };
        self.changed = true;
        if busy {
            return;
        }
        let fetch_ms = match self.images.contains(&spec.image) {
            true => 0,
            false => spec.fetch_ms,
        };
        let started = WorkerTask {
            attempt,
            state: TaskState::Fetching,
            until: now + fetch_ms,
        };
        self.tasks.insert(task.clone(), started);
        events.push(TaskEvent::Accepted(task.clone(), attempt));
        if fetch_ms == 0 {
            self.image_ready(now, task, specs, events);
        }
    }

    fn halt(
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
        let Some(t) = found.filter(|t| t.attempt == attempt) else {
            return;
        };
        let saves = save_ms > 0 && grace_ms >= save_ms;
        match t.state {
            TaskState::Running if saves => {
                t.state = TaskState::Saving;
                t.until = now + save_ms;
                self.changed = true;
            }
            TaskState::Saving if saves => {}
            TaskState::Ended(_) => {}
            _ => self.end_task(task, Cause::Halted, events),
        }
    }
}
