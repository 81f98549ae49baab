//! Changes team limits during a run, as operators do, while cells share the limits.

use super::installation::CellThread;
use crate::experiment::Experiment;
use crate::hollow::{Command, SharedState};
use crate::layout::{home_cell, team_name};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Range from which new limits are drawn, in eighths of the initial limit: 0.5 to 1.5 times the
/// initial limit.
const NEW_LIMIT_EIGHTHS: std::ops::RangeInclusive<i32> = 4..=12;

/// Changes the limits of randomly drawn teams at a constant rate.
pub(super) struct LimitChanges {
    rng: StdRng,
    /// Interval between two changes, in seconds; `None` if limits don't change.
    interval_s: Option<f64>,
    /// Time of the next change, in seconds from the start of the load.
    next_change_s: f64,
}

impl LimitChanges {
    /// Schedules the limit changes of the experiment. The first is due at the end of the ramp.
    pub(super) fn new(experiment: &Experiment) -> Self {
        let sharing = experiment.sharing.as_ref();
        let rate = sharing.map(|sharing| sharing.changes_per_s);
        Self {
            rng: StdRng::seed_from_u64(experiment.seed),
            interval_s: rate.filter(|rate| *rate > 0.0).map(|rate| 1.0 / rate),
            next_change_s: experiment.phases.ramp_s,
        }
    }

    /// Makes all changes that are due at `at_s`, in seconds from the start of the load.
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
        while at_s >= self.next_change_s {
            self.next_change_s += interval_s;
            self.change_limit(experiment, cells, shared);
        }
    }

    /// Changes the limit of one randomly drawn team at the team's home cell.
    fn change_limit(
        &mut self,
        experiment: &Experiment,
        cells: &[CellThread],
        shared: &SharedState,
    ) {
        let load = &experiment.load;
        let team = self.rng.random_range(0..load.teams);
        let factor = f64::from(self.rng.random_range(NEW_LIMIT_EIGHTHS)) / 8.0;
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
