//! One cell's loop: what comes over its connections, what is due, what goes wrong.

use super::cloud_service::{read_request, write_answer};
use super::connections::{Arrival, Connections, LINKS, Role, Traffic};
use super::state_service::{Answer, BLOCK, LEADER, StateCounts, StateService};
use super::users::Users;
use super::workers::{Inventory, ROUND_MS};
use crate::controllers::CLOUD_LIST_LAG;
use crate::experiment::{Experiment, Load, Phases};
use crate::layout::{CellAddresses, controller_id};
use crate::observers::{LimitObserver, TakeoverObserver};
use crate::procfs::{CpuTime, thread_cpu};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use salttrestle::controller::store::records::{Key, LimitsByTeam, Resources};
use salttrestle::http::{self, Message};
use salttrestle::ids::JobId;
use salttrestle::wire::{CloudOp, CloudReply, MachineType};
use salttrestle_fakes::checker::Checker;
use salttrestle_fakes::cloud::Cloud;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::mpsc::{Receiver, Sender, TryRecvError};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The loop looks at what is due this often, in milliseconds.
const STEP_MS: u64 = 10;
/// The only type of machine.
const MACHINE_TYPE: &str = "hollow-rig";
/// How long the cloud takes to answer, in milliseconds.
const CLOUD_ANSWER_MS: u64 = 50;
/// A machine that has stopped is listed as running for so long, in milliseconds.
const LISTED_RUNNING_MS: u64 = 30_000;
/// What a hollow machine costs an hour; nothing depends on it.
const PRICE: f64 = 10.0;
const CACHE_GB: f64 = 200.0;
const FETCH_GB_S: f64 = 5.0;

/// What a cell's thread is started with.
pub struct CellPlan {
    /// The cell's name.
    pub name: String,
    /// Its addresses.
    pub addresses: CellAddresses,
    /// The names of its controllers.
    pub members: Vec<String>,
    /// Its zones.
    pub zones: Vec<String>,
    /// Its workers at the start.
    pub workers: usize,
    /// Its part of all workers.
    pub share: f64,
    /// Between two heartbeats of a worker, in milliseconds.
    pub report_ms: u64,
    /// A worker's lease, in milliseconds.
    pub lease_ms: u64,
    /// What its users submit.
    pub load: Load,
    /// The course of the run.
    pub phases: Phases,
    /// Whether it is the only cell: then orders are judged as well.
    pub sole: bool,
    experiment: Experiment,
    index: usize,
}

impl CellPlan {
    /// The plan of one of an experiment's cells.
    pub fn new(experiment: &Experiment, index: usize, addresses: CellAddresses) -> Self {
        let cell = &experiment.cells[index];
        let ms = |s: f64| (s * 1000.0) as u64;
        Self {
            name: cell.name.clone(),
            addresses,
            members: (0..cell.controllers)
                .map(|n| controller_id(cell, n))
                .collect(),
            zones: cell.zones.clone(),
            workers: cell.workers,
            share: cell.workers as f64 / experiment.workers() as f64,
            report_ms: ms(experiment.service.heartbeat_s),
            lease_ms: ms(experiment.service.lease_s),
            load: experiment.load.clone(),
            phases: experiment.phases.clone(),
            sole: experiment.cells.len() == 1,
            experiment: experiment.clone(),
            index,
        }
    }
}

/// What all cells share: the time and the checker.
pub struct Shared {
    started: Instant,
    checker: Mutex<Checker>,
    over: Mutex<BTreeSet<JobId>>,
    limits: Mutex<LimitObserver>,
    takeovers: Mutex<TakeoverObserver>,
}

