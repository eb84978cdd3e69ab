//! Numbers that tie an action to the event that answers it.

pub use ledger::ids::CallId;
pub use ledger::ids::OrderId;
pub use ledger::ids::QueryId;
