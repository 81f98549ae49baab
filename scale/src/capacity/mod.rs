//! The capacity model of a cell: a linear fit of each cost along each axis, from measured runs. A
//! section of the capacity page is computed from the fits, so that the page agrees with the
//! measurements.

mod heartbeats;
mod metric;
mod page;
mod slope;
mod table;

pub use metric::{Label, Metric};
pub use page::replace_computed_section;
pub use slope::Slope;
pub use table::SlopeTable;
