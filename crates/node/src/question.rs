//! A caller that waits for what another instance knows of its key.

use ident::Instance;
use ident::Key;
use ident::Time;
use ledger::ids::CallId;
use ledger::ids::QueryId;

use crate::request::Request;

/// A caller waits for what another instance knows of its key.
#[derive(Debug)]
pub(crate) struct Question {
    /// The caller's connection.
    pub(crate) call: CallId,
    pub(crate) key: Key,
    pub(crate) request: Option<Request>,
    pub(crate) runner: Option<Instance>,
    pub(crate) heard: Time,
    pub(crate) asked: Time,
    pub(crate) lookup: Option<QueryId>,
}
