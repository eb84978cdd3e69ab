//! Decisions about requests that are relayed to replicas.
//!
//! The crate is pure: time and random numbers are passed in, and what it decides is carried out by
//! the `gateway` crate.
//!
//! - [`plan`]: the configuration in force; which route a request takes.
//! - [`pool`]: the replicas as they are listed, and what is known of each ([`server`]).
//! - [`score`]: which replica is to serve a request.
//! - [`balance`]: how replicas divide into those that read prompts and those that make tokens.
//! - [`budget`]: how many retries may still be sent to a service; [`permit`]: leave for one send.
//! - [`attempt`]: what follows when a send failed.
//! - [`fingerprint`]: which attempts of callers carry the same request.
//! - [`quarantine`]: requests under which replicas ended, and which are sent to none any more.
//! - [`event`]: cutting a stream into whole events, so that it can be resumed.
//! - [`length`]: how long answers become, learnt from those that ended.
//! - [`forecast`]: what runs will hold of a replica's memory over the next seconds.
//! - [`runs`], [`claims`]: the runs of this daemon, and what the others told of theirs; [`claim_publisher`]: what
//!   they are told, and when.
//! - [`wait_queue`]: who goes first among the generations that wait at one daemon.
//! - [`timing`]: whether a generation can still be in time, and what one that cannot leaves to others.
//! - [`admission`]: whether a replica has room for a run, now and until it ends.
//! - [`migration`]: which run goes on elsewhere before the memory of its replica ends.
//! - [`overload`]: whether instances have more work than they can do.
//! - [`directory`]: which instances callers are told to connect to.

pub mod admission;
pub mod attempt;
pub mod balance;
pub mod budget;
pub mod claim_publisher;
pub mod claims;
pub mod directory;
pub mod event;
pub mod fingerprint;
pub mod forecast;
pub mod length;
pub mod migration;
pub mod overload;
pub mod permit;
pub mod plan;
pub mod pool;
pub mod quarantine;
pub mod replica;
pub mod replica_state;
pub mod runs;
pub mod score;
pub mod server;
pub mod timing;
mod tombstones;
pub mod wait_queue;
