//! The table: polling, dissemination, freshness and edits.
//!
//! One poller a data centre reads the generation from the store; daemons ask each other which
//! generation they hold and how old their proof is. An edit is accepted, and its operator told so,
//! only after it was committed and a majority of the listed instances noted its generation. A
//! daemon counts as up to date for one lease from a read of the store, or from questions that a
//! majority answered. Any two majorities share an instance, so no decision under an older
//! generation comes later than one lease after acceptance; cut off from the store and from the
//! majority, a daemon stops deciding within the lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use ident::Instance;
use ident::Time;
use ledger::ids::Call;
use ledger::ids::Query;
use table::Table;
use table::edit::Edit;
use table::view::Offer;
use wire::Body;
use wire::News;

use crate::action::Action;
use crate::action::Ask;
use crate::action::Tell;
use crate::action::Verdict;
use crate::decision::Step;
use crate::event::Stored;
use crate::node::Node;
use crate::node::millis;
use crate::rows::Rows;
use crate::status::Force;

/// Time between two rounds of news.
const NEWS_EVERY: Duration = Duration::from_millis(250);
/// Peers told in a round.
const NEWS_FANOUT: usize = 3;
/// Pause after which an unanswered read of the store is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a majority may take to note the generation of a committed edit.
const NOTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after which instances that have not noted a generation are told again.
const ANNOUNCE_AGAIN: Duration = Duration::from_millis(300);
/// What the poller of a data centre is chosen by.
const POLLER: u64 = 0x706f_6c6c;

/// An edit on its way.
#[derive(Debug)]
struct Edition {
    call: Call,
    edit: Edit,
    commit: Query,
    /// Once it is committed: its generation, and whether an earlier try had committed it.
    made: Option<(u64, bool)>,
    noted: BTreeSet<Instance>,
    since: Time,
    announced: Time,
}

/// What this daemon does about the table.
#[derive(Debug)]
pub(crate) struct Desk {
    reading: Option<(Query, Time)>,
    /// When the store was last proved to hold this generation, here or by whoever told.
    proved: Option<Time>,
    /// What each instance last told.
    told: BTreeMap<Instance, Heard>,
    editions: BTreeMap<u64, Edition>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    generation: u64,
    at: Time,
    settled: Option<Time>,
}

impl Desk {
    pub(crate) const fn new() -> Self {
        Self {
            reading: None,
            proved: None,
            told: BTreeMap::new(),
            editions: BTreeMap::new(),
        }
    }

    /// Whether the store was proved to hold nothing newer at or after `since`.
    pub(crate) fn proved_since(&self, since: Time) -> bool {
        self.proved.is_some_and(|proved| proved >= since)
    }

    /// How long ago the store was last proved to hold nothing newer.
    pub(crate) fn store_age(&self, now: Time) -> Option<Duration> {
        self.proved.map(|proved| now.since(proved))
    }

    pub(crate) fn generation_told(&self, instance: Instance) -> Option<u64> {
        self.told.get(&instance).map(|heard| heard.generation)
    }
}

impl Node {
    /// Reads the generation if this daemon polls for its data centre, or has no fresh proof.
    pub(crate) fn poll(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.timers.poll = now + self.settings.poll_every;
        let waiting = self
            .desk
            .reading
            .is_some_and(|(_, since)| now < since + READ_TIMEOUT);
        let poller = self.fleet.owner_in(self.settings.zone, POLLER);
        let mine = poller.is_none_or(|poller| poller == self.settings.instance);
        let stale = self
            .view
            .age(now)
            .is_none_or(|age| age * 2 > self.settings.lease);
        if !waiting && (mine || stale) {
            let ask = if self.view.table().is_none() {
                Ask::Table
            } else {
                Ask::Generation
            };
            self.read(ask, out);
        }
    }

    fn read(&mut self, ask: Ask, out: &mut Vec<Action>) {
        let query = self.query();
        self.desk.reading = Some((query, self.now));
        out.push(Action::Query { query, ask });
    }

    /// The store answered.
    pub(crate) fn stored(&mut self, query: Query, outcome: Stored, out: &mut Vec<Action>) {
        let recorded = matches!(outcome, Stored::Recorded);
        if self.recorded(query, recorded) || self.looked_up(query, &outcome, out) {
            return;
        }
        let edition = self
            .desk
            .editions
            .iter()
            .find(|(_, edition)| edition.commit == query);
        if let Some(number) = edition.map(|(number, _)| *number) {
            return self.committed(number, outcome, out);
        }
        let reading = self.desk.reading.take_if(|(reading, _)| *reading == query);
        let Some((_, since)) = reading else {
            return;
        };
        match outcome {
            Stored::Generation { generation } => {
                self.view.announce(generation);
                if self.view.behind() {
                    self.read(Ask::Table, out);
                } else {
                    self.prove(since);
                }
            }
            Stored::Table(table) => {
                self.view.announce(table.generation);
                self.take_table(*table, out);
                self.prove(since);
            }
            _ => (),
        }
    }

