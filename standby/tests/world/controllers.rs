//! What controllers do on what they have read.

use super::records::{Change, Commit, Leader, Placed, Records};
use super::{LEADER_LEASE_MS, Mistake, Violation, World, name, standby};
use salttrestle_standby::Standby;
use salttrestle_standby::fence::Predecessors;
use salttrestle_standby::standby::Term;

/// Between two plans of a leader.
const PLAN_MS: u64 = 500;
/// Attempts of one token that are placed within this many milliseconds have different numbers.
const ATTEMPT_MOMENTS: u64 = 100;

/// What one leading process knows.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    pub(super) token: u64,
    /// The token under which it owns the shard.
    pub(super) shard_token: u64,
    /// From when on it may call the cloud.
    cloud_from: u64,
    /// The attempt that this owner placed and committed, to be started.
    pub(super) own: Option<Placed>,
    planned_at: u64,
}

/// A lease that was asked for.
#[derive(Clone, Copy, Debug)]
struct Lease {
    lease: usize,
    /// When it was asked for, or its renewal last sent.
    renewed_at: u64,
}

pub(super) struct Controller {
    incarnation: u64,
    pub(super) up: bool,
    paused: bool,
    pub(super) standby: Standby,
    pub(super) view: Records,
    /// When the latest read was sent whose answer it has.
    pub(super) read_at: u64,
    /// Leases that were asked for.
    leases: Vec<Lease>,
    /// The lease that its record names.
    lease: Option<Lease>,
    pub(super) leadership: Option<Leadership>,
    pub(super) is_leader: bool,
}

impl Controller {
    /// A controller's first process.
    pub(super) fn new(place: usize) -> Self {
        Self::process(place, 1, true)
    }

    fn process(place: usize, incarnation: u64, up: bool) -> Self {
        Self {
            incarnation,
            up,
            paused: false,
            standby: standby(place, incarnation),
            view: Records::default(),
            read_at: 0,
            leases: Vec::new(),
            lease: None,
            leadership: None,
            is_leader: false,
        }
    }

    /// A commit on what it has read.
    fn commit(&self, change: Change, on_run: bool) -> Commit {
        Commit {
            conditions: self.view.clone(),
            on_run,
            change,
        }
    }

    /// Its record appeared: it leads.
    fn become_leader(&mut self, term: &Term, now: u64, mistake: Mistake) {
        let named = self.view.leader.value.as_ref();
        let named = named.map(|leader| leader.lease);
        let mut leases = self.leases.iter();
        self.lease = leases.find(|lease| Some(lease.lease) == named).copied();
        let fence = self.view.highest.value.fence;
        let fence = fence.filter(|fence| fence.token == term.token);
        let wait_ms = match mistake {
            Mistake::NoFence => 0,
            _ => fence.map_or(0, |fence| fence.ms),
        };
        self.leadership = Some(Leadership {
            token: term.token,
            shard_token: self.view.shard_token.value,
            cloud_from: now + wait_ms,
            own: None,
            planned_at: now,
        });
        self.is_leader = true;
    }

    fn renew_lease(&mut self, leases: &mut [u64], now: u64) {
        if let Some(lease) = &mut self.lease
            && leases[lease.lease] >= now
        {
            leases[lease.lease] = now + LEADER_LEASE_MS;
            lease.renewed_at = now;
        }
    }
}

impl World {
    /// Whether a controller runs and isn't paused.
    pub(super) fn acts(&self, controller: usize) -> bool {
        self.controllers[controller].up && !self.controllers[controller].paused
    }

    /// A controller reads all records; an owner learns what came of its commits.
    pub(crate) fn read(&mut self, place: usize) {
        if !self.acts(place) {
            return;
        }
        let (now, mistake) = (self.now, self.mistake);
        let controller = &mut self.controllers[place];
        (controller.view, controller.read_at) = (self.records.clone(), now);
        let leader = controller.view.leader.value.as_ref();
        let term = leader.map(|leader| leader.term.clone());
        controller.standby.set_term(now, term.clone());
        let own =
            term.filter(|t| t.leader == name(place) && t.incarnation == controller.incarnation);
        let Some(term) = own else {
            controller.leadership = None;
            controller.is_leader = false;
            return;
        };
        let leadership = controller.leadership.as_ref();
        if leadership.is_none_or(|leadership| leadership.token != term.token) {
            controller.become_leader(&term, now, mistake);
        }
        if let (Some(leadership), Some(placed)) =
            (&mut controller.leadership, controller.view.run.value)
            && placed.token() == leadership.shard_token
        {
            leadership.own = Some(placed);
        }
    }

