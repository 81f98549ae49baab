//! Announcements of the maximum age of statuses, see [`status_ages`].
//!
//! A controller whose reads of the store take longer than the age of the statuses that it may send
//! announces a larger age, and lowers it once the store has been fast for a while. The leader lowers
//! the announcements of controllers that don't run or don't reach the store.
//!
//! [`status_ages`]: crate::controller::store::status_ages

use crate::controller::context::Context;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{Key, Record, StatusAgeRecord};
use crate::controller::store::status_ages::{ANNOUNCED_AGE_MAX_S, Announcement, STATUS_AGE_MAX_S};
use crate::controller::store_requests::RequestPurpose;
use crate::ids::{ControllerId, Time};
use crate::wire::{StoreRequest, StoreResponse, Write};
use log::info;

/// Number of successive reads for a query that may take too long before a larger age is announced.
const SLOW_READS_MAX: u32 = 3;
/// A larger age is announced only if a status was lacking within this time, in seconds.
const SHORTAGE_MEMORY_S: f64 = 2.0;
/// The age of the mirror at most, as a multiple of the time that a read takes: the mirror is as old
/// as the last read while the next one is under way.
const AGE_PER_READ_TIME: f64 = 2.0;
/// An announced age is lowered if it is at least this multiple of the age that is needed.
const LOWERING_FACTOR: f64 = 4.0;
/// Shortest time for which an announced age is kept, in seconds.
const ANNOUNCEMENT_HOLD_S: f64 = 30.0;
/// Pause before an announcement that wasn't committed is written again, in seconds.
const RETRY_S: f64 = 0.3;

/// The state of this controller's announcements.
#[derive(Debug, Default)]
pub(crate) struct StatusAgeAnnouncer {
    /// When a status was last lacking since reads take too long.
    shortage_at: Option<Time>,
    /// Whether the write of an announcement is pending.
    is_writing: bool,
    /// Time before which no announcement is written.
    not_before: Time,
    /// Revision of the latest announcement that this controller has committed.
    written_revision: u64,
}

impl Context {
    /// Returns the maximum age of the status of a live job that this controller may send, in
    /// seconds.
    pub(super) fn status_age_max_s(&self) -> f64 {
        let own_id = &self.settings.platform.controller_id;
        let announced = self.store.mirror.status_ages.get(own_id);
        match announced {
            Some(announcement) if self.announcements_are_honored() => {
                announcement.record.age_max_s().max(STATUS_AGE_MAX_S)
            }
            _ => STATUS_AGE_MAX_S,
        }
    }

    /// Whether every peer delays ends as announced. A controller of a release that does has a
    /// record of its own.
    fn announcements_are_honored(&self) -> bool {
        let status_ages = &self.store.mirror.status_ages;
        let mut peers = self.settings.platform.peers.iter();
        peers.all(|peer| status_ages.get(&peer.controller_id).is_some())
    }

    /// Whether the mirror is recent enough for a status to be answered from it.
    pub(super) fn mirror_is_current(&self) -> bool {
        let age_s = self.now.since(self.store.changes_known_at());
        self.store.is_initial_list_done() && age_s <= self.status_age_max_s()
    }

    /// Whether a job's first status may be sent that was committed by a request sent at `sent_at`.
    pub(super) fn may_send_committed(&self, sent_at: Time) -> bool {
        let age_s = self.now.since(sent_at);
        age_s <= STATUS_AGE_MAX_S || self.mirror_is_current() && age_s <= self.status_age_max_s()
    }

    /// Whether this controller has no recent enough copy of the store's records to take requests.
    pub(super) fn is_out_of_touch(&self) -> bool {
        self.is_stale() && !self.mirror_is_current()
    }

    /// Records that a query couldn't be answered after this many reads since each took too long.
    pub(super) fn record_slow_reads(&mut self, slow_reads: u32) {
        if slow_reads >= SLOW_READS_MAX {
            self.record_status_shortage();
        }
    }

    /// Records that the status of a live job couldn't be answered in time.
    pub(super) fn record_status_shortage(&mut self) {
        self.api.status_age.shortage_at = Some(self.now);
    }

    /// Writes the next announcement that is due, if any.
    pub(super) fn announce_status_ages(&mut self) {
        let announcer = &self.api.status_age;
        let waits_for_watch = self.store.mirror.revision < announcer.written_revision;
        if announcer.is_writing
            || waits_for_watch
            || self.now < announcer.not_before
            || !self.store.is_initial_list_done()
        {
            return;
        }
        if let Some((controller, record)) = self.due_announcement() {
            self.write_announcement(controller, record);
        }
    }

