//! The state machine: takes inputs, returns what to send, write and answer.
//!
//! Every decision that a rule depends on is a compare-and-set commit at the state
//! service before anyone is told or any command is sent. Leases only decide who
//! should act; they are never what makes a wrong act harmless.

pub(crate) mod api;
pub(crate) mod autoscaling;
pub mod dependencies;
pub mod events;
pub(crate) mod forwarding;
pub(crate) mod leadership;
pub mod machines;
pub(crate) mod peers;
pub mod processor;
pub(crate) mod quota;
pub mod rate_limits;
pub(crate) mod scheduling;
pub mod shard;
pub(crate) mod shards;
pub mod store;

use crate::controller::api::{Front, NamingSubmission, Question, Submission};
use crate::controller::autoscaling::CloudPurpose;
use crate::controller::dependencies::resolution::NeedReads;
use crate::controller::events::Input;
use crate::controller::events::Load;
use crate::controller::events::Output;
use crate::controller::events::Queue;
use crate::controller::forwarding::Relays;
use crate::controller::leadership::election::Election;
use crate::controller::leadership::shutdown::{Drain, Release};
use crate::controller::leadership::standby::{HintSender, new_standby};
use crate::controller::processor::ProcessorUse;
use crate::controller::quota::cells::CellSharing;
use crate::controller::quota::team_limits::TeamLimits;
use crate::controller::rate_limits::token_bucket::Bucket;
use crate::controller::rate_limits::write_rate::ChangeMeter;
use crate::controller::shard::Holder;
use crate::controller::shard::commits::FlushItem;
use crate::controller::shards::leases::Lead;
use crate::controller::store::mirror::Cache;
use crate::ids::{CallId, JobId, Member, Number, Time};
use crate::peer::{Hello, Message};
use crate::settings::Settings;
use crate::wire::{Change, ClassInfo, Listed};
use salttrestle_standby::Standby;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What a call to the state service is for.
#[derive(Debug)]
pub(crate) enum Purpose {
    List,
    Follow,
    Fresh,
    Grant,
    Elect,
    Extend,
    Submit(Vec<Submission>),
    Cancel(Question),
    ReadEnd(Question),
    /// The end of a job that a submission names.
    ReadNamed(Box<NamingSubmission>, JobId),
    /// The end of a job that one in the cache needs.
    ReadNeed(JobId),
    Flush(Vec<FlushItem>),
    Reread(JobId, u32),
    Finish(JobId),
    Cleanup(Vec<(JobId, u32)>),
    Plan,
    Lease,
    Release,
    CellChange,
}

