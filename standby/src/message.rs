//! Messages between controllers besides those that every release knows: `postcard`, distinguished
//! from other messages by the version of the frame. A release that doesn't know that version drops
//! the frame and keeps the connection.

use crate::ControllerId;
use crate::hints::{Hints, HintsError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message of this package.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StandbyMessage {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// What the leader knows besides the records.
    Hints(Hints),
}

/// The sender is alive, and whether it sees the leader alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: ControllerId,
    /// Distinguishes this process from earlier ones of the same controller.
    pub incarnation: u64,
    /// The token of the leadership that the sender knows; 0 if there is none.
    pub token: u64,
    /// Whether the sender leads under that token.
    pub is_leader: bool,
    /// Whether the sender suspects the leader of that token.
    pub lost: bool,
}

/// Why a message is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// It can't be decoded.
    #[error("a standby message can't be read")]
    Malformed,
    /// Its hints exceed a limit.
    #[error("hints are refused: {0}")]
    Hints(#[from] HintsError),
}

impl StandbyMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message and checks it against the limits.
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
