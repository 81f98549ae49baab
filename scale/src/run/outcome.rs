//! Everything that the results of a run are made from.

use super::installation::Installation;
use super::measurement::Measurement;
use crate::experiment::Experiment;
use crate::hollow::SharedState;
use crate::results::SampleRow;

/// Everything that the results of a run are made from.
pub(super) struct RunOutcome<'a> {
    pub(super) experiment: &'a Experiment,
    pub(super) shared: &'a SharedState,
    pub(super) installation: &'a Installation,
    pub(super) measurement: &'a Measurement,
    pub(super) samples: &'a [SampleRow],
    /// Ids of controllers that were asked to terminate and didn't.
    pub(super) ignored_terminations: &'a [String],
    /// When the load began, on the clock of the shared state.
    pub(super) load_began_ms: u64,
}
