//! Who leads. The leader's key hangs on a grant of a few seconds; whoever commits it
//! next leads from then on, and takes over the blocks of those who are gone under
//! higher numbers in the same commit.
//!
//! A leader that a majority has lost is replaced before its grant's end (package `standby`). The
//! commit is conditional on its record, as any other; only calls to the cloud, which carry no
//! condition, rest on the grant, and wait for as long as the old leader's may go out
//! (`may_use_cloud`).

use crate::controller::events::Reply;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::shard::Holder;
use crate::controller::store::mirror::Slot;
use crate::controller::store::records::{BlockRec, Key, LeaderRec, NumberRec, Record};
use crate::controller::{BLIND_S, Core, DRIFT, Purpose};
use crate::ids::{Number, Time};
use crate::wire::{StateOp, StateReply, Write, commands_body};
use log::{info, warn};
use salttrestle_standby::fence::Predecessors;
use std::collections::VecDeque;

/// A grant got for standing.
#[derive(Clone, Copy, Debug)]
struct Grant {
    hold: u64,
    /// When it was asked for.
    asked: Time,
}

#[derive(Debug, Default)]
pub(crate) struct Election {
    /// The grant that the leader's key hangs on, while this controller leads.
    hold: Option<u64>,
    /// Grants got for standing, the latest last.
    grants: VecDeque<Grant>,
    /// The revision at which this controller won. Until the follow shows it, standing
    /// again would only lose to itself.
    won: u64,
    /// When the latest request that renewed the grant was sent.
    renewed: Time,
    busy: bool,
    extend_at: Time,
    /// Since when there has been no leader, or it may be replaced.
    vacant: Option<Time>,
    /// Not standing before this.
    rest_until: Time,
}

/// Pause by rank before standing, so that one is usually enough.
const STAND_GAP_S: f64 = 0.1;
/// Share of a grant's life after which it is renewed.
const RENEW: f64 = 0.3;
/// A grant that was got beforehand is used to stand within this share of its life.
const PREPARED: f64 = 0.3;
/// Grants remembered: attempts that may still turn out to have won.
const GRANTS_MAX: usize = 8;
/// Rest after giving up leadership, in lives of a grant.
const REST: f64 = 4.0;
/// For late timers, on top of the time for which a predecessor may call the cloud, in seconds.
const FENCE_MARGIN_S: f64 = 0.2;

impl Core {
    pub(crate) fn election_housekeeping(&mut self) {
        if self.lead.is_some() {
            self.extend();
        } else if !self.draining() {
            self.stand();
        }
    }

    /// Whether the leader's grant surely lives, and it has read its own record as lately: whoever
    /// replaced that record counts on both.
    pub(crate) fn grant_alive(&self) -> bool {
        let ttl = self.settings.tuning.grant_s;
        let renewed = self.now.since(self.election.renewed) < ttl;
        self.lead.is_some() && renewed && self.blind_s() < ttl
    }

    /// Whether this leader may rent and delete. Calls to the cloud have no condition that an
    /// outdated leader would fail.
    pub(crate) fn may_use_cloud(&self) -> bool {
        self.grant_alive() && !self.fenced()
    }

    /// Whether a leader before this one may still call the cloud.
    pub(crate) fn fenced(&self) -> bool {
        let lead = self.lead.as_ref();
        lead.is_some_and(|lead| self.now < lead.cloud_from)
    }

    /// Within how long after a read of its own record a leader of this release calls the cloud.
    fn fenced_ms(&self) -> u64 {
        (self.settings.tuning.grant_s.max(BLIND_S) * 1000.0) as u64
    }

    /// From when a leader that has just been elected may call the cloud.
    pub(crate) fn cloud_from(&self, number: Number) -> Time {
        let rec = self.cache.number.rec.as_ref();
        let fence = rec.and_then(|n| n.fence).filter(|f| f.number == number.0);
        match fence {
            None => self.now,
            Some(fence) => {
                let wait_s = fence.ms as f64 / 1000.0;
                self.now.after(wait_s * (1.0 + DRIFT) + FENCE_MARGIN_S)
            }
        }
    }

    fn extend(&mut self) {
        let Some(hold) = self.election.hold else {
            return;
        };
        if self.election.busy || self.now < self.election.extend_at {
            return;
        }
        let op = StateOp::Extend(hold);
        if self
            .state_call(op, Purpose::Extend, Priority::First)
            .is_ok()
        {
            self.election.busy = true;
            let ttl = self.settings.tuning.grant_s;
            self.election.extend_at = self.now.after(ttl * RENEW);
        }
    }

    pub(crate) fn on_extended(&mut self, reply: StateReply, sent: Time) {
        self.election.busy = false;
        match reply {
            StateReply::Extended => self.election.renewed = sent,
            StateReply::NoGrant => self.stop_leading("its grant is over"),
            _ => {}
        }
    }

    /// Whether somebody leads, as far as is known.
    fn taken(&self) -> bool {
        let me = &self.settings.platform.member;
        // Our own name under another boot is an earlier process of ours: gone.
        let leads = |l: &LeaderRec| l.member != *me || l.boot == self.boot;
        self.cache.leader.rec.as_ref().is_some_and(leads)
    }

