//! How the leader divides the fleet into shards and leases them to owners.

pub(crate) mod leases;