pub(crate) struct Call {
    purpose: Purpose,
    sent: Time,
    /// Changes that it makes, if it is carried out.
    changes: f64,
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
/// Reports that are handed on and answers that needn't go out at once wait for a whole multiple
/// of this, so that one turn and one packet carry several of them.
const GATHER_MS: u64 = HOUSEKEEPING_MS / 2;
/// A controller without a fresh read for this long starts nothing and takes nothing.
const BLIND_S: f64 = 2.5;
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
    /// When this process took its first input.
    began: Option<Time>,
    out: Vec<Output>,
    next_call: u64,
    calls: HashMap<CallId, Call>,
    cloud_calls: HashMap<CallId, (CloudPurpose, Tenure)>,
    requests: Bucket,
    changes: Bucket,
    change_meter: ChangeMeter,
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
    need_reads: NeedReads,
    team_limits: TeamLimits,
    cells: CellSharing,
    heard_at: Time,
    front: Front,
    election: Election,
    /// The block in hand; see `in_block`. Boxed, since it changes places several times a step.
    pub(crate) holder: Option<Box<Holder>>,
    /// The blocks that this controller holds, but for the one in hand.
    parked: BTreeMap<u32, Box<Holder>>,
    /// The number under which each block was last held and given up.
    spent: BTreeMap<u32, Number>,
    pub(crate) lead: Option<Lead>,
    standby: Standby,
    /// How busy this process is.
    processor: ProcessorUse,
    /// Whether the log says that the leader is suspected.
    leader_suspected: bool,
    hint_sender: HintSender,
    /// A grant that is to be given up.
    release: Option<Release>,
    drain: Option<Drain>,
    pub(crate) catalog: Vec<ClassInfo>,
    catalog_retry: Time,
    siblings: BTreeMap<Member, (Hello, Time)>,
    hello_at: Time,
    relays: Relays,
    counts_at: Time,
    listing: bool,
    /// The pages of a list of machines of which the next one waits for the budget.
    list_rest: Option<Vec<Listed>>,
    list_at: Time,
    /// The revision of the plan that was carried out here.
    plan_seen: u64,
    /// When a worker last reported here.
    worker_heard: Time,
    housekeeping_at: Time,
    /// Whether the state service has refused a value for its size: the limits that were
    /// announced are in force.
    values_shrunk: bool,
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
        let standby = new_standby(&settings, boot);
        let mut core = Self {
            requests: Bucket::new(1.0, 1.0),
            changes: Bucket::new(1.0, 1.0),
            change_meter: ChangeMeter::default(),
            cloud_budget,
            settings,
            boot,
            now: Time(0),
            began: None,
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
            need_reads: NeedReads::default(),
            team_limits: TeamLimits::default(),
            cells: CellSharing::default(),
            heard_at: Time(0),
            front: Front::default(),
            election: Election::default(),
            holder: None,
            parked: BTreeMap::new(),
            spent: BTreeMap::new(),
            lead: None,
            standby,
            processor: ProcessorUse::default(),
            leader_suspected: false,
            hint_sender: HintSender::default(),
            release: None,
            drain: None,
            catalog: Vec::new(),
            catalog_retry: Time(0),
            siblings: BTreeMap::new(),
            hello_at: Time(0),
            relays: Relays::default(),
            counts_at: Time(0),
            listing: false,
            list_rest: None,
            list_at: Time(0),
            plan_seen: 0,
            worker_heard: Time(0),
            housekeeping_at: Time(0),
            values_shrunk: false,
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
            Input::Peer(Message::Standby(message)) => self.on_standby_message(*message),
            Input::Cell(message) => self.on_cell_message(message),
            Input::Link(member, link) => self.on_link(member, link),
            Input::Busy(share) => self.processor.note(self.now, share),
            Input::Drain => self.on_drain(),
            Input::Tick => {}
        }
        if self.now >= self.housekeeping_at {
            self.housekeeping_at = self.now.next_multiple(HOUSEKEEPING_MS);
            self.housekeeping();
        }
        self.each_block(Self::release_reports);
        self.hand_on_gathered();
        self.tell_endings();
        self.pump();
        std::mem::take(&mut self.out)
    }

    /// When `step` wants to be called again at the latest.
    pub fn wake_at(&self) -> Time {
        let held = self.parked.values().filter_map(|h| h.first_release());
        let due = held.chain(self.front.first_telling());
        let due = due.chain(self.relays.gathered_until()).min();
        due.map_or(self.housekeeping_at, |t| t.min(self.housekeeping_at))
    }

    /// The highest number under which this controller holds a block.
    pub fn holds(&self) -> Option<Number> {
        self.parked.values().map(|h| h.number).max()
    }

    pub fn load(&self) -> Load {
        let holders = self.parked.values();
        let written = holders.map(|h| h.to_flush.len() + h.to_finish.len());
        Load {
            requests: self.requests.spent(),
            requests_rate: self.requests.rate(),
            changes: self.changes.spent(),
            changes_rate: self.changes.rate(),
            cloud: self.cloud_budget.spent(),
            cloud_rate: self.cloud_budget.rate(),
            queued: self.front.backlog() + written.sum::<usize>(),
            looked: self.looked,
            placed: self.placed,
        }
    }

    /// What waits here, if this controller holds a block.
    pub fn queue(&self) -> Option<Queue> {
        if self.parked.is_empty() {
            return None;
        }
        let mut queue = Queue::default();
        for live in self.parked.values().flat_map(|h| h.jobs.values()) {
            let tasks = live.queued() as usize;
            queue.waiting_for_others += usize::from(live.withdrawn.is_none() && !live.released);
            queue.waiting_for_room += usize::from(tasks > 0);
            queue.tasks += tasks;
        }
        Some(queue)
    }

    /// Recounts what is kept up to date from change to change; says what is wrong.
    pub fn audit(&self) -> Result<(), String> {
        self.parked.values().try_for_each(|h| h.audit())
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
        self.standby_housekeeping();
        self.election_housekeeping();
        self.drain_housekeeping();
        self.relay_housekeeping();
        self.each_block(Self::holder_housekeeping);
        self.catalog_housekeeping();
        self.cells_housekeeping();
        self.lead_housekeeping();
        if self.change_meter.advance(self.now) {
            self.share_budgets();
        }
        if self.now >= self.hello_at {
            self.hello_at = self.now.after(1.0);
            self.say_hello();
        }
    }

    fn pump(&mut self) {
        self.on_affected();
        self.each_block(Self::place);
        self.each_block(Self::pump_flush);
        self.pump_need_reads();
        self.pump_front();
        self.pump_fresh();
    }
}
