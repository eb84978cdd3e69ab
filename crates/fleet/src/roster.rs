//! The members known, the list, and runs that are over.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use ident::Incarnation;
use ident::Instance;
use ident::Time;

use crate::Member;
use crate::entry::Entry;
use crate::member::State;

/// A member and what this daemon noted of it.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// When its last direct message came.
    pub(crate) last_heard: Option<Time>,
    /// Whether this run was ever known to leave; a suspicion hides that state.
    pub(crate) leaving: bool,
}

impl Peer {
    pub(crate) fn new(member: Member) -> Self {
        let leaving = member.state == State::Leaving;
        Self {
            member,
            last_heard: None,
            leaving,
        }
    }

    pub(crate) fn is_present(&self) -> bool {
        self.member.state != State::Dead
    }
}

/// The time that a suspected member has left.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suspicion {
    pub(crate) since: Time,
    pub(crate) deadline: Time,
    /// Whether it did not refute in time, but this daemon could not tell who is cut off.
    pub(crate) expired: bool,
    /// Own pings that it left unanswered, counted while this daemon was not cut off.
    pub(crate) missed: u32,
}

/// Runs that are over, the latest last.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndedRuns {
    members: BTreeMap<Incarnation, Member>,
    order: VecDeque<Incarnation>,
}

impl EndedRuns {
    /// Runs remembered; several days' worth at 400 daemons with 160 restarts a day.
    const CAPACITY: usize = 1024;

    pub(crate) fn push(&mut self, member: Member) {
        let member = member.with_state(State::Dead);
        if self.members.insert(member.incarnation, member).is_some() {
            return;
        }
        self.order.push_back(member.incarnation);
        if self.order.len() > Self::CAPACITY {
            let oldest = self.order.pop_front();
            oldest.map(|incarnation| self.members.remove(&incarnation));
        }
    }

    pub(crate) fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }
}

/// All that is known of the fleet besides this daemon itself.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roster {
    pub(crate) peers: BTreeMap<Instance, Peer>,
    /// The present members that are suspected.
    pub(crate) suspicions: BTreeMap<Instance, Suspicion>,
    pub(crate) listed: BTreeMap<Instance, Entry>,
    pub(crate) runs: BTreeMap<Incarnation, Instance>,
    pub(crate) ended_runs: EndedRuns,
}

impl Roster {
    /// Puts a new run in place of the former one of its instance, which it returns.
    pub(crate) fn insert_run(&mut self, member: Member) -> Option<Member> {
        let former = self.peers.insert(member.instance, Peer::new(member));
        self.suspicions.remove(&member.instance);
        self.runs.insert(member.incarnation, member.instance);
        former.map(|peer| self.end_run(peer.member))
    }

    /// Forgets `instance`; its run is remembered as over.
    pub(crate) fn remove(&mut self, instance: Instance) {
        self.suspicions.remove(&instance);
        let peer = self.peers.remove(&instance);
        peer.map(|peer| self.end_run(peer.member));
    }

    /// Instances of the list that are not present: never heard of, or dead.
    pub(crate) fn absent(&self) -> impl Iterator<Item = Instance> + '_ {
        let present = |instance: &Instance| self.peers.get(instance).is_some_and(Peer::is_present);
        self.listed
            .keys()
            .copied()
            .filter(move |instance| !present(instance))
    }

    /// Instances of the list without any record.
    pub(crate) fn unknown(&self) -> impl Iterator<Item = Instance> + '_ {
        self.listed
            .keys()
            .copied()
            .filter(|instance| !self.peers.contains_key(instance))
    }

    /// Members that are not dead.
    pub(crate) fn present(&self) -> impl Iterator<Item = &Peer> + '_ {
        self.peers.values().filter(|peer| peer.is_present())
    }

    /// Members that are neither dead nor suspected beyond their time.
    pub(crate) fn in_reach(&self) -> impl Iterator<Item = &Peer> + '_ {
        self.present()
            .filter(|peer| !self.is_out_of_reach(peer.member.instance))
    }

    /// Whether `instance` is among the members in reach.
    pub(crate) fn is_in_reach(&self, instance: Instance) -> bool {
        let present = self.peers.get(&instance).is_some_and(Peer::is_present);
        present && !self.is_out_of_reach(instance)
    }

    fn is_out_of_reach(&self, instance: Instance) -> bool {
        let suspicion = self.suspicions.get(&instance);
        suspicion.is_some_and(|suspicion| suspicion.expired)
    }

    /// Forgets dead members that are off the list.
    pub(crate) fn remove_unlisted_dead(&mut self) {
        let gone = self.peers.iter();
        let gone = gone.filter(|(key, peer)| !peer.is_present() && !self.listed.contains_key(key));
        let gone: Vec<Instance> = gone.map(|(key, _)| *key).collect();
        for instance in gone {
            self.remove(instance);
        }
    }

    fn end_run(&mut self, member: Member) -> Member {
        self.runs.remove(&member.incarnation);
        self.ended_runs.push(member);
        member
    }
}
