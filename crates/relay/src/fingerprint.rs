//! Recognizes attempts of callers that carry the same request, and requests that share parts of their
//! prompts.

use std::fmt;

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

/// Distinguishes parts of prompts from requests.
const PART_DOMAIN: &[u8] = b"part of a prompt";

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

    /// Computes the fingerprint of the part `id` of a prompt at the replicas of `service`, whatever
    /// else the prompt holds, and for each model and route: they share the engines.
    pub fn of_part(service: &str, id: &str) -> Self {
        let fields = [PART_DOMAIN, service.as_bytes(), id.as_bytes()];
        let hashes = fields.map(|field| rapidhash_v3(field).to_le_bytes());
        Self(rapidhash_v3(hashes.as_flattened()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Id of the part.
    pub id: String,
    /// Fingerprint of the part.
    pub fingerprint: Fingerprint,
}

/// What of a request replicas may crash on: the whole request, and each shared part of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Content {
    /// The whole request.
    pub whole: Fingerprint,
    /// Parts of its prompt that other requests may share.
    pub parts: Vec<Part>,
}

impl Content {
    /// The content of the request `whole` to `service`, with the shared parts `ids`.
    pub fn new(whole: Fingerprint, service: &str, ids: &[String]) -> Self {
        let parts = ids.iter().map(|id| Part {
            id: id.clone(),
            fingerprint: Fingerprint::of_part(service, id),
        });
        Self {
            whole,
            parts: parts.collect(),
        }
    }

    /// The fingerprints of the whole request and of its parts.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        let parts = self.parts.iter().map(|part| part.fingerprint);
        [self.whole].into_iter().chain(parts)
    }
}
