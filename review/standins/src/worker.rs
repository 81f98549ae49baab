//! The workers, one per machine: reports, leases, tokens and tasks, as the protocol has them.

use crate::cbor::V;
use crate::http::Client;
use crate::map;
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What all workers share: the uploaded jobs, the results, and the controllers' addresses.
pub struct Site {
    pub record: Record,
    pub nodes: Vec<(String, SocketAddr)>,
    pub jobs: Mutex<BTreeMap<String, JobSpec>>,
    pub done: Mutex<BTreeSet<String>>,
    /// Machines on which each task is now, from the moment it has its image.
    pub on: Mutex<BTreeMap<String, Vec<String>>>,
    pub counts: Mutex<Counts>,
    /// Controllers that workers can't reach: packets to and from them are lost.
    pub cut_from_workers: Mutex<Vec<bool>>,
    /// How long a connection attempt to such a controller hangs, in seconds: until the worker gives
    /// it up, or not at all where the cut resets connections.
    pub cut_hangs_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
}

#[derive(Clone)]
pub struct JobSpec {
    pub cores: f64,
    pub accelerators: f64,
    pub mem_gb: f64,
    pub verses: u64,
    pub image: String,
    pub size_gb: f64,
    /// Run time of a task in seconds; `None` for a service.
    pub run_s: Option<f64>,
}

