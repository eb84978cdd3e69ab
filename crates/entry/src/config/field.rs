//! Checks of single fields, done while parsing so that errors have a line number.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::Visitor;

use crate::secret::Secret;

/// Shortest secret and shortest operator token, in bytes.
const SECRET_MIN: usize = 16;

/// A secret in the settings file, checked for its length.
#[derive(Debug)]
pub(super) struct SecretText(pub(super) Secret);

impl<'de> Deserialize<'de> for SecretText {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(TextVisitor(|text| match text.len() {
            length if length < SECRET_MIN => {
                Err(format!("has {length} bytes; write at least {SECRET_MIN}"))
            }
            _ => Ok(Self(Secret::new(text.to_owned()))),
        }))
    }
}

/// Parses a text that is not empty.
pub(super) fn name<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
    from.deserialize_str(TextVisitor(|text| match text.trim() {
        "" => Err("must not be empty; write a name".to_owned()),
        _ => Ok(text.to_owned()),
    }))
}

/// Parses `ip:port` with a port other than 0.
pub(super) fn address<'de, D: Deserializer<'de>>(from: D) -> Result<SocketAddr, D::Error> {
    from.deserialize_str(TextVisitor(|text| match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(address),
        Ok(_) => Err(format!("`{text}` has port 0; write a port from 1 to 65535")),
        Err(_) => Err(format!(
            "`{text}` is not an address; write ip:port, such as \"127.0.0.1:7001\""
        )),
    }))
}

/// Parses a number of at least 1.
pub(super) fn positive<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    from.deserialize_any(PositiveVisitor)
}

/// Parses a text with a function that returns the cause of an error.
struct TextVisitor<T>(fn(&str) -> Result<T, String>);

impl<T> Visitor<'_> for TextVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        (self.0)(text).map_err(E::custom)
    }
}

struct PositiveVisitor;

impl Visitor<'_> for PositiveVisitor {
    type Value = u64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number from 1 up")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<u64, E> {
        match number {
            0 => Err(E::custom("0 is not allowed; write a number from 1 up")),
            _ => Ok(number),
        }
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<u64, E> {
        Err(E::custom(format!(
            "{number} is not allowed; write a number from 1 up"
        )))
    }
}
