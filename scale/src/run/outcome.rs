//! The inputs of the report on a run.

use super::installation::Installation;
use super::measurement::Measurement;
use crate::experiment::Experiment;
use crate::hollow::SharedState;
use crate::results::SampleRow;

/// The inputs of the report on a run: its experiment, and everything measured and observed.
pub(super) struct RunOutcome<'a> {
    pub(super) experiment: &'a Experiment,
    pub(super) shared: &'a SharedState,
    pub(super) installation: &'a Installation,
    pub(super) measurement: &'a Measurement,
    pub(super) samples: &'a [SampleRow],
    /// Ids of controllers that were still running when their restart after a SIGTERM was due.
    pub(super) ignored_terminations: &'a [String],
    /// Time at which the load began, in milliseconds on the clock of the shared state.
    pub(super) load_began_ms: u64,
}
