//! Stages of a request, the memory it holds on replicas, the idempotency keys already seen, and the
//! order of its tokens.
//!
//! Nothing here does I/O: time is passed in, and what has to be sent is returned.

pub mod backoff;
pub mod holds;
pub mod ids;
pub mod keys;
pub mod reassembly;
pub mod stage;
