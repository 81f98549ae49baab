//! The sizes of a worker's heartbeats on the wire.

use salttrestle::http;
use salttrestle::ids::{Attempt, FencingToken, JobId, TaskId};
use salttrestle::wire::commands_body;
use salttrestle_fakes::worker::{TaskState, Worker, WorkerTask};

/// Interval between two heartbeats of a worker in the operators' fleet, in seconds.
const HEARTBEAT_INTERVAL_S: f64 = 3.0;
// The names in the sample heartbeat are as long as those that the cloud and the users assign.
const MACHINE: &str = "i-004321";
const ENDPOINT: &str = "10.1.12.232:9000";
const CONTROLLER: &str = "10.1.0.10:8080";

/// The sizes of a heartbeat request and of a response without commands.
pub(super) struct HeartbeatSize {
    /// Size of the request, in bytes.
    pub(super) heartbeat_bytes: usize,
    /// Size of the response, in bytes.
    pub(super) response_bytes: usize,
}

impl HeartbeatSize {
    /// Encodes a heartbeat of a worker with this number of running tasks, and measures its size.
    pub(super) fn with_tasks(task_count: u32) -> Self {
        let token = FencingToken(41);
        let mut worker = Worker::new(0, "kithara-large", "attica", false, 0);
        worker.token = token.0;
        // The number of heartbeats in one day at `HEARTBEAT_INTERVAL_S`.
        worker.sequence = 28_800;
        for index in 0..task_count {
            let job = JobId::from("wk-004213");
            let task = WorkerTask {
                attempt: Attempt::new(token, u64::from(index) + 100_000),
                state: TaskState::Running,
                state_ends_at: 0,
            };
            worker.tasks.insert(TaskId { job, index }, task);
        }
        let body = worker.heartbeat_body(MACHINE, ENDPOINT, 0);
        let heartbeat = http::request("POST", "/agent/beat", CONTROLLER, Some(&body));
        let response = http::response(200, None, false, &commands_body(token, &[]));
        Self {
            heartbeat_bytes: heartbeat.len(),
            response_bytes: response.len(),
        }
    }

    /// Traffic of one worker in both directions together, in bytes per second.
    pub(super) fn bytes_per_s(&self) -> f64 {
        (self.heartbeat_bytes + self.response_bytes) as f64 / HEARTBEAT_INTERVAL_S
    }
}
