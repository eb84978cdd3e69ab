//! Simulates the users' platform: daemons that decide by `relay`, and engines that prefill one prompt
//! at a time, decode in batches and reserve memory, as the platform's pages describe.
//!
//! Not modelled: prefix caches, preemption, failures and contention between transfers. All decode
//! steps of a request take as long as with the batch that it joins.

pub mod engine;
pub mod plot;
pub mod run;
pub mod setup;
pub mod stats;
