//! Changes of the cell's record and of its links to other cells, and the transactions that commit
//! them.
//!
//! The leader makes one change at a time. Each change is conditional on the records of the leader,
//! the cell and the link and, where it gives quota away, on the record of every shard.

use crate::controller::context::Context;
use crate::controller::rate_limits::token_bucket::Priority;
use crate::controller::store::mirror::Mirrored;
use crate::controller::store::records::{Key, Record};
use crate::controller::store_requests::RequestPurpose;
use crate::settings::CellsFile;
use crate::wire::{StoreRequest, StoreResponse, Write};
use log::{debug, warn};
use salttrestle_cells::ledger::{CellRecord, LinkRecord, Refusal};
use salttrestle_cells::sharing::plan_transfers;
use salttrestle_cells::{Amount, Cell};

/// One change of the cell's record, of a link's record, or of both.
#[derive(Debug)]
pub(super) struct CellChange {
    /// The new record of the cell, if it changes.
    cell: Option<CellRecord>,
    /// The new record of a link and the cell at its other end, if one changes.
    link: Option<(Cell, LinkRecord)>,
    /// Whether the commit is conditional on every shard's record.
    shards_unchanged: bool,
    /// Why the change is made, for the log.
    reason: String,
}

impl CellChange {
    fn of_cell(cell: CellRecord, shards_unchanged: bool, reason: String) -> Self {
        Self {
            cell: Some(cell),
            link: None,
            shards_unchanged,
            reason,
        }
    }
}

impl Context {
    /// The next change to make. In order of precedence: the cell's first record, the adoption of a
    /// newer cells file, an incoming transfer, a limit, an outgoing transfer.
    pub(super) fn next_cell_change(&mut self, file: &CellsFile) -> Option<CellChange> {
        let Some(record) = self.store.mirror.cell.record.clone() else {
            let record = CellRecord::create(&file.local_cell, file.generation, &file.teams);
            return Some(CellChange::of_cell(record, false, "first record".into()));
        };
        match record.adopt(&file.local_cell, file.generation, &file.teams) {
            Ok(adopted) => {
                let reason = format!("generation {} of the cells file", file.generation);
                return Some(CellChange::of_cell(adopted, false, reason));
            }
            Err(Refusal::OldFile) if !self.cells.old_file_logged => {
                let (old, new) = (file.generation, record.generation);
                warn!("cells file is old, generation={old} newest_generation={new}");
                self.cells.old_file_logged = true;
            }
            Err(_) => {}
        }
        let incoming = self.incoming_transfer_change(&record);
        incoming
            .or_else(|| self.limit_change(&record, file))
            .or_else(|| self.outgoing_transfer_change(&record, file))
    }

    /// Takes a transfer that another cell announces, or deletes a pending transfer to a cell that
    /// reports that it has taken it.
    fn incoming_transfer_change(&self, record: &CellRecord) -> Option<CellChange> {
        for (from, received) in &self.cells.received {
            let message = &received.message;
            let link = self.cell_link(from);
            if let Ok(cleared) = link.clear_pending(message.taken) {
                return Some(CellChange {
                    cell: None,
                    link: Some((from.clone(), cleared)),
                    shards_unchanged: false,
                    reason: format!("{from} has taken transfer {}", message.taken),
                });
            }
            let Some(transfer) = &message.transfer else {
                continue;
            };
            if let Ok((cell, link)) = record.take(&link, transfer) {
                return Some(CellChange {
                    cell: Some(cell),
                    link: Some((from.clone(), link)),
                    shards_unchanged: false,
                    reason: format!("takes transfer {} of {from}", transfer.number),
                });
            }
        }
        None
    }

    /// Moves the limit of a team whose home is here towards the one that operators request.
    fn limit_change(&self, record: &CellRecord, file: &CellsFile) -> Option<CellChange> {
        let views = self.team_views(record, file);
        for team in record.limits.keys() {
            let requested = self.requested_limit(record, team);
            let view = views.as_ref().and_then(|views| views.get(team));
            // Without current counts of every shard, all of the share may be in use.
            let held = view.map_or(record.share(team), |view| view.held);
            if let Ok(changed) = record.change_limit(team, requested, held) {
                let limit = changed.limits.get(team).copied().unwrap_or_default();
                let reason = format!("the limit of {team} is {:?}", limit.to_pair());
                return Some(CellChange::of_cell(changed, true, reason));
            }
        }
        None
    }

    /// Transfers quota to a cell that needs it more, or back to a team's home that recalls it.
    fn outgoing_transfer_change(
        &self,
        record: &CellRecord,
        file: &CellsFile,
    ) -> Option<CellChange> {
        let mut views = self.team_views(record, file)?;
        // A home gives away no quota of a team whose limit is being lowered, since it recalls that
        // quota itself.
        let is_lowered = |team: &str| {
            let limit = record.limits.get(team);
            limit.is_some_and(|limit| {
                !limit
                    .saturating_sub(self.requested_limit(record, team))
                    .is_zero()
            })
        };
        views.retain(|team, _| !is_lowered(team));
        let messages = self
            .recent_messages()
            .map(|message| (message.from.clone(), message))
            .collect();
        for (to, amounts) in plan_transfers(&views, &messages, file.cells.len()) {
            let held = |team: &str| views.get(team).map_or(Amount::ZERO, |view| view.held);
            let teams = amounts.len();
            if let Ok((cell, link)) = record.give(&self.cell_link(&to), amounts, held) {
                return Some(CellChange {
                    cell: Some(cell),
                    reason: format!("gives quota of {teams} teams to {to}"),
                    link: Some((to, link)),
                    shards_unchanged: true,
                });
            }
        }
        None
    }

    /// Sends the transaction that commits a change.
    pub(super) fn commit_cell_change(&mut self, change: CellChange) {
        let mut preconditions = vec![(Key::Leader, self.store.mirror.leader.expected_revision())];
        let mut writes = Vec::new();
        preconditions.push((Key::Cell, self.store.mirror.cell.expected_revision()));
        if let Some(cell) = change.cell {
            writes.push(Write::put(Key::Cell, Record::Cell(Box::new(cell))));
        }
        if let Some((other, link)) = change.link {
            let key = Key::CellLink(other.clone());
            let slot = self.store.mirror.cell_links.get(&other);
            preconditions.push((key.clone(), slot.map_or(0, Mirrored::expected_revision)));
            writes.push(Write::put(key, Record::CellLink(link)));
        }
        if change.shards_unchanged {
            let shards = self.store.mirror.shards.iter();
            preconditions
                .extend(shards.map(|(shard, slot)| (Key::Shard(*shard), slot.expected_revision())));
        }
        debug!("cell records change, reason={}", change.reason);
        let request = StoreRequest::Transaction {
            preconditions,
            writes,
        };
        self.cells.change_pending = self
            .send_store_request(request, RequestPurpose::CellChange, Priority::First)
            .is_ok();
    }

    /// Handles the response to the commit of a change. Only the revision matters: the next change
    /// is decided from the mirror, which shows whether this one was committed.
    pub(crate) fn on_cell_changed(&mut self, response: StoreResponse) {
        self.cells.change_pending = false;
        if let StoreResponse::Committed { revision } = response {
            self.cells.next_change_revision = revision;
        }
    }
}
