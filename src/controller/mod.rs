//! The controller: a state machine that handles inputs and returns outputs, without any I/O.
//!
//! Every decision that affects correctness is committed to the store with a compare-and-set
//! transaction before a response or a command that depends on it is sent. Leases only decide which
//! controller should act; safety never depends on them.

pub(crate) mod api;
pub mod audit;
pub(crate) mod autoscaling;
pub(crate) mod cloud;
pub(crate) mod context;
pub(crate) mod dependencies;
pub mod events;
pub(crate) mod forwarding;
pub(crate) mod leadership;
pub(crate) mod machines;
pub(crate) mod outbox;
pub(crate) mod peers;
pub(crate) mod pool;
pub mod processor;
pub(crate) mod quota;
pub(crate) mod rate_limits;
pub(crate) mod scheduling;
pub(crate) mod shard;
pub(crate) mod shards;
mod stable_hash;
pub mod store;
mod store_requests;

use crate::controller::audit::AuditError;
use crate::controller::context::Context;
use crate::controller::events::{Input, Load, Output, Queue};
use crate::controller::leadership::GiveUpReason;
use crate::controller::leadership::standby::StandbyStatus;
use crate::controller::rate_limits::{CLOUD_BURST_S, RateShares, Role};
use crate::controller::shard::ShardOwner;
use crate::ids::{FencingToken, Time};
use crate::peer::Message;
use crate::settings::Settings;
use std::collections::BTreeMap;

/// Interval of housekeeping, the work that no input triggers, in milliseconds.
pub(crate) const HOUSEKEEPING_INTERVAL_MS: u64 = 100;

/// A controller: a state machine that handles inputs and returns outputs.
pub struct Controller {
    pub(crate) context: Context,
    /// The shards that this controller owns.
    pub(crate) shards: BTreeMap<u32, ShardOwner>,
}

