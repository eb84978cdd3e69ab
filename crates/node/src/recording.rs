//! Outcomes of non-repeatable calls, written to the store in batches.
//!
//! The caller's answer does not wait for the record: a runner that dies in between leaves its keys
//! with the truthful outcome *unknown*.

use std::time::Duration;

use ledger::ids::QueryId;

use crate::action::Action;
use crate::action::Ask;
use crate::journal::Line;
use crate::node::Node;

/// Time between two records while the fleet is small.
const EVERY: Duration = Duration::from_millis(250);
/// Time between two records for each member: it keeps the writes of the whole fleet under two
/// hundred a second.
const EVERY_PER_MEMBER: Duration = Duration::from_millis(5);
/// Pause after a record failed.
const RETRY: Duration = Duration::from_secs(1);
/// Most outcomes in one row.
const MAX_ROW: usize = 512;

impl Node {
    /// Writes the waiting outcomes as one row.
    pub(crate) fn record(&mut self, out: &mut Vec<Action>) {
        let members = self.members.fleet.listed_count() as u32;
        self.timers.record = self.now + EVERY.max(EVERY_PER_MEMBER * members);
        if self.requests.journal.sent.is_some() {
            return;
        }
        let Some(runner) = self
            .requests
            .journal
            .waiting
            .front()
            .map(|line| line.runner)
        else {
            return;
        };
        let same = self
            .requests
            .journal
            .waiting
            .iter()
            .take_while(|line| line.runner == runner)
            .count();
        let lines: Vec<Line> = self
            .requests
            .journal
            .waiting
            .drain(..same.min(MAX_ROW))
            .collect();
        self.requests.journal.sequence += 1;
        let query = self.query();
        let ask = Ask::Record {
            incarnation: runner,
            sequence: self.requests.journal.sequence,
            outcomes: lines.iter().map(|line| line.outcome.clone()).collect(),
        };
        self.requests.journal.sent = Some((query, lines));
        out.push(Action::Query { query, ask });
    }

    /// Notes the end of a record; `false` if `query` is none.
    pub(crate) fn recorded(&mut self, query: QueryId, done: bool) -> bool {
        if self
            .requests
            .journal
            .sent
            .as_ref()
            .is_none_or(|(sent, _)| *sent != query)
        {
            return false;
        }
        let failed = self.requests.journal.sent.take().filter(|_| !done);
        for line in failed.into_iter().flat_map(|(_, lines)| lines).rev() {
            self.requests.journal.waiting.push_front(line);
            self.timers.record = self.now + RETRY;
        }
        true
    }
}
