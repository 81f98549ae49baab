//! Observers, which measure the controllers from outside: by the records in the stores, and by the
//! requests and commands that the cloud and the workers receive.

mod limits;
mod takeovers;

pub use limits::{LimitObserver, ShardView};
pub use takeovers::{TakeoverObserver, WorkerStart};
