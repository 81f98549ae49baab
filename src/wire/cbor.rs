//! CBOR, in which all bodies are written.

use serde::de::{DeserializeOwned, Deserializer, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Room for an encoded body, so that most are written without another allocation.
const USUAL_BODY_BYTES: usize = 128;

/// A number that may come as an integer or with decimals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Num(pub f64);

impl<'de> Deserialize<'de> for Num {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NumVisitor)
    }
}

struct NumVisitor;

impl Visitor<'_> for NumVisitor {
    type Value = Num;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number")
    }

    fn visit_f64<E>(self, value: f64) -> Result<Num, E> {
        Ok(Num(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Num, E> {
        Ok(Num(value as f64))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Num, E> {
        Ok(Num(value as f64))
    }
}

/// Encodes a body.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut body = Vec::with_capacity(USUAL_BODY_BYTES);
    // Writing to memory can't fail, and our types hold nothing CBOR can't say.
    let _ = ciborium::into_writer(value, &mut body);
    body
}

/// Decodes a body that is one CBOR item and nothing behind it.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let mut rest = body;
    let value = ciborium::from_reader(&mut rest).ok()?;
    rest.is_empty().then_some(value)
}
