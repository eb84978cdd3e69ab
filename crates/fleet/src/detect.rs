//! Probing, suspicion and death.

use ident::Instance;
use ident::Time;

use crate::Fleet;
use crate::Message;
use crate::Output;
use crate::member::State;
use crate::probe::Indirect;
use crate::probe::Probe;
use crate::roster::Suspicion;

/// A partition is soon seen as many suspicions; up to one in this many listed instances, they are
/// taken for deaths.
const FEW_OF: usize = 16;
/// While there are few suspicions, contact is asked for with `CLEAR_PART` of `CLEAR_OF` instances.
const CLEAR_PART: usize = 5;
/// See [`CLEAR_PART`].
const CLEAR_OF: usize = 8;
/// Where there are more, a member is judged after this many times the suspicion besides.
const SETTLE: f64 = 1.5;
/// Own pings that a member must have left unanswered before it is declared dead.
const MISSED: u32 = 2;

impl Fleet {
    /// Asks helpers once the direct answer is overdue.
    pub(crate) fn ask_helpers(&mut self, now: Time) {
        let direct = self.settings.direct_timeout;
        let due = |probe: &&Probe| probe.indirect.is_none() && now >= probe.sent + direct;
        let Some(target) = self.probe.as_ref().filter(due).map(|probe| probe.target) else {
            return;
        };
        let helpers = self.pick(self.settings.helpers, |member| {
            member.state != State::Suspect && member.instance != target
        });
        let seq = self.next_seq();
        for helper in &helpers {
            let news = self.compose(*helper);
            self.send(*helper, Message::Probe { seq, target, news });
        }
        if let Some(probe) = &mut self.probe {
            probe.indirect = Some(Indirect { seq, helpers });
        }
    }

    /// Judges the suspected members that did not refute in time.
    pub(crate) fn expire_suspicions(&mut self, now: Time) {
        let suspicions = self.roster.suspicions.iter();
        let overdue = suspicions.filter(|(_, suspicion)| now >= suspicion.deadline);
        let overdue: Vec<(Instance, Suspicion)> = overdue
            .map(|(instance, suspicion)| (*instance, *suspicion))
            .collect();
        for (instance, suspicion) in overdue {
            let heard = self
                .last_heard(instance)
                .filter(|heard| *heard > suspicion.since);
            match heard {
                Some(heard) => self.postpone(now, instance, heard),
                None if self.may_judge(instance, suspicion) => self.bury(now, instance),
                None => self.expire(now, instance, suspicion),
            }
        }
    }

    /// Whether this daemon may declare `instance` dead: it is off the list, or this daemon is on
    /// the larger side of whatever partition there may be.
    ///
    /// Suspicions lag behind a partition: while there are few of them they are believed only if nearly
    /// all probes are answered, and once there are more, the rest gets time to show. They lag behind the end of a partition too, so a daemon that was cut
    /// off judges by pings that it sent since. Of two listed instances neither is a majority
    /// without the other, and each may judge.
    fn may_judge(&self, instance: Instance, suspicion: Suspicion) -> bool {
        let known = self.listed_count();
        let reachable = self.reachable_count();
        let few = self.roster.suspicions.len() <= (known / FEW_OF).max(1);
        let clear = few && reachable * CLEAR_OF >= known * CLEAR_PART;
        match self.roster.listed.contains_key(&instance) {
            false => true,
            true if known <= 2 => true,
            true if self.cut_off.is_some() || suspicion.missed < MISSED => false,
            true => clear || (suspicion.expired && reachable * 2 > known),
        }
    }

    /// Notes whether this daemon lacked contact with a majority a short time ago.
    pub(crate) fn note_contact(&mut self, now: Time) {
        let until = self.cut_off.map(|last| last + self.suspicion());
        if self.reachable_count() * 2 <= self.listed_count() {
            self.cut_off = Some(now);
        } else if until.is_some_and(|until| now >= until) {
            self.cut_off = None;
        }
        if self.cut_off.is_some() {
            let suspicions = self.roster.suspicions.values_mut();
            suspicions.for_each(|suspicion| suspicion.missed = 0);
        }
    }

    /// Counts the last ping of a suspected member as missed, unless that was heard since.
    pub(crate) fn settle_suspect(&mut self) {
        let Some(ping) = self.suspect_ping.take() else {
            return;
        };
        let silent = self.last_heard(ping.target) < Some(ping.sent);
        let suspicion = self.roster.suspicions.get_mut(&ping.target);
        if let Some(suspicion) = suspicion.filter(|_| silent) {
            suspicion.missed += 1;
        }
    }

    /// Gives a suspected member that was heard directly one more period; its refutation was lost.
    fn postpone(&mut self, now: Time, instance: Instance, heard: Time) {
        let deadline = now + self.settings.period;
        let suspicion = Suspicion {
            since: heard,
            deadline,
            expired: false,
            missed: 0,
        };
        self.roster.suspicions.insert(instance, suspicion);
    }

    /// Counts a suspected member as out of reach, without a verdict, and looks again later.
    fn expire(&mut self, now: Time, instance: Instance, suspicion: Suspicion) {
        let wait = if suspicion.expired {
            self.settings.period
        } else {
            self.suspicion().mul_f64(SETTLE)
        };
        let deadline = now + wait;
        let next = Suspicion {
            deadline,
            expired: true,
            ..suspicion
        };
        self.roster.suspicions.insert(instance, next);
        let member = self.roster.peers.get(&instance).map(|peer| peer.member);
        let lost = member.filter(|_| !suspicion.expired);
        let lost = lost.map(|member| Output::Changed {
            member,
            before: Some(member.state),
        });
        self.outputs.extend(lost);
    }

    /// Suspects the target of the last probe unless it answered, directly or through a helper.
    pub(crate) fn settle_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let peer = self.roster.peers.get(&probe.target);
        let peer = peer.filter(|peer| peer.member.incarnation == probe.incarnation);
        let silent = peer.filter(|peer| peer.heard < Some(probe.sent));
        self.outcomes.push(silent.is_none());
        if let Some(held) = silent.map(|peer| peer.member) {
            self.suspect(now, held);
        }
    }

    /// Probes the next member in reach; those out of reach are pinged besides.
    pub(crate) fn probe_next(&mut self, now: Time) {
        let roster = &self.roster;
        let in_reach = |instance| roster.in_reach_at(instance);
        let all = || roster.in_reach().map(|peer| peer.member.instance).collect();
        let target = self.round.next(&mut self.rng, in_reach, all);
        let Some(target) = target else { return };
        let incarnation = self.roster.peers[&target].member.incarnation;
        let seq = self.ping(target);
        self.probe = Some(Probe {
            seq,
            target,
            incarnation,
            sent: now,
            indirect: None,
        });
    }
}