    /// Whether the leader's record may be written: there is none, or its leader is lost.
    fn open(&self) -> bool {
        !self.taken() || self.may_replace_leader()
    }

    fn stand(&mut self) {
        if !self.open() || self.blind() || self.election.busy {
            self.election.vacant = None;
            return self.prepare();
        }
        if self.now < self.election.rest_until || self.cache.revision < self.election.won {
            return;
        }
        let vacant = *self.election.vacant.get_or_insert(self.now);
        if self.now.since(vacant) < STAND_GAP_S * self.rank() as f64 {
            return;
        }
        match self.prepared() {
            Some(grant) => self.commit_leadership(grant.hold),
            None => self.ask_for_grant(),
        }
    }

    /// How many others stand before this controller. A lost leader doesn't stand, nor does, as
    /// far as can be told, one that isn't heard: after an outage the first one back waited for
    /// those that weren't.
    fn rank(&self) -> usize {
        let me = &self.settings.platform.member;
        let lost = self.cache.leader.rec.as_ref().map(|l| &l.member);
        let heard = self.lately().map(|h| &h.from);
        heard.filter(|m| *m < me && Some(*m) != lost).count()
    }

    /// Gets a grant as soon as the leader is suspected, so that only the commit is left when a
    /// majority has lost it. One that isn't used runs out.
    fn prepare(&mut self) {
        let suspects = self.suspects_leader().is_some() && !self.blind();
        if suspects && !self.election.busy && self.prepared().is_none() {
            self.ask_for_grant();
        }
    }

    fn prepared(&self) -> Option<Grant> {
        let most_s = self.settings.tuning.grant_s * PREPARED;
        let young = |grant: &Grant| self.now.since(grant.asked) < most_s;
        self.election.grants.back().copied().filter(young)
    }

    fn ask_for_grant(&mut self) {
        let ttl_ms = (self.settings.tuning.grant_s * 1000.0) as u64;
        let op = StateOp::Grant { ttl_ms };
        if self.state_call(op, Purpose::Grant, Priority::First).is_ok() {
            self.election.busy = true;
        }
    }

    pub(crate) fn on_grant(&mut self, reply: StateReply, sent: Time) {
        self.election.busy = false;
        let StateReply::Granted(hold) = reply else {
            return;
        };
        // Somebody else won while the grant was asked for. The commit would be on condition
        // of that record, and take the leadership away again, with a second takeover.
        if !self.open() && self.suspects_leader().is_none() {
            let _ = self.state_call(StateOp::Release(hold), Purpose::Release, Priority::Last);
            return;
        }
        self.election.grants.push_back(Grant { hold, asked: sent });
        if self.election.grants.len() > GRANTS_MAX {
            self.election.grants.pop_front();
        }
        if self.election.vacant.is_some() && self.open() {
            self.commit_leadership(hold);
        }
    }

    /// What the records say of earlier leaders. The commit is conditional on the records of the
    /// leader and of the highest number; an older plan only makes the wait longer.
    fn predecessors(&self) -> Predecessors {
        let leader = self.cache.leader.rec.as_ref();
        let replaced = leader.filter(|_| self.taken());
        Predecessors {
            replaced_grant_ms: replaced.and_then(|l| l.fenced_ms),
            fence: self.cache.number.rec.as_ref().and_then(|n| n.fence),
            plan_number: self.cache.plan.rec.as_ref().map_or(0, |p| p.number.0),
        }
    }

    fn commit_leadership(&mut self, hold: u64) {
        // The leadership's own number comes first: rentals are named after it.
        let number = Number(self.cache.highest().0 + 1);
        let mut highest = number;
        let mut when = vec![
            (Key::Leader, self.cache.leader.version()),
            (Key::Number, self.cache.number.version()),
        ];
        let mut writes = Vec::new();
        // Two changes are kept for the leader's and the number's records.
        let most = self.settings.state_limits().txn_ops - 2;
        for block in self.blocks_to_take().into_iter().take(most) {
            highest.0 += 1;
            let (version, rec) = self.lease_to_me(block, highest);
            when.push((Key::Block(block), version));
            writes.push(Write::put(Key::Block(block), Record::Block(rec)));
        }
        let heartbeats = self.settings.standby().enabled();
        let leader = LeaderRec {
            member: self.settings.platform.member.clone(),
            boot: self.boot,
            number,
            hold,
            fenced_ms: heartbeats.then_some(self.fenced_ms()),
        };
        writes.push(Write::Put {
            key: Key::Leader,
            record: Record::Leader(leader),
            hold: Some(hold),
        });
        let fence = self.predecessors().fence(number.0);
        writes.push(Write::put(
            Key::Number,
            Record::Number(NumberRec { highest, fence }),
        ));
        let op = StateOp::Commit { when, writes };
        if self.state_call(op, Purpose::Elect, Priority::First).is_ok() {
            self.election.busy = true;
        }
    }

