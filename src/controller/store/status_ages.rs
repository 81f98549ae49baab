//! The maximum ages of statuses that controllers announce to each other through the store, and the
//! delay of the ends of jobs that follows from them.
//!
//! A controller sends the status of a live job only if its mirror is at most a certain age old, and
//! every controller delays the end of a job for longer than that. So no controller sends a status
//! after another controller has sent the end of the job. While the store is fast, the age is
//! [`STATUS_AGE_MAX_S`] and nothing is announced. A controller whose reads take longer commits a
//! larger age in its announcement, a record that only delays ends:
//!
//! - The controller uses a larger age only while its mirror contains its announcement.
//! - The watch delivers changes in order. A controller that learns of an end committed after the
//!   announcement therefore knows the announcement, and delays the end. An end committed before the
//!   announcement is in the mirror of the controller that uses the announcement.
//! - Once an announcement has been lowered, statuses of the larger age may still be sent for as long
//!   as that age. So the record keeps the larger age in `honored_ms`, and this is lowered only
//!   after a longer time has passed. Until then, also a controller that starts in between delays
//!   ends.
//!
//! No clock is compared with that of another machine: each controller measures durations only.

use crate::controller::context::CLOCK_DRIFT_FRACTION;
use crate::controller::store::STORE_TIMEOUT_S;
use crate::controller::store::records::StatusAgeRecord;
use crate::ids::{ControllerId, Time};
use std::collections::BTreeMap;

/// Maximum age of the status of a live job when it is sent, in seconds, unless a larger one is
/// announced.
pub(crate) const STATUS_AGE_MAX_S: f64 = 0.1;
/// Upper bound on the announced ages, in seconds. A watch is opened when the one before it has been
/// answered, and each of the two responses may take up to the timeout of a request. The rest covers
/// late timers.
pub(crate) const ANNOUNCED_AGE_MAX_S: f64 = 2.0 * STORE_TIMEOUT_S + 0.5;
/// Delay of the end of a job, as a multiple of the largest age of a status that may be sent. The
/// excess covers the drift of clocks and the delays of responses.
const ENDING_DELAY_FACTOR: f64 = 1.2;

/// A controller's announcement as the mirror has it.
#[derive(Clone, Debug)]
pub(crate) struct Announcement {
    /// Revision of the record.
    pub(crate) revision: u64,
    /// The record.
    pub(crate) record: StatusAgeRecord,
    /// When this process learned of the record.
    pub(crate) known_since: Time,
}

impl Announcement {
    /// Whether every status has been sent that could rest on an earlier, larger age.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        let wait_s = ending_delay_s(self.record.honored_s()) * (1.0 + CLOCK_DRIFT_FRACTION);
        now.since(self.known_since) > wait_s
    }
}

/// The announcements of all controllers.
#[derive(Debug, Default)]
pub(crate) struct StatusAges {
    announcements: BTreeMap<ControllerId, Announcement>,
}

impl StatusAges {
    /// Applies a change of a controller's announcement if it is newer than the known one.
    pub(super) fn apply(
        &mut self,
        now: Time,
        controller: ControllerId,
        revision: u64,
        record: Option<StatusAgeRecord>,
    ) {
        let known = self.announcements.get(&controller);
        if known.is_some_and(|known| known.revision >= revision) {
            return;
        }
        match record {
            Some(record) => {
                let announcement = Announcement {
                    revision,
                    record,
                    known_since: now,
                };
                self.announcements.insert(controller, announcement);
            }
            None => {
                self.announcements.remove(&controller);
            }
        }
    }

    /// Removes the announcements that a complete list doesn't contain, unless they are newer than
    /// the list.
    pub(super) fn retain_listed(
        &mut self,
        listed_at: u64,
        is_listed: impl Fn(&ControllerId) -> bool,
    ) {
        self.announcements.retain(|controller, announcement| {
            announcement.revision > listed_at || is_listed(controller)
        });
    }

    /// Returns the announcement of a controller.
    pub(crate) fn get(&self, controller: &ControllerId) -> Option<&Announcement> {
        self.announcements.get(controller)
    }

    /// Returns all announcements with their controllers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ControllerId, &Announcement)> {
        self.announcements.iter()
    }

    /// Returns the time from when this controller learns of a job's end until it sends the end, in
    /// seconds.
    pub(crate) fn ending_delay_s(&self) -> f64 {
        let honored = self.announcements.values();
        let honored = honored.map(|announcement| announcement.record.honored_s());
        ending_delay_s(honored.fold(STATUS_AGE_MAX_S, f64::max))
    }
}

fn ending_delay_s(status_age_max_s: f64) -> f64 {
    ENDING_DELAY_FACTOR * status_age_max_s
}
