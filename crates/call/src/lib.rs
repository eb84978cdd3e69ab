//! HTTP calls to a peer: a connection for each, and errors that show whether the call may have
//! taken effect.

pub mod bound;
pub mod direct;
mod error;
pub mod joined;
pub mod memory;
mod progress;

pub use error::Error;
