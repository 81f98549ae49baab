//! How this controller keeps to the rate limits of the state service and the cloud.

pub mod token_bucket;
pub(crate) mod write_rate;
