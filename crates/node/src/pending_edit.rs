//! An operator's edit that is not answered yet.

use std::collections::BTreeSet;

use ident::Instance;
use ident::Time;
use ledger::ids::CallId;
use ledger::ids::QueryId;
use table::edit::Edit;

/// State of an edit between its arrival and its answer.
#[derive(Debug)]
pub(crate) struct PendingEdit {
    pub(crate) call: CallId,
    pub(crate) edit: Edit,
    pub(crate) commit: QueryId,
    /// After the commit: its generation, and whether an earlier try committed it.
    pub(crate) committed: Option<(u64, bool)>,
    pub(crate) confirmed: BTreeSet<Instance>,
    pub(crate) since: Time,
    pub(crate) announced: Time,
}