impl Shared {
    /// The time begins now.
    pub fn new(checker: Checker) -> Self {
        Self {
            started: Instant::now(),
            checker: Mutex::new(checker),
            over: Mutex::new(BTreeSet::new()),
            limits: Mutex::new(LimitObserver::default()),
            takeovers: Mutex::new(TakeoverObserver::default()),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The checker, which sees the events of all cells in their order.
    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// What the cells allow teams, and which changes of that are in force.
    pub fn limits(&self) -> MutexGuard<'_, LimitObserver> {
        self.limits
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// What is seen of takeovers and orders, where one cell is played.
    pub fn takeovers(&self) -> MutexGuard<'_, TakeoverObserver> {
        self.takeovers
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// A job's user knows that it is over; true if that is news.
    pub fn note_over(&self, job: &JobId) -> bool {
        let mut over = self
            .over
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        over.insert(job.clone())
    }
}

/// What a cell's thread is told to do.
pub enum Command {
    /// Users begin.
    BeginLoad,
    /// Machines stop, over a time in milliseconds.
    LoseMachines {
        /// How many.
        count: usize,
        /// Of this zone only.
        zone: Option<String>,
        /// Over which time.
        over_ms: u64,
    },
    /// The store answers nobody for a time in milliseconds.
    StateOutage(u64),
    /// So many times as many batch jobs come as at first.
    Load(f64),
    /// Operators set a team's limit, of CPUs and GPUs.
    SetLimit(String, (f64, f64)),
    /// Say how things stand.
    Sample(Sender<CellSample>),
    /// End.
    End,
}

/// How one cell stands.
#[derive(Clone, Debug, Default)]
pub struct CellSample {
    /// Who leads.
    pub leader: Option<String>,
    /// Who holds the first shard.
    pub holder: Option<String>,
    /// Workers whose machines run, and those that have been answered.
    pub workers: usize,
    /// Workers that have been answered under a token.
    pub joined: usize,
    /// Healthy controllers.
    pub healthy: usize,
    /// Tasks that run.
    pub tasks: usize,
    /// Batch and urgent jobs that aren't over.
    pub open_batch: usize,
    /// Keys at the store.
    pub keys: usize,
    /// Requests of users that failed.
    pub user_failures: u64,
    /// Tasks killed since their worker's lease was over.
    pub killed: u64,
    /// What the store has done.
    pub state: StateCounts,
    /// Traffic by kind of connection.
    pub traffic: Vec<(String, Traffic)>,
    /// Processor time of the hollow side itself.
    pub cpu: CpuTime,
}

/// The outside world of one cell.
pub struct HollowCell {
    plan: Arc<CellPlan>,
    shared: Arc<Shared>,
    commands: Receiver<Command>,
    connections: Connections,
    state: StateService,
    cloud: Cloud,
    fleet: Inventory,
    users: Users,
    rng: StdRng,
    /// Answers that are on their way, by when they go out.
    answers: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    last_answer: u64,
    boots: BTreeMap<(u64, String), ()>,
    losses: BTreeMap<(u64, String), ()>,
    state_back_at: Option<u64>,
    limits_set: LimitsByTeam,
    looked_at: u64,
}

impl HollowCell {
    /// Sets up a cell and listens.
    pub fn new(
        plan: Arc<CellPlan>,
        shared: Arc<Shared>,
        commands: Receiver<Command>,
    ) -> io::Result<Self> {
        let connections = Connections::new(plan.addresses.store, &plan.addresses.clouds)?;
        let state = StateService::new(&plan.experiment.service);
        let seed = plan.experiment.seed + plan.index as u64;
        let mut cell = Self {
            connections,
            state,
            cloud: cloud(&plan),
            fleet: Inventory::new(plan.clone(), shared.clone()),
            users: Users::new(plan.clone(), shared.clone()),
            rng: StdRng::seed_from_u64(seed),
            answers: BTreeMap::new(),
            last_answer: 0,
            boots: BTreeMap::new(),
            losses: BTreeMap::new(),
            state_back_at: None,
            limits_set: LimitsByTeam::new(),
            looked_at: 0,
            plan,
            shared,
            commands,
        };
        cell.first_machines();
        Ok(cell)
    }

    fn first_machines(&mut self) {
        let plan = self.plan.clone();
        for n in 0..plan.workers {
            let zone = &plan.zones[n % plan.zones.len()];
            let id = self.cloud.add(0, MACHINE_TYPE, zone, false, Some(0));
            self.boots.insert((0, id.to_string()), ());
        }
    }

    /// Plays until it is told to end.
    pub fn run(mut self) -> io::Result<()> {
        let mut arrivals = Vec::new();
        loop {
            let now = self.shared.now_ms();
            if !self.obey(now) {
                return Ok(());
            }
            self.look(now);
            let next = self.answers.first_key_value().map(|((at, _), _)| *at);
            let next = next.unwrap_or(u64::MAX).min(self.looked_at + STEP_MS);
            let patience = Duration::from_millis(next.saturating_sub(self.shared.now_ms()));
            self.connections.wait(patience, &mut arrivals)?;
            for arrival in arrivals.drain(..) {
                self.arrived(arrival);
            }
        }
    }

    /// Carries out commands; false at the end.
    fn obey(&mut self, now: u64) -> bool {
        loop {
            match self.commands.try_recv() {
                Ok(Command::BeginLoad) => self.users.begin(now),
                Ok(Command::LoseMachines {
                    count,
                    zone,
                    over_ms,
                }) => self.plan_losses(now, count, zone.as_deref(), over_ms),
                Ok(Command::StateOutage(for_ms)) => {
                    self.state.set_outage(now, true);
                    self.state_back_at = Some(now + for_ms);
                }
                Ok(Command::Load(factor)) => self.users.set_factor(now, factor),
                Ok(Command::SetLimit(team, limit)) => {
                    self.limits_set.insert(team, limit);
                    self.state.set_limits(&self.limits_set);
                    self.wake_followers(now);
                }
                Ok(Command::Sample(to)) => {
                    let _ = to.send(self.sample());
                }
                Ok(Command::End) | Err(TryRecvError::Disconnected) => return false,
                Err(TryRecvError::Empty) => return true,
            }
        }
    }

    fn plan_losses(&mut self, now: u64, count: usize, zone: Option<&str>, over_ms: u64) {
        let mut machines = self.fleet.machines(zone);
        machines.shuffle(&mut self.rng);
        for id in machines.into_iter().take(count) {
            let at = now + self.rng.random_range(0..=over_ms);
            self.losses.insert((at, id), ());
        }
    }

    /// Does what is due.
    fn look(&mut self, now: u64) {
        while let Some(entry) = self.answers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (connection, bytes) = entry.remove();
            self.connections.send(connection, &bytes);
        }
        if now < self.looked_at + STEP_MS {
            return;
        }
        let passed = (now - self.looked_at).min(ROUND_MS);
        self.looked_at = now;
        self.boot_machines(now);
        self.lose_machines(now);
        if self.state_back_at.is_some_and(|at| now >= at) {
            self.state_back_at = None;
            self.state.set_outage(now, false);
        }
        self.wake_followers(now);
        let share = passed as f64 / ROUND_MS as f64;
        let (connections, jobs) = (&mut self.connections, &self.users.jobs);
        self.fleet
            .tick(now, share, connections, jobs, &mut self.rng);
        self.users.tick(now, connections, &mut self.rng);
    }

    fn boot_machines(&mut self, now: u64) {
        while let Some(entry) = self.boots.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let ((_, id), ()) = entry.remove_entry();
            let rig = self.cloud.rigs.get(&id).filter(|r| r.gone.is_none());
            if let Some(r) = rig {
                self.fleet.boot(now, &id, &r.class, &r.zone, r.spot);
            }
        }
    }

