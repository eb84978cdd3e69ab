//! What a driver may ask of a fleet.

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
        &self.me
    }

    /// All members known, this daemon first, the dead ones still listed among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> + '_ {
        std::iter::once(&self.me).chain(self.roster.peers.values().map(|peer| &peer.member))
    }

    /// The state of a run; a former run of an instance is dead. `None` if it was never heard of
    /// or forgotten long after its end.
    pub fn state(&self, incarnation: Incarnation) -> Option<State> {
        self.by_incarnation(incarnation).map(|member| member.state)
    }

    /// The run of `instance` that is known last, dead or not.
    pub fn current(&self, instance: Instance) -> Option<&Member> {
        if instance == self.me.instance {
            return Some(&self.me);
        }
        self.roster.peers.get(&instance).map(|peer| &peer.member)
    }

    /// The record of a run.
    pub fn by_incarnation(&self, incarnation: Incarnation) -> Option<&Member> {
        if incarnation == self.me.incarnation {
            return Some(&self.me);
        }
        match self.roster.runs.get(&incarnation) {
            Some(instance) => self.current(*instance),
            None => self.roster.past.get(incarnation),
        }
    }

    /// The members in reach, this daemon among them unless it was declared dead: alive, leaving,
    /// or suspected for less than the suspicion lasts.
    pub fn alive(&self) -> impl Iterator<Item = &Member> + '_ {
        let me = std::iter::once(&self.me).filter(|me| me.state != State::Dead);
        me.chain(self.roster.in_reach().map(|peer| &peer.member))
    }

    /// The members in reach that are not leaving, by their own word or the list's.
    pub fn serving(&self) -> impl Iterator<Item = &Member> + '_ {
        self.alive()
            .filter(|member| !self.is_leaving(member.instance))
    }

    /// When the last direct message of `instance` came; `None` for this daemon itself.
    pub fn last_heard(&self, instance: Instance) -> Option<Time> {
        self.roster.peers.get(&instance).and_then(|peer| peer.heard)
    }

    /// How many listed instances were heard directly at or after `since`, this one counted.
    pub fn heard_since_count(&self, since: Time) -> usize {
        let listed = self.roster.listed.keys();
        let heard = listed.filter(|&&instance| self.last_heard(instance) >= Some(since));
        1 + heard.count()
    }

    /// How many listed instances are in contact with this daemon, itself counted.
    ///
    /// Direct messages alone can't tell in time: at constant cost a daemon hears a few members a
    /// second ([`Fleet::heard_since_count`]). Counted are the listed members that are not suspected, but
    /// at most the share of the last probes, sent to members drawn at random, that was answered. A
    /// daemon that is cut off with few others sees its probes fail within about a second; one that
    /// is cut off with many sees the far side suspected by all of them.
    pub fn reachable_count(&self) -> usize {
        let fine = self.roster.listed.keys().filter(|instance| {
            let state = self
                .roster
                .peers
                .get(instance)
                .map(|peer| peer.member.state);
            matches!(state, Some(State::Alive | State::Leaving))
        });
        let others = self.roster.listed.len();
        1 + fine.count().min(self.outcomes.scale(others))
    }

    /// How many instances are listed, this one counted even if it is not.
    pub fn listed_count(&self) -> usize {
        1 + self.roster.listed.len()
    }

    /// The owner of `key` among the serving members; suspected ones count until they are dead.
    pub fn owner(&self, key: u64) -> Option<Instance> {
        self.owner_excluding(key, &[])
    }

    /// The owner of `key` among the serving members without `excluded`.
    pub fn owner_excluding(&self, key: u64, excluded: &[Instance]) -> Option<Instance> {
        let candidates = self.serving().map(|member| member.instance);
        owner::choose(
            key,
            candidates.filter(|instance| !excluded.contains(instance)),
        )
    }

    /// The owner of `key` among the serving members of `zone`.
    pub fn owner_in(&self, zone: Zone, key: u64) -> Option<Instance> {
        let candidates = self.serving().filter(|member| member.zone == zone);
        owner::choose(key, candidates.map(|member| member.instance))
    }

    /// Whether `instance` is known to leave.
    pub fn is_leaving(&self, instance: Instance) -> bool {
        let listed = self
            .roster
            .listed
            .get(&instance)
            .is_some_and(|entry| entry.leaving);
        listed || self.says_leaving(instance)
    }

    /// Whether peers declared this run dead, or a newer run of this instance was heard of.
    ///
    /// The driver then gives the incarnation up; this fleet takes no further part.
    pub const fn declared_dead(&self) -> bool {
        matches!(self.me.state, State::Dead)
    }

    /// Whether this daemon was stopped for a while and no peer has answered it since.
    ///
    /// Stays true if there are listed instances but none answers. What happened meanwhile,
    /// [`Fleet::declared_dead`] among it, is not known until it ends.
    pub fn paused(&self, now: Time) -> bool {
        let alone = self.roster.listed.is_empty() && self.roster.present().next().is_none();
        !alone && self.clock.paused(now)
    }

    /// Bytes of state held, estimated from the sizes of the records.
    pub fn state_bytes(&self) -> usize {
        // A B-tree node is half to wholly full; a third is added for what is left empty.
        let records = self.roster.peers.len() * size_of::<(Instance, Peer)>()
            + self.roster.listed.len() * size_of::<(Instance, crate::entry::Entry)>()
            + self.roster.runs.len() * size_of::<(Incarnation, Instance)>()
            + self.roster.past.len() * size_of::<(Incarnation, Member, Incarnation)>()
            + self.news.len() * size_of::<(Instance, Member, u64)>();
        size_of::<Self>() + records * 4 / 3
    }

    fn says_leaving(&self, instance: Instance) -> bool {
        if instance == self.me.instance {
            return self.me.state == State::Leaving;
        }
        self.roster
            .peers
            .get(&instance)
            .is_some_and(|peer| peer.leaving)
    }
}
