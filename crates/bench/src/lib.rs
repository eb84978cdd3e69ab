//! Measures what the router costs and how the cost grows with the size of its environment.
//!
//! Two programs use this library: `cost` compares calls through real daemons with direct calls to the
//! fake replicas, and `slope` measures how state, messages and processor time of each role grow. Both
//! run real daemons on loopback ([`cluster`]) where they can, and the decision core in virtual time
//! ([`simulation`]) for larger sizes.

pub mod arms;
pub mod cluster;
pub mod fit;
pub mod load;
pub mod report;
pub mod simulation;
pub mod slopes;
pub mod usage;
