//! Stand-ins for the platform, engines, applications and links, for the demo and tests only.
//!
//! Each implements its side of `docs/PROTOCOLS.md` over real sockets and counts the work it does,
//! which tests compare with what the daemons report.

pub mod application;
pub mod control;
pub mod engine;
pub mod link;
pub mod options;
pub mod platform;
pub mod text;
pub mod web;
