//! Types for identifiers and times, so that the compiler rejects one used in place of another.

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
            /// Returns the name as text.
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
    /// Id of a job, assigned by its user.
    JobId
);
name_type!(
    /// Id of a rented machine, assigned by the cloud.
    MachineId
);
name_type!(
    /// Id of a controller, assigned by the platform.
    ControllerId
);
name_type!(
    /// Name of an image, which holds a model's weights and the engine that serves the model.
    Image
);

/// Maximum length of a job id, in bytes.
const JOB_ID_BYTES_MAX: usize = 64;

impl JobId {
    /// Parses a job id: lower-case letters, a hyphen and digits. Returns `None` for any other text,
    /// which could inject separators into the store key that contains the id.
    pub fn parse(text: &str) -> Option<Self> {
        let (word, digits) = text.split_once('-')?;
        let is_valid = !word.is_empty()
            && !digits.is_empty()
            && text.len() <= JOB_ID_BYTES_MAX
            && word.bytes().all(|byte| byte.is_ascii_lowercase())
            && digits.bytes().all(|byte| byte.is_ascii_digit());
        is_valid.then(|| Self(text.into()))
    }
}

/// Id of a task, with the text form `job/index`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task in the job, counted from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `job/index`. Returns `None` if the text has another form.
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

/// An attempt to run a task. A later attempt always compares as greater: the upper bits are the
/// fencing token under which the task was placed, and the lower bits count the attempts under that
/// token. No two processes ever have the same token.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct Attempt(pub u64);

/// The token that a shard's owner sends with its commands to workers. It increases with every new
/// owner, and no process uses a token that an earlier process has used.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct FencingToken(pub u64);

impl Attempt {
    /// Number of lower bits, which count the attempts under one token.
    const COUNT_BITS: u32 = 28;
    const COUNT_MASK: u64 = (1 << Self::COUNT_BITS) - 1;

    /// Returns attempt number `count` under `token`. Only the lower 28 bits of `count` are used.
    pub fn new(token: FencingToken, count: u64) -> Self {
        Self((token.0 << Self::COUNT_BITS) | (count & Self::COUNT_MASK))
    }

    /// Returns the token under which the task was placed.
    pub fn token(self) -> FencingToken {
        FencingToken(self.0 >> Self::COUNT_BITS)
    }
}

/// Id of a request that this process received from a user, a worker or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Id of a request that this process sent to the store or the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A time on this process's monotonic clock, in milliseconds since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time `seconds` later, rounded up to whole milliseconds. A negative number counts
    /// as 0.
    pub fn after(self, seconds: f64) -> Self {
        Self(self.0 + (seconds.max(0.0) * 1000.0).ceil() as u64)
    }

    /// Returns the latest whole multiple of an interval that isn't after this time. Timers that are
    /// rounded to whole multiples of the same interval fire together.
    pub fn round_down(self, interval_ms: u64) -> Self {
        Self(self.0 - self.0 % interval_ms)
    }

    /// Returns the first whole multiple of an interval after this time.
    pub fn next_multiple(self, interval_ms: u64) -> Self {
        Self(self.round_down(interval_ms).0 + interval_ms)
    }

    /// Returns the seconds since `earlier`, or 0 if `earlier` is later than this time.
    pub fn since(self, earlier: Time) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1000.0
    }
}
