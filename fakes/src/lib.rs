//! Test doubles of the external systems that salttrestle talks to, and checkers of its invariants.
//!
//! The doubles have neither a network nor a clock: the caller passes in the time and delivers the
//! messages. The scenario tests run them in simulated time and the scale test over TCP, so that
//! both share one implementation of the protocol.
//!
//! [`store`], [`cloud`] and [`worker`] are the doubles; [`user`] and [`rate`] have the parts that
//! simulated users and rate limits share. [`checker`] checks the invariants that users and machines
//! can observe; [`commands`] and [`cloud_calls`] check what controllers send to workers and to the
//! cloud.

#![warn(missing_docs)]

pub mod checker;
pub mod cloud;
pub mod cloud_calls;
pub mod commands;
pub mod rate;
pub mod store;
pub mod user;
pub mod worker;
