//! Identifiers as text in JSON.

use std::fmt::Display;

use ident::Handle;
use ident::Incarnation;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de;

const HEX: u32 = 16;

/// Writes an identifier as its text.
pub(crate) fn display<T: Display, S: Serializer>(id: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(id)
}

/// Reads a handle.
pub(crate) fn handle<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Handle, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(de::Error::custom)
}

/// Reads an incarnation.
pub(crate) fn incarnation<'de, D>(deserializer: D) -> Result<Incarnation, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, HEX)
        .map(Incarnation)
        .map_err(de::Error::custom)
}
