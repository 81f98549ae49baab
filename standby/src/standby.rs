//! The standby of a controller that doesn't lead: it watches the leader's heartbeats, tells the
//! others when it suspects the leader, and may replace it once a majority does.

use crate::detector::{Detector, Suspicion};
use crate::hints::{HintStore, Hints};
use crate::message::Heartbeat;
use crate::{Config, ControllerId, Millis};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use thiserror::Error;

/// Interval between heartbeats of controllers that don't lead: these only show that their release
/// takes part, and once they suspect the leader they are sent as often as the leader's.
const ANNOUNCE_MS: Millis = 1_000;
/// A vote counts for so many heartbeat intervals after it arrived.
const VOTE_INTERVALS: Millis = 3;
const MINUTE_MS: Millis = 60_000;

/// One leadership, as its record shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Term {
    /// Who leads.
    pub leader: ControllerId,
    /// Which of its processes.
    pub incarnation: u64,
    /// The leadership's token.
    pub token: u64,
    /// The time within which the leader must have read its own record before it calls the cloud.
    /// Without it the leader mustn't be replaced before its lease expires.
    pub fenced_ms: Option<Millis>,
}

/// A peer suspects the leader of a token.
#[derive(Clone, Copy, Debug)]
struct Vote {
    token: u64,
    at: Millis,
}

/// Why the leader mustn't be replaced before its lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotReplaceable {
    /// The leader isn't suspected here, or there is none.
    #[error("no leader is suspected")]
    NotSuspected,
    /// The leader may call the cloud without reading its own record.
    #[error("the leader isn't fenced")]
    NotFenced,
    /// A controller may run a release without a standby.
    #[error("a controller may run a release without a standby")]
    UnknownRelease,
    /// No majority suspects the leader.
    #[error("no majority suspects the leader")]
    NoMajority,
    /// Leadership has changed too often in the last minute.
    #[error("leadership has changed too often")]
    TooMany,
}

/// The standby's state in one controller.
#[derive(Debug)]
pub struct Standby {
    config: Config,
    controller_id: ControllerId,
    incarnation: u64,
    peers: BTreeSet<ControllerId>,
    term: Option<Term>,
    detector: Detector,
    votes: BTreeMap<ControllerId, Vote>,
    /// Peers that have sent heartbeats since this process started: none of them will run an older
    /// release again.
    announced: BTreeSet<ControllerId>,
    /// When leadership changed within the last minute.
    changes: VecDeque<Millis>,
    next_heartbeat: Millis,
    was_suspected: bool,
    hints: HintStore,
    /// Messages with hints of others than the present leader, which were dropped.
    pub stale_hints: u64,
}

impl Standby {
    /// The state of a process that has just started.
    pub fn new(
        config: Config,
        controller_id: &str,
        incarnation: u64,
        peers: impl Iterator<Item = ControllerId>,
    ) -> Self {
        Self {
            config,
            controller_id: controller_id.into(),
            incarnation,
            peers: peers.collect(),
            term: None,
            detector: Detector::default(),
            votes: BTreeMap::new(),
            announced: BTreeSet::new(),
            changes: VecDeque::new(),
            next_heartbeat: 0,
            was_suspected: false,
            hints: HintStore::default(),
            stale_hints: 0,
        }
    }

    /// The leader's record has been read; `None` if there is none.
    pub fn set_term(&mut self, now: Millis, term: Option<Term>) {
        if term == self.term {
            return;
        }
        let token = |term: &Option<Term>| term.as_ref().map(|t| t.token);
        if term.is_some() && token(&term) != token(&self.term) {
            self.changes.push_back(now);
            self.detector = Detector::default();
            self.votes.clear();
            // The new leader sends a heartbeat at once.
            self.next_heartbeat = now;
        }
        self.term = term;
    }

