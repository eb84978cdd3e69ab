//! The entry daemon: sockets, settings, logs and metrics around the core.
//!
//! [`driver`] owns the core ([`node::Node`]) and dispatches its actions; the other modules send
//! events to the driver and execute actions.

pub mod admin;
pub mod backends;
pub mod budget;
pub mod callers;
pub mod clock;
pub mod config;
mod daemon;
pub mod directory;
pub mod driver;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod secret;
pub mod stop;

pub use daemon::run;
