//! What changes in jobs that others need comes to those: ends are read where they aren't known,
//! waiting jobs are released or cancelled, and ranks rise and fall.

use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::records::{Ending, Key, Record};
use crate::controller::{Core, Purpose};
use crate::ids::{JobId, Time};
use crate::wire::{StateOp, StateReply};
use std::collections::BTreeSet;

/// Ends of needed jobs that are read at once.
const READS_MOST: usize = 4;
/// Pause before an end that wasn't there is looked for again: the job's record may not have come
/// here yet.
const READ_AGAIN_S: f64 = 0.2;

/// Reads of the ends of needed jobs.
#[derive(Debug, Default)]
pub(crate) struct NeedReads {
    /// Under way.
    reading: BTreeSet<JobId>,
    /// No read before then.
    not_before: Time,
}

impl Core {
    /// Reads the ends of needed jobs of which nothing is known here.
    pub(crate) fn pump_need_reads(&mut self) {
        if !self.listed || self.now < self.need_reads.not_before {
            return;
        }
        let unread = self.cache.unread_needs().iter();
        let reading = &self.need_reads.reading;
        let room = READS_MOST.saturating_sub(reading.len());
        let next = unread.filter(|id| !reading.contains(*id)).take(room);
        let next: Vec<JobId> = next.cloned().collect();
        for need in next {
            let op = StateOp::Get(Key::End(need.clone()));
            let purpose = Purpose::ReadNeed(need.clone());
            if self.state_call(op, purpose, Priority::Usual).is_err() {
                return;
            }
            self.need_reads.reading.insert(need);
        }
    }

    pub(crate) fn on_need_read(&mut self, need: JobId, reply: StateReply) {
        self.need_reads.reading.remove(&need);
        if self.learn_ending(&need, &reply).is_none() {
            self.need_reads.not_before = self.now.after(READ_AGAIN_S);
        }
    }

    /// Remembers how a job ended, if the answer to a read of its end says so.
    pub(crate) fn learn_ending(&mut self, id: &JobId, reply: &StateReply) -> Option<Ending> {
        let StateReply::Found {
            record: Record::End(ending),
            ..
        } = reply
        else {
            return None;
        };
        self.cache.remember(self.now, id.clone(), *ending);
        Some(*ending)
    }

    /// Tells the holders of jobs what changed for these through others.
    pub(crate) fn on_affected(&mut self) {
        for id in self.cache.take_affected() {
            let block = self.cache.jobs.get(&id).map(|j| j.rec.block);
            if let Some(block) = block {
                self.in_block(block, |core| core.holder_needs_changed(&id));
            }
        }
    }
}
