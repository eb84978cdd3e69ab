//! Simulates decode replicas whose memory fills as answers grow, and daemons that share them.
//!
//! The gateway's own decisions ([`relay`]) run in virtual time against load patterns: how generations
//! wait, and are placed, refused, migrated and preempted. Equal seeds give equal runs.

pub mod daemon;
pub mod replica;
pub mod run;
pub mod setup;
pub mod stats;
