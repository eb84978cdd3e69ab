//! Digests of API keys.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// Length of a digest; long enough to rule out collisions among some ten thousand keys.
const BYTES: usize = 16;
/// Hexadecimal digits shown in logs: enough to identify a key, too few to be mistaken for one.
const SHOWN: usize = 8;

/// The digest of an API key (the first 128 bits of SHA-256).
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// The digest of `key`.
    pub fn new(key: &[u8]) -> Self {
        let whole = Sha256::digest(key);
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&whole[..BYTES]);
        Self(bytes)
    }

    /// The first hexadecimal digits, for log lines.
    pub fn prefix(&self) -> String {
        let mut digits = format!("{:032x}", u128::from_be_bytes(self.0));
        digits.truncate(SHOWN);
        digits
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Digest({}..)", self.prefix())
    }
}