    /// Whatever the answer is, only the follow makes a leader: by then everything
    /// that the one before committed is known here as well.
    pub(crate) fn on_elected(&mut self, reply: StateReply) {
        self.election.busy = false;
        self.election.vacant = None;
        if let StateReply::Committed { revision } = reply {
            self.election.won = revision;
            self.follow_at_once();
        }
    }

    /// Whether this controller has won, and only the follow doesn't show it yet.
    pub(crate) fn has_won(&self) -> bool {
        self.cache.revision < self.election.won
    }

    /// Takes the grant that the leader's record names. A later attempt's grant stood in its
    /// place: the one that counted ran out unrenewed, and with it the leadership, after 3 s.
    fn take_grant(&mut self) {
        let rec = self.cache.leader.rec.as_ref();
        let named = rec.map_or(0, |l| l.hold);
        let mut grants = self.election.grants.drain(..);
        let found = grants.find(|grant| grant.hold == named);
        drop(grants);
        self.election.hold = found.map(|grant| grant.hold);
        self.election.renewed = found.map_or(Time(0), |grant| grant.asked);
    }

    /// The leader's, a block's, the number's or the plan's record changed.
    pub(crate) fn on_control(&mut self) {
        self.read_limits();
        self.tell_standby_of_leader();
        let me = &self.settings.platform.member;
        let rested = self.now >= self.election.rest_until;
        let leader = self.cache.leader.rec.as_ref();
        let leads = leader.is_some_and(|l| l.member == *me && l.boot == self.boot);
        if leads && self.lead.is_none() && rested {
            info!("leads from now on");
            self.election.extend_at = self.now;
            self.take_grant();
            self.start_leading();
        } else if !leads && self.lead.is_some() {
            self.stop_leading("its key is gone");
        }
        let blocks: Vec<(u32, Slot<BlockRec>)> = self
            .cache
            .blocks
            .iter()
            .map(|(k, slot)| (*k, slot.clone()))
            .collect();
        for (block, slot) in blocks {
            let Some(rec) = slot.rec else {
                continue;
            };
            // A number once given up is never used again: what was answered under it
            // is forgotten, and copies of reports from then may still come.
            let spent = self.spent.get(&block).is_some_and(|n| rec.number <= *n);
            let me = &self.settings.platform.member;
            let mine = rec.holder == *me && rec.boot == self.boot && !spent;
            self.sync_block(block, slot.revision, &rec, mine && rested);
        }
        self.obey_plan();
    }

    /// Brings what is held here in line with a block's record.
    fn sync_block(&mut self, block: u32, revision: u64, rec: &BlockRec, mine: bool) {
        let held = self
            .parked
            .get(&block)
            .map(|h| (h.number, h.block_revision));
        match held {
            Some((number, _)) if !mine || number != rec.number => {
                self.in_block(block, |core| core.drop_block("it has another holder"));
            }
            Some((_, known)) if known == revision => return,
            _ => {}
        }
        if !mine {
            return;
        }
        let fresh = !self.parked.contains_key(&block);
        if fresh {
            info!("holds block {block} under number {}", rec.number.0);
            let shares_limits = self.settings.cells.is_some();
            let holder = Holder::new(block, rec.number, self.now, shares_limits);
            self.parked.insert(block, Box::new(holder));
        }
        self.share_budgets();
        self.in_block(block, |core| {
            if fresh {
                core.rebuild();
            }
            if let Some(h) = &mut core.holder {
                h.sync(core.now, revision, rec, &core.catalog);
            }
        });
        if fresh {
            // Reports wait elsewhere for the holder: their controllers learn of it at once.
            self.say_hello();
        }
    }

    /// Stops acting as the holder of the block in hand. Always safe: another process
    /// takes over by a commit.
    pub(crate) fn drop_block(&mut self, why: &str) {
        let Some(holder) = self.holder.take() else {
            return;
        };
        warn!("no longer holds block {}: {why}", holder.block);
        self.spent.insert(holder.block, holder.number);
        self.share_budgets();
        // Its workers stay where they are until there is a new holder. An answer under
        // the number given up is worth nothing to those that have shown a higher one.
        for req in holder.held_requests() {
            let body = commands_body(holder.number, &[]);
            self.answer(req, Reply::ok(200, body));
        }
    }

    fn stop_leading(&mut self, why: &str) {
        if self.lead.take().is_some() {
            warn!("no longer leads: {why}");
        }
        self.election.hold = None;
        self.election.busy = false;
        self.share_budgets();
    }

    /// Gives up everything this controller holds.
    pub(crate) fn give_up(&mut self, why: &str) {
        self.stop_leading(why);
        let blocks: Vec<u32> = self.parked.keys().copied().collect();
        for block in blocks {
            self.in_block(block, |core| core.drop_block(why));
        }
    }

    /// Gives up everything and rests, when this controller can't do the work.
    pub(crate) fn resign(&mut self, why: &str) {
        let ttl = self.settings.tuning.grant_s;
        self.election.rest_until = self.now.after(ttl * REST);
        let hold = self.election.hold;
        self.drop_block(why);
        self.give_up(why);
        // Its key goes with the grant, so that nobody waits for its end.
        if let Some(hold) = hold {
            self.release_when_quiet(hold);
        }
    }
}
