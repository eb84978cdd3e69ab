//! Probing, suspicion and death.

use ident::Instance;
use ident::Time;

use crate::Fleet;
use crate::Message;
use crate::member::State;
use crate::probe::Probe;
use crate::roster::Peer;
use crate::roster::Suspicion;

impl Fleet {
    /// Asks helpers once the direct answer is overdue.
    pub(crate) fn ask_helpers(&mut self, now: Time) {
        let due = |probe: &Probe| !probe.indirect && now >= probe.sent + self.settings.direct;
        let Some(mut probe) = self.probe.filter(due) else {
            return;
        };
        probe.indirect = true;
        self.probe = Some(probe);
        let helpers = self.pick(self.settings.helpers, |member| {
            member.state != State::Suspect && member.instance != probe.target
        });
        for helper in helpers {
            let news = self.compose(helper);
            let message = Message::Probe {
                seq: probe.seq,
                target: probe.target,
                news,
            };
            self.send(helper, message);
        }
    }

    /// Declares those dead that did not refute their suspicion in time.
    pub(crate) fn expire_suspicions(&mut self, now: Time) {
        let is_due = |suspicion: Suspicion| now >= suspicion.deadline;
        let overdue = self.roster.present();
        let overdue = overdue.filter(|peer| peer.suspicion.is_some_and(is_due));
        let overdue: Vec<Instance> = overdue.map(|peer| peer.member.instance).collect();
        for instance in overdue {
            if !self.postpone(now, instance) {
                self.bury(now, instance);
            }
        }
    }

    /// Gives a suspected member that was heard directly one more period; its refutation was lost.
    fn postpone(&mut self, now: Time, instance: Instance) -> bool {
        let period = self.settings.period;
        let Some(peer) = self.roster.peers.get_mut(&instance) else {
            return false;
        };
        match (peer.heard, &mut peer.suspicion) {
            (Some(heard), Some(suspicion)) if heard > suspicion.since => {
                *suspicion = Suspicion {
                    since: heard,
                    deadline: now + period,
                };
                true
            }
            _ => false,
        }
    }

    /// Suspects the target of the last probe unless it answered, directly or through a helper.
    pub(crate) fn settle_probe(&mut self, now: Time) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let peer = self.roster.peers.get(&probe.target);
        let peer = peer.filter(|peer| peer.member.incarnation == probe.incarnation);
        let silent = peer.filter(|peer| peer.heard < Some(probe.sent));
        if let Some(held) = silent.map(|peer| peer.member) {
            self.suspect(now, held);
        }
    }

    /// Probes the next member in turn.
    pub(crate) fn probe_next(&mut self, now: Time) {
        let roster = &self.roster;
        let present = |instance| roster.peers.get(&instance).is_some_and(Peer::present);
        let all = || roster.present().map(|peer| peer.member.instance).collect();
        let target = self.round.next(&mut self.rng, present, all);
        let Some(target) = target else { return };
        let incarnation = self.roster.peers[&target].member.incarnation;
        let seq = self.ping(target);
        self.probe = Some(Probe {
            seq,
            target,
            incarnation,
            sent: now,
            indirect: false,
        });
    }
}
