//! Experiments: the cells, the load and the faults of a run, as TOML. An experiment is checked in
//! full before anything starts.

mod bounds;
mod faults;
mod settings;

pub use bounds::{
    CONTROLLERS_MAX, MEMORY_MAX_MB, PROCESSES_MAX, SECONDS_MAX, STARTS_MAX, WORKERS_MAX,
};
pub use faults::{ControllerRole, Fault, FaultKind, LeaderEnd, Takeovers};
pub use settings::{
    Cell, Experiment, ExperimentError, Load, Objectives, Phases, ServiceSettings, Sharing,
};

/// The experiment that runs when no file is named.
pub const EMBEDDED: &str = include_str!("../../experiments/small.toml");
/// The experiment with takeovers that runs when no file is named.
pub const EMBEDDED_TAKEOVERS: &str = include_str!("../../experiments/takeovers-small.toml");
