//! Following the store: one listing, then every change.

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::context::RETRY_S;
use crate::controller::events::Output;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::mirror::Event;
use crate::controller::store::records::LIST_AFTER;
use crate::controller::store::requests::RequestPurpose;
use crate::ids::CallId;
use crate::ids::Time;
use crate::wire::Change;
use crate::wire::{StoreRequest, StoreResponse};

/// Whether the store's content is known here.
pub(crate) enum WatchState {
    Idle {
        retry_at: Time,
    },
    Listing {
        first: Option<u64>,
        entries: Vec<Change>,
    },
    Following {
        call: CallId,
    },
    Paused {
        retry_at: Time,
    },
}

/// A watch that hasn't brought a revision known to exist for this long hangs.
const WATCH_STUCK_S: f64 = 1.5;
/// Share of its requests that a controller which places nothing follows with.
const WATCH_SHARE: f64 = 0.4;

impl Controller {
    pub(crate) fn on_list(&mut self, reply: StoreResponse) {
        let StoreResponse::Page {
            entries: page,
            last,
            more,
            revision,
        } = reply
        else {
            self.context.watch = WatchState::Idle {
                retry_at: self.context.now.after(RETRY_S),
            };
            return;
        };
        let WatchState::Listing { first, entries } = &mut self.context.watch else {
            return;
        };
        // Later pages may show later changes; the watch starts at the first
        // page's revision and brings what the pages missed.
        let began = *first.get_or_insert(revision);
        entries.extend(page);
        if let (true, Some(last)) = (more, last) {
            self.context.list_from(last);
            return;
        }
        let entries = std::mem::take(entries);
        let events = self
            .context
            .mirror
            .replace(self.context.now, began, entries);
        self.context.initial_list_done = true;
        self.context.start_watch();
        self.apply_mirror_events(events);
    }

    /// Goes on following: at once where tasks are placed. The others let changes gather,
    /// so that opening the watch again for each of them doesn't use up their requests:
    /// with five controllers that kept submissions waiting for a second.
    pub(crate) fn continue_watch(&mut self) {
        let takes_over = self.context.suspects_leader().is_some() || self.context.has_won();
        if !self.shards.is_empty() || self.context.leadership.is_some() || takes_over {
            return self.context.start_watch();
        }
        let gap_s = 1.0 / (self.context.requests.rate() * WATCH_SHARE).max(1.0);
        self.context.watch = WatchState::Paused {
            retry_at: self.context.now.after(gap_s),
        };
    }

    pub(crate) fn on_watch_response(&mut self, reply: StoreResponse, sent: Time) {
        match reply {
            StoreResponse::Changes { revision, news } => {
                let now = self.context.now;
                self.context.write_rate.note_seen(news.len());
                self.context.changes_known_at = self.context.changes_known_at.max(sent);
                let events: Vec<Event> = news
                    .into_iter()
                    .filter_map(|change| self.context.mirror.apply(now, change))
                    .collect();
                self.context.mirror.revision = self.context.mirror.revision.max(revision);
                self.continue_watch();
                self.apply_mirror_events(events);
            }
            StoreResponse::Compacted => {
                // What was missed can't be told apart from what never was.
                self.give_up("the follow fell behind");
                self.context.initial_list_done = false;
                self.context.watch = WatchState::Idle {
                    retry_at: self.context.now,
                };
            }
            _ => {
                self.context.watch = WatchState::Paused {
                    retry_at: self.context.now.after(RETRY_S),
                }
            }
        }
    }

    pub(crate) fn apply_mirror_events(&mut self, events: Vec<Event>) {
        let mut control = false;
        for event in events {
            match event {
                Event::Job(id) => {
                    let job = self.context.mirror.jobs.get(&id);
                    let owned = job.and_then(|job| self.shards.get_mut(&job.record.shard));
                    if let Some(shard) = owned {
                        shard.on_job_changed(&mut self.context, &id);
                    }
                }
                Event::JobGone(id) => {
                    let mut owned = self.shards.values_mut();
                    if let Some(shard) = owned.find(|shard| shard.jobs.contains_key(&id)) {
                        shard.on_job_removed(&self.context, &id);
                    }
                }
                Event::Control => control = true,
            }
        }
        if control {
            self.on_control_records_changed();
        }
        self.context.answer_cancelled();
    }
}

impl Context {
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

    /// Goes on following without the pause: something is known to have changed.
    pub(crate) fn watch_at_once(&mut self) {
        if matches!(self.watch, WatchState::Paused { .. }) {
            self.start_watch();
        }
    }
}
