//! Team limits: those that operators set, and those that several cells share.

pub(crate) mod cells;
pub(crate) mod team_limits;
