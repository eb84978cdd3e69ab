//! What is sent to whom.

use ident::Instance;
use ident::Time;
use rand::seq::IndexedRandom;

use crate::Fleet;
use crate::Member;
use crate::Message;
use crate::Output;
use crate::member::State;
use crate::probe::Asker;
use crate::probe::SuspectPing;
use crate::roster::Peer;

impl Fleet {
    /// Periods between two pulls at most.
    const MAX_PULL_GAP: u32 = 64;

    /// Answers a pull.
    pub(crate) fn send_page(&mut self, to: Instance, first: Instance) {
        let peers = &self.roster.peers;
        let records = peers.range(first..).chain(peers.range(..first));
        let records = records.map(|(_, peer)| peer.member);
        let records = records.filter(|member| member.instance != to);
        let records = records.take(self.settings.page_records);
        let news = std::iter::once(self.me).chain(records).collect();
        self.send(to, Message::Page { news });
    }

    /// Pings one suspected member, so that it learns of the suspicion.
    pub(crate) fn ping_suspect(&mut self, now: Time) {
        let roster = &self.roster;
        let is_suspect = |instance| roster.suspicions.contains_key(&instance);
        let all = || roster.suspicions.keys().copied().collect();
        let target = self.suspect_round.next(&mut self.rng, is_suspect, all);
        if let Some(target) = target {
            self.ping(target);
            self.suspect_ping = Some(SuspectPing { target, sent: now });
        }
    }

    /// Pings one listed instance that is dead or was never heard of.
    pub(crate) fn ping_absent(&mut self) {
        let roster = &self.roster;
        let is_absent = |instance| {
            let present = roster.peers.get(&instance).is_some_and(Peer::present);
            roster.listed.contains_key(&instance) && !present
        };
        let all = || roster.absent().collect();
        let target = self.absent_round.next(&mut self.rng, is_absent, all);
        target.map(|target| self.ping(target));
    }

    /// Asks a member for a page that begins with a listed instance that was never heard of.
    pub(crate) fn pull(&mut self) {
        self.periods_to_pull = self.periods_to_pull.saturating_sub(1);
        if self.periods_to_pull > 0 {
            return;
        }
        let unknown: Vec<Instance> = self.roster.unknown().collect();
        let Some(&first) = unknown.choose(&mut self.rng) else {
            return;
        };
        let helpers = self.pick(1, |member| member.state != State::Suspect);
        let Some(&helper) = helpers.first() else {
            return;
        };
        self.pull_gap = (self.pull_gap * 2).min(Self::MAX_PULL_GAP);
        self.periods_to_pull = self.pull_gap;
        let news = self.compose(helper);
        self.send(helper, Message::Pull { from: first, news });
    }

    /// Pulls again at once if the last page told of a run that was not known.
    pub(crate) fn pull_more(&mut self, before: usize) {
        if self.roster.runs.len() > before {
            self.pull_gap = 1;
            self.periods_to_pull = 0;
            self.pull();
        }
    }

    /// Tells a daemon whose run is over so, in place of an answer.
    pub(crate) fn send_verdict(&mut self, to: Instance, over: Member) {
        let news = vec![self.me, over];
        self.send(to, Message::Page { news });
    }

    pub(crate) fn ping(&mut self, to: Instance) -> u32 {
        let seq = self.next_seq();
        let news = self.compose(to);
        self.send(to, Message::Ping { seq, news });
        seq
    }

    /// Up to `count` present peers for which `fits` holds.
    pub(crate) fn pick(&mut self, count: usize, fits: impl Fn(&Member) -> bool) -> Vec<Instance> {
        let present = self.roster.present().map(|peer| &peer.member);
        let fitting: Vec<Instance> = present
            .filter(|member| fits(member))
            .map(|member| member.instance)
            .collect();
        fitting.sample(&mut self.rng, count).copied().collect()
    }

    /// The records for a message to `to`: this daemon's own, what `to` must refute, news, filler.
    pub(crate) fn compose(&mut self, to: Instance) -> Vec<Member> {
        let mut news = vec![self.me];
        let about = self.roster.peers.get(&to).map(|peer| peer.member);
        news.extend(about.filter(|member| member.state >= State::Suspect));
        let room = self.settings.max_records.saturating_sub(news.len());
        let repeats = self.settings.retransmit_limit(self.size());
        news.extend(self.news.take(room, repeats));
        let room = self.settings.max_records.saturating_sub(news.len());
        for _ in 0..room.min(self.settings.filler_records) {
            news.extend(self.fill());
        }
        news
    }

    /// The next record to fill a message up with.
    fn fill(&mut self) -> Option<Member> {
        let peers = &self.roster.peers;
        let known = |instance| peers.contains_key(&instance);
        let all = || peers.keys().copied().collect();
        let next = self.filler.next(&mut self.rng, known, all)?;
        peers.get(&next).map(|peer| peer.member)
    }

    pub(crate) fn next_seq(&mut self) -> u32 {
        let seq = self.seq;
        self.seq = self.seq.wrapping_add(1);
        seq
    }

    pub(crate) fn send(&mut self, to: Instance, message: Message) {
        self.outputs.push(Output::Send { to, message });
    }

    pub(crate) fn relay(&mut self, asker: Instance, asker_seq: u32, target: Instance) {
        let seq = self.next_seq();
        let asker = Asker {
            instance: asker,
            seq: asker_seq,
        };
        self.relays.push(seq, target, asker);
        let news = self.compose(target);
        self.send(target, Message::Ping { seq, news });
    }

    pub(crate) fn acknowledge(&mut self, to: Instance, seq: u32) {
        let news = self.compose(to);
        self.send(to, Message::Ack { seq, news });
    }
}
