//! The results of a run: rows that are stored as JSON lines, and a table that is printed.

mod latency;
mod rows;
mod table;

pub use latency::LatencyRow;
pub use rows::{
    HollowRow, LateJobRow, ProcessRow, Results, Row, RunRow, SampleRow, StoreRow, TakeoverRow,
    TrafficRow,
};
