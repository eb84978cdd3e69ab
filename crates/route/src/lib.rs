//! Admission, waiting and the pairing of prefill and decode.
//!
//! A [`scheduler::Scheduler`] holds the one queue of a group of replicas. It takes small
//! [`ticket::Ticket`]s, decides when and where each request runs, and answers with
//! [`verdict::Verdict`]s. It does no input or output, reads no clock and draws from a seeded
//! generator, so equal inputs give equal decisions.

mod cache;
mod flow;
mod hash;
mod link;
mod memo;
mod pool;
mod queue;
mod rate;
mod row;
mod server;
mod token;
mod turnover;

pub mod phase;
pub mod policy;
pub mod replica;
pub mod rule;
pub mod scheduler;
pub mod settings;
pub mod ticket;
pub mod verdict;
