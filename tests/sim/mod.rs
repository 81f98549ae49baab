//! Stand-ins for store, cloud, workers and users, in simulated time, around
//! real cores; a checker looks at every rule after every step.

mod digest;
mod limits;
mod nodes;
mod script;
mod services;
mod state;
mod troubles;
mod users;
mod workers;
pub mod world;
