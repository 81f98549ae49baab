//! Workers: reports, leases, tokens and tasks, as PROTOCOL describes them.

use super::checker::Place;
use super::world::{Ev, Origin, World};
use ciborium::cbor;
use salttrestle::core::{Input, Reply, Request};
use salttrestle::ids::{Attempt, TaskId};
use salttrestle::wire;
use serde::Deserialize;
use std::collections::BTreeMap;

pub const TICK_MS: u64 = 100;
const ANSWER_MS: u64 = 4000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stance {
    Fetching,
    Running,
    Flushing,
    Ended(&'static str),
}

#[derive(Clone, Debug)]
pub struct Task {
    pub attempt: Attempt,
    pub stance: Stance,
    /// When the present stance passes by itself.
    pub until: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Worker {
    pub class: String,
    pub zone: String,
    pub spot: bool,
    pub number: u64,
    pub session: u64,
    pub seq: u64,
    /// When the last answered report was sent.
    pub renewed: u64,
    pub tasks: BTreeMap<TaskId, Task>,
    pub node: usize,
    /// The request in flight and when it was sent.
    pub flight: Option<(u64, u64)>,
    pub last_sent: u64,
    pub next_at: u64,
    pub changed: bool,
    pub images: Vec<String>,
    pub hung_until: u64,
    pub cut_until: u64,
    /// Answers don't reach it until then.
    pub deaf_until: u64,
    /// It reaches no node until then.
    pub mute_until: u64,
    pub sick: bool,
    pub taken_at: Option<u64>,
}

#[derive(Deserialize)]
struct Answer {
    baton: Option<u64>,
    #[serde(default)]
    cues: Vec<Cue>,
}

#[derive(Deserialize)]
struct Cue {
    #[serde(rename = "cueKind")]
    kind: String,
    verse: String,
    take: u64,
    #[serde(rename = "bowS")]
    grace: Option<f64>,
}

#[derive(Deserialize)]
struct Steer {
    conductor: Option<String>,
}

impl Worker {
    /// Stands still until then; what its tasks still have to run isn't run meanwhile.
    pub fn hang(&mut self, now: u64, until: u64) {
        self.hung_until = until;
        for t in self.tasks.values_mut() {
            t.until = t.until.saturating_add(until - now);
        }
    }
}

impl World {
    /// A machine came up.
    pub fn boot_worker(&mut self, id: &str) {
        let Some(rig) = self.cloud.rigs.get(id).filter(|r| r.gone.is_none()) else {
            return;
        };
        let worker = Worker {
            class: rig.class.clone(),
            zone: rig.zone.clone(),
            spot: rig.spot,
            session: 1,
            renewed: self.now,
            node: self.workers.len() % self.nodes.len(),
            next_at: self.now,
            ..Worker::default()
        };
        self.workers.insert(id.into(), worker);
        self.after(1, Ev::WorkerTick(id.into()));
    }

    /// Takes a machine with all on it out of the world.
    pub fn end_worker(&mut self, id: &str) {
        if let Some(w) = self.workers.remove(id) {
            for task in w.tasks.keys() {
                self.checker.stops(task, id);
            }
        }
    }

    pub fn worker_tick(&mut self, id: &str) {
        let now = self.now;
        if !self.workers.contains_key(id) {
            return;
        }
        if self.workers[id].taken_at.is_some_and(|at| now >= at) {
            self.end_worker(id);
            if let Some(r) = self.cloud.rigs.get_mut(id) {
                r.gone = Some(now);
            }
            return;
        }
        self.after(TICK_MS, Ev::WorkerTick(id.into()));
        self.check_lease(id);
        if self.workers[id].hung_until > now {
            return;
        }
        self.run_tasks(id);
        self.report(id);
    }

    fn check_lease(&mut self, id: &str) {
        let lease = self.lease_ms;
        let now = self.now;
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        if now > w.renewed + lease {
            let tasks: Vec<TaskId> = std::mem::take(&mut w.tasks).into_keys().collect();
            w.session += 1;
            w.renewed = now;
            w.flight = None;
            w.next_at = now + 500;
            w.changed = true;
            self.killed += tasks.len();
            for t in tasks {
                self.checker.stops(&t, id);
            }
        }
    }

    fn run_tasks(&mut self, id: &str) {
        let now = self.now;
        let due: Vec<(TaskId, Stance)> = self.workers[id]
            .tasks
            .iter()
            .filter(|(_, t)| t.until <= now && !matches!(t.stance, Stance::Ended(_)))
            .map(|(task, t)| (task.clone(), t.stance))
            .collect();
        for (task, stance) in due {
            match stance {
                Stance::Fetching => self.image_ready(id, &task),
                Stance::Running => {
                    self.checker.finishes(now, &task);
                    self.end_task(id, &task, "done");
                    self.cancel_at_end(&task.job);
                }
                Stance::Flushing => self.end_task(id, &task, "halted"),
                Stance::Ended(_) => {}
            }
        }
    }

    fn image_ready(&mut self, id: &str, task: &TaskId) {
        let now = self.now;
        let Some(spec) = self.specs.get(&task.job).cloned() else {
            return;
        };
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        if !w.images.contains(&spec.image) {
            w.images.push(spec.image.clone());
        }
        w.changed = true;
        if w.sick || spec.broken {
            self.met.failures += 1;
            return self.end_task(id, task, "error");
        }
        let run = match spec.service {
            true => u64::MAX / 2,
            false => spec.run_ms,
        };
        if let Some(t) = w.tasks.get_mut(task) {
            t.stance = Stance::Running;
            t.until = now + run;
        }
        let place = Place {
            machine: id.into(),
            class: w.class.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
        };
        self.checker.starts(now, task, place);
    }

    fn end_task(&mut self, id: &str, task: &TaskId, cause: &'static str) {
        if let Some(w) = self.workers.get_mut(id) {
            w.changed = true;
            if let Some(t) = w.tasks.get_mut(task) {
                t.stance = Stance::Ended(cause);
            }
        }
        self.checker.stops(task, id);
    }

    // ---- reports

    fn report(&mut self, id: &str) {
        let now = self.now;
        let interval = self.report_ms;
        let jitter = self.random(interval / 2);
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        if let Some((_, sent)) = w.flight {
            if now < sent + ANSWER_MS {
                return;
            }
            w.flight = None;
            w.node = (w.node + 1) % self.nodes.len();
            w.next_at = now + 1000;
        }
        let soon = w.changed && now >= w.last_sent + 500;
        if now < w.next_at && !soon || now < w.last_sent + 500 {
            return;
        }
        w.next_at = now + interval * 3 / 4 + jitter;
        w.last_sent = now;
        w.changed = false;
        w.seq += 1;
        let tasks: Vec<_> = w
            .tasks
            .iter()
            .map(|(task, t)| {
                let (stance, cause) = match t.stance {
                    Stance::Fetching => ("fetching", None),
                    Stance::Running => ("running", None),
                    Stance::Flushing => ("flushing", None),
                    Stance::Ended(cause) => ("ended", Some(cause)),
                };
                cbor!({
                    "verse" => task.to_string(), "take" => t.attempt.0,
                    "stance" => stance, "cause" => cause
                })
                .expect("a map")
            })
            .collect();
        let warning = w.taken_at.map(|at| (at - now) as f64 / 1000.0);
        let body = cbor!({
            "rig" => id, "endpoint" => "10.1.0.1:9000", "build" => w.class,
            "quarter" => w.zone, "borrowed" => w.spot, "shift" => w.session,
            "tally" => w.seq, "baton" => w.number, "warningS" => warning,
            "verses" => tasks
        })
        .expect("a map");
        let report: wire::Report = wire::decode(&wire::encode(&body)).expect("a report");
        let node = w.node;
        let cut = w.cut_until > now || w.mute_until > now;
        let req = self.request(Origin::Worker(id.into()));
        if let Some(w) = self.workers.get_mut(id) {
            w.flight = Some((req.0, now));
        }
        if let Some((delay, until)) = self.copies
            && now < until
        {
            for n in 0..self.nodes.len() {
                let copy = self.request(Origin::Nobody);
                let ask = Request::Report(report.clone());
                self.send_later(n, delay, Input::Request(copy, ask));
            }
        }
        self.copy_report(&report);
        if !cut {
            self.worker_to_node(id, node, Input::Request(req, Request::Report(report)));
        }
    }

    /// An answer to a report reached its worker.
    pub fn worker_answer(&mut self, id: &str, req: u64, reply: Option<Reply>) {
        let now = self.now;
        let nodes = self.nodes.len();
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        let Some((_, sent)) = w.flight.filter(|(r, _)| *r == req) else {
            return;
        };
        if now > sent + ANSWER_MS || w.deaf_until > now || w.cut_until > now {
            return;
        }
        if w.hung_until > now {
            // It reads the answer when it goes on.
            let on_at = w.hung_until;
            return self.at(on_at, Ev::ToWorker(id.into(), req, reply));
        }
        w.flight = None;
        let Some(reply) = reply else {
            w.node = (w.node + 1) % nodes;
            w.next_at = now + 1000;
            return;
        };
        match reply.status {
            200 => self.obey(id, sent, &reply.body),
            421 => {
                let steer: Option<Steer> = wire::decode(&reply.body);
                let to = steer.and_then(|s| s.conductor);
                let to = to.and_then(|name| self.members.iter().position(|m| *m == name));
                let w = self.workers.get_mut(id).expect("known");
                match to.filter(|n| *n != w.node) {
                    Some(n) => {
                        w.node = n;
                        w.next_at = now;
                        w.changed = true;
                    }
                    None => {
                        w.node = (w.node + 1) % nodes;
                        w.next_at = now + 1000;
                    }
                }
            }
            _ => {
                w.node = (w.node + 1) % nodes;
                w.next_at = now + 1000;
            }
        }
    }

    fn obey(&mut self, id: &str, sent: u64, body: &[u8]) {
        let Some(answer) = wire::decode::<Answer>(body) else {
            self.checker.broken.push("an answer can't be read".into());
            return;
        };
        let w = self.workers.get_mut(id).expect("known");
        let number = answer.baton.unwrap_or(0);
        if number < w.number || number == 0 {
            return;
        }
        if number > w.number {
            w.number = number;
            w.changed = true;
        }
        w.renewed = w.renewed.max(sent);
        for cue in answer.cues {
            let task = TaskId::parse(&cue.verse).expect("a task's name");
            let attempt = Attempt(cue.take);
            match cue.kind.as_str() {
                "start" => self.start(id, task, attempt),
                "halt" => self.halt(id, &task, attempt, cue.grace.unwrap_or(0.0)),
                "clear" => {
                    let w = self.workers.get_mut(id).expect("known");
                    let ended = w.tasks.get(&task).is_some_and(|t| {
                        t.attempt == attempt && matches!(t.stance, Stance::Ended(_))
                    });
                    if ended {
                        w.tasks.remove(&task);
                    }
                }
                other => self.checker.broken.push(format!("strange command {other}")),
            }
        }
    }

    fn start(&mut self, id: &str, task: TaskId, attempt: Attempt) {
        let now = self.now;
        let Some(spec) = self.specs.get(&task.job).cloned() else {
            return;
        };
        let w = self.workers.get_mut(id).expect("known");
        let busy = match w.tasks.get(&task) {
            Some(t) if t.attempt == attempt => return,
            Some(t) => !matches!(t.stance, Stance::Ended(_)),
            None => false,
        };
        w.changed = true;
        if busy {
            return;
        }
        let fetch = if w.images.contains(&spec.image) {
            0
        } else {
            spec.fetch_ms
        };
        let t = Task {
            attempt,
            stance: Stance::Fetching,
            until: now + fetch,
        };
        w.tasks.insert(task.clone(), t);
        if fetch == 0 {
            self.image_ready(id, &task);
        }
    }

    fn halt(&mut self, id: &str, task: &TaskId, attempt: Attempt, grace: f64) {
        let now = self.now;
        let Some(spec) = self.specs.get(&task.job).cloned() else {
            return;
        };
        let w = self.workers.get_mut(id).expect("known");
        let Some(t) = w.tasks.get_mut(task).filter(|t| t.attempt == attempt) else {
            return;
        };
        let saves = spec.save_ms > 0 && (grace * 1000.0) as u64 >= spec.save_ms;
        match t.stance {
            Stance::Running if saves => {
                t.stance = Stance::Flushing;
                t.until = now + spec.save_ms;
                w.changed = true;
            }
            Stance::Flushing if saves => {}
            Stance::Ended(_) => {}
            _ => self.end_task(id, task, "halted"),
        }
    }
}
