//! The capacity of a cell: a line for each cost along each axis, fitted to measured runs, and the
//! part of the capacity page that is computed from these lines, so that page and measurement agree.

mod heartbeats;
mod metric;
mod page;
mod slope;
mod table;

pub use metric::{Label, Metric};
pub use page::with_computed;
pub use slope::Slope;
pub use table::SlopeTable;
