//! Warm standby: how the controllers that don't lead notice that the leader is gone, and what the
//! next one of them knows as it begins.
//!
//! The leader's record at the store hangs on a lease of a few seconds, and without this
//! package nobody takes over before that lease is over. Here the others agree sooner:
//! [`detector`] says whether one controller has lost the leader, [`standby`] counts how many have,
//! and a majority may replace the leader's record at once, by a commit on the condition that it is
//! unchanged. [`fence`] says for how long such a successor leaves the cloud alone: calls to the
//! cloud carry no condition, so that they rest on the lease of whoever led before. [`hints`] has
//! what the leader tells the others of what no record holds, and [`message`] both kinds of messages.
//!
//! No rule rests on who is suspected or on what a hint says: suspicion only decides when a commit
//! is tried, and a hint only where a task is placed first and how much room is kept free.
//!
//! Nothing here knows of links, state services or the clock: moments are milliseconds on the
//! caller's steady clock, and never go back.

#![warn(missing_docs)]

pub mod config;
pub mod detector;
pub mod fence;
pub mod hints;
pub mod message;
pub mod standby;

pub use config::Config;
pub use standby::Standby;

/// The name of a controller.
pub type ControllerId = String;
/// A moment on the caller's steady clock, in milliseconds.
pub type Millis = u64;
