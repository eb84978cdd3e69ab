//! Identifiers that match an action with the events that answer it.

pub use ledger::ids::Call;
pub use ledger::ids::Order;
pub use ledger::ids::Query;
