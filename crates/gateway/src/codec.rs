//! Encoding of messages between daemons, and of rows that only daemons read.

use bincode::config;
use bincode::error::DecodeError;
use bincode::error::EncodeError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size in memory of what is decoded, in bytes: that of the longest message. A text is
/// allocated with the length that it claims before its bytes are read. A number takes up to eight
/// times its encoded size.
const MAX_DECODED: usize = 8 * 4 * 1024 * 1024;

/// Encodes `message`.
///
/// # Errors
/// If it cannot be encoded.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(message, config::standard())
}

/// Decodes a message from the start of `bytes`; returns it with its length.
///
/// # Errors
/// If it is malformed, or claims to be too long.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), DecodeError> {
    let limited = config::standard().with_limit::<MAX_DECODED>();
    bincode::serde::decode_from_slice(bytes, limited)
}
