//! Simulates schemes by which daemons enforce the quota of a customer together.
//!
//! One customer sends to many daemons; what they admit is compared with a single bucket that sees
//! every request immediately.

pub mod load;
pub mod run;
pub mod scheme;