    /// The store was read linearizably at or after `since`, and holds nothing newer than this view.
    fn prove(&mut self, since: Time) {
        let age = self.now.since(since);
        self.view.vouch(self.now, age);
        self.desk.proved = self.desk.proved.max(Some(since));
    }

    pub(crate) fn take_table(&mut self, table: Table, out: &mut Vec<Action>) {
        let generation = table.generation;
        if self.view.offer(self.now, table) == Offer::Taken {
            let name = self.settings.name.clone();
            let choice = format!("generation {generation}");
            self.log(&name, Step::Table, &choice, "in force here", out);
            self.rows = self.view.table().map_or_else(Rows::new, Rows::with_table);
            let marked = self
                .view
                .table()
                .is_some_and(|table| table.drains_instance(&self.settings.name));
            self.drained = marked.then(|| self.drained.unwrap_or(self.now));
            self.refresh_cells();
            self.tell_news(out);
        }
    }

    /// Asks a few peers what they hold, and tells them what is held here.
    pub(crate) fn tell_news(&mut self, out: &mut Vec<Action>) {
        self.timers.news = self.now + NEWS_EVERY;
        self.pull_list(out);
        let news = self.my_news(self.now.0, false);
        for peer in self.some_peers(NEWS_FANOUT) {
            self.send(peer, Body::News(news), out);
        }
    }

    fn my_news(&self, asked: u64, answer: bool) -> News {
        let age = self
            .desk
            .proved
            .map(|proved| millis(self.now.since(proved)));
        News {
            generation: self.view.generation(),
            store_age_ms: age.and_then(|age| u32::try_from(age).ok()),
            settled: !self.view.behind(),
            asked,
            answer,
        }
    }

    pub(crate) fn news(&mut self, from: Instance, news: News, out: &mut Vec<Action>) {
        self.view.announce(news.generation);
        self.note_told(from, news);
        match () {
            () if self.view.behind() => self.send(from, Body::Pull, out),
            () if news.answer => self.take_proof(news),
            () => (),
        }
        if !news.answer {
            let answer = self.my_news(news.asked, true);
            self.send(from, Body::News(answer), out);
        }
    }

    fn note_told(&mut self, from: Instance, news: News) {
        let asked = Time(news.asked).min(self.now);
        let before = self.desk.told.get(&from).and_then(|heard| heard.settled);
        let settled = if news.answer && news.settled {
            before.max(Some(asked))
        } else {
            before
        };
        let heard = Heard {
            generation: news.generation,
            at: self.now,
            settled,
        };
        self.desk.told.insert(from, heard);
    }

    /// An answer proves as much as its sender could prove when the question was asked.
    fn take_proof(&mut self, news: News) {
        let asked = Time(news.asked).min(self.now);
        let age = news
            .store_age_ms
            .filter(|_| news.generation == self.view.generation());
        if let Some(age) = age {
            let proved = asked - Duration::from_millis(u64::from(age));
            self.view.vouch(self.now, self.now.since(proved));
            self.desk.proved = self.desk.proved.max(Some(proved));
        }
        if let Some(point) = self.contact_point() {
            self.view.vouch(self.now, self.now.since(point));
        }
    }

    /// The latest point from which on a majority of the list, this instance among it, has answered.
    fn contact_point(&self) -> Option<Time> {
        let mut points: Vec<Time> = self
            .desk
            .told
            .values()
            .filter_map(|heard| heard.settled)
            .collect();
        points.sort_unstable_by(|a, b| b.cmp(a));
        let others = self.fleet.known() / 2;
        others
            .checked_sub(1)
            .and_then(|last| points.get(last).copied())
    }

    /// Whether a majority of the listed instances, this one among them, is in contact.
    pub(crate) fn has_majority(&self) -> bool {
        let since = self.now - self.settings.lease;
        self.fleet.known() <= 1 || self.contact_point().is_some_and(|point| point >= since)
    }

    pub(crate) fn pulled(&mut self, from: Instance, out: &mut Vec<Action>) {
        if let Some(table) = self.view.table().cloned() {
            self.send(from, Body::Push(Box::new(table)), out);
        }
    }

    /// An operator's edit arrived.
    pub(crate) fn edited(&mut self, call: Call, edit: Edit, out: &mut Vec<Action>) {
        if let Err(report) = edit.check() {
            return answer(
                call,
                Verdict::Rejected {
                    cause: report.to_string(),
                },
                out,
            );
        }
        if !self.has_majority() {
            let cause = "this try sent nothing to the store, as this instance does not reach a \
                         majority of the listed instances; send the same edit again";
            let cause = cause.to_owned();
            return answer(call, Verdict::Undecided { cause }, out);
        }
        let number = self.number() ^ self.incarnation().0;
        let query = self.query();
        let ask = Ask::Commit(Box::new(edit.clone()));
        let edition = Edition {
            call,
            edit,
            commit: query,
            made: None,
            noted: BTreeSet::from([self.settings.instance]),
            since: self.now,
            announced: self.now,
        };
        self.desk.editions.insert(number, edition);
        out.push(Action::Query { query, ask });
    }

