//! The users of one cell: they submit, ask, cancel, and try again as the protocol says, through a
//! balancer that knows which controllers are healthy.

use super::cell::{CellPlan, Shared};
use super::connections::{Connections, Role};
use rand::RngExt;
use rand::rngs::StdRng;
use salttrestle::http::{self, Message};
use salttrestle::ids::{JobId, TaskId};
use salttrestle::wire;
use salttrestle_fakes::checker::Said;
use salttrestle_fakes::user::{POLL_MS, POLL_WAIT_MS, WAIT_MS, read_answer, retry_ms};
use salttrestle_fakes::worker::{TaskSpec, TaskSpecs};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Between two probes of a controller, and how long one is waited for, in milliseconds.
const PROBE_MS: u64 = 1000;
/// Most connections of users that are kept open to one controller.
const IDLE_MAX: usize = 64;
/// The image of every job, and how long a worker fetches it, in milliseconds.
const IMAGE: &str = "img-hollow";
const IMAGE_GB: f64 = 0.5;
const FETCH_MS: u64 = 100;
/// GB of memory of a task.
const TASK_GB: f64 = 4.0;

/// Classes of jobs.
pub const STANDING: &str = "standing";
/// Batch jobs.
pub const BATCH: &str = "batch";
/// Urgent jobs of one task.
pub const URGENT: &str = "urgent";

/// The jobs that a cell's users have submitted.
#[derive(Default)]
pub struct Jobs {
    jobs: HashMap<JobId, Job>,
}

struct Job {
    body: Vec<u8>,
    spec: TaskSpec,
}

impl TaskSpecs for Jobs {
    fn spec(&self, task: &TaskId) -> Option<&TaskSpec> {
        self.jobs.get(&task.job).map(|job| &job.spec)
    }
}

#[derive(Serialize)]
struct SubmissionBody<'a> {
    id: &'a str,
    #[serde(rename = "troupe")]
    class: &'a str,
    #[serde(rename = "crew")]
    team: &'a str,
    form: &'a str,
    rank: &'a str,
    #[serde(rename = "verses")]
    tasks: u32,
    cores: f64,
    accelerators: f64,
    #[serde(rename = "memGb")]
    mem_gb: f64,
    #[serde(rename = "score")]
    image: &'a str,
    #[serde(rename = "sizeGb")]
    image_gb: f64,
    builds: Option<Vec<String>>,
    quarter: Option<String>,
    #[serde(rename = "samePlace")]
    same_zone: bool,
    #[serde(rename = "scatter")]
    zone_spread: bool,
    #[serde(rename = "borrowed")]
    spot: bool,
    #[serde(rename = "reckonS")]
    estimate_s: f64,
    #[serde(rename = "bookmarkS")]
    checkpoint_s: f64,
    #[serde(rename = "stashS")]
    save_s: f64,
    #[serde(rename = "curtainS")]
    deadline_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Intent {
    Submit,
    Poll,
    Cancel,
}

struct Request {
    job: JobId,
    intent: Intent,
}

struct Flight {
    request: Request,
    controller: usize,
    deadline: u64,
}

struct Probe {
    connection: Option<usize>,
    sent: u64,
    healthy: bool,
}

/// A kind of job that comes at a steady rate.
struct Stream {
    class: &'static str,
    per_s: f64,
    next_at: f64,
    count: u64,
}

/// The users of one cell.
pub struct Users {
    plan: Arc<CellPlan>,
    shared: Arc<Shared>,
    /// What they have submitted.
    pub jobs: Jobs,
    due: BTreeMap<(u64, u64), Request>,
    last_due: u64,
    flights: HashMap<usize, Flight>,
    idle: Vec<Vec<usize>>,
    probes: Vec<Probe>,
    streams: Vec<Stream>,
    /// From when batch and urgent jobs come.
    batch_from: f64,
    /// How many times as many batch jobs come as at first.
    factor: f64,
    /// Until when batch and urgent jobs come.
    load_until: u64,
    /// Batch and urgent jobs that aren't over as far as their users know.
    pub open_batch: usize,
    /// Requests without an answer, and refused ones.
    pub failed: u64,
}

impl Users {
    /// Users who wait for the load to begin.
    pub fn new(plan: Arc<CellPlan>, shared: Arc<Shared>) -> Self {
        let controllers = plan.addresses.controllers.len();
        let probe = || Probe {
            connection: None,
            sent: 0,
            healthy: false,
        };
        Self {
            plan,
            shared,
            jobs: Jobs::default(),
            due: BTreeMap::new(),
            last_due: 0,
            flights: HashMap::new(),
            idle: vec![Vec::new(); controllers],
            probes: (0..controllers).map(|_| probe()).collect(),
            streams: Vec::new(),
            batch_from: 0.0,
            factor: 1.0,
            load_until: 0,
            open_batch: 0,
            failed: 0,
        }
    }

