//! How this controller keeps to the rate limits of the store and the cloud.

pub mod token_bucket;
pub(crate) mod write_rate;
