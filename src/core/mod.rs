//! The state machine: takes inputs, returns what to send, write and answer.
//!
//! Every decision that a rule depends on is a compare-and-set commit at the state
//! service before anyone is told or any command is sent. Leases only decide who
//! should act; they are never what makes a wrong act harmless.

mod autoscaler;
pub mod blocks;
pub mod budget;
mod election;
mod front;
pub mod health;
pub mod jobs;
mod placement;
pub mod records;
mod workers;

use crate::ids::*;
use crate::peer::Hello;
use crate::settings::Settings;
use crate::wire::*;
use blocks::Holder;
use budget::{Bucket, Priority};
use jobs::{Cache, Event};
use records::*;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// A call to the state service or the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

#[derive(Debug)]
pub enum Ask {
    Submit(Result<(JobId, JobRec), BadBody>),
    Poll(JobId),
    Withdraw(JobId),
    Up,
    Report(Report),
}

#[derive(Debug)]
pub enum Input {
    Ask(ReqId, Ask),
    /// Whoever asked has gone.
    Hangup(ReqId),
    State(CallId, StateReply),
    Cloud(CallId, CloudReply),
    Peer(Hello),
    /// Time has passed.
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<u32>,
}

impl Reply {
    pub fn ok(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after: None,
        }
    }

    /// A refusal that says when to come back.
    pub fn later(status: u16, seconds: u32, why: &str) -> Self {
        Self {
            status,
            body: error_body(why),
            retry_after: Some(seconds),
        }
    }
}

#[derive(Debug)]
pub enum Output {
    Answer(ReqId, Reply),
    State(CallId, StateOp),
    /// Nobody waits for this call any more; its connection is closed.
    Forget(CallId),
    Cloud(CallId, CloudOp),
    /// To every sibling.
    Peer(Hello),
}

/// What a call to the state service is for.
#[derive(Debug)]
pub(crate) enum Purpose {
    List,
    Follow,
    Fresh,
    Grant,
    Elect,
    Extend,
    Submit(Vec<front::Submission>),
    Withdraw(front::Question),
    ReadEnd(front::Question),
    Flush(Vec<blocks::FlushItem>),
    Reread(JobId, u32),
    Finish(JobId),
    Cleanup(Vec<(JobId, u32)>),
    Plan,
}

pub(crate) struct Call {
    purpose: Purpose,
    sent: Time,
}

/// How often work that nothing else triggers is looked at.
const CHORES_MS: u64 = 100;
/// Shortest pause between two reads of the present revision.
const FRESH_GAP_S: f64 = 0.06;
/// A controller reads the present revision at least this often.
const FRESH_EVERY_S: f64 = 1.0;
/// A controller without a fresh read for this long starts nothing and takes nothing.
const BLIND_S: f64 = 2.5;
/// A follow that hasn't brought a revision known to exist for this long hangs.
const FOLLOW_STUCK_S: f64 = 1.5;
/// A controller has heard workers lately if one reported within this time.
const HEARD_S: f64 = 3.0;
/// Margin for the time a message takes and for late timers.
const MARGIN_S: f64 = 2.0;
/// Steady clocks drift apart by at most this share.
const DRIFT: f64 = 0.001;
/// Pause before a refused or failed list or follow is tried again.
const RETRY_S: f64 = 0.3;

/// Whether the state service's content is known here.
enum Sync {
    Idle {
        retry_at: Time,
    },
    Listing {
        first: Option<u64>,
        entries: Vec<Change>,
    },
    Following {
        call: CallId,
    },
    Paused {
        retry_at: Time,
    },
}

pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) boot: u64,
    pub(crate) now: Time,
    out: Vec<Output>,
    next_call: u64,
    calls: HashMap<CallId, Call>,
    cloud_calls: HashMap<CallId, autoscaler::CloudPurpose>,
    requests: Bucket,
    changes: Bucket,
    cloud_budget: Bucket,
    pub(crate) cache: Cache,
    sync: Sync,
    listed: bool,
    /// When the latest read was sent whose revision is known here: whatever stood
    /// at the state service then is known.
    fresh_at: Time,
    fresh_sent: Option<Time>,
    fresh_last: Time,
    /// Reads that were answered, while the follow hasn't come as far yet.
    fresh_waiting: VecDeque<(Time, u64, Time)>,
    heard_at: Time,
    front: front::Front,
    election: election::Election,
    pub(crate) holder: Option<Holder>,
    pub(crate) catalog: Vec<ClassInfo>,
    catalog_retry: Time,
    siblings: BTreeMap<Member, (Hello, Time)>,
    hello_at: Time,
    /// When a worker last reported here.
    worker_heard: Time,
    chores_at: Time,
}

