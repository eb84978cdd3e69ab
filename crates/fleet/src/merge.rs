//! Merges records of members into the local view.

use ident::Instance;
use ident::Time;

use crate::Fleet;
use crate::Member;
use crate::Output;
use crate::member::State;
use crate::roster::Peer;
use crate::roster::Suspicion;

impl Fleet {
    /// Merges a record from any source.
    pub(crate) fn merge(&mut self, now: Time, record: Member) {
        if record.instance == self.local.instance {
            self.merge_own(record);
            return;
        }
        if self.roster.ended.get(record.incarnation).is_some() {
            return;
        }
        match self
            .roster
            .peers
            .get(&record.instance)
            .map(|peer| peer.member)
        {
            Some(held) if held.incarnation == record.incarnation => self.apply(now, held, record),
            Some(held) if record.run_order(&held).is_lt() => self.roster.ended.push(record),
            None if record.state == State::Dead => self.merge_ended_run(record),
            Some(_) | None => self.replace_run(now, record),
        }
    }

    /// Declares the suspected `instance` dead.
    pub(crate) fn declare_dead(&mut self, now: Time, instance: Instance) {
        let held = self.roster.peers.get(&instance).map(|peer| peer.member);
        if let Some(held) = held {
            self.apply(now, held, held.with_state(State::Dead));
        }
    }

    /// Suspects the run of `held` unless it is already suspected or dead.
    pub(crate) fn suspect(&mut self, now: Time, held: Member) {
        let suspect = held.with_state(State::Suspect);
        if suspect.overrides(&held) {
            self.apply(now, held, suspect);
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
                self.local.version = record.version.saturating_add(1);
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

    /// Merges a death record of a run that was unknown.
    fn merge_ended_run(&mut self, record: Member) {
        if self.roster.listed.contains_key(&record.instance) {
            self.roster.insert_run(record);
        } else {
            self.roster.ended.push(record);
        }
    }

    /// Adds a new run of an instance; the previous run, if any, is dead.
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

    /// Applies `record` to the same run's record `held` if it overrides that.
    fn apply(&mut self, now: Time, held: Member, record: Member) {
        if !record.overrides(&held) {
            return;
        }
        let peer = self
            .roster
            .peers
            .entry(held.instance)
            .or_insert_with(|| Peer::new(held));
        peer.member = Member {
            state: record.state,
            version: record.version,
            ..held
        };
        peer.leaving |= record.state == State::Leaving;
        self.record_change(now, record, Some(held.state));
    }

    /// Starts or ends the suspicion, queues the record for dissemination and outputs the change.
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
