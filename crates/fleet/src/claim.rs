//! What a record heard of a member changes.

use ident::Instance;
use ident::Time;

use crate::Fleet;
use crate::Member;
use crate::Output;
use crate::member::State;
use crate::roster::Peer;
use crate::roster::Suspicion;

impl Fleet {
    /// Takes a record in, from whomever it comes.
    pub(crate) fn learn(&mut self, now: Time, claim: Member) {
        if claim.instance == self.me.instance {
            self.learn_of_me(claim);
            return;
        }
        if self.roster.past.get(claim.incarnation).is_some() {
            return;
        }
        match self
            .roster
            .peers
            .get(&claim.instance)
            .map(|peer| peer.member)
        {
            Some(held) if held.incarnation == claim.incarnation => self.update(now, held, claim),
            Some(held) if claim.run_order(&held).is_lt() => self.roster.past.push(claim),
            None if claim.state == State::Dead => self.learn_of_end(claim),
            Some(_) | None => self.replace(now, claim),
        }
    }

    /// Declares the suspected `instance` dead.
    pub(crate) fn bury(&mut self, now: Time, instance: Instance) {
        let held = self.roster.peers.get(&instance).map(|peer| peer.member);
        if let Some(held) = held {
            self.update(now, held, held.with_state(State::Dead));
        }
    }

    /// Suspects `instance`, if it is still the run `held`.
    pub(crate) fn suspect(&mut self, now: Time, held: Member) {
        let suspect = held.with_state(State::Suspect);
        if suspect.overrides(&held) {
            self.update(now, held, suspect);
        }
    }

    fn learn_of_me(&mut self, claim: Member) {
        let same = claim.incarnation == self.me.incarnation;
        let newer = claim.run_order(&self.me).is_gt();
        match claim.state {
            _ if self.declared_dead() => {}
            State::Dead if same => self.give_up(),
            _ if !same && newer => self.give_up(),
            State::Suspect if same && claim.version >= self.me.version => {
                self.me.version = claim.version + 1;
                self.news.push(self.me);
            }
            _ => {}
        }
    }

    fn give_up(&mut self) {
        let before = self.me.state;
        self.me.state = State::Dead;
        self.outputs.push(Output::Changed {
            member: self.me,
            before: Some(before),
        });
    }

    /// Takes in the end of a run that was not known to have begun.
    fn learn_of_end(&mut self, claim: Member) {
        if self.roster.listed.contains_key(&claim.instance) {
            self.roster.put(claim);
        } else {
            self.roster.past.push(claim);
        }
    }

    /// Takes in a run that was not known, in place of a former one if there was one.
    fn replace(&mut self, now: Time, claim: Member) {
        let former = self.roster.put(claim);
        let ended = former.filter(|former| former.state != State::Dead);
        if let Some(former) = ended {
            let member = former.with_state(State::Dead);
            self.outputs.push(Output::Changed {
                member,
                before: Some(former.state),
            });
        }
        self.note(now, claim, None);
    }

    /// Takes in a record of the run `held`.
    fn update(&mut self, now: Time, held: Member, claim: Member) {
        if !claim.overrides(&held) {
            return;
        }
        let peer = self
            .roster
            .peers
            .entry(held.instance)
            .or_insert_with(|| Peer::new(held));
        peer.member = Member {
            state: claim.state,
            version: claim.version,
            ..held
        };
        peer.leaving |= claim.state == State::Leaving;
        self.note(now, claim, Some(held.state));
    }

    /// Starts or ends the suspicion, spreads the record and puts the change out.
    fn note(&mut self, now: Time, member: Member, before: Option<State>) {
        let deadline = now + self.suspicion();
        let suspicions = &mut self.roster.suspicions;
        let since = suspicions
            .get(&member.instance)
            .map_or(now, |suspicion| suspicion.since);
        if member.state == State::Suspect {
            suspicions.insert(
                member.instance,
                Suspicion {
                    since,
                    deadline,
                    expired: false,
                    missed: 0,
                },
            );
        } else {
            suspicions.remove(&member.instance);
        }
        self.news.push(member);
        if before != Some(member.state) {
            self.outputs.push(Output::Changed { member, before });
        }
        let listed = self.roster.listed.contains_key(&member.instance);
        if member.state == State::Dead && !listed {
            self.roster.remove(member.instance);
        }
    }
}
