//! Recognizes attempts of callers that carry the same request.

use std::fmt;

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

/// Hash of the method, host, path with query, and body of a request. Each attempt of a caller has
/// its own request id; the fingerprint is equal for all attempts at all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let parts = [method.as_bytes(), host.as_bytes(), path.as_bytes(), body];
        let hashes = parts.map(|part| rapidhash_v3(part).to_le_bytes());
        Self(rapidhash_v3(hashes.as_flattened()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
