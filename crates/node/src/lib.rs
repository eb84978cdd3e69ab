//! The decision core of a daemon: events in, actions out.
//!
//! [`Node::step`] is the whole boundary. A driver (the entry daemon, a test or another harness)
//! passes in what happened and the present time, and carries out the actions it gets back. The
//! core has no sockets, files, clock or threads; its only randomness is a seeded generator.

pub mod action;
mod attempts;
mod callers;
pub mod decision;
mod edits;
mod endings;
pub mod event;
mod foreign_keys;
mod http_status;
pub mod ids;
mod introspection;
mod journal;
mod keeper;
mod kept_pool;
mod key_lookup;
mod key_status;
pub mod list;
mod members;
mod membership;
mod node;
mod open;
mod orders;
mod peers;
mod pending_edit;
mod proofs;
mod reattach;
mod recording;
mod refusals;
mod releases;
pub mod request;
mod retries;
mod rows;
pub mod settings;
mod stalls;
mod state;
pub mod status;
mod streams;
mod sweeping;
mod table_sync;
mod tables;
mod takeovers;
mod timer_tasks;
mod timers;
mod token;
mod verifying;

pub use node::Node;
