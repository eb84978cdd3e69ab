//! An operator's edit on its way.

use std::collections::BTreeSet;

use ident::Instance;
use ident::Time;
use ledger::ids::CallId;
use ledger::ids::QueryId;
use table::edit::Edit;

/// An edit on its way.
#[derive(Debug)]
pub(crate) struct Edition {
    pub(crate) call: CallId,
    pub(crate) edit: Edit,
    pub(crate) commit: QueryId,
    /// Once it is committed: its generation, and whether an earlier try had committed it.
    pub(crate) made: Option<(u64, bool)>,
    pub(crate) noted: BTreeSet<Instance>,
    pub(crate) since: Time,
    pub(crate) announced: Time,
}