    fn committed(&mut self, number: u64, outcome: Stored, out: &mut Vec<Action>) {
        let made = match &outcome {
            Stored::Committed { generation } => Some((*generation, false)),
            Stored::Repeated { generation } => Some((*generation, true)),
            _ => None,
        };
        match made {
            Some(made) => self.announce(number, made, out),
            None => self.close_edition(number, refused(outcome), out),
        }
        if self.view.behind() {
            self.read(Ask::Table, out);
        }
    }

    fn announce(&mut self, number: u64, made: (u64, bool), out: &mut Vec<Action>) {
        let now = self.now;
        self.view.announce(made.0);
        if let Some(edition) = self.desk.editions.get_mut(&number) {
            edition.made = Some(made);
            edition.since = now;
        }
        self.announce_to_rest(number, out);
        self.try_accept(number, out);
    }

    fn announce_to_rest(&mut self, number: u64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(edition) = self.desk.editions.get_mut(&number) else {
            return;
        };
        edition.announced = now;
        let Some((generation, _)) = edition.made else {
            return;
        };
        let noted = edition.noted.clone();
        let rest: Vec<Instance> = self
            .fleet
            .members()
            .map(|member| member.instance)
            .filter(|peer| !noted.contains(peer))
            .collect();
        for peer in rest {
            self.send(
                peer,
                Body::Announce {
                    edit: number,
                    generation,
                },
                out,
            );
        }
    }

    pub(crate) fn announced(
        &mut self,
        from: Instance,
        edit: u64,
        generation: u64,
        out: &mut Vec<Action>,
    ) {
        self.view.announce(generation);
        self.send(from, Body::Noted { edit }, out);
        if self.view.behind() {
            self.send(from, Body::Pull, out);
        }
    }

    pub(crate) fn noted(&mut self, from: Instance, edit: u64, out: &mut Vec<Action>) {
        if let Some(edition) = self.desk.editions.get_mut(&edit) {
            edition.noted.insert(from);
            self.try_accept(edit, out);
        }
    }

    fn try_accept(&mut self, number: u64, out: &mut Vec<Action>) {
        let known = self.fleet.known();
        let Some(edition) = self.desk.editions.get(&number) else {
            return;
        };
        let listed = |instance: &&Instance| {
            **instance == self.settings.instance || self.seats.contains_key(*instance)
        };
        let noted = edition.noted.iter().filter(listed).count();
        match edition.made {
            Some((generation, false)) if noted * 2 > known => {
                self.close_edition(number, Verdict::Accepted { generation }, out);
            }
            Some((generation, true)) if noted * 2 > known => {
                self.close_edition(number, Verdict::Repeated { generation }, out);
            }
            _ => (),
        }
    }

    /// Announces committed edits again, and answers those that no majority noted in time.
    pub(crate) fn expire_edits(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut again = Vec::new();
        let mut late = Vec::new();
        for (number, edition) in &self.desk.editions {
            match edition.made {
                Some(_) if now >= edition.since + NOTE_TIMEOUT => late.push(*number),
                Some(_) if now >= edition.announced + ANNOUNCE_AGAIN => again.push(*number),
                _ => (),
            }
        }
        for number in again {
            self.announce_to_rest(number, out);
        }
        for number in late {
            let cause = "it was committed, but a majority of the listed instances could not be \
                         told yet; send the same edit again";
            let verdict = Verdict::Undecided {
                cause: cause.to_owned(),
            };
            self.close_edition(number, verdict, out);
        }
    }

    fn close_edition(&mut self, number: u64, verdict: Verdict, out: &mut Vec<Action>) {
        if let Some(edition) = self.desk.editions.remove(&number) {
            let Edit { operator, id, .. } = &edition.edit;
            self.log(
                operator,
                Step::Table,
                &format!("{verdict:?}"),
                &format!("edit {id}"),
                out,
            );
            answer(edition.call, verdict, out);
        }
    }

    /// How far `generation` has come into force.
    pub fn force(&self, now: Time, generation: u64) -> Force {
        let mut missing = Vec::new();
        let silence = self.settings.lease * 2;
        for seat in self.seats.values() {
            let here = seat.instance == self.settings.instance;
            let reached = match self.desk.told.get(&seat.instance) {
                _ if here => self.view.generation() >= generation,
                Some(heard) => heard.generation >= generation || now >= heard.at + silence,
                None => now >= self.begun + silence,
            };
            if !reached {
                missing.push(seat.name.clone());
            }
        }
        let known = self.seats.len();
        Force {
            generation,
            in_force: known - missing.len(),
            known,
            missing,
        }
    }
}

fn answer(call: Call, verdict: Verdict, out: &mut Vec<Action>) {
    out.push(Action::Tell {
        call,
        tell: Tell::Edit(verdict),
    });
}

fn refused(outcome: Stored) -> Verdict {
    match outcome {
        Stored::Conflict { lines } => Verdict::Conflict { lines },
        Stored::Failed { cause, .. } => Verdict::Undecided { cause },
        _ => {
            let cause = "the store gave another answer than was asked for".to_owned();
            Verdict::Undecided { cause }
        }
    }
}
