//! Experiments, which describe the cells, the load and the faults of a run in TOML. An experiment
//! is validated completely before the run starts any process.

mod bounds;
mod faults;
mod settings;

pub use bounds::{
    CONTROLLERS_MAX, MEMORY_MAX_MB, PROCESSES_MAX, RUN_MAX_S, STARTS_PER_S_MAX, WORKERS_MAX,
};
pub use faults::{ControllerRole, Fault, FaultKind, LeaderFault, Takeovers};
pub use settings::{
    Cell, Experiment, ExperimentError, Load, Objectives, Phases, ServiceSettings, Sharing,
};

/// The default experiment of the `run` command.
pub const EMBEDDED_EXPERIMENT: &str = include_str!("../../experiments/small.toml");
/// The default experiment of the `takeovers` command.
pub const EMBEDDED_TAKEOVERS: &str = include_str!("../../experiments/takeovers-small.toml");
