//! Quotas of teams: [`team_limits`] reads the limits that operators set at run time, and [`cells`]
//! shares limits with other cells.

pub(crate) mod cells;
pub(crate) mod team_limits;
