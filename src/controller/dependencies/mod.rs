//! Dependencies between jobs: their [`graph`], and their [`resolution`] when a job in the graph
//! changes.

pub(crate) mod graph;
pub(crate) mod resolution;
