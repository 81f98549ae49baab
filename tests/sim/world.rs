//! A run in simulated time: a queue of events, and all that they change.

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
use salttrestle::settings::NextStateLimits;
use salttrestle_fakes::checker::Checker;
use salttrestle_fakes::cloud::Cloud;
use salttrestle_fakes::worker::Worker;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An event's place in the queue: by its moment, then in the order in which events were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Due {
    at: u64,
    sequence: u64,
}

/// A run. Moments and spans are in milliseconds.
pub(crate) struct World {
    pub now: u64,
    pub(super) queue: BTreeMap<Due, Event>,
    /// Counts events and partitions.
    pub(super) sequence: u64,
    pub(super) rng: StdRng,

    /// The controllers, each in a zone, in turn.
    pub hosts: Vec<ControllerHost>,
    pub(super) controller_ids: Vec<String>,
    pub(super) zones: Vec<String>,
    pub(super) platform: serde_json::Value,
    pub(super) tuning: String,

    pub store: StoreService,
    /// Limits that the store will have.
    pub(super) next_limits: Option<NextStateLimits>,
    pub cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub(super) specs: HashMap<JobId, JobSpec>,
    /// Who waits for the answers to which requests.
    pub(super) origins: HashMap<u64, RequestOrigin>,
    pub(super) last_request: u64,

    pub(super) partitions: Vec<Partition>,
    pub(super) held: Vec<HeldMessage>,
    /// Controllers refuse each other's connections until then.
    pub(super) peers_refuse_until: u64,
    /// Connections between controllers that were refused last.
    pub(super) refused_links: BTreeSet<PeerConnection>,
    /// For which share of its time the leader's processor is busy.
    pub(super) busy: ActiveFault,
    pub(super) heartbeat_copies: Option<HeartbeatCopies>,
    /// The answers to the next so many transactions are lost.
    pub(super) lose_answers: u32,
    pub(super) throttle: Throttle,
    pub(super) faults: ActiveFaults,
    /// When the last fault of the script is over.
    pub(super) calm_at: u64,

    pub(super) script: Vec<Line>,
    pub(super) end: u64,
    pub(super) lease_ms: u64,
    pub(super) heartbeat_ms: u64,

    pub checker: Checker,
    pub(super) limit_changes: LimitChanges,
    pub observed: Observed,
    /// The statuses that requests about jobs were answered with; 0 for none.
    pub statuses: BTreeSet<(JobId, u16)>,
    /// When a question about a job was last answered.
    pub(super) answered: BTreeMap<JobId, u64>,
    /// The tokens under which shards were owned.
    pub tokens: BTreeSet<u64>,
    /// Tasks killed because a lease expired.
    pub killed: usize,
    /// Tasks that were on machines when these were deleted.
    pub deleted_tasks: usize,
    /// Over all that the controllers send.
    pub digest: OutputDigest,
}

impl World {
    /// Schedules an event for a moment.
    pub(super) fn at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        let due = Due {
            at: at.max(self.now),
            sequence: self.sequence,
        };
        self.queue.insert(due, event);
    }

    /// Schedules an event for a while from now.
    pub(super) fn after(&mut self, delay: u64, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Draws a number below a bound; 0 if that is 0.
    pub(super) fn random(&mut self, below: u64) -> u64 {
        if below == 0 {
            0
        } else {
            self.rng.random_range(0..below)
        }
    }

    /// Plays to the end, and gathers all violations in the checker.
    pub(crate) fn run(&mut self) {
        while let Some((due, event)) = self.queue.pop_first() {
            if due.at > self.end {
                break;
            }
            self.now = due.at;
            log::trace!("{}", due.at);
            self.handle(event);
        }
        let now = self.now;
        self.checker.check_end(now);
        let orders = &mut self.store.orders;
        let violations = std::mem::take(&mut self.store.defects).into_iter();
        let violations = violations.chain(std::mem::take(&mut orders.cloud_calls.violations));
        let violations = violations.chain(std::mem::take(&mut orders.violations));
        self.checker.violations.extend(violations);
    }
}
