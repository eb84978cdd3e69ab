//! Measurements of what the router costs and of how that grows with its surroundings.
//!
//! Two programs use this library: `cost` compares calls through real daemons with calls to the
//! stand-ins themselves, and `slope` measures how state, messages and processor time of each role
//! grow. Both run real daemons on loopback ([`cluster`]) where they can, and the decision core in
//! virtual time ([`simulation`]) beyond that.

pub mod arms;
pub mod cluster;
pub mod fit;
pub mod load;
pub mod report;
pub mod simulation;
pub mod slopes;
pub mod usage;
