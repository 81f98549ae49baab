//! Team limits that hold across cells.
//!
//! Each cell is a complete installation with a store of its own. A team's limit is split into
//! shares, one in each cell's store, and a cell starts tasks within its share without asking
//! another cell. Shares move by transfers between two cells, each of three commits: the giver lowers
//! its share and records the transfer; the taker raises its share and records the transfer's
//! number; the giver removes the transfer from its record. In between the amount is in transit, and
//! no cell may use it.
//!
//! [`ledger`] has the records and the only changes that may be made to them; each must be committed
//! on the condition that the records it was made from are unchanged. [`sharing`] decides what to
//! give to which cell; no rule depends on it. [`message`] is what two cells send each other.
//!
//! This is a state machine alone: it has no clock, no connections and no store.

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
