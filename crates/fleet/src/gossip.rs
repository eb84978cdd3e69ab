//! Composes and sends messages to other members.

use ident::Instance;
use ident::Time;
use rand::seq::IndexedRandom;

use crate::Fleet;
use crate::Member;
use crate::Message;
use crate::Output;
use crate::member::State;
use crate::probe::Requester;
use crate::probe::SuspectPing;
use crate::roster::Peer;

impl Fleet {
    /// Maximum number of periods between two pulls.
    const MAX_PULL_INTERVAL: u32 = 64;

    /// Answers a pull.
    pub(crate) fn send_page(&mut self, to: Instance, first: Instance) {
        let peers = &self.roster.peers;
        let records = peers.range(first..).chain(peers.range(..first));
        let records = records.map(|(_, peer)| peer.member);
        let records = records.filter(|member| member.instance != to);
        let records = records.take(self.settings.page_records);
        let news = std::iter::once(self.local).chain(records).collect();
        self.send(to, Message::Page { news });
    }

    /// Pings one suspected member, so that it can refute the suspicion.
    pub(crate) fn ping_suspect(&mut self, now: Time) {
        let roster = &self.roster;
        let is_suspect = |instance| roster.suspicions.contains_key(&instance);
        let all = || roster.suspicions.keys().copied().collect();
        let target = self.suspect_order.next(&mut self.rng, is_suspect, all);
        if let Some(target) = target {
            self.ping(target);
            self.suspect_ping = Some(SuspectPing { target, sent: now });
        }
    }

    /// Pings one listed instance that is dead or unknown.
    pub(crate) fn ping_absent(&mut self) {
        let roster = &self.roster;
        let is_absent = |instance| {
            let present = roster.peers.get(&instance).is_some_and(Peer::is_present);
            roster.listed.contains_key(&instance) && !present
        };
        let all = || roster.absent().collect();
        let target = self.absent_order.next(&mut self.rng, is_absent, all);
        target.map(|target| self.ping(target));
    }

    /// Requests a page of records that starts at a listed but unknown instance.
    pub(crate) fn pull(&mut self) {
        self.periods_to_pull = self.periods_to_pull.saturating_sub(1);
        if self.periods_to_pull > 0 {
            return;
        }
        let unknown: Vec<Instance> = self.roster.unknown().collect();
        let Some(&first) = unknown.choose(&mut self.rng) else {
            return;
        };
        let helpers = self.pick_peers(1, |member| member.state != State::Suspect);
        let Some(&helper) = helpers.first() else {
            return;
        };
        self.pull_interval = (self.pull_interval * 2).min(Self::MAX_PULL_INTERVAL);
        self.periods_to_pull = self.pull_interval;
        let news = self.compose_records(helper);
        self.send(helper, Message::Pull { from: first, news });
    }

    /// Pulls again at once if the last page contained an unknown run; `before` is the number of
    /// runs known before it.
    pub(crate) fn pull_more(&mut self, before: usize) {
        if self.roster.runs.len() > before {
            self.pull_interval = 1;
            self.periods_to_pull = 0;
            self.pull();
        }
    }

    /// Sends a daemon the death record of its own run instead of an answer.
    pub(crate) fn notify_ended_run(&mut self, to: Instance, ended: Member) {
        let news = vec![self.local, ended];
        self.send(to, Message::Page { news });
    }

    pub(crate) fn ping(&mut self, to: Instance) -> u32 {
        let seq = self.next_seq();
        let news = self.compose_records(to);
        self.send(to, Message::Ping { seq, news });
        seq
    }

    /// Up to `count` random present peers for which `matches` holds.
    pub(crate) fn pick_peers(
        &mut self,
        count: usize,
        matches: impl Fn(&Member) -> bool,
    ) -> Vec<Instance> {
        let present = self.roster.present().map(|peer| &peer.member);
        let matching: Vec<Instance> = present
            .filter(|member| matches(member))
            .map(|member| member.instance)
            .collect();
        matching.sample(&mut self.rng, count).copied().collect()
    }

    /// The records for a message to `to`: this daemon's own, that of `to` if `to` has to refute it,
    /// updates, and filler.
    pub(crate) fn compose_records(&mut self, to: Instance) -> Vec<Member> {
        let mut news = vec![self.local];
        let about = self.roster.peers.get(&to).map(|peer| peer.member);
        news.extend(about.filter(|member| member.state >= State::Suspect));
        let free = self.settings.max_records.saturating_sub(news.len());
        let retransmit_limit = self.settings.retransmit_limit(self.member_count());
        news.extend(self.updates.take(free, retransmit_limit));
        let free = self.settings.max_records.saturating_sub(news.len());
        for _ in 0..free.min(self.settings.filler_records) {
            news.extend(self.next_filler());
        }
        news
    }

    /// The next record to fill up a message.
    fn next_filler(&mut self) -> Option<Member> {
        let peers = &self.roster.peers;
        let known = |instance| peers.contains_key(&instance);
        let all = || peers.keys().copied().collect();
        let next = self.filler_order.next(&mut self.rng, known, all)?;
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

    pub(crate) fn relay_probe(
        &mut self,
        requester: Instance,
        requester_seq: u32,
        target: Instance,
    ) {
        let seq = self.next_seq();
        let requester = Requester {
            instance: requester,
            seq: requester_seq,
        };
        self.relays.push(seq, target, requester);
        let news = self.compose_records(target);
        self.send(target, Message::Ping { seq, news });
    }

    pub(crate) fn acknowledge(&mut self, to: Instance, seq: u32) {
        let news = self.compose_records(to);
        self.send(to, Message::Ack { seq, news });
    }
}
