//! The controllers of a run: processes of the real salttrestle program, with their settings files
//! and logs.

mod process;
mod settings;

pub use process::{Controller, RunPaths, Termination, find_program};
pub use settings::CLOUD_LIST_LAG;
