//! Sharing of team limits between cells, done by the leader of each cell. A team's home is the cell
//! whose record holds the team's limit.
//!
//! This cell's own store holds the record of the cell, and one record for the link to each other
//! cell. The leader makes one change of these records at a time, within the rules of
//! [`salttrestle_cells::ledger`]. A change is committed on the condition that the records of the
//! leader, the cell and the link and, where quota is given away, of every shard are unchanged.
//! Messages of other cells only trigger an attempt at a change; no invariant depends on them. What
//! the shards may use follows from the cell's record, in commits that are conditional on it.
//!
//! [`views`] computes what each team uses and wants in this cell, [`changes`] decides on changes
//! and commits them, [`messages`] exchanges needs and recalls with the other cells, and
//! [`status_log`] reports to operators.

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

/// The state that this controller keeps for the sharing of limits between cells.
#[derive(Debug, Default)]
pub(crate) struct CellSharing {
    /// The last message from each other cell.
    received: BTreeMap<Cell, ReceivedMessage>,
    /// Whether a change is being committed at the store.
    change_pending: bool,
    /// The next change is made once the mirror has reached this revision.
    next_change_revision: u64,
    /// The last message to each other cell.
    sent: BTreeMap<Cell, LinkMessage>,
    next_send_at: Time,
    next_log_at: Time,
    /// Number of messages dropped because they were addressed to another cell or their sender isn't
    /// in the cells file.
    dropped_messages: u64,
    /// Whether it has been logged that the cells file is older than the one adopted before.
    old_file_logged: bool,
}

impl Controller {
    /// Sends and logs the state of this cell, and commits the next change of its records. Only the
    /// leader does so, while its lease is valid and its mirror isn't stale.
    pub(crate) fn cells_housekeeping(&mut self) {
        let Some(file) = self.context.settings.cells.clone() else {
            return;
        };
        if self.context.leadership.is_none()
            || !self.context.has_valid_lease()
            || self.context.is_stale()
        {
            return;
        }
        self.refresh_counts();
        self.context.send_to_cells(&file);
        self.context.log_cell_sharing(&file);
        let cells = &self.context.cells;
        if cells.change_pending || self.context.store.mirror.revision < cells.next_change_revision {
            return;
        }
        if let Some(change) = self.context.next_cell_change(&file) {
            self.context.commit_cell_change(change);
        }
        // The shards' records follow the cell's shares at once: shards may use a share that has
        // just arrived, and have to free one that another cell needs.
        self.update_shard_records();
    }

    /// Sends new counts of the shards owned here if a shard's record has changed since its last
    /// count. When they were counted only every half second, the counts were out of date after each
    /// change of quota shares. While demand kept changing they were never current, so no quota was
    /// given, and task starts waited for 10 s.
    fn refresh_counts(&mut self) {
        let is_current = |shard: &u32, owner: &ShardOwner| {
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
            .all(|(shard, owner)| is_current(shard, owner))
        {
            self.send_counts();
        }
    }
}

impl Context {
    /// The record of the transfers between this cell and another one, empty if there is none yet.
    fn cell_link(&self, other: &Cell) -> LinkRecord {
        let slot = self.store.mirror.cell_links.get(other);
        slot.and_then(|slot| slot.record.clone())
            .unwrap_or_default()
    }
}
