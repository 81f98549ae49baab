//! Messages between two cells: `postcard` behind a length and a version. A message proves only what
//! its sender had committed when it was sent; it may be lost, late, duplicated or reordered.

use crate::ledger::Transfer;
use crate::{Amount, Cell, Team};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Raised when the encoding of a message changes.
pub const VERSION: u8 = 1;
/// Most bytes of one message: the needs and recalls of a few hundred teams, and one transfer.
pub const MESSAGE_BYTES_MAX: usize = 64 * 1024;
/// Bytes before a message: its length and the version.
const HEAD: usize = 5;

/// The state of one cell, as another one needs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkMessage {
    /// The sender.
    pub from: Cell,
    /// The receiver.
    pub to: Cell,
    /// The generation of the sender's cells file.
    pub generation: u64,
    /// The number of the last transfer that the sender has taken from the receiver.
    pub taken: u64,
    /// The transfer to the receiver that isn't known to be taken.
    pub transfer: Option<Transfer>,
    /// The quota that the sender needs.
    pub needs: Vec<Need>,
    /// The quota that the sender recalls, as the home of teams whose limits are lowered.
    pub recalls: Vec<Recall>,
}

/// The quota that a cell needs of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// The team.
    pub team: Team,
    /// The share that the cell has.
    pub share: Amount,
    /// How much more it would use or keep free.
    pub more: Amount,
    /// How much of that it lacks for running and waiting tasks.
    pub lacking: Amount,
}

/// The quota that a team's home recalls because the team's limit is lowered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recall {
    /// The team.
    pub team: Team,
    /// How much is still to be given back, by all cells.
    pub amount: Amount,
    /// The limit in force, of which that is a part.
    pub limit: Amount,
}

impl Recall {
    /// What a cell with this share gives back: in proportion to its part of the limit.
    pub fn part_of(&self, share: Amount) -> Amount {
        self.amount
            .scale_rounded_up(share, self.limit)
            .component_min(share)
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    /// Longer than any message.
    #[error("a message is too large")]
    TooLarge,
    /// It has another version.
    #[error("a message has version {0}")]
    Version(u8),
    /// It can't be decoded.
    #[error("a message can't be read")]
    Malformed,
}

/// Encodes a message with its length and version.
pub fn frame(message: &LinkMessage) -> Result<Vec<u8>, LinkError> {
    let body = postcard::to_stdvec(message).map_err(|_| LinkError::Malformed)?;
    if body.len() > MESSAGE_BYTES_MAX {
        return Err(LinkError::TooLarge);
    }
    let mut out = Vec::with_capacity(body.len() + HEAD);
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.push(VERSION);
    out.extend_from_slice(&body);
    Ok(out)
}

/// Removes the next complete message from a buffer. `Err` when the connection must be closed.
pub fn unframe(buffer: &mut Vec<u8>) -> Result<Option<LinkMessage>, LinkError> {
    if buffer.len() < HEAD {
        return Ok(None);
    }
    let size = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
    let version = buffer[HEAD - 1];
    if version != VERSION {
        return Err(LinkError::Version(version));
    }
    if size > MESSAGE_BYTES_MAX {
        return Err(LinkError::TooLarge);
    }
    if buffer.len() < size + HEAD {
        return Ok(None);
    }
    let frame: Vec<u8> = buffer.drain(..size + HEAD).collect();
    let read = postcard::take_from_bytes::<LinkMessage>(&frame[HEAD..]);
    match read {
        Ok((message, [])) => Ok(Some(message)),
        _ => Err(LinkError::Malformed),
    }
}
