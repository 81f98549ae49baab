//! The standby of one controller: it monitors the leader's heartbeats, tells the other controllers
//! when it suspects the leader, and decides whether the leader may be replaced because a majority
//! suspects it.

use crate::detector::{Detector, Suspicion};
use crate::hints::{HintStore, Hints};
use crate::message::Heartbeat;
use crate::{Config, ControllerId, Millis};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use thiserror::Error;

/// Interval between two heartbeats of a controller that doesn't lead, in milliseconds. These
/// heartbeats only show that the controller's release has a standby. A controller that suspects the
/// leader sends heartbeats as often as a leader does.
const FOLLOWER_HEARTBEAT_MS: Millis = 1_000;
/// Time for which a vote counts after its arrival, in heartbeat intervals.
const VOTE_LIFETIME_INTERVALS: Millis = 3;
const MINUTE_MS: Millis = 60_000;

/// The current leader and its term, as the leader's record in the store shows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Term {
    /// The controller that leads.
    pub leader: ControllerId,
    /// The incarnation of the leader's process.
    pub incarnation: u64,
    /// The token under which the leader leads.
    pub token: u64,
    /// Maximum age of the leader's latest read of its own record when it calls the cloud, in
    /// milliseconds. If it is `None`, the leader must not be replaced before its lease expires.
    pub fenced_ms: Option<Millis>,
}

/// A peer's report that it suspects the leader with a token.
#[derive(Clone, Copy, Debug)]
struct Vote {
    token: u64,
    received_at: Millis,
}

/// Why the leader must not be replaced before its lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotReplaceable {
    /// This controller doesn't suspect the leader, or there is no leader.
    #[error("this controller suspects no leader")]
    NotSuspected,
    /// The leader's calls to the cloud aren't known to require a recent read of its own record.
    #[error("the leader's calls to the cloud aren't known to be fenced")]
    NotFenced,
    /// A peer hasn't sent a heartbeat since this process started, so its release may have no
    /// standby.
    #[error("a controller may run a release without a standby")]
    UnknownRelease,
    /// Fewer than a majority of the controllers suspect the leader.
    #[error("no majority of the controllers suspects the leader")]
    NoMajority,
    /// Leadership has changed [`Config::takeovers_per_minute`] times or more within the last
    /// minute.
    #[error("leadership has changed too often within the last minute")]
    TooMany,
}

/// The state of the standby in one controller.
#[derive(Debug)]
pub struct Standby {
    config: Config,
    controller_id: ControllerId,
    incarnation: u64,
    peers: BTreeSet<ControllerId>,
    term: Option<Term>,
    detector: Detector,
    votes: BTreeMap<ControllerId, Vote>,
    /// Peers that have sent a heartbeat since this process started. It is assumed that none of them
    /// goes back to a release without a standby.
    peers_with_standby: BTreeSet<ControllerId>,
    /// The times of the leadership changes within the last minute.
    leadership_changes: VecDeque<Millis>,
    next_heartbeat_at: Millis,
    last_heartbeat_suspects_leader: bool,
    hints: HintStore,
    /// Number of hint messages dropped because their sender isn't the current leader.
    pub stale_hints: u64,
}

