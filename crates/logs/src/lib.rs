//! Log lines: one JSON object per line.
//!
//! [`queue::Queue`] passes lines to a separate thread, so that requests are not delayed if the
//! reader of standard output stops reading.

pub mod line;
pub mod queue;
