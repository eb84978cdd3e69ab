//! Ways in which daemons keep the quota of a customer together, in virtual time.
//!
//! One customer, many daemons. What is admitted is compared with a single bucket that sees every request at once.

pub mod load;
pub mod run;
pub mod scheme;
