//! The trials of the scenario tests: one module per kind of trial, and the code that runs them.

pub(crate) mod checker_rules;
mod expectations;
pub(crate) mod files;
mod play;
pub(crate) mod random_faults;
pub(crate) mod work_per_change;
