//! Outcomes of non-repeatable calls, written to the store in batches.
//!
//! The caller's answer does not wait for the record: a runner that dies in between leaves its keys
//! with the truthful outcome *unknown*.

use std::time::Duration;

use ledger::ids::Query;

use crate::action::Action;
use crate::action::StoreRequest;
use crate::journal::JournalEntry;
use crate::node::Node;

/// Time between two records while the fleet is small.
const RECORD_EVERY: Duration = Duration::from_millis(250);
/// Time between two records for each member: it keeps the writes of the whole fleet under two
/// hundred a second.
const RECORD_EVERY_PER_MEMBER: Duration = Duration::from_millis(5);
/// Pause after a record failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Most outcomes in one row.
const MAX_ROW_OUTCOMES: usize = 512;

impl Node {
    /// Writes the waiting outcomes as one row.
    pub(crate) fn write_outcomes(&mut self, out: &mut Vec<Action>) {
        let members = self.members.fleet.listed_count() as u32;
        self.timers.record = self.now + RECORD_EVERY.max(RECORD_EVERY_PER_MEMBER * members);
        if self.requests.journal.sent.is_some() {
            return;
        }
        let Some(runner) = self
            .requests
            .journal
            .waiting
            .front()
            .map(|entry| entry.runner)
        else {
            return;
        };
        let same = self
            .requests
            .journal
            .waiting
            .iter()
            .take_while(|entry| entry.runner == runner)
            .count();
        let entries: Vec<JournalEntry> = self
            .requests
            .journal
            .waiting
            .drain(..same.min(MAX_ROW_OUTCOMES))
            .collect();
        self.requests.journal.sequence += 1;
        let query = self.new_query();
        let ask = StoreRequest::Record {
            incarnation: runner,
            sequence: self.requests.journal.sequence,
            outcomes: entries.iter().map(|entry| entry.outcome.clone()).collect(),
        };
        self.requests.journal.sent = Some((query, entries));
        out.push(Action::Query {
            query,
            request: ask,
        });
    }

    /// Notes the end of a record; `false` if `query` is none.
    pub(crate) fn outcomes_written(&mut self, query: Query, done: bool) -> bool {
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
        for entry in failed.into_iter().flat_map(|(_, entries)| entries).rev() {
            self.requests.journal.waiting.push_front(entry);
            self.timers.record = self.now + RETRY_AFTER;
        }
        true
    }
}
