//! Customers: who holds which API key, and how much of each customer's requests all daemons together admit.
//!
//! Nothing here has input or output. A daemon keeps digests of keys ([`digest::Digest`]), never keys. What counts against the
//! quota of a customer is kept by one daemon at a time in a [`bucket::Bucket`]; the others ask it, and fall back to a
//! [`local_budget::LocalBudget`] of their own where it does not answer.

pub mod bucket;
pub mod digest;
pub mod keeper;
pub mod list;
pub mod local_budget;
pub mod quota;
pub mod subject;
