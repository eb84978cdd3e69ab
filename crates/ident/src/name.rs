//! Identifiers made from names by a fixed hash.

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;

macro_rules! hashed {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);

        impl $name {
            /// The identifier of `name`, the same in every process.
            pub fn new(name: &str) -> Self {
                Self(rapidhash_v3(name.as_bytes()))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

hashed! {
    /// An entry instance, by its name in its settings and in the platform's list.
    Instance
}
hashed! {
    /// A replica (model engine or plain application), by its name in the platform's list.
    Replica
}
hashed! {
    /// A data centre, by its name.
    Zone
}
hashed! {
    /// A customer, by the name that a caller presents.
    Customer
}
hashed! {
    /// A pool: all replicas that serve one service (one model, or one plain application).
    Pool
}
hashed! {
    /// A row of the routing table, by `service/class/pool`.
    Row
}

impl Row {
    /// The row for `service`, `class` and `pool`.
    pub fn from_parts(service: &str, class: &str, pool: &str) -> Self {
        Self::new(&format!("{service}/{class}/{pool}"))
    }
}

/// A run of a daemon, identified by a random number chosen at each start and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
