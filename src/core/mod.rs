//! The state machine: takes inputs, returns what to send, write and answer.
//!
//! Every decision that a rule depends on is a compare-and-set commit at the state
//! service before anyone is told or any command is sent. Leases only decide who
//! should act; they are never what makes a wrong act harmless.

mod autoscaler;
mod blocks;
pub mod budget;
mod election;
pub mod failures;
pub mod fleet;
mod front;
pub mod holder;
pub mod jobs;
mod placement;
pub mod records;
mod relay;
mod workers;

use crate::ids::*;
use crate::peer::{BlockCounts, Hello, Message};
use crate::settings::Settings;
use crate::wire::*;
use blocks::Lead;
use budget::{Bucket, Priority};
use holder::Holder;
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
pub enum Request {
    Submit(Result<(JobId, JobRec), BadBody>),
    Poll(JobId),
    Withdraw(JobId),
    Up,
    Report(Report),
}

#[derive(Debug)]
pub enum Input {
    Request(ReqId, Request),
    /// Whoever asked has gone.
    Disconnect(ReqId),
    State(CallId, StateReply),
    Cloud(CallId, CloudReply),
    Peer(Message),
    /// What became of this controller's own connection to a sibling.
    Link(Member, Link),
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

/// A connection to a sibling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Up,
    Lost,
    Refused,
}

#[derive(Debug)]
pub enum Output {
    Answer(ReqId, Reply),
    State(CallId, StateOp),
    /// Nobody waits for this call any more; its connection is closed.
    Forget(CallId),
    Cloud(CallId, CloudOp),
    /// To one sibling, or to all.
    Peer(Option<Member>, Message),
}

/// What this controller has used of its shares of the limits, in all, and what of it
/// waits to be written.
#[derive(Clone, Debug, Default)]
pub struct Load {
    pub requests: f64,
    pub requests_rate: f64,
    pub changes: f64,
    pub changes_rate: f64,
    pub cloud: f64,
    pub cloud_rate: f64,
    pub queued: usize,
    /// Machines looked at to place tasks, and tasks placed.
    pub looked: u64,
    pub placed: u64,
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
    Flush(Vec<holder::FlushItem>),
    Reread(JobId, u32),
    Finish(JobId),
    Cleanup(Vec<(JobId, u32)>),
    Plan,
    Lease,
    Release,
}

pub(crate) struct Call {
    purpose: Purpose,
    sent: Time,
    /// The block in hand when it was sent: its answer means nothing to another
    /// holding of that block.
    tenure: Tenure,
}

/// A read whose answer named a revision.
struct FreshRead {
    call: CallId,
    sent: Time,
    revision: u64,
    answered: Time,
}

/// One holding of one block.
pub(crate) type Tenure = Option<(u32, Number)>;

