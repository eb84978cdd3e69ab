//! Client for the platform's table service, object store and lists.
//!
//! The client sends each request once and never again by itself. Whether a failed transaction may
//! have taken effect is told by [`error::Error`].

pub mod client;
pub mod error;
pub mod list;
pub mod txn;

pub use crate::client::Client;
pub use crate::error::Error;
