//! Observers: what is measured from outside the controllers, by what the stores, the workers and
//! the users see.

mod limits;
mod takeovers;

pub use limits::{LimitObserver, ShardView};
pub use takeovers::{TakeoverObserver, WorkerStart};
