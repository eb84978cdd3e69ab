//! Customers, their API keys, and quotas that hold across all daemons.
//!
//! The crate does no I/O. Daemons store digests of API keys ([`digest::Digest`]), never the keys.
//! One daemon at a time, the keeper, counts a customer's usage in a [`bucket::Bucket`]; the others
//! ask it, and fall back to their own [`local_budget::LocalBudget`] if it does not answer.

pub mod bucket;
pub mod demand;
pub mod digest;
pub mod keeper;
pub mod list;
pub mod local_budget;
pub mod quota;
pub mod rank;
pub mod subject;
