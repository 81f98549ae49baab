//! Following the state service: one listing, then every change.

use crate::controller::events::Output;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::mirror::Event;
use crate::controller::store::records::LIST_AFTER;
use crate::controller::{Core, Purpose, RETRY_S, Sync};
use crate::ids::Time;
use crate::wire::{StateOp, StateReply};

/// A follow that hasn't brought a revision known to exist for this long hangs.
const FOLLOW_STUCK_S: f64 = 1.5;
/// Share of its requests that a controller which places nothing follows with.
const FOLLOW_SHARE: f64 = 0.4;

impl Core {
    pub(crate) fn sync_housekeeping(&mut self) {
        match self.sync {
            Sync::Idle { retry_at } if self.now >= retry_at => {
                self.sync = Sync::Listing {
                    first: None,
                    entries: Vec::new(),
                };
                self.list_from(LIST_AFTER.into());
            }
            Sync::Paused { retry_at } if self.now >= retry_at => self.follow(),
            Sync::Paused { .. } if self.suspects_leader().is_some() => self.follow(),
            Sync::Following { call } => {
                // A cut can leave the follow's connection open and dead: a revision
                // that is known to exist doesn't come through it.
                let stuck = self
                    .fresh_waiting
                    .front()
                    .is_some_and(|r| self.now.since(r.answered) > FOLLOW_STUCK_S);
                if stuck {
                    self.calls.remove(&call);
                    self.out.push(Output::Forget(call));
                    self.fresh_waiting.clear();
                    self.follow();
                }
            }
            _ => {}
        }
    }

    pub(crate) fn list_from(&mut self, after: String) {
        let op = StateOp::List { after };
        if self.state_call(op, Purpose::List, Priority::First).is_err() {
            self.sync = Sync::Idle {
                retry_at: self.now.after(RETRY_S),
            };
        }
    }

    pub(crate) fn on_list(&mut self, reply: StateReply) {
        let StateReply::Page {
            entries: page,
            last,
            more,
            revision,
        } = reply
        else {
            self.sync = Sync::Idle {
                retry_at: self.now.after(RETRY_S),
            };
            return;
        };
        let Sync::Listing { first, entries } = &mut self.sync else {
            return;
        };
        // Later pages may show later changes; the follow starts at the first
        // page's revision and brings what the pages missed.
        let began = *first.get_or_insert(revision);
        entries.extend(page);
        if let (true, Some(last)) = (more, last) {
            self.list_from(last);
            return;
        }
        let entries = std::mem::take(entries);
        let events = self.cache.replace(self.now, began, entries);
        self.listed = true;
        self.follow();
        self.on_events(events);
    }

    pub(crate) fn follow(&mut self) {
        let op = StateOp::Follow {
            after: self.cache.revision,
        };
        self.sync = match self.state_call(op, Purpose::Follow, Priority::First) {
            Ok(call) => Sync::Following { call },
            Err(_) => Sync::Paused {
                retry_at: self.now.after(RETRY_S),
            },
        };
    }

    /// Goes on following: at once where tasks are placed. The others let changes gather,
    /// so that opening the follow again for each of them doesn't use up their requests:
    /// with five controllers that kept submissions waiting for a second.
    pub(crate) fn follow_on(&mut self) {
        let takes_over = self.suspects_leader().is_some() || self.has_won();
        if !self.parked.is_empty() || self.lead.is_some() || takes_over {
            return self.follow();
        }
        let gap_s = 1.0 / (self.requests.rate() * FOLLOW_SHARE).max(1.0);
        self.sync = Sync::Paused {
            retry_at: self.now.after(gap_s),
        };
    }

    /// Goes on following without the pause: something is known to have changed.
    pub(crate) fn follow_at_once(&mut self) {
        if matches!(self.sync, Sync::Paused { .. }) {
            self.follow();
        }
    }

    pub(crate) fn on_follow(&mut self, reply: StateReply, sent: Time) {
        match reply {
            StateReply::News { revision, news } => {
                let now = self.now;
                self.change_meter.note_seen(news.len());
                self.known_at = self.known_at.max(sent);
                let events: Vec<Event> = news
                    .into_iter()
                    .filter_map(|change| self.cache.apply(now, change))
                    .collect();
                self.cache.revision = self.cache.revision.max(revision);
                self.follow_on();
                self.on_events(events);
            }
            StateReply::TooOld => {
                // What was missed can't be told apart from what never was.
                self.give_up("the follow fell behind");
                self.listed = false;
                self.sync = Sync::Idle { retry_at: self.now };
            }
            _ => {
                self.sync = Sync::Paused {
                    retry_at: self.now.after(RETRY_S),
                }
            }
        }
    }

    pub(crate) fn on_events(&mut self, events: Vec<Event>) {
        let mut control = false;
        for event in events {
            match event {
                Event::Job(id) => {
                    let block = self.cache.jobs.get(&id).map(|j| j.rec.block);
                    self.in_block(block.unwrap_or(0), |core| core.holder_job(&id));
                }
                Event::JobGone(id) => {
                    let mut holders = self.parked.values();
                    let holder = holders.find(|h| h.jobs.contains_key(&id));
                    if let Some(block) = holder.map(|h| h.block) {
                        self.in_block(block, |core| core.holder_job_gone(&id));
                    }
                }
                Event::Control => control = true,
            }
        }
        if control {
            self.on_control();
        }
        self.answer_leaving();
    }
}
