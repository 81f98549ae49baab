//! The world: a queue of events in simulated time, links that can be cut, nodes that
//! are killed, and the script that a scenario file holds.

use super::limits::LimitChanges;
use super::state::{StateService, Waiter};
use super::troubles::{Met, Troubles, trouble_ms};
use super::users::Intent;
use ciborium::cbor;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use salttrestle::core::records::Room;
use salttrestle::core::{CallId, Core, Input, Link, Output, Reply, ReqId};
use salttrestle::ids::{JobId, Time};
use salttrestle::settings::{NextStateLimits, Platform, Settings, Tuning};
use salttrestle::wire::{self, ClassInfo, CloudOp, CloudReply, StateOp, StateReply};
use salttrestle_standins::checker::Checker;
use salttrestle_standins::cloud::Cloud;
use salttrestle_standins::worker::{TaskSpec, Worker};
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
    State(usize, u64, CallId, StateOp),
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
    LateCommit(StateOp),
    Odd,
    Heal(u64),
    /// Leases at the state service end up to a tenth of a second late.
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
struct Cut {
    id: u64,
    node: Option<usize>,
    far: Far,
    hold: bool,
    /// Only the workers of this zone.
    zone: Option<String>,
}

pub struct Node {
    pub core: Option<Core>,
    pub boot: u64,
    /// Its clock against the world's, in milliseconds, and its drift.
    pub offset: u64,
    drift: f64,
    requests: Vec<u64>,
    /// The state service refuses it until then.
    pub refused_until: u64,
    /// It stands still until then, while its clock runs on.
    frozen_until: u64,
    woken_for: u64,
    /// Whether its settings announce the limits to come. Before, it acts as the version that
    /// knew nothing of them: it accepts jobs whose records outgrow these.
    announced: bool,
}

