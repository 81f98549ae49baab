//! How long reads of the store take, until their response and until the mirror has caught up.

use crate::controller::store::recent_maximum::RecentMaximum;
use crate::ids::Time;

/// How long reads and commits recently took.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadTimes {
    /// Longest time until the store responded, in seconds.
    pub response_s: f64,
    /// Longest time until the mirror had reached the read's revision, in seconds.
    pub caught_up_s: f64,
    /// Longest time, in seconds, that the mirror took in each of three successive reads. A single
    /// slow response doesn't count.
    pub sustained_s: f64,
}

/// Measures [`ReadTimes`].
#[derive(Debug, Default)]
pub(super) struct ReadTimer {
    response: RecentMaximum,
    caught_up: RecentMaximum,
    sustained: RecentMaximum,
    /// The latest two times until the mirror had caught up, in seconds.
    latest_caught_up_s: [f64; 2],
}

impl ReadTimer {
    pub(super) fn record_response(&mut self, now: Time, sent_at: Time) {
        self.response.record(now, now.since(sent_at));
    }

    pub(super) fn record_caught_up(&mut self, now: Time, sent_at: Time) {
        let took_s = now.since(sent_at);
        let [before, last] = self.latest_caught_up_s;
        self.latest_caught_up_s = [last, took_s];
        self.caught_up.record(now, took_s);
        self.sustained.record(now, took_s.min(last).min(before));
    }

    pub(super) fn times(&self, now: Time) -> ReadTimes {
        ReadTimes {
            response_s: self.response.get(now),
            caught_up_s: self.caught_up.get(now),
            sustained_s: self.sustained.get(now),
        }
    }
}
