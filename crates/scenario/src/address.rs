//! Addresses for callers, and the keys that go with them.

use serde::Deserialize;

/// Answer of `GET /v1/addresses`.
#[derive(Debug, Clone, Deserialize)]
pub struct Addresses {
    /// How long the answer may be kept.
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
    /// Start of the keys for requests sent there first.
    pub key_prefix: String,
}

impl Addresses {
    /// The nearest address.
    ///
    /// # Panics
    ///
    /// If the answer holds none.
    pub fn first(&self) -> &Address {
        &self.addresses[0]
    }

    /// The address of `instance`.
    pub fn of(&self, instance: &str) -> Option<&Address> {
        self.addresses
            .iter()
            .find(|address| address.instance == instance)
    }

    /// A key for a request sent to address number `index` first; `unique` must be new.
    ///
    /// # Panics
    ///
    /// If there is no such address.
    pub fn key(&self, index: usize, unique: &str) -> String {
        self.addresses[index].key(unique)
    }
}

impl Address {
    /// A key for a request sent here first; `unique` must be new.
    pub fn key(&self, unique: &str) -> String {
        format!("{}{unique}", self.key_prefix)
    }
}