impl Core {
    /// `boot` tells this process from earlier ones of the same controller.
    pub fn new(settings: Settings, boot: u64) -> Self {
        let f = &settings.platform.facts;
        let share = settings.tuning.budget_share;
        let cloud = f.cloud.rps * share;
        let cloud_budget = Bucket::new(cloud, cloud * 1.5);
        let mut core = Self {
            requests: Bucket::new(1.0, 1.0),
            changes: Bucket::new(1.0, 1.0),
            cloud_budget,
            settings,
            boot,
            now: Time(0),
            out: Vec::new(),
            next_call: 0,
            calls: HashMap::new(),
            cloud_calls: HashMap::new(),
            cache: Cache::default(),
            sync: Sync::Idle { retry_at: Time(0) },
            listed: false,
            fresh_at: Time(0),
            fresh_sent: None,
            fresh_last: Time(0),
            fresh_waiting: VecDeque::new(),
            heard_at: Time(0),
            front: front::Front::default(),
            election: election::Election::default(),
            holder: None,
            catalog: Vec::new(),
            catalog_retry: Time(0),
            siblings: BTreeMap::new(),
            hello_at: Time(0),
            worker_heard: Time(0),
            chores_at: Time(0),
        };
        core.share_budgets();
        core
    }

    /// Takes one input; `now` never goes back.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Ask(req, ask) => self.on_ask(req, ask),
            Input::Hangup(req) => self.on_hangup(req),
            Input::State(call, reply) => self.on_state(call, reply),
            Input::Cloud(call, reply) => self.on_cloud(call, reply),
            Input::Peer(hello) => self.on_hello(hello),
            Input::Tick => {}
        }
        if self.now >= self.chores_at {
            self.chores_at = Time(self.now.0 + CHORES_MS);
            self.chores();
        }
        self.release_reports();
        self.pump();
        std::mem::take(&mut self.out)
    }

    /// When `step` wants to be called again at the latest.
    pub fn wake_at(&self) -> Time {
        let held = self.holder.as_ref().and_then(Holder::first_release);
        held.map_or(self.chores_at, |t| t.min(self.chores_at))
    }

    /// Whether this controller holds a block, for the log and for tests.
    pub fn holds(&self) -> Option<Number> {
        self.holder.as_ref().map(|h| h.number)
    }

    fn chores(&mut self) {
        self.sync_chores();
        self.front_chores();
        self.election_chores();
        self.holder_chores();
        self.cloud_chores();
        if self.now >= self.hello_at {
            self.hello_at = self.now.after(1.0);
            self.say_hello();
        }
    }

    fn pump(&mut self) {
        self.place();
        self.pump_flush();
        self.pump_front();
        self.pump_fresh();
    }

    // ---- calls to the state service

    /// Splits the limits that all controllers use together: the holder places for
    /// all and gets more; the others share the rest.
    pub(crate) fn share_budgets(&mut self) {
        let f = &self.settings.platform.facts;
        let (t, others) = (&self.settings.tuning, f.count.saturating_sub(1));
        let part = match (others, self.holder.is_some()) {
            (0, _) => 1.0,
            (_, true) => t.budget_holder,
            (n, false) => (1.0 - t.budget_holder) / f64::from(n),
        };
        let part = part * t.budget_share;
        let (rps, wps) = (f.state.rps * part, f.state.write_rps * part);
        self.requests.set(self.now, rps, rps);
        self.changes.set(self.now, wps, wps);
    }

    fn write_cost(op: &StateOp) -> f64 {
        match op {
            StateOp::Commit { writes, .. } => writes.len() as f64,
            _ => 0.0,
        }
    }

    /// Sends a call if the budget allows; hands the purpose back if it doesn't.
    pub(crate) fn state_call(
        &mut self,
        op: StateOp,
        purpose: Purpose,
        priority: Priority,
    ) -> Result<CallId, Purpose> {
        let cost = Self::write_cost(&op);
        if !self.requests.has(self.now, 1.0, priority)
            || (cost > 0.0 && !self.changes.has(self.now, cost, priority))
        {
            return Err(purpose);
        }
        self.requests.take(1.0);
        self.changes.take(cost);
        let id = self.call_id();
        let sent = self.now;
        self.calls.insert(id, Call { purpose, sent });
        self.out.push(Output::State(id, op));
        Ok(id)
    }

    pub(crate) fn call_id(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    pub(crate) fn answer(&mut self, req: ReqId, reply: Reply) {
        self.out.push(Output::Answer(req, reply));
    }

    fn on_state(&mut self, id: CallId, reply: StateReply) {
        let Some(Call { purpose, sent }) = self.calls.remove(&id) else {
            return;
        };
        match &reply {
            StateReply::Refused | StateReply::NoAnswer | StateReply::Strange => {}
            _ => self.heard_at = self.now,
        }
        match &reply {
            StateReply::Missing { ledger } | StateReply::Committed { ledger } => {
                self.fresh_waiting.push_back((sent, *ledger, self.now));
            }
            _ => {}
        }
        match purpose {
            Purpose::List => self.on_list(reply),
            Purpose::Follow => self.on_follow(reply),
            Purpose::Fresh => self.on_fresh(&reply),
            Purpose::Grant => self.on_grant(reply, sent),
            Purpose::Elect => self.on_elected(reply),
            Purpose::Extend => self.on_extended(reply, sent),
            Purpose::Submit(list) => self.on_submitted(list, reply),
            Purpose::Withdraw(q) => self.on_withdrawn(q, reply),
            Purpose::ReadEnd(q) => self.on_end_read(q, reply),
            Purpose::Flush(items) => self.on_flushed(items, reply),
            Purpose::Reread(job, chunk) => self.on_reread(job, chunk, reply),
            Purpose::Finish(job) => self.on_finished(job, reply),
            Purpose::Cleanup(list) => self.on_cleaned(list, reply),
            Purpose::Plan => self.on_planned(reply),
        }
        self.catch_up();
    }

    // ---- following

    fn sync_chores(&mut self) {
        match self.sync {
            Sync::Idle { retry_at } if self.now >= retry_at => {
                self.sync = Sync::Listing {
                    first: None,
                    entries: Vec::new(),
                };
                self.list_from(LIST_AFTER.into());
            }
            Sync::Paused { retry_at } if self.now >= retry_at => self.follow(),
            Sync::Following { call } => {
                // A cut can leave the follow's connection open and dead: a revision
                // that is known to exist doesn't come through it.
                let stuck = self
                    .fresh_waiting
                    .front()
                    .is_some_and(|(_, _, at)| self.now.since(*at) > FOLLOW_STUCK_S);
                if stuck {
                    self.calls.remove(&call);
                    self.out.push(Output::Forget(call));
                    self.fresh_waiting.clear();
                    self.follow();
                }
            }
            _ => {}
        }
    }

    fn list_from(&mut self, after: String) {
        let op = StateOp::List { after };
        if self.state_call(op, Purpose::List, Priority::First).is_err() {
            self.sync = Sync::Idle {
                retry_at: self.now.after(RETRY_S),
            };
        }
    }

    fn on_list(&mut self, reply: StateReply) {
        let StateReply::Page {
            entries: page,
            last,
            more,
            ledger,
        } = reply
        else {
            self.sync = Sync::Idle {
                retry_at: self.now.after(RETRY_S),
            };
            return;
        };
        let Sync::Listing { first, entries } = &mut self.sync else {
            return;
        };
        // Later pages may show later changes; the follow starts at the first
        // page's revision and brings what the pages missed.
        let began = *first.get_or_insert(ledger);
        entries.extend(page);
        if let (true, Some(last)) = (more, last) {
            self.list_from(last);
            return;
        }
        let entries = std::mem::take(entries);
        let events = self.cache.replace(self.now, began, entries);
        self.listed = true;
        self.follow();
        self.on_events(events);
    }

    fn follow(&mut self) {
        let op = StateOp::Follow {
            after: self.cache.ledger,
        };
        self.sync = match self.state_call(op, Purpose::Follow, Priority::First) {
            Ok(call) => Sync::Following { call },
            Err(_) => Sync::Paused {
                retry_at: self.now.after(RETRY_S),
            },
        };
    }

    fn on_follow(&mut self, reply: StateReply) {
        match reply {
            StateReply::News { ledger, news } => {
                let now = self.now;
                let events: Vec<Event> = news
                    .into_iter()
                    .filter_map(|change| self.cache.apply(now, change))
                    .collect();
                self.cache.ledger = self.cache.ledger.max(ledger);
                self.follow();
                self.on_events(events);
            }
            StateReply::TooOld => {
                // What was missed can't be told apart from what never was.
                self.step_down("the follow fell behind");
                self.listed = false;
                self.sync = Sync::Idle { retry_at: self.now };
            }
            _ => {
                self.sync = Sync::Paused {
                    retry_at: self.now.after(RETRY_S),
                }
            }
        }
    }

    fn on_events(&mut self, events: Vec<Event>) {
        let mut control = false;
        for event in events {
            match event {
                Event::Job(id) => self.holder_job(&id),
                Event::JobGone(id) => self.holder_job_gone(&id),
                Event::Control => control = true,
            }
        }
        if control {
            self.on_control();
        }
    }

    // ---- freshness

    /// Asks for the present revision when somebody waits for it, or when it was
    /// last read too long ago.
    fn pump_fresh(&mut self) {
        if self.fresh_sent.is_some() || !self.listed {
            return;
        }
        let since = self.now.since(self.fresh_last);
        let asked = self
            .front
            .newest_question()
            .is_some_and(|t| t > self.fresh_last);
        if since < FRESH_GAP_S || !(asked || since >= FRESH_EVERY_S) {
            return;
        }
        if self
            .state_call(StateOp::Fresh, Purpose::Fresh, Priority::First)
            .is_ok()
        {
            self.fresh_sent = Some(self.now);
            self.fresh_last = self.now;
        }
    }

    fn on_fresh(&mut self, reply: &StateReply) {
        self.fresh_sent = None;
        if !matches!(reply, StateReply::Missing { .. }) {
            self.fresh_last = self.now.after(RETRY_S);
        }
    }

    fn catch_up(&mut self) {
        let ledger = self.cache.ledger;
        let fresh = &mut self.fresh_at;
        self.fresh_waiting.retain(|(sent, at, _)| {
            if *at <= ledger {
                *fresh = (*fresh).max(*sent);
            }
            *at > ledger
        });
        self.answer_questions();
    }

    /// Seconds since this controller last knew all that stood at the state service.
    pub(crate) fn blind_s(&self) -> f64 {
        self.now.since(self.fresh_at)
    }

    /// Whether it can't know what the state service holds now.
    pub(crate) fn blind(&self) -> bool {
        !self.listed || self.blind_s() > BLIND_S
    }

    // ---- siblings

    fn say_hello(&mut self) {
        let leader = match (&self.holder, &self.cache.leader.rec) {
            (Some(_), _) => Some(self.settings.platform.member.clone()),
            (None, rec) => rec.as_ref().map(|l| l.member.clone()),
        };
        let number = match &self.holder {
            Some(h) => h.number,
            None => self.cache.highest(),
        };
        let hello = Hello {
            from: self.settings.platform.member.clone(),
            number,
            leader,
            sighted: !self.blind(),
            heard: self.now.since(self.worker_heard) < HEARD_S,
        };
        self.out.push(Output::Peer(hello));
    }

    fn on_hello(&mut self, hello: Hello) {
        let known = |s: &crate::settings::Sibling| s.member == hello.from;
        if !self.settings.platform.siblings.iter().any(known) {
            return;
        }
        // Cut off from the state service, a holder learns here that it has been
        // replaced, and stops answering for its workers.
        if self
            .holder
            .as_ref()
            .is_some_and(|h| hello.number > h.number)
        {
            self.step_down("a sibling knows a higher number");
        }
        let at = self.now;
        self.siblings.insert(hello.from.clone(), (hello, at));
    }

    /// Who leads, as far as can be told: by the state service or, when this
    /// controller is blind, by what siblings said lately.
    pub(crate) fn known_leader(&self) -> Option<Member> {
        let me = &self.settings.platform.member;
        let said = self.lately().filter(|h| h.sighted).max_by_key(|h| h.number);
        let own = self.cache.leader.rec.as_ref().map(|l| l.member.clone());
        let leader = match said {
            Some(h) if self.blind() || h.number > self.cache.highest() => h.leader.clone(),
            _ => own,
        };
        leader.filter(|l| l != me)
    }

    /// Whether a sibling says that it sees the state service.
    pub(crate) fn sibling_sighted(&self) -> bool {
        self.lately().any(|h| h.sighted)
    }

    /// Whether workers report to a sibling that could lead.
    pub(crate) fn sibling_hears(&self) -> bool {
        self.lately().any(|h| h.sighted && h.heard)
    }

    fn lately(&self) -> impl Iterator<Item = &Hello> {
        let recent = |at: &Time| self.now.since(*at) < HEARD_S;
        let all = self.siblings.values();
        all.filter(move |(_, at)| recent(at)).map(|(h, _)| h)
    }
}
