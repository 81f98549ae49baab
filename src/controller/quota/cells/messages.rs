//! Messages between the leaders of the cells.
//!
//! A message from another cell is only a reason to try a change: no rule rests on it.

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

/// Between two messages to another cell while nothing changes, in seconds.
const SEND_S: f64 = 0.5;
/// Between two messages to another cell while something changes, in seconds.
const SEND_CHANGED_S: f64 = 0.1;
/// The needs and recalls in a message are believed for so long, in seconds: later no quota is given
/// for a need that may be met, and no shard is held back for a recall that may be over.
const BELIEVED_S: f64 = 10.0;

/// The last message of another cell.
#[derive(Debug)]
pub(super) struct ReceivedMessage {
    /// The message itself.
    pub(super) message: LinkMessage,
    /// When it came.
    pub(super) received_at: Time,
}

impl Context {
    /// Keeps a message of another cell's leader, unless it is from or for a cell that the cells
    /// file doesn't name.
    pub(crate) fn on_cell_message(&mut self, message: LinkMessage) {
        let Some(file) = &self.settings.cells else {
            return;
        };
        let expected = message.to == file.here && file.others().any(|cell| *cell == message.from);
        if !expected {
            self.cells.dropped += 1;
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
    pub(super) fn believed_messages(&self) -> impl Iterator<Item = &LinkMessage> {
        let received = self.cells.received.values();
        received
            .filter(|received| self.now.since(received.received_at) < BELIEVED_S)
            .map(|received| &received.message)
    }

    /// Sends the state of this cell to all others, more often while it changes.
    pub(super) fn send_to_cells(&mut self, file: &CellsFile) {
        let Some(record) = self
            .store
            .mirror
            .cell
            .record
            .as_ref()
            .filter(|_| self.now >= self.cells.next_send)
        else {
            return;
        };
        let views = self.team_views(record, file);
        let mut changed = false;
        let mut messages = Vec::new();
        for to in file.others() {
            let message = self.message_to(to, record, views.as_ref(), file);
            changed |= self.cells.sent.get(to) != Some(&message);
            messages.push((to.clone(), message));
        }
        let pause = if changed { SEND_CHANGED_S } else { SEND_S };
        self.cells.next_send = self.now.after(pause);
        for (to, message) in messages {
            self.outbox.push(Output::Cell(to.clone(), message.clone()));
            self.cells.sent.insert(to, message);
        }
    }

    /// The message that shows another cell this cell's state and the transfers between the two.
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
            amount: limit.beyond(self.requested_limit(record, team)),
            limit: *limit,
        });
        LinkMessage {
            from: file.here.clone(),
            to: to.clone(),
            generation: file.generation,
            taken: link.taken,
            transfer: link.pending,
            needs: views.map(needs).unwrap_or_default(),
            recalls: recalls.filter(|recall| !recall.amount.is_zero()).collect(),
        }
    }
}
