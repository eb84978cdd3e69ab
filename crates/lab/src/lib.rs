//! Measurements of the routing policy in virtual time.
//!
//! Small fakes of engines, links and lagging reports stand round the cells of `route`. Equal seeds
//! give equal runs.

pub mod bench;
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
