//! Who leads. The leader's key hangs on a grant of a few seconds; whoever commits it
//! next, together with the block's holder and a higher number, leads from then on.

use super::*;
use log::{info, warn};

#[derive(Debug, Default)]
pub(crate) struct Election {
    /// A grant got for standing, or the one the leader's key hangs on.
    hold: Option<u64>,
    /// When the latest request that renewed the grant was sent.
    renewed: Time,
    busy: bool,
    extend_at: Time,
    /// Since when there has been no leader.
    vacant: Option<Time>,
    /// Not standing before this.
    rest_until: Time,
}

/// Pause by rank before standing, so that one is usually enough.
const STAND_GAP_S: f64 = 0.1;
/// Share of a grant's life after which it is renewed.
const RENEW: f64 = 0.3;
/// Rest after giving up leadership, in lives of a grant.
const REST: f64 = 4.0;

impl Core {
    pub(crate) fn election_chores(&mut self) {
        if self.holder.is_some() {
            self.extend();
        } else {
            self.stand();
        }
    }

    /// Whether the leader's grant surely lives. Calls to the cloud have no condition
    /// that an outdated leader would fail, so they need this.
    pub(crate) fn grant_alive(&self) -> bool {
        let ttl = self.settings.tuning.grant_s;
        self.holder.is_some() && self.now.since(self.election.renewed) < ttl
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
            StateReply::NoGrant => self.step_down("its grant is over"),
            _ => {}
        }
    }

    fn stand(&mut self) {
        let me = &self.settings.platform.member;
        let taken = self.cache.leader.rec.as_ref().is_some_and(|l| {
            // Our own name under another boot is an earlier process of ours: gone.
            l.member != *me || l.boot == self.boot
        });
        if taken || self.blind() || self.election.busy {
            self.election.vacant = None;
            return;
        }
        if self.now < self.election.rest_until {
            return;
        }
        let vacant = *self.election.vacant.get_or_insert(self.now);
        let names = self.settings.platform.siblings.iter().map(|s| &s.member);
        let rank = names.filter(|m| *m < me).count();
        if self.now.since(vacant) < STAND_GAP_S * rank as f64 {
            return;
        }
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
        self.election.hold = Some(hold);
        self.election.renewed = sent;
        let number = Number(self.cache.highest().0 + 1);
        let member = self.settings.platform.member.clone();
        let boot = self.boot;
        let block = self.cache.blocks.get(&0).map_or(0, |b| b.version());
        let when = vec![
            (Key::Leader, self.cache.leader.version()),
            (Key::Number, self.cache.number.version()),
            (Key::Block(0), block),
        ];
        let leader = LeaderRec {
            member: member.clone(),
            boot,
            number,
        };
        let held = BlockRec {
            holder: member,
            boot,
            number,
        };
        let writes = vec![
            Write::Put {
                key: Key::Leader,
                record: Record::Leader(leader),
                hold: Some(hold),
            },
            Write::put(Key::Number, Record::Number(NumberRec { highest: number })),
            Write::put(Key::Block(0), Record::Block(held)),
        ];
        let op = StateOp::Commit { when, writes };
        if self.state_call(op, Purpose::Elect, Priority::First).is_ok() {
            self.election.busy = true;
        }
    }

    /// Whatever the answer is, only the follow makes a leader: by then everything
    /// that the one before committed is known here as well.
    pub(crate) fn on_elected(&mut self, _reply: StateReply) {
        self.election.busy = false;
        self.election.vacant = None;
    }

    /// The leader's, block's or number's record changed.
    pub(crate) fn on_control(&mut self) {
        let me = &self.settings.platform.member;
        let block = self.cache.blocks.get(&0).cloned().unwrap_or_default();
        let leads = self
            .cache
            .leader
            .rec
            .as_ref()
            .is_some_and(|l| l.member == *me && l.boot == self.boot);
        let held = block
            .rec
            .as_ref()
            .filter(|b| b.holder == *me && b.boot == self.boot);
        match (&self.holder, held) {
            (Some(h), Some(b)) if h.block_mark == block.mark && h.number == b.number && leads => {}
            (Some(_), _) => self.step_down("its key or its block has changed hands"),
            (None, Some(b)) if leads && self.now >= self.election.rest_until => {
                let number = b.number;
                info!("leads and holds the block under number {}", number.0);
                self.election.extend_at = self.now;
                self.holder = Some(Holder::new(number, block.mark, self.now));
                self.share_budgets();
                self.rebuild();
            }
            _ => {}
        }
    }

    /// Stops acting as holder. Always safe: another process takes over by a commit.
    pub(crate) fn step_down(&mut self, why: &str) {
        let Some(holder) = self.holder.take() else {
            return;
        };
        warn!("no longer holds the block ({}): {why}", holder.number.0);
        self.election.hold = None;
        self.election.busy = false;
        self.share_budgets();
        for req in holder.held_requests() {
            self.steer(req);
        }
    }

    /// Gives leadership up, when this controller can't do the work.
    pub(crate) fn resign(&mut self, why: &str) {
        let ttl = self.settings.tuning.grant_s;
        self.election.rest_until = self.now.after(ttl * REST);
        self.step_down(why);
    }
}
