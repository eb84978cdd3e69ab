//! Outcomes of non-repeatable calls, written to the store in batches.
//!
//! The caller's answer does not wait for the record: a runner that dies in between leaves its keys
//! with the truthful outcome *unknown*.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use ident::Incarnation;
use ident::Key;
use ledger::ids::Query;
use ledger::keys::MAX_BODY;

use crate::action::Action;
use crate::action::Ask;
use crate::node::Node;

/// Time between two records while the fleet is small.
const EVERY: Duration = Duration::from_millis(250);
/// Time between two records for each member: it keeps the writes of the whole fleet under two
/// hundred a second.
const EVERY_PER_MEMBER: Duration = Duration::from_millis(5);
/// Pause after a record failed.
const RETRY: Duration = Duration::from_secs(1);
/// Most outcomes that wait; beyond it the oldest are dropped and stay unknown after a death.
const MAX_WAITING: usize = 16_384;
/// Most outcomes in one row.
const MAX_ROW: usize = 512;

/// One outcome, with the incarnation that its key names.
#[derive(Debug, Clone)]
struct Line {
    runner: Incarnation,
    outcome: (String, u16, Option<Bytes>),
}

/// Outcomes on their way to the store.
#[derive(Debug)]
pub(crate) struct Journal {
    waiting: VecDeque<Line>,
    sent: Option<(Query, Vec<Line>)>,
    sequence: u64,
}

impl Journal {
    pub(crate) const fn new() -> Self {
        Self {
            waiting: VecDeque::new(),
            sent: None,
            sequence: 0,
        }
    }

    /// Whether all outcomes are written.
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
        self.waiting.push_back(Line {
            runner: prefix.runner,
            outcome,
        });
    }
}

impl Node {
    /// Writes the waiting outcomes as one row.
    pub(crate) fn record(&mut self, out: &mut Vec<Action>) {
        let members = self.fleet.known() as u32;
        self.timers.record = self.now + EVERY.max(EVERY_PER_MEMBER * members);
        if self.journal.sent.is_some() {
            return;
        }
        let Some(runner) = self.journal.waiting.front().map(|line| line.runner) else {
            return;
        };
        let same = self
            .journal
            .waiting
            .iter()
            .take_while(|line| line.runner == runner)
            .count();
        let lines: Vec<Line> = self.journal.waiting.drain(..same.min(MAX_ROW)).collect();
        self.journal.sequence += 1;
        let query = self.query();
        let ask = Ask::Record {
            incarnation: runner,
            sequence: self.journal.sequence,
            outcomes: lines.iter().map(|line| line.outcome.clone()).collect(),
        };
        self.journal.sent = Some((query, lines));
        out.push(Action::Query { query, ask });
    }

    /// Notes the end of a record; `false` if `query` is none.
    pub(crate) fn recorded(&mut self, query: Query, done: bool) -> bool {
        if self
            .journal
            .sent
            .as_ref()
            .is_none_or(|(sent, _)| *sent != query)
        {
            return false;
        }
        let failed = self.journal.sent.take().filter(|_| !done);
        for line in failed.into_iter().flat_map(|(_, lines)| lines).rev() {
            self.journal.waiting.push_front(line);
            self.timers.record = self.now + RETRY;
        }
        true
    }
}