    fn lose_machines(&mut self, now: u64) {
        while let Some(entry) = self.losses.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let ((_, id), ()) = entry.remove_entry();
            self.fleet.stop(&mut self.connections, &id, false);
            if let Some(rig) = self.cloud.rigs.get_mut(&id) {
                rig.failed = Some(now + LISTED_RUNNING_MS);
            }
        }
    }

    fn wake_followers(&mut self, now: u64) {
        for (connection, answer) in self.state.wake_followers(now) {
            self.answer_later(now, connection, answer);
        }
    }

    fn answer_later(&mut self, now: u64, connection: usize, answer: Answer) {
        let delay = self.plan.experiment.service.store_latency_ms;
        self.send_later(now + delay, connection, answer);
    }

    fn send_later(&mut self, at: u64, connection: usize, (status, body): Answer) {
        let retry_after = matches!(status, 429 | 503).then_some(1);
        let bytes = http::response(status, retry_after, false, &body);
        self.last_answer += 1;
        self.answers
            .insert((at, self.last_answer), (connection, bytes));
    }

    fn arrived(&mut self, arrival: Arrival) {
        let now = self.shared.now_ms();
        match arrival {
            Arrival::Message(key, Role::State, message) => {
                if let Some(answer) = self.state.execute(now, key, &message) {
                    self.answer_later(now, key, answer);
                }
                self.note_written(now);
                self.wake_followers(now);
            }
            Arrival::Message(key, Role::Cloud(controller), message) => {
                self.cloud_request(now, (key, controller), &message);
            }
            Arrival::Message(_, Role::Worker(index), message) => {
                let (connections, jobs) = (&mut self.connections, &self.users.jobs);
                let taken = self.fleet.answered(now, index, &message, connections, jobs);
                if let Err(why) = taken {
                    self.shared.checker().broken.push(why);
                }
            }
            Arrival::Message(key, Role::User(_), message) => {
                let connections = &mut self.connections;
                self.users
                    .answered(now, key, &message, connections, &mut self.rng);
            }
            Arrival::Message(key, Role::Probe(controller), message) => {
                if let Some(key) = self.users.probed(controller, key, message.status()) {
                    self.connections.close(key);
                }
            }
            Arrival::ExhaustedPool(key, Role::State) => self.state.disconnected(key),
            Arrival::ExhaustedPool(_, Role::Cloud(_)) => {}
            Arrival::ExhaustedPool(key, Role::Worker(index)) => self.fleet.closed(now, index, key),
            Arrival::ExhaustedPool(key, Role::User(_)) => {
                self.users.closed(now, key, &mut self.rng)
            }
            Arrival::ExhaustedPool(key, Role::Probe(controller)) => {
                self.users.probed(controller, key, None);
            }
        }
    }

    /// Looks at what was just written.
    fn note_written(&mut self, now: u64) {
        let sole = self.plan.sole;
        for (path, value) in self.state.take_written() {
            if path == BLOCK {
                if let Ok(view) = value.deserialized() {
                    self.shared
                        .limits()
                        .shard_written(now, self.plan.index, view);
                }
                if let Some(block) = value.deserialized().ok().filter(|_| sole) {
                    self.shared.takeovers().shard_written(now, &block);
                }
            } else if path == LEADER {
                if let Some(leader) = value.deserialized().ok().filter(|_| sole) {
                    self.shared.takeovers().leader_written(Some(&leader));
                }
            } else if let Some(Key::Run(job, _)) = Key::parse(&path) {
                if let Some(run) = value.deserialized().ok().filter(|_| sole) {
                    self.shared.takeovers().placement_written(&job, &run);
                }
            } else if let Ok(record) = value.deserialized() {
                let limits = self.shared.limits().cell_written(now, &record);
                let mut checker = self.shared.checker();
                for (team, limit) in limits {
                    checker.set_limit(now, &team, limit);
                }
            }
        }
    }

    fn cloud_request(&mut self, now: u64, (key, caller): (usize, usize), message: &Message) {
        let Some(op) = read_request(message) else {
            let malformed = (400, salttrestle::wire::error_body("malformed"));
            return self.send_later(now, key, malformed);
        };
        if self.plan.sole && matches!(op, CloudOp::Rent(_) | CloudOp::Delete(_)) {
            let mut watch = self.shared.takeovers();
            let member = &self.plan.members[caller];
            watch.cloud_changed(now, member);
        }
        let (reply, gone) = self.cloud.execute(now, &op);
        for id in gone {
            self.fleet.stop(&mut self.connections, &id, true);
        }
        if let CloudReply::Rented(machines) = &reply {
            for id in machines {
                let rig = self.cloud.rigs.get(id.as_str());
                if let Some(at) = rig.and_then(|r| r.boots).filter(|at| *at > now) {
                    self.boots.insert((at, id.to_string()), ());
                }
            }
        }
        self.send_later(now + CLOUD_ANSWER_MS, key, write_answer(&reply));
    }

    fn sample(&self) -> CellSample {
        let named = LINKS.iter().map(|name| String::from(*name));
        CellSample {
            leader: self.state.text_field("s/own/leader", "member"),
            holder: self.state.text_field("s/own/block/0", "holder"),
            workers: self.fleet.running(),
            joined: self.fleet.joined(),
            healthy: self.users.healthy(),
            tasks: self.fleet.tasks(),
            open_batch: self.users.open_batch,
            keys: self.state.size(),
            user_failures: self.users.failed,
            killed: self.fleet.killed,
            state: self.state.counts,
            traffic: named.zip(self.connections.traffic).collect(),
            cpu: thread_cpu().unwrap_or_default(),
        }
    }
}

fn cloud(plan: &CellPlan) -> Cloud {
    let service = &plan.experiment.service;
    let [cpus, gpus, mem] = service.machine;
    let class = MachineType {
        name: MACHINE_TYPE.into(),
        resources: Resources { cpus, gpus, mem },
        cache_gb: CACHE_GB,
        fetch_gb_s: FETCH_GB_S,
        price: PRICE,
        spot_price: PRICE,
        ready_s: service.boot_s,
        zones: plan.zones.clone(),
    };
    let spare = plan.experiment.cells[plan.index].spare_machines;
    let zones = plan.zones.len() as u32;
    let capacity = plan.zones.iter().enumerate().map(|(n, zone)| {
        let more = u32::from((n as u32) < spare % zones);
        let key = (MACHINE_TYPE.to_string(), zone.clone(), false);
        (key, spare / zones + more)
    });
    Cloud {
        catalog: vec![class],
        capacity: capacity.collect(),
        lag_ms: CLOUD_LIST_LAG.as_millis() as u64,
        ..Cloud::default()
    }
}
