//! Edits of operators: commit, announcement and acceptance.

use std::collections::BTreeSet;
use std::time::Duration;

use ident::Instance;
use ident::Time;
use ledger::ids::CallId;
use table::edit::Edit;
use wire::Body;

use crate::action::Action;
use crate::action::CallerMessage;
use crate::action::StoreRequest;
use crate::action::Verdict;
use crate::decision::Step;
use crate::event::StoreReply;
use crate::node::Node;
use crate::pending_edit::PendingEdit;
use crate::status::Rollout;

/// Time within which a majority must confirm the generation of a committed edit.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a generation is announced again to instances that have not confirmed it.
const REANNOUNCE_AFTER: Duration = Duration::from_millis(300);

impl Node {
    /// Checks and commits an operator's edit.
    pub(crate) fn handle_edit(&mut self, call: CallId, edit: Edit, out: &mut Vec<Action>) {
        if let Err(report) = edit.check() {
            return answer(
                call,
                Verdict::Rejected {
                    cause: report.to_string(),
                },
                out,
            );
        }
        let number = self.unique_number();
        let query = self.new_query();
        let request = StoreRequest::Commit(Box::new(edit.clone()));
        let pending = PendingEdit {
            call,
            edit,
            commit: query,
            committed: None,
            confirmed: BTreeSet::from([self.settings.instance]),
            since: self.now,
            announced: self.now,
        };
        self.tables.sync.pending_edits.insert(number, pending);
        out.push(Action::Query { query, request });
    }

    pub(crate) fn handle_commit(
        &mut self,
        number: u64,
        outcome: StoreReply,
        out: &mut Vec<Action>,
    ) {
        let committed = match &outcome {
            StoreReply::Committed { generation } => Some((*generation, false)),
            StoreReply::Repeated { generation } => Some((*generation, true)),
            _ => None,
        };
        match committed {
            Some(committed) => self.announce(number, committed, out),
            None => self.close_edit(number, verdict_of(outcome), out),
        }
        if self.tables.view.is_behind() {
            self.read_store(StoreRequest::Table, out);
        }
    }

    fn announce(&mut self, number: u64, committed: (u64, bool), out: &mut Vec<Action>) {
        let now = self.now;
        self.tables.view.record_generation(committed.0);
        if let Some(pending) = self.tables.sync.pending_edits.get_mut(&number) {
            pending.committed = Some(committed);
            pending.since = now;
        }
        self.announce_to_missing(number, out);
        self.try_accept(number, out);
    }

    fn announce_to_missing(&mut self, number: u64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(pending) = self.tables.sync.pending_edits.get_mut(&number) else {
            return;
        };
        pending.announced = now;
        let Some((generation, _)) = pending.committed else {
            return;
        };
        let confirmed = pending.confirmed.clone();
        let rest: Vec<Instance> = self
            .members
            .fleet
            .members()
            .map(|member| member.instance)
            .filter(|peer| !confirmed.contains(peer))
            .collect();
        for peer in rest {
            self.send(
                peer,
                Body::Announce {
                    edit: number,
                    generation,
                },
                out,
            );
        }
    }

    pub(crate) fn handle_announcement(
        &mut self,
        from: Instance,
        edit: u64,
        generation: u64,
        out: &mut Vec<Action>,
    ) {
        self.tables.view.record_generation(generation);
        self.send(from, Body::Noted { edit }, out);
        if self.tables.view.is_behind() {
            self.send(from, Body::Pull, out);
        }
    }

    pub(crate) fn handle_confirmation(&mut self, from: Instance, edit: u64, out: &mut Vec<Action>) {
        if let Some(pending) = self.tables.sync.pending_edits.get_mut(&edit) {
            pending.confirmed.insert(from);
            self.try_accept(edit, out);
        }
    }

    fn try_accept(&mut self, number: u64, out: &mut Vec<Action>) {
        let known = self.members.fleet.listed_count();
        let Some(pending) = self.tables.sync.pending_edits.get(&number) else {
            return;
        };
        let listed = |instance: &&Instance| {
            **instance == self.settings.instance || self.members.listed.contains_key(*instance)
        };
        let confirmed = pending.confirmed.iter().filter(listed).count();
        match pending.committed {
            Some((generation, false)) if confirmed * 2 > known => {
                self.close_edit(number, Verdict::Accepted { generation }, out);
            }
            Some((generation, true)) if confirmed * 2 > known => {
                self.close_edit(number, Verdict::Repeated { generation }, out);
            }
            _ => (),
        }
    }

    /// Repeats announcements, and answers edits that no majority confirmed in time.
    pub(crate) fn expire_edits(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut again = Vec::new();
        let mut late = Vec::new();
        for (number, pending) in &self.tables.sync.pending_edits {
            match pending.committed {
                Some(_) if now >= pending.since + CONFIRM_TIMEOUT => late.push(*number),
                Some(_) if now >= pending.announced + REANNOUNCE_AFTER => again.push(*number),
                _ => (),
            }
        }
        for number in again {
            self.announce_to_missing(number, out);
        }
        for number in late {
            let cause = "it was committed, but a majority of the listed instances could not be \
                         told yet; send the same edit again";
            let verdict = Verdict::Undecided {
                cause: cause.to_owned(),
            };
            self.close_edit(number, verdict, out);
        }
    }

    fn close_edit(&mut self, number: u64, verdict: Verdict, out: &mut Vec<Action>) {
        if let Some(pending) = self.tables.sync.pending_edits.remove(&number) {
            let Edit { operator, id, .. } = &pending.edit;
            self.log(
                operator,
                Step::Table,
                &format!("{verdict:?}"),
                &format!("edit {id}"),
                out,
            );
            answer(pending.call, verdict, out);
        }
    }

    /// Returns the rollout of `generation`: instances that use it, or that cannot admit requests
    /// any more because they were silent for two leases, count as reached.
    pub fn rollout(&self, now: Time, generation: u64) -> Rollout {
        let mut missing = Vec::new();
        let silence = self.settings.lease * 2;
        for listed in self.members.listed.values() {
            let here = listed.instance == self.settings.instance;
            let reached = match self.tables.sync.peers.get(&listed.instance) {
                _ if here => self.tables.view.generation() >= generation,
                Some(peer) => peer.generation >= generation || now >= peer.at + silence,
                None => now >= self.started + silence,
            };
            if !reached {
                missing.push(listed.name.clone());
            }
        }
        let known = self.members.listed.len();
        Rollout {
            generation,
            in_force: known - missing.len(),
            known,
            missing,
        }
    }
}

fn answer(call: CallId, verdict: Verdict, out: &mut Vec<Action>) {
    out.push(Action::SendToCaller {
        call,
        message: CallerMessage::Edit(verdict),
    });
}

fn verdict_of(outcome: StoreReply) -> Verdict {
    match outcome {
        StoreReply::Conflict { lines } => Verdict::Conflict { lines },
        StoreReply::Failed { cause, .. } => Verdict::Undecided { cause },
        _ => {
            let cause = "the store gave another answer than was asked for".to_owned();
            Verdict::Undecided { cause }
        }
    }
}
