//! Periodic log lines about the links to other cells and the shared limits.

use crate::controller::context::Context;
use crate::settings::CellsFile;
use log::{debug, info, warn};

/// Interval between two reports in the log, in seconds.
const LOG_INTERVAL_S: f64 = 30.0;
/// A cell is logged as unreachable if its last message is older than this, in seconds.
const UNREACHABLE_AFTER_S: f64 = 5.0;

impl Context {
    /// Logs, every [`LOG_INTERVAL_S`], which cells are reachable and how the limits are shared.
    pub(super) fn log_cell_sharing(&mut self, file: &CellsFile) {
        if self.now < self.cells.next_log_at {
            return;
        }
        self.cells.next_log_at = self.now.after(LOG_INTERVAL_S);
        let Some(record) = &self.store.mirror.cell.record else {
            return;
        };
        for cell in file.other_cells() {
            let age = self
                .cells
                .received
                .get(cell)
                .map(|received| self.now.since(received.received_at));
            let pending = self
                .cell_link(cell)
                .pending
                .map_or(0, |transfer| transfer.amounts.len());
            match age.filter(|age| *age < UNREACHABLE_AFTER_S) {
                Some(age) => {
                    info!("cell heard, cell={cell} age_s={age:.1} teams_in_transit={pending}");
                }
                None => warn!("cell unreachable, cell={cell} teams_in_transit={pending}"),
            }
        }
        let revision = self.store.mirror.cell.revision;
        let dropped = self.cells.dropped_messages;
        info!(
            "cell quota status, cell={} revision={revision} messages_dropped={dropped}",
            file.local_cell
        );
        let views = self.team_views(record, file).unwrap_or_default();
        for (team, view) in &views {
            let ((cpus, gpus), used) = (view.share.to_pair(), view.used.to_pair());
            debug!("team share, team={team} cpus={cpus} gpus={gpus} used={used:?}");
        }
        for (team, limit) in &record.limits {
            let requested = self.requested_limit(record, team);
            if requested != *limit {
                let (limit, asked) = (limit.to_pair(), requested.to_pair());
                warn!("team limit not lowered yet, team={team} in_force={limit:?} asked={asked:?}");
            }
        }
    }
}
