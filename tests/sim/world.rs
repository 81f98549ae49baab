//! The world: a queue of events in simulated time, links that can be cut, nodes that
//! are killed, and the script that a scenario file holds.

use super::digest::OutputDigest;
use super::limits::LimitChanges;
use super::state::StateService;
use super::troubles::{Met, Troubles, trouble_ms};
use super::users::Intent;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use salttrestle::controller::Controller;
use salttrestle::controller::events::{Input, Reply};
use salttrestle::controller::store::records::Resources;
use salttrestle::ids::{CallId, JobId, RequestId};
use salttrestle::settings::NextStateLimits;
use salttrestle::wire::{CloudOp, MachineType, StoreRequest};
use salttrestle_fakes::checker::Checker;
use salttrestle_fakes::cloud::Cloud;
use salttrestle_fakes::worker::{TaskSpec, Worker};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What the world knows of a job beside what was submitted.
#[derive(Clone, Debug)]
pub struct Spec {
    pub body: Vec<u8>,
    pub task: TaskSpec,
    pub needs: Vec<JobId>,
    /// Its user submits it only when all that it needs is over.
    pub late: bool,
    /// Its user doesn't wait until what it needs is accepted.
    pub hasty: bool,
}

pub enum Origin {
    Worker(String),
    User(JobId, Intent),
    /// A late copy: nobody waits for its answer.
    Nobody,
}

pub enum Ev {
    Node(usize, u64, Input),
    Wake(usize, u64),
    Restart(usize),
    State(usize, u64, CallId, StoreRequest),
    Cloud(usize, u64, CallId, CloudOp),
    FollowEnd(usize, u64, CallId),
    Boot(String),
    WorkerTick(String),
    ToWorker(String, u64, Option<Reply>),
    User(JobId, Intent),
    UserTimeout(u64),
    Script(usize),
    /// A line that a running trouble or a stream of jobs brings.
    Line(Vec<String>),
    /// One user asks at one node.
    Asks(JobId, Intent, usize),
    /// A transaction that got no answer is carried out after all.
    LateCommit(StoreRequest),
    Odd,
    Heal(u64),
    /// Leases at the store end up to a tenth of a second late.
    Expire,
    Check,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Far {
    State,
    Cloud,
    Workers,
    Peers,
}

#[derive(Debug)]
pub(super) struct Cut {
    pub(super) id: u64,
    pub(super) node: Option<usize>,
    pub(super) far: Far,
    pub(super) hold: bool,
    /// Only the workers of this zone.
    pub(super) zone: Option<String>,
}

pub struct Node {
    pub controller: Option<Controller>,
    pub incarnation: u64,
    /// Its clock against the world's, in milliseconds, and its drift.
    pub offset: u64,
    pub(super) drift: f64,
    pub(super) requests: Vec<u64>,
    /// The store refuses it until then.
    pub refused_until: u64,
    /// It stands still until then, while its clock runs on.
    pub(super) frozen_until: u64,
    pub(super) woken_for: u64,
    /// It was told to end, and comes back after so long.
    pub(super) drain_down: Option<u64>,
    /// Whether its settings announce the limits to come. Before, it acts as the version that
    /// knew nothing of them: it accepts jobs whose records outgrow these.
    pub(super) announced: bool,
}

pub struct World {
    pub now: u64,
    pub(super) queue: BTreeMap<(u64, u64), Ev>,
    pub(super) sequence: u64,
    pub(super) rng: StdRng,
    pub nodes: Vec<Node>,
    pub controller_ids: Vec<String>,
    /// Nodes refuse each other's connections until then.
    pub(super) peers_refuse_until: u64,
    /// For which share of its time the leader is busy, and until when that is told.
    pub(super) busy: (f64, u64),
    /// Nodes whose connection to another was refused last.
    pub(super) refused_links: BTreeSet<(usize, usize)>,
    /// Nodes stand in them in turn.
    pub(super) zones: Vec<String>,
    pub(super) platform: serde_json::Value,
    /// Limits that the store will have.
    pub(super) next: Option<NextStateLimits>,
    pub(super) tuning: String,
    pub state: StateService,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub checker: Checker,
    pub specs: HashMap<JobId, Spec>,
    pub(super) origins: HashMap<u64, (Origin, usize)>,
    pub(super) next_req: u64,
    pub(super) cuts: Vec<Cut>,
    pub(super) held: Vec<(u64, Ev)>,
    /// Late copies of heartbeats: delay, and until when they are made.
    pub copies: Option<(u64, u64)>,
    pub lose_commits: u32,
    /// The troubles under way, and which meetings took place.
    pub troubles: Troubles,
    pub limit_changes: LimitChanges,
    pub met: Met,
    /// When the last trouble of the script is over.
    pub calm_at: u64,
    /// Requests a second that the store takes, until when, and what it took of
    /// the present second.
    pub(super) throttle: (u32, u64),
    pub(super) taken: (u64, u32),
    pub lease_ms: u64,
    pub report_ms: u64,
    pub statuses: BTreeMap<(JobId, u16), u32>,
    pub answered: BTreeMap<JobId, u64>,
    /// The numbers under which shards were held.
    pub tokens: BTreeSet<u64>,
    pub(super) script: Vec<Vec<String>>,
    pub end: u64,
    /// Tasks killed because a lease ran out.
    pub killed: usize,
    /// Tasks that were on machines when these were deleted.
    pub deleted_tasks: usize,
    /// Over all that the controllers send.
    pub digest: OutputDigest,
}

pub type Args<'a> = &'a [String];

/// `key=value` among a line's words.
pub fn arg<'a>(args: Args<'a>, key: &str) -> Option<&'a str> {
    args.iter()
        .find_map(|a| a.strip_prefix(key)?.strip_prefix('='))
}

