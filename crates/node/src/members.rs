//! Membership: the platform's list, failure detection, planned stops and pauses.

use std::time::Duration;

use bytes::Bytes;
use fleet::Fleet;
use fleet::entry::Entry;
use fleet::member::Member;
use fleet::member::State;
use ident::Incarnation;
use ident::Instance;
use ledger::stage::Stage;
use rand::Rng;
use wire::Body;

use crate::action::Action;
use crate::action::Outcome;
use crate::action::Reason;
use crate::decision::Step;
use crate::list::List;
use crate::membership::member;
use crate::node::Node;
use crate::open::End;
use crate::refusals::SOON;

/// Longest wait for unwritten records and unconfirmed releases once nothing else is in progress:
/// the store or an engine may be out for long, and keepers sweep what is left.
const CLEANUP_WAIT: Duration = Duration::from_secs(10);

impl Node {
    pub(crate) fn step_fleet(&mut self, out: &mut Vec<Action>) {
        let mut outputs = Vec::new();
        self.timers.fleet = self.members.fleet.step(self.now, &mut outputs);
        for output in outputs {
            match output {
                fleet::Output::Send { to, message } => {
                    self.send(to, Body::Gossip(message), out);
                }
                fleet::Output::Changed { member, before } => {
                    self.member_changed(&member, before, out);
                }
            }
        }
        if self.members.fleet.declared_dead() {
            self.reincarnate(out);
        }
    }

    fn member_changed(&mut self, member: &Member, before: Option<State>, out: &mut Vec<Action>) {
        let name = self.instance_name(member.instance);
        let state = format!("{:?}", member.state).to_lowercase();
        let reason = before.map_or_else(
            || "first heard of".to_owned(),
            |before| format!("was {}", format!("{before:?}").to_lowercase()),
        );
        self.log(&name, Step::Member, &state, &reason, out);
        self.reassign(out);
    }

    /// Others declared this run dead while it was paused: it goes on as a new run. What it had in
    /// progress is verified before anything more is told or ordered.
    fn reincarnate(&mut self, out: &mut Vec<Action>) {
        let former = self.incarnation();
        let fresh = Incarnation(self.rng.next_u64());
        self.members.former.push(former);
        let started = self
            .unix_ms()
            .max(self.members.fleet.local_member().started + 1);
        let mut fleet = Fleet::new(
            member(&self.settings, fresh, started),
            fleet::Settings::default(),
            self.rng.next_u64(),
        );
        fleet.set_list(self.now, &self.entries());
        self.members.fleet = fleet;
        if self.life.leaving.is_some() {
            self.members.fleet.leave(self.now);
        }
        self.pools.cells.clear();
        self.pools.keepers.clear();
        let reason = format!("run {former} was declared dead while it was paused");
        let name = self.settings.name.clone();
        self.log(&name, Step::Member, &format!("run {fresh}"), &reason, out);
        self.suspect_streams(out);
        self.end_retaken(out);
        self.timers.fleet = self.now;
        self.reassign(out);
    }

    fn entries(&self) -> Vec<Entry> {
        let seats = self.members.seats.values().map(|seat| Entry {
            instance: seat.instance,
            data_centre: seat.zone,
            leaving: seat.leaving,
        });
        seats.collect()
    }

    /// The clock jumped by more than the lease: this process was paused.
    pub(crate) fn woke(&mut self, out: &mut Vec<Action>) {
        self.life.woke = self.now;
        let name = self.settings.name.clone();
        self.log(
            &name,
            Step::Member,
            "woke",
            "paused for longer than the lease",
            out,
        );
        self.suspect_streams(out);
        self.end_retaken(out);
    }

    /// Ends requests that another instance may have run while this one was out of contact: keyed,
    /// repeatable, and without a stream that shows who reads it.
    fn end_retaken(&mut self, out: &mut Vec<Action>) {
        let retaken = self.requests.open_where(|entry| {
            entry.is_keyed() && entry.repeatable && entry.stage != Stage::Decode
        });
        for opened in retaken {
            let refusal = Self::refusal(Outcome::Unknown, Reason::RunnerLost, SOON);
            self.end(opened, &End::Refused(refusal), out);
        }
    }

    /// Asks a peer for the platform's list while none is known here.
    pub(crate) fn pull_list(&mut self, out: &mut Vec<Action>) {
        if self.replicas.is_listed {
            return;
        }
        for peer in self.some_peers(1) {
            self.send(peer, Body::ListPull, out);
        }
    }

    pub(crate) fn list_pulled(&mut self, from: Instance, out: &mut Vec<Action>) {
        if let Some(copy) = self.replicas.list_copy.clone() {
            self.send(from, Body::ListPush(copy), out);
        }
    }

    pub(crate) fn list_pushed(&mut self, copy: Bytes, out: &mut Vec<Action>) {
        if !self.replicas.is_listed {
            out.push(Action::UseList(copy));
        }
    }

    pub(crate) fn listed(&mut self, list: List, out: &mut Vec<Action>) {
        self.replicas.is_listed = true;
        self.members.seats = list
            .instances
            .into_iter()
            .map(|seat| (seat.instance, seat))
            .collect();
        let before = std::mem::take(&mut self.replicas.backends);
        self.replicas.backends = list
            .replicas
            .into_iter()
            .map(|found| (found.replica, found))
            .collect();
        for replica in before
            .keys()
            .filter(|replica| !self.replicas.backends.contains_key(replica))
        {
            self.requests.holds.erase_replica(*replica);
        }
        let entries = self.entries();
        self.members.fleet.set_list(self.now, &entries);
        self.timers.fleet = self.now;
        self.reassign(out);
        self.refresh_cells();
    }

    /// A planned stop: nothing in progress is cut off.
    pub(crate) fn stop(&mut self, out: &mut Vec<Action>) {
        if self.life.leaving.is_none() {
            self.life.leaving = Some(self.now);
            self.members.fleet.leave(self.now);
            self.timers.fleet = self.now;
            let name = self.settings.name.clone();
            self.log(&name, Step::Member, "leaving", "planned stop", out);
            self.reassign(out);
        }
    }

    /// Ends a planned stop once nothing is in progress.
    pub(crate) fn try_finish(&mut self, out: &mut Vec<Action>) {
        let idle = self.requests.open.is_empty() && self.requests.questions.is_empty();
        if self.life.finished || self.life.leaving.is_none() || !self.is_closed() || !idle {
            self.life.idle_since = None;
            return;
        }
        let since = *self.life.idle_since.get_or_insert(self.now);
        let clean = self.requests.journal.is_empty() && self.requests.holds.is_empty();
        if clean || self.now >= since + CLEANUP_WAIT {
            self.life.finished = true;
            out.push(Action::Finished);
        }
    }
}
