//! Checks of single fields, made while the file is read so that an error knows its line.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

/// Shortest secret and shortest operator token, in bytes.
const SECRET_MIN: usize = 16;

/// A text that is not empty.
pub(super) fn name<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
    let text = String::deserialize(from)?;
    if text.trim().is_empty() {
        return Err(D::Error::custom("must not be empty; write a name"));
    }
    Ok(text)
}

/// `ip:port` with a port.
pub(super) fn address<'de, D: Deserializer<'de>>(from: D) -> Result<SocketAddr, D::Error> {
    let text = String::deserialize(from)?;
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(address),
        Ok(_) => Err(D::Error::custom(format!(
            "`{text}` has port 0; write a port from 1 to 65535"
        ))),
        Err(_) => Err(D::Error::custom(format!(
            "`{text}` is not an address; write ip:port, such as \"127.0.0.1:7001\""
        ))),
    }
}

/// A secret of sufficient length.
pub(super) fn secret<'de, D: Deserializer<'de>>(from: D) -> Result<String, D::Error> {
    let text = String::deserialize(from)?;
    if text.len() < SECRET_MIN {
        return Err(D::Error::custom(too_short(&text)));
    }
    Ok(text)
}

/// Operators with their tokens.
pub(super) fn operators<'de, D: Deserializer<'de>>(
    from: D,
) -> Result<BTreeMap<String, String>, D::Error> {
    let operators = BTreeMap::<String, String>::deserialize(from)?;
    match operators.iter().find(|(_, token)| token.len() < SECRET_MIN) {
        Some((name, token)) => Err(D::Error::custom(format!("`{name}`: {}", too_short(token)))),
        None => Ok(operators),
    }
}

/// A number from 1 up.
pub(super) fn positive<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    match i64::deserialize(from)? {
        number if number > 0 => Ok(number as u64),
        number => Err(D::Error::custom(format!(
            "{number} is not allowed; write a number from 1 up"
        ))),
    }
}

fn too_short(text: &str) -> String {
    format!("has {} bytes; write at least {SECRET_MIN}", text.len())
}
