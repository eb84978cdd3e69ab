//! Serialization of identifiers as text in JSON.

use std::fmt::Display;

use ident::Handle;
use ident::Incarnation;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de;

const HEX_RADIX: u32 = 16;

/// Serializes an identifier as text.
pub(crate) fn display<T: Display, S: Serializer>(id: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(id)
}

/// Deserializes a handle from text.
pub(crate) fn handle<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Handle, D::Error> {
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(de::Error::custom)
}

/// Deserializes an incarnation from hexadecimal text.
pub(crate) fn incarnation<'de, D>(deserializer: D) -> Result<Incarnation, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, HEX_RADIX)
        .map(Incarnation)
        .map_err(de::Error::custom)
}
