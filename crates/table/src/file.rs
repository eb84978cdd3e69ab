//! Reads and writes table files: a YAML list of rows.
//!
//! `service`, `class` and `pool` are required. Every other column may be omitted and takes its
//! default (`limits::DEFAULT_*`; `max_wait_ms` is raised to `ttft_ms` if that is longer).
//! Unknown columns are refused.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::Table;
use crate::error::Error;
use crate::error::Location;
use crate::error::Report;
use crate::limits;
use crate::limits::KEY_COLUMNS;
use crate::row;
use crate::row::Range;
use crate::row::Row;
use crate::row::is_name;

/// Maximum length of a file, in bytes.
pub const MAX_BYTES: usize = 4 * 1024 * 1024;

/// The columns as written; the number type is wide enough to hold values that are out of range.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Columns {
    service: Option<String>,
    class: Option<String>,
    pool: Option<String>,
    share: Option<i64>,
    priority: Option<i64>,
    ttft_ms: Option<i64>,
    tbt_ms: Option<i64>,
    max_wait_ms: Option<i64>,
    prefill_ceiling: Option<i64>,
    decode_ceiling: Option<i64>,
    retry_percent: Option<i64>,
    waste_percent: Option<i64>,
    repeatable: Option<bool>,
}

impl Columns {
    fn key(&self) -> String {
        let part = |text: &Option<String>| text.clone().unwrap_or_else(|| "?".to_owned());
        format!(
            "{}/{}/{}",
            part(&self.service),
            part(&self.class),
            part(&self.pool)
        )
    }

    /// The errors that cannot be represented in a [`Row`].
    fn check(&self) -> Vec<Error> {
        let key = self.key();
        let texts = [
            ("service", &self.service),
            ("class", &self.class),
            ("pool", &self.pool),
        ];
        let missing = texts.into_iter().filter(|(_, text)| text.is_none());
        let missing = missing.map(|(name, _)| Error::MissingColumn {
            location: Location::new(&key, name),
        });
        let ranges = self.numbers().into_iter();
        let ranges = ranges.filter_map(|(range, value)| range.check(&key, value?));
        missing.chain(ranges).collect()
    }

    fn numbers(&self) -> [(Range, Option<i64>); 9] {
        [
            (row::SHARE, self.share),
            (row::PRIORITY, self.priority),
            (row::TTFT_MS, self.ttft_ms),
            (row::TBT_MS, self.tbt_ms),
            (row::MAX_WAIT_MS, self.max_wait_ms),
            (row::PREFILL_CEILING, self.prefill_ceiling),
            (row::DECODE_CEILING, self.decode_ceiling),
            (row::RETRY_PERCENT, self.retry_percent),
            (row::WASTE_PERCENT, self.waste_percent),
        ]
    }

    /// Converts to a [`Row`]; all numbers must have been checked to be in range.
    fn into_row(self) -> Row {
        let u32_or = |value: Option<i64>, default: u32| value.map_or(default, |value| value as u32);
        let u8_or = |value: Option<i64>, default: u8| value.map_or(default, |value| value as u8);
        let ttft_ms = u32_or(self.ttft_ms, limits::DEFAULT_TTFT_MS);
        Row {
            service: self.service.unwrap_or_default(),
            class: self.class.unwrap_or_default(),
            pool: self.pool.unwrap_or_default(),
            share: u32_or(self.share, limits::DEFAULT_SHARE),
            priority: u8_or(self.priority, limits::DEFAULT_PRIORITY),
            ttft_ms,
            tbt_ms: u32_or(self.tbt_ms, limits::DEFAULT_TBT_MS),
            max_wait_ms: u32_or(self.max_wait_ms, limits::DEFAULT_MAX_WAIT_MS.max(ttft_ms)),
            prefill_ceiling: u32_or(self.prefill_ceiling, limits::DEFAULT_PREFILL_CEILING),
            decode_ceiling: u32_or(self.decode_ceiling, limits::DEFAULT_DECODE_CEILING),
            retry_percent: u8_or(self.retry_percent, limits::DEFAULT_RETRY_PERCENT),
            waste_percent: u8_or(self.waste_percent, limits::DEFAULT_WASTE_PERCENT),
            repeatable: self.repeatable.unwrap_or(true),
        }
    }
}

