//! Errors of calls to the platform's store.

use std::fmt;

/// The kind of call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A transaction.
    Txn,
    /// A read of rows.
    Rows,
    /// A read of the list.
    List,
    /// A read of an object.
    GetObject,
    /// A write of an object.
    PutObject,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Txn => "transaction",
            Self::Rows => "read of rows",
            Self::List => "read of the list",
            Self::GetObject => "read of an object",
            Self::PutObject => "write of an object",
        })
    }
}

/// A failed call to the platform.
pub type Error = call::Error<Step>;
