//! What controllers tell each other: `postcard` behind a length and a version.
//! Nothing a rule depends on travels here; it only makes the right thing come sooner.

use crate::ids::{MachineId, Member, Number};
use serde::{Deserialize, Serialize};

/// Raised when a message changes its form; other versions are dropped.
const VERSION: u8 = 1;
/// Most bytes of one message.
pub const MESSAGE_MAX: usize = 16 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Hello(Hello),
    Tally(Box<Tally>),
}

/// What a controller says of itself about once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub from: Member,
    /// Tells this process from earlier ones of the same controller.
    pub boot: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<Member>,
    /// Who holds each block, and under which number.
    pub blocks: Vec<(u32, Number, Member)>,
    /// Whether the state service has answered it lately.
    pub sighted: bool,
    /// How long ago it last knew all that stood at the state service, in milliseconds.
    pub blind_ms: u64,
    /// Whether a worker has reported to it lately, wherever it was sent on to.
    pub heard: bool,
    /// Whether it holds a block whose workers have stopped reporting to it.
    pub deaf: bool,
}

/// What a block's holder counts for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    pub from: Member,
    pub block: u32,
    pub number: Number,
    /// The revision of the block's record under which this was counted.
    pub mark: u64,
    /// Each pool by type and kind.
    pub pools: Vec<(String, bool, PoolCount)>,
    /// Machines by type, kind and zone.
    pub zones: Vec<(String, bool, String, u32)>,
    /// Machines lacking in a particular zone, where tasks may go nowhere else.
    pub pins: Vec<(String, bool, String, u32)>,
    /// Empty machines, those that are missed least first.
    pub empty: Vec<(String, bool, MachineId)>,
    /// Machines deleted lately.
    pub gone: Vec<MachineId>,
    /// What each team uses, and what it would use if it could.
    pub teams: Vec<(String, TeamCount)>,
}

/// What a tick counts for one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolCount {
    /// Machines' worth of tasks that found no room.
    pub queued: f64,
    /// Machines' worth of tasks that are placed.
    pub running: f64,
    /// Machines with at least one task.
    pub busy: u32,
    pub provisioned: u32,
    /// Machines' worth of room that is free on machines in use.
    pub spare: f64,
    /// Whether services run here: room is kept for the next ones.
    pub urgent: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamCount {
    pub cpus: f64,
    pub gpus: f64,
    pub cpus_wanted: f64,
    pub gpus_wanted: f64,
}

/// Frames a message.
pub fn frame(message: &Message) -> Vec<u8> {
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut out = Vec::with_capacity(body.len() + 3);
    out.extend_from_slice(&(body.len() as u16).to_be_bytes());
    out.push(VERSION);
    out.extend_from_slice(&body);
    out
}

/// Takes the next whole message off a buffer. `Err` when the peer must be dropped.
pub fn unframe(buf: &mut Vec<u8>) -> Result<Option<Message>, &'static str> {
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
