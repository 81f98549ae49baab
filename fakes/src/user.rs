//! How users read the answers that they get, and when they ask again.

use crate::checker::JobAnswer;
use salttrestle::wire;
use serde::Deserialize;

/// Between two questions about a job, in milliseconds.
pub const POLL_INTERVAL_MS: u64 = 5000;
/// How long the answer to a question is waited for, in milliseconds.
pub const POLL_TIMEOUT_MS: u64 = 2000;
/// How long the answer to a submission or a cancellation is waited for, in milliseconds.
pub const REQUEST_TIMEOUT_MS: u64 = 5000;
/// Shortest and longest pause before a request is repeated, in seconds.
const RETRY_MIN_S: u64 = 1;
const RETRY_MAX_S: u64 = 30;

#[derive(Deserialize)]
struct StatusBody {
    #[serde(rename = "stance")]
    status: String,
}

/// What an answer says about a job, if it says anything.
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

/// How long to wait before a request is repeated, in milliseconds.
pub fn retry_delay_ms(retry_after_s: Option<u64>) -> u64 {
    let pause_s = retry_after_s.unwrap_or(0);
    pause_s.clamp(RETRY_MIN_S, RETRY_MAX_S) * 1000
}
