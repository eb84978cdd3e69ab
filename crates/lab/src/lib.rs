//! Simulates the routing policies in virtual time and measures them.
//!
//! The schedulers are those of `route`; engines, links and delayed reports are simple models. Equal
//! seeds give equal runs.

pub mod bench;
pub mod crash;
pub mod decode;
pub mod engine;
pub mod network;
pub mod quota;
pub mod rival;
pub mod simulation;
pub mod site;
pub mod stats;
pub mod summary;
pub mod workload;
