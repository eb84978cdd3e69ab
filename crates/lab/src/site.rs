//! The users' platform in virtual time: daemons that decide by `relay`, and engines that read prompts
//! one after the other, make tokens in batches and reserve memory, as the platform's pages tell it.
//!
//! Simpler than the platform: no cached parts, preemption, failures or transfers that wait for each
//! other; a step of a batch lasts as long as it would with the batch that a request joins.

pub mod engine;
pub mod plot;
pub mod run;
pub mod setup;
pub mod stats;