/// Reads the rows of a file, ordered by key.
///
/// # Errors
///
/// All errors found, with line and column where they can be determined.
pub fn parse(text: &str) -> Result<Vec<Row>, Report> {
    if text.len() > MAX_BYTES {
        return Err(Error::TooLong {
            bytes: text.len(),
            max: MAX_BYTES,
        }
        .into());
    }
    let columns: Vec<Columns> =
        serde_norway::from_str(text).map_err(|error| Report::from(syntax(&error)))?;
    if columns.len() > Table::MAX_ROWS {
        return Err(Error::TooManyRows {
            rows: columns.len(),
        }
        .into());
    }
    let lines = Lines::new(text, columns.len());
    let mut errors = Vec::new();
    let mut rows = Vec::with_capacity(columns.len());
    let mut seen = BTreeMap::new();
    for (index, columns) in columns.into_iter().enumerate() {
        let invalid = columns.check();
        let row = invalid.is_empty().then(|| columns.into_row());
        let found = invalid.into_iter().chain(row.iter().flat_map(Row::check));
        errors.extend(found.map(|error| lines.locate(index, error)));
        let Some(row) = row else { continue };
        match seen.insert(row.key(), index) {
            Some(first) => {
                let location = Location::new(&row.key(), "").with_line(lines.start(index));
                errors.push(Error::DuplicateKey {
                    location,
                    first: lines.start(first),
                });
            }
            None => rows.push(row),
        }
    }
    Report::check(errors)?;
    Ok(Table::new(0, rows).rows)
}

/// Formats `rows` as YAML, with every column written.
pub fn to_yaml(rows: &[Row]) -> String {
    if rows.is_empty() {
        return "[]\n".to_owned();
    }
    rows.iter().map(row_to_yaml).collect()
}

fn row_to_yaml(row: &Row) -> String {
    let columns = row.columns();
    let lines = columns.iter().enumerate().map(|(index, column)| {
        let prefix = if index == 0 { "- " } else { "  " };
        // Key columns are quoted because YAML could read a name as a number or a boolean.
        let quote = if index < KEY_COLUMNS { "\"" } else { "" };
        format!("{prefix}{}: {quote}{}{quote}\n", column.name, column.value)
    });
    lines.collect()
}

fn syntax(error: &serde_norway::Error) -> Error {
    let found = error.to_string();
    let field = found.split(": ").next().and_then(column);
    let field = field.unwrap_or_default();
    let line = error.location().map(|location| location.line());
    let location = Location::new("", field).with_line(line);
    Error::Syntax { location, found }
}

/// The column in a parser path such as `.[0].tbt_ms`.
fn column(path: &str) -> Option<&str> {
    let (row, field) = path.rsplit_once('.')?;
    (row.ends_with(']') && is_name(field)).then_some(field)
}

/// Finds the lines of rows and columns in a file in block style.
#[derive(Debug)]
struct Lines<'a> {
    text: Vec<&'a str>,
    /// Index of the first line of each row; empty if rows do not start on separate lines.
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str, rows: usize) -> Self {
        let text: Vec<&str> = text.lines().collect();
        let indent = |line: &str| line.len() - line.trim_start().len();
        let is_item = |line: &str| line.trim_start().starts_with("- ") || line.trim() == "-";
        let first = text
            .iter()
            .find(|line| is_item(line))
            .map(|line| indent(line));
        let starts = text.iter().enumerate();
        let starts = starts.filter(|(_, line)| is_item(line) && Some(indent(line)) == first);
        let mut starts: Vec<usize> = starts.map(|(index, _)| index).collect();
        if starts.len() != rows {
            starts.clear();
        }
        Self { text, starts }
    }

    /// The first line of row `index`, counted from 1.
    fn start(&self, index: usize) -> Option<usize> {
        self.starts.get(index).map(|start| start + 1)
    }

    /// Sets the line of `error` to that of its column, or else of the row.
    fn locate(&self, index: usize, error: Error) -> Error {
        let Some(&start) = self.starts.get(index) else {
            return error;
        };
        let end = self
            .starts
            .get(index + 1)
            .copied()
            .unwrap_or(self.text.len());
        let field = error
            .location()
            .map_or(String::new(), |location| format!("{}:", location.field));
        let is_field = |line: &&str| {
            line.trim_start()
                .trim_start_matches("- ")
                .trim_start()
                .starts_with(&field)
        };
        let offset = self.text[start..end].iter().position(is_field);
        error.with_line(Some(start + offset.unwrap_or(0) + 1))
    }
}
