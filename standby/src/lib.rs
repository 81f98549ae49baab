//! Warm standby: how the controllers that don't lead detect that the leader has failed, and what
//! the next leader knows when it takes over.
//!
//! The leader's record in the store is attached to a lease of a few seconds. Without this crate no
//! controller takes over before the lease expires. With it, the other controllers can agree sooner
//! that the leader has failed:
//!
//! - [`detector`] decides whether this controller suspects the leader.
//! - [`standby`] counts the controllers that suspect the leader. Once they are a majority, one of
//!   them may replace the leader's record at once, by a commit on the condition that the record is
//!   unchanged.
//! - [`fence`] computes for how long such a successor must not call the cloud. Calls to the cloud
//!   have no preconditions, so their safety depends on the former leader's lease.
//! - [`hints`] contains what the leader tells the other controllers besides the records.
//! - [`message`] defines the messages between controllers.
//!
//! Correctness doesn't depend on suspicions or hints. A suspicion only decides when a commit is
//! tried. A hint only influences where a task is placed first and how much capacity is kept free.
//!
//! The crate is a pure state machine: it uses no connections, no store and no clock. Times are
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

/// The id of a controller.
pub type ControllerId = String;
/// A time on the caller's monotonic clock, or a duration, in milliseconds.
pub type Millis = u64;
