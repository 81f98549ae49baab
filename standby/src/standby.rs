//! How a controller that doesn't lead stands by: it hears the leader, tells the others when it has
//! lost it, and may replace it once a majority has.

use crate::detector::{Detector, Suspicion};
use crate::hints::{HintStore, Hints};
use crate::message::Heartbeat;
use crate::{Config, ControllerId, Millis};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Controllers that don't lead say so often that they run; what counts is that the others know
/// their release, and how they see the leader once they have lost it.
const ANNOUNCE_MS: Millis = 1_000;
/// A vote counts for so many heartbeat intervals after it came.
const VOTE_INTERVALS: Millis = 3;
const MINUTE_MS: Millis = 60_000;

/// One leadership, as its record shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Term {
    /// Who leads.
    pub leader: ControllerId,
    /// Which of its processes.
    pub incarnation: u64,
    /// The leadership's number.
    pub token: u64,
    /// The time within which the leader must have read its own record before it calls the cloud.
    /// Without it nobody may replace it before its lease's end.
    pub fenced_ms: Option<Millis>,
}

/// A peer has lost the leader of a number.
#[derive(Clone, Copy, Debug)]
struct Vote {
    token: u64,
    at: Millis,
}

/// Why a leader isn't replaced though it is suspected here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// Nobody is suspected.
    NotSuspected,
    /// The leader's cloud calls don't rest on reads of its own record.
    NotFenced,
    /// A controller may run a release that knows nothing of this.
    UnknownRelease,
    /// No majority has lost the leader.
    NoMajority,
    /// Leadership has changed too often lately.
    TooMany,
}

/// The standby's state in one controller.
#[derive(Debug)]
pub struct Standby {
    config: Config,
    me: ControllerId,
    incarnation: u64,
    peers: BTreeSet<ControllerId>,
    term: Option<Term>,
    detector: Detector,
    votes: BTreeMap<ControllerId, Vote>,
    /// Peers that have sent heartbeats since this process began: none of them will ever run an
    /// older release again.
    announced: BTreeSet<ControllerId>,
    /// When leadership changed within the last minute.
    changes: VecDeque<Millis>,
    next_heartbeat: Millis,
    was_suspected: bool,
    hints: HintStore,
    /// Hints of others than the present leader, which were dropped.
    pub stale_hints: u64,
}

impl Standby {
    /// The state of a process that has just begun.
    pub fn new(
        config: Config,
        me: &str,
        incarnation: u64,
        peers: impl Iterator<Item = ControllerId>,
    ) -> Self {
        Self {
            config,
            me: me.into(),
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

    /// The leader's record is as follows; `None` if there is none.
    pub fn set_term(&mut self, now: Millis, term: Option<Term>) {
        if term == self.term {
            return;
        }
        let token = |term: &Option<Term>| term.as_ref().map(|t| t.token);
        if term.is_some() && token(&term) != token(&self.term) {
            self.changes.push_back(now);
            self.detector = Detector::default();
            self.votes.clear();
            // The new one tells at once that it runs.
            self.next_heartbeat = now;
        }
        self.term = term;
    }

    /// A heartbeat came.
    pub fn on_heartbeat(&mut self, now: Millis, beat: &Heartbeat) {
        if !self.peers.contains(&beat.from) {
            return;
        }
        self.announced.insert(beat.from.clone());
        let Some(term) = &self.term else {
            return;
        };
        if beat.is_leader && beat.from == term.leader && beat.token == term.token {
            if beat.incarnation == term.incarnation {
                self.detector.heard(now);
            }
        } else if beat.lost {
            let token = beat.token;
            self.votes
                .insert(beat.from.clone(), Vote { token, at: now });
        } else {
            self.votes.remove(&beat.from);
        }
    }

    /// Hints came. Only those of the present leader are taken.
    pub fn on_hints(&mut self, now: Millis, hints: Hints) {
        let of_leader = |t: &Term| t.leader == hints.from && t.token == hints.token;
        if self.term.as_ref().is_some_and(of_leader) {
            self.hints.take(now, hints);
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

    /// What the hints have told.
    pub fn hints(&self) -> &HintStore {
        &self.hints
    }

    /// Whether the present leader has been lost here, and why.
    pub fn suspicion(&self, now: Millis) -> Option<Suspicion> {
        let term = self.term.as_ref()?;
        if !self.config.enabled() || term.leader == self.me {
            return None;
        }
        self.detector.suspicion(&self.config, now)
    }

    /// Whether the leader's record may be replaced before its lease's end.
    pub fn may_replace(&self, now: Millis) -> Result<(), Hold> {
        let Some(term) = self.term.as_ref().filter(|_| self.suspicion(now).is_some()) else {
            return Err(Hold::NotSuspected);
        };
        if term.fenced_ms.is_none() {
            return Err(Hold::NotFenced);
        }
        if !self.peers.is_subset(&self.announced) {
            return Err(Hold::UnknownRelease);
        }
        if self.lost_by(now, term) * 2 <= self.peers.len() + 1 {
            return Err(Hold::NoMajority);
        }
        match self.changes_lately(now) < self.config.takeovers_per_minute as usize {
            true => Ok(()),
            false => Err(Hold::TooMany),
        }
    }

    /// How many controllers, this one included, have lost the leader.
    fn lost_by(&self, now: Millis, term: &Term) -> usize {
        let life_ms = VOTE_INTERVALS * self.config.heartbeat_ms;
        let counts = |(controller_id, vote): &(&ControllerId, &Vote)| {
            let fresh = now.saturating_sub(vote.at) <= life_ms;
            **controller_id != term.leader && vote.token == term.token && fresh
        };
        1 + self.votes.iter().filter(counts).count()
    }

    /// How often leadership changed within the last minute.
    pub fn changes_lately(&self, now: Millis) -> usize {
        let lately = |at: &&Millis| now.saturating_sub(**at) < MINUTE_MS;
        self.changes.iter().filter(lately).count()
    }

    /// How long ago the leader was heard; `None` if it wasn't, or is this controller.
    pub fn leader_silent_ms(&self, now: Millis) -> Option<Millis> {
        self.detector.silent_ms(now)
    }

    /// The heartbeat that is due, if one is.
    pub fn tick(&mut self, now: Millis) -> Option<Heartbeat> {
        if !self.config.enabled() {
            return None;
        }
        while let Some(at) = self.changes.front()
            && now.saturating_sub(*at) >= MINUTE_MS
        {
            self.changes.pop_front();
        }
        let lost = self.suspicion(now).is_some();
        let news = lost != self.was_suspected;
        if !news && now < self.next_heartbeat {
            return None;
        }
        self.was_suspected = lost;
        let is_leader = |t: &Term| t.leader == self.me && t.incarnation == self.incarnation;
        let is_leader = self.term.as_ref().is_some_and(is_leader);
        let pause_ms = match is_leader || lost {
            true => self.config.heartbeat_ms,
            false => ANNOUNCE_MS.max(self.config.heartbeat_ms),
        };
        self.next_heartbeat = now + pause_ms;
        Some(Heartbeat {
            from: self.me.clone(),
            incarnation: self.incarnation,
            token: self.term.as_ref().map_or(0, |t| t.token),
            is_leader,
            lost,
        })
    }
}
