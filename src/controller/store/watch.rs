//! The initial list of the store's records, and the watch that brings every change after it.

use crate::controller::events::Output;
use crate::controller::outbox::Outbox;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::mirror::MirrorEvent;
use crate::controller::store::records::LIST_AFTER;
use crate::controller::store::{Purpose, RETRY_S, StoreClient, StoreEvent};
use crate::ids::{CallId, Time};
use crate::wire::{Change, StoreRequest, StoreResponse};

/// A watch that hasn't brought a revision known to exist for this long hangs.
const WATCH_STUCK_S: f64 = 1.5;
/// Share of its requests that a controller which schedules nothing watches with.
const WATCH_SHARE: f64 = 0.4;

/// How far the list and the watch have come.
#[derive(Debug)]
pub(super) enum WatchState {
    /// Neither is under way.
    Idle {
        /// When the list begins anew.
        retry_at: Time,
    },
    /// The initial list is under way.
    Listing {
        /// The revision of the first page, from which the watch begins.
        first_revision: Option<u64>,
        /// The records of the pages so far.
        entries: Vec<Change>,
    },
    /// A watch is open.
    Watching {
        /// Its call.
        call: CallId,
    },
    /// The list is done, and no watch is open.
    Paused {
        /// When the next one is opened.
        retry_at: Time,
    },
}

impl Default for WatchState {
    fn default() -> Self {
        Self::Idle { retry_at: Time(0) }
    }
}

impl<P> StoreClient<P> {
    /// Begins the list, opens the watch, or opens it anew if it hangs. An `eager` controller
    /// doesn't wait until a pause is over.
    pub(crate) fn keep_watching(&mut self, now: Time, outbox: &mut Outbox, eager: bool) {
        match self.watch {
            WatchState::Idle { retry_at } if now >= retry_at => {
                self.watch = WatchState::Listing {
                    first_revision: None,
                    entries: Vec::new(),
                };
                self.list_from(now, outbox, LIST_AFTER.into());
            }
            WatchState::Paused { retry_at } if now >= retry_at || eager => {
                self.open_watch(now, outbox);
            }
            // A partition can leave the watch's connection open and dead: a revision that is known to
            // exist doesn't come through it.
            WatchState::Watching { call }
                if self.staleness.waits_longer_than(now, WATCH_STUCK_S) =>
            {
                self.pending.remove(&call);
                outbox.push(Output::CancelCall(call));
                self.staleness.forget_reads();
                self.open_watch(now, outbox);
            }
            _ => {}
        }
    }

    fn list_from(&mut self, now: Time, outbox: &mut Outbox, after: String) {
        let request = StoreRequest::List { after };
        let sent = self.send_for(now, outbox, request, Purpose::List, Priority::First);
        if sent.is_err() {
            self.list_later(now);
        }
    }

    fn list_later(&mut self, now: Time) {
        self.watch = WatchState::Idle {
            retry_at: now.after(RETRY_S),
        };
    }

    pub(super) fn on_list(
        &mut self,
        now: Time,
        outbox: &mut Outbox,
        response: StoreResponse,
    ) -> StoreEvent<P> {
        let StoreResponse::Page {
            entries: page,
            last,
            more,
            revision,
        } = response
        else {
            self.list_later(now);
            return StoreEvent::None;
        };
        let WatchState::Listing {
            first_revision,
            entries,
        } = &mut self.watch
        else {
            return StoreEvent::None;
        };
        // Later pages may show later changes; the watch starts at the first page's revision and
        // brings what the pages missed.
        let began = *first_revision.get_or_insert(revision);
        entries.extend(page);
        if let (true, Some(last)) = (more, last) {
            self.list_from(now, outbox, last);
            return StoreEvent::None;
        }
        let entries = std::mem::take(entries);
        let events = self.mirror.replace(now, began, entries);
        self.initial_list_done = true;
        self.open_watch(now, outbox);
        StoreEvent::ListedMachine(events)
    }

    fn open_watch(&mut self, now: Time, outbox: &mut Outbox) {
        let request = StoreRequest::Watch {
            after: self.mirror.revision,
        };
        let sent = self.send_for(now, outbox, request, Purpose::Watch, Priority::First);
        self.watch = match sent {
            Ok(call) => WatchState::Watching { call },
            Err(_) => WatchState::Paused {
                retry_at: now.after(RETRY_S),
            },
        };
    }

    /// Opens the next watch: at once for an `eager` controller. The others let changes gather, so
    /// that opening the watch for each of them doesn't use up their requests: with five
    /// controllers that kept submissions waiting for a second.
    pub(crate) fn continue_watch(&mut self, now: Time, outbox: &mut Outbox, eager: bool) {
        if eager {
            return self.open_watch(now, outbox);
        }
        let gap_s = 1.0 / (self.request_limit.rate() * WATCH_SHARE).max(1.0);
        self.watch = WatchState::Paused {
            retry_at: now.after(gap_s),
        };
    }

    /// Opens the next watch without a pause: something is known to have changed.
    pub(crate) fn resume_watch(&mut self, now: Time, outbox: &mut Outbox) {
        if matches!(self.watch, WatchState::Paused { .. }) {
            self.open_watch(now, outbox);
        }
    }

    pub(super) fn on_watch(
        &mut self,
        now: Time,
        response: StoreResponse,
        sent: Time,
    ) -> StoreEvent<P> {
        match response {
            StoreResponse::Changes { revision, news } => {
                self.write_rate.count_seen(news.len());
                self.staleness.changes_known(sent);
                let mirror = &mut self.mirror;
                let changes = news.into_iter();
                let events: Vec<MirrorEvent> = changes
                    .filter_map(|change| mirror.apply(now, change))
                    .collect();
                mirror.revision = mirror.revision.max(revision);
                StoreEvent::Changed(events)
            }
            StoreResponse::Compacted => {
                self.initial_list_done = false;
                self.watch = WatchState::Idle { retry_at: now };
                StoreEvent::FellBehind
            }
            _ => {
                self.watch = WatchState::Paused {
                    retry_at: now.after(RETRY_S),
                };
                StoreEvent::None
            }
        }
    }

    /// Whether the store's records were listed, and are watched since.
    pub(crate) fn is_initial_list_done(&self) -> bool {
        self.initial_list_done
    }
}
