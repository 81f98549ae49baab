//! Controllers, a store, one task, two workers and a cloud, as far as a takeover concerns
//! them. Anything may be late, lost, copied or overtaken; controllers stand still, end and return.

use salttrestle_standby::fence::{Fence, Predecessors};
use salttrestle_standby::hints::Hints;
use salttrestle_standby::message::Heartbeat;
use salttrestle_standby::standby::Term;
use salttrestle_standby::{Config, Standby};

pub const CONTROLLERS: usize = 3;
pub const MACHINES: usize = 2;
const GRANT_MS: u64 = 3_000;
const LEASE_MS: u64 = 10_000;
const ANSWER_MS: u64 = 4_000;
const PLAN_MS: u64 = 500;

pub fn config() -> Config {
    Config {
        heartbeat_ms: 400,
        missed: 4,
        takeovers_per_minute: 10,
        hints_ms: 1_000,
        lease_ms: GRANT_MS,
    }
}

/// What a controller does wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mistake {
    None,
    /// A successor calls the cloud at once.
    NoFence,
    /// A successor's successor knows nothing of the wait.
    FenceForgotten,
    /// The cloud is called on a renewed lease, whatever the leader's record says by now.
    CallsWithoutReading,
    /// A new owner places what it doesn't know to be placed, before its follow has caught up.
    OrdersBeforeCaughtUp,
    /// A hint that a task has ended is taken for a proof.
    StreamBelieved,
}

#[derive(Clone, Debug, PartialEq)]
struct Leader {
    term: Term,
    lease: usize,
}

/// What stands at the store, with the revision of each record's last change.
#[derive(Clone, Debug, Default)]
pub struct Records {
    pub revision: u64,
    leader: (u64, Option<Leader>),
    highest: (u64, u64, Option<Fence>),
    block: (u64, u64),
    run: (u64, Option<Placed>),
    plan: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Placed {
    machine: usize,
    attempt: u64,
}

#[derive(Clone, Debug)]
enum Change {
    Elect(Leader, Option<Fence>),
    Place(Placed),
    Gone,
    Plan(u64),
}

/// A commit on its way: carried out at any moment, or never.
#[derive(Clone, Debug)]
struct Commit {
    conditions: Records,
    run_too: bool,
    change: Change,
}

/// What one leading process knows.
#[derive(Clone, Debug)]
struct Leadership {
    token: u64,
    block: u64,
    cloud_from: u64,
    /// The attempt that this owner placed and committed, to be started.
    own: Option<Placed>,
    planned_at: u64,
}

pub struct Controller {
    incarnation: u64,
    up: bool,
    paused: bool,
    standby: Standby,
    view: Records,
    /// When the latest read was sent that it knows.
    read_at: u64,
    /// Leases that were asked for, and when.
    grants: Vec<(usize, u64)>,
    /// The lease that its record names, and when its renewal was last sent.
    lease: Option<(usize, u64)>,
    leadership: Option<Leadership>,
    pub is_leader: bool,
}

#[derive(Clone, Debug)]
enum Letter {
    Heartbeat(Heartbeat),
    Hints(Hints, bool),
}

#[derive(Clone, Debug, Default)]
struct Worker {
    newest: u64,
    runs: Option<u64>,
    renewed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    machine: usize,
    token: u64,
    start: Option<u64>,
    sent: u64,
}

pub struct World {
    pub now: u64,
    mistake: Mistake,
    pub records: Records,
    leases: Vec<u64>,
    pub controllers: Vec<Controller>,
    letters: Vec<(usize, Letter)>,
    commits: Vec<Commit>,
    answers: Vec<Answer>,
    workers: Vec<Worker>,
    committed: Vec<Placed>,
    latest_call: u64,
    pub broken: Option<String>,
}

fn name(n: usize) -> String {
    format!("c-{n}")
}

fn standby(n: usize, incarnation: u64) -> Standby {
    let peers = (0..CONTROLLERS).filter(|p| *p != n).map(name);
    Standby::new(config(), &name(n), incarnation, peers)
}

impl World {
    pub fn new(mistake: Mistake) -> Self {
        let controllers = (0..CONTROLLERS).map(|n| Controller {
            incarnation: 1,
            up: true,
            paused: false,
            standby: standby(n, 1),
            view: Records::default(),
            read_at: 0,
            grants: Vec::new(),
            lease: None,
            leadership: None,
            is_leader: false,
        });
        Self {
            now: 100_000,
            mistake,
            records: Records::default(),
            leases: Vec::new(),
            controllers: controllers.collect(),
            letters: Vec::new(),
            commits: Vec::new(),
            answers: Vec::new(),
            workers: vec![Worker::default(); MACHINES],
            committed: Vec::new(),
            latest_call: 0,
            broken: None,
        }
    }

