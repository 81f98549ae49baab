//! Hollow cells, which simulate everything around the controllers of a cell: workers, users, cloud
//! and store. "Hollow" components speak the real protocols with real controllers over TCP, but run
//! no tasks and own no machines. All components of a cell share one thread.

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
