//! The protocol's interface to its driver: received messages, steps and outputs.

use std::time::Duration;

use ident::Instance;
use ident::Time;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::Member;
use crate::Message;
use crate::Output;
use crate::Settings;
use crate::entry::Entry;
use crate::member::State;
use crate::pause::PauseDetector;
use crate::probe::Probe;
use crate::probe::ProbeOutcomes;
use crate::probe::Relays;
use crate::probe::RoundRobin;
use crate::probe::SuspectPing;
use crate::roster::Roster;
use crate::updates::UpdateQueue;

/// One daemon's view of all daemons.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub(crate) local: Member,
    pub(crate) settings: Settings,
    pub(crate) roster: Roster,
    pub(crate) updates: UpdateQueue,
    pub(crate) pause_detector: PauseDetector,
    pub(crate) outputs: Vec<Output>,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) seq: u32,
    pub(crate) next_period: Time,
    pub(crate) probe: Option<Probe>,
    pub(crate) probe_outcomes: ProbeOutcomes,
    /// When this daemon last lacked contact with a majority; `None` after a suspicion timeout with
    /// contact.
    pub(crate) cut_off_at: Option<Time>,
    pub(crate) suspect_ping: Option<SuspectPing>,
    pub(crate) relays: Relays,
    pub(crate) probe_order: RoundRobin,
    /// Order in which suspected members are pinged.
    pub(crate) suspect_order: RoundRobin,
    /// Order in which absent instances are pinged.
    pub(crate) absent_order: RoundRobin,
    /// Order of the records that fill up messages.
    pub(crate) filler_order: RoundRobin,
    /// Periods between two pulls; doubled by each pull, reset by a new list or a page with unknown
    /// runs.
    pub(crate) pull_interval: u32,
    pub(crate) periods_to_pull: u32,
}

impl Fleet {
    /// Maximum number of records merged from one message.
    const MAX_RECORDS: usize = 64;

    /// A fleet that consists of `local` alone.
    pub fn new(local: Member, settings: Settings, seed: u64) -> Self {
        Self {
            local,
            settings,
            roster: Roster::default(),
            updates: UpdateQueue::default(),
            pause_detector: PauseDetector::new(settings.period),
            outputs: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            // Starts at the low bits of the incarnation, which is random: if each run started at
            // zero, an answer to the previous run would match.
            seq: local.incarnation.0 as u32,
            next_period: Time::ZERO,
            probe: None,
            probe_outcomes: ProbeOutcomes::default(),
            cut_off_at: None,
            suspect_ping: None,
            relays: Relays::default(),
            probe_order: RoundRobin::default(),
            suspect_order: RoundRobin::default(),
            absent_order: RoundRobin::default(),
            filler_order: RoundRobin::default(),
            pull_interval: 1,
            periods_to_pull: 0,
        }
    }

    /// Applies the platform's list. The list may be out of date: an instance that it lacks is
    /// removed only once it is dead, and a listed instance that is unknown is pinged.
    pub fn set_list(&mut self, _now: Time, entries: &[Entry]) {
        let others = entries
            .iter()
            .filter(|entry| entry.instance != self.local.instance);
        let listed = others.map(|entry| (entry.instance, *entry)).collect();
        if self.roster.listed == listed {
            return;
        }
        self.roster.listed = listed;
        self.roster.remove_unlisted_dead();
        self.pull_interval = 1;
        self.periods_to_pull = 0;
    }

    /// Announces that this daemon accepts no new work.
    pub fn leave(&mut self, _now: Time) {
        if self.local.state != State::Alive {
            return;
        }
        self.local.state = State::Leaving;
        self.local.version = self.local.version.saturating_add(1);
        self.updates.push(self.local);
        self.outputs.push(Output::Changed {
            member: self.local,
            before: Some(State::Alive),
        });
    }

    /// Handles a received message; [`Fleet::step`] must be called right after it.
    pub fn receive(&mut self, now: Time, from: Instance, message: &Message) {
        self.reset_after_pause(now);
        let news = message.news();
        let sender = match news.first() {
            Some(sender) if sender.instance == from && !self.declared_dead() => *sender,
            _ => return,
        };
        let runs = self.roster.runs.len();
        for member in news.iter().take(Self::MAX_RECORDS) {
            self.merge(now, *member);
        }
        if let Some(ended) = self.ended_run(&sender) {
            self.notify_ended_run(from, ended);
            return;
        }
        self.record_contact(now, from);
        match message {
            Message::Ping { seq, .. } => self.acknowledge(from, *seq),
            Message::Ack { seq, .. } => self.handle_ack(from, *seq),
            Message::Probe { seq, target, .. } => self.relay_probe(from, *seq, *target),
            Message::Pull { from: first, .. } => self.send_page(from, *first),
            Message::Page { .. } => self.pull_more(runs),
        }
    }

    /// Runs what is due, appends messages to send and state changes to `out`, and returns the time
    /// of the next step.
    pub fn step(&mut self, now: Time, out: &mut Vec<Output>) -> Time {
        self.reset_after_pause(now);
        if !self.declared_dead() {
            self.probe_indirectly(now);
            self.expire_suspicions(now);
            self.begin_period(now);
        }
        let next = self.next_step();
        self.pause_detector.plan_step(next);
        out.append(&mut self.outputs);
        next
    }

    /// Time from suspicion to death at the current fleet size.
    pub(crate) fn suspicion_timeout(&self) -> Duration {
        self.settings.suspicion_timeout(self.member_count())
    }

    /// Number of known members, including dead ones that are still listed.
    pub(crate) fn member_count(&self) -> usize {
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

    /// After a pause, discards probes in progress and restarts the time of every suspicion.
    fn reset_after_pause(&mut self, now: Time) {
        if !self.pause_detector.is_overdue(now) {
            return;
        }
        self.pause_detector.record_pause(now, self.seq);
        self.probe = None;
        self.suspect_ping = None;
        self.probe_outcomes.clear();
        self.cut_off_at = Some(now);
        self.next_period = now;
        let deadline = now + self.suspicion_timeout();
        let suspicions = self.roster.suspicions.values_mut();
        suspicions.for_each(|suspicion| suspicion.deadline = deadline);
    }

    /// The death record of the run of `sender`, if that run has ended.
    fn ended_run(&self, sender: &Member) -> Option<Member> {
        let member = self.by_incarnation(sender.incarnation).copied();
        member.filter(|member| member.state == State::Dead)
    }

    /// Records that a direct message came from `from`.
    fn record_contact(&mut self, now: Time, from: Instance) {
        if let Some(peer) = self.roster.peers.get_mut(&from) {
            peer.last_heard = Some(now);
        }
    }

    fn handle_ack(&mut self, from: Instance, seq: u32) {
        self.pause_detector.handle_ack(seq, self.seq);
        let probe = self.probe.as_ref();
        if probe.is_some_and(|probe| probe.is_answered(from, seq)) {
            self.probe = None;
            self.probe_outcomes.push(true);
        }
        if let Some(requester) = self.relays.take(seq, from) {
            self.acknowledge(requester.instance, requester.seq);
        }
    }

    /// Finishes the last probe and starts the next one if the period is over.
    fn begin_period(&mut self, now: Time) {
        if now < self.next_period {
            return;
        }
        self.next_period = now + self.settings.period;
        self.finish_probe(now);
        self.finish_suspect_ping();
        self.update_contact(now);
        self.probe_next(now);
        self.ping_suspect(now);
        self.ping_absent();
        self.pull();
    }
}