    /// A controller does what is due: heartbeats, renewal, an election, the plan.
    pub(crate) fn tick(&mut self, place: usize) {
        if !self.acts(place) {
            return;
        }
        let now = self.now;
        if let Some(heartbeat) = self.controllers[place].standby.tick(now) {
            self.broadcast_heartbeat(place, &heartbeat);
        }
        let controller = &mut self.controllers[place];
        if controller.leadership.is_some() {
            controller.renew_lease(&mut self.leases, now);
            return self.plan(place);
        }
        let vacant = controller.view.leader.value.is_none();
        let fresh = now - controller.read_at < LEADER_LEASE_MS;
        if fresh && (vacant || controller.standby.may_replace(now).is_ok()) {
            self.stand_for_election(place);
        }
    }

    fn stand_for_election(&mut self, place: usize) {
        self.leases.push(self.now + LEADER_LEASE_MS);
        let lease = self.leases.len() - 1;
        let controller = &mut self.controllers[place];
        controller.leases.push(Lease {
            lease,
            renewed_at: self.now,
        });
        let view = &controller.view;
        let replaced = view.leader.value.as_ref();
        let replaced = replaced.filter(|leader| leader.term.leader != name(place));
        let predecessors = Predecessors {
            replaced_lease_ms: replaced.and_then(|leader| leader.term.fenced_ms),
            fence: match self.mistake {
                Mistake::FenceForgotten => None,
                _ => view.highest.value.fence,
            },
            plan_token: view.plan_token,
        };
        let token = view.highest.value.token + 1;
        let term = Term {
            leader: name(place),
            incarnation: controller.incarnation,
            token,
            fenced_ms: Some(LEADER_LEASE_MS),
        };
        let change = Change::Elect {
            leader: Leader { term, lease },
            fence: predecessors.fence(token),
        };
        self.commits.push(controller.commit(change, false));
    }

    /// The token under which a leader may call the cloud: it takes its lease to be alive and its
    /// record to be there.
    fn may_call_cloud(&self, place: usize) -> Option<u64> {
        let controller = &self.controllers[place];
        let leadership = controller.leadership.as_ref();
        let leadership = leadership.filter(|leadership| self.now >= leadership.cloud_from)?;
        let recent = |at: u64| self.now - at < LEADER_LEASE_MS;
        let renewed = controller
            .lease
            .is_some_and(|lease| recent(lease.renewed_at));
        let read = recent(controller.read_at) || self.mistake == Mistake::CallsWithoutReading;
        (renewed && read).then_some(leadership.token)
    }

    fn plan(&mut self, place: usize) {
        let Some(token) = self.may_call_cloud(place) else {
            return;
        };
        let now = self.now;
        let controller = &mut self.controllers[place];
        let leadership = controller.leadership.as_mut();
        let due = leadership.filter(|leadership| now >= leadership.planned_at + PLAN_MS);
        if let Some(leadership) = due {
            leadership.planned_at = now;
            let commit = controller.commit(Change::Plan(token), false);
            self.commits.push(commit);
        }
    }

    /// A leader rents or deletes something, if it takes itself to be allowed to.
    pub(crate) fn call_cloud(&mut self, place: usize) {
        if !self.acts(place) {
            return;
        }
        let Some(token) = self.may_call_cloud(place) else {
            return;
        };
        let latest = self.latest_call;
        if token < latest {
            self.fail(Violation::OutdatedCloudCall { token, latest });
        }
        self.latest_call = latest.max(token);
    }

    /// An owner places the task if it knows of no placement.
    pub(crate) fn place(&mut self, place: usize, machine: usize) {
        if !self.acts(place) {
            return;
        }
        let early = self.mistake == Mistake::OrdersBeforeCaughtUp;
        let controller = &self.controllers[place];
        let Some(leadership) = &controller.leadership else {
            return;
        };
        let known = match early {
            true => leadership.own,
            false => controller.view.run.value,
        };
        if known.is_some() {
            return;
        }
        let first = Placed::first_attempt(leadership.shard_token);
        let attempt = first + self.commits.len() as u64 + self.now % ATTEMPT_MOMENTS;
        let change = Change::Place(Placed { machine, attempt });
        self.commits.push(controller.commit(change, !early));
    }

    /// An owner has a proof that the task is gone.
    pub(super) fn commit_gone(&mut self, place: usize) {
        let commit = self.controllers[place].commit(Change::Gone, true);
        self.commits.push(commit);
    }

    pub(crate) fn pause(&mut self, place: usize, pause: bool) {
        self.controllers[place].paused = pause;
    }

    /// A process ends; the next one of the same controller begins, or doesn't yet.
    pub(crate) fn restart(&mut self, place: usize, up: bool) {
        let incarnation = self.controllers[place].incarnation + 1;
        self.controllers[place] = Controller::process(place, incarnation, up);
    }
}
