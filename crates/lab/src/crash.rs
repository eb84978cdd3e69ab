//! Simulates prompts with parts that crash replicas, and what daemons conclude from the ends by
//! `relay::quarantine`.
//!
//! Not modelled: placement, load, and losses of the path between daemons and replicas.

pub mod fleet;
pub mod load;
pub mod run;
