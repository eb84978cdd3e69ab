//! Numbers that tie an action to the event that answers it.

pub use ledger::ids::Call;
pub use ledger::ids::Order;
pub use ledger::ids::Query;
