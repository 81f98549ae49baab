//! Sizes of a worker's heartbeats on the wire.

use salttrestle::http;
use salttrestle::ids::{Attempt, FencingToken, JobId, TaskId};
use salttrestle::wire::commands_body;
use salttrestle_fakes::worker::{TaskState, Worker, WorkerTask};

/// Seconds between two heartbeats in the operators' fleet.
const HEARTBEAT_S: f64 = 3.0;
// Names as long as those that the cloud and the users give.
const MACHINE: &str = "i-004321";
const ENDPOINT: &str = "10.1.12.232:9000";
const CONTROLLER: &str = "10.1.0.10:8080";

/// The sizes of a heartbeat and of the response without commands, in bytes.
pub(super) struct HeartbeatSize {
    pub(super) heartbeat: usize,
    pub(super) response: usize,
}

impl HeartbeatSize {
    /// The sizes for a worker with so many running tasks.
    pub(super) fn with_tasks(tasks: u32) -> Self {
        let token = FencingToken(41);
        let mut worker = Worker::new(0, "kithara-large", "attica", false, 0);
        worker.token = token.0;
        worker.sequence = 28_800;
        for index in 0..tasks {
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
            heartbeat: heartbeat.len(),
            response: response.len(),
        }
    }

    /// Bytes per second in both directions.
    pub(super) fn bytes_per_s(&self) -> f64 {
        (self.heartbeat + self.response) as f64 / HEARTBEAT_S
    }
}
