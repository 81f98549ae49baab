//! The actions of controllers, based on the records that they have read.

use super::records::{Change, Commit, LeaderRecord, Placement, Records};
use super::{InjectedBug, LEADER_LEASE_MS, Violation, World, name, standby};
use salttrestle_standby::Standby;
use salttrestle_standby::fence::Predecessors;
use salttrestle_standby::standby::Term;

/// Interval between two scaling plans of a leader.
const PLAN_INTERVAL_MS: u64 = 500;
/// Attempts that are placed under one token within this many milliseconds have different numbers.
const ATTEMPT_CYCLE_MS: u64 = 100;

/// The state of a process while it leads.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    pub(super) token: u64,
    /// The token under which this process owns the shard.
    pub(super) shard_token: u64,
    /// The time from which this process may call the cloud.
    cloud_calls_from: u64,
    /// The attempt that this owner has placed and committed, and has to start.
    pub(super) own_placement: Option<Placement>,
    planned_at: u64,
}

/// A lease that a controller has requested.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// The index of the lease in the store.
    index: usize,
    /// When the request for the lease or for its latest renewal was sent.
    renewed_at: u64,
}

pub(super) struct Controller {
    incarnation: u64,
    pub(super) is_up: bool,
    is_paused: bool,
    pub(super) standby: Standby,
    pub(super) view: Records,
    /// When the read that returned `view` was sent.
    pub(super) read_at: u64,
    /// All leases that this process has requested.
    leases: Vec<Lease>,
    /// The lease in this leader's record.
    lease: Option<Lease>,
    pub(super) leadership: Option<Leadership>,
    pub(super) is_leader: bool,
}

impl Controller {
    /// Creates a controller's first process.
    pub(super) fn new(controller_index: usize) -> Self {
        Self::new_process(controller_index, 1, true)
    }

    fn new_process(controller_index: usize, incarnation: u64, is_up: bool) -> Self {
        Self {
            incarnation,
            is_up,
            is_paused: false,
            standby: standby(controller_index, incarnation),
            view: Records::default(),
            read_at: 0,
            leases: Vec::new(),
            lease: None,
            leadership: None,
            is_leader: false,
        }
    }

    /// Creates a commit whose conditions are checked against the records in this controller's view.
    fn commit(&self, change: Change, requires_unchanged_placement: bool) -> Commit {
        Commit {
            conditions: self.view.clone(),
            requires_unchanged_placement,
            change,
        }
    }

    /// Starts to lead, after this controller has read its own leader record.
    fn become_leader(&mut self, term: &Term, now: u64, bug: InjectedBug) {
        let recorded = self.view.leader.value.as_ref();
        let recorded = recorded.map(|leader| leader.lease);
        let mut leases = self.leases.iter();
        self.lease = leases.find(|lease| Some(lease.index) == recorded).copied();
        let fence = self.view.highest.value.fence;
        let fence = fence.filter(|fence| fence.token == term.token);
        let wait_ms = match bug {
            InjectedBug::CallsCloudAtOnce => 0,
            _ => fence.map_or(0, |fence| fence.ms),
        };
        self.leadership = Some(Leadership {
            token: term.token,
            shard_token: self.view.shard_token.value,
            cloud_calls_from: now + wait_ms,
            own_placement: None,
            planned_at: now,
        });
        self.is_leader = true;
    }

    fn renew_lease(&mut self, leases: &mut [u64], now: u64) {
        if let Some(lease) = &mut self.lease
            && leases[lease.index] >= now
        {
            leases[lease.index] = now + LEADER_LEASE_MS;
            lease.renewed_at = now;
        }
    }
}

impl World {
    /// Whether a controller's process exists and isn't paused.
    pub(super) fn is_running(&self, controller: usize) -> bool {
        self.controllers[controller].is_up && !self.controllers[controller].is_paused
    }

    /// A controller reads all records. A shard owner learns whether its commits were executed.
    pub(crate) fn read_records(&mut self, controller_index: usize) {
        if !self.is_running(controller_index) {
            return;
        }
        let (now, bug) = (self.now, self.bug);
        let controller = &mut self.controllers[controller_index];
        (controller.view, controller.read_at) = (self.records.clone(), now);
        let leader = controller.view.leader.value.as_ref();
        let term = leader.map(|leader| leader.term.clone());
        controller.standby.set_term(now, term.clone());
        let own = term.filter(|term| {
            term.leader == name(controller_index) && term.incarnation == controller.incarnation
        });
        let Some(term) = own else {
            controller.leadership = None;
            controller.is_leader = false;
            return;
        };
        let leadership = controller.leadership.as_ref();
        if leadership.is_none_or(|leadership| leadership.token != term.token) {
            controller.become_leader(&term, now, bug);
        }
        if let (Some(leadership), Some(placement)) =
            (&mut controller.leadership, controller.view.placement.value)
            && placement.token() == leadership.shard_token
        {
            leadership.own_placement = Some(placement);
        }
    }

