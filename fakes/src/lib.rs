//! Test doubles of the outside systems that salttrestle talks to, without a network or a clock of
//! their own: the caller hands in the time and carries the messages. The scenarios play them in
//! simulated time, the scale run over TCP, so that both follow one reading of the protocol.
//!
//! [`store`], [`cloud`] and [`worker`] act; [`user`] and [`rate`] have what users and limits do.
//! [`checker`] judges the rules that users and machines see, [`orders`] and [`duties`] those on
//! what controllers send to workers and to the cloud.

#![warn(missing_docs)]

pub mod checker;
pub mod cloud;
pub mod cloud_calls;
pub mod commands;
pub mod rate;
pub mod store;
pub mod user;
pub mod worker;
