//! What is wrong with a table, and what to try.

use std::fmt;

use crate::Table;
use crate::limits::MAX_NAME_BYTES;

/// Where a fault stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// The line of the file, counted from 1; `None` if the rows come from no file or can't be
    /// told apart in it by lines.
    pub line: Option<usize>,
    /// The row, as `service/class/pool`; empty if it is not known.
    pub row: String,
    /// The column; empty if the fault is in no single column.
    pub field: String,
}

impl Location {
    /// The column `field` of the row `row`, in no file.
    pub fn new(row: &str, field: &str) -> Self {
        Self {
            line: None,
            row: row.to_owned(),
            field: field.to_owned(),
        }
    }

    /// The same location at `line` of a file.
    #[must_use]
    pub fn with_line(mut self, line: Option<usize>) -> Self {
        self.line = line;
        self
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = self.line.map(|line| format!("line {line}"));
        let row = (!self.row.is_empty()).then(|| format!("row {}", self.row));
        let field = (!self.field.is_empty()).then(|| format!("column {}", self.field));
        let parts: Vec<String> = [line, row, field].into_iter().flatten().collect();
        if parts.is_empty() {
            return write!(f, "table");
        }
        write!(f, "{}", parts.join(", "))
    }
}

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The file is no YAML list of rows, or a column is unknown or of the wrong type.
    Syntax {
        /// Where it stands.
        location: Location,
        /// What the parser found.
        found: String,
    },
    /// A column that has no default is missing.
    MissingColumn {
        /// Where it should stand.
        location: Location,
    },
    /// A number outside the values that its column may take.
    OutOfRange {
        /// Where it stands.
        location: Location,
        /// The number found.
        value: i64,
        /// The least value allowed.
        min: i64,
        /// The greatest value allowed.
        max: i64,
    },
    /// A name with characters that are not allowed, or of a wrong length.
    InvalidName {
        /// Where it stands.
        location: Location,
        /// The text found.
        value: String,
    },
    /// Two columns of a row that can't both hold.
    Contradiction {
        /// Where the smaller one stands.
        location: Location,
        /// Its value.
        value: i64,
        /// The column that it must not be below.
        other: &'static str,
        /// The value of that column.
        bound: i64,
    },
    /// A key that stands twice.
    DuplicateKey {
        /// Where the second one stands.
        location: Location,
        /// The line of the first one.
        first: Option<usize>,
    },
    /// More rows than a table may have.
    TooManyRows {
        /// The number of rows found.
        rows: usize,
    },
    /// A file longer than is read.
    TooLong {
        /// The length found, in bytes.
        bytes: usize,
        /// The longest that is read, in bytes.
        max: usize,
    },
    /// An edit without any change.
    NoChanges,
}

impl Error {
    /// The same fault at `line` of a file.
    #[must_use]
    pub fn with_line(mut self, line: Option<usize>) -> Self {
        match &mut self {
            Self::Syntax { location, .. }
            | Self::MissingColumn { location }
            | Self::OutOfRange { location, .. }
            | Self::InvalidName { location, .. }
            | Self::Contradiction { location, .. }
            | Self::DuplicateKey { location, .. } => location.line = line,
            Self::TooManyRows { .. } | Self::TooLong { .. } | Self::NoChanges => {}
        }
        self
    }

    /// Where the fault stands, if it stands at one location.
    pub fn location(&self) -> Option<&Location> {
        match self {
            Self::Syntax { location, .. }
            | Self::MissingColumn { location }
            | Self::OutOfRange { location, .. }
            | Self::InvalidName { location, .. }
            | Self::Contradiction { location, .. }
            | Self::DuplicateKey { location, .. } => Some(location),
            Self::TooManyRows { .. } | Self::TooLong { .. } | Self::NoChanges => None,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { location, found } => {
                write!(
                    f,
                    "{location}: {found}; write a list of rows with the documented columns"
                )
            }
            Self::MissingColumn { location } => {
                write!(f, "{location}: missing; add it, it has no default")
            }
            Self::OutOfRange {
                location,
                value,
                min,
                max,
            } => {
                write!(f, "{location}: {value} is out of range; use {min} to {max}")
            }
            Self::InvalidName { location, value } => write!(
                f,
                "{location}: `{value}` is not a name; use 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`"
            ),
            Self::Contradiction {
                location,
                value,
                other,
                bound,
            } => write!(
                f,
                "{location}: {value} is below {other} ({bound}); raise it to {bound} or lower {other}"
            ),
            Self::DuplicateKey {
                location,
                first: Some(first),
            } => {
                write!(
                    f,
                    "{location}: the key stands on line {first} already; keep one of the two"
                )
            }
            Self::DuplicateKey {
                location,
                first: None,
            } => {
                write!(f, "{location}: the key stands twice; keep one of the two")
            }
            Self::TooManyRows { rows } => {
                write!(f, "table: {rows} rows; use at most {}", Table::MAX_ROWS)
            }
            Self::TooLong { bytes, max } => {
                write!(f, "file: {bytes} bytes; use at most {max}")
            }
            Self::NoChanges => write!(f, "edit: no change; nothing is left to apply"),
        }
    }
}

impl std::error::Error for Error {}

/// All faults of a file or an edit, never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The faults, in file order.
    pub errors: Vec<Error>,
}

impl Report {
    /// `Ok` if `errors` is empty.
    ///
    /// # Errors
    ///
    /// The report of `errors`.
    pub fn check(errors: Vec<Error>) -> Result<(), Self> {
        if errors.is_empty() {
            Ok(())
        } else {
            Err(Self { errors })
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.errors.iter().map(ToString::to_string).collect();
        write!(f, "{}", lines.join("\n"))
    }
}

impl std::error::Error for Report {}

impl From<Error> for Report {
    fn from(error: Error) -> Self {
        Self {
            errors: vec![error],
        }
    }
}
