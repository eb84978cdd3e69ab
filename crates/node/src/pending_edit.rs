//! An operator's edit on its way.

use std::collections::BTreeSet;

use ident::Instance;
use ident::Time;
use ledger::ids::Call;
use ledger::ids::Query;
use table::edit::Edit;

/// An edit on its way.
#[derive(Debug)]
pub(crate) struct PendingEdit {
    pub(crate) call: Call,
    pub(crate) edit: Edit,
    pub(crate) commit: Query,
    /// Once it is committed: its generation, and whether an earlier try had committed it.
    pub(crate) committed: Option<(u64, bool)>,
    pub(crate) noted: BTreeSet<Instance>,
    pub(crate) since: Time,
    pub(crate) announced: Time,
}
