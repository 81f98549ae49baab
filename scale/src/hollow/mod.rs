//! One cell's outside world: workers, users, cloud and store, in one thread.

mod cell;
mod cloud_service;
mod connections;
mod state_service;
mod users;
mod workers;

pub use cell::{CellPlan, CellSample, Command, HollowCell, Shared};
pub use connections::Traffic;
pub use state_service::StateCounts;
