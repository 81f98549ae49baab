//! How users read the answers that they get.

use crate::checker::Said;
use salttrestle::wire;
use serde::Deserialize;

/// Between two questions about a job, in milliseconds.
pub const POLL_MS: u64 = 5000;
/// How long the answer to a question is waited for, in milliseconds.
pub const POLL_WAIT_MS: u64 = 2000;
/// How long the answer to a submission or a cancellation is waited for, in milliseconds.
pub const WAIT_MS: u64 = 5000;
/// Shortest and longest pause before a request is repeated, in seconds.
const RETRY_S: (u64, u64) = (1, 30);

#[derive(Deserialize)]
struct StateBody {
    #[serde(rename = "stance")]
    state: String,
}

/// What an answer says about a job, if it says anything.
pub fn read_answer(status: u16, body: &[u8]) -> Option<Said> {
    match status {
        200 | 201 => match wire::decode::<StateBody>(body)?.state.as_str() {
            "queued" => Some(Said::Queued),
            "running" => Some(Said::Running),
            "done" => Some(Said::Done),
            "withdrawn" => Some(Said::Cancelled),
            _ => None,
        },
        404 => Some(Said::Unknown),
        400 | 422 => Some(Said::Refused),
        _ => None,
    }
}

/// How long to wait before a request is repeated, in milliseconds.
pub fn retry_ms(retry_after_s: Option<u64>) -> u64 {
    retry_after_s.unwrap_or(0).clamp(RETRY_S.0, RETRY_S.1) * 1000
}
