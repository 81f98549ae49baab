//! What all duties of a controller share: its settings and clock, what it knows of the store, the
//! cloud and its peers, and the outputs of the present step. The shards that it owns aren't part of
//! it, so that their methods take it as an argument.

use crate::controller::api::Api;
use crate::controller::autoscaling::CloudPurpose;
use crate::controller::cloud::CloudClient;
use crate::controller::dependencies::resolution::DependencyReads;
use crate::controller::forwarding::Forwarding;
use crate::controller::leadership::Leadership;
use crate::controller::leadership::election::Election;
use crate::controller::leadership::shutdown::{LeaseRevocation, Shutdown};
use crate::controller::leadership::standby::{HintSender, new_standby};
use crate::controller::outbox::Outbox;
use crate::controller::peers::PeerTable;
use crate::controller::processor::ProcessorUtilization;
use crate::controller::quota::cells::CellSharing;
use crate::controller::quota::team_limits::TeamLimits;
use crate::controller::rate_limits::token_bucket::TokenBucket;
use crate::controller::store::StoreClient;
use crate::controller::store_requests::RequestPurpose;
use crate::controller::{CLOUD_BURST_S, HOUSEKEEPING_MS};
use crate::ids::{FencingToken, Time};
use crate::settings::Settings;
use salttrestle_standby::Standby;
use std::collections::BTreeMap;

/// Heartbeats that are forwarded and answers that needn't go out at once wait for a whole multiple
/// of this, so that one turn and one packet carry several of them.
pub(crate) const BATCH_MS: u64 = HOUSEKEEPING_MS / 2;
/// A controller has heard workers lately if one reported within this time.
pub(crate) const RECENT_HEARTBEAT_S: f64 = 3.0;
/// Margin for the time a message takes and for late timers.
pub(crate) const LEASE_MARGIN_S: f64 = 2.0;
/// Steady clocks drift apart by at most this share.
pub(crate) const CLOCK_DRIFT_FRACTION: f64 = 0.001;

/// The state of a controller outside the shards that it owns.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) now: Time,
    /// When this process took its first input.
    pub(crate) started_at: Option<Time>,
    /// What the present step sends.
    pub(crate) outbox: Outbox,
    pub(crate) store: StoreClient<RequestPurpose>,
    pub(crate) cloud: CloudClient<CloudPurpose>,
    pub(crate) dependency_reads: DependencyReads,
    pub(crate) team_limits: TeamLimits,
    pub(crate) cells: CellSharing,
    pub(crate) api: Api,
    pub(crate) election: Election,
    /// The token under which each shard was last held and given up.
    pub(crate) released_tokens: BTreeMap<u32, FencingToken>,
    pub(crate) leadership: Option<Leadership>,
    pub(crate) standby: Standby,
    /// How busy this process is.
    pub(crate) processor: ProcessorUtilization,
    /// Whether the log says that the leader is suspected.
    pub(crate) leader_suspected: bool,
    pub(crate) hint_sender: HintSender,
    /// A lease that is to be given up.
    pub(crate) lease_revocation: Option<LeaseRevocation>,
    pub(crate) shutdown: Option<Shutdown>,
    pub(crate) peers: PeerTable,
    pub(crate) forwarding: Forwarding,
    pub(crate) next_counts_at: Time,
    /// The revision of the plan that was carried out here.
    pub(crate) applied_plan_revision: u64,
    /// When a worker last reported here.
    pub(crate) last_worker_heartbeat: Time,
    pub(crate) next_housekeeping_at: Time,
    /// Machines looked at to place tasks, in all, and tasks placed.
    pub(crate) machines_scanned: u64,
    pub(crate) placed: u64,
}

impl Context {
    /// The state of a process that begins.
    pub(crate) fn new(settings: Settings, incarnation: u64) -> Self {
        let cloud_rps = settings.platform.facts.cloud.rps * settings.tuning.budget_share;
        let cloud_limit = TokenBucket::new(cloud_rps, cloud_rps * CLOUD_BURST_S);
        let standby = new_standby(&settings, incarnation);
        Self {
            cloud: CloudClient::new(cloud_limit),
            settings,
            incarnation,
            now: Time(0),
            started_at: None,
            outbox: Outbox::default(),
            store: StoreClient::default(),
            dependency_reads: DependencyReads::default(),
            team_limits: TeamLimits::default(),
            cells: CellSharing::default(),
            api: Api::default(),
            election: Election::default(),
            released_tokens: BTreeMap::new(),
            leadership: None,
            standby,
            processor: ProcessorUtilization::default(),
            leader_suspected: false,
            hint_sender: HintSender::default(),
            lease_revocation: None,
            shutdown: None,
            peers: PeerTable::default(),
            forwarding: Forwarding::default(),
            next_counts_at: Time(0),
            applied_plan_revision: 0,
            last_worker_heartbeat: Time(0),
            next_housekeeping_at: Time(0),
            machines_scanned: 0,
            placed: 0,
        }
    }

    /// Whether this controller leads.
    pub(crate) fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }
}
