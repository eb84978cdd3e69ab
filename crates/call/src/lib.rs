//! Calls to a peer over HTTP: one connection each, and errors that tell whether the call may have
//! taken effect.

pub mod direct;
mod error;

pub use error::Error;
