//! Membership of instances and ownership by rendezvous hashing.
//!
//! A [`Fleet`] is one daemon's view of all daemons. It follows SWIM (Das, Gupta, Motivala, "SWIM:
//! Scalable Weakly-consistent Infection-style Process Group Membership Protocol", sections 3 and
//! 4): each period one member is probed, directly and then through helpers; membership updates are
//! piggybacked on these messages; a member that fails to answer is suspected, and declared dead if
//! it does not refute the suspicion in time. The number of messages that a daemon sends per second
//! does not depend on the number of members.
//!
//! The crate does no I/O. The driver calls [`Fleet::step`] at the time that the last call returned
//! and right after each [`Fleet::receive`], and sends the messages that the step outputs. The time
//! is passed in, and the random number generator is seeded.
//!
//! Differences from the paper:
//!
//! - Every message begins with its sender's own record, so that a restarted daemon is known from
//!   its first message, and includes the receiver's record if the receiver is suspected or dead. A
//!   run that was declared dead gets its death record instead of an answer.
//! - Daemons that suspect members ping one of them each period.
//! - `Dead` is final for an incarnation. A daemon that learns that it was declared dead gives up
//!   its incarnation ([`Fleet::declared_dead`]).
//! - A listed member is declared dead only by a daemon in contact with a majority of the listed
//!   instances (if there are more than two). Other daemons cannot tell which side of a partition is
//!   cut off; they leave the member suspected but no longer count it as in reach, so that ownership
//!   moves. When a partition heals, the daemons on the majority side therefore keep their
//!   incarnations; without a majority side, all daemons do. The cost: without contact with a
//!   majority, a run is declared dead only after the platform's list drops it.
//! - Members that lack records of listed instances request them page by page, so that a new member
//!   knows a large fleet within seconds. Dead listed instances are pinged at a constant rate, so
//!   that the two sides of a healed partition find each other.
//! - After a pause, a daemon does not count the missed time against its peers, and reports itself
//!   as paused until a peer answers it ([`Fleet::paused`]).

pub mod entry;
pub mod member;
pub mod message;
pub mod output;
pub mod owner;
pub mod settings;

mod detect;
mod gossip;
mod merge;
mod pause;
mod probe;
mod query;
mod roster;
mod swim;
mod updates;

pub use member::Member;
pub use message::Message;
pub use output::Output;
pub use settings::Settings;
pub use swim::Fleet;
