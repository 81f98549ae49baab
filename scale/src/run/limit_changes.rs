//! Operators' changes of team limits while cells share them.

use super::installation::CellThread;
use crate::experiment::Experiment;
use crate::hollow::{Command, SharedState};
use crate::layout::{home_cell, team_name};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// New limits are drawn in eighths of the initial one: from a half to one and a half times.
const EIGHTHS: std::ops::RangeInclusive<i32> = 4..=12;

/// Changes limits at a steady rate.
pub(super) struct LimitChanges {
    rng: StdRng,
    /// Seconds between two changes; `None` without changes.
    interval_s: Option<f64>,
    next_s: f64,
}

impl LimitChanges {
    /// The changes that an experiment asks for; the first comes at the end of the ramp.
    pub(super) fn new(experiment: &Experiment) -> Self {
        let sharing = experiment.sharing.as_ref();
        let rate = sharing.map(|sharing| sharing.changes_per_s);
        Self {
            rng: StdRng::seed_from_u64(experiment.seed),
            interval_s: rate.filter(|rate| *rate > 0.0).map(|rate| 1.0 / rate),
            next_s: experiment.phases.ramp_s,
        }
    }

    /// Makes the changes that are due.
    pub(super) fn apply_due(
        &mut self,
        at_s: f64,
        experiment: &Experiment,
        cells: &[CellThread],
        shared: &SharedState,
    ) {
        let Some(interval_s) = self.interval_s else {
            return;
        };
        while at_s >= self.next_s {
            self.next_s += interval_s;
            self.change_limit(experiment, cells, shared);
        }
    }

    /// Changes one team's limit at its home cell.
    fn change_limit(
        &mut self,
        experiment: &Experiment,
        cells: &[CellThread],
        shared: &SharedState,
    ) {
        let load = &experiment.load;
        let team = self.rng.random_range(0..load.teams);
        let factor = f64::from(self.rng.random_range(EIGHTHS)) / 8.0;
        let [cpus, gpus] = load.team_limit.map(|initial| (initial * factor).floor());
        let (limit, name) = ((cpus, gpus), team_name(team));
        let now = shared.now_ms();
        let previous = shared.checker().limits.get(&name).copied();
        let previous = previous.unwrap_or_default();
        shared
            .limit_observer()
            .record_change_request(now, &name, limit, previous);
        let home = &cells[home_cell(experiment, team)];
        home.send(Command::SetLimit { team: name, limit });
    }
}
