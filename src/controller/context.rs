//! The state that all components of a controller share: settings, clock, the clients of the store
//! and the cloud, the state of peers, and the outputs of the current step.
//!
//! The owned shards aren't part of the context, so that their methods can borrow it mutably as an
//! argument.

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
use crate::controller::{CLOUD_BURST_S, HOUSEKEEPING_INTERVAL_MS};
use crate::ids::{FencingToken, Time};
use crate::settings::Settings;
use salttrestle_standby::Standby;
use std::collections::BTreeMap;

/// Forwarded heartbeats and responses that aren't urgent are sent at multiples of this interval, in
/// milliseconds, so that one step and one packet carry several of them.
pub(crate) const BATCH_INTERVAL_MS: u64 = HOUSEKEEPING_INTERVAL_MS / 2;
/// A controller counts as connected to workers if one of them sent a heartbeat within this time, in
/// seconds.
pub(crate) const RECENT_HEARTBEAT_S: f64 = 3.0;
/// Margin that is added to the lease of a worker for message delays and late timers, in seconds.
pub(crate) const LEASE_MARGIN_S: f64 = 2.0;
/// Upper bound on the relative drift between the monotonic clocks of two machines.
pub(crate) const CLOCK_DRIFT_FRACTION: f64 = 0.001;

/// The state of a controller, apart from the shards that it owns.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    /// Distinguishes this process from earlier processes of the same controller.
    pub(crate) incarnation: u64,
    /// Time of the current step.
    pub(crate) now: Time,
    /// Time of the first input of this process.
    pub(crate) started_at: Option<Time>,
    /// Outputs of the current step.
    pub(crate) outbox: Outbox,
    pub(crate) store: StoreClient<RequestPurpose>,
    pub(crate) cloud: CloudClient<CloudPurpose>,
    pub(crate) dependency_reads: DependencyReads,
    pub(crate) team_limits: TeamLimits,
    pub(crate) cells: CellSharing,
    pub(crate) api: Api,
    pub(crate) election: Election,
    /// The fencing token under which each shard was last owned and released here.
    pub(crate) released_tokens: BTreeMap<u32, FencingToken>,
    /// The state of the leader; `None` while this controller doesn't lead.
    pub(crate) leadership: Option<Leadership>,
    pub(crate) standby: Standby,
    /// CPU utilization of this process.
    pub(crate) processor: ProcessorUtilization,
    /// Whether the latest log line on the leader says that it is suspected.
    pub(crate) leader_suspected: bool,
    pub(crate) hint_sender: HintSender,
    /// A lease that has to be revoked.
    pub(crate) lease_revocation: Option<LeaseRevocation>,
    /// The state of the shutdown; `None` until it is requested.
    pub(crate) shutdown: Option<Shutdown>,
    pub(crate) peers: PeerTable,
    pub(crate) forwarding: Forwarding,
    /// Time at which the counts of the owned shards are sent next.
    pub(crate) next_counts_at: Time,
    /// Revision of the scaling plan that this controller applied last.
    pub(crate) applied_plan_revision: u64,
    /// Time of the latest heartbeat that a worker sent to this controller.
    pub(crate) last_worker_heartbeat: Time,
    /// Time of the next housekeeping.
    pub(crate) next_housekeeping_at: Time,
    /// Total machines examined in order to place tasks.
    pub(crate) machines_scanned: u64,
    /// Total tasks placed.
    pub(crate) tasks_placed: u64,
}

impl Context {
    /// Creates the state of a process that starts.
    pub(crate) fn new(settings: Settings, incarnation: u64) -> Self {
        let cloud_rps = settings.platform.facts.cloud.rps * settings.tuning.budget_fraction;
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
            tasks_placed: 0,
        }
    }

    /// Whether this controller leads.
    pub(crate) fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }
}
