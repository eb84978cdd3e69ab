//! Idempotency keys.
//!
//! A key identifies its runner: its prefix, issued in an address answer, holds the only incarnation
//! that may start the request and the time of issue. A repeated key therefore reaches the same
//! runner through any instance, without agreement between instances.

use std::fmt;
use std::fmt::Write;

use serde::Deserialize;
use serde::Serialize;

use crate::Incarnation;
use crate::hex;

/// The part of a key that a daemon issues: `<incarnation>.<issued>.`, both in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Prefix {
    /// The only daemon run that may start a request with this key.
    pub runner: Incarnation,
    /// When the prefix was issued, in seconds of the Unix clock.
    pub issued: u64,
}

impl Prefix {
    /// The prefix for `runner`, issued at `issued` (Unix seconds).
    pub const fn new(runner: Incarnation, issued: u64) -> Self {
        Self { runner, issued }
    }

    /// Parses the prefix of `key`; `None` if the key does not begin with one or has nothing after
    /// it.
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.splitn(3, '.');
        let runner = parts.next().filter(|part| part.len() == 16)?;
        let issued = parts.next().filter(|part| part.len() == 8)?;
        parts.next().filter(|rest| !rest.is_empty())?;
        let runner = hex::parse(runner)?;
        let issued = hex::parse(issued)?;
        Some(Self::new(Incarnation(runner), issued))
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:08x}.", self.runner, self.issued)
    }
}

/// A caller's idempotency key, scoped to its customer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The customer that presented the key.
    pub customer: String,
    /// The key as presented, with its prefix.
    pub text: String,
}

impl Key {
    /// Maximum length of the key text, in bytes.
    pub const MAX_LEN: usize = 128;

    /// The key `text` of `customer`.
    pub fn new(customer: &str, text: &str) -> Self {
        Self {
            customer: customer.to_owned(),
            text: text.to_owned(),
        }
    }

    /// The prefix of the key, if it has one.
    pub fn prefix(&self) -> Option<Prefix> {
        Prefix::parse(&self.text)
    }
}

/// Customer and text, separated by a slash. Slashes in the customer are escaped: outcomes are
/// recorded under this form, so no two keys may share it.
impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for letter in self.customer.chars() {
            match letter {
                '%' => f.write_str("%25")?,
                '/' => f.write_str("%2F")?,
                _ => f.write_char(letter)?,
            }
        }
        write!(f, "/{}", self.text)
    }
}
