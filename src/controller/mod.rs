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

use crate::controller::api::{Api, DependentSubmission, StatusQuery, Submission};
use crate::controller::autoscaling::CloudPurpose;
use crate::controller::dependencies::resolution::DependencyReads;
use crate::controller::events::Input;
use crate::controller::events::Load;
use crate::controller::events::Output;
use crate::controller::events::Queue;
use crate::controller::forwarding::Forwarding;
use crate::controller::leadership::election::Election;
use crate::controller::leadership::shutdown::{LeaseRevocation, Shutdown};
use crate::controller::leadership::standby::{HintSender, new_standby};
use crate::controller::processor::ProcessorUtilization;
use crate::controller::quota::cells::CellSharing;
use crate::controller::quota::team_limits::TeamLimits;
use crate::controller::rate_limits::token_bucket::TokenBucket;
use crate::controller::rate_limits::write_rate::WriteRateMeter;
use crate::controller::shard::ShardOwner;
use crate::controller::shard::commits::PlacementWrite;
use crate::controller::shards::leases::Leadership;
use crate::controller::store::mirror::StoreMirror;
use crate::ids::{CallId, ControllerId, FencingToken, JobId, Time};
use crate::peer::{Message, PeerHeartbeat};
use crate::settings::Settings;
use crate::wire::{Change, Listed, MachineType};
use salttrestle_standby::Standby;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What a call to the store is for.
#[derive(Debug)]
pub(crate) enum RequestPurpose {
    List,
    Watch,
    ReadRevision,
    GrantLease,
    Elect,
    RenewLease,
    Submit(Vec<Submission>),
    Cancel(StatusQuery),
    ReadEnd(StatusQuery),
    /// The end of a job that a submission names.
    ReadSubmissionDependency(Box<DependentSubmission>, JobId),
    /// The end of a job that one in the cache needs.
    ReadDependency(JobId),
    WritePlacements(Vec<PlacementWrite>),
    RereadPlacements(JobId, u32),
    WriteEnd(JobId),
    DeletePlacements(Vec<(JobId, u32)>),
    WritePlan,
    UpdateShards,
    RevokeLease,
    CellChange,
}

pub(crate) struct PendingRequest {
    purpose: RequestPurpose,
    sent: Time,
    /// Changes that it makes, if it is carried out.
    changes: f64,
    /// The shard in hand when it was sent: its answer means nothing to another
    /// holding of that shard.
    ownership: ShardOwnership,
}

/// A read whose answer named a revision.
struct RevisionRead {
    call: CallId,
    sent: Time,
    revision: u64,
    answered: Time,
}

/// One holding of one shard.
pub(crate) type ShardOwnership = Option<(u32, FencingToken)>;

/// How often work that nothing else triggers is looked at.
const HOUSEKEEPING_MS: u64 = 100;
/// Heartbeats that are handed on and answers that needn't go out at once wait for a whole multiple
/// of this, so that one turn and one packet carry several of them.
const BATCH_MS: u64 = HOUSEKEEPING_MS / 2;
/// A controller without a fresh read for this long starts nothing and takes nothing.
const STALENESS_BOUND_S: f64 = 2.5;
/// A controller has heard workers lately if one reported within this time.
const RECENT_S: f64 = 3.0;
/// Margin for the time a message takes and for late timers.
const MARGIN_S: f64 = 2.0;
/// Steady clocks drift apart by at most this share.
const CLOCK_DRIFT: f64 = 0.001;
/// Pause before a refused or failed list or follow is tried again.
const RETRY_S: f64 = 0.3;

