//! Failure detection: probes, suspicions and declarations of death.

use ident::Instance;
use ident::Time;

use crate::Fleet;
use crate::Message;
use crate::Output;
use crate::member::State;
use crate::probe::IndirectProbe;
use crate::probe::Probe;
use crate::roster::Suspicion;

/// Up to one suspicion for this many listed instances counts as few. A partition soon causes many
/// suspicions, so few of them are taken for single deaths.
const FEW_SUSPECTS_DIVISOR: usize = 16;
/// With few suspicions, `CLEAR_NUMERATOR` of `CLEAR_DENOMINATOR` listed instances must be
/// reachable.
const CLEAR_NUMERATOR: usize = 5;
/// See [`CLEAR_NUMERATOR`].
const CLEAR_DENOMINATOR: usize = 8;
/// With more suspicions, a member may be declared dead only after this multiple of the suspicion
/// timeout in addition.
const SETTLE_FACTOR: f64 = 1.5;
/// Pings from this daemon that a member must leave unanswered before it is declared dead.
const MIN_MISSED_PINGS: u32 = 2;

impl Fleet {
    /// Asks helpers to ping the probed member once its direct answer is overdue.
    pub(crate) fn probe_indirectly(&mut self, now: Time) {
        let direct = self.settings.direct_timeout;
        let due = |probe: &&Probe| probe.indirect.is_none() && now >= probe.sent + direct;
        let Some(target) = self.probe.as_ref().filter(due).map(|probe| probe.target) else {
            return;
        };
        let helpers = self.pick_peers(self.settings.helpers, |member| {
            member.state != State::Suspect && member.instance != target
        });
        let seq = self.next_seq();
        for helper in &helpers {
            let news = self.compose_records(*helper);
            self.send(*helper, Message::Probe { seq, target, news });
        }
        if let Some(probe) = &mut self.probe {
            probe.indirect = Some(IndirectProbe { seq, helpers });
        }
    }

    /// Handles suspected members that did not refute the suspicion in time.
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
                Some(heard) => self.extend_suspicion(now, instance, heard),
                None if self.may_declare(instance, suspicion) => self.declare_dead(now, instance),
                None => self.mark_out_of_reach(now, instance, suspicion),
            }
        }
    }

    /// Whether this daemon may declare `instance` dead: the instance is not listed, or this daemon
    /// is on the majority side of any partition.
    ///
    /// Suspicions lag behind the start of a partition: while there are few, a death is declared
    /// only if nearly all probes are answered; once there are more, the remaining ones get time to
    /// appear. They also lag behind the end of a partition, so a daemon that was cut off counts
    /// only pings that it sent afterwards. Of two listed instances, neither is a majority without
    /// the other, so each may declare the other dead.
    fn may_declare(&self, instance: Instance, suspicion: Suspicion) -> bool {
        let known = self.listed_count();
        let reachable = self.reachable_count();
        let few = self.roster.suspicions.len() <= (known / FEW_SUSPECTS_DIVISOR).max(1);
        let clear = few && reachable * CLEAR_DENOMINATOR >= known * CLEAR_NUMERATOR;
        match self.roster.listed.contains_key(&instance) {
            false => true,
            true if known <= 2 => true,
            true if self.cut_off_at.is_some() || suspicion.missed < MIN_MISSED_PINGS => false,
            true => clear || (suspicion.expired && reachable * 2 > known),
        }
    }

    /// Tracks whether this daemon recently lacked contact with a majority.
    pub(crate) fn update_contact(&mut self, now: Time) {
        let until = self.cut_off_at.map(|last| last + self.suspicion_timeout());
        if self.reachable_count() * 2 <= self.listed_count() {
            self.cut_off_at = Some(now);
        } else if until.is_some_and(|until| now >= until) {
            self.cut_off_at = None;
        }
        if self.cut_off_at.is_some() {
            let suspicions = self.roster.suspicions.values_mut();
            suspicions.for_each(|suspicion| suspicion.missed = 0);
        }
    }

    /// Counts the last ping of a suspected member as missed unless a message came from it since.
    pub(crate) fn finish_suspect_ping(&mut self) {
        let Some(ping) = self.suspect_ping.take() else {
            return;
        };
        let silent = self.last_heard(ping.target) < Some(ping.sent);
        let suspicion = self.roster.suspicions.get_mut(&ping.target);
        if let Some(suspicion) = suspicion.filter(|_| silent) {
            suspicion.missed += 1;
        }
    }

    /// Extends the suspicion by a period for a member that has sent a message since it was
    /// suspected: its refutation was lost.
    fn extend_suspicion(&mut self, now: Time, instance: Instance, heard: Time) {
        let deadline = now + self.settings.period;
        let suspicion = Suspicion {
            since: heard,
            deadline,
            expired: false,
            missed: 0,
        };
        self.roster.suspicions.insert(instance, suspicion);
    }

    /// Marks a suspected member as out of reach without declaring it dead, and checks it again
    /// later.
    fn mark_out_of_reach(&mut self, now: Time, instance: Instance, suspicion: Suspicion) {
        let wait = if suspicion.expired {
            self.settings.period
        } else {
            self.suspicion_timeout().mul_f64(SETTLE_FACTOR)
        };
        let deadline = now + wait;
        let next = Suspicion {
            deadline,
            expired: true,
            ..suspicion
        };
        self.roster.suspicions.insert(instance, next);
        let member = self.roster.peers.get(&instance).map(|peer| peer.member);
        let unreachable = member.filter(|_| !suspicion.expired);
        let unreachable = unreachable.map(|member| Output::Changed {
            member,
            before: Some(member.state),
        });
        self.outputs.extend(unreachable);
    }

    /// Finishes the last probe: suspects its target unless that answered, directly or through a
    /// helper.
    pub(crate) fn finish_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let peer = self.roster.peers.get(&probe.target);
        let peer = peer.filter(|peer| peer.member.incarnation == probe.incarnation);
        let silent = peer.filter(|peer| peer.last_heard < Some(probe.sent));
        self.probe_outcomes.push(silent.is_none());
        if let Some(member) = silent.map(|peer| peer.member) {
            self.suspect(now, member);
        }
    }

    /// Probes the next member in reach. Members out of reach are pinged by [`Fleet::ping_suspect`].
    pub(crate) fn probe_next(&mut self, now: Time) {
        let roster = &self.roster;
        let is_in_reach = |instance| roster.is_in_reach(instance);
        let all = || roster.in_reach().map(|peer| peer.member.instance).collect();
        let target = self.probe_order.next(&mut self.rng, is_in_reach, all);
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
