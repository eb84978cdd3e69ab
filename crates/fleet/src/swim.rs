//! The protocol as its driver sees it: messages in, steps, outputs.

use std::time::Duration;

use ident::Instance;
use ident::Time;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Member;
use crate::Message;
use crate::Output;
use crate::Settings;
use crate::clock::Clock;
use crate::entry::Entry;
use crate::member::State;
use crate::news::Queue;
use crate::probe::Outcomes;
use crate::probe::Probe;
use crate::probe::Relays;
use crate::probe::Round;
use crate::probe::SuspectPing;
use crate::roster::Roster;

/// One daemon's view of all daemons.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub(crate) me: Member,
    pub(crate) settings: Settings,
    pub(crate) roster: Roster,
    pub(crate) news: Queue,
    pub(crate) clock: Clock,
    pub(crate) outputs: Vec<Output>,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) seq: u32,
    pub(crate) next_period: Time,
    pub(crate) probe: Option<Probe>,
    pub(crate) outcomes: Outcomes,
    /// When contact with a majority was last found lacking; `None` once that is long ago.
    pub(crate) cut_off: Option<Time>,
    pub(crate) suspect_ping: Option<SuspectPing>,
    pub(crate) relays: Relays,
    pub(crate) round: Round,
    /// Takes the suspected members in turn.
    pub(crate) suspect_round: Round,
    /// Takes the absent instances in turn.
    pub(crate) absent_round: Round,
    /// Takes the members that fill up messages in turn.
    pub(crate) filler: Round,
    /// Periods between two pulls; doubled by each, reset by a new list or a page of use.
    pub(crate) pull_gap: u32,
    pub(crate) periods_to_pull: u32,
}

impl Fleet {
    /// Records taken from one message at most.
    const MAX_NEWS: usize = 64;

    /// A fleet that knows of `me` alone.
    pub fn new(me: Member, settings: Settings, seed: u64) -> Self {
        Self {
            me,
            settings,
            roster: Roster::default(),
            news: Queue::default(),
            clock: Clock::new(settings.period),
            outputs: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            // Starts at a part of the incarnation, which is random: counted from zero, an answer to the previous run
            // would match.
            seq: me.incarnation.0 as u32,
            next_period: Time::ZERO,
            probe: None,
            outcomes: Outcomes::default(),
            cut_off: None,
            suspect_ping: None,
            relays: Relays::default(),
            round: Round::default(),
            suspect_round: Round::default(),
            absent_round: Round::default(),
            filler: Round::default(),
            pull_gap: 1,
            periods_to_pull: 0,
        }
    }

    /// Takes the platform's list, which lags: an instance that it lacks is forgotten only once it
    /// is dead, and one that has not been heard of yet is pinged.
    pub fn set_list(&mut self, _now: Time, entries: &[Entry]) {
        let others = entries
            .iter()
            .filter(|entry| entry.instance != self.me.instance);
        let listed = others.map(|entry| (entry.instance, *entry)).collect();
        if self.roster.listed == listed {
            return;
        }
        self.roster.listed = listed;
        self.roster.prune();
        self.pull_gap = 1;
        self.periods_to_pull = 0;
    }

    /// Announces that this daemon takes nothing new.
    pub fn leave(&mut self, _now: Time) {
        if self.me.state != State::Alive {
            return;
        }
        self.me.state = State::Leaving;
        self.me.version += 1;
        self.news.push(self.me);
        self.outputs.push(Output::Changed {
            member: self.me,
            before: Some(State::Alive),
        });
    }

    /// Takes a message in; [`Fleet::step`] is to be called right after it.
    pub fn receive(&mut self, now: Time, from: Instance, message: &Message) {
        self.resume_if_overdue(now);
        let news = message.news();
        let sender = match news.first() {
            Some(sender) if sender.instance == from && !self.declared_dead() => *sender,
            _ => return,
        };
        let runs = self.roster.runs.len();
        for member in news.iter().take(Self::MAX_NEWS) {
            self.learn(now, *member);
        }
        if let Some(over) = self.over(&sender) {
            self.send_verdict(from, over);
            return;
        }
        self.hear(now, from);
        match message {
            Message::Ping { seq, .. } => self.acknowledge(from, *seq),
            Message::Ack { seq, .. } => self.acknowledged(from, *seq),
            Message::Probe { seq, target, .. } => self.relay(from, *seq, *target),
            Message::Pull { from: first, .. } => self.send_page(from, *first),
            Message::Page { .. } => self.pull_more(runs),
        }
    }

    /// Does what is due, appends what is to be sent and what changed, and returns the time of the
    /// next step.
    pub fn step(&mut self, now: Time, out: &mut Vec<Output>) -> Time {
        self.resume_if_overdue(now);
        if !self.declared_dead() {
            self.ask_helpers(now);
            self.expire_suspicions(now);
            self.begin_period(now);
        }
        let next = self.next_step();
        self.clock.plan(next);
        out.append(&mut self.outputs);
        next
    }

    /// How long a member stays suspected in a fleet of the present size.
    pub(crate) fn suspicion(&self) -> Duration {
        self.settings.suspicion_timeout(self.size())
    }

    /// Members known, the listed dead ones among them.
    pub(crate) fn size(&self) -> usize {
        1 + self.roster.peers.len()
    }

    fn next_step(&self) -> Time {
        if self.declared_dead() {
            return Time::NEVER;
        }
        let probe = self.probe.as_ref();
        let probe = probe.filter(|probe| probe.indirect.is_none());
        let probe = probe.map(|probe| probe.sent + self.settings.direct_timeout);
        let suspicions = self.roster.suspicions.values();
        let suspicions = suspicions.map(|suspicion| suspicion.deadline);
        suspicions.chain(probe).fold(self.next_period, Time::min)
    }

    /// After a gap, gives every member that is waited for its whole time again.
    fn resume_if_overdue(&mut self, now: Time) {
        if !self.clock.overdue(now) {
            return;
        }
        self.clock.resume(now, self.seq);
        self.probe = None;
        self.suspect_ping = None;
        self.outcomes.clear();
        self.cut_off = Some(now);
        self.next_period = now;
        let deadline = now + self.suspicion();
        let suspicions = self.roster.suspicions.values_mut();
        suspicions.for_each(|suspicion| suspicion.deadline = deadline);
    }

    /// The record of the run of `sender`, if that is over.
    fn over(&self, sender: &Member) -> Option<Member> {
        let held = self.by_incarnation(sender.incarnation).copied();
        held.filter(|member| member.state == State::Dead)
    }

    /// Notes a direct message of `from`.
    fn hear(&mut self, now: Time, from: Instance) {
        if let Some(peer) = self.roster.peers.get_mut(&from) {
            peer.heard = Some(now);
        }
    }

    fn acknowledged(&mut self, from: Instance, seq: u32) {
        self.clock.answered(seq, self.seq);
        let probe = self.probe.as_ref();
        if probe.is_some_and(|probe| probe.is_answered(from, seq)) {
            self.probe = None;
            self.outcomes.push(true);
        }
        if let Some(asker) = self.relays.take(seq, from) {
            self.acknowledge(asker.instance, asker.seq);
        }
    }

    /// Settles the last probe and begins the next one, when the period is over.
    fn begin_period(&mut self, now: Time) {
        if now < self.next_period {
            return;
        }
        self.next_period = now + self.settings.period;
        self.settle_probe(now);
        self.settle_suspect();
        self.note_contact(now);
        self.probe_next(now);
        self.ping_suspect(now);
        self.ping_absent();
        self.pull();
    }
}
