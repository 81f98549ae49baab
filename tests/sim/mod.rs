//! A deterministic simulation: real controllers in simulated time, with test doubles of the store,
//! the cloud, workers and users. A checker verifies every rule from the outside, by the answers
//! that users get and the tasks that machines run.

mod cancellations;
mod checks;
mod controllers;
mod digest;
mod event;
mod faults;
mod limits;
mod links;
mod load;
mod malformed_requests;
mod observed;
mod outputs;
mod requests;
pub(crate) mod scenario;
mod script;
mod services;
mod setup;
mod store;
mod store_conditions;
mod store_delay;
mod submissions;
mod users;
mod workers;
pub(crate) mod world;