    fn acts(&self, n: usize) -> bool {
        self.controllers[n].up && !self.controllers[n].paused
    }

    /// Time passes: leases and leases of workers end.
    pub fn wait(&mut self, ms: u64) {
        self.now += ms;
        let leader = self.records.leader.1.as_ref();
        if leader.is_some_and(|l| self.now > self.leases[l.lease]) {
            self.records.revision += 1;
            self.records.leader = (self.records.revision, None);
        }
        for worker in &mut self.workers {
            if self.now > worker.renewed + LEASE_MS {
                worker.runs = None;
            }
        }
    }

    /// A controller reads all records; an owner learns what came of its commits.
    pub fn read(&mut self, n: usize) {
        if !self.acts(n) {
            return;
        }
        let (now, mistake) = (self.now, self.mistake);
        let c = &mut self.controllers[n];
        (c.view, c.read_at) = (self.records.clone(), now);
        let term = c.view.leader.1.as_ref().map(|l| l.term.clone());
        c.standby.set_term(now, term.clone());
        let mine = term.filter(|t| t.leader == name(n) && t.incarnation == c.incarnation);
        let Some(term) = mine else {
            c.leadership = None;
            c.is_leader = false;
            return;
        };
        if c.leadership.as_ref().is_none_or(|l| l.token != term.token) {
            let named = c.view.leader.1.as_ref().map(|l| l.lease);
            let of_record = |grant: &&(usize, u64)| Some(grant.0) == named;
            c.lease = c.grants.iter().find(of_record).copied();
            let fence = c.view.highest.2.filter(|f| f.token == term.token);
            let wait_ms = match mistake {
                Mistake::NoFence => 0,
                _ => fence.map_or(0, |f| f.ms),
            };
            c.leadership = Some(Leadership {
                token: term.token,
                block: c.view.block.1,
                cloud_from: now + wait_ms,
                own: None,
                planned_at: now,
            });
            c.is_leader = true;
        }
        if let (Some(leadership), Some(placed)) = (&mut c.leadership, c.view.run.1)
            && placed.attempt >> 8 == leadership.block
        {
            leadership.own = Some(placed);
        }
    }

    /// A controller does what is due: heartbeats, renewal, standing, the plan.
    pub fn tick(&mut self, n: usize) {
        if !self.acts(n) {
            return;
        }
        let now = self.now;
        let c = &mut self.controllers[n];
        if let Some(beat) = c.standby.tick(now) {
            for to in (0..CONTROLLERS).filter(|to| *to != n) {
                self.letters.push((to, Letter::Heartbeat(beat.clone())));
            }
        }
        let c = &mut self.controllers[n];
        if c.leadership.is_some() {
            if let Some((lease, renewed)) = &mut c.lease
                && self.leases[*lease] >= now
            {
                (self.leases[*lease], *renewed) = (now + GRANT_MS, now);
            }
            return self.plan(n);
        }
        let vacant = c.view.leader.1.is_none();
        if now - c.read_at < GRANT_MS && (vacant || c.standby.may_replace(now).is_ok()) {
            self.stand(n);
        }
    }

    fn stand(&mut self, n: usize) {
        self.leases.push(self.now + GRANT_MS);
        let lease = self.leases.len() - 1;
        let c = &mut self.controllers[n];
        c.grants.push((lease, self.now));
        let replaced = c.view.leader.1.as_ref();
        let replaced = replaced.filter(|l| l.term.leader != name(n));
        let predecessors = Predecessors {
            replaced_grant_ms: replaced.and_then(|l| l.term.fenced_ms),
            fence: match self.mistake {
                Mistake::FenceForgotten => None,
                _ => c.view.highest.2,
            },
            plan_token: c.view.plan,
        };
        let token = c.view.highest.1 + 1;
        let term = Term {
            leader: name(n),
            incarnation: c.incarnation,
            token,
            fenced_ms: Some(GRANT_MS),
        };
        let change = Change::Elect(Leader { term, lease }, predecessors.fence(token));
        let conditions = c.view.clone();
        self.commits.push(Commit {
            conditions,
            run_too: false,
            change,
        });
    }

    /// Whether a leader takes its lease to be alive and its record to stand.
    fn may_call(&self, n: usize) -> Option<u64> {
        let c = &self.controllers[n];
        let leadership = c.leadership.as_ref().filter(|l| self.now >= l.cloud_from)?;
        let renewed = c.lease.is_some_and(|(_, at)| self.now - at < GRANT_MS);
        let read = self.now - c.read_at < GRANT_MS || self.mistake == Mistake::CallsWithoutReading;
        (renewed && read).then_some(leadership.token)
    }

