//! What controllers tell each other: `postcard` behind a length and a version.
//! Nothing a rule depends on travels here; it only makes the right thing come sooner.

use crate::ids::{Member, Number};
use serde::{Deserialize, Serialize};

/// Raised when a message changes its form; other versions are dropped.
const VERSION: u8 = 1;
/// Most bytes of one message.
pub const MESSAGE_MAX: usize = 4096;

/// What a controller says of itself about once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub from: Member,
    /// The highest number it knows, and who holds it.
    pub number: Number,
    pub leader: Option<Member>,
    /// Whether the state service has answered it lately.
    pub sighted: bool,
    /// Whether a worker has reported to it lately, wherever it was sent on to.
    pub heard: bool,
}

/// Frames a message.
pub fn frame(hello: &Hello) -> Vec<u8> {
    let body = postcard::to_stdvec(hello).unwrap_or_default();
    let mut out = Vec::with_capacity(body.len() + 3);
    out.extend_from_slice(&(body.len() as u16).to_be_bytes());
    out.push(VERSION);
    out.extend_from_slice(&body);
    out
}

/// Takes the next whole message off a buffer. `Err` when the peer must be dropped.
pub fn unframe(buf: &mut Vec<u8>) -> Result<Option<Hello>, &'static str> {
    while buf.len() >= 3 {
        let size = u16::from_be_bytes([buf[0], buf[1]]) as usize;
        if size > MESSAGE_MAX {
            return Err("message too large");
        }
        if buf.len() < size + 3 {
            return Ok(None);
        }
        let version = buf[2];
        let body: Vec<u8> = buf.drain(..size + 3).skip(3).collect();
        if version == VERSION {
            return postcard::from_bytes(&body)
                .map(Some)
                .map_err(|_| "malformed message");
        }
    }
    Ok(None)
}
