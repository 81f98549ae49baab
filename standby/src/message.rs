//! What controllers tell each other besides what every release knows: `postcard`, told apart from
//! other messages by the version of its frame. A release that doesn't know that version drops the
//! frame and keeps the connection.

use crate::ControllerId;
use crate::hints::{Hints, HintsError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message of this package.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StandbyMessage {
    /// The sender runs.
    Heartbeat(Heartbeat),
    /// What the leader knows beside the records.
    Hints(Hints),
}

/// The sender runs, and this is how it sees the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: ControllerId,
    /// Tells this process from earlier ones of the same controller.
    pub incarnation: u64,
    /// The number of the leadership that the sender knows of; 0 if there is none.
    pub token: u64,
    /// Whether the sender leads under that number.
    pub is_leader: bool,
    /// Whether the sender has lost the leader of that number.
    pub lost: bool,
}

/// Why a message isn't taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Not a message.
    #[error("a standby message can't be read")]
    Malformed,
    /// Hints beyond their bounds.
    #[error("hints are refused: {0}")]
    Hints(#[from] HintsError),
}

impl StandbyMessage {
    /// The message's bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a message and checks its bounds.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let Ok((message, [])) = postcard::take_from_bytes::<Self>(bytes) else {
            return Err(MessageError::Malformed);
        };
        if let Self::Hints(hints) = &message {
            hints.check()?;
        }
        Ok(message)
    }
}
