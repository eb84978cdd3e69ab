//! A request's life, the memory it holds on replicas, and the keys already seen.
//!
//! Everything here is pure: time is passed in, and what has to be sent is returned.

pub mod backoff;
pub mod holds;
pub mod ids;
pub mod keys;
pub mod reassembly;
pub mod stage;
