//! Messages of the standby between controllers, in `postcard` encoding. Their frames have a version
//! of their own, which distinguishes them from the messages that every release knows. A release
//! that doesn't know this version drops the frame and keeps the connection.

use crate::ControllerId;
use crate::hints::{Hints, HintsError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A message of the standby.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StandbyMessage {
    /// A heartbeat of any controller.
    Heartbeat(Heartbeat),
    /// Hints of the leader.
    Hints(Hints),
}

/// Shows that the sender is alive, and whether the sender suspects the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sending controller.
    pub from: ControllerId,
    /// Distinguishes the sending process from earlier processes of the same controller.
    pub incarnation: u64,
    /// The token of the leader that the sender knows; 0 if it knows none.
    pub token: u64,
    /// Whether the sender leads under that token.
    pub is_leader: bool,
    /// Whether the sender suspects the leader of that token.
    #[serde(rename = "lost")]
    pub suspects_leader: bool,
}

/// Why a standby message is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The message can't be decoded.
    #[error("a standby message can't be decoded")]
    Malformed,
    /// The message contains hints that fail [`Hints::check`].
    #[error("hints are refused: {0}")]
    Hints(#[from] HintsError),
}

impl StandbyMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message and, if it contains hints, checks them.
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