    fn plan(&mut self, n: usize) {
        let Some(token) = self.may_call(n) else {
            return;
        };
        let now = self.now;
        let c = &mut self.controllers[n];
        let Some(leadership) = c
            .leadership
            .as_mut()
            .filter(|l| now >= l.planned_at + PLAN_MS)
        else {
            return;
        };
        leadership.planned_at = now;
        let conditions = c.view.clone();
        self.commits.push(Commit {
            conditions,
            run_too: false,
            change: Change::Plan(token),
        });
    }

    /// A leader rents or returns something, if it takes itself to be allowed to.
    pub fn call_cloud(&mut self, n: usize) {
        if !self.acts(n) {
            return;
        }
        let Some(token) = self.may_call(n) else {
            return;
        };
        if token < self.latest_call {
            let latest = self.latest_call;
            self.fail(format!("{token} calls the cloud after {latest} did"));
        }
        self.latest_call = self.latest_call.max(token);
    }

    fn fail(&mut self, why: String) {
        self.broken.get_or_insert(why);
    }

    /// A commit is carried out, unless its conditions have changed.
    pub fn carry_out(&mut self, index: usize) {
        if self.commits.is_empty() {
            return;
        }
        let commit = self.commits.swap_remove(index % self.commits.len());
        let (known, records) = (&commit.conditions, &mut self.records);
        let leader = known.leader.0 == records.leader.0;
        let block = known.block.0 == records.block.0;
        let run = !commit.run_too || known.run.0 == records.run.0;
        let next = records.revision + 1;
        match commit.change {
            Change::Elect(elected, fence) => {
                let lives = self.leases[elected.lease] >= self.now;
                if !(leader && lives && block && known.highest.0 == records.highest.0) {
                    return;
                }
                let token = elected.term.token;
                if token <= records.highest.1 {
                    return self.fail(format!("number {token} is given again"));
                }
                records.leader = (next, Some(elected));
                records.highest = (next, token + 1, fence);
                records.block = (next, token + 1);
            }
            Change::Place(placed) if block && run => {
                records.run = (next, Some(placed));
                self.committed.push(placed);
            }
            Change::Gone if block && run => records.run = (next, None),
            Change::Plan(token) if leader => records.plan = token,
            _ => return,
        }
        self.records.revision = next;
    }

    /// An owner places the task if it knows of no placement.
    pub fn place(&mut self, n: usize, machine: usize) {
        if !self.acts(n) {
            return;
        }
        let early = self.mistake == Mistake::OrdersBeforeCaughtUp;
        let c = &self.controllers[n];
        let Some(leadership) = &c.leadership else {
            return;
        };
        let known = if early { leadership.own } else { c.view.run.1 };
        if known.is_some() {
            return;
        }
        let attempt = (leadership.block << 8) + self.commits.len() as u64 + self.now % 100;
        let change = Change::Place(Placed { machine, attempt });
        let conditions = c.view.clone();
        self.commits.push(Commit {
            conditions,
            run_too: !early,
            change,
        });
    }

    /// A worker heartbeats to a controller, which answers if it holds the shard.
    pub fn report(&mut self, machine: usize, n: usize) {
        if !self.acts(n) {
            return;
        }
        let (newest, runs) = (self.workers[machine].newest, self.workers[machine].runs);
        let c = &self.controllers[n];
        let Some(leadership) = c.leadership.as_ref().filter(|l| l.block >= newest) else {
            return;
        };
        let shown = leadership.block == newest;
        let placed = c.view.run.1.filter(|p| p.machine == machine);
        let own = leadership.own.filter(|p| p.machine == machine);
        let sighted = self.now - c.read_at < GRANT_MS;
        let start = own.filter(|p| shown && sighted && runs != Some(p.attempt));
        // Placed by an earlier owner, and not there under the present number: proven gone.
        let foreign = placed.filter(|p| p.attempt >> 8 != leadership.block);
        if shown && foreign.is_some_and(|p| runs != Some(p.attempt)) {
            let conditions = c.view.clone();
            self.commits.push(Commit {
                conditions,
                run_too: true,
                change: Change::Gone,
            });
        }
        self.answers.push(Answer {
            machine,
            token: self.controllers[n]
                .leadership
                .as_ref()
                .map_or(0, |l| l.block),
            start: start.map(|p| p.attempt),
            sent: self.now,
        });
    }

