//! A load generator that runs salttrestle at scale on one machine. The controllers are real
//! processes. Workers, clouds, stores and users are hollow: they are simulated, but speak the real
//! protocols over TCP on loopback addresses. A checker verifies which tasks the workers run and
//! which responses the users receive. The CPU, memory and network use of each controller is
//! measured.

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
