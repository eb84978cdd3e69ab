//! The table: polling, dissemination, freshness and edits.
//!
//! One poller a data centre reads the generation from the store; daemons tell each other which
//! generation they hold and how old their proof is. An edit is committed only after a majority of
//! the listed instances noted the intent; until its end is known none of these counts as proof by
//! contact. A daemon that is cut off from the store and from the majority stops deciding within the
//! lease, so that no decision under an older generation outlives an accepted edit by more.

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
use crate::status::Force;

/// Time between two rounds of news.
const NEWS_EVERY: Duration = Duration::from_millis(250);
/// Peers told in a round.
const NEWS_FANOUT: usize = 3;
/// Pause after which an unanswered read of the store is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a majority may take to note an intent.
const INTENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Age from which a read of the store shows the end of an edit whose committer fell silent.
const INTENT_LIFE: Duration = Duration::from_secs(30);
/// What the poller of a data centre is chosen by.
const POLLER: u64 = 0x706f_6c6c;

/// An edit on its way.
#[derive(Debug)]
struct Edition {
    call: Call,
    edit: Edit,
    noted: BTreeSet<Instance>,
    since: Time,
    commit: Option<Query>,
}

/// What this daemon does about the table.
#[derive(Debug)]
pub(crate) struct Desk {
    reading: Option<(Query, Time)>,
    /// When the store was last proved to hold this generation, here or by whoever told.
    proved: Option<Time>,
    /// Generation each instance last told, and when it last gave proof by contact.
    told: BTreeMap<Instance, Heard>,
    /// Intents of other daemons whose end is not known.
    intents: BTreeMap<(Instance, u64), Time>,
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
            intents: BTreeMap::new(),
            editions: BTreeMap::new(),
        }
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
            .find(|(_, edition)| edition.commit == Some(query));
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
        self.desk
            .intents
            .retain(|_, noted| since < *noted + INTENT_LIFE);
    }

    pub(crate) fn take_table(&mut self, table: Table, out: &mut Vec<Action>) {
        let generation = table.generation;
        if self.view.offer(self.now, table) == Offer::Taken {
            let name = self.settings.name.clone();
            let choice = format!("generation {generation}");
            self.log(&name, Step::Table, &choice, "in force here", out);
            self.refresh_cells();
            self.tell_news(out);
        }
    }

    /// Tells a few peers what is held here.
    pub(crate) fn tell_news(&mut self, out: &mut Vec<Action>) {
        self.timers.news = self.now + NEWS_EVERY;
        let news = self.my_news();
        for peer in self.some_peers(NEWS_FANOUT) {
            self.send(peer, Body::News(news), out);
        }
        self.count_contact();
    }

    fn my_news(&self) -> News {
        let age = self
            .desk
            .proved
            .map(|proved| millis(self.now.since(proved)));
        News {
            generation: self.view.generation(),
            store_age_ms: age.and_then(|age| u32::try_from(age).ok()),
            settled: self.desk.intents.is_empty() && !self.view.behind(),
        }
    }

    pub(crate) fn news(&mut self, from: Instance, news: News, out: &mut Vec<Action>) {
        let now = self.now;
        let known = self.desk.told.get(&from).and_then(|heard| heard.settled);
        let settled = if news.settled { Some(now) } else { known };
        let heard = Heard {
            generation: news.generation,
            at: now,
            settled,
        };
        self.desk.told.insert(from, heard);
        self.view.announce(news.generation);
        if self.view.behind() {
            return self.send(from, Body::Pull, out);
        }
        if news.generation == self.view.generation() {
            self.take_proof(news);
        }
        self.count_contact();
    }

    fn take_proof(&mut self, news: News) {
        if let Some(age) = news.store_age_ms {
            let proved = self.now - Duration::from_millis(u64::from(age));
            self.view.vouch(self.now, self.now.since(proved));
            self.desk.proved = self.desk.proved.max(Some(proved));
        }
    }

    /// Counts settled contact with the majority of the list as proof.
    fn count_contact(&mut self) {
        if !self.desk.intents.is_empty() || self.view.behind() {
            return;
        }
        let since = self.now - self.settings.lease;
        let recent = |heard: &&Heard| heard.settled.is_some_and(|settled| settled > since);
        let heard = self.desk.told.values().filter(recent).count() + 1;
        let known = self.fleet.known();
        if known > 1 {
            let oldest = self.contact_point(known);
            let age = self.now.since(oldest);
            if heard * 2 > known {
                self.view.vouch(self.now, age);
            }
        }
    }

    /// The point since which a majority has been in contact.
    fn contact_point(&self, known: usize) -> Time {
        let mut points: Vec<Time> = self
            .desk
            .told
            .values()
            .filter_map(|heard| heard.settled)
            .collect();
        points.sort_unstable();
        points.reverse();
        let needed = known / 2;
        points
            .get(needed.saturating_sub(1))
            .copied()
            .unwrap_or(Time::ZERO)
    }

    pub(crate) fn pulled(&mut self, from: Instance, out: &mut Vec<Action>) {
        if let Some(table) = self.view.table().cloned() {
            self.send(from, Body::Push(Box::new(table)), out);
        }
    }

    /// An operator's edit arrived.
    pub(crate) fn edited(&mut self, call: Call, edit: Edit, out: &mut Vec<Action>) {
        if !self.may_decide() && self.view.table().is_some() {
            let cause = "this instance may hold an old table; try another instance".to_owned();
            return answer(call, Verdict::Rejected { cause }, out);
        }
        if let Err(report) = edit.check() {
            return answer(
                call,
                Verdict::Rejected {
                    cause: report.to_string(),
                },
                out,
            );
        }
        let number = self.number() ^ self.incarnation().0;
        let noted = BTreeSet::from([self.settings.instance]);
        let edition = Edition {
            call,
            edit,
            noted,
            since: self.now,
            commit: None,
        };
        self.desk.editions.insert(number, edition);
        self.send_all(&Body::Intent { edit: number }, out);
        self.try_commit(number, out);
    }

    fn send_all(&mut self, body: &Body, out: &mut Vec<Action>) {
        let me = self.settings.instance;
        let peers: Vec<Instance> = self
            .fleet
            .members()
            .map(|member| member.instance)
            .filter(|peer| *peer != me)
            .collect();
        for peer in peers {
            self.send(peer, body.clone(), out);
        }
    }

    pub(crate) fn intended(&mut self, from: Instance, edit: u64, out: &mut Vec<Action>) {
        self.desk.intents.insert((from, edit), self.now);
        self.send(from, Body::Noted { edit }, out);
    }

    pub(crate) fn noted(&mut self, from: Instance, edit: u64, out: &mut Vec<Action>) {
        if let Some(edition) = self.desk.editions.get_mut(&edit) {
            edition.noted.insert(from);
            self.try_commit(edit, out);
        }
    }

    fn try_commit(&mut self, number: u64, out: &mut Vec<Action>) {
        let known = self.fleet.known();
        let query = self.query();
        let Some(edition) = self.desk.editions.get_mut(&number) else {
            return;
        };
        if edition.commit.is_none() && edition.noted.len() * 2 > known {
            edition.commit = Some(query);
            let ask = Ask::Commit(Box::new(edition.edit.clone()));
            out.push(Action::Query { query, ask });
        }
    }

    /// Rejects edits whose intent no majority noted in time.
    pub(crate) fn expire_edits(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let known = self.fleet.known();
        let late: Vec<u64> = self
            .desk
            .editions
            .iter()
            .filter(|(_, edition)| edition.commit.is_none())
            .filter(|(_, edition)| now >= edition.since + INTENT_TIMEOUT)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            let Some(edition) = self.desk.editions.remove(&number) else {
                continue;
            };
            let noted = edition.noted.len();
            let cause = format!(
                "only {noted} of {known} listed instances could be told; a majority is needed: \
                 try another instance, or again later"
            );
            answer(edition.call, Verdict::Rejected { cause }, out);
            self.settle_all(number, out);
        }
    }

    fn settle_all(&mut self, number: u64, out: &mut Vec<Action>) {
        let generation = self.view.generation();
        self.send_all(
            &Body::Settled {
                edit: number,
                generation,
            },
            out,
        );
    }

    pub(crate) fn settled(
        &mut self,
        from: Instance,
        edit: u64,
        generation: u64,
        out: &mut Vec<Action>,
    ) {
        self.view.announce(generation);
        self.desk.intents.remove(&(from, edit));
        if self.view.behind() {
            self.send(from, Body::Pull, out);
        }
    }

    fn committed(&mut self, number: u64, outcome: Stored, out: &mut Vec<Action>) {
        let Some(edition) = self.desk.editions.remove(&number) else {
            return;
        };
        let (verdict, generation) = match outcome {
            Stored::Committed { generation } => {
                (Verdict::Accepted { generation }, Some(generation))
            }
            Stored::Repeated { generation } => (Verdict::Repeated { generation }, Some(generation)),
            Stored::Conflict { lines } => (Verdict::Conflict { lines }, None),
            Stored::Failed {
                maybe: false,
                cause,
            } => (Verdict::Rejected { cause }, None),
            Stored::Failed { cause, .. } => (Verdict::Undecided { cause }, None),
            _ => {
                let cause = "the store gave another answer than was asked for".to_owned();
                (Verdict::Undecided { cause }, None)
            }
        };
        let decided = !matches!(verdict, Verdict::Undecided { .. });
        let operator = edition.edit.operator.clone();
        self.log(
            &operator,
            Step::Table,
            &format!("{verdict:?}"),
            &edition.edit.id,
            out,
        );
        answer(edition.call, verdict, out);
        if let Some(generation) = generation {
            self.view.announce(generation);
        }
        if self.view.behind() {
            self.read(Ask::Table, out);
        }
        if decided {
            let generation = generation.unwrap_or_else(|| self.view.generation());
            self.send_all(
                &Body::Settled {
                    edit: number,
                    generation,
                },
                out,
            );
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
