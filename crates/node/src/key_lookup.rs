//! Lookup of a key that belongs to another run.

use ident::Instance;
use ident::Key;
use ident::Time;
use ledger::ids::CallId;
use ledger::ids::QueryId;

use crate::request::Request;

/// A caller that waits for the outcome of its key from the runner or from the store.
#[derive(Debug)]
pub(crate) struct KeyLookup {
    /// The caller's connection.
    pub(crate) call: CallId,
    pub(crate) key: Key,
    pub(crate) request: Option<Request>,
    pub(crate) runner: Option<Instance>,
    pub(crate) last_answer: Time,
    pub(crate) last_sent: Time,
    pub(crate) store_query: Option<QueryId>,
}
