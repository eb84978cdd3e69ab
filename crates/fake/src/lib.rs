//! Stand-ins for the platform, engines, applications and links, for demo and tests only.
//!
//! Each speaks its side of `docs/PROTOCOLS.md` over real sockets and counts what happened, so that
//! a test can compare what a daemon says with what a back end did.

pub mod application;
pub mod control;
pub mod engine;
pub mod link;
pub mod options;
pub mod platform;
pub mod text;
pub mod web;
