//! Team limits that are enforced across cells.
//!
//! Each cell is a complete installation with its own store. A team's limit is split into shares,
//! one in each cell's store. A cell starts tasks within its share without asking another cell.
//! Quota moves between two cells by transfers. A transfer consists of three commits:
//!
//! 1. The giving cell lowers its share and records the transfer.
//! 2. The taking cell raises its share and records the transfer's sequence number.
//! 3. The giving cell removes the transfer from its record.
//!
//! Between the first and the second commit the amount is in transit, and no cell may use it.
//!
//! [`ledger`] defines the records and the only changes that may be made to them. Each change must
//! be committed on the condition that the records from which it was computed are unchanged.
//! [`sharing`] decides how much quota to give to which cell; the invariant of the ledger doesn't
//! depend on it. [`message`] defines the messages between two cells.
//!
//! The crate is a pure state machine: it uses no clock, no connections and no store.

#![warn(missing_docs)]

pub mod amount;
pub mod ledger;
pub mod message;
pub mod sharing;

pub use amount::Amount;

/// The name of a cell.
pub type Cell = String;
/// The name of a team.
pub type Team = String;
