//! What this controller knows of the store, and its requests to it.

pub mod chunks;
pub mod mirror;
pub mod records;
pub(crate) mod requests;
pub(crate) mod staleness;
pub(crate) mod watch;