    /// The load begins: services over the ramp, then batch and urgent jobs at steady rates.
    pub fn begin(&mut self, now: u64) {
        let (load, phases) = (&self.plan.load, &self.plan.phases);
        let ms = |s: f64| s * 1000.0;
        let tasks = load.service_tasks_per_worker * self.plan.workers as f64;
        let services = (tasks / f64::from(load.replicas)).round();
        let batch_from = now as f64 + ms(phases.ramp_s);
        self.batch_from = batch_from;
        self.load_until = (batch_from + ms(phases.warmup_s + phases.measure_s)) as u64;
        let share = self.plan.share;
        let stream = |class, per_s, from| Stream {
            class,
            per_s,
            next_at: from,
            count: 0,
        };
        let jobs_per_s = load.starts_per_s * share / f64::from(load.tasks_per_job);
        let ramp_s = phases.ramp_s.max(0.1);
        self.streams = vec![
            stream(STANDING, services / ramp_s, now as f64),
            stream(BATCH, jobs_per_s, batch_from),
            stream(URGENT, load.urgent_per_s * share, batch_from),
        ];
        // Exactly as many services as are planned, however the times are rounded.
        self.streams[0].next_at += 0.5 * ms(1.0) / self.streams[0].per_s.max(0.001);
    }

    /// So many times as many batch jobs come from now on as at first.
    pub fn set_factor(&mut self, now: u64, factor: f64) {
        self.factor = factor;
        for stream in &mut self.streams {
            stream.next_at = stream.next_at.max(now as f64);
        }
    }

