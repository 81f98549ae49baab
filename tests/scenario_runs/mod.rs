//! What the scenario tests consist of: one module for each kind of trial, and how one is played.

pub(crate) mod checker_rules;
mod expectations;
pub(crate) mod files;
mod play;
pub(crate) mod random_faults;
pub(crate) mod work_per_change;
