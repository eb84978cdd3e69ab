//! Membership changes, the platform's list, planned stops and pauses.

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
use crate::list::PlatformList;
use crate::membership::member;
use crate::node::Node;
use crate::open::End;
use crate::refusals::DEFAULT_RETRY_AFTER;

/// Time that a planned stop waits for unwritten records and unconfirmed releases once nothing else
/// is in progress: the store or an engine may be down for long, and keepers release what remains.
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

    /// Continues as a new run after peers declared this run dead during a pause. Work in progress
    /// is verified before further messages or orders are sent for it.
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
        if self.lifecycle.leaving.is_some() {
            self.members.fleet.leave(self.now);
        }
        self.pools.kept.clear();
        self.pools.keepers.clear();
        let reason = format!("run {former} was declared dead while it was paused");
        let name = self.settings.name.clone();
        self.log(&name, Step::Member, &format!("run {fresh}"), &reason, out);
        self.withhold_streams(out);
        self.end_retaken(out);
        self.timers.fleet = self.now;
        self.reassign(out);
    }

    fn entries(&self) -> Vec<Entry> {
        let listed = self.members.listed.values().map(|listed| Entry {
            instance: listed.instance,
            data_centre: listed.zone,
            leaving: listed.leaving,
        });
        listed.collect()
    }

    /// Handles a clock jump by more than the lease: this process was paused.
    pub(crate) fn handle_pause(&mut self, out: &mut Vec<Action>) {
        self.lifecycle.pause_ended = self.now;
        let name = self.settings.name.clone();
        self.log(
            &name,
            Step::Member,
            "woke",
            "paused for longer than the lease",
            out,
        );
        self.withhold_streams(out);
        self.end_retaken(out);
    }

    /// Ends requests that another instance may have run while this one was out of contact: keyed,
    /// repeatable, and without a stream whose replica can show the reader.
    fn end_retaken(&mut self, out: &mut Vec<Action>) {
        let retaken = self.requests.open_where(|entry| {
            entry.is_keyed() && entry.repeatable && entry.stage != Stage::Decode
        });
        for open_id in retaken {
            let refusal = Self::refusal(Outcome::Unknown, Reason::RunnerLost, DEFAULT_RETRY_AFTER);
            self.end(open_id, &End::Refused(refusal), out);
        }
    }

    /// Requests the platform's list from a peer while none is known.
    pub(crate) fn request_list(&mut self, out: &mut Vec<Action>) {
        if self.replicas.has_list {
            return;
        }
        for peer in self.random_peers(1) {
            self.send(peer, Body::ListPull, out);
        }
    }

    pub(crate) fn send_list(&mut self, from: Instance, out: &mut Vec<Action>) {
        if let Some(copy) = self.replicas.list_copy.clone() {
            self.send(from, Body::ListPush(copy), out);
        }
    }

    pub(crate) fn use_peer_list(&mut self, copy: Bytes, out: &mut Vec<Action>) {
        if !self.replicas.has_list {
            out.push(Action::UseList(copy));
        }
    }

    pub(crate) fn apply_list(&mut self, list: PlatformList, out: &mut Vec<Action>) {
        self.replicas.has_list = true;
        self.members.listed = list
            .instances
            .into_iter()
            .map(|listed| (listed.instance, listed))
            .collect();
        let before = std::mem::take(&mut self.replicas.listed);
        self.replicas.listed = list
            .replicas
            .into_iter()
            .map(|found| (found.replica, found))
            .collect();
        for replica in before
            .keys()
            .filter(|replica| !self.replicas.listed.contains_key(replica))
        {
            self.requests.holds.erase_replica(*replica);
        }
        let entries = self.entries();
        self.members.fleet.set_list(self.now, &entries);
        self.timers.fleet = self.now;
        self.reassign(out);
        self.refresh_schedulers();
    }

    /// Starts a planned stop; work in progress continues to its end.
    pub(crate) fn begin_stop(&mut self, out: &mut Vec<Action>) {
        if self.lifecycle.leaving.is_none() {
            self.lifecycle.leaving = Some(self.now);
            self.members.fleet.leave(self.now);
            self.timers.fleet = self.now;
            let name = self.settings.name.clone();
            self.log(&name, Step::Member, "leaving", "planned stop", out);
            self.reassign(out);
        }
    }

    /// Finishes a planned stop once nothing is in progress.
    pub(crate) fn try_finish(&mut self, out: &mut Vec<Action>) {
        let idle = self.requests.open.is_empty() && self.requests.lookups.is_empty();
        if self.lifecycle.finished || self.lifecycle.leaving.is_none() || !self.is_closed() || !idle
        {
            self.lifecycle.idle_since = None;
            return;
        }
        let since = *self.lifecycle.idle_since.get_or_insert(self.now);
        let clean = self.requests.journal.is_empty() && self.requests.holds.is_empty();
        if clean || self.now >= since + CLEANUP_WAIT {
            self.lifecycle.finished = true;
            out.push(Action::Finished);
        }
    }
}
