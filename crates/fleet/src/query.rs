//! Queries on the membership state.

use ident::Incarnation;
use ident::Instance;
use ident::Time;
use ident::Zone;

use crate::Fleet;
use crate::Member;
use crate::member::State;
use crate::owner;
use crate::roster::Peer;

impl Fleet {
    /// This daemon's own record.
    pub const fn local_member(&self) -> &Member {
        &self.local
    }

    /// All known members, this daemon first, including dead ones that are still listed.
    pub fn members(&self) -> impl Iterator<Item = &Member> + '_ {
        std::iter::once(&self.local).chain(self.roster.peers.values().map(|peer| &peer.member))
    }

    /// The state of a run; earlier runs of an instance are dead. `None` if it is unknown or has
    /// been forgotten long after its end.
    pub fn state(&self, incarnation: Incarnation) -> Option<State> {
        self.by_incarnation(incarnation).map(|member| member.state)
    }

    /// The latest known run of `instance`, dead or not.
    pub fn current(&self, instance: Instance) -> Option<&Member> {
        if instance == self.local.instance {
            return Some(&self.local);
        }
        self.roster.peers.get(&instance).map(|peer| &peer.member)
    }

    /// The record of a run.
    pub fn by_incarnation(&self, incarnation: Incarnation) -> Option<&Member> {
        if incarnation == self.local.incarnation {
            return Some(&self.local);
        }
        match self.roster.runs.get(&incarnation) {
            Some(instance) => self.current(*instance),
            None => self.roster.ended.get(incarnation),
        }
    }

    /// The members in reach: alive, leaving, or suspected for less than the suspicion timeout.
    /// Includes this daemon unless it was declared dead.
    pub fn alive(&self) -> impl Iterator<Item = &Member> + '_ {
        let local = std::iter::once(&self.local).filter(|local| local.state != State::Dead);
        local.chain(self.roster.in_reach().map(|peer| &peer.member))
    }

    /// The members in reach that are leaving neither by their own record nor by the list.
    pub fn serving(&self) -> impl Iterator<Item = &Member> + '_ {
        self.alive()
            .filter(|member| !self.is_leaving(member.instance))
    }

    /// When the last direct message from `instance` was received; `None` for this daemon itself.
    pub fn last_heard(&self, instance: Instance) -> Option<Time> {
        self.roster
            .peers
            .get(&instance)
            .and_then(|peer| peer.last_heard)
    }

    /// Number of listed instances, including this one, with a direct message at or after `since`.
    pub fn heard_since_count(&self, since: Time) -> usize {
        let listed = self.roster.listed.keys();
        let heard = listed.filter(|&&instance| self.last_heard(instance) >= Some(since));
        1 + heard.count()
    }

    /// Estimated number of listed instances in contact with this daemon, including itself.
    ///
    /// Direct messages alone ([`Fleet::heard_since_count`]) are too slow an indicator: at constant
    /// cost, only a few members send one each second. The estimate counts the listed members that
    /// are not suspected, capped by the share of recent probes of random members that was answered.
    /// A daemon cut off with few others sees its probes fail within about a second; one cut off
    /// with many others sees the other side suspected by all of them.
    pub fn reachable_count(&self) -> usize {
        let unsuspected = self.roster.listed.keys().filter(|instance| {
            let state = self
                .roster
                .peers
                .get(instance)
                .map(|peer| peer.member.state);
            matches!(state, Some(State::Alive | State::Leaving))
        });
        let others = self.roster.listed.len();
        1 + unsuspected
            .count()
            .min(self.probe_outcomes.estimate_answering(others))
    }

    /// Number of listed instances, including this one even if it is not listed.
    pub fn listed_count(&self) -> usize {
        1 + self.roster.listed.len()
    }

    /// The owner of `key` among the serving members, which include suspected ones still in reach.
    pub fn owner(&self, key: u64) -> Option<Instance> {
        self.owner_excluding(key, &[])
    }

    /// The owner of `key` among the serving members other than `excluded`.
    pub fn owner_excluding(&self, key: u64, excluded: &[Instance]) -> Option<Instance> {
        let candidates = self.serving().map(|member| member.instance);
        owner::choose(
            key,
            candidates.filter(|instance| !excluded.contains(instance)),
        )
    }

    /// The owner of `key` among the serving members of `data_centre`.
    pub fn owner_in(&self, data_centre: Zone, key: u64) -> Option<Instance> {
        let candidates = self.serving().filter(|member| member.zone == data_centre);
        owner::choose(key, candidates.map(|member| member.instance))
    }

    /// Whether `instance` is leaving, by its own record or by the list.
    pub fn is_leaving(&self, instance: Instance) -> bool {
        let listed = self
            .roster
            .listed
            .get(&instance)
            .is_some_and(|entry| entry.leaving);
        listed || self.announced_leaving(instance)
    }

    /// Whether peers declared this run dead, or a newer run of this instance exists.
    ///
    /// The driver must then give up the incarnation; this fleet takes no further part.
    pub const fn declared_dead(&self) -> bool {
        matches!(self.local.state, State::Dead)
    }

    /// Whether this daemon was paused and no peer has answered it since.
    ///
    /// Stays true while there are listed instances but none answers. Until it ends, changes during
    /// the pause are unknown, including [`Fleet::declared_dead`].
    pub fn paused(&self, now: Time) -> bool {
        let alone = self.roster.listed.is_empty() && self.roster.present().next().is_none();
        !alone && self.pause_detector.is_paused(now)
    }

    /// Estimated size of the state in bytes.
    pub fn state_bytes(&self) -> usize {
        // B-tree nodes are between half full and full; a third is added for the unused part.
        let records = self.roster.peers.len() * size_of::<(Instance, Peer)>()
            + self.roster.listed.len() * size_of::<(Instance, crate::entry::Entry)>()
            + self.roster.runs.len() * size_of::<(Incarnation, Instance)>()
            + self.roster.ended.len() * size_of::<(Incarnation, Member, Incarnation)>()
            + self.updates.len() * size_of::<(Instance, Member, u64)>();
        size_of::<Self>() + records * 4 / 3
    }

    fn announced_leaving(&self, instance: Instance) -> bool {
        if instance == self.local.instance {
            return self.local.state == State::Leaving;
        }
        self.roster
            .peers
            .get(&instance)
            .is_some_and(|peer| peer.leaving)
    }
}
