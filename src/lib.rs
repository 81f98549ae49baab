//! salttrestle: a scheduler for rented fleets that serve language models.
//!
//! The [`controller`] is a deterministic state machine: it does no I/O, reads no clock and draws no
//! random numbers. [`net`] runs the event loop that passes inputs to it and executes the outputs it
//! returns.

pub mod controller;
pub mod http;
pub mod ids;
pub mod metrics;
pub mod net;
pub mod peer;
pub mod settings;
pub mod wire;
