//! Admission, queueing, and pairing of prefill and decode replicas.
//!
//! A [`scheduler::Scheduler`] holds the single queue of a pool of replicas. It accepts small
//! [`ticket::Ticket`]s, decides when and where each request runs, and returns
//! [`verdict::Verdict`]s. It does no I/O, reads no clock and uses a seeded generator, so equal
//! inputs give equal decisions.

mod ended_requests;
mod hash;
mod link;
mod pool;
mod prefix_index;
mod queue;
mod rate;
mod request;
mod row;
mod server;
mod token_time;
mod turnover;

pub mod phase;
pub mod policy;
pub mod replica;
pub mod rule;
pub mod scheduler;
pub mod settings;
pub mod ticket;
pub mod verdict;
