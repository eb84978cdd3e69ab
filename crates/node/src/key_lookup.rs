//! A caller that waits for what another instance knows of its key.

use ident::Instance;
use ident::Key;
use ident::Time;
use ledger::ids::Call;
use ledger::ids::Query;

use crate::request::Request;

/// A caller waits for what another instance knows of its key.
#[derive(Debug)]
pub(crate) struct KeyLookup {
    /// The caller's connection.
    pub(crate) call: Call,
    pub(crate) key: Key,
    pub(crate) request: Option<Request>,
    pub(crate) runner: Option<Instance>,
    pub(crate) last_answer: Time,
    pub(crate) last_sent: Time,
    pub(crate) store_query: Option<Query>,
}
