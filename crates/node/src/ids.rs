//! Identifiers that match an action with the events that answer it.

pub use ledger::ids::CallId;
pub use ledger::ids::OrderId;
pub use ledger::ids::QueryId;
