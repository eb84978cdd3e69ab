//! Operators' edits: commit, announcement and acceptance.

use std::collections::BTreeSet;
use std::time::Duration;

use ident::Instance;
use ident::Time;
use ledger::ids::CallId;
use table::edit::Edit;
use wire::Body;

use crate::action::Action;
use crate::action::Ask;
use crate::action::Tell;
use crate::action::Verdict;
use crate::decision::Step;
use crate::edition::Edition;
use crate::event::Stored;
use crate::node::Node;
use crate::status::Force;

/// How long a majority may take to note the generation of a committed edit.
const NOTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after which instances that have not noted a generation are told again.
const ANNOUNCE_AGAIN: Duration = Duration::from_millis(300);

impl Node {
    /// An operator's edit arrived.
    pub(crate) fn edited(&mut self, call: CallId, edit: Edit, out: &mut Vec<Action>) {
        if let Err(report) = edit.check() {
            return answer(
                call,
                Verdict::Rejected {
                    cause: report.to_string(),
                },
                out,
            );
        }
        let number = self.unique_number();
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
        self.tables.desk.editions.insert(number, edition);
        out.push(Action::Query { query, ask });
    }

    pub(crate) fn committed(&mut self, number: u64, outcome: Stored, out: &mut Vec<Action>) {
        let made = match &outcome {
            Stored::Committed { generation } => Some((*generation, false)),
            Stored::Repeated { generation } => Some((*generation, true)),
            _ => None,
        };
        match made {
            Some(made) => self.announce(number, made, out),
            None => self.close_edition(number, refused(outcome), out),
        }
        if self.tables.view.behind() {
            self.read(Ask::Table, out);
        }
    }

    fn announce(&mut self, number: u64, made: (u64, bool), out: &mut Vec<Action>) {
        let now = self.now;
        self.tables.view.announce(made.0);
        if let Some(edition) = self.tables.desk.editions.get_mut(&number) {
            edition.made = Some(made);
            edition.since = now;
        }
        self.announce_to_rest(number, out);
        self.try_accept(number, out);
    }

    fn announce_to_rest(&mut self, number: u64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(edition) = self.tables.desk.editions.get_mut(&number) else {
            return;
        };
        edition.announced = now;
        let Some((generation, _)) = edition.made else {
            return;
        };
        let noted = edition.noted.clone();
        let rest: Vec<Instance> = self
            .members
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
        self.tables.view.announce(generation);
        self.send(from, Body::Noted { edit }, out);
        if self.tables.view.behind() {
            self.send(from, Body::Pull, out);
        }
    }

    pub(crate) fn noted(&mut self, from: Instance, edit: u64, out: &mut Vec<Action>) {
        if let Some(edition) = self.tables.desk.editions.get_mut(&edit) {
            edition.noted.insert(from);
            self.try_accept(edit, out);
        }
    }

    fn try_accept(&mut self, number: u64, out: &mut Vec<Action>) {
        let known = self.members.fleet.listed_count();
        let Some(edition) = self.tables.desk.editions.get(&number) else {
            return;
        };
        let listed = |instance: &&Instance| {
            **instance == self.settings.instance || self.members.seats.contains_key(*instance)
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
        for (number, edition) in &self.tables.desk.editions {
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
        if let Some(edition) = self.tables.desk.editions.remove(&number) {
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
        for seat in self.members.seats.values() {
            let here = seat.instance == self.settings.instance;
            let reached = match self.tables.desk.told.get(&seat.instance) {
                _ if here => self.tables.view.generation() >= generation,
                Some(heard) => heard.generation >= generation || now >= heard.at + silence,
                None => now >= self.begun + silence,
            };
            if !reached {
                missing.push(seat.name.clone());
            }
        }
        let known = self.members.seats.len();
        Force {
            generation,
            in_force: known - missing.len(),
            known,
            missing,
        }
    }
}

fn answer(call: CallId, verdict: Verdict, out: &mut Vec<Action>) {
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