#[derive(Default, Clone, Debug)]
pub struct Counts {
    pub started: BTreeMap<String, u64>,
    pub completed: BTreeMap<String, u64>,
    pub killed_by_lease: BTreeMap<String, u64>,
    /// Running tasks that went with a machine that was deleted.
    pub killed_by_deletion: BTreeMap<String, u64>,
    pub ran_twice: Vec<String>,
    pub leases_ended: u64,
    pub refused_reports: BTreeMap<u16, u64>,
    pub largest_report_json: usize,
    pub largest_report_bytes: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum Stance {
    Fetching(Instant),
    Running(Instant),
    Ended(&'static str),
}

struct Task {
    job: String,
    stance: Stance,
}

struct Inner {
    shift: u64,
    tally: u64,
    baton: u64,
    /// When the last answered report was sent; at first when the session began.
    renewed: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    changed: bool,
    gone: bool,
}

pub struct Worker {
    pub id: String,
    pub build: String,
    pub quarter: String,
    pub borrowed: bool,
    cores: f64,
    accelerators: f64,
    mem_gb: f64,
    fetch_gb_s: f64,
    inner: Mutex<Inner>,
    site: Arc<Site>,
}

pub struct Machine {
    pub id: String,
    pub build: String,
    pub quarter: String,
    pub borrowed: bool,
    pub cores: f64,
    pub accelerators: f64,
    pub mem_gb: f64,
    pub fetch_gb_s: f64,
}

impl Worker {
    pub fn start(m: Machine, site: Arc<Site>, first_node: usize) -> Arc<Self> {
        let inner = Inner {
            shift: 1,
            tally: 0,
            baton: 0,
            renewed: Instant::now(),
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            changed: false,
            gone: false,
        };
        let worker = Arc::new(Self {
            id: m.id,
            build: m.build,
            quarter: m.quarter,
            borrowed: m.borrowed,
            cores: m.cores,
            accelerators: m.accelerators,
            mem_gb: m.mem_gb,
            fetch_gb_s: m.fetch_gb_s,
            inner: Mutex::new(inner),
            site,
        });
        worker
            .site
            .record
            .line(&format!("worker up machine={}", worker.id));
        let w = worker.clone();
        std::thread::spawn(move || w.run_tasks());
        let w = worker.clone();
        std::thread::spawn(move || w.send_reports(first_node));
        worker
    }

    /// Number of tasks on the machine, ended ones included.
    pub fn tasks(&self) -> usize {
        self.inner.lock().unwrap().tasks.len()
    }

    /// The machine and everything on it are gone.
    pub fn remove(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.gone = true;
        // One line for each job of the machine.
        let mut last_job = String::new();
        let tasks = std::mem::take(&mut inner.tasks);
        for ((verse, _), task) in tasks {
            if matches!(task.stance, Stance::Running(_)) {
                let mut counts = self.site.counts.lock().unwrap();
                if task.job != last_job {
                    let text = format!("running task gone with machine={} verse={verse}", self.id);
                    self.site.record.line(&text);
                    last_job = task.job.clone();
                }
                *counts
                    .killed_by_deletion
                    .entry(task.job.clone())
                    .or_default() += 1;
            }
            self.leave(&verse, &task);
        }
    }

    fn run_tasks(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let mut inner = self.inner.lock().unwrap();
            if inner.gone {
                return;
            }
            let now = Instant::now();
            if now.duration_since(inner.renewed).as_secs_f64() > self.site.lease_s {
                self.end_session(&mut inner, now);
                continue;
            }
            self.advance(&mut inner, now);
        }
    }

    fn end_session(&self, inner: &mut Inner, now: Instant) {
        let tasks = std::mem::take(&mut inner.tasks);
        let mut counts = self.site.counts.lock().unwrap();
        counts.leases_ended += 1;
        for (_, task) in tasks
            .iter()
            .filter(|(_, t)| matches!(t.stance, Stance::Running(_)))
        {
            *counts.killed_by_lease.entry(task.job.clone()).or_default() += 1;
        }
        drop(counts);
        self.site.record.line(&format!(
            "lease ended machine={} shift={} tasks_killed={}",
            self.id,
            inner.shift,
            tasks.len()
        ));
        for ((verse, _), task) in tasks {
            self.leave(&verse, &task);
        }
        inner.shift += 1;
        inner.renewed = now;
        inner.changed = true;
    }

    fn advance(&self, inner: &mut Inner, now: Instant) {
        let jobs = self.site.jobs.lock().unwrap();
        let (mut changed, mut images) = (false, Vec::new());
        for ((verse, take), task) in inner.tasks.iter_mut() {
            let Some(spec) = jobs.get(&task.job) else {
                continue;
            };
            match task.stance {
                Stance::Fetching(end) if now >= end => {
                    images.push(spec.image.clone());
                    task.stance = Stance::Running(now);
                    self.enter(verse, *take, &task.job, spec.verses <= 10);
                    changed = true;
                    if self.site.done.lock().unwrap().contains(verse) {
                        self.finish(verse, task);
                    }
                }
                Stance::Running(since) => {
                    let ran = now.duration_since(since).as_secs_f64();
                    if spec.run_s.is_some_and(|run_s| ran >= run_s) {
                        self.finish(verse, task);
                        changed = true;
                    }
                }
                _ => {}
            }
        }
        inner.images.extend(images);
        inner.changed |= changed;
    }

    fn finish(&self, verse: &str, task: &mut Task) {
        self.leave(verse, task);
        task.stance = Stance::Ended("done");
        if self.site.done.lock().unwrap().insert(verse.to_string()) {
            let mut counts = self.site.counts.lock().unwrap();
            *counts.completed.entry(task.job.clone()).or_default() += 1;
        }
    }

    fn enter(&self, verse: &str, take: u64, job: &str, is_listed: bool) {
        let mut on = self.site.on.lock().unwrap();
        let machines = on.entry(verse.to_string()).or_default();
        let mut counts = self.site.counts.lock().unwrap();
        *counts.started.entry(job.to_string()).or_default() += 1;
        // Of large arrays only the counts are recorded.
        if is_listed {
            self.site.record.line(&format!(
                "task runs verse={verse} take={take} machine={}",
                self.id
            ));
        }
        if !machines.is_empty() {
            let text = format!(
                "{verse} take={take} starts on {} while on {machines:?}",
                self.id
            );
            self.site.record.line(&format!("ran_twice {text}"));
            counts.ran_twice.push(text);
        }
        machines.push(self.id.clone());
    }

    fn leave(&self, verse: &str, task: &Task) {
        if !matches!(task.stance, Stance::Running(_)) {
            return;
        }
        let mut on = self.site.on.lock().unwrap();
        if let Some(machines) = on.get_mut(verse) {
            if let Some(at) = machines.iter().position(|m| *m == self.id) {
                machines.remove(at);
            }
        }
    }

    fn send_reports(&self, first_node: usize) {
        let site = &self.site;
        let mut node = first_node % site.nodes.len();
        let mut client = Client::new(site.nodes[node].1);
        let mut seed = self
            .id
            .bytes()
            .fold(7u64, |x, b| x.wrapping_mul(31) + b as u64);
        loop {
            let (body, sent, shift) = {
                let mut inner = self.inner.lock().unwrap();
                if inner.gone {
                    return;
                }
                inner.tally += 1;
                inner.changed = false;
                (self.report(&inner), Instant::now(), inner.shift)
            };
            let tasks = body.list("verses").len();
            let (json, bytes) = (body.json_len(), body.encode());
            {
                let mut counts = site.counts.lock().unwrap();
                counts.largest_report_json = counts.largest_report_json.max(json);
                counts.largest_report_bytes = counts.largest_report_bytes.max(bytes.len());
            }
            let answer = match site.cut_from_workers.lock().unwrap()[node] {
                true => None,
                false => Some(()),
            };
            let answer = match answer {
                Some(()) => client.call("POST", "/agent/beat", &bytes, 4.0),
                // Behind a cut a connection attempt hangs, or it is reset.
                None => {
                    std::thread::sleep(Duration::from_secs_f64(site.cut_hangs_s));
                    client = Client::new(site.nodes[node].1);
                    None
                }
            };
            // An answer that was on its way when the cut began is lost.
            let answer = answer.filter(|_| !site.cut_from_workers.lock().unwrap()[node]);
            let status = answer.as_ref().map_or(0, |a| a.status);
            let next = match &answer {
                Some(a) if a.status == 200 => {
                    self.on_answer(&a.body, sent, shift);
                    None
                }
                Some(a) if a.status == 421 => {
                    let named = V::decode(&a.body).and_then(|v| v.text("conductor"));
                    if tasks > 100 {
                        site.record.line(&format!(
                            "report redirected machine={} tasks={tasks} by={} to={named:?}",
                            self.id, site.nodes[node].0
                        ));
                    }
                    let named = named.and_then(|n| site.nodes.iter().position(|(m, _)| *m == n));
                    match named.filter(|n| *n != node) {
                        Some(n) => Some((n, 0.05)),
                        None => Some(((node + 1) % site.nodes.len(), 1.0)),
                    }
                }
                _ => Some(((node + 1) % site.nodes.len(), 1.0)),
            };
            if status != 200 && status != 421 {
                let mut counts = site.counts.lock().unwrap();
                *counts.refused_reports.entry(status).or_default() += 1;
                drop(counts);
                site.record.line(&format!(
                    "report not taken machine={} by={} status={status} json_bytes={json} cbor_bytes={}",
                    self.id,
                    site.nodes[node].0,
                    bytes.len()
                ));
            }
            if let Some((to, pause_s)) = next {
                node = to;
                client = Client::new(site.nodes[node].1);
                std::thread::sleep(Duration::from_secs_f64(pause_s));
                continue;
            }
            seed = seed
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let jitter = 0.75 + 0.5 * ((seed >> 33) as f64 / (1u64 << 31) as f64);
            self.wait_for_next(sent, site.report_s * jitter);
        }
    }

    /// Waits until the next report is due, or something changes, but half a second at least.
    fn wait_for_next(&self, sent: Instant, interval_s: f64) {
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let since = sent.elapsed().as_secs_f64();
            let inner = self.inner.lock().unwrap();
            if inner.gone || since >= interval_s || (inner.changed && since >= 0.5) {
                return;
            }
        }
    }