    fn due_announcement(&self) -> Option<(ControllerId, StatusAgeRecord)> {
        let own_id = &self.settings.platform.controller_id;
        let own_record = match self.store.mirror.status_ages.get(own_id) {
            Some(announcement) => self.next_own_record(announcement),
            None => Some(StatusAgeRecord::usual()),
        };
        let own_record = own_record.map(|record| (own_id.clone(), record));
        own_record.or_else(|| self.abandoned_announcement())
    }

    /// Returns the record that this controller's announcement has to be replaced by, if any.
    fn next_own_record(&self, announcement: &Announcement) -> Option<StatusAgeRecord> {
        let record = announcement.record;
        let read_times = self.store.read_times(self.now);
        let is_short = self
            .api
            .status_age
            .shortage_at
            .is_some_and(|at| self.now.since(at) <= SHORTAGE_MEMORY_S);
        let wanted_s = needed_age_s(read_times.caught_up_s);
        if is_short && wanted_s > record.age_max_s() {
            return Some(record.raised_to(wanted_s));
        }
        let sufficient_s = needed_age_s(read_times.sustained_s);
        let is_too_high = record.age_max_s() > STATUS_AGE_MAX_S
            && (sufficient_s <= STATUS_AGE_MAX_S
                || sufficient_s * LOWERING_FACTOR <= record.age_max_s());
        if is_too_high && self.now.since(announcement.known_since) > ANNOUNCEMENT_HOLD_S {
            return Some(record.lowered_to(sufficient_s));
        }
        self.settled(announcement)
    }

    /// Returns the announcement without the age of statuses that aren't sent any more, if it has
    /// one.
    fn settled(&self, announcement: &Announcement) -> Option<StatusAgeRecord> {
        let record = announcement.record;
        let is_due = record.honored_ms > record.age_max_ms && announcement.is_settled(self.now);
        is_due.then(|| record.settled())
    }

    /// Returns the next record for a controller whose announcement still delays ends although it
    /// doesn't run or doesn't reach the store. The leader writes it.
    fn abandoned_announcement(&self) -> Option<(ControllerId, StatusAgeRecord)> {
        if !self.is_leader() {
            return None;
        }
        let is_in_use = |controller: &ControllerId| {
            *controller == self.settings.platform.controller_id
                || self
                    .recent_heartbeats()
                    .any(|heartbeat| heartbeat.from == *controller && heartbeat.is_fresh)
        };
        let announcements = self.store.mirror.status_ages.iter();
        let mut abandoned = announcements.filter(|(controller, announcement)| {
            announcement.record.honored_s() > STATUS_AGE_MAX_S
                && self.now.since(announcement.known_since) > ANNOUNCEMENT_HOLD_S
                && !is_in_use(controller)
        });
        abandoned.find_map(|(controller, announcement)| {
            let record = announcement.record;
            let next = if record.age_max_s() > STATUS_AGE_MAX_S {
                Some(record.lowered_to(STATUS_AGE_MAX_S))
            } else {
                self.settled(announcement)
            };
            Some((controller.clone(), next?))
        })
    }

    fn write_announcement(&mut self, controller: ControllerId, record: StatusAgeRecord) {
        let known = self.store.mirror.status_ages.get(&controller);
        let revision = known.map_or(0, |announcement| announcement.revision);
        let key = Key::StatusAge(controller.clone());
        let request = StoreRequest::Transaction {
            preconditions: vec![(key.clone(), revision)],
            writes: vec![Write::put(key, Record::StatusAge(record))],
        };
        let purpose = RequestPurpose::AnnounceStatusAge;
        let sent = self.send_store_request(request, purpose, Priority::Usual);
        if sent.is_ok() {
            info!(
                "status age announced, controller={controller} age_max_ms={} honored_ms={}",
                record.age_max_ms, record.honored_ms
            );
            self.api.status_age.is_writing = true;
        }
    }

    /// Handles the response to the write of an announcement. The watch delivers what was written.
    pub(crate) fn on_status_age_announced(&mut self, response: &StoreResponse) {
        let announcer = &mut self.api.status_age;
        announcer.is_writing = false;
        match response {
            StoreResponse::Committed { revision } => announcer.written_revision = *revision,
            _ => announcer.not_before = self.now.after(RETRY_S),
        }
    }
}

/// Returns the age of statuses that suffices while reads take this long, in seconds.
fn needed_age_s(read_time_s: f64) -> f64 {
    (AGE_PER_READ_TIME * read_time_s).clamp(STATUS_AGE_MAX_S, ANNOUNCED_AGE_MAX_S)
}
