//! The state machine: takes inputs, returns what to send, write and answer.
//!
//! Every decision that a rule depends on is a compare-and-set commit at the state
//! service before anyone is told or any command is sent. Leases only decide who
//! should act; they are never what makes a wrong act harmless.

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

/// How often work that nothing else triggers is looked at.
pub(crate) const HOUSEKEEPING_MS: u64 = 100;

/// A controller: takes events, returns what to send, and holds the state of all duties.
pub struct Controller {
    pub(crate) context: Context,
    /// The shards that this controller owns.
    pub(crate) shards: BTreeMap<u32, ShardOwner>,
}

impl Controller {
    /// `incarnation` tells this process from earlier ones of the same controller.
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        let mut controller = Self {
            context: Context::new(settings, incarnation),
            shards: BTreeMap::new(),
        };
        controller.update_rate_limits();
        controller
    }

    /// Takes one input; `now` never goes back.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        self.context.now = self.context.now.max(now);
        self.context.record_start();
        match input {
            Input::Request(request_id, ask) => self.on_request(request_id, ask),
            Input::Disconnect(request_id) => self.on_disconnect(request_id),
            Input::Store(call, reply) => self.on_store_response(call, reply),
            Input::Cloud(call, reply) => self.on_cloud_response(call, reply),
            Input::Peer(Message::PeerHeartbeat(heartbeat)) => self.on_peer_heartbeat(heartbeat),
            Input::Peer(Message::ShardCounts(shard_counts)) => {
                self.context.on_shard_counts(*shard_counts);
            }
            Input::Peer(Message::ForwardedHeartbeat(relayed)) => {
                self.on_forwarded_heartbeat(*relayed);
            }
            Input::Peer(Message::ForwardedResponse(answer)) => {
                self.context.on_forwarded_response(answer);
            }
            Input::Peer(Message::Standby(message)) => self.context.on_standby_message(*message),
            Input::Cell(message) => self.context.on_cell_message(message),
            Input::Link(controller_id, link) => self.context.on_link(controller_id, link),
            Input::ProcessorUtilization(share) => {
                self.context.processor.note(self.context.now, share);
            }
            Input::Shutdown => self.on_shutdown(),
            Input::Tick => {}
        }
        if self.context.now >= self.context.housekeeping_at {
            self.context.housekeeping_at = self.context.now.next_multiple(HOUSEKEEPING_MS);
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

    /// When `step` wants to be called again at the latest.
    pub fn wake_at(&self) -> Time {
        let held = self
            .shards
            .values()
            .filter_map(shard::ShardOwner::first_long_poll_deadline);
        let due = held.chain(self.context.api.first_delayed_ending());
        let due = due.chain(self.context.forwarding.batched_until()).min();
        due.map_or(self.context.housekeeping_at, |t| {
            t.min(self.context.housekeeping_at)
        })
    }

    /// The highest token under which this controller holds a shard.
    pub fn holds(&self) -> Option<FencingToken> {
        self.shards.values().map(|h| h.token).max()
    }

    /// What this controller has used of its limits, and what waits to be written.
    pub fn load(&self) -> Load {
        let owners = self.shards.values();
        let written = owners.map(|h| h.write_queue.len() + h.ready_to_end_jobs.len());
        Load {
            requests: self.context.store.request_limit.spent(),
            requests_rate: self.context.store.request_limit.rate(),
            changes: self.context.store.change_limit.spent(),
            changes_rate: self.context.store.change_limit.rate(),
            cloud: self.context.cloud.rate_limit.spent(),
            cloud_rate: self.context.cloud.rate_limit.rate(),
            queued: self.context.api.backlog() + written.sum::<usize>(),
            machines_scanned: self.context.machines_scanned,
            placed: self.context.placed,
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
        let eager = self.context.suspects_leader().is_some();
        let context = &mut self.context;
        let (now, outbox) = (context.now, &mut context.outbox);
        context.store.keep_watching(now, outbox, eager);
    }

    fn read_revision(&mut self) {
        let context = &mut self.context;
        let demand = context.api.revision_demand();
        let (now, outbox) = (context.now, &mut context.outbox);
        context.store.read_revision(now, outbox, demand);
    }

    /// Takes the shares of the rate limits that follow from what this controller does.
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
        store.request_limit.set(now, requests, requests);
        store.change_limit.set(now, changes, changes);
        let cloud_burst = cloud * CLOUD_BURST_S;
        context.cloud.rate_limit.set(now, cloud, cloud_burst);
    }

    fn shards_housekeeping(&mut self) {
        let owned: Vec<u32> = self.shards.keys().copied().collect();
        for id in owned {
            // Giving up one of them gives up all.
            let Some(shard) = self.shards.get_mut(&id) else {
                return;
            };
            if shard.workers_lost(&self.context) {
                self.release_shard(id, GiveUpReason::WorkersUnreachable);
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

    /// Whether this controller leads.
    pub fn is_leader(&self) -> bool {
        self.context.is_leader()
    }

    /// Whether a controller that shuts down has nothing left to hand over.
    pub fn shutdown_complete(&self) -> bool {
        self.context.shutdown_complete()
    }

    /// How the standby stands, if it is switched on.
    pub fn standby_status(&self) -> Option<StandbyStatus> {
        self.context.standby_status()
    }
}
