//! Messages between the leaders of the cells.
//!
//! A message from another cell only triggers an attempt at a change. Whether the change is allowed
//! is decided from this cell's records, so no invariant depends on a message.

use crate::controller::context::Context;
use crate::controller::events::Output;
use crate::ids::Time;
use crate::settings::CellsFile;
use log::debug;
use salttrestle_cells::Cell;
use salttrestle_cells::ledger::CellRecord;
use salttrestle_cells::message::{LinkMessage, Recall};
use salttrestle_cells::sharing::{TeamView, needs};
use std::collections::BTreeMap;

/// Interval between messages to another cell while their content doesn't change, in seconds.
const SEND_INTERVAL_S: f64 = 0.5;
/// Interval between messages to another cell while their content changes, in seconds.
const CHANGED_SEND_INTERVAL_S: f64 = 0.1;
/// Maximum age of a message whose needs and recalls are acted on, in seconds. By then the need may
/// be met, so no quota is given for it, and the recall may be over, so no shard is limited by it.
const MESSAGE_AGE_MAX_S: f64 = 10.0;

/// The last message of another cell.
#[derive(Debug)]
pub(super) struct ReceivedMessage {
    pub(super) message: LinkMessage,
    pub(super) received_at: Time,
}

impl Context {
    /// Stores a message of another cell's leader. A message is dropped if it is addressed to
    /// another cell or its sender isn't in the cells file.
    pub(crate) fn on_cell_message(&mut self, message: LinkMessage) {
        let Some(file) = &self.settings.cells else {
            return;
        };
        let is_expected =
            message.to == file.local_cell && file.other_cells().any(|cell| *cell == message.from);
        if !is_expected {
            self.cells.dropped_messages += 1;
            debug!(
                "cell message dropped, from={} to={}",
                message.from, message.to
            );
            return;
        }
        let from = message.from.clone();
        let received = ReceivedMessage {
            message,
            received_at: self.now,
        };
        self.cells.received.insert(from, received);
    }

    /// The messages that are recent enough to act on.
    pub(super) fn recent_messages(&self) -> impl Iterator<Item = &LinkMessage> {
        let received = self.cells.received.values();
        received
            .filter(|received| self.now.since(received.received_at) < MESSAGE_AGE_MAX_S)
            .map(|received| &received.message)
    }

    /// Sends the state of this cell to all other cells when that is due, more often while it
    /// changes.
    pub(super) fn send_to_cells(&mut self, file: &CellsFile) {
        let Some(record) = self
            .store
            .mirror
            .cell
            .record
            .as_ref()
            .filter(|_| self.now >= self.cells.next_send_at)
        else {
            return;
        };
        let views = self.team_views(record, file);
        let mut has_changed = false;
        let mut messages = Vec::new();
        for to in file.other_cells() {
            let message = self.message_to(to, record, views.as_ref(), file);
            has_changed |= self.cells.sent.get(to) != Some(&message);
            messages.push((to.clone(), message));
        }
        let interval_s = if has_changed {
            CHANGED_SEND_INTERVAL_S
        } else {
            SEND_INTERVAL_S
        };
        self.cells.next_send_at = self.now.after(interval_s);
        for (to, message) in messages {
            self.outbox.push(Output::Cell(to.clone(), message.clone()));
            self.cells.sent.insert(to, message);
        }
    }

    /// The message to another cell: this cell's needs and recalls, and the transfers between the
    /// two cells.
    fn message_to(
        &self,
        to: &Cell,
        record: &CellRecord,
        views: Option<&BTreeMap<String, TeamView>>,
        file: &CellsFile,
    ) -> LinkMessage {
        let link = self.cell_link(to);
        let recalls = record.limits.iter().map(|(team, limit)| Recall {
            team: team.clone(),
            amount: limit.saturating_sub(self.requested_limit(record, team)),
            limit: *limit,
        });
        LinkMessage {
            from: file.local_cell.clone(),
            to: to.clone(),
            generation: file.generation,
            taken: link.taken,
            transfer: link.pending,
            needs: views.map(needs).unwrap_or_default(),
            recalls: recalls.filter(|recall| !recall.amount.is_zero()).collect(),
        }
    }
}
