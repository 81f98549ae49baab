//! The bodies of every interface, one module for each. The only place with the protocol's themed
//! words: types and fields have the field's terms, and serde renames them.

#![warn(missing_docs)]

mod call;
mod cbor;
mod cloud;
mod state;
mod user;
mod worker;

pub use crate::wire::call::Call;
pub use crate::wire::cbor::{Num, decode, encode};
pub use crate::wire::cloud::{
    CloudRequest, CloudResponse, ListedMachine, MachineStatus, MachineType,
};
pub use crate::wire::state::{Change, StoreRequest, StoreResponse, WATCH_MS, Write, record_value};
pub use crate::wire::user::{
    InvalidSubmission, JobStatus, error_body, job_status_body, parse_submission,
};
pub use crate::wire::worker::{
    Cause, Command, HeartbeatTask, TaskStatus, WorkerHeartbeat, commands_body, redirect_body,
};

/// Most bytes of a body that is taken from or sent to users and workers.
pub const BODY_BYTES_MAX: usize = 64 * 1024;
