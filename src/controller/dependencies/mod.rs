//! Jobs that wait for other jobs: the [`graph`] of dependencies, and their [`resolution`] when a
//! job in it changes.

pub(crate) mod graph;
pub(crate) mod resolution;
