//! Decides where requests are sent: routes, replicas, retries, admission and quarantine.
//!
//! The crate does no I/O: time and random numbers are passed in, and the `gateway` crate carries
//! out the decisions.
//!
//! - [`plan`]: the configuration in force, and the route of a request.
//! - [`pool`]: the listed replicas, and the state of each ([`server`]).
//! - [`replica`]: entries of the list of replicas; [`replica_state`]: changes of a replica's state.
//! - [`evacuation`]: data centres whose replicas get no requests.
//! - [`homes`]: data centres in which a request may be served.
//! - [`reach`]: whether this daemon is partitioned from the replicas of a service.
//! - [`score`]: selection of the replica for a request.
//! - [`pace`]: how fast replicas work, and what daemons announce of it; [`answer`]: what a replica of a
//!   given speed makes of an answer.
//! - [`balance`]: division of the replicas of a model into prefill and decode;
//!   [`version_stages`]: versions whose streams need a decode replica.
//! - [`budget`]: retries that a service may still get; [`permit`]: permission for one send.
//! - [`attempt`]: the next step after a failed send.
//! - [`fingerprint`]: recognition of repeated attempts of one request.
//! - [`quarantine`]: requests that crash replicas and are no longer sent.
//! - [`begins`], [`epoch`]: the software versions that began streams; [`lifetime_record`]: how long these
//!   can be resumed.
//! - [`event`]: splitting of a stream into whole events, so that it can be resumed.
//! - [`length`]: distribution of answer lengths, learnt from completed answers.
//! - [`forecast`]: memory that runs will hold over the next seconds.
//! - [`runs`], [`claims`]: the runs of this daemon, and the reported runs of the others;
//!   [`claim_publisher`]: what this daemon reports, and when.
//! - [`wait_queue`]: order of the generations that wait at one daemon.
//! - [`timing`]: whether a generation can meet its objective, and what a late one leaves to others.
//! - [`admission`]: whether a replica has memory for a run until it ends.
//! - [`migration`]: runs to move before the memory of their replica is full.
//! - [`overload`]: detection of overloaded instances.
//! - [`directory`]: addresses of the instances that callers may connect to.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod balance;
pub mod begins;
pub mod budget;
mod call_times;
pub mod claim_publisher;
pub mod claims;
pub mod directory;
pub mod epoch;
pub mod evacuation;
pub mod event;
pub mod fingerprint;
pub mod forecast;
pub mod homes;
pub mod length;
pub mod lifetime_record;
pub mod migration;
mod notices;
pub mod overload;
pub mod pace;
pub mod permit;
pub mod plan;
pub mod pool;
pub mod quarantine;
pub mod reach;
pub mod replica;
pub mod replica_state;
mod retained_notices;
pub mod revision;
pub mod runs;
pub mod score;
pub mod server;
pub mod timing;
mod tombstones;
pub mod version_stages;
mod versions;
pub mod wait_queue;
