//! Log lines: one JSON object a line.
//!
//! [`queue::Queue`] hands lines to a thread of its own, so that a reader of standard output that
//! stops reading delays no request.

pub mod line;
pub mod queue;
