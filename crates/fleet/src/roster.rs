//! The known members, the platform's list, and ended runs.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use ident::Incarnation;
use ident::Instance;
use ident::Time;

use crate::Member;
use crate::entry::Entry;
use crate::member::State;

/// A member and local observations of it.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    /// When its last direct message was received.
    pub(crate) last_heard: Option<Time>,
    /// Whether this run has ever been `Leaving`; the state `Suspect` hides that.
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

/// An unrefuted suspicion of a member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Suspicion {
    pub(crate) since: Time,
    pub(crate) deadline: Time,
    /// Whether it was not refuted in time, but this daemon could not tell which side is cut off.
    pub(crate) expired: bool,
    /// Pings from this daemon left unanswered, counted while this daemon is not cut off.
    pub(crate) missed: u32,
}

/// Ended runs, the latest last.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndedRuns {
    members: BTreeMap<Incarnation, Member>,
    order: VecDeque<Incarnation>,
}

impl EndedRuns {
    /// Number of runs remembered: several days' worth for 400 daemons with 160 restarts a day.
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

/// All known members except this daemon.
#[derive(Debug, Clone, Default)]
pub(crate) struct Roster {
    pub(crate) peers: BTreeMap<Instance, Peer>,
    /// Suspicions of present members.
    pub(crate) suspicions: BTreeMap<Instance, Suspicion>,
    pub(crate) listed: BTreeMap<Instance, Entry>,
    pub(crate) runs: BTreeMap<Incarnation, Instance>,
    pub(crate) ended: EndedRuns,
}

impl Roster {
    /// Inserts a new run and returns the previous run of its instance.
    pub(crate) fn insert_run(&mut self, member: Member) -> Option<Member> {
        let former = self.peers.insert(member.instance, Peer::new(member));
        self.suspicions.remove(&member.instance);
        self.runs.insert(member.incarnation, member.instance);
        former.map(|peer| self.end_run(peer.member))
    }

    /// Removes `instance`; its run is remembered as ended.
    pub(crate) fn remove(&mut self, instance: Instance) {
        self.suspicions.remove(&instance);
        let peer = self.peers.remove(&instance);
        peer.map(|peer| self.end_run(peer.member));
    }

    /// Listed instances that are unknown or dead.
    pub(crate) fn absent(&self) -> impl Iterator<Item = Instance> + '_ {
        let present = |instance: &Instance| self.peers.get(instance).is_some_and(Peer::is_present);
        self.listed
            .keys()
            .copied()
            .filter(move |instance| !present(instance))
    }

    /// Listed instances without any record.
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

    /// Members that are neither dead nor suspected for longer than the suspicion timeout.
    pub(crate) fn in_reach(&self) -> impl Iterator<Item = &Peer> + '_ {
        self.present()
            .filter(|peer| !self.is_out_of_reach(peer.member.instance))
    }

    /// Whether `instance` is in reach.
    pub(crate) fn is_in_reach(&self, instance: Instance) -> bool {
        let present = self.peers.get(&instance).is_some_and(Peer::is_present);
        present && !self.is_out_of_reach(instance)
    }

    fn is_out_of_reach(&self, instance: Instance) -> bool {
        let suspicion = self.suspicions.get(&instance);
        suspicion.is_some_and(|suspicion| suspicion.expired)
    }

    /// Removes dead members that are not listed.
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
        self.ended.push(member);
        member
    }
}
