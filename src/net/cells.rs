//! Messages between cells: each controller listens for other cells, and a leader tells each
//! controller of another cell, since it doesn't know which of them leads there.

use crate::controller::events::Input;
use crate::ids::Time;
use crate::net::Net;
use crate::net::connections::{Conn, Role, open};
use log::{debug, warn};
use salttrestle_cells::Cell;
use salttrestle_cells::message::{self, LinkMessage};
use std::net::SocketAddrV4;

/// Pause before a connection that failed is tried again, in seconds, and by how much of it more
/// at most, so that the controllers of a cell don't all come back at once.
const RETRY_S: f64 = 1.0;
const RETRY_JITTER: f64 = 0.5;

impl Net {
    /// Takes whole messages off a link; false when it is to be closed.
    pub(super) fn cell_messages(&mut self, key: usize) -> bool {
        let Some(Conn {
            role: Role::CellIn { buf },
            ..
        }) = self.conns.get_mut(&key)
        else {
            return true;
        };
        loop {
            match message::unframe(buf) {
                Ok(Some(message)) => self.inputs.push_back(Input::Cell(message)),
                Ok(None) => return true,
                Err(why) => {
                    warn!("another cell's link is closed: {why}");
                    return false;
                }
            }
        }
    }

    /// Tells every controller of a cell. What a link doesn't take is lost; it is told again.
    pub(super) fn tell_cell(&mut self, to: &Cell, message: &LinkMessage) {
        let Some(file) = &self.settings.cells else {
            return;
        };
        let bytes = match message::frame(message) {
            Ok(bytes) => bytes,
            Err(why) => return warn!("a message to cell {to} isn't sent: {why}"),
        };
        let controller_ids = file.cells.get(to).into_iter().flat_map(|m| m.values());
        let addresses: Vec<SocketAddrV4> = controller_ids.copied().collect();
        for address in addresses {
            let Some(key) = self.cell_link(address) else {
                continue;
            };
            if self.send(key, &bytes) {
                self.gauge.sent_to_cell(bytes.len());
            } else {
                self.close(key);
            }
        }
    }

    /// The connection to another cell's controller, begun now if there is none.
    fn cell_link(&mut self, to: SocketAddrV4) -> Option<usize> {
        if let Some(key) = self.cell_links.get(&to) {
            return Some(*key);
        }
        let now = self.now();
        if self.cell_retry.get(&to).is_some_and(|at| now < *at) {
            return None;
        }
        self.cell_retry.insert(to, retry_at(now));
        let stream = match open(to) {
            Ok(stream) => stream,
            Err(e) => {
                debug!("no link to {to}: {e}");
                return None;
            }
        };
        let key = self.add(stream, Role::CellOut { to })?;
        self.cell_links.insert(to, key);
        Some(key)
    }
}

fn retry_at(now: Time) -> Time {
    now.after(RETRY_S * (1.0 + RETRY_JITTER * rand::random::<f64>()))
}