pub struct World {
    pub now: u64,
    queue: BTreeMap<(u64, u64), Ev>,
    seq: u64,
    rng: StdRng,
    pub nodes: Vec<Node>,
    pub members: Vec<String>,
    /// Nodes refuse each other's connections until then.
    peers_refuse_until: u64,
    /// Nodes whose connection to another was refused last.
    refused_links: BTreeSet<(usize, usize)>,
    /// Nodes stand in them in turn.
    zones: Vec<String>,
    platform: serde_json::Value,
    /// Limits that the state service will have.
    next: Option<NextStateLimits>,
    tuning: String,
    pub state: StateService,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub checker: Checker,
    pub specs: HashMap<JobId, Spec>,
    origins: HashMap<u64, (Origin, usize)>,
    next_req: u64,
    cuts: Vec<Cut>,
    held: Vec<(u64, Ev)>,
    /// Late copies of reports: delay, and until when they are made.
    pub copies: Option<(u64, u64)>,
    pub lose_commits: u32,
    /// The troubles under way, and which meetings took place.
    pub troubles: Troubles,
    pub limit_changes: LimitChanges,
    pub met: Met,
    /// When the last trouble of the script is over.
    pub calm_at: u64,
    /// Requests a second that the state service takes, until when, and what it took of
    /// the present second.
    throttle: (u32, u64),
    taken: (u64, u32),
    pub lease_ms: u64,
    pub report_ms: u64,
    pub statuses: BTreeMap<(JobId, u16), u32>,
    pub answered: BTreeMap<JobId, u64>,
    /// The numbers under which blocks were held.
    pub numbers: BTreeSet<u64>,
    script: Vec<Vec<String>>,
    pub end: u64,
    /// Tasks killed because a lease ran out.
    pub killed: usize,
    /// Tasks that were on machines when these were deleted.
    pub deleted_tasks: usize,
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

fn flag(args: Args, word: &str) -> bool {
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
            "cloud": {"rps": 4.0, "list_lag_s": lag},
            "resources": {"cpu": 0.1, "mem_mb": 56.0, "max_sockets": 500}
        });
        let members: Vec<String> = (0..count).map(|n| format!("node-{n}")).collect();
        let platform = serde_json::json!({
            "site": zones[0], "services": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"}, "facts": facts
        });
        // The machines that a scenario begins with wait for its jobs.
        let mut tuning = String::from("scale.window = 3\n");
        for l in many("set") {
            tuning += &format!("{} = {}\n", l[0], l[1]);
        }
        let catalog = many("type").map(|t| ClassInfo {
            name: t[0].clone(),
            room: Room {
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
            core: None,
            boot: 0,
            offset: 10_000_000 + 1000 * n as u64,
            drift: if n % 2 == 0 { drift } else { -drift },
            requests: Vec::new(),
            refused_until: 0,
            frozen_until: 0,
            woken_for: 0,
            announced: one("next").is_some_and(|l| !flag(l, "later")),
        });
        let mut world = Self {
            now: 0,
            queue: BTreeMap::new(),
            seq: 0,
            rng: StdRng::seed_from_u64(value("seed", 1.0) as u64),
            nodes: nodes.collect(),
            members,
            peers_refuse_until: 0,
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
            numbers: BTreeSet::new(),
            script: Vec::new(),
            end: ms(value("end", 120.0)),
            killed: 0,
            deleted_tasks: 0,
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
        self.seq += 1;
        self.queue.insert((at.max(self.now), self.seq), ev);
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

    pub fn request(&mut self, origin: Origin) -> ReqId {
        self.next_req += 1;
        self.origins.insert(self.next_req, (origin, usize::MAX));
        ReqId(self.next_req)
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
            Ev::Node(n, boot, input) => {
                if self.nodes[n].boot == boot {
                    self.feed(n, input);
                }
            }
            Ev::Wake(n, boot) => {
                if self.nodes[n].boot == boot {
                    self.nodes[n].woken_for = u64::MAX;
                    self.feed(n, Input::Tick);
                }
            }
            Ev::Restart(n) => self.restart(n),
            Ev::State(n, boot, call, op) => self.state_executes(n, boot, call, op),
            Ev::Cloud(n, boot, call, op) => self.cloud_executes(n, boot, call, op),
            Ev::FollowEnd(n, boot, call) => self.follow_end(n, boot, call),
            Ev::Boot(id) => self.boot_worker(&id),
            Ev::WorkerTick(id) => self.worker_tick(&id),
            Ev::ToWorker(id, req, reply) => self.worker_answer(&id, req, reply),
            Ev::User(id, intent) => self.user(&id, intent),
            Ev::UserTimeout(req) => {
                if let Some((Origin::User(id, intent), _)) = self.origins.remove(&req) {
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
                let cores = self.nodes.iter().filter_map(|n| n.core.as_ref());
                let wrong = cores.filter_map(|c| c.audit().err());
                self.checker.broken.extend(wrong);
                let queues = self.nodes.iter().filter_map(|n| n.core.as_ref()?.queue());
                let held = queues.map(|q| q.waiting_for_others).max().unwrap_or(0);
                self.met.waiting_for_others = self.met.waiting_for_others.max(held);
                let now = self.now;
                self.checker.check_cancelled(now);
                self.check_waiting();
                self.check_answers();
                self.check_limits();
                self.after(500, Ev::Check);
            }
            Ev::Expire => {
                let now = self.now;
                self.state.expire(now);
                self.wake_followers();
                self.after(100, Ev::Expire);
            }
        }
    }

    // ---- nodes

    fn restart(&mut self, n: usize) {
        let siblings: Vec<_> = (0..self.members.len())
            .filter(|m| *m != n)
            .map(|m| {
                serde_json::json!({"member": self.members[m], "site": self.zones[m % self.zones.len()],
                    "endpoint": format!("10.0.0.{}:8081", m + 1)})
            })
            .collect();
        let mut p = self.platform.clone();
        p["member"] = self.members[n].clone().into();
        p["site"] = self.zones[n % self.zones.len()].clone().into();
        p["listen"] = format!("10.0.0.{}:8080", n + 1).into();
        p["peer_listen"] = format!("10.0.0.{}:8081", n + 1).into();
        p["siblings"] = siblings.into();
        if let Some(next) = self.next.filter(|_| self.nodes[n].announced) {
            p["facts"]["state"]["next"] = serde_json::json!({"write_rps": next.write_rps,
                "value_kb": next.value_kb, "txn_ops": next.txn_ops});
        }
        let platform = Platform::parse(&p.to_string(), "scenario").expect("good settings");
        let tuning = Tuning::parse(Some(("scenario", &self.tuning))).expect("good tuning");
        self.nodes[n].boot += 1;
        (self.nodes[n].woken_for, self.nodes[n].frozen_until) = (u64::MAX, 0);
        let boot = self.nodes[n].boot * 10 + n as u64;
        self.nodes[n].core = Some(Core::new(
            Settings {
                platform,
                tuning,
                cells: None,
            },
            boot,
        ));
        self.feed(n, Input::Tick);
    }

    fn kill(&mut self, n: usize, down: u64) {
        if self.nodes[n].core.take().is_none() {
            return;
        }
        self.nodes[n].boot += 1;
        let boot = self.nodes[n].boot;
        self.state.waiters.retain(|w| w.node != n || w.boot == boot);
        for req in std::mem::take(&mut self.nodes[n].requests) {
            self.deliver(req, None);
        }
        self.after(down, Ev::Restart(n));
    }

    fn feed(&mut self, n: usize, input: Input) {
        if let Input::Request(req, _) = &input {
            if self.nodes[n].core.is_none() {
                let req = req.0;
                return self.deliver(req, None);
            }
            self.nodes[n].requests.push(req.0);
        }
        let node = &mut self.nodes[n];
        let Some(core) = &mut node.core else {
            return;
        };
        let local = node.offset + (self.now as f64 * (1.0 + node.drift)) as u64;
        let out = core.step(Time(local), input);
        let wake = core.wake_at().0.saturating_sub(local).max(1);
        let taken = core.holds().is_some_and(|n| self.numbers.insert(n.0));
        let boot = node.boot;
        let at = self.now + wake;
        if at < self.nodes[n].woken_for {
            self.nodes[n].woken_for = at;
            self.at(at, Ev::Wake(n, boot));
        }
        for o in out {
            self.output(n, boot, o);
        }
        if taken {
            self.note_takeover();
        }
    }

    fn output(&mut self, n: usize, boot: u64, output: Output) {
        match output {
            Output::Answer(req, reply) => self.node_answers(n, req.0, reply),
            Output::State(call, op) => {
                let patience = if matches!(op, StateOp::Follow { .. }) {
                    12_000
                } else {
                    2000
                };
                let none = Input::State(call, StateReply::NoAnswer);
                self.after(patience, Ev::Node(n, boot, none));
                if matches!(op, StateOp::Commit { .. }) && self.strikes(|t| t.late_writes) {
                    let delay = 2000 + self.random(10_000);
                    return self.after(delay, Ev::LateCommit(op));
                }
                let delay = 2 + self.random(4);
                self.cross(n, Far::State, delay, Ev::State(n, boot, call, op));
            }
            Output::Forget(call) => self.state.waiters.retain(|w| w.call != call || w.node != n),
            Output::Cloud(call, op) => {
                let none = Input::Cloud(call, CloudReply::NoAnswer);
                self.after(6000, Ev::Node(n, boot, none));
                self.cross(n, Far::Cloud, 50, Ev::Cloud(n, boot, call, op));
            }
            Output::Cell(to, _) => {
                let what = format!("a message to cell {to}, though no limits are shared");
                self.checker.broken.push(what);
            }
            Output::Peer(to, message) => {
                for m in 0..self.nodes.len() {
                    let other = self.nodes[m].boot;
                    let cut = self.cut(m, Far::Peers).is_some();
                    let meant = to.as_ref().is_none_or(|t| t.as_str() == self.members[m]);
                    if m != n && meant && self.now < self.peers_refuse_until {
                        self.refused_links.insert((n, m));
                        self.link(n, m, Link::Refused);
                    } else if m != n && !cut && meant {
                        if self.refused_links.remove(&(n, m)) {
                            self.link(n, m, Link::Up);
                        }
                        let input = Input::Peer(message.clone());
                        self.cross(n, Far::Peers, 2, Ev::Node(m, other, input));
                    }
                }
            }
        }
    }

    fn link(&mut self, n: usize, to: usize, link: Link) {
        let input = Input::Link(self.members[to].as_str().into(), link);
        let boot = self.nodes[n].boot;
        self.after(1, Ev::Node(n, boot, input));
    }

    /// Whether a worker and a node can't reach each other.
    fn parted(&self, n: usize, id: &str) -> bool {
        let zone = self.workers.get(id).map(|w| &w.zone);
        let cuts = self.cuts.iter().filter(|c| c.far == Far::Workers);
        let mut cuts = cuts.filter(|c| c.node.is_none_or(|x| x == n));
        cuts.any(|c| c.zone.is_none() || c.zone.as_ref() == zone)
    }

    fn cut(&self, n: usize, far: Far) -> Option<&Cut> {
        self.cuts
            .iter()
            .find(|c| c.far == far && c.node.is_none_or(|x| x == n))
    }

    /// Sends over a link, unless it is cut: then the message is lost, or kept until
    /// the cut is over.
    fn cross(&mut self, n: usize, far: Far, delay: u64, ev: Ev) {
        match self.cut(n, far) {
            None => self.after(delay, ev),
            Some(Cut { hold: true, id, .. }) => {
                let id = *id;
                self.held.push((id, ev));
            }
            Some(_) => {}
        }
    }

    fn heal(&mut self, id: u64) {
        self.cuts.retain(|c| c.id != id);
        let held = std::mem::take(&mut self.held);
        for (cut, ev) in held {
            if cut == id {
                self.after(5, ev);
            } else {
                self.held.push((cut, ev));
            }
        }
    }

    pub fn send(&mut self, n: usize, input: Input) {
        self.send_later(n, 1, input);
    }

    pub fn send_later(&mut self, n: usize, delay: u64, input: Input) {
        let boot = self.nodes[n].boot;
        if let Input::Request(req, _) = &input
            && let Some(o) = self.origins.get_mut(&req.0)
        {
            o.1 = n;
        }
        // A late message reaches whichever process is there by then.
        if delay > 1000 {
            let restarts = self.nodes[n].boot;
            self.after(delay, Ev::Node(n, restarts, input));
        } else {
            self.after(delay, Ev::Node(n, boot, input));
        }
    }

    pub fn worker_to_node(&mut self, id: &str, n: usize, input: Input) {
        if self.parted(n, id) {
            return;
        }
        if self.nodes[n].core.is_none() {
            if let Input::Request(req, _) = input {
                self.after(1, Ev::ToWorker(id.into(), req.0, None));
            }
            return;
        }
        self.send(n, input);
    }

    fn node_answers(&mut self, n: usize, req: u64, reply: Reply) {
        self.nodes[n].requests.retain(|r| *r != req);
        if let Some((Origin::Worker(id), _)) = self.origins.get(&req)
            && self.parted(n, id)
        {
            return;
        }
        self.deliver(req, Some(reply));
    }

    fn deliver(&mut self, req: u64, reply: Option<Reply>) {
        match self.origins.remove(&req) {
            Some((Origin::Worker(id), _)) => self.after(1, Ev::ToWorker(id, req, reply)),
            Some((Origin::User(id, intent), _)) => {
                self.note_refusal(req, &id, intent, reply.as_ref());
                self.user_answer(id, intent, reply);
            }
            _ => {}
        }
    }

    // ---- services

    fn state_executes(&mut self, n: usize, boot: u64, call: CallId, op: StateOp) {
        let now = self.now;
        let refused = self.nodes[n].refused_until > now || self.throttled();
        let waits = matches!(op, StateOp::Follow { .. });
        let reply = if refused && !waits {
            Some(StateReply::Refused)
        } else if refused {
            None
        } else {
            self.state.execute(now, &op)
        };
        match reply {
            None => {
                let StateOp::Follow { after } = op else {
                    return;
                };
                let until = now + 10_000;
                let w = Waiter {
                    node: n,
                    boot,
                    call,
                    after,
                    until,
                };
                self.state.waiters.push(w);
                self.after(10_000, Ev::FollowEnd(n, boot, call));
            }
            Some(reply) => {
                let carried_out = matches!(op, StateOp::Commit { .. })
                    && matches!(reply, StateReply::Committed { .. });
                let counted = carried_out && self.lose_commits > 0;
                if counted || carried_out && self.strikes(|t| t.lost_answers) {
                    self.lose_commits = self.lose_commits.saturating_sub(1);
                    self.met.answers_lost += 1;
                } else {
                    let slow = if self.strikes(|t| t.slow_state) {
                        400
                    } else {
                        0
                    };
                    let delay = 2 + self.random(slow);
                    let input = Input::State(call, reply);
                    self.cross(n, Far::State, delay, Ev::Node(n, boot, input));
                }
            }
        }
        self.wake_followers();
    }

    /// Whether the state service answers 429: more was asked of it this second than it takes.
    fn throttled(&mut self) -> bool {
        let (most, until) = self.throttle;
        let second = self.now / 1000;
        if self.taken.0 != second {
            self.taken = (second, 0);
        }
        self.taken.1 += 1;
        self.now < until && self.taken.1 > most
    }

    pub fn wake_followers(&mut self) {
        if self.state.outage {
            return;
        }
        let waiters = std::mem::take(&mut self.state.waiters);
        for w in waiters {
            let open = self.nodes[w.node].refused_until <= self.now;
            match self.state.news(w.after).filter(|_| open) {
                Some(reply) => {
                    let input = Input::State(w.call, reply);
                    self.cross(w.node, Far::State, 2, Ev::Node(w.node, w.boot, input));
                }
                None => self.state.waiters.push(w),
            }
        }
    }

    fn follow_end(&mut self, n: usize, boot: u64, call: CallId) {
        let before = self.state.waiters.len();
        let now = self.now;
        self.state
            .waiters
            .retain(|w| !(w.node == n && w.boot == boot && w.call == call && w.until <= now));
        // A watch whose time is over while its node is refused waits as in an outage: an
        // empty answer would say that nothing has changed.
        let waits = self.state.outage || self.nodes[n].refused_until > now;
        if self.state.waiters.len() < before && !waits {
            let reply = StateReply::News {
                revision: self.state.store.revision,
                news: Vec::new(),
            };
            let input = Input::State(call, reply);
            self.cross(n, Far::State, 2, Ev::Node(n, boot, input));
        }
    }

    fn cloud_executes(&mut self, n: usize, boot: u64, call: CallId, op: CloudOp) {
        let now = self.now;
        let before = self.cloud.rigs.len();
        let (reply, gone) = self.cloud.execute(now, &op);
        for id in gone {
            let tasks = self.workers.get(&id).map_or(0, |w| w.tasks.len());
            self.deleted_tasks += tasks;
            self.end_worker(&id);
        }
        let fresh: Vec<(String, u64)> = self
            .cloud
            .rigs
            .iter()
            .skip(before)
            .filter_map(|(id, r)| Some((id.clone(), r.boots?)))
            .collect();
        for (id, at) in fresh {
            self.at(at, Ev::Boot(id));
        }
        let input = Input::Cloud(call, reply);
        self.cross(n, Far::Cloud, 50, Ev::Node(n, boot, input));
    }

    // ---- script

    pub fn leader(&self) -> Option<usize> {
        let holds = |n: &&Node| n.core.as_ref().and_then(Core::holds);
        let best = self
            .nodes
            .iter()
            .filter(|n| holds(n).is_some())
            .max_by_key(holds)?;
        self.nodes.iter().position(|n| std::ptr::eq(n, best))
    }

    fn node_arg(&self, word: &str) -> usize {
        match word {
            "leader" => self.leader().unwrap_or(0),
            "other" => (self.leader().unwrap_or(0) + 1) % self.nodes.len(),
            n => n.parse().expect("a node"),
        }
    }

    fn machine_arg(&self, word: &str) -> Vec<String> {
        let mut list: Vec<(usize, &String)> = self
            .workers
            .iter()
            .map(|(id, w)| (w.tasks.len(), id))
            .collect();
        list.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        let names = list.iter().map(|(_, id)| (*id).clone());
        match word {
            "all" => names.collect(),
            "busiest" => names.take(1).collect(),
            "spot" => names.filter(|id| self.workers[id].spot).collect(),
            n => names.take(n.parse().expect("a count")).collect(),
        }
    }

    fn command(&mut self, line: &[String]) {
        let args = &line[1..];
        let for_ms = ms(num(args, "for", 10.0));
        let until = self.now + for_ms;
        match line[0].as_str() {
            "submit" => self.submit(args),
            "withdraw" => self.user(&JobId::from(args[0].as_str()), Intent::Withdraw),
            "poll" => self.user(&JobId::from(args[0].as_str()), Intent::Poll),
            "probe" => {
                let id = JobId::from(format!("up-{}", args[0]).as_str());
                let n = self.node_arg(&args[0]);
                self.ask_at(&id, Intent::Probe, n);
            }
            "mangled" => self.user(&JobId::from(args[0].as_str()), Intent::Mangled),
            "again" => self.user(&JobId::from(args[0].as_str()), Intent::Submit),
            "kill" if args[0] == "all" => {
                for n in 0..self.nodes.len() {
                    self.kill(n, ms(num(args, "down", 3.0)));
                }
            }
            "kill" => {
                let n = self.node_arg(&args[0]);
                self.kill(n, ms(num(args, "down", 3.0)));
            }
            // It ends, and comes back with settings that announce the limits to come.
            "upgrade" => {
                let n = self.node_arg(&args[0]);
                self.nodes[n].announced = true;
                self.kill(n, ms(num(args, "down", 3.0)));
            }
            "limits" => self.set_limits(args),
            "limit-holds" => self.limit_holds(args),
            "limits-spoilt" => self.spoil_limits(false),
            "limits-gone" => self.spoil_limits(true),
            "limits-fall" => {
                let now = self.now;
                let next = self.next.expect("next limits");
                self.state.lower_limits(now, next);
            }
            "freeze" => {
                let n = self.node_arg(&args[0]);
                self.nodes[n].frozen_until = until;
            }
            "cut" => self.make_cuts(args, until),
            "refuse" => {
                let n = self.node_arg(&args[0]);
                self.nodes[n].refused_until = until;
            }
            "outage" if args[0] == "state" => self.state.outage = true,
            "outage" => self.cloud.outage = true,
            "restore" if args[0] == "state" => {
                let now = self.now;
                self.state.end_outage(now);
                self.wake_followers();
            }
            "restore" => self.cloud.outage = false,
            "peers-refuse" => self.peers_refuse_until = until,
            "lose-commits" => self.lose_commits = args[0].parse().expect("a count"),
            "throttle" => self.throttle = (num(args, "rps", 50.0) as u32, until),
            "copies" => self.copies = Some((ms(num(args, "delay", 5.0)), until)),
            "late-writes" => self.troubles.late_writes = (num(args, "share", 0.3), until),
            "lost-answers" => self.troubles.lost_answers = (num(args, "share", 0.3), until),
            "late-reports" => self.troubles.late_reports = (num(args, "share", 0.3), until),
            "keep-reports" => self.troubles.kept_reports = (num(args, "share", 0.3), until),
            "slow-state" => self.troubles.slow_state = (num(args, "share", 0.3), until),
            "cancel-at-end" => self.troubles.cancel_at_end = (num(args, "share", 0.5), until),
            "close-looks" => {
                self.troubles.close_looks = until;
                self.troubles.cancel_at_once = (num(args, "cancel", 0.0), until);
            }
            "slow-boots" => {
                self.cloud.slow = (num(args, "times", 4.0), until);
                self.cloud.slow_type = arg(args, "type").map(String::from);
            }
            "fast-boots" => self.cloud.fast_until = until,
            "odd" => {
                self.troubles.odd = until;
                self.after(1, Ev::Odd);
            }
            "cancel-now" => self.cancel_now(args),
            "stream" => self.stream(args, for_ms),
            "pipelines" => self.pipelines(args, for_ms),
            "poll-storm" => self.poll_storm(num(args, "rate", 50.0), for_ms),
            "forget-log" => self.state.store.kept = args[0].parse().expect("a count"),
            "stillborn" => self.cloud.stillborn = args[0].parse().expect("a count"),
            "capacity" => {
                let key = (args[0].clone(), args[1].clone(), flag(args, "spot"));
                let n = args[2].parse().expect("a count");
                self.cloud.capacity.insert(key, n);
            }
            "part" => {
                for n in arg(args, "from").expect("from=").split(',') {
                    self.seq += 1;
                    let id = self.seq;
                    self.cuts.push(Cut {
                        id,
                        node: Some(self.node_arg(n)),
                        far: Far::Workers,
                        hold: false,
                        zone: Some(args[0].clone()),
                    });
                    self.at(until, Ev::Heal(id));
                }
            }
            "machine" => {
                for id in self.machine_arg(&args[0]) {
                    self.hurt(&id, args, until);
                }
            }
            "zone" => {
                let ids: Vec<String> = self
                    .workers
                    .iter()
                    .filter(|(_, w)| w.zone == args[0])
                    .map(|(id, _)| id.clone())
                    .collect();
                for id in ids {
                    self.hurt(&id, args, until);
                }
            }
            other => panic!("unknown command {other}"),
        }
    }

    fn make_cuts(&mut self, args: Args, until: u64) {
        let n = self.node_arg(&args[0]);
        for what in arg(args, "from").expect("from=").split(',') {
            let far = match what {
                "state" => Far::State,
                "cloud" => Far::Cloud,
                "workers" => Far::Workers,
                "peers" => Far::Peers,
                other => panic!("unknown link {other}"),
            };
            self.seq += 1;
            let id = self.seq;
            let hold = flag(args, "hold");
            self.cuts.push(Cut {
                id,
                node: Some(n),
                far,
                hold,
                zone: None,
            });
            self.at(until, Ev::Heal(id));
        }
    }

    fn hurt(&mut self, id: &str, args: Args, until: u64) {
        let now = self.now;
        if flag(args, "die") {
            self.end_worker(id);
            if let Some(r) = self.cloud.rigs.get_mut(id) {
                r.failed = Some(now + 30_000);
            }
            return;
        }
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        if flag(args, "hang") {
            w.hang(now, until);
        }
        if flag(args, "mute") {
            w.mute_until = until;
        }
        if flag(args, "cut") {
            w.cut_until = until;
        }
        if flag(args, "deaf") {
            w.deaf_until = until;
        }
        if flag(args, "sick") {
            w.sick = true;
        }
        if flag(args, "taken") {
            w.taken_at = Some(now + ms(num(args, "notice", 0.0)));
            w.changed = true;
        }
    }

    pub fn submit(&mut self, args: Args) {
        let id = JobId::from(args[0].as_str());
        let service = flag(args, "service");
        let (gb, save) = (num(args, "gb", 5.0), num(args, "save", 0.0));
        let image = arg(args, "image").unwrap_or("img-1").to_string();
        let run = num(args, "run", 20.0);
        let types = arg(args, "types").map(|t| t.split(',').map(String::from).collect::<Vec<_>>());
        let needs = arg(args, "needs").map(|n| n.split(',').map(String::from).collect::<Vec<_>>());
        let needs = needs.unwrap_or_default();
        let body = cbor!({
            "id" => args[0], "troupe" => arg(args, "class").unwrap_or("c"),
            "crew" => arg(args, "team").unwrap_or("t"),
            "form" => if service { "service" } else { "batch" },
            "rank" => arg(args, "rank").unwrap_or("normal"),
            "verses" => num(args, "count", 1.0) as u64,
            "cores" => num(args, "cpus", 4.0), "accelerators" => num(args, "gpus", 1.0),
            "memGb" => num(args, "mem", 8.0), "score" => image, "sizeGb" => gb,
            "builds" => types, "quarter" => arg(args, "zone"),
            "samePlace" => flag(args, "one-zone"), "scatter" => flag(args, "scatter"),
            "borrowed" => flag(args, "spot"), "reckonS" => run,
            "bookmarkS" => if save > 0.0 { 10.0 } else { 0.0 }, "stashS" => save,
            "curtainS" => Option::<f64>::None,
            "awaits" => (!needs.is_empty()).then_some(&needs)
        });
        let spec = Spec {
            body: wire::encode(&body.expect("a map")),
            task: TaskSpec {
                image,
                run_ms: ms(run),
                fetch_ms: ms(gb / 5.0),
                save_ms: ms(save),
                service,
                broken: flag(args, "broken"),
            },
            needs: needs.iter().map(|id| JobId::from(id.as_str())).collect(),
            late: flag(args, "late"),
            hasty: flag(args, "hasty"),
        };
        self.add_spec(&id, spec);
        if flag(args, "unfit") {
            self.checker.set_unfit(&id);
        }
        self.user(&id, Intent::Submit);
    }
}
