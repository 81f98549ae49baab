//! The bodies of every interface, one module for each. The only place with the wire's own words:
//! elsewhere the field's names stand, and serde renames them here.

mod cloud;
mod state;
mod user;
mod worker;

pub use crate::wire::cloud::*;
pub use crate::wire::state::*;
pub use crate::wire::user::*;
pub use crate::wire::worker::*;
use serde::de::{DeserializeOwned, Deserializer, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most bytes of a body that is taken from or sent to users and workers.
pub const BODY_MAX: usize = 64 * 1024;
/// Most tasks of one job.
const TASKS_MAX: u32 = 100_000;
/// Longest name of a team, class, image, type or zone, and longest list of types:
/// together they keep a job's record below the smallest value limit seen.
const NAME_MAX: usize = 128;
const TYPES_MAX: usize = 32;
/// Larger amounts and durations than this are no honest input.
const AMOUNT_MAX: f64 = 1e9;

/// A number that may come as an integer or with decimals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Num(pub f64);

impl<'de> Deserialize<'de> for Num {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Any;
        impl Visitor<'_> for Any {
            type Value = Num;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a number")
            }
            fn visit_f64<E>(self, v: f64) -> Result<Num, E> {
                Ok(Num(v))
            }
            fn visit_u64<E>(self, v: u64) -> Result<Num, E> {
                Ok(Num(v as f64))
            }
            fn visit_i64<E>(self, v: i64) -> Result<Num, E> {
                Ok(Num(v as f64))
            }
        }
        d.deserialize_any(Any)
    }
}

/// Encodes a body.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    // Writing to memory can't fail, and our types hold nothing CBOR can't say.
    let _ = ciborium::into_writer(value, &mut out);
    out
}

/// Decodes a body that is one CBOR item and nothing behind it.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let mut rest = body;
    let value = ciborium::from_reader(&mut rest).ok()?;
    rest.is_empty().then_some(value)
}

/// A request as it goes onto the wire.
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub body: Option<Vec<u8>>,
}

fn get(path: String) -> Call {
    Call {
        method: "GET",
        path,
        body: None,
    }
}
