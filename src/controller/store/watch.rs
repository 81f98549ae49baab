//! The initial list of the store's records, and the watch that delivers every later change.

use crate::controller::events::Output;
use crate::controller::outbox::Outbox;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::mirror::MirrorEvent;
use crate::controller::store::records::LIST_AFTER_KEY;
use crate::controller::store::{Purpose, RETRY_S, StoreClient, StoreEvent};
use crate::ids::{CallId, Time};
use crate::wire::{Change, StoreRequest, StoreResponse};

/// Upper bound on the share of a controller's requests that open watches, while the controller
/// pauses between watches, since it neither leads nor schedules tasks.
const WATCH_REQUEST_FRACTION: f64 = 0.4;

/// The progress of the initial list and the watch.
#[derive(Debug)]
pub(super) enum WatchState {
    /// Neither a list nor a watch is in progress.
    Idle {
        /// Time at which the list starts again.
        retry_at: Time,
    },
    /// The initial list is in progress.
    Listing {
        /// The revision of the first page, after which the watch starts.
        first_revision: Option<u64>,
        /// The records of the pages so far.
        entries: Vec<Change>,
    },
    /// A watch is open.
    Watching {
        /// The call of the open watch.
        call: CallId,
    },
    /// The list is complete, and no watch is open.
    Paused {
        /// Time at which the next watch is opened.
        retry_at: Time,
    },
}

impl Default for WatchState {
    fn default() -> Self {
        Self::Idle { retry_at: Time(0) }
    }
}

impl<P> StoreClient<P> {
    /// Starts the list, opens the watch, or reopens a watch that is stuck, if one of these is due.
    /// With `is_eager`, the watch is opened without waiting for the end of a pause.
    pub(crate) fn keep_watching(&mut self, now: Time, outbox: &mut Outbox, is_eager: bool) {
        match self.watch {
            WatchState::Idle { retry_at } if now >= retry_at => {
                self.watch = WatchState::Listing {
                    first_revision: None,
                    entries: Vec::new(),
                };
                self.request_list_page(now, outbox, LIST_AFTER_KEY.into());
            }
            WatchState::Paused { retry_at } if now >= retry_at || is_eager => {
                self.open_watch(now, outbox);
            }
            // A network partition can leave the watch's connection open although it delivers
            // nothing. A revision that is known to exist but doesn't arrive shows this.
            WatchState::Watching { call } if self.staleness.is_watch_stuck(now) => {
                self.pending.remove(&call);
                outbox.push(Output::CancelCall(call));
                self.staleness.clear_reads();
                self.open_watch(now, outbox);
            }
            _ => {}
        }
    }

    fn request_list_page(&mut self, now: Time, outbox: &mut Outbox, after: String) {
        let request = StoreRequest::List { after };
        let result = self.send_for(now, outbox, request, Purpose::List, Priority::First);
        if result.is_err() {
            self.schedule_list_retry(now);
        }
    }

    fn schedule_list_retry(&mut self, now: Time) {
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
            has_next,
            revision,
        } = response
        else {
            self.schedule_list_retry(now);
            return StoreEvent::None;
        };
        let WatchState::Listing {
            first_revision,
            entries,
        } = &mut self.watch
        else {
            return StoreEvent::None;
        };
        // Later pages may contain newer changes than the first one. The watch starts at the first
        // page's revision and delivers the changes that the pages missed.
        let listed_at = *first_revision.get_or_insert(revision);
        entries.extend(page);
        if let (true, Some(last)) = (has_next, last) {
            self.request_list_page(now, outbox, last);
            return StoreEvent::None;
        }
        let entries = std::mem::take(entries);
        let events = self.mirror.replace(now, listed_at, entries);
        self.is_initial_list_done = true;
        self.open_watch(now, outbox);
        StoreEvent::Listed(events)
    }

    fn open_watch(&mut self, now: Time, outbox: &mut Outbox) {
        let request = StoreRequest::Watch {
            after: self.mirror.revision,
        };
        let result = self.send_for(now, outbox, request, Purpose::Watch, Priority::First);
        self.watch = match result {
            Ok(call) => WatchState::Watching { call },
            Err(_) => WatchState::Paused {
                retry_at: now.after(RETRY_S),
            },
        };
    }

    /// Opens the next watch after one has delivered changes. With `is_eager`, it is opened
    /// immediately. Otherwise a pause comes first, so that one watch delivers several changes: with
    /// five controllers, one watch per change used up the request limit and delayed submissions by
    /// a second.
    pub(crate) fn continue_watch(&mut self, now: Time, outbox: &mut Outbox, is_eager: bool) {
        if is_eager {
            return self.open_watch(now, outbox);
        }
        let gap_s = 1.0 / (self.request_limit.rate() * WATCH_REQUEST_FRACTION).max(1.0);
        self.watch = WatchState::Paused {
            retry_at: now.after(gap_s),
        };
    }

    /// Ends the pause and opens the next watch, because the store is known to have changed.
    pub(crate) fn resume_watch(&mut self, now: Time, outbox: &mut Outbox) {
        if matches!(self.watch, WatchState::Paused { .. }) {
            self.open_watch(now, outbox);
        }
    }

    pub(super) fn on_watch(
        &mut self,
        now: Time,
        response: StoreResponse,
        sent_at: Time,
    ) -> StoreEvent<P> {
        match response {
            StoreResponse::Changes { revision, changes } => {
                self.write_rate.count_seen(changes.len());
                self.staleness.record_changes_known(sent_at);
                // A response doesn't have to list its changes in order. An end must be applied after
                // the announcements of status ages that precede it.
                let mut changes = changes;
                changes.sort_by_key(|(_, revision, _)| *revision);
                let mirror = &mut self.mirror;
                let changes = changes.into_iter();
                let events: Vec<MirrorEvent> = changes
                    .filter_map(|change| mirror.apply(now, change))
                    .collect();
                mirror.revision = mirror.revision.max(revision);
                StoreEvent::Changed(events)
            }
            StoreResponse::Compacted => {
                self.is_initial_list_done = false;
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

    /// Whether the records have been listed completely, and the watch has missed no change since.
    pub(crate) fn is_initial_list_done(&self) -> bool {
        self.is_initial_list_done
    }
}
