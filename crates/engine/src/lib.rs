//! Clients for model engines and plain applications.
//!
//! The clients never retry a request. [`error::Error`] distinguishes requests of which no byte was
//! sent from those that may have reached the peer.

pub mod attach;
pub mod call;
pub mod cancel;
pub mod claim;
pub mod client;
mod control;
pub mod decode;
pub mod error;
pub mod order;
pub mod prefill;
pub mod state;
pub mod stream;
mod text;

pub use crate::claim::Claim;
pub use crate::client::Client;
pub use crate::error::Error;
pub use crate::stream::Stream;
