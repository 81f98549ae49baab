//! Warm standby: how the controllers that don't lead detect that the leader has failed, and what the
//! next leader knows as it takes over.
//!
//! The leader's record at the store is attached to a lease of a few seconds, and without this
//! package no controller takes over before that lease expires. Here the others agree sooner:
//! [`detector`] says whether one controller has lost the leader, [`standby`] counts how many have,
//! and a majority may replace the leader's record at once, by a commit on the condition that it is
//! unchanged. [`fence`] says for how long such a successor must not call the cloud: calls to the
//! cloud have no preconditions, so that their safety depends on the former leader's lease.
//! [`hints`] has what the leader tells the others that no record has, and [`message`] the messages.
//!
//! No rule depends on who is suspected or on what a hint says: suspicion only decides when a commit
//! is tried, and a hint only where a task is placed first and how much capacity is kept free.
//!
//! This is a state machine alone: it has no connections, no store and no clock. Moments are
//! milliseconds on the caller's monotonic clock.

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
/// A moment on the caller's monotonic clock, or a span, in milliseconds.
pub type Millis = u64;
