//! Writes outcomes of calls that are not repeatable to the store, in batches.
//!
//! The caller's answer does not wait for the write: if the runner dies in between, the outcome of
//! the key is *unknown*.

use std::time::Duration;

use ledger::ids::QueryId;

use crate::action::Action;
use crate::action::StoreRequest;
use crate::journal::JournalEntry;
use crate::node::Node;

/// Interval between two writes in a small fleet.
const RECORD_EVERY: Duration = Duration::from_millis(250);
/// Interval between two writes per listed instance; limits the fleet to 200 writes a second.
const RECORD_EVERY_PER_MEMBER: Duration = Duration::from_millis(5);
/// Pause after a failed write.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of outcomes in one row.
const MAX_ROW_OUTCOMES: usize = 512;

impl Node {
    /// Writes queued outcomes of one incarnation as one row.
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
        let request = StoreRequest::Record {
            incarnation: runner,
            sequence: self.requests.journal.sequence,
            outcomes: entries.iter().map(|entry| entry.outcome.clone()).collect(),
        };
        self.requests.journal.sent = Some((query, entries));
        out.push(Action::Query { query, request });
    }

    /// Handles the end of a write; returns `false` if `query` is not a write of outcomes.
    pub(crate) fn outcomes_written(&mut self, query: QueryId, done: bool) -> bool {
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
