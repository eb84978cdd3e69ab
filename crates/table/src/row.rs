//! Rows of the table and the checks of a single row.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Location;
use crate::limits::DEFAULT_DECODE_CEILING;
use crate::limits::DEFAULT_MAX_WAIT_MS;
use crate::limits::DEFAULT_PREFILL_CEILING;
use crate::limits::DEFAULT_PRIORITY;
use crate::limits::DEFAULT_RETRY_PERCENT;
use crate::limits::DEFAULT_SHARE;
use crate::limits::DEFAULT_TBT_MS;
use crate::limits::DEFAULT_TTFT_MS;
use crate::limits::DEFAULT_WASTE_PERCENT;
use crate::limits::MAX_CEILING;
use crate::limits::MAX_DURATION_MS;
use crate::limits::MAX_NAME_BYTES;
use crate::limits::MAX_PRIORITY;
use crate::limits::MAX_SHARE;

/// Weights and limits for one service, caller class and pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The service that callers request.
    pub service: String,
    /// The caller class.
    pub class: String,
    /// The pool of replicas that serve the calls.
    pub pool: String,
    /// Weight relative to the other rows of the pool, at least 1.
    pub share: u32,
    /// 0 (served first) to 9.
    pub priority: u8,
    /// Target for the time to first token (for plain services: to the answer), in milliseconds.
    pub ttft_ms: u32,
    /// Target for the time between tokens, in milliseconds.
    pub tbt_ms: u32,
    /// How long a request may wait before it is refused, in milliseconds; at least `ttft_ms`.
    pub max_wait_ms: u32,
    /// Maximum number of concurrent prefills over all daemons.
    pub prefill_ceiling: u32,
    /// Maximum number of concurrent decodes over all daemons; for plain services, of calls.
    pub decode_ceiling: u32,
    /// Allowed retries, in percent of the accepted requests.
    pub retry_percent: u8,
    /// Weight of wasted prefill relative to goodput, in percent.
    pub waste_percent: u8,
    /// Whether calls may be repeated; `false` makes every call of the service not repeatable.
    pub repeatable: bool,
}

impl Row {
    /// A row for `service`, `class` and `pool` with defaults in all other columns.
    pub fn new(service: &str, class: &str, pool: &str) -> Self {
        Self {
            service: service.to_owned(),
            class: class.to_owned(),
            pool: pool.to_owned(),
            share: DEFAULT_SHARE,
            priority: DEFAULT_PRIORITY,
            ttft_ms: DEFAULT_TTFT_MS,
            tbt_ms: DEFAULT_TBT_MS,
            max_wait_ms: DEFAULT_MAX_WAIT_MS,
            prefill_ceiling: DEFAULT_PREFILL_CEILING,
            decode_ceiling: DEFAULT_DECODE_CEILING,
            retry_percent: DEFAULT_RETRY_PERCENT,
            waste_percent: DEFAULT_WASTE_PERCENT,
            repeatable: true,
        }
    }

    /// The key of the row as a small `Copy` value.
    pub fn id(&self) -> ident::Row {
        ident::Row::from_parts(&self.service, &self.class, &self.pool)
    }

    /// The key of the row, `service/class/pool`.
    pub fn key(&self) -> String {
        format!("{}/{}/{}", self.service, self.class, self.pool)
    }

    /// The key columns, in sort order.
    pub fn key_parts(&self) -> (&str, &str, &str) {
        (&self.service, &self.class, &self.pool)
    }

    /// All columns with their values as text, in file order.
    pub fn columns(&self) -> Vec<Column> {
        let column = |name, value: &dyn fmt::Display| Column {
            name,
            value: value.to_string(),
        };
        vec![
            column("service", &self.service),
            column("class", &self.class),
            column("pool", &self.pool),
            column("share", &self.share),
            column("priority", &self.priority),
            column("ttft_ms", &self.ttft_ms),
            column("tbt_ms", &self.tbt_ms),
            column("max_wait_ms", &self.max_wait_ms),
            column("prefill_ceiling", &self.prefill_ceiling),
            column("decode_ceiling", &self.decode_ceiling),
            column("retry_percent", &self.retry_percent),
            column("waste_percent", &self.waste_percent),
            column("repeatable", &self.repeatable),
        ]
    }

    /// All errors of the row; empty if it is valid.
    pub fn check(&self) -> Vec<Error> {
        let mut errors = Vec::new();
        let key = self.key();
        let texts = [
            ("service", &self.service),
            ("class", &self.class),
            ("pool", &self.pool),
        ];
        for (field, value) in texts {
            if !is_name(value) {
                errors.push(Error::InvalidName {
                    location: Location::new(&key, field),
                    value: value.clone(),
                });
            }
        }
        for (range, value) in self.ranges() {
            errors.extend(range.check(&key, value));
        }
        if self.max_wait_ms < self.ttft_ms {
            errors.push(Error::Contradiction {
                location: Location::new(&key, "max_wait_ms"),
                value: i64::from(self.max_wait_ms),
                other: "ttft_ms",
                bound: i64::from(self.ttft_ms),
            });
        }
        errors
    }

    fn ranges(&self) -> [(Range, i64); 9] {
        [
            (SHARE, i64::from(self.share)),
            (PRIORITY, i64::from(self.priority)),
            (TTFT_MS, i64::from(self.ttft_ms)),
            (TBT_MS, i64::from(self.tbt_ms)),
            (MAX_WAIT_MS, i64::from(self.max_wait_ms)),
            (PREFILL_CEILING, i64::from(self.prefill_ceiling)),
            (DECODE_CEILING, i64::from(self.decode_ceiling)),
            (RETRY_PERCENT, i64::from(self.retry_percent)),
            (WASTE_PERCENT, i64::from(self.waste_percent)),
        ]
    }
}

/// A column and its value as text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    /// Name of the column.
    pub name: &'static str,
    /// Value as text.
    pub value: String,
}

/// Allowed values of a numeric column.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Range {
    field: &'static str,
    min: i64,
    max: i64,
}

impl Range {
    const fn new(field: &'static str, min: i64, max: i64) -> Self {
        Self { field, min, max }
    }

    /// The error for `value` in the row `key` if it is out of range.
    pub(crate) fn check(self, key: &str, value: i64) -> Option<Error> {
        let outside = value < self.min || value > self.max;
        outside.then(|| Error::OutOfRange {
            location: Location::new(key, self.field),
            value,
            min: self.min,
            max: self.max,
        })
    }
}

pub(crate) const SHARE: Range = Range::new("share", 1, MAX_SHARE as i64);
pub(crate) const PRIORITY: Range = Range::new("priority", 0, MAX_PRIORITY as i64);
pub(crate) const TTFT_MS: Range = Range::new("ttft_ms", 1, MAX_DURATION_MS as i64);
pub(crate) const TBT_MS: Range = Range::new("tbt_ms", 1, MAX_DURATION_MS as i64);
pub(crate) const MAX_WAIT_MS: Range = Range::new("max_wait_ms", 1, MAX_DURATION_MS as i64);
pub(crate) const PREFILL_CEILING: Range = Range::new("prefill_ceiling", 1, MAX_CEILING as i64);
pub(crate) const DECODE_CEILING: Range = Range::new("decode_ceiling", 1, MAX_CEILING as i64);
pub(crate) const RETRY_PERCENT: Range = Range::new("retry_percent", 0, 100);
pub(crate) const WASTE_PERCENT: Range = Range::new("waste_percent", 0, 100);

/// Whether `text` is valid in a key: 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, `-`, `_`, `.`.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}
