//! Controllers, a store, one task, two workers and a cloud, as far as a takeover concerns them.
//! Anything may be late, lost, copied or overtaken; controllers are paused, end and return.

mod controllers;
mod messages;
mod records;
mod workers;

use controllers::Controller;
use messages::Envelope;
use records::{Commit, Placed, Records};
use salttrestle_standby::{Config, Standby};
use thiserror::Error;
use workers::{Answer, Worker};

pub(crate) const CONTROLLERS: usize = 3;
pub(crate) const MACHINES: usize = 2;
/// The leader's lease.
const LEADER_LEASE_MS: u64 = 3_000;
/// Before anything has happened.
const START_MS: u64 = 100_000;
/// Of the rounds in which everything works: their length, and after how many one must lead.
const ROUND_MS: u64 = 100;
const ROUNDS_TO_SETTLE: usize = 80;

/// What a controller does wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mistake {
    None,
    /// A successor calls the cloud at once.
    NoFence,
    /// A successor's successor knows nothing of the wait.
    FenceForgotten,
    /// The cloud is called on a renewed lease, without a recent read of the leader's record.
    CallsWithoutReading,
    /// A new owner places what it doesn't know to be placed, before its watch has caught up.
    OrdersBeforeCaughtUp,
    /// A hint that a task has ended is taken for a proof.
    HintBelieved,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum Violation {
    #[error("{token} calls the cloud after {latest} did")]
    OutdatedCloudCall { token: u64, latest: u64 },
    #[error("token {0} is given again")]
    TokenGivenAgain(u64),
    #[error("attempt {attempt} starts uncommitted on {machine}")]
    UncommittedStart { machine: usize, attempt: u64 },
    #[error("the task runs twice")]
    RunsTwice,
    #[error("{0} controllers lead after all has settled")]
    NotOneLeader(usize),
}

pub(crate) struct World {
    now: u64,
    mistake: Mistake,
    records: Records,
    /// When each lease at the store ends.
    leases: Vec<u64>,
    controllers: Vec<Controller>,
    messages: Vec<Envelope>,
    commits: Vec<Commit>,
    answers: Vec<Answer>,
    workers: Vec<Worker>,
    /// Every placement that was ever committed.
    committed: Vec<Placed>,
    /// The highest token under which the cloud was called.
    latest_call: u64,
    /// The first rule that was broken.
    pub(crate) violation: Option<Violation>,
}

fn config() -> Config {
    Config {
        heartbeat_ms: 400,
        missed: 4,
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
    pub(crate) fn new(mistake: Mistake) -> Self {
        Self {
            now: START_MS,
            mistake,
            records: Records::default(),
            leases: Vec::new(),
            controllers: (0..CONTROLLERS).map(Controller::new).collect(),
            messages: Vec::new(),
            commits: Vec::new(),
            answers: Vec::new(),
            workers: vec![Worker::default(); MACHINES],
            committed: Vec::new(),
            latest_call: 0,
            violation: None,
        }
    }

    fn fail(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Time passes: leases at the store and those of workers expire.
    pub(crate) fn wait(&mut self, ms: u64) {
        self.now += ms;
        let leader = self.records.leader.value.as_ref();
        if leader.is_some_and(|leader| self.now > self.leases[leader.lease]) {
            self.records.remove_leader();
        }
        for worker in &mut self.workers {
            worker.expire(self.now);
        }
    }

    /// A commit is carried out, unless its conditions have changed.
    pub(crate) fn carry_out(&mut self, index: usize) {
        if self.commits.is_empty() {
            return;
        }
        let commit = self.commits.swap_remove(index % self.commits.len());
        if !commit.holds(&self.records, &self.leases, self.now) {
            return;
        }
        if let Some(token) = commit.token_given_again(&self.records) {
            return self.fail(Violation::TokenGivenAgain(token));
        }
        self.committed.extend(commit.placement());
        self.records.apply(commit.change);
    }

    /// Of the commits on their way only the first one is left.
    pub(crate) fn forget_commits_but_one(&mut self) {
        self.commits.truncate(1);
    }

    /// Who takes itself for the leader.
    pub(crate) fn leader(&self) -> Option<usize> {
        let mut controllers = self.controllers.iter();
        controllers.position(|controller| controller.is_leader)
    }

    /// Who leads by the record.
    pub(crate) fn leader_of_record(&self) -> Option<usize> {
        let leader = self.records.leader.value.as_ref()?;
        (0..CONTROLLERS).find(|controller| name(*controller) == leader.term.leader)
    }

    /// Rounds in which all controllers but one act and hear each other; that one only calls the
    /// cloud.
    pub(crate) fn calm(&mut self, without: Option<usize>, rounds: usize) {
        for _ in 0..rounds {
            self.wait(ROUND_MS);
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
        self.read(controller);
        self.tick(controller);
        for _ in 0..2 * CONTROLLERS {
            self.deliver(0, false);
        }
        self.carry_out(usize::MAX);
        self.read(controller);
        self.heartbeat(controller % MACHINES, controller);
        self.answer(usize::MAX);
        self.call_cloud(controller);
    }

    /// All run, messages arrive, nothing is late: one has to lead soon.
    pub(crate) fn settle(&mut self) {
        self.commits.clear();
        for controller in 0..CONTROLLERS {
            if self.controllers[controller].up {
                self.pause(controller, false);
            } else {
                self.restart(controller, true);
            }
        }
        for _ in 0..ROUNDS_TO_SETTLE {
            self.wait(ROUND_MS);
            for controller in 0..CONTROLLERS {
                self.settle_controller(controller);
            }
        }
        let leaders = self.controllers.iter().filter(|other| other.is_leader);
        let leaders = leaders.count();
        if leaders != 1 {
            self.fail(Violation::NotOneLeader(leaders));
        }
    }

    fn settle_controller(&mut self, controller: usize) {
        self.read(controller);
        self.tick(controller);
        while !self.messages.is_empty() {
            self.deliver(0, false);
        }
        while !self.commits.is_empty() {
            self.carry_out(0);
        }
        self.call_cloud(controller);
    }
}