    fn report(&self, inner: &Inner) -> V {
        let verses = inner.tasks.iter().map(|((verse, take), task)| {
            let stance = match task.stance {
                Stance::Fetching(_) => "fetching",
                Stance::Running(_) => "running",
                Stance::Ended(_) => "ended",
            };
            let mut entry = vec![
                ("verse".to_string(), V::T(verse.clone())),
                ("take".to_string(), V::U(*take)),
                ("stance".to_string(), V::from(stance)),
            ];
            if let Stance::Ended(cause) = task.stance {
                entry.push(("cause".into(), V::from(cause)));
            }
            V::M(entry)
        });
        map! {
            "rig" => self.id.clone(), "endpoint" => "127.0.0.1:9", "build" => self.build.clone(),
            "quarter" => self.quarter.clone(), "borrowed" => self.borrowed,
            "shift" => inner.shift, "tally" => inner.tally, "baton" => inner.baton,
            "warningS" => V::Null, "verses" => verses.collect::<Vec<_>>()
        }
    }

    fn on_answer(&self, body: &[u8], sent: Instant, shift: u64) {
        let mut inner = self.inner.lock().unwrap();
        let Some(answer) = V::decode(body) else {
            return;
        };
        let baton = answer.uint("baton");
        if inner.gone || inner.shift != shift || baton.is_none_or(|b| b < inner.baton) {
            return;
        }
        let baton = baton.unwrap_or(0);
        if baton > inner.baton {
            inner.baton = baton;
            inner.changed = true;
        }
        inner.renewed = sent;
        for cue in answer.list("cues") {
            self.execute(&mut inner, cue);
        }
    }

