//! How users parse responses, and when they repeat requests.

use crate::checker::JobAnswer;
use salttrestle::wire;
use serde::Deserialize;

/// Interval between two status queries about a job, in milliseconds.
pub const POLL_INTERVAL_MS: u64 = 5000;
/// Timeout of a status query, in milliseconds.
pub const POLL_TIMEOUT_MS: u64 = 2000;
/// Timeout of a submission or a cancellation, in milliseconds.
pub const REQUEST_TIMEOUT_MS: u64 = 5000;
/// Shortest delay before a request is repeated, in seconds.
const RETRY_MIN_S: u64 = 1;
/// Longest delay before a request is repeated, in seconds.
const RETRY_MAX_S: u64 = 30;

#[derive(Deserialize)]
struct StatusBody {
    #[serde(rename = "stance")]
    status: String,
}

/// Parses what a response says about a job. `None` if it says nothing, as for a server error, a
/// malformed body or an unknown job status.
pub fn parse_answer(status: u16, body: &[u8]) -> Option<JobAnswer> {
    match status {
        200 | 201 => parse_status(&wire::decode::<StatusBody>(body)?.status),
        404 => Some(JobAnswer::Unknown),
        400 | 422 => Some(JobAnswer::Refused),
        _ => None,
    }
}

fn parse_status(status: &str) -> Option<JobAnswer> {
    match status {
        "queued" => Some(JobAnswer::Queued),
        "running" => Some(JobAnswer::Running),
        "done" => Some(JobAnswer::Done),
        "withdrawn" => Some(JobAnswer::Cancelled),
        _ => None,
    }
}

/// Delay in milliseconds before a request is repeated; `retry_after_s` is the response's
/// `Retry-After` header in seconds.
pub fn retry_delay_ms(retry_after_s: Option<u64>) -> u64 {
    let delay_s = retry_after_s.unwrap_or(0);
    delay_s.clamp(RETRY_MIN_S, RETRY_MAX_S) * 1000
}
