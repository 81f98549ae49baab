//! Stand-ins of workers: one thread for each machine.

use crate::cbor::{V, decode, encode};
use crate::cloud::Cloud;
use crate::http::Client;
use crate::rig::{Log, Nodes, Rng};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How the tasks of a job behave; users upload the job's description to the workers.
#[derive(Clone)]
pub struct Spec {
    /// Usual run time of a task; a task takes between 0.7 and 1.3 times that.
    pub run: Duration,
    pub fetch: Duration,
    pub is_service: bool,
    /// What a task takes of its machine: cores, accelerators, memory in GB.
    pub need: [f64; 3],
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Stance {
    Fetching,
    Running,
    Ended(&'static str),
}

struct Task {
    need: [f64; 3],
    stance: Stance,
    /// When the image is there.
    ready: Instant,
    ends: Option<Instant>,
}

/// What workers share with the users and the checks of a run.
#[derive(Default)]
pub struct Shared {
    pub specs: Mutex<HashMap<String, Spec>>,
    /// Tasks on machines: from the moment a task has its image until it ends.
    pub running: Mutex<BTreeMap<String, Vec<String>>>,
    /// Starts that were run, by task.
    pub starts: Mutex<BTreeMap<String, u32>>,
    /// Completed tasks.
    pub completed: Mutex<BTreeMap<String, Instant>>,
    /// Tasks that were killed because the lease of their worker ended.
    pub lease_kills: AtomicU64,
    /// These tasks, with their machines.
    pub killed: Mutex<Vec<(String, String)>>,
    /// Sessions that ended with their lease, on machines that were neither cut off nor stopped.
    pub lease_ends: AtomicU64,
    /// Largest report in bytes, and in the JSON form.
    pub largest_report: AtomicU64,
    pub largest_report_json: AtomicU64,
    pub largest_response_json: AtomicU64,
    /// Unfinished and exited tasks in the largest report, and most unfinished ones in any report.
    pub in_largest: Mutex<(usize, usize)>,
    pub most_unfinished: AtomicU64,
    /// Answers to reports by status; 0 stands for none.
    pub answers: Mutex<BTreeMap<u16, u64>>,
    /// A task ran on two machines at once.
    pub ran_twice: Mutex<Vec<String>>,
    pub stop: AtomicBool,
    /// Machines that the cloud has deleted: nothing is on them any more.
    pub gone: Mutex<std::collections::BTreeSet<String>>,
    /// What was on machines when they were deleted: unfinished tasks, by machine.
    pub deleted_with: Mutex<BTreeMap<String, Vec<String>>>,
    /// When each machine's worker last sent a report.
    pub reported: Mutex<HashMap<String, Instant>>,
    /// Machines that hang or are cut off from the controllers, until when.
    pub hung: Mutex<HashMap<String, Instant>>,
    pub cut: Mutex<HashMap<String, Instant>>,
    /// Controllers that no worker reaches, until when.
    pub unreachable: Mutex<HashMap<usize, Instant>>,
}

pub struct Settings {
    pub report_s: f64,
    pub lease_s: f64,
}

struct Worker {
    id: String,
    build: String,
    quarter: String,
    borrowed: bool,
    nodes: Arc<Nodes>,
    shared: Arc<Shared>,
    log: Log,
    lease: Duration,
    report: Duration,
    node: usize,
    shift: u64,
    tally: u64,
    baton: u64,
    /// When the last answered report was sent, or the session began.
    renewed: Instant,
    /// By task and attempt.
    tasks: BTreeMap<(String, u64), Task>,
    /// Jobs whose image is cached.
    images: std::collections::BTreeSet<String>,
    room: [f64; 3],
    changed: bool,
}

/// Starts a worker for each machine of the cloud once it is up.
pub fn start_all(
    cloud: Arc<Cloud>,
    nodes: Arc<Nodes>,
    shared: Arc<Shared>,
    log: Log,
    settings: Settings,
) {
    std::thread::spawn(move || {
        let mut known: BTreeMap<String, Arc<AtomicBool>> = BTreeMap::new();
        while !shared.stop.load(Ordering::Relaxed) {
            for (id, rig) in cloud.rigs() {
                if rig.gone.is_some() {
                    if let Some(gone) = known.get(&id) {
                        gone.store(true, Ordering::Relaxed);
                    }
                    continue;
                }
                if known.contains_key(&id) || rig.up > Instant::now() {
                    continue;
                }
                let gone = Arc::new(AtomicBool::new(false));
                known.insert(id.clone(), gone.clone());
                let build = rig.build;
                let worker = Worker {
                    node: known.len() % nodes.count(),
                    id,
                    build: build.clone(),
                    quarter: rig.quarter,
                    borrowed: rig.borrowed,
                    nodes: nodes.clone(),
                    shared: shared.clone(),
                    log: log.clone(),
                    lease: Duration::from_secs_f64(settings.lease_s),
                    report: Duration::from_secs_f64(settings.report_s),
                    shift: 1,
                    tally: 0,
                    baton: 0,
                    renewed: Instant::now(),
                    tasks: BTreeMap::new(),
                    images: std::collections::BTreeSet::new(),
                    room: cloud.room(&build),
                    changed: false,
                };
                std::thread::spawn(move || worker.run(&gone));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    });
}

impl Shared {
    /// Called by the cloud when it deletes a machine: everything on it is gone at once.
    pub fn delete(&self, machine: &str) {
        let mut running = self.running.lock().unwrap();
        self.gone.lock().unwrap().insert(machine.to_string());
        let mut lost = Vec::new();
        running.retain(|name, machines| {
            if machines.iter().any(|known| known == machine) {
                lost.push(name.clone());
            }
            machines.retain(|known| known != machine);
            !machines.is_empty()
        });
        self.deleted_with
            .lock()
            .unwrap()
            .insert(machine.to_string(), lost);
    }
}

impl Worker {
    fn run(mut self, gone: &AtomicBool) {
        let mut client = Client::default();
        let mut rng = Rng::new(self.id.bytes().map(u64::from).sum());
        let mut next = Instant::now() + self.report.mul_f64(rng.fraction());
        let mut last_sent = Instant::now() - self.report;
        loop {
            std::thread::sleep(Duration::from_millis(5));
            if let Some(until) = self.shared.hung.lock().unwrap().remove(&self.id) {
                let begin = Instant::now();
                std::thread::sleep(until.saturating_duration_since(begin));
                // The tasks do not run while the machine hangs.
                let lost = begin.elapsed();
                for task in self
                    .tasks
                    .values_mut()
                    .filter(|task| task.stance == Stance::Running)
                {
                    task.ends = task.ends.map(|ends| ends + lost);
                }
            }
            let now = Instant::now();
            if gone.load(Ordering::Relaxed) || self.shared.stop.load(Ordering::Relaxed) {
                let alive: Vec<String> = self.alive();
                for name in alive {
                    self.off(&name);
                }
                return;
            }
            if self.shared.gone.lock().unwrap().contains(&self.id) {
                return;
            }
            self.advance(now);
            let on_change = self.changed && now >= last_sent + Duration::from_millis(500);
            if now < next && !on_change {
                continue;
            }
            self.changed = false;
            last_sent = now;
            self.shared
                .reported
                .lock()
                .unwrap()
                .insert(self.id.clone(), now);
            next = now + self.report.mul_f64(0.75 + 0.5 * rng.fraction());
            let (shift, body) = (self.shift, self.report_body());
            let address = self.nodes.address(self.node);
            let is_cut =
                |map: &HashMap<_, Instant>, key: &_| map.get(key).is_some_and(|until| now < *until);
            let unreachable = is_cut(&self.shared.cut.lock().unwrap(), &self.id)
                || self
                    .shared
                    .unreachable
                    .lock()
                    .unwrap()
                    .get(&self.node)
                    .is_some_and(|until| now < *until);
            let response = match unreachable {
                true => {
                    std::thread::sleep(Duration::from_secs(4));
                    None
                }
                false => client.call(
                    address,
                    "POST",
                    "/agent/beat",
                    Some(&body),
                    Duration::from_secs(4),
                ),
            };
            self.advance(Instant::now());
            let status = response.as_ref().map_or(0, |response| response.status());
            *self
                .shared
                .answers
                .lock()
                .unwrap()
                .entry(status)
                .or_default() += 1;
            match response {
                Some(response) if status == 200 => {
                    if shift == self.shift {
                        self.accept(now, &response.body);
                    }
                }
                Some(response) if status == 421 => {
                    client = Client::default();
                    let named = decode(&response.body)
                        .and_then(|body| body.get("conductor").and_then(V::text).map(String::from))
                        .and_then(|name| self.nodes.index(&name))
                        .filter(|index| *index != self.node);
                    let delay = match named {
                        Some(index) => {
                            self.node = index;
                            rng.fraction() * 0.5
                        }
                        None => {
                            self.node = (self.node + 1) % self.nodes.count();
                            1.0
                        }
                    };
                    next = Instant::now() + Duration::from_secs_f64(delay);
                }
                _ => {
                    client = Client::default();
                    self.node = (self.node + 1) % self.nodes.count();
                    next = Instant::now() + Duration::from_secs(1);
                }
            }
        }
    }

    /// Ends the session if its lease is over, and advances the tasks.
    fn advance(&mut self, now: Instant) {
        if self.shared.gone.lock().unwrap().contains(&self.id) {
            self.tasks.clear();
            return;
        }
        let lease_end = self.renewed + self.lease;
        let until = now.min(lease_end);
        let is_due = |task: &Task| match task.stance {
            Stance::Fetching => task.ready <= until,
            Stance::Running => task.ends.is_some_and(|ends| ends <= until),
            Stance::Ended(_) => false,
        };
        let due = self.tasks.iter().filter(|(_, task)| is_due(task));
        let due: Vec<(String, u64)> = due.map(|(key, _)| key.clone()).collect();
        for key in due {
            let name = key.0.clone();
            let Some(task) = self.tasks.get_mut(&key) else {
                continue;
            };
            self.changed = true;
            if task.stance == Stance::Fetching {
                task.stance = Stance::Running;
                self.images
                    .insert(name.split('/').next().unwrap_or("").to_string());
                self.on(&name);
            }
            let Some(task) = self.tasks.get_mut(&key) else {
                continue;
            };
            if task.ends.is_some_and(|ends| ends <= until) {
                task.stance = Stance::Ended("done");
                self.off(&name);
                self.shared
                    .completed
                    .lock()
                    .unwrap()
                    .entry(name)
                    .or_insert(now);
            }
        }
        if now > lease_end {
            let alive = self.alive();
            self.log.line(format!(
                "worker {}: lease over, {} tasks killed, session {} begins",
                self.id,
                alive.len(),
                self.shift + 1
            ));
            self.shared
                .lease_kills
                .fetch_add(alive.len() as u64, Ordering::Relaxed);
            self.shared.lease_ends.fetch_add(1, Ordering::Relaxed);
            for name in &alive {
                self.off(name);
                self.shared
                    .killed
                    .lock()
                    .unwrap()
                    .push((self.id.clone(), name.clone()));
            }
            self.tasks.clear();
            self.shift += 1;
            self.tally = 0;
            self.renewed = now;
            self.changed = true;
        }
    }

    /// Tasks that have not ended.
    fn alive(&self) -> Vec<String> {
        let alive = self
            .tasks
            .iter()
            .filter(|(_, task)| !matches!(task.stance, Stance::Ended(_)));
        alive.map(|((name, _), _)| name.clone()).collect()
    }

    fn on(&self, name: &str) {
        let mut running = self.shared.running.lock().unwrap();
        let machines = running.entry(name.to_string()).or_default();
        if self.shared.gone.lock().unwrap().contains(&self.id) {
            return;
        }
        if machines.iter().any(|machine| *machine != self.id) {
            let line = format!("{name} starts on {} while it is on {machines:?}", self.id);
            self.log.line(format!("RAN TWICE: {line}"));
            self.shared.ran_twice.lock().unwrap().push(line);
        }
        machines.push(self.id.clone());
        *self
            .shared
            .starts
            .lock()
            .unwrap()
            .entry(name.to_string())
            .or_default() += 1;
        self.log.detail(format!("worker {}: {name} runs", self.id));
    }

    fn off(&self, name: &str) {
        let mut running = self.shared.running.lock().unwrap();
        if let Some(machines) = running.get_mut(name) {
            machines.retain(|machine| *machine != self.id);
            if machines.is_empty() {
                running.remove(name);
            }
        }
        self.log
            .detail(format!("worker {}: {name} is off", self.id));
    }

    fn report_body(&mut self) -> Vec<u8> {
        self.tally += 1;
        let tasks = self.tasks.iter().map(|((name, take), task)| {
            let mut fields = vec![("verse", V::s(name)), ("take", V::U(*take))];
            match task.stance {
                Stance::Fetching => fields.push(("stance", V::s("fetching"))),
                Stance::Running => fields.push(("stance", V::s("running"))),
                Stance::Ended(cause) => {
                    fields.push(("stance", V::s("ended")));
                    fields.push(("cause", V::s(cause)));
                }
            }
            V::map(fields)
        });
        let report = V::map(vec![
            ("rig", V::s(&self.id)),
            ("endpoint", V::s("127.0.0.1:9")),
            ("build", V::s(&self.build)),
            ("quarter", V::s(&self.quarter)),
            ("borrowed", V::B(self.borrowed)),
            ("shift", V::U(self.shift)),
            ("tally", V::U(self.tally)),
            ("baton", V::U(self.baton)),
            ("warningS", V::Null),
            ("verses", V::A(tasks.collect())),
        ]);
        let body = encode(&report);
        let unfinished = self.alive().len();
        self.shared
            .most_unfinished
            .fetch_max(unfinished as u64, Ordering::Relaxed);
        if body.len() as u64 > self.shared.largest_report.load(Ordering::Relaxed) {
            *self.shared.in_largest.lock().unwrap() = (unfinished, self.tasks.len() - unfinished);
        }
        self.shared
            .largest_report
            .fetch_max(body.len() as u64, Ordering::Relaxed);
        self.shared
            .largest_report_json
            .fetch_max(report.json_bytes() as u64, Ordering::Relaxed);
        body
    }

    fn accept(&mut self, sent: Instant, body: &[u8]) {
        let Some(response) = decode(body) else { return };
        self.shared
            .largest_response_json
            .fetch_max(response.json_bytes() as u64, Ordering::Relaxed);
        let baton = response.get("baton").and_then(V::uint).unwrap_or(0);
        if baton < self.baton || baton == 0 {
            return;
        }
        if baton > self.baton {
            self.baton = baton;
            self.changed = true;
        }
        self.renewed = self.renewed.max(sent);
        for cue in response.get("cues").map_or(&[][..], V::list) {
            let name = cue.get("verse").and_then(V::text).unwrap_or("").to_string();
            let take = cue.get("take").and_then(V::uint).unwrap_or(0);
            match cue.get("cueKind").and_then(V::text) {
                Some("start") => self.start(name, take),
                Some("halt") => {
                    let task = self.tasks.get_mut(&(name.clone(), take));
                    if let Some(task) = task.filter(|task| !matches!(task.stance, Stance::Ended(_)))
                    {
                        task.stance = Stance::Ended("halted");
                        self.changed = true;
                        self.off(&name);
                    }
                }
                Some("clear") => {
                    let ended = |task: &Task| matches!(task.stance, Stance::Ended(_));
                    let key = (name, take);
                    if self.tasks.get(&key).is_some_and(ended) {
                        self.tasks.remove(&key);
                    }
                }
                _ => {}
            }
        }
    }

    fn start(&mut self, name: String, take: u64) {
        let key = (name.clone(), take);
        if self.tasks.contains_key(&key) {
            return;
        }
        let now = Instant::now();
        let job = name.split('/').next().unwrap_or("").to_string();
        let spec = self.shared.specs.lock().unwrap().get(&job).cloned();
        let was_done = self.shared.completed.lock().unwrap().contains_key(&name);
        let mut used = [0.0; 3];
        let mut is_here = false;
        for ((other, _), task) in self
            .tasks
            .iter()
            .filter(|(_, task)| !matches!(task.stance, Stance::Ended(_)))
        {
            used.iter_mut()
                .zip(task.need)
                .for_each(|(used, need)| *used += need);
            is_here |= *other == name;
        }
        let is_full = |spec: &Spec| (0..3).any(|i| used[i] + spec.need[i] > self.room[i] + 1e-6);
        let refused = |cause| Task {
            need: [0.0; 3],
            stance: Stance::Ended(cause),
            ready: now,
            ends: None,
        };
        let task = match &spec {
            None => refused("unknown"),
            Some(_) if is_here => refused("in_use"),
            Some(spec) if is_full(spec) => refused("full"),
            Some(spec) => {
                let is_cached = self.images.contains(&job);
                let ready = if is_cached { now } else { now + spec.fetch };
                let mix = name.bytes().fold(7u64, |sum, byte| {
                    (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
                });
                let factor = 0.7 + 0.6 * ((mix >> 20) % 1000) as f64 / 1000.0;
                let run = if was_done {
                    Duration::ZERO
                } else {
                    spec.run.mul_f64(factor)
                };
                let ends = (!spec.is_service).then(|| ready + run);
                Task {
                    need: spec.need,
                    stance: Stance::Fetching,
                    ready,
                    ends,
                }
            }
        };
        self.changed = true;
        self.tasks.insert(key, task);
    }
}
