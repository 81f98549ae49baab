//! What the leader does for the limits that its cell shares with others.
//!
//! The cell's record and one for each other cell are kept at this cell's own store. The leader
//! makes one change of them at a time, as `salttrestle_cells::ledger` allows it, on the condition
//! that the leader's record, the cell's, the link's and, where quota is given away, every shard's
//! are unchanged. Messages of other cells are only ever a reason to try; no rule rests on them.
//! Shards are allowed what the cell's record says, in commits that are conditional on it.
//!
//! `views` says what each team uses and wants here, `changes` decides and commits, `messages`
//! exchanges needs and recalls with the other cells, `status_log` reports to operators.

mod changes;

mod messages;
mod status_log;
mod views;

use crate::controller::Controller;
use crate::controller::context::Context;
use crate::controller::shard::ShardOwner;
use crate::ids::Time;
use messages::ReceivedMessage;
use salttrestle_cells::Cell;
use salttrestle_cells::ledger::LinkRecord;
use salttrestle_cells::message::LinkMessage;
use std::collections::BTreeMap;

/// This controller's state of the sharing between cells.
#[derive(Debug, Default)]
pub(crate) struct CellSharing {
    /// The last message of each cell.
    received: BTreeMap<Cell, ReceivedMessage>,
    /// A change is being committed.
    change_pending: bool,
    /// The next change is made once the mirror has this revision.
    next_change_after: u64,
    /// The last message to each cell.
    sent: BTreeMap<Cell, LinkMessage>,
    next_send: Time,
    next_log: Time,
    /// Messages that were dropped, since they are from or for an unknown cell.
    dropped: u64,
    /// Whether the log has said that the cells file is an old one.
    old_file_logged: bool,
}

impl Controller {
    /// Sends and logs the state of this cell, and makes the next change of its records. Only the
    /// leader does so, while its lease is valid and the mirror isn't stale.
    pub(crate) fn cells_housekeeping(&mut self) {
        let Some(file) = self.context.settings.cells.clone() else {
            return;
        };
        if self.context.leadership.is_none()
            || !self.context.lease_valid()
            || self.context.is_stale()
        {
            return;
        }
        self.refresh_counts();
        self.context.send_to_cells(&file);
        self.context.log_cell_sharing(&file);
        let cells = &self.context.cells;
        if cells.change_pending || self.context.store.mirror.revision < cells.next_change_after {
            return;
        }
        if let Some(change) = self.context.next_cell_change(&file) {
            self.context.commit_cell_change(change);
        }
        // The shards may use a share that has just come, and have to leave one that another cell
        // needs: their records change at once.
        self.update_shard_records();
    }

    /// Counts the shards owned here again if their records have changed since. Counted only every
    /// half second, they were out of date whenever quota shares had just changed, and while demand
    /// moved that was always: no quota was given, and starts waited for 10 s.
    fn refresh_counts(&mut self) {
        let current = |shard: &u32, owner: &ShardOwner| {
            let counts = self
                .context
                .leadership
                .as_ref()
                .and_then(|leadership| leadership.shard_counts.get(shard));
            counts.is_some_and(|(counts, _)| counts.revision == owner.shard_revision)
        };
        if !self
            .shards
            .iter()
            .all(|(shard, owner)| current(shard, owner))
        {
            self.send_counts();
        }
    }
}

impl Context {
    /// The record of what passes between this cell and another one.
    fn cell_link(&self, other: &Cell) -> LinkRecord {
        let slot = self.store.mirror.cell_links.get(other);
        slot.and_then(|slot| slot.record.clone())
            .unwrap_or_default()
    }
}
