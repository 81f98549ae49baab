//! Names and moments as types of their own, so that one can't be mistaken for another.

#![warn(missing_docs)]

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A job, as its user named it.
    JobId
);
name_type!(
    /// A rented machine, as the cloud named it.
    MachineId
);
name_type!(
    /// A controller of the service, as the platform named it.
    ControllerId
);
name_type!(
    /// An image: a model's weights with the engine that serves them.
    Image
);

/// The longest job id that is accepted.
const JOB_ID_MAX: usize = 64;

impl JobId {
    /// Accepts a job id only in the users' form: lower-case letters, a hyphen, digits.
    /// Anything else could break out of the key it becomes a part of.
    pub fn parse(text: &str) -> Option<Self> {
        let (word, digits) = text.split_once('-')?;
        let is_valid = !word.is_empty()
            && !digits.is_empty()
            && text.len() <= JOB_ID_MAX
            && word.bytes().all(|byte| byte.is_ascii_lowercase())
            && digits.bytes().all(|byte| byte.is_ascii_digit());
        is_valid.then(|| Self(text.into()))
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Which of its tasks, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads `job/index`.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self {
            job: JobId::parse(job)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// An attempt to run a task. Later attempts are always greater: the upper part is the fencing token
/// under which the task was placed, and no two processes ever have the same token.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Attempt(pub u64);

/// The token of a shard's owner, under which it commands workers. It rises with every new owner, and
/// no process uses one that an earlier process has used.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct FencingToken(pub u64);

impl Attempt {
    /// Bits for the attempts made under one token.
    const COUNT_BITS: u32 = 28;
    const COUNT_MASK: u64 = (1 << Self::COUNT_BITS) - 1;

    /// The `count`th attempt under `token`.
    pub fn new(token: FencingToken, count: u64) -> Self {
        Self((token.0 << Self::COUNT_BITS) | (count & Self::COUNT_MASK))
    }

    /// The token under which the task was placed.
    pub fn token(self) -> FencingToken {
        FencingToken(self.0 >> Self::COUNT_BITS)
    }
}

/// A user's, worker's or health check's request to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request of this process to the store or the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A moment on this process's steady clock, in milliseconds since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Time(pub u64);

impl Time {
    /// The moment `seconds` later.
    pub fn after(self, seconds: f64) -> Self {
        Self(self.0 + (seconds.max(0.0) * 1000.0).ceil() as u64)
    }

    /// The latest whole multiple of a pause that isn't after this moment. Timers that fire at
    /// whole multiples fire together.
    pub fn round_down(self, pause_ms: u64) -> Self {
        Self(self.0 - self.0 % pause_ms)
    }

    /// The first whole multiple of a pause after this moment.
    pub fn next_multiple(self, pause_ms: u64) -> Self {
        Self(self.round_down(pause_ms).0 + pause_ms)
    }

    /// Seconds since `earlier`; 0 when that lies ahead.
    pub fn since(self, earlier: Time) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1000.0
    }
}