    fn execute(&self, inner: &mut Inner, cue: &V) {
        let (Some(kind), Some(verse)) = (cue.text("cueKind"), cue.text("verse")) else {
            return;
        };
        let take = cue.uint("take").unwrap_or(0);
        let key = (verse.clone(), take);
        match kind.as_str() {
            "start" => {
                if inner.tasks.contains_key(&key) {
                    return;
                }
                let stance = self.begin(inner, &verse);
                let job = verse.split('/').next().unwrap_or("").to_string();
                inner.tasks.insert(key, Task { job, stance });
                inner.changed = true;
            }
            "halt" => {
                if let Some(task) = inner.tasks.get_mut(&key) {
                    if !matches!(task.stance, Stance::Ended(_)) {
                        self.leave(&verse, task);
                        task.stance = Stance::Ended("halted");
                        inner.changed = true;
                    }
                }
            }
            "clear" => {
                if matches!(inner.tasks.get(&key), Some(t) if matches!(t.stance, Stance::Ended(_)))
                {
                    inner.tasks.remove(&key);
                }
            }
            _ => {}
        }
    }

    /// The first state of a task that is told to start: fetching, or refused.
    fn begin(&self, inner: &Inner, verse: &str) -> Stance {
        let jobs = self.site.jobs.lock().unwrap();
        let (job, index) = verse.split_once('/').unwrap_or((verse, ""));
        let index: Option<u64> = index.parse().ok();
        let Some(spec) = jobs
            .get(job)
            .filter(|s| index.is_some_and(|i| i < s.verses))
        else {
            return Stance::Ended("unknown");
        };
        if inner.tasks.keys().any(|(v, _)| v == verse) {
            return Stance::Ended("in_use");
        }
        let (mut cores, mut gpus, mut mem) = (self.cores, self.accelerators, self.mem_gb);
        for task in inner
            .tasks
            .values()
            .filter(|t| !matches!(t.stance, Stance::Ended(_)))
        {
            if let Some(used) = jobs.get(&task.job) {
                cores -= used.cores;
                gpus -= used.accelerators;
                mem -= used.mem_gb;
            }
        }
        let e = 1e-6;
        if spec.cores > cores + e || spec.accelerators > gpus + e || spec.mem_gb > mem + e {
            return Stance::Ended("full");
        }
        let fetch_s = match inner.images.contains(&spec.image) {
            true => 0.0,
            false => spec.size_gb / self.fetch_gb_s,
        };
        Stance::Fetching(Instant::now() + Duration::from_secs_f64(fetch_s))
    }
}
