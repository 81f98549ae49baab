//! A controller that is told to end hands over first: it takes no new work and, if it leads, gives
//! its grant up once its last call to the cloud is over, so that nobody waits for the grant's end.

use crate::controller::autoscaling::CloudPurpose;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::{Call, Core, Purpose};
use crate::ids::Time;
use crate::wire::StateOp;
use log::info;

/// Calls to the cloud are given up as in doubt after so long.
const CLOUD_CALLS_S: f64 = 1.0;
/// After its leadership is over a controller hands on reports for so long, until its workers'
/// answers are out and the others know the next leader.
const LAST_REPORTS_S: f64 = 0.5;
/// It ends at the latest after so many lives of a grant: by then a successor needs no word of it.
const LONGEST_GRANTS: f64 = 1.5;

/// What is left to be done before the end.
#[derive(Debug)]
pub(crate) struct Drain {
    since: Time,
    /// When this controller was first seen to have nothing left to hand over.
    idle_since: Option<Time>,
}

/// A grant that is to be given up once no call to the cloud rests on it.
#[derive(Debug)]
pub(crate) struct Release {
    hold: u64,
    since: Time,
}

impl Core {
    /// Begins to hand over; nothing is taken back.
    pub(crate) fn on_drain(&mut self) {
        if self.drain.is_some() {
            return;
        }
        info!("hands over, and ends then");
        self.drain = Some(Drain {
            since: self.now,
            idle_since: None,
        });
        self.resign("it is told to end");
    }

    /// Whether this controller is about to end.
    pub(crate) fn draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Whether there is nothing left to hand over.
    pub fn drained(&self) -> bool {
        let Some(drain) = &self.drain else {
            return false;
        };
        let most_s = LONGEST_GRANTS * self.settings.tuning.grant_s;
        let quiet = |at: Time| self.now.since(at) > LAST_REPORTS_S;
        drain.idle_since.is_some_and(quiet) || self.now.since(drain.since) > most_s
    }

    pub(crate) fn drain_housekeeping(&mut self) {
        self.release_grant();
        let releasing = self.release.is_some() || self.calls.values().any(is_release);
        let me = &self.settings.platform.member;
        let leader = self.cache.leader.rec.as_ref();
        let led_by_another = leader.is_some_and(|l| l.member != *me);
        let alone = self.settings.platform.siblings.is_empty();
        let (now, idle) = (self.now, !releasing && (led_by_another || alone));
        if let Some(drain) = &mut self.drain
            && idle
        {
            drain.idle_since.get_or_insert(now);
        }
    }

    /// A grant is to be given up. The successor may call the cloud as soon as it is over, so it
    /// stands until the last call of this controller was answered or is given up as in doubt.
    pub(crate) fn release_when_quiet(&mut self, hold: u64) {
        self.release = Some(Release {
            hold,
            since: self.now,
        });
        self.release_grant();
    }

    fn release_grant(&mut self) {
        let Some(release) = &self.release else {
            return;
        };
        let changes = |(purpose, _): &(CloudPurpose, _)| purpose.changes();
        let under_way = self.cloud_calls.values().any(changes);
        if under_way && self.now.since(release.since) < CLOUD_CALLS_S {
            return;
        }
        let op = StateOp::Release(release.hold);
        let sent = self.state_call(op, Purpose::Release, Priority::First);
        if sent.is_ok() {
            self.release = None;
        }
    }
}

fn is_release(call: &Call) -> bool {
    matches!(call.purpose, Purpose::Release)
}