impl Standby {
    /// Creates the state of a process that has just started. `peers` are the other controllers.
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
            peers_with_standby: BTreeSet::new(),
            leadership_changes: VecDeque::new(),
            next_heartbeat_at: 0,
            last_heartbeat_suspects_leader: false,
            hints: HintStore::default(),
            stale_hints: 0,
        }
    }

    /// Stores what a read of the leader's record has returned; `None` if there is no record.
    pub fn set_term(&mut self, now: Millis, term: Option<Term>) {
        if term == self.term {
            return;
        }
        let token = |term: &Option<Term>| term.as_ref().map(|t| t.token);
        if term.is_some() && token(&term) != token(&self.term) {
            self.leadership_changes.push_back(now);
            self.detector = Detector::default();
            self.votes.clear();
            // A new leader sends a heartbeat at once.
            self.next_heartbeat_at = now;
        }
        self.term = term;
    }

    /// Handles a heartbeat of a peer. If the peer doesn't lead and no longer suspects the leader,
    /// its vote is withdrawn.
    pub fn on_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        if !self.peers.contains(&heartbeat.from) {
            return;
        }
        self.peers_with_standby.insert(heartbeat.from.clone());
        let Some(term) = &self.term else {
            return;
        };
        if heartbeat.is_leader && heartbeat.from == term.leader && heartbeat.token == term.token {
            if heartbeat.incarnation == term.incarnation {
                self.detector.record_heartbeat(now);
            }
        } else if heartbeat.suspects_leader {
            let token = heartbeat.token;
            self.votes.insert(
                heartbeat.from.clone(),
                Vote {
                    token,
                    received_at: now,
                },
            );
        } else {
            self.votes.remove(&heartbeat.from);
        }
    }

    /// Handles hints. Only those of the current leader are stored.
    pub fn on_hints(&mut self, now: Millis, hints: Hints) {
        let is_from_leader = |term: &Term| term.leader == hints.from && term.token == hints.token;
        if self.term.as_ref().is_some_and(is_from_leader) {
            self.hints.add(now, hints);
        } else {
            self.stale_hints += 1;
        }
    }

    /// Handles a connection to a peer that is lost or refused.
    pub fn on_disconnected(&mut self, now: Millis, controller_id: &str) {
        if self
            .term
            .as_ref()
            .is_some_and(|t| t.leader == controller_id)
        {
            self.detector.record_disconnect(now);
        }
    }

    /// The hints that this controller has received.
    pub fn hints(&self) -> &HintStore {
        &self.hints
    }

    /// Why this controller suspects the current leader; `None` if it doesn't.
    pub fn suspicion(&self, now: Millis) -> Option<Suspicion> {
        let term = self.term.as_ref()?;
        if !self.config.is_enabled() || term.leader == self.controller_id {
            return None;
        }
        self.detector.suspicion(&self.config, now)
    }

    /// Whether this controller may replace the leader's record before the lease expires. `Err` has
    /// the reason why it must not.
    pub fn may_replace(&self, now: Millis) -> Result<(), NotReplaceable> {
        let Some(term) = self.term.as_ref().filter(|_| self.suspicion(now).is_some()) else {
            return Err(NotReplaceable::NotSuspected);
        };
        if term.fenced_ms.is_none() {
            return Err(NotReplaceable::NotFenced);
        }
        if !self.peers.is_subset(&self.peers_with_standby) {
            return Err(NotReplaceable::UnknownRelease);
        }
        if self.count_suspecting(now, term) * 2 <= self.peers.len() + 1 {
            return Err(NotReplaceable::NoMajority);
        }
        match self.recent_leadership_changes(now) < self.config.takeovers_per_minute as usize {
            true => Ok(()),
            false => Err(NotReplaceable::TooMany),
        }
    }

    /// Number of controllers that suspect the leader, this one included.
    fn count_suspecting(&self, now: Millis, term: &Term) -> usize {
        let lifetime_ms = VOTE_LIFETIME_INTERVALS * self.config.heartbeat_ms;
        let is_valid = |(controller_id, vote): &(&ControllerId, &Vote)| {
            let is_recent = now.saturating_sub(vote.received_at) <= lifetime_ms;
            **controller_id != term.leader && vote.token == term.token && is_recent
        };
        1 + self.votes.iter().filter(is_valid).count()
    }

    /// Number of leadership changes within the last minute.
    pub fn recent_leadership_changes(&self, now: Millis) -> usize {
        let recent = |at: &&Millis| now.saturating_sub(**at) < MINUTE_MS;
        self.leadership_changes.iter().filter(recent).count()
    }

    /// The time since the leader's last heartbeat, in milliseconds; `None` if none has arrived or
    /// this controller leads.
    pub fn leader_silent_ms(&self, now: Millis) -> Option<Millis> {
        self.detector.silent_ms(now)
    }

    /// Returns the heartbeat to broadcast if one is due. One is due at the regular interval, and at
    /// once when this controller starts or stops suspecting the leader.
    pub fn tick(&mut self, now: Millis) -> Option<Heartbeat> {
        if !self.config.is_enabled() {
            return None;
        }
        while let Some(at) = self.leadership_changes.front()
            && now.saturating_sub(*at) >= MINUTE_MS
        {
            self.leadership_changes.pop_front();
        }
        let suspects_leader = self.suspicion(now).is_some();
        let has_changed = suspects_leader != self.last_heartbeat_suspects_leader;
        if !has_changed && now < self.next_heartbeat_at {
            return None;
        }
        self.last_heartbeat_suspects_leader = suspects_leader;
        let is_leader =
            |t: &Term| t.leader == self.controller_id && t.incarnation == self.incarnation;
        let is_leader = self.term.as_ref().is_some_and(is_leader);
        let interval_ms = match is_leader || suspects_leader {
            true => self.config.heartbeat_ms,
            false => FOLLOWER_HEARTBEAT_MS.max(self.config.heartbeat_ms),
        };
        self.next_heartbeat_at = now + interval_ms;
        Some(Heartbeat {
            from: self.controller_id.clone(),
            incarnation: self.incarnation,
            token: self.term.as_ref().map_or(0, |t| t.token),
            is_leader,
            suspects_leader,
        })
    }
}