/// Whether the store's content is known here.
enum WatchState {
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

pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) now: Time,
    /// When this process took its first input.
    began: Option<Time>,
    out: Vec<Output>,
    next_call: u64,
    pending_requests: HashMap<CallId, PendingRequest>,
    cloud_calls: HashMap<CallId, (CloudPurpose, ShardOwnership)>,
    requests: TokenBucket,
    changes: TokenBucket,
    write_rate: WriteRateMeter,
    cloud_rate_limit: TokenBucket,
    pub(crate) mirror: StoreMirror,
    watch: WatchState,
    initial_list_done: bool,
    /// When the latest read was sent whose revision is known here: whatever stood
    /// at the store then is known.
    linearized_at: Time,
    /// When the latest read or follow was sent whose changes are known here.
    changes_known_at: Time,
    /// The latest such read itself.
    linearized_call: CallId,
    revision_read_sent: Option<Time>,
    revision_read_last: Time,
    /// The latest read that was sent to learn the present revision.
    revision_read_call: CallId,
    /// Reads that were answered, while the watch hasn't come as far yet.
    revision_reads: VecDeque<RevisionRead>,
    dependency_reads: DependencyReads,
    team_limits: TeamLimits,
    cells: CellSharing,
    store_heard_at: Time,
    api: Api,
    election: Election,
    /// The shard in hand; see `in_shard`. Boxed, since it changes places several times a step.
    pub(crate) owner: Option<Box<ShardOwner>>,
    /// The shards that this controller holds, but for the one in hand.
    shards: BTreeMap<u32, Box<ShardOwner>>,
    /// The number under which each shard was last held and given up.
    released_tokens: BTreeMap<u32, FencingToken>,
    pub(crate) leadership: Option<Leadership>,
    standby: Standby,
    /// How busy this process is.
    processor: ProcessorUtilization,
    /// Whether the log says that the leader is suspected.
    leader_suspected: bool,
    hint_sender: HintSender,
    /// A lease that is to be given up.
    lease_revocation: Option<LeaseRevocation>,
    shutdown: Option<Shutdown>,
    pub(crate) catalog: Vec<MachineType>,
    catalog_retry: Time,
    peers: BTreeMap<ControllerId, (PeerHeartbeat, Time)>,
    heartbeat_at: Time,
    forwarding: Forwarding,
    counts_at: Time,
    listing: bool,
    /// The pages of a list of machines of which the next one waits for the budget.
    list_pages: Option<Vec<Listed>>,
    list_at: Time,
    /// The revision of the plan that was carried out here.
    plan_seen: u64,
    /// When a worker last reported here.
    last_worker_heartbeat: Time,
    housekeeping_at: Time,
    /// Whether the store has refused a value for its size: the limits that were
    /// announced are in force.
    values_shrunk: bool,
    /// Machines looked at to place tasks, in all, and tasks placed.
    pub(crate) machines_scanned: u64,
    pub(crate) placed: u64,
}

