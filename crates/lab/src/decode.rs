//! Decode replicas whose memory fills as answers grow, and daemons that share them.
//!
//! Plays the gateway's own decisions ([`relay`]) in virtual time against load patterns: how
//! generations wait, are placed, refused, moved and set aside. Equal seeds give equal runs.

pub mod daemon;
pub mod replica;
pub mod run;
pub mod setup;
pub mod stats;
