//! Following the store: one listing, then every change.

use crate::controller::events::Output;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::mirror::Event;
use crate::controller::store::records::LIST_AFTER;
use crate::controller::{Controller, RETRY_S, RequestPurpose, WatchState};
use crate::ids::Time;
use crate::wire::{StoreRequest, StoreResponse};

/// A watch that hasn't brought a revision known to exist for this long hangs.
const WATCH_STUCK_S: f64 = 1.5;
/// Share of its requests that a controller which places nothing follows with.
const WATCH_SHARE: f64 = 0.4;

impl Controller {
    pub(crate) fn watch_housekeeping(&mut self) {
        match self.watch {
            WatchState::Idle { retry_at } if self.now >= retry_at => {
                self.watch = WatchState::Listing {
                    first: None,
                    entries: Vec::new(),
                };
                self.list_from(LIST_AFTER.into());
            }
            WatchState::Paused { retry_at } if self.now >= retry_at => self.start_watch(),
            WatchState::Paused { .. } if self.suspects_leader().is_some() => self.start_watch(),
            WatchState::Following { call } => {
                // A cut can leave the watch's connection open and dead: a revision
                // that is known to exist doesn't come through it.
                let stuck = self
                    .revision_reads
                    .front()
                    .is_some_and(|r| self.now.since(r.answered) > WATCH_STUCK_S);
                if stuck {
                    self.pending_requests.remove(&call);
                    self.out.push(Output::Forget(call));
                    self.revision_reads.clear();
                    self.start_watch();
                }
            }
            _ => {}
        }
    }

    pub(crate) fn list_from(&mut self, after: String) {
        let op = StoreRequest::List { after };
        if self
            .send_store_request(op, RequestPurpose::List, Priority::First)
            .is_err()
        {
            self.watch = WatchState::Idle {
                retry_at: self.now.after(RETRY_S),
            };
        }
    }

    pub(crate) fn on_list(&mut self, reply: StoreResponse) {
        let StoreResponse::Page {
            entries: page,
            last,
            more,
            revision,
        } = reply
        else {
            self.watch = WatchState::Idle {
                retry_at: self.now.after(RETRY_S),
            };
            return;
        };
        let WatchState::Listing { first, entries } = &mut self.watch else {
            return;
        };
        // Later pages may show later changes; the watch starts at the first
        // page's revision and brings what the pages missed.
        let began = *first.get_or_insert(revision);
        entries.extend(page);
        if let (true, Some(last)) = (more, last) {
            self.list_from(last);
            return;
        }
        let entries = std::mem::take(entries);
        let events = self.mirror.replace(self.now, began, entries);
        self.initial_list_done = true;
        self.start_watch();
        self.apply_mirror_events(events);
    }

    pub(crate) fn start_watch(&mut self) {
        let op = StoreRequest::Watch {
            after: self.mirror.revision,
        };
        self.watch = match self.send_store_request(op, RequestPurpose::Watch, Priority::First) {
            Ok(call) => WatchState::Following { call },
            Err(_) => WatchState::Paused {
                retry_at: self.now.after(RETRY_S),
            },
        };
    }

    /// Goes on following: at once where tasks are placed. The others let changes gather,
    /// so that opening the watch again for each of them doesn't use up their requests:
    /// with five controllers that kept submissions waiting for a second.
    pub(crate) fn continue_watch(&mut self) {
        let takes_over = self.suspects_leader().is_some() || self.has_won();
        if !self.shards.is_empty() || self.leadership.is_some() || takes_over {
            return self.start_watch();
        }
        let gap_s = 1.0 / (self.requests.rate() * WATCH_SHARE).max(1.0);
        self.watch = WatchState::Paused {
            retry_at: self.now.after(gap_s),
        };
    }

    /// Goes on following without the pause: something is known to have changed.
    pub(crate) fn watch_at_once(&mut self) {
        if matches!(self.watch, WatchState::Paused { .. }) {
            self.start_watch();
        }
    }

    pub(crate) fn on_watch_response(&mut self, reply: StoreResponse, sent: Time) {
        match reply {
            StoreResponse::Changes { revision, news } => {
                let now = self.now;
                self.write_rate.note_seen(news.len());
                self.changes_known_at = self.changes_known_at.max(sent);
                let events: Vec<Event> = news
                    .into_iter()
                    .filter_map(|change| self.mirror.apply(now, change))
                    .collect();
                self.mirror.revision = self.mirror.revision.max(revision);
                self.continue_watch();
                self.apply_mirror_events(events);
            }
            StoreResponse::Compacted => {
                // What was missed can't be told apart from what never was.
                self.give_up("the follow fell behind");
                self.initial_list_done = false;
                self.watch = WatchState::Idle { retry_at: self.now };
            }
            _ => {
                self.watch = WatchState::Paused {
                    retry_at: self.now.after(RETRY_S),
                }
            }
        }
    }

    pub(crate) fn apply_mirror_events(&mut self, events: Vec<Event>) {
        let mut control = false;
        for event in events {
            match event {
                Event::Job(id) => {
                    let shard = self.mirror.jobs.get(&id).map(|j| j.record.shard);
                    self.in_shard(shard.unwrap_or(0), |controller| {
                        controller.on_job_changed(&id)
                    });
                }
                Event::JobGone(id) => {
                    let mut owners = self.shards.values();
                    let owner = owners.find(|h| h.jobs.contains_key(&id));
                    if let Some(shard) = owner.map(|h| h.shard) {
                        self.in_shard(shard, |controller| controller.on_job_removed(&id));
                    }
                }
                Event::Control => control = true,
            }
        }
        if control {
            self.on_control_records_changed();
        }
        self.answer_cancelled();
    }
}
