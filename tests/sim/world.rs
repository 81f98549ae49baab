//! A run in simulated time: the event queue and the state that events change.

use super::controllers::ControllerHost;
use super::digest::OutputDigest;
use super::event::Event;
use super::faults::{ActiveFault, ActiveFaults, HeartbeatCopies};
use super::limits::LimitChanges;
use super::links::{HeldMessage, Partition, PeerConnection};
use super::observed::Observed;
use super::requests::RequestOrigin;
use super::scenario::Line;
use super::services::Throttle;
use super::store::StoreService;
use super::submissions::JobSpec;
use rand::RngExt;
use rand::rngs::StdRng;
use salttrestle::ids::JobId;
use salttrestle::settings::NextStoreLimits;
use salttrestle_fakes::checker::Checker;
use salttrestle_fakes::cloud::Cloud;
use salttrestle_fakes::worker::Worker;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The queue position of an event: by time, then in the order in which events were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    at: u64,
    sequence: u64,
}

/// A run of a scenario. Times and durations are in milliseconds.
pub(crate) struct World {
    pub now: u64,
    pub(super) queue: BTreeMap<QueuePosition, Event>,
    /// The last sequence number given to an event or a partition.
    pub(super) sequence: u64,
    pub(super) rng: StdRng,

    /// The controller hosts, assigned to zones in round-robin order.
    pub hosts: Vec<ControllerHost>,
    pub(super) controller_ids: Vec<String>,
    pub(super) zones: Vec<String>,
    pub(super) platform: serde_json::Value,
    pub(super) tuning: String,

    pub store: StoreService,
    /// The limits that the store will have after `limits-fall`.
    pub(super) next_limits: Option<NextStoreLimits>,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub(super) specs: HashMap<JobId, JobSpec>,
    /// The sender of each unanswered request, by request id.
    pub(super) request_origins: HashMap<u64, RequestOrigin>,
    pub(super) last_request: u64,

    pub(super) partitions: Vec<Partition>,
    pub(super) held_messages: Vec<HeldMessage>,
    /// Until this time, controllers refuse each other's connections.
    pub(super) peers_refuse_until: u64,
    /// Connections between controllers whose last attempt was refused.
    pub(super) refused_links: BTreeSet<PeerConnection>,
    /// The utilization of the leader's processor that is reported while a `busy` command is active.
    pub(super) leader_utilization: ActiveFault,
    pub(super) heartbeat_copies: Option<HeartbeatCopies>,
    /// The answers to this many further committed transactions are lost.
    pub(super) answers_to_lose: u32,
    pub(super) throttle: Throttle,
    pub(super) faults: ActiveFaults,
    /// When the last fault of the script ends.
    pub(super) faults_end_at: u64,

    pub(super) script: Vec<Line>,
    pub(super) end_at: u64,
    pub(super) lease_ms: u64,
    pub(super) heartbeat_ms: u64,

    pub checker: Checker,
    pub(super) limit_changes: LimitChanges,
    pub observed: Observed,
    /// The HTTP statuses of answers to requests about each job; 0 for a request without an answer.
    pub statuses: BTreeSet<(JobId, u16)>,
    /// When a request about a job was last answered.
    pub(super) last_answered_at: BTreeMap<JobId, u64>,
    /// The tokens under which shards were owned.
    pub owner_tokens: BTreeSet<u64>,
    /// Tasks killed because a lease expired.
    pub lease_expiry_kills: usize,
    /// Tasks that were on machines when the machines were deleted.
    pub tasks_on_deleted_machines: usize,
    /// The digest of all outputs of the controllers.
    pub digest: OutputDigest,
}

impl World {
    /// Schedules an event at a time, or now if that time has passed.
    pub(super) fn schedule_at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        let position = QueuePosition {
            at: at.max(self.now),
            sequence: self.sequence,
        };
        self.queue.insert(position, event);
    }

    /// Schedules an event after a delay.
    pub(super) fn schedule_after(&mut self, delay: u64, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    /// Draws a random number below a bound; 0 if the bound is 0.
    pub(super) fn random_below(&mut self, below: u64) -> u64 {
        if below == 0 {
            0
        } else {
            self.rng.random_range(0..below)
        }
    }

    /// Runs to the end and collects all violations in the checker.
    pub(crate) fn run(&mut self) {
        while let Some((position, event)) = self.queue.pop_first() {
            if position.at > self.end_at {
                break;
            }
            self.now = position.at;
            log::trace!("event handled, at_ms={}", position.at);
            self.handle(event);
        }
        let now = self.now;
        self.checker.check_end(now);
        let command_checker = &mut self.store.command_checker;
        let violations = std::mem::take(&mut self.store.violations).into_iter();
        let violations =
            violations.chain(std::mem::take(&mut command_checker.cloud_calls.violations));
        let violations = violations.chain(std::mem::take(&mut command_checker.violations));
        self.checker.violations.extend(violations);
    }
}
