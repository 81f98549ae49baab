//! Messages between two cells.
//!
//! A frame consists of the length of the body (4 bytes, big-endian), a version byte and the body in
//! `postcard` encoding. A message proves only what its sender had committed when it was sent. It
//! may be lost, late, duplicated or reordered.

use crate::ledger::Transfer;
use crate::{Amount, Cell, Team};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Version of the encoding. It has to be increased when the encoding of a message changes.
pub const VERSION: u8 = 1;
/// Maximum size of a message body in bytes: enough for the needs and recalls of a few hundred teams
/// and one transfer.
pub const MESSAGE_BYTES_MAX: usize = 64 * 1024;
/// Size of the frame header in bytes: the length of the body and the version.
const HEADER_BYTES: usize = 5;

/// What one cell reports to another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkMessage {
    /// The sending cell.
    pub from: Cell,
    /// The receiving cell.
    pub to: Cell,
    /// The generation of the sender's cells file.
    pub generation: u64,
    /// The sequence number of the last transfer that the sender has taken from the receiver.
    pub taken: u64,
    /// The pending transfer to the receiver: the sender doesn't know yet whether it has been taken.
    pub transfer: Option<Transfer>,
    /// The additional quota that the sender needs, for each team.
    pub needs: Vec<Need>,
    /// The quota that the sender recalls because it is the home of teams whose limits are lowered.
    pub recalls: Vec<Recall>,
}

/// The additional quota that a cell needs for a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// The team.
    pub team: Team,
    /// The team's present share in the cell.
    pub share: Amount,
    /// The additional amount that the cell requests, including spare quota for growing demand.
    pub more: Amount,
    /// The part of `more` that the cell lacks for running and waiting tasks.
    pub lacking: Amount,
}

/// The quota that a team's home recalls because the team's limit is lowered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recall {
    /// The team.
    pub team: Team,
    /// The amount that all cells together still have to return.
    pub amount: Amount,
    /// The team's limit in force, of which `amount` is a part.
    pub limit: Amount,
}

impl Recall {
    /// The amount that a cell with this share returns. It is in proportion to the share's part of
    /// the limit, and at most the share.
    pub fn part_of(&self, share: Amount) -> Amount {
        self.amount
            .scale_rounded_up(share, self.limit)
            .component_min(share)
    }
}

/// Why a message can't be sent or read. A connection is closed after a message that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    /// The message is longer than [`MESSAGE_BYTES_MAX`].
    #[error("a message is larger than {MESSAGE_BYTES_MAX} bytes")]
    TooLarge,
    /// The message has another version than [`VERSION`].
    #[error("a message has version {0} instead of {VERSION}")]
    Version(u8),
    /// The message can't be encoded or decoded.
    #[error("a message can't be encoded or decoded")]
    Malformed,
}

/// Encodes a message as a frame. `Err` if the message is too large or can't be encoded.
pub fn frame(message: &LinkMessage) -> Result<Vec<u8>, LinkError> {
    let body = postcard::to_stdvec(message).map_err(|_| LinkError::Malformed)?;
    if body.len() > MESSAGE_BYTES_MAX {
        return Err(LinkError::TooLarge);
    }
    let mut out = Vec::with_capacity(body.len() + HEADER_BYTES);
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.push(VERSION);
    out.extend_from_slice(&body);
    Ok(out)
}

/// Removes the next complete frame from a buffer and decodes it. `None` if the buffer contains no
/// complete frame. After an `Err` the connection must be closed.
pub fn unframe(buffer: &mut Vec<u8>) -> Result<Option<LinkMessage>, LinkError> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let size = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    let version = buffer[HEADER_BYTES - 1];
    if version != VERSION {
        return Err(LinkError::Version(version));
    }
    if size > MESSAGE_BYTES_MAX {
        return Err(LinkError::TooLarge);
    }
    if buffer.len() < size + HEADER_BYTES {
        return Ok(None);
    }
    let frame: Vec<u8> = buffer.drain(..size + HEADER_BYTES).collect();
    let decoded = postcard::take_from_bytes::<LinkMessage>(&frame[HEADER_BYTES..]);
    match decoded {
        Ok((message, [])) => Ok(Some(message)),
        _ => Err(LinkError::Malformed),
    }
}