    /// An answer reaches its worker, unless it is too late or under an old number.
    pub fn answer(&mut self, index: usize) {
        if self.answers.is_empty() {
            return;
        }
        let answer = self.answers.swap_remove(index % self.answers.len());
        let worker = &mut self.workers[answer.machine];
        if answer.token < worker.newest || self.now > answer.sent + ANSWER_MS {
            return;
        }
        (worker.newest, worker.renewed) = (answer.token, answer.sent);
        let Some(attempt) = answer.start else {
            return;
        };
        worker.runs = Some(attempt);
        let machine = answer.machine;
        if !self.committed.contains(&Placed { machine, attempt }) {
            self.fail(format!("attempt {attempt} starts uncommitted on {machine}"));
        }
        if self.workers.iter().filter(|w| w.runs.is_some()).count() > 1 {
            self.fail("the task runs twice".into());
        }
    }

    /// The leader tells what it knows; a lie says that the task has ended.
    pub fn hint(&mut self, n: usize, lie: bool) {
        let token = match &self.controllers[n].leadership {
            Some(leadership) if self.acts(n) => leadership.token,
            _ => return,
        };
        let hints = Hints {
            from: name(n),
            token: token - u64::from(lie),
            ..Hints::default()
        };
        for to in (0..CONTROLLERS).filter(|to| *to != n) {
            self.letters.push((to, Letter::Hints(hints.clone(), lie)));
        }
    }

    /// A hint in the name of a controller says that the task has ended, and arrives at once.
    pub fn lie_to(&mut self, n: usize, from: usize) {
        let hints = Hints {
            from: name(from),
            ..Hints::default()
        };
        self.letters.push((n, Letter::Hints(hints, true)));
        self.deliver(self.letters.len() - 1, false);
    }

    /// A message arrives, and perhaps a copy of it stays on its way.
    pub fn deliver(&mut self, index: usize, copy: bool) {
        if self.letters.is_empty() {
            return;
        }
        let index = index % self.letters.len();
        let (to, letter) = match copy {
            true => self.letters[index].clone(),
            false => self.letters.swap_remove(index),
        };
        if !self.acts(to) {
            return;
        }
        let (now, believes) = (self.now, self.mistake == Mistake::StreamBelieved);
        let c = &mut self.controllers[to];
        match letter {
            Letter::Heartbeat(beat) => c.standby.on_heartbeat(now, &beat),
            Letter::Hints(hints, ended) => {
                c.standby.on_hints(now, hints);
                if ended && believes {
                    c.view.run.1 = None;
                }
            }
        }
    }

    /// Delivers a message that isn't for anybody else; false if there is none.
    pub fn deliver_between(&mut self, controller_ids: &[usize]) -> bool {
        self.letters.retain(|(to, _)| controller_ids.contains(to));
        let any = !self.letters.is_empty();
        self.deliver(0, false);
        any
    }

    /// Of the commits on their way only the first one is left.
    pub fn forget_commits_but_one(&mut self) {
        self.commits.truncate(1);
    }

    /// Who takes itself for the leader.
    pub fn leader(&self) -> Option<usize> {
        self.controllers.iter().position(|c| c.is_leader)
    }

    /// Who leads by the record.
    pub fn leader_of_record(&self) -> Option<usize> {
        let leader = self.records.leader.1.as_ref()?;
        (0..CONTROLLERS).find(|n| name(*n) == leader.term.leader)
    }

    pub fn lose_letters(&mut self) {
        self.letters.clear();
    }

    /// The connection to a controller is lost.
    pub fn disconnect(&mut self, n: usize, from: usize) {
        self.controllers[n]
            .standby
            .on_disconnected(self.now, &name(from));
    }

    pub fn pause(&mut self, n: usize, pause: bool) {
        self.controllers[n].paused = pause;
    }

    /// A process ends; another one of the same controller begins.
    pub fn restart(&mut self, n: usize, up: bool) {
        let c = &mut self.controllers[n];
        c.incarnation += 1;
        (c.up, c.paused) = (up, false);
        c.standby = standby(n, c.incarnation);
        (c.view, c.read_at) = (Records::default(), 0);
        (c.lease, c.leadership, c.is_leader) = (None, None, false);
        c.grants.clear();
    }

    /// All run, messages arrive, nothing is late: somebody has to lead soon.
    pub fn quiet(&mut self) {
        self.commits.clear();
        for n in 0..CONTROLLERS {
            if self.controllers[n].up {
                self.pause(n, false);
            } else {
                self.restart(n, true);
            }
        }
        for _ in 0..80 {
            self.wait(100);
            for n in 0..CONTROLLERS {
                self.read(n);
                self.tick(n);
                while !self.letters.is_empty() {
                    self.deliver(0, false);
                }
                while !self.commits.is_empty() {
                    self.carry_out(0);
                }
                self.call_cloud(n);
            }
        }
        let leading = self.controllers.iter().filter(|c| c.is_leader).count();
        if leading != 1 {
            self.fail(format!("{leading} controllers lead after quiet"));
        }
    }
}
