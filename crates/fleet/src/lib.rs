//! Membership of instances and ownership by rendezvous hashing.
//!
//! A [`Fleet`] is one daemon's view of all daemons. It follows SWIM (Das, Gupta, Motivala, "SWIM:
//! Scalable Weakly-consistent Infection-style Process Group Membership Protocol", sections 3 and
//! 4): each period one member is probed, directly and then through helpers; news of members is
//! carried by these messages; a member that fails to answer is suspected, and declared dead if it
//! does not refute the suspicion in time. Messages a daemon sends per second do not depend on the
//! number of members.
//!
//! The crate is pure. The driver calls [`Fleet::step`] at the time that the last call returned,
//! and again right after [`Fleet::receive`], and sends what it puts out. Times are passed in; the
//! generator is seeded.
//!
//! Differences from the paper:
//!
//! - Every message begins with its sender's own record, so that a restarted daemon is known by its
//!   first message, and tells its receiver if that is suspected. A run that is held dead gets that
//!   verdict in place of an answer.
//! - A suspected member is probed again each period by those that suspect it.
//! - `Dead` is final for an incarnation. A daemon that learns that it was declared dead gives its
//!   incarnation up ([`Fleet::declared_dead`]).
//! - A listed member is declared dead only by a daemon in contact with a majority of the listed
//!   instances (where there are more than two). Others can't tell which side is cut off; they leave the member suspected, but no
//!   longer count it as in reach, so that ownership moves. When a partition heals, the daemons of
//!   a larger side therefore keep their incarnations, and where no side holds a majority, all do.
//!   The cost: while no majority of the listed instances is in contact, no run is declared dead
//!   until the platform's list drops it.
//! - Members that lack records of listed instances ask for them a page at a time, so that a
//!   newcomer knows a large fleet within seconds; listed instances held dead are pinged at a
//!   constant rate, so that two sides of a healed partition find each other.
//! - A daemon that was paused does not judge others by the time that it missed, and says so until
//!   a peer has answered it ([`Fleet::paused`]).

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
