//! The request and response bodies of every interface, with one module per interface.
//!
//! The names on the wire differ from the names in the code, and serde attributes map between them.
//! The wire names appear in this module only.

#![warn(missing_docs)]

mod call;
mod cbor;
mod cloud;
mod store;
mod user;
mod worker;

pub use crate::wire::call::Call;
pub use crate::wire::cbor::{Num, decode, encode};
pub use crate::wire::cloud::{
    CloudRequest, CloudResponse, ListedMachine, MachineStatus, MachineType,
};
pub use crate::wire::store::{
    Change, StoreRequest, StoreResponse, WATCH_WAIT_MS, Write, record_to_value,
};
pub use crate::wire::user::{
    InvalidSubmission, JobStatus, error_body, job_status_body, parse_submission,
};
pub use crate::wire::worker::{
    Cause, Command, HeartbeatTask, TaskStatus, WorkerHeartbeat, commands_body, redirect_body,
};

/// Maximum size of a request body from users and workers, in bytes.
pub const BODY_BYTES_MAX: usize = 64 * 1024;
