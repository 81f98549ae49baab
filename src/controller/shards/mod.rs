//! The leader divides the fleet into shards and assigns each shard to an owner.
//!
//! A small fleet is one shard that has every machine and is owned by the leader itself. Splitting a
//! fleet also splits bin packing, team limits and image caches. Therefore a shard is added only
//! where each shard has enough machines.

pub(crate) mod assignment;
pub(crate) mod counts;
pub(crate) mod leases;
pub(crate) mod machine_assignment;
pub(crate) mod ownership;
pub(crate) mod quota_shares;
pub(crate) mod splitting;
