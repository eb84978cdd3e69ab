//! Outcomes of calls that are not repeatable, queued for the store.

use std::collections::VecDeque;

use bytes::Bytes;
use ident::Incarnation;
use ident::Key;
use ledger::ids::QueryId;
use ledger::keys::MAX_BODY;

/// Maximum number of queued outcomes; beyond it the oldest are dropped and become *unknown* if
/// this daemon dies.
pub(crate) const MAX_WAITING: usize = 16_384;

/// An outcome with the incarnation that its key names.
#[derive(Debug, Clone)]
pub(crate) struct JournalEntry {
    pub(crate) runner: Incarnation,
    pub(crate) outcome: (String, u16, Option<Bytes>),
}

/// Outcomes that are queued or being written to the store.
#[derive(Debug)]
pub(crate) struct Journal {
    pub(crate) waiting: VecDeque<JournalEntry>,
    pub(crate) sent: Option<(QueryId, Vec<JournalEntry>)>,
    pub(crate) sequence: u64,
}

impl Journal {
    pub(crate) const fn new() -> Self {
        Self {
            waiting: VecDeque::new(),
            sent: None,
            sequence: 0,
        }
    }

    /// Returns whether all outcomes are written.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.sent.is_none()
    }

    pub(crate) fn push(&mut self, key: &Key, status: u16, body: &Bytes) {
        let Some(prefix) = key.prefix() else {
            return;
        };
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        let body = (body.len() <= MAX_BODY).then(|| body.clone());
        let outcome = (key.to_string(), status, body);
        self.waiting.push_back(JournalEntry {
            runner: prefix.runner,
            outcome,
        });
    }
}
