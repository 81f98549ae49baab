//! salttrestle: a scheduler for rented fleets that serve language models.
//!
//! The [`controller`] is a state machine without I/O, clock or randomness of its own;
//! [`net`] feeds it and carries out what it returns.

pub mod controller;
pub mod http;
pub mod ids;
pub mod metrics;
pub mod net;
pub mod peer;
pub mod settings;
pub mod wire;
