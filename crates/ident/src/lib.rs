//! Identifiers and time shared by all crates.
//!
//! Names of instances, replicas and table rows are hashed to 64-bit `Copy` keys, so that all
//! daemons compute the same key without exchanging it.

mod handle;
mod hex;
mod key;
mod name;
mod time;

pub use handle::Handle;
pub use handle::ParseError as HandleError;
pub use key::Key;
pub use key::Prefix;
pub use name::Customer;
pub use name::Incarnation;
pub use name::Instance;
pub use name::Pool;
pub use name::Replica;
pub use name::Row;
pub use name::Zone;
pub use time::Time;
