//! A simulation of takeovers with three controllers, a store, a cloud, two workers and one task.
//! Commits and messages may be delayed, lost, duplicated or reordered. Controllers may be paused,
//! end and start again.

mod controllers;
mod messages;
mod records;
mod workers;

use controllers::Controller;
use messages::Envelope;
use records::{Commit, Placement, Records};
use salttrestle_standby::{Config, Standby};
use thiserror::Error;
use workers::{Response, Worker};

pub(crate) const CONTROLLERS: usize = 3;
pub(crate) const MACHINES: usize = 2;
/// Duration of the leader's lease.
const LEADER_LEASE_MS: u64 = 3_000;
/// The time at which the simulation starts.
const START_MS: u64 = 100_000;
/// Duration of a round without faults.
const ROUND_MS: u64 = 100;
/// Number of rounds without faults after which one controller must lead.
const SETTLE_ROUNDS: usize = 80;

/// A bug of the controllers that the checks have to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    None,
    /// A new leader calls the cloud without waiting for the former one.
    CallsCloudAtOnce,
    /// A new leader ignores the wait that is stored with the highest token.
    IgnoresStoredFence,
    /// A leader calls the cloud after a recent lease renewal, without a recent read of its record.
    CallsCloudWithoutRead,
    /// A new shard owner ignores the placements in its view, as if its watch hadn't caught up.
    PlacesBeforeCaughtUp,
    /// A hint that a task has ended is treated as a proof.
    TrustsHints,
}

/// An invariant that was violated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Violation {
    #[error("the leader with token {token} calls the cloud after the leader with token {latest}")]
    StaleCloudCall { token: u64, latest: u64 },
    #[error("token {0} is issued again")]
    TokenReused(u64),
    #[error("attempt {attempt} starts on machine {machine} without a committed placement")]
    UncommittedStart { machine: usize, attempt: u64 },
    #[error("the task runs twice")]
    RunsTwice,
    #[error("{0} controllers lead after a period without faults")]
    NotOneLeader(usize),
}

pub(crate) struct World {
    now: u64,
    bug: InjectedBug,
    records: Records,
    /// The expiry time of each lease in the store.
    leases: Vec<u64>,
    controllers: Vec<Controller>,
    messages: Vec<Envelope>,
    commits: Vec<Commit>,
    responses: Vec<Response>,
    workers: Vec<Worker>,
    /// All placements that were ever committed.
    committed_placements: Vec<Placement>,
    /// The highest token under which the cloud was called.
    latest_cloud_token: u64,
    /// The first violation.
    pub(crate) violation: Option<Violation>,
}

fn config() -> Config {
    Config {
        heartbeat_ms: 400,
        missed_heartbeats: 4,
        takeovers_per_minute: 10,
        hints_ms: 1_000,
        lease_ms: LEADER_LEASE_MS,
    }
}

fn name(controller: usize) -> String {
    format!("c-{controller}")
}

fn standby(controller: usize, incarnation: u64) -> Standby {
    let peers = (0..CONTROLLERS).filter(|peer| *peer != controller);
    Standby::new(config(), &name(controller), incarnation, peers.map(name))
}

impl World {
    pub(crate) fn new(bug: InjectedBug) -> Self {
        Self {
            now: START_MS,
            bug,
            records: Records::default(),
            leases: Vec::new(),
            controllers: (0..CONTROLLERS).map(Controller::new).collect(),
            messages: Vec::new(),
            commits: Vec::new(),
            responses: Vec::new(),
            workers: vec![Worker::default(); MACHINES],
            committed_placements: Vec::new(),
            latest_cloud_token: 0,
            violation: None,
        }
    }

    fn record_violation(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Advances the clock, and expires leases in the store and of workers.
    pub(crate) fn advance_clock(&mut self, ms: u64) {
        self.now += ms;
        let leader = self.records.leader.value.as_ref();
        if leader.is_some_and(|leader| self.now > self.leases[leader.lease]) {
            self.records.remove_leader();
        }
        for worker in &mut self.workers {
            worker.expire(self.now);
        }
    }

    /// Executes a commit if its conditions hold, and drops it otherwise.
    pub(crate) fn execute_commit(&mut self, index: usize) {
        if self.commits.is_empty() {
            return;
        }
        let commit = self.commits.swap_remove(index % self.commits.len());
        if !commit.conditions_hold(&self.records, &self.leases, self.now) {
            return;
        }
        if let Some(token) = commit.reused_token(&self.records) {
            return self.record_violation(Violation::TokenReused(token));
        }
        self.committed_placements.extend(commit.placement());
        self.records.apply(commit.change);
    }

    /// Drops all commits in transit but the first one.
    pub(crate) fn keep_first_commit(&mut self) {
        self.commits.truncate(1);
    }

    /// The first controller that considers itself the leader.
    pub(crate) fn find_leader(&self) -> Option<usize> {
        let mut controllers = self.controllers.iter();
        controllers.position(|controller| controller.is_leader)
    }

    /// The controller that leads according to the leader's record.
    pub(crate) fn recorded_leader(&self) -> Option<usize> {
        let leader = self.records.leader.value.as_ref()?;
        (0..CONTROLLERS).find(|controller| name(*controller) == leader.term.leader)
    }

    /// Runs rounds in which the controllers act and receive each other's messages. The controller
    /// `without` only calls the cloud.
    pub(crate) fn run_rounds(&mut self, without: Option<usize>, rounds: usize) {
        for _ in 0..rounds {
            self.advance_clock(ROUND_MS);
            let acting = (0..CONTROLLERS).filter(|controller| Some(*controller) != without);
            for controller in acting {
                self.act_in_round(controller);
            }
            if let Some(controller) = without {
                self.call_cloud(controller);
            }
        }
    }

    fn act_in_round(&mut self, controller: usize) {
        self.read_records(controller);
        self.tick(controller);
        for _ in 0..2 * CONTROLLERS {
            self.deliver(0, false);
        }
        self.execute_commit(usize::MAX);
        self.read_records(controller);
        self.send_worker_heartbeat(controller % MACHINES, controller);
        self.deliver_response(usize::MAX);
        self.call_cloud(controller);
    }

    /// Resumes or starts all controllers and runs rounds without faults, after which one controller
    /// has to lead.
    pub(crate) fn settle(&mut self) {
        self.commits.clear();
        for controller in 0..CONTROLLERS {
            if self.controllers[controller].is_up {
                self.set_paused(controller, false);
            } else {
                self.restart(controller, true);
            }
        }
        for _ in 0..SETTLE_ROUNDS {
            self.advance_clock(ROUND_MS);
            for controller in 0..CONTROLLERS {
                self.settle_controller(controller);
            }
        }
        let leaders = self
            .controllers
            .iter()
            .filter(|controller| controller.is_leader);
        let leaders = leaders.count();
        if leaders != 1 {
            self.record_violation(Violation::NotOneLeader(leaders));
        }
    }

    fn settle_controller(&mut self, controller: usize) {
        self.read_records(controller);
        self.tick(controller);
        while !self.messages.is_empty() {
            self.deliver(0, false);
        }
        while !self.commits.is_empty() {
            self.execute_commit(0);
        }
        self.call_cloud(controller);
    }
}
