//! salttrestle: a scheduler for rented fleets that serve language models.
//!
//! The [`core`] is a state machine without I/O, clock or randomness of its own;
//! [`net`] feeds it and carries out what it returns.

pub mod core;
pub mod gauge;
pub mod http;
pub mod ids;
pub mod net;
pub mod peer;
pub mod settings;
pub mod wire;