    /// A heartbeat of a peer has arrived.
    pub fn on_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        if !self.peers.contains(&heartbeat.from) {
            return;
        }
        self.announced.insert(heartbeat.from.clone());
        let Some(term) = &self.term else {
            return;
        };
        if heartbeat.is_leader && heartbeat.from == term.leader && heartbeat.token == term.token {
            if heartbeat.incarnation == term.incarnation {
                self.detector.heard(now);
            }
        } else if heartbeat.lost {
            let token = heartbeat.token;
            self.votes
                .insert(heartbeat.from.clone(), Vote { token, at: now });
        } else {
            self.votes.remove(&heartbeat.from);
        }
    }

    /// Hints have arrived. Only those of the present leader are used.
    pub fn on_hints(&mut self, now: Millis, hints: Hints) {
        let of_leader = |t: &Term| t.leader == hints.from && t.token == hints.token;
        if self.term.as_ref().is_some_and(of_leader) {
            self.hints.add(now, hints);
        } else {
            self.stale_hints += 1;
        }
    }

    /// The connection to a peer is lost, or refused.
    pub fn on_disconnected(&mut self, now: Millis, controller_id: &str) {
        if self
            .term
            .as_ref()
            .is_some_and(|t| t.leader == controller_id)
        {
            self.detector.disconnected(now);
        }
    }

    /// The hints received so far.
    pub fn hints(&self) -> &HintStore {
        &self.hints
    }

    /// Whether this controller suspects the present leader, and why.
    pub fn suspicion(&self, now: Millis) -> Option<Suspicion> {
        let term = self.term.as_ref()?;
        if !self.config.is_enabled() || term.leader == self.controller_id {
            return None;
        }
        self.detector.suspicion(&self.config, now)
    }

    /// Whether the leader's record may be replaced before its lease expires.
    pub fn may_replace(&self, now: Millis) -> Result<(), NotReplaceable> {
        let Some(term) = self.term.as_ref().filter(|_| self.suspicion(now).is_some()) else {
            return Err(NotReplaceable::NotSuspected);
        };
        if term.fenced_ms.is_none() {
            return Err(NotReplaceable::NotFenced);
        }
        if !self.peers.is_subset(&self.announced) {
            return Err(NotReplaceable::UnknownRelease);
        }
        if self.suspecting(now, term) * 2 <= self.peers.len() + 1 {
            return Err(NotReplaceable::NoMajority);
        }
        match self.recent_leadership_changes(now) < self.config.takeovers_per_minute as usize {
            true => Ok(()),
            false => Err(NotReplaceable::TooMany),
        }
    }

    /// How many controllers, this one included, suspect the leader.
    fn suspecting(&self, now: Millis, term: &Term) -> usize {
        let life_ms = VOTE_INTERVALS * self.config.heartbeat_ms;
        let counts = |(controller_id, vote): &(&ControllerId, &Vote)| {
            let fresh = now.saturating_sub(vote.at) <= life_ms;
            **controller_id != term.leader && vote.token == term.token && fresh
        };
        1 + self.votes.iter().filter(counts).count()
    }

    /// How often leadership changed within the last minute.
    pub fn recent_leadership_changes(&self, now: Millis) -> usize {
        let recent = |at: &&Millis| now.saturating_sub(**at) < MINUTE_MS;
        self.changes.iter().filter(recent).count()
    }

    /// The time since the leader's last heartbeat; `None` without one, or if this controller leads.
    pub fn leader_silent_ms(&self, now: Millis) -> Option<Millis> {
        self.detector.silent_ms(now)
    }

    /// The heartbeat that is due, if one is.
    pub fn tick(&mut self, now: Millis) -> Option<Heartbeat> {
        if !self.config.is_enabled() {
            return None;
        }
        while let Some(at) = self.changes.front()
            && now.saturating_sub(*at) >= MINUTE_MS
        {
            self.changes.pop_front();
        }
        let lost = self.suspicion(now).is_some();
        let changed = lost != self.was_suspected;
        if !changed && now < self.next_heartbeat {
            return None;
        }
        self.was_suspected = lost;
        let is_leader =
            |t: &Term| t.leader == self.controller_id && t.incarnation == self.incarnation;
        let is_leader = self.term.as_ref().is_some_and(is_leader);
        let pause_ms = match is_leader || lost {
            true => self.config.heartbeat_ms,
            false => ANNOUNCE_MS.max(self.config.heartbeat_ms),
        };
        self.next_heartbeat = now + pause_ms;
        Some(Heartbeat {
            from: self.controller_id.clone(),
            incarnation: self.incarnation,
            token: self.term.as_ref().map_or(0, |t| t.token),
            is_leader,
            lost,
        })
    }
}
