//! Latencies of one kind of event, summarized as percentiles.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The longest latency that the histogram resolves, in milliseconds. Longer ones count as this
/// long.
const LATENCY_MAX_MS: u64 = 3_600_000;
/// Significant decimal digits of the histogram's values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies of one kind of event, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyRow {
    /// Name of the event.
    #[serde(rename = "what")]
    pub event: String,
    /// Number of recorded latencies.
    pub count: u64,
    /// The median.
    #[serde(rename = "p50")]
    pub p50_ms: u64,
    /// The 95th percentile.
    #[serde(rename = "p95")]
    pub p95_ms: u64,
    /// The 99th percentile.
    #[serde(rename = "p99")]
    pub p99_ms: u64,
    /// The maximum.
    #[serde(rename = "max")]
    pub max_ms: u64,
}

impl LatencyRow {
    /// Summarizes the latencies, in milliseconds, of the named event.
    pub fn new(event: &str, latencies_ms: impl Iterator<Item = u64>) -> Self {
        let mut histogram: Histogram<u64> =
            Histogram::new_with_max(LATENCY_MAX_MS, SIGNIFICANT_DIGITS)
                .expect("histogram bounds are valid");
        for latency_ms in latencies_ms {
            histogram.saturating_record(latency_ms);
        }
        Self {
            event: event.into(),
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.5),
            p95_ms: histogram.value_at_quantile(0.95),
            p99_ms: histogram.value_at_quantile(0.99),
            max_ms: histogram.max(),
        }
    }
}
