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
    pub(crate) fn merge(&mut self, now: Time, record: Member) {
        if record.instance == self.local.instance {
            self.merge_own(record);
            return;
        }
        if self.roster.ended_runs.get(record.incarnation).is_some() {
            return;
        }
        match self
            .roster
            .peers
            .get(&record.instance)
            .map(|peer| peer.member)
        {
            Some(current) if current.incarnation == record.incarnation => {
                self.apply(now, current, record)
            }
            Some(current) if record.run_order(&current).is_lt() => {
                self.roster.ended_runs.push(record)
            }
            None if record.state == State::Dead => self.merge_ended_run(record),
            Some(_) | None => self.replace_run(now, record),
        }
    }

    /// Declares the suspected `instance` dead.
    pub(crate) fn declare_dead(&mut self, now: Time, instance: Instance) {
        let current = self.roster.peers.get(&instance).map(|peer| peer.member);
        if let Some(current) = current {
            self.apply(now, current, current.with_state(State::Dead));
        }
    }

    /// Suspects `instance`, if it is still the run `member`.
    pub(crate) fn suspect(&mut self, now: Time, current: Member) {
        let suspect = current.with_state(State::Suspect);
        if suspect.overrides(&current) {
            self.apply(now, current, suspect);
        }
    }

    fn merge_own(&mut self, record: Member) {
        let same = record.incarnation == self.local.incarnation;
        let newer = record.run_order(&self.local).is_gt();
        match record.state {
            _ if self.declared_dead() => {}
            State::Dead if same => self.mark_self_dead(),
            _ if !same && newer => self.mark_self_dead(),
            State::Suspect if same && record.version >= self.local.version => {
                self.local.version = record.version + 1;
                self.updates.push(self.local);
            }
            _ => {}
        }
    }

    fn mark_self_dead(&mut self) {
        let before = self.local.state;
        self.local.state = State::Dead;
        self.outputs.push(Output::Changed {
            member: self.local,
            before: Some(before),
        });
    }

    /// Takes in the end of a run that was not known to have begun.
    fn merge_ended_run(&mut self, record: Member) {
        if self.roster.listed.contains_key(&record.instance) {
            self.roster.insert_run(record);
        } else {
            self.roster.ended_runs.push(record);
        }
    }

    /// Takes in a run that was not known, in place of a former one if there was one.
    fn replace_run(&mut self, now: Time, record: Member) {
        let former = self.roster.insert_run(record);
        let ended = former.filter(|former| former.state != State::Dead);
        if let Some(former) = ended {
            let member = former.with_state(State::Dead);
            self.outputs.push(Output::Changed {
                member,
                before: Some(former.state),
            });
        }
        self.record_change(now, record, None);
    }

    /// Takes in a record of the run `member`.
    fn apply(&mut self, now: Time, current: Member, record: Member) {
        if !record.overrides(&current) {
            return;
        }
        let peer = self
            .roster
            .peers
            .entry(current.instance)
            .or_insert_with(|| Peer::new(current));
        peer.member = Member {
            state: record.state,
            version: record.version,
            ..current
        };
        peer.leaving |= record.state == State::Leaving;
        self.record_change(now, record, Some(current.state));
    }

    /// Starts or ends the suspicion, spreads the record and puts the change out.
    fn record_change(&mut self, now: Time, member: Member, before: Option<State>) {
        let deadline = now + self.suspicion_timeout();
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
        self.updates.push(member);
        if before != Some(member.state) {
            self.outputs.push(Output::Changed { member, before });
        }
        let listed = self.roster.listed.contains_key(&member.instance);
        if member.state == State::Dead && !listed {
            self.roster.remove(member.instance);
        }
    }
}