impl Controller {
    /// Creates a controller that owns no shards. `incarnation` distinguishes this process from
    /// earlier processes of the same controller.
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let mut controller = Self {
            context: Context::new(settings, incarnation),
            shards: BTreeMap::new(),
        };
        controller.update_rate_limits();
        controller
    }

    /// Handles one input and returns the resulting outputs. A `now` before that of an earlier step
    /// is replaced by the latest time.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        self.context.now = self.context.now.max(now);
        self.context.record_start();
        match input {
            Input::Request(request_id, request) => self.on_request(request_id, request),
            Input::Disconnect(request_id) => self.on_disconnect(request_id),
            Input::Store(call, response) => self.on_store_response(call, response),
            Input::Cloud(call, response) => self.on_cloud_response(call, response),
            Input::Peer(Message::PeerHeartbeat(heartbeat)) => self.on_peer_heartbeat(heartbeat),
            Input::Peer(Message::ShardCounts(shard_counts)) => {
                self.context.on_shard_counts(*shard_counts);
            }
            Input::Peer(Message::ForwardedHeartbeat(heartbeat)) => {
                self.on_forwarded_heartbeat(*heartbeat);
            }
            Input::Peer(Message::ForwardedResponse(response)) => {
                self.context.on_forwarded_response(response);
            }
            Input::Peer(Message::Standby(message)) => self.context.on_standby_message(*message),
            Input::Cell(message) => self.context.on_cell_message(message),
            Input::Link(controller_id, link) => self.context.on_link(controller_id, link),
            Input::ProcessorUtilization(busy_fraction) => {
                self.context
                    .processor
                    .record(self.context.now, busy_fraction);
            }
            Input::Shutdown => self.on_shutdown(),
            Input::Tick => {}
        }
        if self.context.now >= self.context.next_housekeeping_at {
            self.context.next_housekeeping_at =
                self.context.now.next_multiple(HOUSEKEEPING_INTERVAL_MS);
            self.housekeeping();
        }
        for shard in self.shards.values_mut() {
            shard.answer_due_long_polls(&mut self.context);
        }
        self.context.send_batched_forwards();
        self.context.send_due_endings();
        self.advance();
        self.context.outbox.take()
    }

    /// Returns the time at which [`Controller::step`] has to be called next at the latest.
    pub fn wake_at(&self) -> Time {
        let long_polls = self
            .shards
            .values()
            .filter_map(shard::ShardOwner::first_long_poll_deadline);
        let due = long_polls.chain(self.context.api.first_delayed_ending());
        let due = due.chain(self.context.forwarding.batched_until()).min();
        due.map_or(self.context.next_housekeeping_at, |deadline| {
            deadline.min(self.context.next_housekeeping_at)
        })
    }

    /// Returns the highest fencing token under which this controller owns a shard.
    pub fn highest_shard_token(&self) -> Option<FencingToken> {
        self.shards.values().map(|shard| shard.token).max()
    }

    /// Returns this controller's use of the rate limits and its backlog of writes.
    pub fn load(&self) -> Load {
        let shards = self.shards.values();
        let queued_writes =
            shards.map(|shard| shard.write_queue.len() + shard.ready_to_end_jobs.len());
        Load {
            requests: self.context.store.request_limit.spent(),
            requests_rate: self.context.store.request_limit.rate(),
            changes: self.context.store.change_limit.spent(),
            changes_rate: self.context.store.change_limit.rate(),
            cloud: self.context.cloud.rate_limit.spent(),
            cloud_rate: self.context.cloud.rate_limit.rate(),
            queued: self.context.api.backlog() + queued_writes.sum::<usize>(),
            machines_scanned: self.context.machines_scanned,
            placed: self.context.tasks_placed,
            status_queries: self.context.api.status_query_counts,
            read_times: self.context.store.read_times(self.context.now),
        }
    }

    /// Returns the waiting jobs and tasks, or `None` if this controller owns no shard.
    pub fn queue(&self) -> Option<Queue> {
        if self.shards.is_empty() {
            return None;
        }
        let mut queue = Queue::default();
        for job_state in self.shards.values().flat_map(|shard| shard.jobs.values()) {
            let tasks = job_state.queued() as usize;
            queue.waiting_for_dependencies +=
                usize::from(job_state.cancelled.is_none() && !job_state.is_released);
            queue.waiting_for_machines += usize::from(tasks > 0);
            queue.tasks += tasks;
        }
        Some(queue)
    }

    /// Compares sums and indexes that are updated incrementally with values computed from scratch.
    /// Returns the first difference as an error.
    pub fn audit(&self) -> Result<(), AuditError> {
        self.shards.values().try_for_each(shard::ShardOwner::audit)
    }

    fn housekeeping(&mut self) {
        self.watch_store();
        self.api_housekeeping();
        self.standby_housekeeping();
        self.context.election_housekeeping();
        self.context.shutdown_housekeeping();
        self.forwarding_housekeeping();
        self.shards_housekeeping();
        self.context.catalog_housekeeping();
        self.cells_housekeeping();
        self.autoscaling_housekeeping();
        if self.context.store.write_rate.advance(self.context.now) {
            self.update_rate_limits();
        }
        if self.context.now >= self.context.peers.next_heartbeat_at {
            self.context.peers.next_heartbeat_at = self.context.now.after(1.0);
            self.send_heartbeat();
        }
    }

    fn watch_store(&mut self) {
        let is_eager = self.context.leader_suspicion().is_some();
        let context = &mut self.context;
        let (now, outbox) = (context.now, &mut context.outbox);
        context.store.keep_watching(now, outbox, is_eager);
    }

    fn read_revision(&mut self) {
        let context = &mut self.context;
        let demand = context.api.revision_demand();
        let (now, outbox) = (context.now, &mut context.outbox);
        context.store.read_revision(now, outbox, demand);
    }

    /// Sets the rate limits to this controller's shares, which depend on its role: whether it
    /// leads, whether it owns shards, and how many changes other controllers make.
    pub(crate) fn update_rate_limits(&mut self) {
        let context = &mut self.context;
        let role = Role {
            shards: context.store.mirror.shards.len(),
            owns_shard: !self.shards.is_empty(),
            is_leader: context.is_leader(),
            others_write_rate: context.store.write_rate.others(),
        };
        let shares = RateShares::of(&context.settings, role);
        let (now, store) = (context.now, &mut context.store);
        let (requests, changes, cloud) = (shares.requests, shares.changes, shares.cloud);
        store.request_limit.set_rate(now, requests, requests);
        store.change_limit.set_rate(now, changes, changes);
        let cloud_burst = cloud * CLOUD_BURST_S;
        context.cloud.rate_limit.set_rate(now, cloud, cloud_burst);
    }

    fn shards_housekeeping(&mut self) {
        let owned: Vec<u32> = self.shards.keys().copied().collect();
        for shard_number in owned {
            // The shard may have been released meanwhile: giving up one shard gives up all of them.
            let Some(shard) = self.shards.get_mut(&shard_number) else {
                return;
            };
            if shard.is_partitioned_from_workers(&self.context) {
                self.release_shard(shard_number, GiveUpReason::WorkersUnreachable);
                self.resign(GiveUpReason::WorkersUnreachable);
                return;
            }
            shard.housekeeping(&mut self.context);
        }
    }

    fn advance(&mut self) {
        self.on_affected_jobs();
        for shard in self.shards.values_mut() {
            shard.schedule(&mut self.context);
        }
        for shard in self.shards.values_mut() {
            shard.write_placements(&mut self.context);
        }
        self.context.read_dependencies();
        self.context.advance_api();
        self.read_revision();
    }

    /// Whether this controller is the leader.
    pub fn is_leader(&self) -> bool {
        self.context.is_leader()
    }

    /// Whether a requested shutdown is complete: everything is handed over, or the time limit for
    /// it has passed.
    pub fn shutdown_complete(&self) -> bool {
        self.context.shutdown_complete()
    }

    /// Returns the state of the standby, or `None` if it is disabled.
    pub fn standby_status(&self) -> Option<StandbyStatus> {
        self.context.standby_status()
    }
}
