//! Jobs that wait for other jobs: the graph, and what follows when a job in it ends.

pub(crate) mod graph;
pub(crate) mod resolution;