    /// A controller does the work that is due: a heartbeat, and as a leader the lease renewal and
    /// the scaling plan, or else an election.
    pub(crate) fn tick(&mut self, controller_index: usize) {
        if !self.is_running(controller_index) {
            return;
        }
        let now = self.now;
        if let Some(heartbeat) = self.controllers[controller_index].standby.tick(now) {
            self.broadcast_heartbeat(controller_index, &heartbeat);
        }
        let controller = &mut self.controllers[controller_index];
        if controller.leadership.is_some() {
            controller.renew_lease(&mut self.leases, now);
            return self.write_plan(controller_index);
        }
        let is_vacant = controller.view.leader.value.is_none();
        let has_recent_view = now - controller.read_at < LEADER_LEASE_MS;
        if has_recent_view && (is_vacant || controller.standby.may_replace(now).is_ok()) {
            self.send_election(controller_index);
        }
    }

    fn send_election(&mut self, controller_index: usize) {
        self.leases.push(self.now + LEADER_LEASE_MS);
        let lease = self.leases.len() - 1;
        let controller = &mut self.controllers[controller_index];
        controller.leases.push(Lease {
            index: lease,
            renewed_at: self.now,
        });
        let view = &controller.view;
        let replaced = view.leader.value.as_ref();
        let replaced = replaced.filter(|leader| leader.term.leader != name(controller_index));
        let predecessors = Predecessors {
            replaced_lease_ms: replaced.and_then(|leader| leader.term.fenced_ms),
            fence: match self.bug {
                InjectedBug::IgnoresStoredFence => None,
                _ => view.highest.value.fence,
            },
            plan_token: view.plan_token,
        };
        let token = view.highest.value.token + 1;
        let term = Term {
            leader: name(controller_index),
            incarnation: controller.incarnation,
            token,
            fenced_ms: Some(LEADER_LEASE_MS),
        };
        let change = Change::Elect {
            leader: LeaderRecord { term, lease },
            fence: predecessors.fence(token),
        };
        self.commits.push(controller.commit(change, false));
    }

    /// The token under which a leader may call the cloud; `None` unless its latest lease renewal
    /// and its latest read of its own record are recent and its wait is over.
    fn may_call_cloud(&self, controller_index: usize) -> Option<u64> {
        let controller = &self.controllers[controller_index];
        let leadership = controller.leadership.as_ref();
        let leadership = leadership.filter(|leadership| self.now >= leadership.cloud_calls_from)?;
        let is_recent = |at: u64| self.now - at < LEADER_LEASE_MS;
        let has_renewed = controller
            .lease
            .is_some_and(|lease| is_recent(lease.renewed_at));
        let has_read =
            is_recent(controller.read_at) || self.bug == InjectedBug::CallsCloudWithoutRead;
        (has_renewed && has_read).then_some(leadership.token)
    }

    fn write_plan(&mut self, controller_index: usize) {
        let Some(token) = self.may_call_cloud(controller_index) else {
            return;
        };
        let now = self.now;
        let controller = &mut self.controllers[controller_index];
        let leadership = controller.leadership.as_mut();
        let due = leadership.filter(|leadership| now >= leadership.planned_at + PLAN_INTERVAL_MS);
        if let Some(leadership) = due {
            leadership.planned_at = now;
            let commit = controller.commit(Change::Plan(token), false);
            self.commits.push(commit);
        }
    }

    /// A leader rents or deletes a machine, if it considers itself allowed to.
    pub(crate) fn call_cloud(&mut self, controller_index: usize) {
        if !self.is_running(controller_index) {
            return;
        }
        let Some(token) = self.may_call_cloud(controller_index) else {
            return;
        };
        let latest = self.latest_cloud_token;
        if token < latest {
            self.record_violation(Violation::StaleCloudCall { token, latest });
        }
        self.latest_cloud_token = latest.max(token);
    }

    /// A shard owner places the task if it knows of no placement.
    pub(crate) fn place_task(&mut self, controller_index: usize, machine: usize) {
        if !self.is_running(controller_index) {
            return;
        }
        let ignores_view = self.bug == InjectedBug::PlacesBeforeCaughtUp;
        let controller = &self.controllers[controller_index];
        let Some(leadership) = &controller.leadership else {
            return;
        };
        let known = match ignores_view {
            true => leadership.own_placement,
            false => controller.view.placement.value,
        };
        if known.is_some() {
            return;
        }
        let first_attempt = Placement::first_attempt(leadership.shard_token);
        let attempt = first_attempt + self.commits.len() as u64 + self.now % ATTEMPT_CYCLE_MS;
        let change = Change::Place(Placement { machine, attempt });
        self.commits.push(controller.commit(change, !ignores_view));
    }

    /// A shard owner commits that the task doesn't run any more, which a heartbeat has proven.
    pub(super) fn commit_task_gone(&mut self, controller_index: usize) {
        let commit = self.controllers[controller_index].commit(Change::TaskGone, true);
        self.commits.push(commit);
    }

    pub(crate) fn set_paused(&mut self, controller_index: usize, is_paused: bool) {
        self.controllers[controller_index].is_paused = is_paused;
    }

    /// Ends a controller's process, and starts the next one if `is_up`.
    pub(crate) fn restart(&mut self, controller_index: usize, is_up: bool) {
        let incarnation = self.controllers[controller_index].incarnation + 1;
        self.controllers[controller_index] =
            Controller::new_process(controller_index, incarnation, is_up);
    }
}