/// How often work that nothing else triggers is looked at.
const HOUSEKEEPING_MS: u64 = 100;
/// Shortest pause between two reads of the present revision, and the share of its requests
/// that a controller reads it with for users who ask. With that and the follow's share, some
/// are left for submissions and cancellations however often users ask.
const FRESH_GAP_S: f64 = 0.06;
const QUESTION_SHARE: f64 = 0.35;
/// A controller reads the present revision at least this often.
const FRESH_EVERY_S: f64 = 1.0;
/// A controller without a fresh read for this long starts nothing and takes nothing.
const BLIND_S: f64 = 2.5;
/// A follow that hasn't brought a revision known to exist for this long hangs.
const FOLLOW_STUCK_S: f64 = 1.5;
/// A controller has heard workers lately if one reported within this time.
const HEARD_S: f64 = 3.0;
/// Siblings say hello every second; one that has missed two is taken to be down.
const HEARTBEAT_LOST_S: f64 = 2.2;
/// Margin for the time a message takes and for late timers.
const MARGIN_S: f64 = 2.0;
/// Steady clocks drift apart by at most this share.
const DRIFT: f64 = 0.001;
/// Most overdue machines named in one message. With more of them silent, cancellations
/// merely wait for their full time.
const OVERDUE_MAX: usize = 256;
/// Share of its requests that a controller which places nothing follows with.
const FOLLOW_SHARE: f64 = 0.4;
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
    cloud_calls: HashMap<CallId, (autoscaler::CloudPurpose, Tenure)>,
    requests: Bucket,
    changes: Bucket,
    cloud_budget: Bucket,
    pub(crate) cache: Cache,
    sync: Sync,
    listed: bool,
    /// When the latest read was sent whose revision is known here: whatever stood
    /// at the state service then is known.
    fresh_at: Time,
    /// When the latest read or follow was sent whose changes are known here.
    known_at: Time,
    /// The latest such read itself.
    fresh_call: CallId,
    fresh_sent: Option<Time>,
    fresh_last: Time,
    /// The latest read that was sent to learn the present revision.
    fresh_asked: CallId,
    /// Reads that were answered, while the follow hasn't come as far yet.
    fresh_waiting: VecDeque<FreshRead>,
    heard_at: Time,
    front: front::Front,
    election: election::Election,
    /// The block in hand; see `in_block`.
    pub(crate) holder: Option<Holder>,
    /// The blocks that this controller holds, but for the one in hand.
    parked: BTreeMap<u32, Holder>,
    /// The number under which each block was last held and given up.
    spent: BTreeMap<u32, Number>,
    pub(crate) lead: Option<Lead>,
    pub(crate) catalog: Vec<ClassInfo>,
    catalog_retry: Time,
    siblings: BTreeMap<Member, (Hello, Time)>,
    hello_at: Time,
    relays: relay::Relays,
    counts_at: Time,
    listing: bool,
    list_at: Time,
    /// The revision of the plan that was carried out here.
    plan_seen: u64,
    /// When a worker last reported here.
    worker_heard: Time,
    housekeeping_at: Time,
    /// Machines looked at to place tasks, in all, and tasks placed.
    pub(crate) looked: u64,
    pub(crate) placed: u64,
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
            known_at: Time(0),
            fresh_call: CallId(0),
            fresh_sent: None,
            fresh_last: Time(0),
            fresh_asked: CallId(0),
            fresh_waiting: VecDeque::new(),
            heard_at: Time(0),
            front: front::Front::default(),
            election: election::Election::default(),
            holder: None,
            parked: BTreeMap::new(),
            spent: BTreeMap::new(),
            lead: None,
            catalog: Vec::new(),
            catalog_retry: Time(0),
            siblings: BTreeMap::new(),
            hello_at: Time(0),
            relays: relay::Relays::default(),
            counts_at: Time(0),
            listing: false,
            list_at: Time(0),
            plan_seen: 0,
            worker_heard: Time(0),
            housekeeping_at: Time(0),
            looked: 0,
            placed: 0,
        };
        core.share_budgets();
        core
    }

    /// Takes one input; `now` never goes back.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.note_start();
        match input {
            Input::Request(req, ask) => self.on_request(req, ask),
            Input::Disconnect(req) => self.on_disconnect(req),
            Input::State(call, reply) => self.on_state(call, reply),
            Input::Cloud(call, reply) => self.on_cloud(call, reply),
            Input::Peer(Message::Hello(hello)) => self.on_hello(hello),
            Input::Peer(Message::BlockCounts(block_counts)) => self.on_block_counts(*block_counts),
            Input::Peer(Message::RelayedReport(relayed)) => self.on_relayed_report(*relayed),
            Input::Peer(Message::RelayedAnswer(answer)) => self.on_relayed_answer(answer),
            Input::Link(member, link) => self.on_link(member, link),
            Input::Tick => {}
        }
        if self.now >= self.housekeeping_at {
            self.housekeeping_at = Time(self.now.0 + HOUSEKEEPING_MS);
            self.housekeeping();
        }
        self.each_block(Self::release_reports);
        self.tell_endings();
        self.pump();
        std::mem::take(&mut self.out)
    }

    /// When `step` wants to be called again at the latest.
    pub fn wake_at(&self) -> Time {
        let held = self.parked.values().filter_map(Holder::first_release);
        let due = held.chain(self.front.first_telling()).min();
        due.map_or(self.housekeeping_at, |t| t.min(self.housekeeping_at))
    }

    /// The highest number under which this controller holds a block.
    pub fn holds(&self) -> Option<Number> {
        self.parked.values().map(|h| h.number).max()
    }

    pub fn load(&self) -> Load {
        let written = |h: &Holder| h.to_flush.len() + h.to_finish.len();
        Load {
            requests: self.requests.spent(),
            requests_rate: self.requests.rate(),
            changes: self.changes.spent(),
            changes_rate: self.changes.rate(),
            cloud: self.cloud_budget.spent(),
            cloud_rate: self.cloud_budget.rate(),
            queued: self.front.backlog() + self.parked.values().map(written).sum::<usize>(),
            looked: self.looked,
            placed: self.placed,
        }
    }

    /// Recounts what is kept up to date from change to change; says what is wrong.
    pub fn audit(&self) -> Result<(), String> {
        self.parked.values().try_for_each(Holder::audit)
    }

    /// Whether this controller leads.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// Does something with one block in hand, if this controller holds it.
    pub(crate) fn in_block(&mut self, block: u32, act: impl FnOnce(&mut Self)) {
        let before = self.holder.take();
        let outer = before.as_ref().map(|h| h.block);
        if let Some(h) = before {
            self.parked.insert(h.block, h);
        }
        self.holder = self.parked.remove(&block);
        if self.holder.is_some() {
            act(self);
        }
        if let Some(h) = self.holder.take() {
            self.parked.insert(h.block, h);
        }
        self.holder = outer.and_then(|b| self.parked.remove(&b));
    }

    pub(crate) fn each_block(&mut self, act: fn(&mut Self)) {
        let blocks: Vec<u32> = self.parked.keys().copied().collect();
        for block in blocks {
            self.in_block(block, act);
        }
    }

    fn housekeeping(&mut self) {
        self.sync_housekeeping();
        self.front_housekeeping();
        self.election_housekeeping();
        self.relay_housekeeping();
        self.each_block(Self::holder_housekeeping);
        self.catalog_housekeeping();
        self.lead_housekeeping();
        if self.now >= self.hello_at {
            self.hello_at = self.now.after(1.0);
            self.say_hello();
        }
    }

    fn pump(&mut self) {
        self.each_block(Self::place);
        self.each_block(Self::pump_flush);
        self.pump_front();
        self.pump_fresh();
    }

    // ---- calls to the state service

    /// Splits the limits that all controllers use together. A single block's holder
    /// places for all and gets more, the others share the rest; with several blocks
    /// the shares are even.
    pub(crate) fn share_budgets(&mut self) {
        let f = &self.settings.platform.facts;
        let (t, others) = (&self.settings.tuning, f.count.saturating_sub(1));
        let single = self.cache.blocks.len() <= 1;
        let part = match (others, self.parked.is_empty()) {
            (0, _) => 1.0,
            (n, _) if !single => 1.0 / f64::from(n + 1),
            (_, false) => t.budget_holder,
            (n, true) => (1.0 - t.budget_holder) / f64::from(n),
        };
        let part = part * t.budget_share;
        let (rps, wps) = (f.state.rps * part, f.state.write_rps * part);
        // Those who don't lead ask the cloud for its catalogue and delete machines.
        let cloud = f.cloud.rps * t.budget_share;
        let cloud = match (others, single, self.lead.is_some()) {
            (0, _, _) | (_, true, _) => cloud,
            (_, _, true) => cloud * 0.6,
            (n, _, false) => cloud * 0.4 / f64::from(n),
        };
        self.requests.set(self.now, rps, rps);
        self.changes.set(self.now, wps, wps);
        self.cloud_budget.set(self.now, cloud, cloud * 1.5);
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
        let tenure = self.tenure();
        let call = Call {
            purpose,
            sent,
            tenure,
        };
        self.calls.insert(id, call);
        self.out.push(Output::State(id, op));
        Ok(id)
    }

    pub(crate) fn tenure(&self) -> Tenure {
        self.holder.as_ref().map(|h| (h.block, h.number))
    }

    pub(crate) fn call_id(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    pub(crate) fn last_call(&self) -> CallId {
        CallId(self.next_call)
    }

    fn on_state(&mut self, id: CallId, reply: StateReply) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let Call {
            purpose,
            sent,
            tenure,
        } = call;
        match &reply {
            StateReply::Refused | StateReply::NoAnswer | StateReply::Strange => {}
            _ => self.heard_at = self.now,
        }
        match &reply {
            StateReply::Missing { revision } | StateReply::Committed { revision } => {
                self.fresh_waiting.push_back(FreshRead {
                    call: id,
                    sent,
                    revision: *revision,
                    answered: self.now,
                });
            }
            _ => {}
        }
        match purpose {
            Purpose::List => self.on_list(reply),
            Purpose::Follow => self.on_follow(reply, sent),
            Purpose::Fresh => self.on_fresh(&reply),
            Purpose::Grant => self.on_grant(reply, sent),
            Purpose::Elect => self.on_elected(reply),
            Purpose::Extend => self.on_extended(reply, sent),
            Purpose::Submit(list) => self.on_submitted(list, reply, sent),
            Purpose::Withdraw(q) => self.on_withdrawn(q, reply),
            Purpose::ReadEnd(q) => self.on_end_read(q, reply),
            Purpose::Plan => self.on_planned(reply),
            Purpose::Lease => self.on_leased(reply),
            Purpose::Release => {}
            of_block => self.on_block_reply(of_block, tenure, reply),
        }
        self.catch_up();
    }

    fn on_block_reply(&mut self, purpose: Purpose, tenure: Tenure, reply: StateReply) {
        let Some((block, number)) = tenure else {
            return;
        };
        self.in_block(block, |core| {
            if core.tenure() != Some((block, number)) {
                return;
            }
            match purpose {
                Purpose::Flush(items) => core.on_flushed(items, reply),
                Purpose::Reread(job, chunk) => core.on_reread(job, chunk, reply),
                Purpose::Finish(job) => core.on_finished(job, reply),
                Purpose::Cleanup(list) => core.on_cleaned(list, reply),
                _ => {}
            }
        });
    }

    // ---- following

    fn sync_housekeeping(&mut self) {
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
                    .is_some_and(|r| self.now.since(r.answered) > FOLLOW_STUCK_S);
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
            revision,
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
        let began = *first.get_or_insert(revision);
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
            after: self.cache.revision,
        };
        self.sync = match self.state_call(op, Purpose::Follow, Priority::First) {
            Ok(call) => Sync::Following { call },
            Err(_) => Sync::Paused {
                retry_at: self.now.after(RETRY_S),
            },
        };
    }

    /// Goes on following: at once where tasks are placed. The others let changes gather,
    /// so that opening the follow again for each of them doesn't use up their requests:
    /// with five controllers that kept submissions waiting for a second.
    fn follow_on(&mut self) {
        if !self.parked.is_empty() || self.lead.is_some() {
            return self.follow();
        }
        let gap_s = 1.0 / (self.requests.rate() * FOLLOW_SHARE).max(1.0);
        self.sync = Sync::Paused {
            retry_at: self.now.after(gap_s),
        };
    }

    fn on_follow(&mut self, reply: StateReply, sent: Time) {
        match reply {
            StateReply::News { revision, news } => {
                let now = self.now;
                self.known_at = self.known_at.max(sent);
                let events: Vec<Event> = news
                    .into_iter()
                    .filter_map(|change| self.cache.apply(now, change))
                    .collect();
                self.cache.revision = self.cache.revision.max(revision);
                self.follow_on();
                self.on_events(events);
            }
            StateReply::TooOld => {
                // What was missed can't be told apart from what never was.
                self.give_up("the follow fell behind");
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
                Event::Job(id) => {
                    let block = self.cache.jobs.get(&id).map(|j| j.rec.block);
                    self.in_block(block.unwrap_or(0), |core| core.holder_job(&id));
                }
                Event::JobGone(id) => {
                    let mut holders = self.parked.values();
                    let holder = holders.find(|h| h.jobs.contains_key(&id));
                    if let Some(block) = holder.map(|h| h.block) {
                        self.in_block(block, |core| core.holder_job_gone(&id));
                    }
                }
                Event::Control => control = true,
            }
        }
        if control {
            self.on_control();
        }
        self.answer_leaving();
    }

    // ---- freshness

    /// Asks for the present revision when somebody waits for it, or when it was
    /// last read too long ago.
    fn pump_fresh(&mut self) {
        if self.fresh_sent.is_some() || !self.listed {
            return;
        }
        let since = self.now.since(self.fresh_last);
        let news = |after: Option<CallId>| after.is_some_and(|after| after >= self.fresh_asked);
        let asked = news(self.front.newest_question());
        let urgent = news(self.front.newest_urgent()) && since >= FRESH_GAP_S;
        let gap_s = 1.0 / (self.requests.rate() * QUESTION_SHARE).max(1.0);
        let due = urgent || since >= FRESH_EVERY_S;
        let wanted = asked && since >= gap_s.max(FRESH_GAP_S);
        if !(due || wanted) {
            return;
        }
        // What it has to know to act, to cancel and to accept goes first, what users merely
        // ask behind that.
        let priority = if due {
            Priority::First
        } else {
            Priority::Usual
        };
        if let Ok(call) = self.state_call(StateOp::Fresh, Purpose::Fresh, priority) {
            self.fresh_sent = Some(self.now);
            self.fresh_last = self.now;
            self.fresh_asked = call;
        }
    }

    fn on_fresh(&mut self, reply: &StateReply) {
        self.fresh_sent = None;
        if !matches!(reply, StateReply::Missing { .. }) {
            self.fresh_last = self.now.after(RETRY_S);
        }
    }

    fn catch_up(&mut self) {
        let revision = self.cache.revision;
        let (fresh, call) = (&mut self.fresh_at, &mut self.fresh_call);
        let known = &mut self.known_at;
        self.fresh_waiting.retain(|r| {
            if r.revision <= revision {
                *fresh = (*fresh).max(r.sent);
                *known = (*known).max(r.sent);
                *call = (*call).max(r.call);
            }
            r.revision > revision
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
        let blocks = self.cache.blocks.iter().filter_map(|(k, b)| {
            let rec = b.rec.as_ref()?;
            Some((*k, rec.number, rec.holder.clone()))
        });
        let hello = Hello {
            from: self.settings.platform.member.clone(),
            boot: self.boot,
            leader: self.cache.leader.rec.as_ref().map(|l| l.member.clone()),
            blocks: blocks.collect(),
            sighted: !self.blind(),
            blind_ms: (self.blind_s() * 1000.0) as u64,
            heard: self.now.since(self.worker_heard) < HEARD_S,
            deaf: self.parked.values().any(|h| h.deaf(self.now)),
            relays: self.relays(),
            at_ms: self.now.0,
            echoes: self.echoes(),
            sheltered_ms: self.sheltered_ms(),
            overdue: self.overdue(),
        };
        self.out.push(Output::Peer(None, Message::Hello(hello)));
    }

    /// Machines of this controller's blocks that can't be counted on to confirm anything.
    fn overdue(&self) -> Vec<MachineId> {
        let patience = self.settings.overdue_s();
        let held = self.parked.values();
        let late = held.flat_map(|h| h.machines.iter().map(move |(id, m)| (h.since, id, m)));
        let late = late.filter(|(since, _, m)| {
            !m.tasks.is_empty() && m.held.is_none() && self.now.since(m.seen.max(*since)) > patience
        });
        late.map(|(_, id, _)| id.clone())
            .take(OVERDUE_MAX)
            .collect()
    }

    /// Which message of each sibling came last, for `nobody_sheltered` there.
    fn echoes(&self) -> Vec<(Member, u64, u64)> {
        let all = self.siblings.values();
        all.map(|(h, _)| (h.from.clone(), h.boot, h.at_ms))
            .collect()
    }

    pub(crate) fn is_sibling(&self, member: &Member) -> bool {
        let mut siblings = self.settings.platform.siblings.iter();
        siblings.any(|s| s.member == *member)
    }

    fn on_hello(&mut self, hello: Hello) {
        if !self.is_sibling(&hello.from) {
            return;
        }
        // Cut off from the state service, a holder learns here that it has been
        // replaced, and stops answering for its workers.
        for (block, number, _) in &hello.blocks {
            let replaced = self.parked.get(block).is_some_and(|h| *number > h.number);
            if replaced {
                self.in_block(*block, |core| {
                    core.drop_block("a sibling knows a higher number");
                });
            }
        }
        let at = self.now;
        self.siblings.insert(hello.from.clone(), (hello, at));
    }

    /// Who holds the block that a machine belongs to, as far as can be told: by the
    /// state service or, when this controller is blind, by what siblings said lately.
    pub(crate) fn holder_of(&self, machine: &MachineId) -> Option<Member> {
        let recs = self.cache.blocks.iter();
        let mut recs = recs.filter_map(|(k, b)| Some((*k, b.rec.as_ref()?)));
        let found = recs.find(|(_, b)| b.has(machine));
        let me = &self.settings.platform.member;
        let Some((block, rec)) = found else {
            // In no block yet: the leader will see to it.
            let leader = self.cache.leader.rec.as_ref().map(|l| l.member.clone());
            return leader.filter(|l| l != me);
        };
        let said = self.lately().filter(|h| h.sighted);
        let said = said
            .flat_map(|h| &h.blocks)
            .filter(|(k, n, _)| *k == block && *n > rec.number);
        let newest = said
            .max_by_key(|(_, n, _)| *n)
            .map(|(_, _, holder)| holder.clone());
        Some(newest.unwrap_or(rec.holder.clone())).filter(|holder| holder != me)
    }

    /// Whether a sibling has seen the state service for clearly longer than this
    /// controller: the trouble is then here, and not an outage that all share.
    pub(crate) fn singled_out(&self) -> bool {
        let behind = |(h, at): &&(Hello, Time)| {
            let theirs = h.blind_ms as f64 / 1000.0 + self.now.since(*at);
            theirs + BLIND_S < self.blind_s()
        };
        self.siblings.values().any(|s| behind(&s))
    }

    /// Whether workers can be sent to a sibling: it runs and hasn't lost its workers. A
    /// holder that they can't reach says hello all the same, and a worker sent back to
    /// it loses 5 s of its lease. A new holder has none to lose yet.
    pub(crate) fn reachable(&self, member: &Member) -> bool {
        let deaf = self.siblings.get(member).is_some_and(|(h, _)| h.deaf);
        !deaf && self.heartbeat_fresh(member)
    }

    /// Whether a sibling was heard of so lately that it surely runs.
    pub(crate) fn heartbeat_fresh(&self, member: &Member) -> bool {
        let heard = self.siblings.get(member).map(|(_, at)| *at);
        heard.is_some_and(|at| self.now.since(at) < HEARTBEAT_LOST_S)
    }

    /// Whether workers report to a sibling that could lead.
    pub(crate) fn sibling_hears(&self) -> bool {
        self.lately().any(|h| h.sighted && h.heard)
    }

    /// Whether there are siblings and none is heard.
    pub(crate) fn unheard(&self) -> bool {
        !self.settings.platform.siblings.is_empty() && self.lately().next().is_none()
    }

    fn lately(&self) -> impl Iterator<Item = &Hello> {
        let recent = |at: &Time| self.now.since(*at) < HEARD_S;
        let all = self.siblings.values();
        all.filter(move |(_, at)| recent(at)).map(|(h, _)| h)
    }
}
