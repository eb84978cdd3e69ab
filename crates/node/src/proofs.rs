//! Proofs that the table held here is the newest.

use std::time::Duration;

use ident::Instance;
use ident::Time;
use wire::Body;
use wire::TableStatus;

use crate::action::Action;
use crate::desk::Heard;
use crate::node::Node;
use crate::node::millis;

/// Time between two rounds of news.
const NEWS_EVERY: Duration = Duration::from_millis(250);
/// Peers asked in a round while the store gives proof.
const NEWS_FANOUT: usize = 3;

impl Node {
    /// The store was read linearizably at or after `since`, and holds nothing newer than this view.
    pub(crate) fn prove(&mut self, since: Time) {
        let age = self.now.since(since);
        self.tables.view.vouch(self.now, age);
        self.tables.desk.proved = self.tables.desk.proved.max(Some(since));
    }

    /// Asks a few peers what they hold, and tells them what is held here.
    pub(crate) fn tell_news(&mut self, out: &mut Vec<Action>) {
        self.timers.news = self.now + NEWS_EVERY;
        self.pull_list(out);
        let news = self.my_news(self.now.0.wrapping_add(self.incarnation().0), false);
        for peer in self.some_peers(self.news_fanout()) {
            self.send(peer, Body::News(news), out);
        }
    }

    /// How many peers are asked in a round: a few while the store gives proof, and while it is
    /// silent so many that a majority answers within the lease.
    fn news_fanout(&self) -> usize {
        let lease = self.settings.lease;
        let age = self.tables.desk.store_age(self.now);
        if age.is_some_and(|age| age * 2 < lease) {
            return NEWS_FANOUT;
        }
        let rounds = (lease.as_millis() / 2 / NEWS_EVERY.as_millis()).max(1) as usize;
        let others = self.members.fleet.listed_count() / 2;
        NEWS_FANOUT.max(others.div_ceil(rounds))
    }

    fn my_news(&self, asked: u64, answer: bool) -> TableStatus {
        let age = self
            .tables
            .desk
            .proved
            .map(|proved| millis(self.now.since(proved)));
        TableStatus {
            generation: self.tables.view.generation(),
            store_age_ms: age.and_then(|age| u32::try_from(age).ok()),
            settled: !self.tables.view.behind(),
            asked,
            answer,
        }
    }

    pub(crate) fn news(&mut self, from: Instance, news: TableStatus, out: &mut Vec<Action>) {
        self.tables.view.announce(news.generation);
        self.note_told(from, news);
        if self.tables.view.behind() {
            self.send(from, Body::Pull, out);
        } else {
            self.take_proof(news);
        }
        if !news.answer {
            let answer = self.my_news(news.asked, true);
            self.send(from, Body::News(answer), out);
        }
    }

    /// When this run asked what `news` answers; `None` if it answers nothing that this run asked.
    ///
    /// Clocks of all runs begin at zero, so that a late answer to an earlier run would pass for one
    /// to a question asked just now: questions tell the time from a point that no two runs share.
    fn asked_at(&self, news: TableStatus) -> Option<Time> {
        let asked = Time(news.asked.wrapping_sub(self.incarnation().0));
        Some(asked).filter(|asked| news.answer && (self.begun..=self.now).contains(asked))
    }

    fn note_told(&mut self, from: Instance, news: TableStatus) {
        let before = self
            .tables
            .desk
            .told
            .get(&from)
            .and_then(|heard| heard.settled);
        let settled = before.max(self.asked_at(news).filter(|_| news.settled));
        let heard = Heard {
            generation: news.generation,
            at: self.now,
            settled,
        };
        self.tables.desk.told.insert(from, heard);
    }

    /// An answer proves as much as its sender could prove when the question was asked.
    fn take_proof(&mut self, news: TableStatus) {
        let Some(asked) = self.asked_at(news) else {
            return;
        };
        let age = news
            .store_age_ms
            .filter(|_| news.generation == self.tables.view.generation());
        if let Some(age) = age {
            let proved = asked - Duration::from_millis(u64::from(age));
            self.tables.view.vouch(self.now, self.now.since(proved));
            self.tables.desk.proved = self.tables.desk.proved.max(Some(proved));
        }
        if let Some(point) = self.contact_point() {
            self.tables.view.vouch(self.now, self.now.since(point));
        }
    }

    /// The latest point from which on a majority of the list, this instance among it, has answered.
    fn contact_point(&self) -> Option<Time> {
        let mut points: Vec<Time> = self
            .tables
            .desk
            .told
            .values()
            .filter_map(|heard| heard.settled)
            .collect();
        points.sort_unstable_by(|a, b| b.cmp(a));
        let others = self.members.fleet.listed_count() / 2;
        others
            .checked_sub(1)
            .and_then(|last| points.get(last).copied())
    }
}
