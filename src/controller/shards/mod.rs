//! How the leader divides the fleet into shards and leases them to owners.
//!
//! While the fleet is small there is one shard with every machine in it, owned by the leader itself.
//! Splitting a fleet splits packing, limits and caches as well, so there are more shards only once
//! each has enough machines.

pub(crate) mod assignment;
pub(crate) mod counts;
pub(crate) mod leases;
pub(crate) mod machine_assignment;
pub(crate) mod ownership;
pub(crate) mod quota_shares;
pub(crate) mod splitting;
