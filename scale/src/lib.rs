//! Plays the service at scale on one machine: real controllers, and hollow workers, clouds, state
//! services and users that speak the protocols over TCP on the loopback addresses. What the
//! hollow workers run and what users are told is judged by a checker; what each controller takes
//! of processor, memory and network is measured.

#![warn(missing_docs)]

pub mod capacity;
pub mod controllers;
pub mod experiment;
pub mod hollow;
pub mod layout;
pub mod link_proxy;
pub mod observers;
pub mod procfs;
pub mod results;
pub mod run;
pub mod sweep;