pub fn num(args: Args, key: &str, default: f64) -> f64 {
    arg(args, key).map_or(default, |t| {
        t.parse()
            .unwrap_or_else(|_| panic!("{key}={t} isn't a number"))
    })
}

pub(super) fn flag(args: Args, word: &str) -> bool {
    args.iter().any(|a| a == word)
}

pub fn ms(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

impl World {
    /// Builds a world from a scenario's lines; `at` lines become its script.
    pub fn new(lines: &[Vec<String>]) -> Self {
        let one = |word: &str| lines.iter().find(|l| l[0] == word).map(|l| &l[1..]);
        let many = |word: &'static str| lines.iter().filter(move |l| l[0] == word).map(|l| &l[1..]);
        let value = |word: &str, default: f64| {
            one(word).map_or(default, |l| l[0].parse().expect("a number"))
        };
        let count = value("nodes", 3.0) as usize;
        let zones: Vec<String> =
            one("zones").map_or(vec!["a".into(), "b".into()], <[String]>::to_vec);
        let (lease, report, cancel) = (
            value("lease", 10.0),
            value("report", 1.0),
            value("cancel", 35.0),
        );
        let state = one("state").unwrap_or(&[]);
        let mut limits = BTreeMap::new();
        let mut teams = Vec::new();
        for t in many("team") {
            let n = |key: &str| num(t, key, 0.0);
            limits.insert(t[0].clone(), (n("cpus_max"), n("gpus_max")));
            teams.push(
                serde_json::json!({"name": t[0], "cpus": n("cpus"), "cpus_max": n("cpus_max"),
                "gpus": n("gpus"), "gpus_max": n("gpus_max")}),
            );
        }
        let (kb, ops) = (num(state, "kb", 8.0), num(state, "ops", 16.0) as usize);
        let lag = value("lag", 4.0);
        let facts = serde_json::json!({
            "count": count, "zones": zones, "teams": teams, "objectives": [],
            "workers": {"report_s": report, "lease_s": lease, "cancel_s": cancel},
            "state": {"rps": num(state, "rps", 150.0), "write_rps": num(state, "write", 60.0),
                      "value_kb": kb, "txn_ops": ops},
            "cloud": {"rps": value("cloud", 4.0), "list_lag_s": lag},
            "resources": {"cpu": 0.1, "mem_mb": 56.0, "max_sockets": 500}
        });
        let controller_ids: Vec<String> = (0..count).map(|n| format!("node-{n}")).collect();
        let platform = serde_json::json!({
            "site": zones[0], "services": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"}, "facts": facts
        });
        // The machines that a scenario begins with wait for its jobs.
        let mut tuning = String::from("scale.window = 3\n");
        for l in many("set") {
            tuning += &format!("{} = {}\n", l[0], l[1]);
        }
        let catalog = many("type").map(|t| MachineType {
            name: t[0].clone(),
            resources: Resources {
                cpus: num(t, "cpus", 64.0),
                gpus: num(t, "gpus", 8.0),
                mem: num(t, "mem", 256.0),
            },
            cache_gb: num(t, "cache", 600.0),
            fetch_gb_s: num(t, "fetch", 5.0),
            price: num(t, "price", 10.0),
            spot_price: num(t, "spot", 3.0),
            ready_s: num(t, "ready", 20.0),
            zones: zones.clone(),
        });
        let mut cloud = Cloud {
            catalog: catalog.collect(),
            lag_ms: ms(lag),
            ..Cloud::default()
        };
        for l in many("room") {
            let key = (l[0].clone(), l[1].clone(), flag(l, "spot"));
            cloud.capacity.insert(key, l[2].parse().expect("a number"));
        }
        let drift = value("drift", 0.0);
        let nodes = (0..count).map(|n| Node {
            controller: None,
            incarnation: 0,
            offset: 10_000_000 + 1000 * n as u64,
            drift: if n % 2 == 0 { drift } else { -drift },
            requests: Vec::new(),
            refused_until: 0,
            frozen_until: 0,
            woken_for: 0,
            drain_down: None,
            announced: one("next").is_some_and(|l| !flag(l, "later")),
        });
        let mut world = Self {
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(value("seed", 1.0) as u64),
            nodes: nodes.collect(),
            controller_ids,
            peers_refuse_until: 0,
            busy: (0.0, 0),
            refused_links: BTreeSet::new(),
            zones,
            platform,
            next: one("next").map(|l| NextStateLimits {
                rps: None,
                write_rps: Some(num(l, "write", 42.0)),
                value_kb: Some(num(l, "kb", 2.0)),
                txn_ops: Some(num(l, "ops", 4.0) as usize),
            }),
            tuning,
            state: StateService::new(kb, ops),
            cloud,
            workers: BTreeMap::new(),
            checker: Checker::new(ms(cancel), limits),
            specs: HashMap::new(),
            origins: HashMap::new(),
            next_req: 0,
            cuts: Vec::new(),
            held: Vec::new(),
            copies: None,
            lose_commits: 0,
            troubles: Troubles::default(),
            limit_changes: LimitChanges::default(),
            met: Met::default(),
            calm_at: 0,
            throttle: (0, 0),
            taken: (0, 0),
            lease_ms: ms(lease),
            report_ms: ms(report),
            statuses: BTreeMap::new(),
            answered: BTreeMap::new(),
            tokens: BTreeSet::new(),
            script: Vec::new(),
            end: ms(value("end", 120.0)),
            killed: 0,
            deleted_tasks: 0,
            digest: OutputDigest::default(),
        };
        for l in many("machines") {
            for _ in 0..l[2].parse::<u32>().expect("a number") {
                let id = world.cloud.add(0, &l[0], &l[1], flag(l, "spot"), Some(1));
                world.after(1, Ev::Boot(id.to_string()));
            }
        }
        for l in many("at") {
            // `at 40~3`: some time in those 3 s, another one with each seed.
            let (from, span) = l[0].split_once('~').unwrap_or((&l[0], "0"));
            let span = ms(span.parse().expect("a span"));
            let at = ms(from.parse().expect("a time")) + world.random(span);
            world.calm_at = world.calm_at.max(at + trouble_ms(&l[1..]));
            world.script.push(l[1..].to_vec());
            let index = world.script.len() - 1;
            world.at(at, Ev::Script(index));
        }
        for n in 0..count {
            world.after(10 * n as u64, Ev::Restart(n));
        }
        world.after(500, Ev::Check);
        world.after(100, Ev::Expire);
        world
    }

    pub fn at(&mut self, at: u64, ev: Ev) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), ev);
    }

    pub fn after(&mut self, delay: u64, ev: Ev) {
        self.at(self.now + delay, ev);
    }

    pub fn random(&mut self, below: u64) -> u64 {
        if below == 0 {
            0
        } else {
            self.rng.random_range(0..below)
        }
    }

    pub fn request(&mut self, origin: Origin) -> RequestId {
        self.next_req += 1;
        self.origins.insert(self.next_req, (origin, usize::MAX));
        RequestId(self.next_req)
    }

    /// Plays to the end.
    pub fn run(&mut self) {
        while let Some(((at, _), ev)) = self.queue.pop_first() {
            if at > self.end {
                break;
            }
            self.now = at;
            log::trace!("{at}");
            self.event(ev);
        }
        let now = self.now;
        self.checker.check_end(now);
        let defects = std::mem::take(&mut self.state.defects);
        self.checker.broken.extend(defects);
        let orders = &mut self.state.orders;
        let duties = std::mem::take(&mut orders.duties.broken);
        let wrong = std::mem::take(&mut orders.broken);
        self.checker.broken.extend(duties.into_iter().chain(wrong));
    }

    /// What reaches a node that stands still waits for it.
    fn frozen(&self, ev: &Ev) -> Option<u64> {
        let (Ev::Node(n, ..) | Ev::Wake(n, _)) = ev else {
            return None;
        };
        let until = self.nodes[*n].frozen_until;
        (until > self.now).then_some(until)
    }

    fn event(&mut self, ev: Ev) {
        if let Some(until) = self.frozen(&ev) {
            return self.at(until, ev);
        }
        match ev {
            Ev::Node(n, incarnation, input) => {
                if self.nodes[n].incarnation == incarnation {
                    self.feed(n, input);
                }
            }
            Ev::Wake(n, incarnation) => {
                // An earlier wake-up has taken the place of one that isn't due any more. Without
                // this each of them began a row of its own, which never ended.
                if self.nodes[n].incarnation == incarnation && self.nodes[n].woken_for <= self.now {
                    self.nodes[n].woken_for = u64::MAX;
                    self.feed(n, Input::Tick);
                }
            }
            Ev::Restart(n) => self.restart(n),
            Ev::State(n, incarnation, call, op) => self.state_executes(n, incarnation, call, op),
            Ev::Cloud(n, incarnation, call, op) => self.cloud_executes(n, incarnation, call, op),
            Ev::FollowEnd(n, incarnation, call) => self.follow_end(n, incarnation, call),
            Ev::Boot(id) => self.boot_worker(&id),
            Ev::WorkerTick(id) => self.worker_tick(&id),
            Ev::ToWorker(id, request_id, reply) => self.worker_answer(&id, request_id, reply),
            Ev::User(id, intent) => self.user(&id, intent),
            Ev::UserTimeout(request_id) => {
                if let Some((Origin::User(id, intent), _)) = self.origins.remove(&request_id) {
                    self.user_answer(id, intent, None);
                }
            }
            Ev::Script(index) => {
                let line = self.script[index].clone();
                self.command(&line);
            }
            Ev::Line(line) => self.command(&line),
            Ev::Asks(id, intent, n) => self.ask_at(&id, intent, n),
            Ev::LateCommit(op) => self.carry_out_late(&op),
            Ev::Odd => self.odd_request(),
            Ev::Heal(id) => self.heal(id),
            Ev::Check => {
                let cores = self.nodes.iter().filter_map(|n| n.controller.as_ref());
                let wrong = cores.filter_map(|c| c.audit().err());
                self.checker.broken.extend(wrong);
                let queues = self
                    .nodes
                    .iter()
                    .filter_map(|n| n.controller.as_ref()?.queue());
                let held = queues.map(|q| q.waiting_for_others).max().unwrap_or(0);
                self.met.waiting_for_others = self.met.waiting_for_others.max(held);
                let now = self.now;
                self.checker.check_cancelled(now);
                self.check_waiting();
                self.check_answers();
                self.check_limits();
                self.measure_busy();
                self.after(500, Ev::Check);
            }
            Ev::Expire => {
                let now = self.now;
                self.state.expire(now);
                self.note_leader();
                self.wake_followers();
                self.after(100, Ev::Expire);
            }
        }
    }
}
