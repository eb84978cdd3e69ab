//! What a limit applies to.

use serde::Deserialize;
use serde::Serialize;

use crate::list::CustomerId;

/// What a limit applies to, across all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// The requests of a customer.
    Customer(CustomerId),
    /// The requests sent to a replica, identified by its hash.
    Replica(u64),
}

impl Subject {
    /// The key that selects its keeper by rendezvous hashing.
    pub const fn key(self) -> u64 {
        match self {
            Self::Customer(CustomerId(key)) | Self::Replica(key) => key,
        }
    }
}
