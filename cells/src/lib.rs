//! Team limits that hold across cells.
//!
//! Each cell is a whole installation with a store of its own. A team's limit is split into
//! shares, one in each cell's store, and a cell starts tasks within its share without
//! asking anybody. Shares move by transfers between two cells, of three commits: the giver lowers
//! its share and records the transfer; the taker raises its share and records the transfer's
//! number; the giver forgets it. What is lost sight of in between is in transit, and belongs to
//! nobody.
//!
//! [`ledger`] has the records and the only changes that may be made to them; each is to be
//! committed on the condition that the records it was made from are unchanged. [`sharing`] decides
//! what to give to whom, on which no rule rests. [`message`] is what two cells tell each other.
//!
//! Nothing here knows of clocks, links or state services.

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
