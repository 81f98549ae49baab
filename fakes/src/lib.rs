//! Stand-ins for the outside systems that salttrestle talks to, without a network or a clock of
//! their own: the caller hands in the time and carries the messages. The scenarios play them in
//! simulated time, the scale run over TCP, so that both follow one reading of the protocol.

#![warn(missing_docs)]

pub mod checker;
pub mod cloud;
pub mod duties;
pub mod orders;
pub mod rate;
pub mod store;
pub mod user;
pub mod worker;
