//! Addresses for callers and the idempotency keys that belong to them.

use serde::Deserialize;

/// Response of `GET /v1/addresses`.
#[derive(Debug, Clone, Deserialize)]
pub struct Addresses {
    /// Time for which the response may be cached.
    pub ttl_ms: u64,
    /// Addresses to use, nearest first.
    pub addresses: Vec<Address>,
}

/// An address for callers.
#[derive(Debug, Clone, Deserialize)]
pub struct Address {
    /// `ip:port`.
    pub address: String,
    /// Name of the instance.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Relative weight.
    pub weight: u32,
    /// Prefix of the keys of requests that are first sent there.
    pub key_prefix: String,
}

impl Addresses {
    /// Returns the nearest address.
    ///
    /// # Panics
    ///
    /// Panics if the response has no address.
    pub fn first(&self) -> &Address {
        &self.addresses[0]
    }

    /// Returns the address of `instance`.
    pub fn of(&self, instance: &str) -> Option<&Address> {
        self.addresses
            .iter()
            .find(|address| address.instance == instance)
    }

    /// Returns a key for a request first sent to address number `index`. `unique` must be new.
    ///
    /// # Panics
    ///
    /// Panics if there is no such address.
    pub fn key(&self, index: usize, unique: &str) -> String {
        self.addresses[index].key(unique)
    }
}

impl Address {
    /// Returns a key for a request first sent here. `unique` must be new.
    pub fn key(&self, unique: &str) -> String {
        format!("{}{unique}", self.key_prefix)
    }
}
