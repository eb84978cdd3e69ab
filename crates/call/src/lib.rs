//! HTTP calls to a peer: a connection for each, and errors that show whether the call may have
//! taken effect.

pub mod direct;
mod error;

pub use error::Error;
