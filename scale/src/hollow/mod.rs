//! The hollow side of one cell: its workers, users, cloud and store, which speak the protocols with
//! real controllers. One thread plays all of them.

mod cell;
mod cloud;
mod commands;
mod connections;
mod jobs;
mod plan;
mod request;
mod shared;
mod store;
mod timers;
mod traffic;
mod users;
mod workers;

pub use cell::HollowCell;
pub use commands::{CellSample, Command};
pub use jobs::{BATCH_CLASS, SERVICE_CLASS, URGENT_CLASS};
pub use plan::CellPlan;
pub use shared::SharedState;
pub use store::StoreCounts;
pub use traffic::{ConnectionKind, KindTraffic, Traffic};
