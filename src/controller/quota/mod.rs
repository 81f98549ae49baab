//! Quotas of teams: [`team_limits`] reads the limits that operators set, and [`cells`] shares them
//! with other installations.

pub(crate) mod cells;
pub(crate) mod team_limits;
