//! Mapping from HTTP methods and paths to the controller's requests.

use crate::controller::events::Request;
use crate::ids::JobId;
use crate::wire;

/// The response to a request that is refused without passing it to the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    /// The HTTP status code.
    pub(super) status: u16,
    /// The text in the response's body.
    pub(super) reason: &'static str,
}

const NOT_A_HEARTBEAT: Refusal = Refusal {
    status: 400,
    reason: "not a report",
};
const UNKNOWN_PATH: Refusal = Refusal {
    status: 404,
    reason: "no such path",
};
const UNKNOWN_JOB: Refusal = Refusal {
    status: 404,
    reason: "no such job",
};
const WRONG_METHOD: Refusal = Refusal {
    status: 405,
    reason: "wrong method",
};

/// Parses a request for the controller. `path` has no query string.
pub(super) fn route(method: &str, path: &str, body: &[u8]) -> Result<Request, Refusal> {
    match (path, method) {
        ("/up", "GET") => Ok(Request::Up),
        ("/work", "POST") => Ok(Request::Submit(wire::parse_submission(body))),
        ("/agent/beat", "POST") => {
            let heartbeat = wire::decode(body).ok_or(NOT_A_HEARTBEAT)?;
            Ok(Request::Heartbeat(heartbeat))
        }
        ("/up" | "/work" | "/agent/beat", _) => Err(WRONG_METHOD),
        _ => route_job(method, path),
    }
}

/// Parses a request about one job: `/work/ID` or `/work/ID/withdraw`.
fn route_job(method: &str, path: &str) -> Result<Request, Refusal> {
    let job_path = path.strip_prefix("/work/").ok_or(UNKNOWN_PATH)?;
    let (id, is_cancellation) = match job_path.strip_suffix("/withdraw") {
        Some(id) => (id, true),
        None => (job_path, false),
    };
    let id = JobId::parse(id).ok_or(UNKNOWN_JOB)?;
    match (is_cancellation, method) {
        (true, "POST") => Ok(Request::Cancel(id)),
        (false, "GET") => Ok(Request::Poll(id)),
        _ => Err(WRONG_METHOD),
    }
}
