//! Latencies of one kind, as percentiles.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The longest latency that is distinguished, in milliseconds.
const MAX_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies of one kind, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyRow {
    /// What was waited for.
    pub what: String,
    /// Number of latencies.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The longest.
    pub max: u64,
}

impl LatencyRow {
    /// The row of these latencies, in milliseconds.
    pub fn new(what: &str, latencies_ms: impl Iterator<Item = u64>) -> Self {
        let mut histogram: Histogram<u64> = Histogram::new_with_max(MAX_MS, SIGNIFICANT_DIGITS)
            .expect("bounds that hdrhistogram accepts");
        for latency_ms in latencies_ms {
            histogram.saturating_record(latency_ms);
        }
        Self {
            what: what.into(),
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}
