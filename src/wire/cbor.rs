//! Encoding and decoding of CBOR, the format of all request and response bodies.

use serde::de::{DeserializeOwned, Deserializer, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Initial capacity of the buffer for an encoded body. Most bodies fit without a reallocation.
const BODY_CAPACITY_BYTES: usize = 128;

/// A number that a client may send as an integer or as a float.
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

/// Encodes a value as a CBOR body.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut body = Vec::with_capacity(BODY_CAPACITY_BYTES);
    // Writing to a `Vec` can't fail, and CBOR can represent every type that is encoded here.
    let _ = ciborium::into_writer(value, &mut body);
    body
}

/// Decodes a body. Returns `None` if the body isn't exactly one CBOR item of the expected type.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let mut rest = body;
    let value = ciborium::from_reader(&mut rest).ok()?;
    rest.is_empty().then_some(value)
}
