//! Operators and their edits.

use std::time::Duration;

use node::action;
use node::event::Event;
use rand::RngExt;
use table::drain::DrainTarget;
use table::edit::Change;
use table::edit::Edit;
use table::row::Row;

use super::World;
use super::conns::Peer;
use super::item::Item;
use super::item::Verdict;
use super::plan::Fault;

/// Edits of rows that one fault stands for, one after the other.
const EDITS: u64 = 4;
/// Time between them.
const EDIT_EVERY: Duration = Duration::from_millis(350);
/// Times that an operator sends an edit.
const MAX_TRIES: u32 = 40;
const PAUSE: Duration = Duration::from_millis(700);

/// An operator with one edit.
#[derive(Debug)]
pub struct Operator {
    pub edit: Edit,
    host: usize,
    tries: u32,
    /// Whether an earlier try may have been committed.
    maybe: bool,
    pub over: bool,
    /// The replica that the edit marks to drain.
    drains: Option<usize>,
}

impl World {
    /// Several new operators change rows.
    pub(super) fn add_editors(&mut self, which: usize) {
        for number in 0..EDITS {
            let host = self.rng.random_range(0..self.hosts.len());
            let item = Item::Edit {
                host,
                which: which + number as usize % 2,
            };
            self.after(EDIT_EVERY * number as u32, item);
        }
    }

    /// A new operator makes the edit that `fault` stands for at `host`.
    pub(super) fn add_operator(&mut self, fault: Fault, host: usize, which: usize) {
        let number = self.operators.len();
        let draining = [0, 2, 5][which % 3];
        let mark = DrainTarget::Replica(self.engines[draining].name.clone());
        let change = match fault {
            Fault::Drain => Change::Drain(mark),
            Fault::Undrain => Change::Undrain(mark),
            _ => self.changed_row(host, which),
        };
        if fault == Fault::Undrain {
            self.engines[draining].drained = None;
        }
        let edit = Edit::new(&format!("edit-{number}"), "ana").with_change(change);
        self.operators.push(Operator {
            edit,
            host,
            tries: 0,
            maybe: false,
            over: false,
            drains: (fault == Fault::Drain).then_some(draining),
        });
        self.operator_hears(number, &Verdict::Begin);
    }

    fn changed_row(&mut self, host: usize, which: usize) -> Change {
        let seen = self.hosts[host].core.as_ref().and_then(node::Node::table);
        let table = seen.unwrap_or(&self.store.table);
        let base = table.rows[which % table.rows.len()].clone();
        let share = self.rng.random_range(1..50);
        let row = Row {
            share,
            ..base.clone()
        };
        Change::Put {
            row,
            base: Some(base),
        }
    }

    pub(super) fn operator_hears(&mut self, operator: usize, verdict: &Verdict) {
        self.note(|| format!("operator {operator} hears {verdict:?}"));
        match verdict {
            Verdict::Begin => self.send_edit(operator),
            Verdict::Broken | Verdict::Said(action::Verdict::Undecided { .. }) => {
                self.operators[operator].maybe = true;
                self.again(operator);
            }
            Verdict::Said(action::Verdict::Rejected { .. }) => self.again(operator),
            Verdict::Said(action::Verdict::Conflict { .. }) => self.operators[operator].over = true,
            Verdict::Said(
                action::Verdict::Accepted { generation } | action::Verdict::Repeated { generation },
            ) => {
                self.operators[operator].over = true;
                let now = self.now;
                self.accepted.entry(*generation).or_insert(now);
                self.note_drain(operator);
            }
        }
    }

    fn note_drain(&mut self, operator: usize) {
        let Some(engine) = self.operators[operator].drains else {
            return;
        };
        let mark = DrainTarget::Replica(self.engines[engine].name.clone());
        let mut others = self.operators.iter();
        let undone = others.any(|other| other.edit.changes == [Change::Undrain(mark.clone())]);
        if !undone {
            self.engines[engine].drained.get_or_insert(self.now);
        }
    }

    fn again(&mut self, operator: usize) {
        let slot = &mut self.operators[operator];
        slot.host = self.rng.random_range(0..self.hosts.len());
        if slot.tries < MAX_TRIES {
            self.after(
                PAUSE,
                Item::Operator {
                    operator,
                    verdict: Verdict::Begin,
                },
            );
        } else {
            self.violate(format!("operator {operator} tried {MAX_TRIES} times"));
        }
    }

    fn send_edit(&mut self, operator: usize) {
        let host = self.operators[operator].host;
        self.operators[operator].tries += 1;
        if self.hosts[host].core.is_none() {
            return self.again(operator);
        }
        let call = self.open_conn(host, Peer::Operator(operator), 0);
        let edit = self.operators[operator].edit.clone();
        let run = self.hosts[host].run;
        self.event(host, run, Event::Edited { call, edit });
    }

    /// Checks what an operator is told against the store.
    pub(super) fn check_verdict(&mut self, operator: usize, verdict: &action::Verdict) {
        let id = self.operators[operator].edit.id.clone();
        let applied = self.store.applied.get(&id).copied();
        let is_true = match verdict {
            action::Verdict::Accepted { generation } | action::Verdict::Repeated { generation } => {
                applied == Some(*generation)
            }
            action::Verdict::Conflict { .. } | action::Verdict::Rejected { .. } => {
                applied.is_none()
            }
            action::Verdict::Undecided { .. } => true,
        };
        if !is_true {
            let maybe = self.operators[operator].maybe;
            self.violate(format!(
                "{id} is told {verdict:?}, the store has it at {applied:?} (tried before: {maybe})"
            ));
        }
    }
}
