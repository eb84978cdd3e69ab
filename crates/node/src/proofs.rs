//! Proofs that the table of this daemon is the newest, from the store and from peers.

use std::time::Duration;

use ident::Instance;
use ident::Time;
use wire::Body;
use wire::TableStatus;

use crate::action::Action;
use crate::node::Node;
use crate::node::millis;
use crate::table_sync::PeerTable;

/// Interval between two rounds of status messages.
const STATUS_EVERY: Duration = Duration::from_millis(250);
/// Number of peers asked per round while the store provides proofs.
const STATUS_FANOUT: usize = 3;

impl Node {
    /// Records that a linearizable read of the store, at or after `since`, showed nothing newer.
    pub(crate) fn record_proof(&mut self, since: Time) {
        let age = self.now.since(since);
        self.tables.view.record_store_read(self.now, age);
        self.tables.sync.proved = self.tables.sync.proved.max(Some(since));
    }

    /// Exchanges table generations and the age of proofs with some peers.
    pub(crate) fn send_table_status(&mut self, out: &mut Vec<Action>) {
        self.timers.status = self.now + STATUS_EVERY;
        self.request_list(out);
        let status = self.local_status(self.now.0.wrapping_add(self.incarnation().0), false);
        for peer in self.random_peers(self.status_fanout()) {
            self.send(peer, Body::News(status), out);
        }
    }

    /// Returns the number of peers to ask per round: few while the store provides proofs; otherwise
    /// enough that a majority answers within the lease.
    fn status_fanout(&self) -> usize {
        let lease = self.settings.lease;
        let age = self.tables.sync.store_age(self.now);
        if age.is_some_and(|age| age * 2 < lease) {
            return STATUS_FANOUT;
        }
        let rounds = (lease.as_millis() / 2 / STATUS_EVERY.as_millis()).max(1) as usize;
        let others = self.members.fleet.listed_count() / 2;
        STATUS_FANOUT.max(others.div_ceil(rounds))
    }

    fn local_status(&self, asked: u64, answer: bool) -> TableStatus {
        let age = self
            .tables
            .sync
            .proved
            .map(|proved| millis(self.now.since(proved)));
        TableStatus {
            generation: self.tables.view.generation(),
            store_age_ms: age.and_then(|age| u32::try_from(age).ok()),
            settled: !self.tables.view.is_behind(),
            asked,
            answer,
        }
    }

    pub(crate) fn handle_table_status(
        &mut self,
        from: Instance,
        status: TableStatus,
        out: &mut Vec<Action>,
    ) {
        self.tables.view.record_generation(status.generation);
        self.record_status(from, status);
        if self.tables.view.is_behind() {
            self.send(from, Body::Pull, out);
        } else {
            self.apply_proof(status);
        }
        if !status.answer {
            let answer = self.local_status(status.asked, true);
            self.send(from, Body::News(answer), out);
        }
    }

    /// Returns the time at which this run asked the question that `status` answers, if it did.
    ///
    /// The clock of every run starts at zero, so a late answer to an earlier run could match a
    /// recent question. Timestamps in questions are therefore offset by the incarnation.
    fn asked_at(&self, status: TableStatus) -> Option<Time> {
        let asked = Time(status.asked.wrapping_sub(self.incarnation().0));
        Some(asked).filter(|asked| status.answer && (self.started..=self.now).contains(asked))
    }

    fn record_status(&mut self, from: Instance, status: TableStatus) {
        let before = self
            .tables
            .sync
            .peers
            .get(&from)
            .and_then(|peer| peer.settled);
        let settled = before.max(self.asked_at(status).filter(|_| status.settled));
        let peer = PeerTable {
            generation: status.generation,
            at: self.now,
            settled,
        };
        self.tables.sync.peers.insert(from, peer);
    }

    /// Applies the proof in an answer: what its sender could prove when the question was sent.
    fn apply_proof(&mut self, status: TableStatus) {
        let Some(asked) = self.asked_at(status) else {
            return;
        };
        let age = status
            .store_age_ms
            .filter(|_| status.generation == self.tables.view.generation());
        if let Some(age) = age {
            let proved = asked - Duration::from_millis(u64::from(age));
            self.tables
                .view
                .record_store_read(self.now, self.now.since(proved));
            self.tables.sync.proved = self.tables.sync.proved.max(Some(proved));
        }
        if let Some(point) = self.majority_contact() {
            self.tables
                .view
                .record_store_read(self.now, self.now.since(point));
        }
    }

    /// Returns the latest time since which a majority of the listed instances, including this one,
    /// answered.
    fn majority_contact(&self) -> Option<Time> {
        let mut points: Vec<Time> = self
            .tables
            .sync
            .peers
            .values()
            .filter_map(|peer| peer.settled)
            .collect();
        points.sort_unstable_by(|a, b| b.cmp(a));
        let others = self.members.fleet.listed_count() / 2;
        others
            .checked_sub(1)
            .and_then(|last| points.get(last).copied())
    }
}
