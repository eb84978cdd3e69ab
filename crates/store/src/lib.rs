//! Client for the platform's table service, object store and lists.
//!
//! The client sends each request once and never retries. [`error::Error`] distinguishes whether a
//! failed transaction may have taken effect.

pub mod client;
pub mod error;
pub mod list;
pub mod txn;

pub use crate::client::Client;
pub use crate::error::Error;
