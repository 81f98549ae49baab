//! Plays the service at scale on one machine: real controllers, and hollow workers, clouds, stores
//! and users that speak the protocols over TCP on the loopback addresses. A checker judges what the
//! workers run and what users are answered; processor, memory and network use of each controller
//! are measured.

#![warn(missing_docs)]

pub mod axis;
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
