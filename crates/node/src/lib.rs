//! The decision core of a daemon: events in, actions out.
//!
//! [`Node::step`] is the whole boundary. A driver (the entry daemon, a test or another harness)
//! passes in what happened and the present time, and carries out the actions it gets back. The
//! core has no sockets, files, clock or threads; its only randomness is a seeded generator.

pub mod action;
mod asking;
mod attempts;
mod callers;
pub mod decision;
mod desk;
mod edition;
mod edits;
mod endings;
pub mod event;
mod http_status;
pub mod ids;
mod journal;
mod keeping;
mod kept;
pub mod list;
mod members;
mod membership;
mod node;
mod open;
mod orders;
mod peers;
mod proofs;
mod queries;
mod question;
mod readers;
mod recording;
mod refusals;
mod releases;
pub mod request;
mod retries;
mod rounds;
mod rows;
pub mod settings;
mod stalls;
mod state;
pub mod status;
mod streams;
mod sweeping;
mod tables;
mod takeovers;
mod telling;
mod timers;
mod token;
mod verifying;

pub use node::Node;
