//! Frames between daemons and their codec.
//!
//! A frame is a four-byte big-endian length, a two-byte big-endian version and a `bincode` body.
//! Frames of another version, oversized frames and bytes that do not decode are errors that name
//! the failed step. The connection that carried them is closed; nothing else is affected.

mod codec;
mod error;
mod frame;

pub use codec::Decoder;
pub use codec::encode;
pub use error::Error;
pub use frame::Body;
pub use frame::Frame;
pub use frame::KeyStatus;
pub use frame::TableStatus;

/// Version of the frame layout, raised with every incompatible change.
pub const VERSION: u16 = 1;
/// Longest frame accepted, version and body, in bytes.
pub const MAX_BODY: usize = 4 << 20;
