//! Errors in a table or an edit, each with a suggested correction.

use std::fmt;

use crate::Table;
use crate::limits::MAX_NAME_BYTES;

/// Location of an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// The line of the file, counted from 1; `None` if the rows are not read from a file or do not
    /// start on separate lines.
    pub line: Option<usize>,
    /// The row, as `service/class/pool`; empty if unknown.
    pub row: String,
    /// The column; empty if the error is not in a single column.
    pub field: String,
}

impl Location {
    /// The column `field` of the row `row`, without a line.
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

/// An error in a table or an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The file is not a YAML list of rows, or a column is unknown or of the wrong type.
    Syntax {
        /// Location of the error.
        location: Location,
        /// Message of the parser.
        found: String,
    },
    /// A column that has no default is missing.
    MissingColumn {
        /// Location of the row, and the column.
        location: Location,
    },
    /// A number outside the range of its column.
    OutOfRange {
        /// Location of the number.
        location: Location,
        /// The number found.
        value: i64,
        /// The smallest allowed value.
        min: i64,
        /// The largest allowed value.
        max: i64,
    },
    /// A name that is empty, too long or contains characters that are not allowed.
    InvalidName {
        /// Location of the name.
        location: Location,
        /// The text found.
        value: String,
    },
    /// Two columns of a row that contradict each other.
    Contradiction {
        /// Location of the column whose value is too small.
        location: Location,
        /// The value of that column.
        value: i64,
        /// The column whose value is the lower bound.
        other: &'static str,
        /// The value of the other column.
        bound: i64,
    },
    /// A key that occurs more than once.
    DuplicateKey {
        /// Location of the second occurrence.
        location: Location,
        /// The line of the first occurrence.
        first: Option<usize>,
    },
    /// More rows than allowed in a table.
    TooManyRows {
        /// The number of rows.
        rows: usize,
    },
    /// A file or note longer than allowed.
    TooLong {
        /// The length, in bytes.
        bytes: usize,
        /// The maximum length, in bytes.
        max: usize,
    },
    /// An edit without changes.
    NoChanges,
}

impl Error {
    /// The same error at `line` of a file.
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

    /// The location of the error, if it has a single one.
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
                    "{location}: the key already occurs on line {first}; remove one of the two"
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

/// All errors of a file or an edit, never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The errors, in file order.
    pub errors: Vec<Error>,
}

impl Report {
    /// `Ok` if `errors` is empty.
    ///
    /// # Errors
    ///
    /// The report of `errors`, if there are any.
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