impl Controller {
    /// `incarnation` tells this process from earlier ones of the same controller.
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let f = &settings.platform.facts;
        let share = settings.tuning.budget_share;
        let cloud = f.cloud.rps * share;
        let cloud_rate_limit = TokenBucket::new(cloud, cloud * 1.5);
        let standby = new_standby(&settings, incarnation);
        let mut controller = Self {
            requests: TokenBucket::new(1.0, 1.0),
            changes: TokenBucket::new(1.0, 1.0),
            write_rate: WriteRateMeter::default(),
            cloud_rate_limit,
            settings,
            incarnation,
            now: Time(0),
            began: None,
            out: Vec::new(),
            next_call: 0,
            pending_requests: HashMap::new(),
            cloud_calls: HashMap::new(),
            mirror: StoreMirror::default(),
            watch: WatchState::Idle { retry_at: Time(0) },
            initial_list_done: false,
            linearized_at: Time(0),
            changes_known_at: Time(0),
            linearized_call: CallId(0),
            revision_read_sent: None,
            revision_read_last: Time(0),
            revision_read_call: CallId(0),
            revision_reads: VecDeque::new(),
            dependency_reads: DependencyReads::default(),
            team_limits: TeamLimits::default(),
            cells: CellSharing::default(),
            store_heard_at: Time(0),
            api: Api::default(),
            election: Election::default(),
            owner: None,
            shards: BTreeMap::new(),
            released_tokens: BTreeMap::new(),
            leadership: None,
            standby,
            processor: ProcessorUtilization::default(),
            leader_suspected: false,
            hint_sender: HintSender::default(),
            lease_revocation: None,
            shutdown: None,
            catalog: Vec::new(),
            catalog_retry: Time(0),
            peers: BTreeMap::new(),
            heartbeat_at: Time(0),
            forwarding: Forwarding::default(),
            counts_at: Time(0),
            listing: false,
            list_pages: None,
            list_at: Time(0),
            plan_seen: 0,
            last_worker_heartbeat: Time(0),
            housekeeping_at: Time(0),
            values_shrunk: false,
            machines_scanned: 0,
            placed: 0,
        };
        controller.update_rate_limits();
        controller
    }

    /// Takes one input; `now` never goes back.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.note_start();
        match input {
            Input::Request(request_id, ask) => self.on_request(request_id, ask),
            Input::Disconnect(request_id) => self.on_disconnect(request_id),
            Input::Store(call, reply) => self.on_store_response(call, reply),
            Input::Cloud(call, reply) => self.on_cloud(call, reply),
            Input::Peer(Message::PeerHeartbeat(heartbeat)) => self.on_peer_heartbeat(heartbeat),
            Input::Peer(Message::ShardCounts(shard_counts)) => self.on_shard_counts(*shard_counts),
            Input::Peer(Message::ForwardedHeartbeat(relayed)) => {
                self.on_forwarded_heartbeat(*relayed)
            }
            Input::Peer(Message::ForwardedResponse(answer)) => self.on_forwarded_response(answer),
            Input::Peer(Message::Standby(message)) => self.on_standby_message(*message),
            Input::Cell(message) => self.on_cell_message(message),
            Input::Link(controller_id, link) => self.on_link(controller_id, link),
            Input::ProcessorUtilization(share) => self.processor.note(self.now, share),
            Input::Shutdown => self.on_shutdown(),
            Input::Tick => {}
        }
        if self.now >= self.housekeeping_at {
            self.housekeeping_at = self.now.next_multiple(HOUSEKEEPING_MS);
            self.housekeeping();
        }
        self.each_shard(Self::answer_due_long_polls);
        self.send_batched_forwards();
        self.send_due_endings();
        self.pump();
        std::mem::take(&mut self.out)
    }

    /// When `step` wants to be called again at the latest.
    pub fn wake_at(&self) -> Time {
        let held = self
            .shards
            .values()
            .filter_map(|h| h.first_long_poll_deadline());
        let due = held.chain(self.api.first_delayed_ending());
        let due = due.chain(self.forwarding.batched_until()).min();
        due.map_or(self.housekeeping_at, |t| t.min(self.housekeeping_at))
    }

    /// The highest number under which this controller holds a shard.
    pub fn holds(&self) -> Option<FencingToken> {
        self.shards.values().map(|h| h.token).max()
    }

    pub fn load(&self) -> Load {
        let owners = self.shards.values();
        let written = owners.map(|h| h.write_queue.len() + h.ready_to_end_jobs.len());
        Load {
            requests: self.requests.spent(),
            requests_rate: self.requests.rate(),
            changes: self.changes.spent(),
            changes_rate: self.changes.rate(),
            cloud: self.cloud_rate_limit.spent(),
            cloud_rate: self.cloud_rate_limit.rate(),
            queued: self.api.backlog() + written.sum::<usize>(),
            machines_scanned: self.machines_scanned,
            placed: self.placed,
        }
    }

    /// What waits here, if this controller holds a shard.
    pub fn queue(&self) -> Option<Queue> {
        if self.shards.is_empty() {
            return None;
        }
        let mut queue = Queue::default();
        for job_state in self.shards.values().flat_map(|h| h.jobs.values()) {
            let tasks = job_state.queued() as usize;
            queue.waiting_for_others +=
                usize::from(job_state.cancelled.is_none() && !job_state.released);
            queue.waiting_for_room += usize::from(tasks > 0);
            queue.tasks += tasks;
        }
        Some(queue)
    }

    /// Recounts what is kept up to date from change to change; says what is wrong.
    pub fn audit(&self) -> Result<(), String> {
        self.shards.values().try_for_each(|h| h.audit())
    }

    /// Whether this controller leads.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// Does something with one shard in hand, if this controller holds it.
    pub(crate) fn in_shard(&mut self, shard: u32, act: impl FnOnce(&mut Self)) {
        let before = self.owner.take();
        let outer = before.as_ref().map(|h| h.shard);
        if let Some(h) = before {
            self.shards.insert(h.shard, h);
        }
        self.owner = self.shards.remove(&shard);
        if self.owner.is_some() {
            act(self);
        }
        if let Some(h) = self.owner.take() {
            self.shards.insert(h.shard, h);
        }
        self.owner = outer.and_then(|b| self.shards.remove(&b));
    }

    pub(crate) fn each_shard(&mut self, act: fn(&mut Self)) {
        let shards: Vec<u32> = self.shards.keys().copied().collect();
        for shard in shards {
            self.in_shard(shard, act);
        }
    }

    fn housekeeping(&mut self) {
        self.watch_housekeeping();
        self.api_housekeeping();
        self.standby_housekeeping();
        self.election_housekeeping();
        self.shutdown_housekeeping();
        self.forwarding_housekeeping();
        self.each_shard(Self::owner_housekeeping);
        self.catalog_housekeeping();
        self.cells_housekeeping();
        self.leadership_housekeeping();
        if self.write_rate.advance(self.now) {
            self.update_rate_limits();
        }
        if self.now >= self.heartbeat_at {
            self.heartbeat_at = self.now.after(1.0);
            self.send_heartbeat();
        }
    }

    fn pump(&mut self) {
        self.on_affected();
        self.each_shard(Self::schedule);
        self.each_shard(Self::write_placements);
        self.read_dependencies();
        self.pump_api();
        self.read_revision();
    }
}
