//! Clients for model engines and plain applications.
//!
//! No request is ever sent twice by itself, and [`error::Error`] tells exactly whether a byte of a
//! failed request can have reached its peer.

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