    /// Submits, asks and probes whatever is due.
    pub fn tick(&mut self, now: u64, connections: &mut Connections, rng: &mut StdRng) {
        self.new_jobs(now);
        self.probe(now, connections);
        self.give_up(now, connections);
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let request = entry.remove();
            self.send(now, request, connections, rng);
        }
    }

    fn new_jobs(&mut self, now: u64) {
        for at in 0..self.streams.len() {
            loop {
                let stream = &mut self.streams[at];
                let until = match stream.class {
                    STANDING => self.batch_from,
                    _ => self.load_until as f64,
                };
                let factor = if stream.class == BATCH {
                    self.factor
                } else {
                    1.0
                };
                let per_s = stream.per_s * factor;
                if per_s <= 0.0 || stream.next_at > now as f64 || stream.next_at >= until {
                    break;
                }
                stream.next_at += 1000.0 / per_s;
                stream.count += 1;
                let (class, count) = (stream.class, stream.count);
                self.submit(now, class, count);
            }
        }
    }

    fn submit(&mut self, now: u64, class: &'static str, count: u64) {
        let load = &self.plan.load;
        let id = format!("{}{}-{count}", self.plan.name, class);
        let team = crate::layout::team_name(count as usize % load.teams);
        let service = class == STANDING;
        let (tasks, cpus, gpus) = match class {
            STANDING => (
                load.replicas,
                load.replica_resources[0],
                load.replica_resources[1],
            ),
            BATCH => (load.tasks_per_job, load.batch_cpus, 0.0),
            _ => (1, load.batch_cpus, 0.0),
        };
        let body = wire::encode(&SubmissionBody {
            id: &id,
            class,
            team: &team,
            form: if service { "service" } else { "batch" },
            rank: match class {
                STANDING => "critical",
                BATCH => "normal",
                _ => "urgent",
            },
            tasks,
            cores: cpus,
            accelerators: gpus,
            mem_gb: TASK_GB,
            image: IMAGE,
            image_gb: IMAGE_GB,
            builds: None,
            quarter: None,
            same_zone: false,
            zone_spread: false,
            spot: false,
            estimate_s: if service { 0.0 } else { load.run_s },
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        });
        let spec = TaskSpec {
            image: IMAGE.into(),
            run_ms: (load.run_s * 1000.0) as u64,
            fetch_ms: FETCH_MS,
            save_ms: 0,
            service,
            broken: false,
        };
        let job = JobId::from(id.as_str());
        if let Ok((_, rec)) = wire::submission(&body) {
            self.shared.checker().submitted(now, &job, rec);
        }
        if !service {
            self.open_batch += 1;
        }
        self.jobs.jobs.insert(job.clone(), Job { body, spec });
        self.later(now, job, Intent::Submit);
    }

    fn later(&mut self, at: u64, job: JobId, intent: Intent) {
        self.last_due += 1;
        self.due
            .insert((at, self.last_due), Request { job, intent });
    }

    fn probe(&mut self, now: u64, connections: &mut Connections) {
        for controller in 0..self.probes.len() {
            let probe = &mut self.probes[controller];
            if now < probe.sent + PROBE_MS {
                continue;
            }
            if let Some(key) = probe.connection.take() {
                connections.close(key);
                probe.healthy = false;
            }
            probe.sent = now;
            let to = self.plan.addresses.controllers[controller];
            match connections.connect(to, Role::Probe(controller)) {
                Ok(key) => {
                    probe.connection = Some(key);
                    connections.send(key, &http::request("GET", "/up", &to.to_string(), None));
                }
                Err(_) => probe.healthy = false,
            }
        }
    }

    /// A controller has answered a probe, or its connection is gone.
    pub fn probed(&mut self, controller: usize, key: usize, status: Option<u16>) -> Option<usize> {
        let probe = &mut self.probes[controller];
        if probe.connection != Some(key) {
            return None;
        }
        probe.connection = None;
        probe.healthy = status == Some(200);
        Some(key)
    }

    /// Controllers that answer their probes.
    pub fn healthy(&self) -> usize {
        self.probes.iter().filter(|p| p.healthy).count()
    }

    fn send(
        &mut self,
        now: u64,
        request: Request,
        connections: &mut Connections,
        rng: &mut StdRng,
    ) {
        let healthy = self.probes.iter().enumerate().filter(|(_, p)| p.healthy);
        let healthy: Vec<usize> = healthy.map(|(n, _)| n).collect();
        if healthy.is_empty() {
            return self.answer(now, request, None, rng);
        }
        let controller = healthy[rng.random_range(0..healthy.len())];
        let to = self.plan.addresses.controllers[controller];
        let key = match self.idle[controller].pop() {
            Some(key) => key,
            None => match connections.connect(to, Role::User(controller)) {
                Ok(key) => key,
                Err(_) => return self.answer(now, request, None, rng),
            },
        };
        let host = to.to_string();
        let id = &request.job;
        let bytes = match request.intent {
            Intent::Submit => {
                let body = self.jobs.jobs.get(id).map(|job| job.body.as_slice());
                http::request("POST", "/work", &host, body)
            }
            Intent::Poll => http::request("GET", &format!("/work/{id}"), &host, None),
            Intent::Cancel => {
                self.shared.checker().cancel_asked(now, id);
                http::request("POST", &format!("/work/{id}/withdraw"), &host, Some(&[]))
            }
        };
        connections.send(key, &bytes);
        let wait_ms = match request.intent {
            Intent::Poll => POLL_WAIT_MS,
            _ => WAIT_MS,
        };
        let deadline = now + wait_ms;
        let flight = Flight {
            request,
            controller,
            deadline,
        };
        self.flights.insert(key, flight);
    }

    /// Gives up on requests whose time is over.
    fn give_up(&mut self, now: u64, connections: &mut Connections) {
        let late = self.flights.iter().filter(|(_, f)| now >= f.deadline);
        let late: Vec<usize> = late.map(|(key, _)| *key).collect();
        for key in late {
            connections.close(key);
            if let Some(flight) = self.flights.remove(&key) {
                self.failed += 1;
                let pause = retry_ms(None);
                self.later(now + pause, flight.request.job, flight.request.intent);
            }
        }
    }

    /// An answer has come.
    pub fn answered(
        &mut self,
        now: u64,
        key: usize,
        message: &Message,
        connections: &mut Connections,
        rng: &mut StdRng,
    ) {
        let Some(flight) = self.flights.remove(&key) else {
            return;
        };
        let idle = &mut self.idle[flight.controller];
        if !message.close && idle.len() < IDLE_MAX {
            idle.push(key);
        } else {
            connections.close(key);
        }
        self.answer(now, flight.request, Some(message), rng);
    }

    /// A connection is gone, and with it the answer that was waited for.
    pub fn closed(&mut self, now: u64, key: usize, rng: &mut StdRng) {
        for idle in &mut self.idle {
            idle.retain(|other| *other != key);
        }
        if let Some(flight) = self.flights.remove(&key) {
            self.answer(now, flight.request, None, rng);
        }
    }

    fn answer(&mut self, now: u64, request: Request, message: Option<&Message>, rng: &mut StdRng) {
        let Request { job, intent } = request;
        let status = message.and_then(Message::status).unwrap_or(0);
        let said = message.and_then(|m| read_answer(status, &m.body));
        let Some(said) = said else {
            self.failed += 1;
            let asked = message.and_then(|m| m.retry_after);
            return self.later(now + retry_ms(asked), job, intent);
        };
        self.shared.checker().said(now, &job, said);
        let over = matches!(said, Said::Done | Said::Cancelled | Said::Refused);
        let batch = self.jobs.jobs.get(&job).is_some_and(|j| !j.spec.service);
        match intent {
            _ if over => {
                // A cancellation and a question may both bring the end.
                let known = self.shared.note_over(&job);
                if batch && known {
                    self.open_batch -= 1;
                }
            }
            Intent::Submit => {
                self.later(now + POLL_MS, job.clone(), Intent::Poll);
                if batch && rng.random_bool(self.plan.load.cancelled) {
                    let wait = rng.random_range(0.0..self.plan.load.run_s * 1000.0);
                    self.later(now + wait as u64, job, Intent::Cancel);
                }
            }
            Intent::Poll => self.later(now + POLL_MS, job, Intent::Poll),
            Intent::Cancel => self.later(now + retry_ms(None), job, Intent::Cancel),
        }
    }
}
